//! Simulation of several job cores with one store in virtual time, with simulated agents and an
//! oracle.
#![allow(dead_code, reason = "not every test file uses all helpers")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

pub(crate) mod agents;
pub(crate) mod chaos;
pub(crate) mod oracle;
pub(crate) mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_entry::jobs::CallId;
use dogwoodtray_entry::jobs::EntryIdentity;
use dogwoodtray_entry::jobs::JobAction;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobCore;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;
use dogwoodtray_entry::jobs::ReplyToken;
use dogwoodtray_entry::jobs::Submission;
use dogwoodtray_platform::MemoryStore;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::agents::Agents;
pub(crate) use self::store::Faults;

pub(crate) const TICK: Duration = Duration::from_millis(50);
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const START_UNIX_MS: u64 = 1_700_000_000_000;

pub(crate) struct Process {
    pub(crate) core: JobCore,
    pub(crate) identity: EntryIdentity,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    pub(crate) draining: bool,
    inbox: Vec<JobEvent>,
}

enum SimulationEvent {
    Deliver(usize, Incarnation, JobEvent),
    Apply(usize, Incarnation, Option<CallId>, StoreOp),
}

pub(crate) struct Simulation {
    pub(crate) now: Timestamp,
    pub(crate) rng: StdRng,
    pub(crate) store: MemoryStore,
    pub(crate) faults: Faults,
    pub(crate) cfg: JobConfig,
    pub(crate) processes: Vec<Process>,
    pub(crate) agents: Agents,
    pub(crate) replies: BTreeMap<ReplyToken, Vec<(Timestamp, JobReply)>>,
    /// Number of store calls by kind of object and type of call.
    pub(crate) calls: BTreeMap<(String, &'static str), u64>,
    pub(crate) largest: BTreeMap<String, usize>,
    queue: BTreeMap<(Timestamp, u64), SimulationEvent>,
    seq: u64,
    last_token: u64,
    next_tick: Timestamp,
    cancel_requests: BTreeMap<ReplyToken, Name>,
    down: bool,
}

impl Simulation {
    pub(crate) fn new(seed: u64, processes: usize, cfg: JobConfig) -> Self {
        let mut sim = Self {
            now: Timestamp::ZERO,
            rng: StdRng::seed_from_u64(seed),
            store: MemoryStore::new(),
            faults: Faults::default(),
            cfg,
            processes: Vec::new(),
            agents: Agents::new(seed),
            replies: BTreeMap::new(),
            calls: BTreeMap::new(),
            largest: BTreeMap::new(),
            queue: BTreeMap::new(),
            seq: 0,
            last_token: 0,
            next_tick: Timestamp::ZERO,
            cancel_requests: BTreeMap::new(),
            down: false,
        };
        for _ in 0..processes {
            sim.start_process();
        }
        sim
    }

    pub(crate) fn start_process(&mut self) -> usize {
        let index = self.processes.len();
        let name = Name::from(format!("entry-{index}"));
        let incarnation = Incarnation(self.rng.random());
        let identity = EntryIdentity { name: Name::clone(&name), addr: name, incarnation };
        let core = JobCore::new(self.cfg.clone(), identity.clone(), self.rng.random());
        self.processes.push(Process {
            core,
            identity,
            alive: true,
            paused: false,
            draining: false,
            inbox: Vec::new(),
        });
        self.announce_live_entries();
        index
    }

    pub(crate) fn announce_live_entries(&mut self) {
        let names: Vec<Name> = self
            .processes
            .iter()
            .filter(|p| p.alive)
            .map(|p| Name::clone(&p.identity.name))
            .collect();
        for index in 0..self.processes.len() {
            self.deliver(index, JobEvent::LiveEntries { names: names.clone() });
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.processes[index].alive = false;
        self.announce_live_entries();
    }

    pub(crate) fn pause(&mut self, index: usize, paused: bool) {
        self.processes[index].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.processes[index].inbox) {
                self.deliver(index, event);
            }
        }
    }

    pub(crate) fn drain(&mut self, index: usize) {
        self.processes[index].draining = true;
        self.deliver(index, JobEvent::Drain);
    }

    /// Stops the processes whose graceful shutdown is complete.
    pub(crate) fn stop_drained(&mut self) {
        for index in 0..self.processes.len() {
            if self.processes[index].alive && self.processes[index].core.drained() {
                self.kill(index);
            }
        }
    }

    pub(crate) fn set_down(&mut self, down: bool) {
        self.down = down;
        self.store.set_down(down);
    }

