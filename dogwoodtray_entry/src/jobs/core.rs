//! State machine that accepts, drives and reports batch jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::api::Backlog;
use super::api::JobAction;
use super::api::JobEvent;
use super::api::ReplyToken;
use super::api::Submission;
use super::attempts::Attempts;
use super::calls::Calls;
use super::calls::Context;
use super::cancel_notification::CancelNotifications;
use super::claim::Claim;
use super::config::EntryIdentity;
use super::config::JobConfig;
use super::credits::Credits;
use super::driven_job::DrivenJob;
use super::header;
use super::intake::Intake;
use super::reply::JobReply;
use super::reply::Refusal;
use super::request::Request;
use super::request::RequestKind;
use super::request::RequestState;
use super::submission::check;
use super::sweep::Sweep;
use super::watch;
use super::watch::Watch;

/// Unfinished work that delays a graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// Number of submissions in progress.
    Submissions(usize),
    /// Number of status, results and cancel requests in progress.
    Requests(usize),
    /// A driven job.
    Job {
        /// Name of the job.
        job: Name,
        /// Number of running attempts.
        running: usize,
    },
    /// Number of claims in progress.
    Claims(usize),
}

/// State machine that accepts, drives and reports the batch jobs of one entry process.
///
/// It performs no I/O: [`JobCore::handle`] consumes events and appends the actions to perform.
#[derive(Debug)]
pub struct JobCore {
    pub(crate) env: Env,
    pub(crate) intakes: HashMap<u64, Intake>,
    pub(crate) requests: HashMap<u64, Request>,
    pub(crate) sweeps: HashMap<u64, Sweep>,
    pub(crate) claims: BTreeMap<Name, Claim>,
    pub(crate) cancel_notifications: CancelNotifications,
    pub(crate) watch: Watch,
    pub(crate) driven: BTreeMap<Name, DrivenJob>,
    pub(crate) attempts: Attempts,
    pub(crate) credits: Credits,
    pub(crate) closed_models: BTreeSet<Name>,
    pub(crate) draining_since: Option<Timestamp>,
    pub(crate) late_attempt_ends: u64,
}

/// Settings, random generator and store calls, lent to the components of the core as [`Context`].
#[derive(Debug)]
pub(crate) struct Env {
    pub(crate) cfg: JobConfig,
    pub(crate) identity: EntryIdentity,
    rng: StdRng,
    pub(crate) calls: Calls,
    last_stamp: u64,
    pub(crate) unix_ms: u64,
}

impl Env {
    pub(crate) fn context<'a>(
        &'a mut self,
        now: Timestamp,
        out: &'a mut Vec<JobAction>,
    ) -> Context<'a> {
        Context {
            now,
            unix_ms: self.unix_ms,
            cfg: &self.cfg,
            identity: &self.identity,
            rng: &mut self.rng,
            calls: &mut self.calls,
            last_stamp: &mut self.last_stamp,
            tries: 0,
            out,
        }
    }
}

