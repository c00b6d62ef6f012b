//! What was sent, answered and run, with times.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self { started: Instant::now(), lines: Arc::default(), path }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.seconds(), text.as_ref());
        self.lines.lock().expect("the lines").push(line);
    }

    /// Returns the lines that contain this text.
    pub fn matching(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("the lines");
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    pub fn write(&self) {
        let lines = self.lines.lock().expect("the lines").join("\n");
        let _ = fs::write(&self.path, lines + "\n");
    }
}
