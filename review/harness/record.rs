//! Record of what was sent, answered and run.

use std::fs;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use crate::worker::Runs;

/// Lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line about an earlier moment.
    pub fn add_at(&self, at: Instant, line: impl Into<String>) {
        let line = line.into();
        self.lines.lock().expect("lines").push((at, line));
    }

    /// Returns the seconds from the start until a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Adds the runs of all workers and writes the file.
    pub fn write(&self, path: &str, runs: &Runs) {
        for run in runs.lock().expect("runs").iter() {
            let (id, worker, after) = (&run.id, &run.worker, run.resumed_after);
            self.add_at(
                run.began,
                format!("run    {id} begins at {worker} ({}) after event {after}", run.service),
            );
            if let Some(ended) = run.ended {
                self.add_at(ended, format!("run    {id} ends at {worker}: {}", run.outcome));
            }
        }
        let mut lines = self.lines.lock().expect("lines").clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{:8.3} s  {line}\n", self.seconds(at)));
        }
        if let Err(err) = fs::write(path, text) {
            eprintln!("cannot write {path}: {err}");
        }
    }
}