impl JobCore {
    /// Creates the job core of one process, with a seed for its random generator.
    #[must_use]
    pub fn new(cfg: JobConfig, identity: EntryIdentity, seed: u64) -> Self {
        let env = Env {
            cfg,
            identity,
            rng: StdRng::seed_from_u64(seed),
            calls: Calls::default(),
            last_stamp: 0,
            unix_ms: 0,
        };
        Self {
            env,
            intakes: HashMap::new(),
            requests: HashMap::new(),
            sweeps: HashMap::new(),
            claims: BTreeMap::new(),
            cancel_notifications: CancelNotifications::default(),
            watch: Watch::default(),
            driven: BTreeMap::new(),
            attempts: Attempts::default(),
            credits: Credits::default(),
            closed_models: BTreeSet::new(),
            draining_since: None,
            late_attempt_ends: 0,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: JobEvent, out: &mut Vec<JobAction>) {
        match event {
            JobEvent::Submit { token, submission, now_unix_ms } => {
                self.env.unix_ms = now_unix_ms;
                self.submit(now, token, submission, out);
            }
            JobEvent::Status { token, job } => {
                self.start_request(now, token, job, RequestKind::Status, out);
            }
            JobEvent::Results { token, job } => {
                self.start_request(now, token, job, RequestKind::Results, out);
            }
            JobEvent::Cancel { token, job } => {
                self.start_request(now, token, job, RequestKind::Cancel, out);
            }
            JobEvent::ResultsConsumed { token } => self.on_results_consumed(now, token, out),
            JobEvent::CallerDisconnected { token } => self.on_caller_disconnected(token),
            JobEvent::StoreReplied { call, reply } => self.on_store_reply(now, call, reply, out),
            JobEvent::PlacesOffered { endpoint, model, places } => {
                let until = now + self.env.cfg.credit_ttl;
                self.credits.offer(endpoint, model, places, until);
            }
            JobEvent::ItemStarted { attempt } => self.attempts.on_started(attempt),
            JobEvent::ItemEnded { attempt, end } => self.on_item_ended(now, attempt, end, out),
            JobEvent::ProbeReply { holder, object, epoch, held } => {
                let mut cx = self.env.context(now, out);
                self.watch.on_probe_reply(holder, &object, epoch, held, &mut cx);
            }
            JobEvent::JobCancelled { job } => self.on_job_cancelled(&job, out),
            JobEvent::ClosedServices { models } => {
                self.closed_models = models.into_iter().collect();
            }
            JobEvent::LiveEntries { names } => self.watch.set_live_entries(names),
            JobEvent::Drain => {
                self.draining_since.get_or_insert(now);
            }
            JobEvent::Tick { now_unix_ms } => {
                self.env.unix_ms = now_unix_ms;
                self.on_tick(now, out);
            }
        }
        self.advance_jobs(now, out);
    }

    /// Returns `true` if this process holds the claim on an object in this epoch or is writing it.
    #[must_use]
    pub fn holds_claim(&self, object: &str, epoch: Epoch) -> bool {
        let prefix = header::KIND;
        let Some(job) = object.strip_prefix(prefix).and_then(|rest| rest.strip_prefix('/')) else {
            return false;
        };
        let driven = self.driven.get(job).is_some_and(|job| job.header.epoch == epoch);
        driven || self.claims.get(job).is_some_and(|claim| claim.epoch() == Some(epoch))
    }

    /// Returns the work that waits for batch places, per model.
    #[must_use]
    pub fn backlog(&self) -> Vec<Backlog> {
        let mut models: BTreeMap<&Name, (u32, i64)> = BTreeMap::new();
        for job in self.driven.values().filter(|job| job.ending.is_none() && job.waiting() > 0) {
            let slack = job.slack_ms(self.env.unix_ms);
            let entry = models.entry(&job.header.model).or_insert((0, i64::MAX));
            entry.0 = entry.0.saturating_add(job.waiting());
            entry.1 = entry.1.min(slack);
        }
        models
            .into_iter()
            .map(|(model, (items, slack_ms))| Backlog {
                model: Name::clone(model),
                items,
                slack_ms,
            })
            .collect()
    }

    /// Returns `true` if a graceful shutdown was started and no work is left.
    #[must_use]
    pub fn drained(&self) -> bool {
        self.draining_since.is_some() && self.drain_reasons().is_empty()
    }

    /// Returns the number of jobs driven by this process.
    #[must_use]
    pub fn driven_job_count(&self) -> usize {
        self.driven.len()
    }

    /// Returns the number of attempt results that arrived after the attempt was removed.
    #[must_use]
    pub fn late_attempt_ends(&self) -> u64 {
        self.late_attempt_ends
    }

    /// Returns the work that delays a graceful shutdown.
    #[must_use]
    pub fn drain_reasons(&self) -> Vec<DrainReason> {
        let mut reasons = Vec::new();
        if !self.intakes.is_empty() {
            reasons.push(DrainReason::Submissions(self.intakes.len()));
        }
        if !self.requests.is_empty() {
            reasons.push(DrainReason::Requests(self.requests.len()));
        }
        if !self.claims.is_empty() {
            reasons.push(DrainReason::Claims(self.claims.len()));
        }
        reasons.extend(
            self.driven
                .values()
                .map(|job| DrainReason::Job { job: Name::clone(&job.job), running: job.running }),
        );
        reasons
    }
}

/// # Requests from callers
impl JobCore {
    fn submit(
        &mut self,
        now: Timestamp,
        token: ReplyToken,
        submission: Submission,
        out: &mut Vec<JobAction>,
    ) {
        let bytes = match self.admit(&submission) {
            Ok(bytes) => bytes,
            Err(refusal) => {
                out.push(JobAction::Reply { token, reply: JobReply::NotRun(refusal) });
                return;
            }
        };
        let mut cx = self.env.context(now, out);
        let id = cx.unique_id();
        self.intakes.insert(id, Intake::start(id, token, (submission, bytes), &mut cx));
    }

    fn admit(&self, submission: &Submission) -> Result<usize, Refusal> {
        let cfg = &self.env.cfg;
        if self.draining_since.is_some() || self.intakes.len() >= cfg.max_intakes {
            return Err(Refusal::Busy);
        }
        if self.closed_models.contains(&submission.model) {
            return Err(Refusal::ServiceClosed);
        }
        let bytes = check(cfg, submission, self.env.unix_ms)?;
        let in_progress_bytes: usize = self.intakes.values().map(Intake::bytes).sum();
        if in_progress_bytes + bytes > cfg.max_intake_bytes {
            return Err(Refusal::Busy);
        }
        Ok(bytes)
    }

    fn start_request(
        &mut self,
        now: Timestamp,
        token: ReplyToken,
        job: Name,
        kind: RequestKind,
        out: &mut Vec<JobAction>,
    ) {
        let mut cx = self.env.context(now, out);
        let id = cx.unique_id();
        self.requests.insert(id, Request::start(id, token, job, kind, &mut cx));
    }

    fn on_results_consumed(&mut self, now: Timestamp, token: ReplyToken, out: &mut Vec<JobAction>) {
        let request = self.requests.iter_mut().find(|(_, request)| request.token() == token);
        let Some((&id, request)) = request else {
            return;
        };
        if request.next_part(id, &mut self.env.context(now, out)) == RequestState::Ended {
            self.requests.remove(&id);
        }
    }

    /// Drops the requests of a disconnected caller. Submissions and cancellations that have started
    /// continue.
    fn on_caller_disconnected(&mut self, token: ReplyToken) {
        self.requests.retain(|_, request| request.token() != token || request.is_cancel());
    }
}

/// # Timers
impl JobCore {
    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<JobAction>) {
        let mut cx = self.env.context(now, out);
        cx.calls.on_tick(now, cx.out);
        self.cancel_notifications.on_tick(now, cx.out);
        if self.draining_since.is_some() {
            return;
        }
        self.watch.on_tick(&mut cx);
        let claimed = self.driven.len() + self.claims.len();
        let free_slots = cx.cfg.max_driven.saturating_sub(claimed);
        for (job, dead_claim) in self.watch.take_due_checks(now, free_slots) {
            let claim = Claim::start(Name::clone(&job), dead_claim, &mut cx);
            self.claims.insert(job, claim);
        }
    }
}

/// Returns the object name used to probe the claim on a job.
#[must_use]
pub fn claim_object(job: &Name) -> Name {
    watch::object_name(job)
}
