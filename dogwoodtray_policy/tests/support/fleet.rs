//! Simulation of several endpoints with several independent routers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::EndpointKey;
use dogwoodtray_policy::HedgeConfig;
use dogwoodtray_policy::HedgePolicy;
use dogwoodtray_policy::PROBE_TOKENS;
use dogwoodtray_policy::RoutePolicy;
use dogwoodtray_policy::RouteRequest;
use dogwoodtray_policy::admission_policy;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::index;

use super::agent::Agent;
use super::agent::WorkEvent;
use super::engine::SLOPED;
use super::workload::Request;

pub(crate) const ENDPOINTS: usize = 18;
const ROUTERS: usize = 3;
/// A fifth of the endpoints, rounded up.
const SLOWED_ENDPOINTS: usize = 4;
const SLOW_FACTOR: f64 = 5.0;
const SLOWDOWN_INTERVAL_US: u64 = 10_000_000;
const REPORT_INTERVAL_US: u64 = 500_000;
const REPORT_DELAY_US: u64 = 1_000_000;
/// Prefixes that the cache of one engine holds, and the prompt tokens that a hit saves.
const CACHED_PREFIXES: usize = 20;
const PREFIX_TOKENS: u32 = 400;
/// Bit in the id of the second attempt of a hedged request.
const HEDGE_BIT: u64 = 1 << 40;
/// Bit in the id of the rest of a stream that was resumed on another endpoint.
const RESUMED_BIT: u64 = 1 << 41;
/// Bit in the id of a copy that probes a slow endpoint.
const PROBE_BIT: u64 = 1 << 42;
const ATTEMPT_BITS: u64 = HEDGE_BIT | RESUMED_BIT | PROBE_BIT;
/// Minimum number of remaining tokens for resuming a stream on another endpoint.
const MIN_RESUMED_TOKENS: u32 = 10;
/// Share of the requests that may be resumed on another endpoint.
const RESUME_BUDGET: f64 = 0.04;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) hedge: bool,
    pub(crate) resume: bool,
    pub(crate) slowed: bool,
    pub(crate) seed: u64,
}

/// Measurements of one run.
#[derive(Debug, Default)]
pub(crate) struct Measurements {
    pub(crate) first_token: Vec<f64>,
    pub(crate) total: Vec<f64>,
    pub(crate) prefix_hits: u64,
    pub(crate) hedges: u64,
    pub(crate) resumes: u64,
    pub(crate) sent: u64,
}

/// A running attempt.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    router: usize,
    endpoint: usize,
    sent_at: u64,
    last_token: Option<u64>,
}

/// An entry and its router.
struct Entry {
    router: Box<dyn RoutePolicy>,
    keys: Vec<EndpointKey>,
    hedge: HedgePolicy,
    resumes: HedgePolicy,
    rng: StdRng,
}

/// A load report in transit: time of arrival, endpoint, free online places, queued online requests.
type Report = (u64, usize, u32, u32);

/// Endpoints, entries and attempts in virtual time.
pub(crate) struct Fleet<'a> {
    setup: Setup,
    model: Name,
    trace: &'a [Request],
    agents: Vec<Agent>,
    caches: Vec<VecDeque<u64>>,
    entries: Vec<Entry>,
    attempts: HashMap<u64, Attempt>,
    awaiting_first_token: VecDeque<u64>,
    reports: VecDeque<Report>,
    measurements: Measurements,
}

impl<'a> Fleet<'a> {
    pub(crate) fn new(
        setup: Setup,
        trace: &'a [Request],
        new_policy: impl Fn() -> Box<dyn RoutePolicy>,
    ) -> Self {
        let model: Name = "m".into();
        let agent = |_| {
            Agent::new(admission_policy("adaptive", AdmissionConfig::default()).unwrap(), SLOPED)
        };
        let entry = |n: usize| {
            let mut router = new_policy();
            let keys = (0..ENDPOINTS)
                .map(|_| router.add(std::slice::from_ref(&model), &"dc".into()))
                .collect();
            let rng = StdRng::seed_from_u64(setup.seed * 10 + n as u64);
            let hedge = HedgePolicy::new(HedgeConfig::default());
            let resume_cfg = HedgeConfig { budget: RESUME_BUDGET, ..HedgeConfig::default() };
            Entry { router, keys, hedge, resumes: HedgePolicy::new(resume_cfg), rng }
        };
        Self {
            setup,
            trace,
            agents: (0..ENDPOINTS).map(agent).collect(),
            caches: vec![VecDeque::new(); ENDPOINTS],
            entries: (0..ROUTERS).map(entry).collect(),
            model,
            attempts: HashMap::new(),
            awaiting_first_token: VecDeque::new(),
            reports: VecDeque::new(),
            measurements: Measurements::default(),
        }
    }