    pub(crate) fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now.as_micros() / 1_000
    }

    fn token(&mut self) -> ReplyToken {
        self.last_token += 1;
        ReplyToken(self.last_token)
    }

    pub(crate) fn submit(&mut self, index: usize, submission: Submission) -> ReplyToken {
        let token = self.token();
        let now_unix_ms = self.unix_ms();
        self.deliver(index, JobEvent::Submit { token, submission, now_unix_ms });
        token
    }

    pub(crate) fn request(
        &mut self,
        index: usize,
        make: impl FnOnce(ReplyToken) -> JobEvent,
    ) -> ReplyToken {
        let token = self.token();
        let event = make(token);
        if let JobEvent::Cancel { job, .. } = &event {
            self.cancel_requests.insert(token, Name::clone(job));
        }
        self.deliver(index, event);
        token
    }

    pub(crate) fn reply(&self, token: ReplyToken) -> Option<&(Timestamp, JobReply)> {
        self.replies.get(&token).and_then(|replies| replies.last())
    }

    /// Delivers an event to a process and performs the resulting actions.
    pub(crate) fn deliver(&mut self, index: usize, event: JobEvent) {
        let process = &mut self.processes[index];
        if !process.alive {
            return;
        }
        if process.paused {
            if !matches!(event, JobEvent::Tick { .. }) {
                process.inbox.push(event);
            }
            return;
        }
        let mut out = Vec::new();
        process.core.handle(self.now, event, &mut out);
        let incarnation = process.identity.incarnation;
        for action in out {
            self.perform(index, incarnation, action);
        }
    }

    fn schedule(&mut self, wait: Duration, event: SimulationEvent) {
        self.seq += 1;
        self.queue.insert((self.now + wait, self.seq), event);
    }

    fn perform(&mut self, index: usize, incarnation: Incarnation, action: JobAction) {
        match action {
            JobAction::Store { call, op } => {
                let wait = NETWORK_DELAY + Duration::from_micros(self.rng.random_range(0..3_000));
                self.schedule(wait, SimulationEvent::Apply(index, incarnation, Some(call), op));
            }
            JobAction::Reply { token, reply } => {
                let more = matches!(reply, JobReply::ResultsPart(_));
                self.replies.entry(token).or_default().push((self.now, reply));
                if more {
                    let event = JobEvent::ResultsConsumed { token };
                    self.schedule(
                        NETWORK_DELAY,
                        SimulationEvent::Deliver(index, incarnation, event),
                    );
                }
            }
            JobAction::Probe { addr, holder, object, epoch } => {
                let peer =
                    self.processes.iter().find(|p| p.identity.addr == addr && p.alive && !p.paused);
                let Some(peer) = peer else {
                    return;
                };
                let held =
                    peer.identity.incarnation == holder && peer.core.holds_claim(&object, epoch);
                let event = JobEvent::ProbeReply { holder, object, epoch, held: Some(held) };
                self.schedule(NETWORK_DELAY, SimulationEvent::Deliver(index, incarnation, event));
            }
            JobAction::NotifyCancel { addr, job } => {
                if self.rng.random_ratio(self.faults.lose_notification, 1_000) {
                    return;
                }
                let peer = self.processes.iter().position(|p| p.identity.addr == addr).unwrap();
                let to = self.processes[peer].identity.incarnation;
                self.schedule(
                    NETWORK_DELAY,
                    SimulationEvent::Deliver(peer, to, JobEvent::JobCancelled { job }),
                );
            }
            JobAction::Dispatch { .. } | JobAction::CancelAttempt { .. } => {
                self.agents.perform(self.now, index, action);
            }
        }
    }

    /// Runs the simulation for a span of virtual time.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let next = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next_agent = self.agents.next_at();
            let at = [Some(self.next_tick), next, next_agent].into_iter().flatten().min().unwrap();
            if at > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            if next == Some(at) {
                let (_, event) = self.queue.pop_first().unwrap();
                match event {
                    SimulationEvent::Deliver(index, incarnation, event) => {
                        if self.processes[index].identity.incarnation == incarnation {
                            self.deliver(index, event);
                        }
                    }
                    SimulationEvent::Apply(index, incarnation, call, op) => {
                        self.apply(index, incarnation, call, op);
                    }
                }
            } else if next_agent == Some(at) {
                for (index, event) in self.agents.take_due(self.now) {
                    self.deliver(index, event);
                }
            } else {
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        self.next_tick = self.now + TICK;
        let now_unix_ms = self.unix_ms();
        for index in 0..self.processes.len() {
            self.deliver(index, JobEvent::Tick { now_unix_ms });
        }
        let alive: Vec<usize> =
            (0..self.processes.len()).filter(|i| self.processes[*i].alive).collect();
        for (index, event) in self.agents.credits(&alive, self.now) {
            self.deliver(index, event);
        }
    }

    /// Runs until the condition holds, and panics if it does not hold within the limit.
    pub(crate) fn run_until(&mut self, limit: Duration, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !done(self) {
            assert!(self.now < end, "timed out after {limit:?}: {what}");
            self.run(TICK);
        }
    }

    /// Submits a job, asserts that it is accepted and returns its name.
    pub(crate) fn accept(&mut self, index: usize, submission: Submission) -> Name {
        let token = self.submit(index, submission);
        self.run_until(Duration::from_secs(30), "reply", |sim| sim.reply(token).is_some());
        match &self.reply(token).unwrap().1 {
            JobReply::Accepted { job, .. } => Name::clone(job),
            other => panic!("not accepted: {other:?}"),
        }
    }
}

/// Creates a submission whose item bodies contain the key and the item index.
pub(crate) fn submission(key: &str, count: u32, idempotent: bool, due_in_s: u64) -> Submission {
    let items = (0..count).map(|item| {
        let body = format!("{{\"key\":\"{key}\",\"item\":{item}}}");
        (Name::from(format!("id-{item}")), Bytes::from(body))
    });
    Submission {
        organization: Name::from("org"),
        key: Some(Name::from(key)),
        model: Name::from("m"),
        items: items.collect(),
        idempotent,
        due_unix_ms: Some(START_UNIX_MS + due_in_s * 1_000),
    }
}
