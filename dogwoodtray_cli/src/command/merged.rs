//! Events of several processes in one order.

use std::fmt;

use serde::Serialize;

use crate::admin::Event;

/// An event with the node that recorded it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct MergedEvent {
    pub(super) node: String,
    #[serde(flatten)]
    pub(super) event: Event,
}

impl fmt::Display for MergedEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let event = &self.event;
        let (seconds, micros) =
            (event.wall_us / MICROS_PER_SECOND, event.wall_us % MICROS_PER_SECOND);
        let level = event.level.to_uppercase();
        write!(f, "{seconds}.{micros:06}+{:<3} {:<16} ", event.logical, self.node)?;
        write!(f, "{} {level:<5} {}", event.code, event.text)?;
        if let Some(request) = &event.request {
            write!(f, " request={request}")?;
        }
        event.fields.iter().try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}

/// Orders events by their hybrid logical clock, then by node.
#[derive(Debug, Default)]
pub(super) struct Merger {
    held: Vec<MergedEvent>,
    newest_wall_us: u64,
}

impl Merger {
    pub(super) fn push(&mut self, node: &str, events: Vec<Event>) {
        let newest = events.iter().map(|event| event.wall_us).max().unwrap_or(0);
        self.newest_wall_us = self.newest_wall_us.max(newest);
        let node = node.to_owned();
        self.held.extend(events.into_iter().map(|event| MergedEvent { node: node.clone(), event }));
    }

    /// Returns the clock of the newest event so far.
    pub(super) const fn newest_wall_us(&self) -> u64 {
        self.newest_wall_us
    }

    /// Removes and returns the events up to a clock, in order.
    pub(super) fn take_until(&mut self, wall_us: u64) -> Vec<MergedEvent> {
        self.held.sort_by(|a, b| key(a).cmp(&key(b)));
        let count = self.held.partition_point(|event| event.event.wall_us <= wall_us);
        self.held.drain(..count).collect()
    }
}

fn key(merged: &MergedEvent) -> (u64, u64, &str, u64) {
    let event = &merged.event;
    (event.wall_us, event.logical, &merged.node, event.seq)
}
