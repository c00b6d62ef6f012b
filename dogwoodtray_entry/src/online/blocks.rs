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
use dogwoodtray_coord::TRIAL_RENEWAL_INTERVAL;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialEnd;
use dogwoodtray_coord::TrialId;
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Allowed,
    /// It may run to find out whether its blocked contents still crash endpoints.
    Trial(Vec<ContentHash>),
    /// A request waits, because a trial or the analysis of a crash is due soon.
    Undecided,
    Blocked {
        /// One of its blocked contents.
        content: ContentHash,
        /// Time after which it may run as a trial.
        retry_after: Duration,
    },
}

/// Trial of blocked contents by a request or item of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Trial {
    pub(super) id: TrialId,
    pub(super) contents: Vec<ContentHash>,
    pub(super) started_at: Timestamp,
}

impl OnlineCore {
    /// Returns how a request or item is to be treated that is about to run. `held` is the trial that it
    /// holds from an attempt that did not run.
    pub(super) fn admit(
        &self,
        now: Timestamp,
        subject: TrialSubject,
        spec: &RequestSpec,
        held: Option<&Trial>,
    ) -> Admission {
        let is_request = subject == TrialSubject::Request;
        match self.pool.check(subject, now, &spec.contents(), held.map(|trial| trial.id)) {
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
            ContentVerdict::Trial(contents) => Admission::Trial(contents),
        }
    }

    /// Starts a trial of blocked contents by a request or item that is about to be sent, or goes on with
    /// the one that it holds. Returns `None` if none is due any more.
    pub(super) fn start_trial(
        &mut self,
        now: Timestamp,
        subject: TrialSubject,
        contents: Vec<ContentHash>,
        held: Option<Trial>,
    ) -> Option<Trial> {
        let held = held.filter(|trial| trial.contents == contents);
        let trial = held.unwrap_or_else(|| {
            self.last_trial += 1;
            let id = TrialId { holder: self.cfg.incarnation, number: self.last_trial };
            Trial { id, contents, started_at: now }
        });
        self.pool.start_trial(subject, now, &trial.contents, trial.id).ok()?;
        Some(trial)
    }

    /// Ends a trial.
    pub(super) fn end_trial(&mut self, now: Timestamp, trial: &Trial, may_have_run: bool) {
        let end = TrialEnd { id: trial.id, requested_at: trial.started_at, may_have_run };
        self.pool.end_trial(now, &trial.contents, end);
    }

    /// Ends the trial of an attempt that ended, or keeps it for the next attempt of its request if this
    /// one did not run.
    pub(super) fn on_trial_attempt_ended(
        &mut self,
        now: Timestamp,
        owner: Owner,
        trial: Trial,
        outcome: AttemptOutcome,
    ) {
        let may_have_run = !matches!(outcome, AttemptOutcome::NotRun(_));
        match owner {
            Owner::Request(request_no)
                if !may_have_run && self.requests.contains_key(&request_no) =>
            {
                self.keep_trial(request_no, Some(trial));
            }
            _ => self.end_trial(now, &trial, may_have_run),
        }
    }

    /// Extends the leases of the trials of this process.
    pub(super) fn renew_trials(&mut self, now: Timestamp) {
        if now < self.renew_trials_at {
            return;
        }
        self.renew_trials_at = now + TRIAL_RENEWAL_INTERVAL;
        let of_attempts = self.attempts.values().filter_map(|attempt| attempt.trial.as_ref());
        let of_requests = self.requests.values().filter_map(|request| request.trial.as_ref());
        for trial in of_attempts.chain(of_requests) {
            self.pool.renew_trial(now, &trial.contents, trial.id, trial.started_at);
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
            // A failure may have come before the endpoint began on the content.
            _ if outcome.is_sound() => {
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
