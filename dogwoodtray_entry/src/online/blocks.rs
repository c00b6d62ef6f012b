//! Treatment of requests and items whose contents crash endpoints.
//!
//! Each entry holds the evidence of all entries and agents that it reaches, directly or through others.

use std::time::Duration;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::ContentVerdict;
use dogwoodtray_coord::CrashedRun;
use dogwoodtray_coord::EvidencePool;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RunStage;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialSubject;

use super::OnlineCore;
use super::RequestSpec;
use super::attempt::Attempt;
use super::attempt::Owner;
use super::event::AttemptOutcome;

/// Reason of the refusal of a request that has a blocked content.
pub(super) const CONTENT_BLOCKED: &str = "requests with this content crashed endpoints";

/// Time for which a request waits for the next trial of its contents. An innocent content that was
/// blocked together with a guilty one is tried within this time.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(1_500);

/// Treatment of a request or item by its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Allowed,
    /// It runs to find out whether its blocked contents still crash endpoints.
    Trial,
    /// A request waits, because a trial or the analysis of a crash is due soon.
    Undecided,
    Blocked {
        /// One of its blocked contents.
        content: ContentHash,
        /// Time after which it may run as a trial.
        retry_after: Duration,
    },
}

impl OnlineCore {
    /// Returns how a request or item is to be treated that is about to run. Starts a trial of its
    /// blocked contents if one is due.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        subject: TrialSubject,
        spec: &RequestSpec,
    ) -> Admission {
        let is_request = subject == TrialSubject::Request;
        match self.pool.check(subject, now, &spec.contents()) {
            ContentVerdict::Allowed if is_request && self.pool.is_undecided(spec.content) => {
                Admission::Undecided
            }
            ContentVerdict::Allowed => Admission::Allowed,
            ContentVerdict::Blocked { retry_after, .. }
                if is_request && retry_after <= MAX_TRIAL_WAIT =>
            {
                Admission::Undecided
            }
            ContentVerdict::Blocked { content, retry_after } => {
                Admission::Blocked { content, retry_after }
            }
            ContentVerdict::Trial(contents) => {
                match self.pool.start_trial(subject, now, &contents) {
                    Ok(()) => Admission::Trial,
                    Err(retry_after) => Admission::Blocked { content: contents[0], retry_after },
                }
            }
        }
    }

    /// Records what the end of an attempt says about its contents.
    pub(super) fn record_evidence(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let contents = attempt.spec.contents();
        match outcome {
            AttemptOutcome::Crashed => {
                let has_output = attempt.tokens > attempt.resume_from;
                let run = CrashedRun {
                    contents,
                    endpoint: Name::clone(&attempt.node),
                    sent_at: attempt.sent_at,
                    ended_at: if attempt.link.is_some() { now } else { attempt.detached_at },
                    stage: RunStage::new(has_output, attempt.owner == Owner::Job),
                    sound: Vec::new(),
                };
                self.pool.record_crash(now, run);
            }
            AttemptOutcome::Answered { .. } => {
                self.pool.record_sound_run(now, &contents, attempt.sent_at, true);
            }
            _ => {}
        }
    }
}

/// # Exchange of evidence
impl OnlineCore {
    /// Returns the evidence about crashes, which is exchanged with peers.
    pub const fn evidence_mut(&mut self) -> &mut EvidencePool {
        &mut self.pool
    }
}