    /// Runs the simulation until every request has ended.
    pub(crate) fn run(mut self) -> Measurements {
        let trace = self.trace;
        let mut arrivals = trace.iter().enumerate().peekable();
        let (mut next_report, mut next_slowdown) = (0, 0);
        loop {
            let step = self.agents.iter().filter_map(|agent| agent.step_end).min();
            let arrival = arrivals.peek().map(|(_, request)| request.at);
            let Some(now) = step.into_iter().chain(arrival).min() else { return self.measurements };
            if self.setup.slowed && now >= next_slowdown {
                next_slowdown = now + SLOWDOWN_INTERVAL_US;
                self.change_slowed_endpoints(now);
            }
            if now >= next_report {
                next_report = now + REPORT_INTERVAL_US;
                self.send_reports(now);
            }
            self.deliver_reports(now);
            if arrival == Some(now) {
                let (id, request) = arrivals.next().unwrap();
                self.send(now, id as u64, request, None);
            }
            self.hedge_late_requests(now);
            for endpoint in 0..ENDPOINTS {
                if self.agents[endpoint].step_end == Some(now) {
                    self.agents[endpoint].step(now);
                }
                self.process_events(now, endpoint);
            }
        }
    }

    /// Selects the endpoints that are slow until the next change.
    fn change_slowed_endpoints(&mut self, now: u64) {
        let mut rng = StdRng::seed_from_u64(self.setup.seed ^ now);
        self.agents.iter_mut().for_each(|agent| agent.engine.step_time_factor = 1.0);
        for endpoint in index::sample(&mut rng, ENDPOINTS, SLOWED_ENDPOINTS) {
            self.agents[endpoint].engine.step_time_factor = SLOW_FACTOR;
        }
    }

    fn send_reports(&mut self, now: u64) {
        for (endpoint, agent) in self.agents.iter().enumerate() {
            let (free, queued) = (agent.policy.free_online(), agent.policy.queued_online());
            self.reports.push_back((now + REPORT_DELAY_US, endpoint, free, queued));
        }
    }

    fn deliver_reports(&mut self, now: u64) {
        while let Some((_, endpoint, free, queued)) = self.reports.pop_front_if(|r| r.0 <= now) {
            for entry in &mut self.entries {
                entry.router.record_load_report(
                    Timestamp(now),
                    entry.keys[endpoint],
                    free,
                    0,
                    queued,
                );
            }
        }
    }

    /// Sends a request to an endpoint, except the excluded one.
    fn send(&mut self, now: u64, id: u64, request: &Request, exclude: Option<usize>) {
        let router = ((id & !ATTEMPT_BITS) % ROUTERS as u64) as usize;
        let entry = &mut self.entries[router];
        let mut route_request = RouteRequest::new(self.model.clone(), request.cost);
        route_request.prefix = request.prefix;
        route_request.exclude.extend(exclude.map(|endpoint| entry.keys[endpoint]));
        let key = entry.router.pick(Timestamp(now), &route_request, &mut entry.rng).unwrap();
        if id & ATTEMPT_BITS == 0 {
            let probe = entry
                .router
                .due_probe(Timestamp(now), &route_request)
                .filter(|_| self.setup.resume);
            entry.hedge.record_request();
            entry.resumes.record_request();
            self.awaiting_first_token.push_back(id);
            if let Some(probe) = probe {
                self.send_to(now, id | PROBE_BIT, request, probe);
            }
        }
        self.send_to(now, id, request, key);
    }

    /// Sends an attempt to the endpoint with the key.
    fn send_to(&mut self, now: u64, id: u64, request: &Request, key: EndpointKey) {
        let router = ((id & !ATTEMPT_BITS) % ROUTERS as u64) as usize;
        let entry = &mut self.entries[router];
        let endpoint = entry.keys.iter().position(|k| *k == key).unwrap();
        entry.router.record_sent(Timestamp(now), key, Class::Online, request.cost);
        self.measurements.sent += 1;
        let attempt = Attempt { router, endpoint, sent_at: now, last_token: None };
        self.attempts.insert(id, attempt);
        let cost = self.apply_prefix_cache(endpoint, request);
        self.agents[endpoint].arrive(now, id, Class::Online, cost, request.output);
        self.agents[endpoint].start_step(now);
    }

