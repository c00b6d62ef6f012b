//! Non-blocking log output.

use std::io;
use std::io::Write;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;

/// Maximum number of queued lines. At about 200 bytes each they use 1.6 MB, and a write holds as many
/// once more.
const MAX_QUEUED_LINES: usize = 8_192;

/// Pause between writes, so that lines are written in batches and the thread wakes up rarely.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Writer that passes lines to a background thread. If the queue is full, lines are dropped and
/// counted in `dogwoodtray_log_lines_dropped_total`.
#[derive(Clone, Debug)]
pub struct LogWriter {
    tx: Sender<Vec<u8>>,
}

impl LogWriter {
    /// Spawns the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be spawned.
    pub fn spawn(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = channel::bounded(MAX_QUEUED_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(out, &rx))?;
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

fn write_lines(mut out: impl Write, rx: &Receiver<Vec<u8>>) {
    let mut lines = Vec::new();
    while let Ok(line) = rx.recv() {
        lines.clear();
        lines.extend_from_slice(&line);
        // Lines that arrive from now on belong to the next write. Otherwise a steady log would keep
        // this loop going and its memory growing.
        for line in rx.try_iter().take(rx.len()) {
            lines.extend_from_slice(&line);
        }
        // A failed log output leaves no place to report the error to.
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}
