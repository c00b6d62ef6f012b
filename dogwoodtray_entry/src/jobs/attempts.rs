//! Attempts running on endpoints.

use std::collections::HashMap;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::api::JobAction;

/// One attempt at an item.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) job: Name,
    /// Identifier of the claim under which it was dispatched.
    pub(crate) claim_id: u64,
    pub(crate) item: u32,
    pub(crate) custom_id: Name,
    pub(crate) endpoint: u64,
    pub(crate) sent_at: Timestamp,
    /// Whether the agent reported that it forwarded the attempt to its endpoint.
    pub(crate) started: bool,
}

/// Attempts running on endpoints.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    last_counter: u64,
    running: HashMap<AttemptId, Attempt>,
}

impl Attempts {
    /// Adds an attempt and returns its new identifier.
    pub(crate) fn add(&mut self, incarnation: Incarnation, attempt: Attempt) -> AttemptId {
        self.last_counter += 1;
        let id = AttemptId { incarnation, counter: self.last_counter };
        self.running.insert(id, attempt);
        id
    }

    pub(crate) fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.running.get(&id)
    }

    pub(crate) fn on_started(&mut self, id: AttemptId) {
        if let Some(attempt) = self.running.get_mut(&id) {
            attempt.started = true;
        }
    }

    /// Removes an attempt that ended and returns it.
    pub(crate) fn take(&mut self, id: AttemptId) -> Option<Attempt> {
        self.running.remove(&id)
    }

    /// Cancels and removes attempts. Events that still arrive for them are ignored.
    pub(crate) fn cancel(
        &mut self,
        ids: impl IntoIterator<Item = AttemptId>,
        out: &mut Vec<JobAction>,
    ) {
        for attempt in ids {
            if self.running.remove(&attempt).is_some() {
                out.push(JobAction::CancelAttempt { attempt });
            }
        }
    }
}