    /// Applies the prefix cache of an endpoint and returns the cost of the request there.
    fn apply_prefix_cache(&mut self, endpoint: usize, request: &Request) -> Cost {
        let cache = &mut self.caches[endpoint];
        let hit = cache.iter().position(|prefix| *prefix == request.prefix);
        cache.push_front(request.prefix);
        match hit {
            Some(index) => cache.remove(index + 1),
            None => None,
        };
        cache.truncate(CACHED_PREFIXES);
        self.measurements.prefix_hits += u64::from(hit.is_some());
        let extra = if hit.is_some() { 0 } else { PREFIX_TOKENS };
        Cost { prompt_tokens: request.cost.prompt_tokens + extra, ..request.cost }
    }

    fn hedge_late_requests(&mut self, now: u64) {
        while self.setup.hedge {
            let Some(&id) = self.awaiting_first_token.front() else { return };
            let Some(attempt) = self.attempts.get(&id).filter(|a| a.last_token.is_none()) else {
                self.awaiting_first_token.pop_front();
                continue;
            };
            let hedge = &mut self.entries[attempt.router].hedge;
            let Some(delay) = hedge.hedge_delay(&self.model) else { return };
            if now - attempt.sent_at < delay.as_micros() as u64 {
                return;
            }
            self.awaiting_first_token.pop_front();
            if hedge.try_consume_budget() {
                self.measurements.hedges += 1;
                self.send(now, id | HEDGE_BIT, &self.trace[id as usize], Some(attempt.endpoint));
            }
        }
    }

    fn process_events(&mut self, now: u64, endpoint: usize) {
        for (id, work, work_event) in std::mem::take(&mut self.agents[endpoint].events) {
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            let entry = &mut self.entries[attempt.router];
            let (at, key) = (Timestamp(now), entry.keys[endpoint]);
            let request = &self.trace[(id & !ATTEMPT_BITS) as usize];
            let last = attempt.last_token.replace(now);
            match work_event {
                WorkEvent::FirstToken => {
                    let time_to_first_token = Duration::from_micros(now - attempt.sent_at);
                    entry.router.record_first_token(at, key, time_to_first_token);
                    if id & (RESUMED_BIT | PROBE_BIT) != 0 {
                        continue;
                    }
                    entry.hedge.record_first_token(&self.model, time_to_first_token);
                    self.measurements.first_token.push((now - request.at) as f64 / 1e3);
                    self.cancel_attempt(now, id ^ HEDGE_BIT);
                }
                WorkEvent::Token { tokens } => {
                    let gap = Duration::from_micros(now - last.unwrap_or(now));
                    entry.router.record_token_gap(at, key, gap);
                    if id & PROBE_BIT != 0 && tokens >= PROBE_TOKENS {
                        self.cancel_attempt(now, id);
                        continue;
                    }
                    let left = work.output - tokens;
                    let can_resume = self.setup.resume && id & (RESUMED_BIT | PROBE_BIT) == 0;
                    let is_worth_resuming = can_resume && left >= MIN_RESUMED_TOKENS;
                    if is_worth_resuming
                        && entry.router.is_slow(key)
                        && entry.resumes.try_consume_budget()
                    {
                        self.resume_on_another_endpoint(now, id, tokens);
                    }
                }
                WorkEvent::Ended | WorkEvent::Refused | WorkEvent::Cancelled { .. } => {
                    let policy = &self.agents[endpoint].policy;
                    let (free, queued) = (policy.free_online(), policy.queued_online());
                    entry.router.record_finished(at, key, Class::Online, work.cost, true);
                    entry.router.record_load_report(at, key, free, 0, queued);
                    if id & PROBE_BIT == 0 {
                        self.measurements.total.push((now - request.at) as f64 / 1e3);
                    }
                    self.attempts.remove(&id);
                }
            }
        }
    }

    /// Cancels an attempt and resumes it on another endpoint.
    fn resume_on_another_endpoint(&mut self, now: u64, id: u64, tokens: u32) {
        let endpoint = self.attempts[&id].endpoint;
        self.cancel_attempt(now, id);
        let mut rest = self.trace[(id & !ATTEMPT_BITS) as usize];
        rest.cost.prompt_tokens += tokens;
        rest.cost.output_tokens -= tokens;
        rest.output -= tokens;
        self.measurements.resumes += 1;
        self.send(now, id | RESUMED_BIT, &rest, Some(endpoint));
    }

    /// Cancels an attempt, if it exists.
    fn cancel_attempt(&mut self, now: u64, id: u64) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let entry = &mut self.entries[attempt.router];
        let cost = self.trace[(id & !ATTEMPT_BITS) as usize].cost;
        let key = entry.keys[attempt.endpoint];
        entry.router.record_finished(Timestamp(now), key, Class::Online, cost, true);
        self.agents[attempt.endpoint].withdraw(now, id);
    }
}
