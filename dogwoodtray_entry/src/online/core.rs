//! State and event handling of the online core.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::EvidencePool;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RetryBudget;
use dogwoodtray_coord::RetryBudgetConfig;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialSubject;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::HedgeConfig;
use dogwoodtray_policy::HedgePolicy;
use dogwoodtray_policy::RoutePolicy;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::BatchEnd;
use super::LinkNo;
use super::OnlineAction;
use super::OnlineEvent;
use super::PeerInfo;
use super::RequestNo;
use super::RequestSpec;
use super::attempt::Attempt;
use super::attempt::Owner;
use super::blocks::Admission;
use super::endpoints::AgentProcess;
use super::endpoints::Endpoints;
use super::event::AttemptOutcome;
use super::event::NotRunReason;
use super::request::Request;

/// Allows one retry for ten successes. The minimum lets a few requests be retried after the crash
/// of an endpoint at low load; the maximum covers all requests of one fully loaded endpoint.
const RETRY_BUDGET: RetryBudgetConfig =
    RetryBudgetConfig { ratio_permille: 100, min_per_sec: 10, max_saved: 100 };

/// Maximum fraction of requests whose streams are moved away from slow endpoints. About 3% of the
/// requests are running on an endpoint when it slows down.
const MOVE_BUDGET: f64 = 0.04;

/// Settings of [`OnlineCore`].
#[derive(Clone, Debug)]
pub struct OnlineConfig {
    /// Incarnation of the process, which is part of attempt ids.
    pub incarnation: Incarnation,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time of the start, from which retries are earned.
    pub started_at: Timestamp,
    /// Maximum number of concurrent requests; further requests are refused.
    pub max_requests: usize,
    /// Number of attempts of one request that may fail before the request is refused.
    pub max_failed_attempts: u32,
    /// Maximum time that a request waits for a free place before it is refused.
    pub max_wait: Duration,
    /// Time after which the attempts of a disconnected agent count as lost.
    pub detach_timeout: Duration,
    /// Time after which the non-idempotent attempts of a disconnected agent count as lost.
    pub detach_timeout_non_idempotent: Duration,
    /// Whether a second attempt is started for slow requests.
    pub hedging: bool,
}

impl OnlineConfig {
    /// Creates settings with default limits.
    #[must_use]
    pub const fn new(incarnation: Incarnation, seed: u64) -> Self {
        Self {
            incarnation,
            seed,
            started_at: Timestamp::ZERO,
            max_requests: 8192,
            max_failed_attempts: 3,
            max_wait: Duration::from_secs(10),
            detach_timeout: Duration::from_secs(3),
            detach_timeout_non_idempotent: Duration::from_secs(20),
            hedging: true,
        }
    }
}

/// State machine that routes online requests and batch attempts to endpoints.
///
/// Handles events and returns actions; performs no I/O and reads no clock.
#[derive(Debug)]
pub struct OnlineCore {
    pub(super) cfg: OnlineConfig,
    pub(super) router: Box<dyn RoutePolicy>,
    pub(super) hedge_policy: HedgePolicy,
    /// Budget for moving streams away from slow endpoints.
    pub(super) move_budget: HedgePolicy,
    pub(super) retry_budget: RetryBudget,
    pub(super) pool: EvidencePool,
    pub(super) rng: StdRng,
    pub(super) endpoints: Endpoints,
    pub(super) requests: BTreeMap<RequestNo, Request>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// Requests that wait for a free place.
    pub(super) waiting: BTreeSet<RequestNo>,
    /// Requests without a first token, in order of arrival.
    pub(super) unanswered: BTreeSet<RequestNo>,
    pub(super) next_attempt: u64,
    /// Number of the last trial of blocked contents.
    pub(super) last_trial: u64,
    /// Time at which the leases of trials are extended next.
    pub(super) renew_trials_at: Timestamp,
}

