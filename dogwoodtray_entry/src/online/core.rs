//! State of the online core and the handling of events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Quarantine;
use dogwoodtray_coord::RetryBudget;
use dogwoodtray_coord::RetryBudgetConfig;
use dogwoodtray_coord::Suspicion;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Verdict;
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
use super::RequestEnd;
use super::RequestNo;
use super::RequestSpec;
use super::attempt::Attempt;
use super::attempt::Owner;
use super::endpoints::Arrival;
use super::endpoints::Endpoints;
use super::event::AttemptEnd;
use super::event::NotRunReason;
use super::request::Request;

/// One retry for ten successes. The floor lets a few requests survive the death of an endpoint
/// when little else runs; the ceiling covers one endpoint full of requests.
const RETRY_BUDGET: RetryBudgetConfig =
    RetryBudgetConfig { ratio_permille: 100, min_per_sec: 10, max_saved: 100 };

/// Streams that may be resumed away from slow endpoints, as a share of the requests. About 3% of
/// the requests are inside an endpoint when it slows down.
const MOVE_BUDGET: f64 = 0.04;

/// Settings of [`OnlineCore`].
#[derive(Clone, Debug)]
pub struct OnlineConfig {
    /// Incarnation of the process; part of attempt ids.
    pub incarnation: Incarnation,
    /// Seed of the random generator.
    pub seed: u64,
    /// Most requests at a time; more are refused.
    pub max_requests: usize,
    /// Attempts of one request that may fail before it is given up.
    pub max_failures: u32,
    /// Longest time that a request waits for a place before it is refused.
    pub max_wait: Duration,
    /// Time after which the attempts of an agent that is out of reach are given up.
    pub detach_timeout: Duration,
    /// Time for which a non-idempotent attempt of such an agent is still waited for.
    pub detach_timeout_once: Duration,
    /// Whether slow requests get a second attempt.
    pub hedging: bool,
    /// Suspects that are remembered.
    pub max_suspects: usize,
}

impl OnlineConfig {
    /// Creates settings with the usual limits.
    #[must_use]
    pub const fn new(incarnation: Incarnation, seed: u64) -> Self {
        Self {
            incarnation,
            seed,
            max_requests: 8192,
            max_failures: 3,
            max_wait: Duration::from_secs(10),
            detach_timeout: Duration::from_secs(3),
            detach_timeout_once: Duration::from_secs(20),
            hedging: true,
            max_suspects: 4096,
        }
    }
}

/// Decides where requests run and what their callers receive.
#[derive(Debug)]
pub struct OnlineCore {
    pub(super) cfg: OnlineConfig,
    pub(super) router: Box<dyn RoutePolicy>,
    pub(super) hedge: HedgePolicy,
    /// Budget of streams that are resumed away from slow endpoints.
    pub(super) moves: HedgePolicy,
    pub(super) retries: RetryBudget,
    pub(super) quarantine: Quarantine,
    pub(super) suspicion_news: bool,
    pub(super) rng: StdRng,
    pub(super) endpoints: Endpoints,
    pub(super) requests: BTreeMap<RequestNo, Request>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// Requests that wait for a place.
    pub(super) waiting: BTreeSet<RequestNo>,
    /// Requests without a first token, in order of arrival.
    pub(super) unanswered: BTreeSet<RequestNo>,
    pub(super) next_attempt: u64,
}

/// # Construction and state
impl OnlineCore {
    /// Creates a core without endpoints.
    #[must_use]
    pub fn new(cfg: OnlineConfig, router: Box<dyn RoutePolicy>) -> Self {
        Self {
            router,
            hedge: HedgePolicy::new(HedgeConfig::default()),
            moves: HedgePolicy::new(HedgeConfig { budget: MOVE_BUDGET, ..HedgeConfig::default() }),
            retries: RetryBudget::new(Timestamp::ZERO, RETRY_BUDGET),
            quarantine: Quarantine::new(cfg.max_suspects),
            suspicion_news: false,
            rng: StdRng::seed_from_u64(cfg.seed),
            endpoints: Endpoints::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            waiting: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            next_attempt: 0,
            cfg,
        }
    }

    /// Returns the number of requests that are not yet answered.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of attempts that are out, those of jobs included.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of endpoints within reach.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the models that the endpoints within reach serve, in order and once each.
    #[must_use]
    pub fn models(&self) -> BTreeSet<Name> {
        self.endpoints.models().cloned().collect()
    }

    /// Returns the models that the agent on a link serves.
    #[must_use]
    pub fn models_of(&self, link: LinkNo) -> Vec<Name> {
        self.endpoints.models_of(link)
    }

    /// Takes over suspicions heard from a peer.
    pub fn merge_suspicions(&mut self, suspicions: &[Suspicion]) {
        self.suspicion_news |= self.quarantine.merge(suspicions);
    }

    /// Tells whether there were news of suspects since the last call.
    ///
    /// News go out at once: a caller that resends a request within one heartbeat interval would
    /// otherwise reach endpoints whose agents have not heard of the last death.
    pub const fn take_suspicion_news(&mut self) -> bool {
        std::mem::replace(&mut self.suspicion_news, false)
    }

