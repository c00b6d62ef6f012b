//! Log output that is slow or gone.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use dogwoodtray_runtime::LogWriter;

/// More lines than wait for the output.
const LINES: usize = 20_000;

/// Output that blocks until it is told to go on, and then keeps what it gets.
struct Blocked {
    go_on: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is dropped when the output may go on.
        let _ = self.go_on.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that wait for a reader of the log, and against a log that fills the
/// memory of its process.
#[test]
fn a_blocked_output_neither_blocks_nor_fills_the_memory() {
    let (tx, go_on) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = Blocked { go_on, written: Arc::clone(&written) };
    let mut writer = LogWriter::spawn(out).unwrap();
    for line in 0..LINES {
        writer.write_all(format!("{line}\n").as_bytes()).unwrap();
    }
    drop(tx);
    let lines = || written.lock().unwrap().iter().filter(|byte| **byte == b'\n').count();
    let mut waited = Duration::ZERO;
    let mut last = 0;
    while last == 0 || lines() != last {
        assert!(waited < Duration::from_secs(20), "the lines are not written");
        last = lines();
        std::thread::sleep(Duration::from_millis(500));
        waited += Duration::from_millis(500);
    }
    assert!((1_000..LINES).contains(&lines()), "{} lines", lines());
}

/// Guards against a process that stops because its log has no output.
#[test]
fn a_closed_output_is_survived() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut writer = LogWriter::spawn(Closed).unwrap();
    for _ in 0..LINES {
        writer.write_all(b"line\n").unwrap();
    }
}
