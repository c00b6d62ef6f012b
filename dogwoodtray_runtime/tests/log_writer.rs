//! Tests of log output that blocks or fails.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use dogwoodtray_runtime::LogWriter;

/// Number of lines, more than the writer queues.
const LINES: usize = 20_000;

/// A log line.
const LINE: &[u8] = b"line\n";

/// Number of threads that log at the same time.
const LOGGING_THREADS: usize = 4;

/// Output that blocks until the sender of `unblock` is dropped, and then records what is written.
struct BlockedOutput {
    unblock: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns an error once the sender is dropped.
        let _ = self.unblock.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that block on a slow reader of the log, and against an unbounded queue
/// of log lines.
#[test]
fn blocked_output_does_not_block_or_queue_without_limit() {
    let (tx, unblock) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = BlockedOutput { unblock, written: Arc::clone(&written) };
    let mut writer = LogWriter::spawn(out).unwrap();
    for line in 0..LINES {
        writer.write_all(format!("{line}\n").as_bytes()).unwrap();
    }
    drop(tx);
    let lines = || written.lock().unwrap().iter().filter(|byte| **byte == b'\n').count();
    let mut waited = Duration::ZERO;
    let mut last = 0;
    while last == 0 || lines() != last {
        assert!(waited < Duration::from_secs(20), "timed out waiting for the lines to be written");
        last = lines();
        std::thread::sleep(Duration::from_millis(500));
        waited += Duration::from_millis(500);
    }
    assert!((1_000..LINES).contains(&lines()), "{} lines", lines());
}

/// Guards against a writer that collects lines without limit, and never writes them, while several
/// threads log faster than it takes lines from the queue.
#[test]
fn steady_log_does_not_grow_one_write_without_limit() {
    struct LargestWrite(Arc<AtomicUsize>);
    impl Write for LargestWrite {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.fetch_max(bytes.len(), Ordering::Relaxed);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let largest = Arc::new(AtomicUsize::new(0));
    let writer = LogWriter::spawn(LargestWrite(Arc::clone(&largest))).unwrap();
    std::thread::scope(|scope| {
        for _ in 0..LOGGING_THREADS {
            let mut writer = writer.clone();
            scope.spawn(move || {
                for _ in 0..10 * LINES {
                    writer.write_all(LINE).unwrap();
                }
            });
        }
    });
    let lines = largest.load(Ordering::Relaxed) / LINE.len();
    assert!((1..LINES).contains(&lines), "{lines} lines in one write");
}

/// Guards against a process that exits because writing to a closed log output fails.
#[test]
fn closed_output_is_ignored() {
    struct ClosedOutput;
    impl Write for ClosedOutput {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut writer = LogWriter::spawn(ClosedOutput).unwrap();
    for _ in 0..LINES {
        writer.write_all(LINE).unwrap();
    }
}
