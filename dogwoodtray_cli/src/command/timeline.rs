//! The `timeline` subcommand.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use super::merged::EventMerger;
use super::merged::MergedEvent;
use super::options::TimelineOptions;
use super::report::Failure;
use super::report::Report;
use crate::Exit;
use crate::admin;

/// Time between two rounds of reading from all processes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of pages that one round reads from a process. Without it, a round would not end
/// if a process records events faster than they are read.
const MAX_PAGES_PER_ROUND: usize = 1000;

/// A process whose events are read.
struct Source {
    addr: SocketAddr,
    incarnation: Value,
    next: u64,
    error: Option<Failure>,
}

pub(super) fn run(options: &TimelineOptions, out: &mut dyn Write) -> Result<Report, Failure> {
    let mut sources: Vec<Source> = options
        .addrs
        .iter()
        .map(|addr| Source { addr: *addr, incarnation: Value::Null, next: 0, error: None })
        .collect();
    let mut merger = EventMerger::default();
    if options.follow {
        return follow(options, &mut sources, &mut merger, out);
    }
    read_all(&mut sources, options, &mut merger);
    let events = merger.take_until(u64::MAX);
    let written = write_events(&events, options.json, out);
    let exit = written.map_or(Exit::Ok, |()| first_error_exit(&sources));
    let errors = sources.iter().filter_map(|source| source.error.as_ref());
    // The output of --json is one event per line, so only the exit code reports errors.
    Ok(Report::new(exit, Value::Null)
        .lines(errors.map(|failure| format!("error: {}", failure.message))))
}

/// Reads events in rounds until the output is closed or no process responds.
///
/// Events are written one round after they were read, so that those of a slower process are still
/// in order. Events that arrive later than that are written out of order.
fn follow(
    options: &TimelineOptions,
    sources: &mut [Source],
    merger: &mut EventMerger,
    out: &mut dyn Write,
) -> Result<Report, Failure> {
    loop {
        let until = merger.newest_wall_us();
        read_all(sources, options, merger);
        if sources.iter().all(|source| source.error.is_some()) {
            let events = merger.take_until(u64::MAX);
            let exit = write_events(&events, options.json, out)
                .map_or(Exit::Ok, |()| first_error_exit(sources));
            let message = "no process answers any more".to_owned();
            return Err(Failure { message, exit });
        }
        if write_events(&merger.take_until(until), options.json, out).is_err() {
            return Ok(Report::new(Exit::Ok, Value::Null));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn read_all(sources: &mut [Source], options: &TimelineOptions, merger: &mut EventMerger) {
    for source in sources {
        source.error = source.read(options.request.as_deref(), merger).err();
    }
}

impl Source {
    fn read(&mut self, request: Option<&str>, merger: &mut EventMerger) -> Result<(), Failure> {
        for _ in 0..MAX_PAGES_PER_ROUND {
            let page = admin::timeline(self.addr, self.next, request)?;
            if page.incarnation != self.incarnation && self.next > 0 {
                self.incarnation = page.incarnation;
                self.next = 0;
                continue;
            }
            self.incarnation = page.incarnation;
            let is_last = page.events.is_empty() || page.next <= self.next;
            self.next = self.next.max(page.next);
            merger.push(&page.node, page.events);
            if is_last {
                return Ok(());
            }
        }
        Ok(())
    }
}

fn first_error_exit(sources: &[Source]) -> Exit {
    sources
        .iter()
        .filter_map(|source| source.error.as_ref())
        .map(|e| e.exit)
        .next()
        .unwrap_or(Exit::Ok)
}

fn write_events(events: &[MergedEvent], json: bool, out: &mut dyn Write) -> io::Result<()> {
    for event in events {
        if json {
            writeln!(out, "{}", serde_json::to_string(event)?)?;
        } else {
            writeln!(out, "{event}")?;
        }
    }
    out.flush()
}
