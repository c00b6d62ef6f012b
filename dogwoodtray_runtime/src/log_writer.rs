//! Log output that never blocks the process.

use std::io;
use std::io::Write;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;

/// Lines that wait for the output; at about 200 bytes each they take 1.6 MB.
const MAX_WAITING_LINES: usize = 8_192;

/// Pause between writes, so that lines are written together and wake the thread rarely.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Hands lines to a thread that writes them. Lines that find the queue full are dropped and
/// counted in `dogwoodtray_log_lines_dropped_total`.
#[derive(Debug)]
pub struct LogWriter {
    tx: Sender<Vec<u8>>,
}

impl LogWriter {
    /// Spawns the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the thread.
    pub fn spawn(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = channel::bounded(MAX_WAITING_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write(out, &rx))?;
        Ok(Self { tx })
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.tx.try_send(line.to_vec()).is_err() {
            metrics::counter!("dogwoodtray_log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(mut out: impl Write, rx: &Receiver<Vec<u8>>) {
    let mut lines = Vec::new();
    while let Ok(line) = rx.recv() {
        lines.clear();
        lines.extend_from_slice(&line);
        for line in rx.try_iter() {
            lines.extend_from_slice(&line);
        }
        // Without an output there is nowhere to report to.
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}
