//! Merging of the events of several processes.

use std::fmt;

use serde::Serialize;

use crate::admin::Event;

/// An event and the node that recorded it.
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

/// Buffer that orders events by their hybrid logical clock, then by node.
#[derive(Debug, Default)]
pub(super) struct EventMerger {
    buffered: Vec<MergedEvent>,
    newest_wall_us: u64,
}

impl EventMerger {
    pub(super) fn push(&mut self, node: &str, events: Vec<Event>) {
        let newest = events.iter().map(|event| event.wall_us).max().unwrap_or(0);
        self.newest_wall_us = self.newest_wall_us.max(newest);
        let node = node.to_owned();
        self.buffered
            .extend(events.into_iter().map(|event| MergedEvent { node: node.clone(), event }));
    }

    /// Returns the highest wall clock time of the events so far, in microseconds.
    pub(super) const fn newest_wall_us(&self) -> u64 {
        self.newest_wall_us
    }

    /// Removes and returns the events up to and including `wall_us`, in order.
    pub(super) fn take_until(&mut self, wall_us: u64) -> Vec<MergedEvent> {
        self.buffered.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        let count = self.buffered.partition_point(|event| event.event.wall_us <= wall_us);
        self.buffered.drain(..count).collect()
    }
}

fn sort_key(merged: &MergedEvent) -> (u64, u64, &str, u64) {
    let event = &merged.event;
    (event.wall_us, event.logical, &merged.node, event.seq)
}