    /// Returns suspicions to pass on.
    pub fn gossip(&mut self, limit: usize) -> Vec<Suspicion> {
        self.quarantine.gossip(limit)
    }
}

/// # Events
impl OnlineCore {
    /// Handles one event and appends the actions that follow.
    pub fn handle(&mut self, now: Timestamp, event: OnlineEvent, out: &mut Vec<OnlineAction>) {
        match event {
            OnlineEvent::Submit { request, spec } => self.on_submit(now, request, spec, out),
            OnlineEvent::CallerGone { request } => self.on_caller_gone(now, request, out),
            OnlineEvent::SubmitBatch { attempt, link, spec, resume_from } => {
                self.on_submit_batch(now, attempt, link, spec, resume_from, out);
            }
            OnlineEvent::CancelBatch { attempt } => self.cancel(attempt, out),
            OnlineEvent::LinkUp { link, peer } => self.on_link_up(now, link, &peer, out),
            OnlineEvent::LinkDown { link } => self.on_link_down(now, link),
            OnlineEvent::Report { link, leaving, free_online, free_batch, queued_online } => {
                let key = self.endpoints.set_leaving(self.router.as_mut(), link, leaving);
                if let Some(key) = key {
                    self.router.report(now, key, free_online, free_batch, queued_online);
                }
            }
            OnlineEvent::Started { attempt } => self.on_started(attempt, out),
            OnlineEvent::Chunk { attempt, offset, data, tokens } => {
                self.on_chunk(now, attempt, offset, data, tokens, out);
            }
            OnlineEvent::Done { attempt, done } => self.on_done(now, attempt, done, out),
            OnlineEvent::Tick => self.on_tick(now, out),
        }
    }

    fn on_submit(
        &mut self,
        now: Timestamp,
        no: RequestNo,
        spec: Arc<RequestSpec>,
        out: &mut Vec<OnlineAction>,
    ) {
        let request = Request::new(Arc::clone(&spec), now);
        self.requests.insert(no, request);
        if self.requests.len() > self.cfg.max_requests {
            return self.refuse(now, no, "too many requests are waiting or running", out);
        }
        if self.quarantine.verdict(spec.content) == Verdict::Refused {
            return self.finish(now, no, RequestEnd::Quarantined, out);
        }
        self.hedge.request_sent();
        self.moves.request_sent();
        self.unanswered.insert(no);
        self.place(now, no, out);
    }

    fn on_caller_gone(&mut self, now: Timestamp, no: RequestNo, out: &mut Vec<OnlineAction>) {
        let Some(request) = self.requests.get(&no) else { return };
        if !request.spec.idempotent && !request.out.is_empty() {
            // The outcome of a non-idempotent request is recorded even if nobody waits for it.
            return;
        }
        self.forget_request(now, no, out);
    }

    fn on_submit_batch(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        link: LinkNo,
        spec: Arc<RequestSpec>,
        resume_from: u32,
        out: &mut Vec<OnlineAction>,
    ) {
        let verdict = self.quarantine.verdict(spec.content);
        if verdict == Verdict::Refused {
            return out.push(OnlineAction::BatchEnded { attempt: id, end: BatchEnd::Quarantined });
        }
        let reachable = self.endpoints.of_link(link).filter(|(_, e)| e.link == Some(link));
        let Some((node, endpoint)) = reachable.filter(|(_, e)| !e.leaving) else {
            let end = BatchEnd::Ended {
                end: AttemptEnd::NotRun(NotRunReason::Leaving),
                content_type: Name::from(""),
                answer: bytes::Bytes::new(),
                tokens: resume_from,
            };
            return out.push(OnlineAction::BatchEnded { attempt: id, end });
        };
        let attempt = Attempt {
            id,
            owner: Owner::Job,
            spec: Arc::clone(&spec),
            node: Name::clone(node),
            endpoint: endpoint.key,
            link: Some(link),
            sent_at: now,
            last_token: None,
            detached_at: now,
            received: 0,
            tokens: resume_from,
            resume_from,
            answer: BytesMut::new(),
            suspect: verdict == Verdict::Suspect,
            cancelled: false,
        };
        self.send(now, attempt, spec.timeout, out);
    }

    fn on_link_up(
        &mut self,
        now: Timestamp,
        link: LinkNo,
        peer: &PeerInfo,
        out: &mut Vec<OnlineAction>,
    ) {
        // Whether the endpoint died with its agent cannot be known any more. A request that kills
        // endpoints must not count as harmless for that, so the loss counts as a death.
        let death = self.endpoints.of_node(&peer.node).map(|known| known.incarnation.0);
        match self.endpoints.link_up(self.router.as_mut(), link, peer) {
            Arrival::Same => self.reattach_all(link, &peer.node, out),
            Arrival::New => {
                for id in self.attempts_at(&peer.node) {
                    self.end_lost(now, id, death, out);
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

    fn reattach_all(&mut self, link: LinkNo, node: &str, out: &mut Vec<OnlineAction>) {
        for attempt in self.attempts.values_mut().filter(|a| &*a.node == node) {
            attempt.link = Some(link);
            let (id, offset) = (attempt.id, attempt.received);
            out.push(OnlineAction::Reattach { link, attempt: id, offset });
            if attempt.cancelled {
                out.push(OnlineAction::Cancel { link, attempt: id });
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