/// # Construction and state
impl OnlineCore {
    /// Creates a core without endpoints.
    #[must_use]
    pub fn new(cfg: OnlineConfig, router: Box<dyn RoutePolicy>) -> Self {
        Self {
            router,
            hedge_policy: HedgePolicy::new(HedgeConfig::default()),
            move_budget: HedgePolicy::new(HedgeConfig {
                budget: MOVE_BUDGET,
                ..HedgeConfig::default()
            }),
            retry_budget: RetryBudget::new(cfg.started_at, RETRY_BUDGET),
            pool: EvidencePool::new(cfg.incarnation.0),
            rng: StdRng::seed_from_u64(cfg.seed),
            endpoints: Endpoints::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            waiting: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            next_attempt: 0,
            last_trial: 0,
            renew_trials_at: Timestamp::ZERO,
            cfg,
        }
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of attempts in flight, including those of jobs.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of connected endpoints.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.endpoints.connected_count()
    }

    /// Returns the distinct models that the connected endpoints serve, in order.
    #[must_use]
    pub fn models(&self) -> BTreeSet<Name> {
        self.endpoints.connected_models().cloned().collect()
    }

    /// Returns the models that the agent on a link serves.
    #[must_use]
    pub fn models_on_link(&self, link: LinkNo) -> Vec<Name> {
        self.endpoints.models_on_link(link)
    }
}

