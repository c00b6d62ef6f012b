//! Test of the log lines about entries of another writer.
//!
//! It is the only test in its file, because it reads the log of the whole process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::sync::Mutex;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::ObjectStore;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use support::Site;
use support::run_local;
use support::wait_until;
use tokio::time::sleep;

/// Number of entries that name no endpoint.
const ENTRIES: usize = 600;

/// Maximum number of lines about them.
const MAX_LINES: usize = 100;

struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        if line.starts_with("DT5004") {
            self.0.lock().unwrap().push(line);
        }
    }

    fn flush(&self) {}
}

/// Guards against a log that is flooded by entries of another writer, or in which their names pass for
/// lines of their own.
#[test]
fn lines_about_odd_entries_are_bounded_in_number_and_length() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Info);
    run_local(async {
        let (site, _endpoint, _processes) = Site::with_processes("engine", 8).await;
        let lines = || LINES.0.lock().unwrap().clone();
        site.store.put("servers", &format!("e\nDT1001 {}", "x".repeat(5_000)), "{}");
        wait_until("the first entry is logged", || !lines().is_empty()).await;
        let first = lines().remove(0);
        assert!(!first.contains('\n') && first.len() < 700, "{first}");
        assert!(first.contains("unexpected name") && first.contains(r"e\nDT1001"), "{first}");
        // Each list has other names than the one before.
        for round in 0..3 {
            for number in 0..ENTRIES / 3 {
                site.store.put("servers", &format!("e{round}.{number}"), "{}");
            }
            sleep(Duration::from_millis(900)).await;
            for number in 0..ENTRIES / 3 {
                let name = Name::from(format!("e{round}.{number}"));
                site.store.remove("servers", &name).await;
            }
        }
        let count = lines().len();
        assert!((MAX_LINES / 2..=MAX_LINES).contains(&count), "{count} lines");
    });
}
