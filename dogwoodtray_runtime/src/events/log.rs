//! Event log of one process.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dogwoodtray_coord::Hlc;
use dogwoodtray_coord::HlcStamp;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_wire::messages;
use serde::Serialize;

use super::EventCode;
use super::Level;
use crate::services::Clock;

/// Maximum number of events kept for the timeline. At about 300 bytes each they use 1.2 MB.
const MAX_TIMELINE_EVENTS: usize = 4096;

/// Event as the timeline shows it.
#[derive(Clone, Debug, Serialize)]
pub struct EventRecord {
    /// Sequence number within this process.
    pub seq: u64,
    /// Wall time of the hybrid logical clock, in microseconds since the Unix epoch.
    pub wall_us: u64,
    /// Logical part of the hybrid logical clock.
    pub logical: u32,
    /// Event code, such as `DT1001`.
    pub code: String,
    /// Severity.
    pub level: Level,
    /// Fixed message text of the event.
    pub text: &'static str,
    /// Request or job that the event belongs to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<Name>,
    /// Additional fields of the event.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

/// Event log that writes numbered events and keeps the latest of them for the timeline.
#[derive(Clone)]
pub struct EventLog {
    inner: Arc<Inner>,
}

struct Inner {
    node: Name,
    incarnation: Incarnation,
    state: Mutex<State>,
}

struct State {
    clock: Hlc,
    next_seq: u64,
    timeline: VecDeque<EventRecord>,
}

impl EventLog {
    /// Creates the event log of a process.
    #[must_use]
    pub fn open(node: Name, incarnation: Incarnation) -> Self {
        let state = State { clock: Hlc::default(), next_seq: 0, timeline: VecDeque::new() };
        Self { inner: Arc::new(Inner { node, incarnation, state: Mutex::new(state) }) }
    }

    /// Returns the node name of the process.
    #[must_use]
    pub fn node(&self) -> &Name {
        &self.inner.node
    }

    /// Returns the incarnation of the process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.inner.incarnation
    }

    /// Writes an event to the log and adds it to the timeline.
    pub fn emit(
        &self,
        code: &EventCode,
        request: Option<&Name>,
        fields: &[(&str, &dyn fmt::Display)],
    ) {
        let level = log::Level::from(code.level);
        if log::log_enabled!(level) {
            log::log!(level, "{}", format_line(code, request, fields));
        }
        let mut state = self.lock();
        let HlcStamp { wall_us, logical } = state.clock.stamp(Clock::wall_us());
        let seq = state.next_seq;
        state.next_seq += 1;
        if state.timeline.len() == MAX_TIMELINE_EVENTS {
            state.timeline.pop_front();
        }
        let fields = fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.to_string().into()))
            .collect();
        state.timeline.push_back(EventRecord {
            seq,
            wall_us,
            logical,
            code: code.to_string(),
            level: code.level,
            text: code.text,
            request: request.cloned(),
            fields,
        });
    }

    /// Returns a new stamp of the hybrid logical clock for an outgoing message.
    #[must_use]
    pub fn clock(&self) -> messages::Clock {
        let HlcStamp { wall_us, logical } = self.lock().clock.stamp(Clock::wall_us());
        messages::Clock { wall_us, logical }
    }

    /// Advances the hybrid logical clock past the stamp of a received message, so that later events
    /// sort after it.
    pub fn observe(&self, clock: Option<messages::Clock>) {
        let Some(clock) = clock else { return };
        let stamp = HlcStamp { wall_us: clock.wall_us, logical: clock.logical };
        self.lock().clock.receive(Clock::wall_us(), stamp);
    }

    /// Returns the events whose sequence number is at least `after`, optionally of one request
    /// only, and the value of `after` for the next call.
    #[must_use]
    pub fn events_from(&self, after: u64, request: Option<&str>) -> (Vec<EventRecord>, u64) {
        let state = self.lock();
        let events = state
            .timeline
            .iter()
            .filter(|event| event.seq >= after)
            .filter(|event| request.is_none() || event.request.as_deref() == request)
            .cloned()
            .collect();
        (events, state.next_seq)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for EventLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventLog").field("node", &self.inner.node).finish_non_exhaustive()
    }
}

fn format_line(
    code: &EventCode,
    request: Option<&Name>,
    fields: &[(&str, &dyn fmt::Display)],
) -> String {
    let mut line = format!("{code} {}", code.text);
    if let Some(request) = request {
        line.push_str(&format!(" request={request}"));
    }
    for (name, value) in fields {
        line.push_str(&format!(" {name}={value}"));
    }
    line
}