/// # Events
impl OnlineCore {
    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: OnlineEvent, actions: &mut Vec<OnlineAction>) {
        match event {
            OnlineEvent::Submit { request, spec } => self.on_submit(now, request, spec, actions),
            OnlineEvent::CallerDisconnected { request } => {
                self.on_caller_disconnected(now, request, actions);
            }
            OnlineEvent::SubmitBatch { attempt, link, spec, resume_from } => {
                self.on_submit_batch(now, attempt, link, spec, resume_from, actions);
            }
            OnlineEvent::CancelBatch { attempt } => self.cancel_attempt(attempt, actions),
            OnlineEvent::LinkUp { link, peer } => self.on_link_up(now, link, &peer, actions),
            OnlineEvent::LinkDown { link } => self.on_link_down(now, link),
            OnlineEvent::Report { link, leaving, free_online, free_batch, queued_online } => {
                let key = self.endpoints.set_leaving(self.router.as_mut(), link, leaving);
                if let Some(key) = key {
                    self.router.record_load_report(
                        now,
                        key,
                        free_online,
                        free_batch,
                        queued_online,
                    );
                }
            }
            OnlineEvent::Started { attempt } => self.on_started(attempt, actions),
            OnlineEvent::Chunk { attempt, offset, data, tokens } => {
                self.on_chunk(now, attempt, offset, data, tokens, actions);
            }
            OnlineEvent::Done { attempt, done } => self.on_done(now, attempt, done, actions),
            OnlineEvent::Tick => self.on_tick(now, actions),
        }
    }

    fn on_submit(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        spec: Arc<RequestSpec>,
        actions: &mut Vec<OnlineAction>,
    ) {
        let request = Request::new(Arc::clone(&spec), now);
        self.requests.insert(request_no, request);
        if self.requests.len() > self.cfg.max_requests {
            return self.refuse(
                now,
                request_no,
                "too many requests are waiting or running",
                actions,
            );
        }
        self.hedge_policy.record_request();
        self.move_budget.record_request();
        self.unanswered.insert(request_no);
        self.place(now, request_no, actions);
    }

    fn on_caller_disconnected(
        &mut self,
        now: Timestamp,
        request_no: RequestNo,
        actions: &mut Vec<OnlineAction>,
    ) {
        let Some(request) = self.requests.get(&request_no) else { return };
        if !request.spec.idempotent && !request.in_flight.is_empty() {
            // The outcome of a non-idempotent request is recorded even if its caller disconnected.
            return;
        }
        self.remove_request(now, request_no, actions);
    }

    fn on_submit_batch(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        link: LinkNo,
        spec: Arc<RequestSpec>,
        resume_from: u32,
        actions: &mut Vec<OnlineAction>,
    ) {
        let reachable = self.endpoints.get_by_link(link).filter(|(_, e)| e.link == Some(link));
        let not_run = |reason| BatchEnd {
            outcome: AttemptOutcome::NotRun(reason),
            content_type: Name::from(""),
            answer: bytes::Bytes::new(),
            tokens: resume_from,
        };
        let Some((node, endpoint)) = reachable.filter(|(_, e)| !e.leaving) else {
            let end = not_run(NotRunReason::Leaving);
            return actions.push(OnlineAction::BatchEnded { attempt: id, end });
        };
        let (node, endpoint) = (Name::clone(node), endpoint.key);
        // An item that must not run twice ends with its first crash.
        let admission = if spec.idempotent {
            self.admit(now, TrialSubject::Item, &spec, None)
        } else {
            Admission::Allowed
        };
        let trial = match admission {
            Admission::Allowed | Admission::Undecided => Ok(None),
            Admission::Blocked { .. } => Err(()),
            Admission::Trial(contents) => {
                self.start_trial(now, TrialSubject::Item, contents, None).map(Some).ok_or(())
            }
        };
        let Ok(trial) = trial else {
            let end = not_run(NotRunReason::Blocked);
            return actions.push(OnlineAction::BatchEnded { attempt: id, end });
        };
        let attempt = Attempt {
            id,
            owner: Owner::Job,
            spec: Arc::clone(&spec),
            node,
            endpoint,
            link: Some(link),
            sent_at: now,
            last_token: None,
            detached_at: now,
            received_bytes: 0,
            tokens: resume_from,
            resume_from,
            answer: BytesMut::new(),
            // Items are held by the evidence of several crashes, not after the first one.
            suspect: false,
            trial,
            cancelled: false,
        };
        self.dispatch(now, attempt, spec.timeout, actions);
    }

    fn on_link_up(
        &mut self,
        now: Timestamp,
        link: LinkNo,
        peer: &PeerInfo,
        actions: &mut Vec<OnlineAction>,
    ) {
        // It is unknown whether the endpoint crashed together with its agent. The loss counts as a
        // crash, because a request that crashes endpoints would otherwise be treated as harmless.
        let has_crashed = self.endpoints.get_by_node(&peer.node).is_some();
        match self.endpoints.link_up(self.router.as_mut(), link, peer) {
            AgentProcess::Known => self.reattach_all(link, &peer.node, actions),
            AgentProcess::New => {
                for id in self.attempts_at(&peer.node) {
                    self.end_lost_attempt(now, id, has_crashed, actions);
                }
            }
        }
    }

    fn on_link_down(&mut self, now: Timestamp, link: LinkNo) {
        self.endpoints.link_down(self.router.as_mut(), link);
        for attempt in self.attempts.values_mut().filter(|a| a.link == Some(link)) {
            attempt.link = None;
            attempt.detached_at = now;
        }
    }

    fn reattach_all(&mut self, link: LinkNo, node: &str, actions: &mut Vec<OnlineAction>) {
        for attempt in self.attempts.values_mut().filter(|a| &*a.node == node) {
            attempt.link = Some(link);
            let (id, offset) = (attempt.id, attempt.received_bytes);
            actions.push(OnlineAction::Reattach { link, attempt: id, offset });
            if attempt.cancelled {
                actions.push(OnlineAction::Cancel { link, attempt: id });
            }
        }
    }

    pub(super) fn attempts_at(&self, node: &str) -> Vec<AttemptId> {
        self.attempts.values().filter(|a| &*a.node == node).map(|a| a.id).collect()
    }

    pub(super) fn next_attempt_id(&mut self) -> AttemptId {
        self.next_attempt += 1;
        AttemptId { incarnation: self.cfg.incarnation, counter: self.next_attempt }
    }

    pub(super) const fn class_of(attempt: &Attempt) -> Class {
        match attempt.owner {
            Owner::Request(_) | Owner::Probe => Class::Online,
            Owner::Job => Class::Batch,
        }
    }
}
