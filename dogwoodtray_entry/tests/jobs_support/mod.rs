//! Several job cores over one store in virtual time, with fake agents and an oracle.
#![allow(dead_code, reason = "each test file uses a part")]
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
use dogwoodtray_entry::jobs::JobAction;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobCore;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;
use dogwoodtray_entry::jobs::Me;
use dogwoodtray_entry::jobs::ReplyToken;
use dogwoodtray_entry::jobs::Submission;
use dogwoodtray_platform::MemoryStore;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::agents::Agents;
pub(crate) use self::store::Faults;

pub(crate) const TICK: Duration = Duration::from_millis(50);
const HOP: Duration = Duration::from_millis(1);
const START_UNIX_MS: u64 = 1_700_000_000_000;

pub(crate) struct Proc {
    pub(crate) core: JobCore,
    pub(crate) me: Me,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    pub(crate) draining: bool,
    inbox: Vec<JobEvent>,
}

enum Ev {
    Deliver(usize, Incarnation, JobEvent),
    Apply(usize, Incarnation, Option<CallId>, StoreOp),
}

pub(crate) struct World {
    pub(crate) now: Timestamp,
    pub(crate) rng: StdRng,
    pub(crate) store: MemoryStore,
    pub(crate) faults: Faults,
    pub(crate) cfg: JobConfig,
    pub(crate) procs: Vec<Proc>,
    pub(crate) agents: Agents,
    pub(crate) replies: BTreeMap<ReplyToken, Vec<(Timestamp, JobReply)>>,
    /// Store calls by kind of object and kind of call.
    pub(crate) calls: BTreeMap<(String, &'static str), u64>,
    pub(crate) largest: BTreeMap<String, usize>,
    queue: BTreeMap<(Timestamp, u64), Ev>,
    seq: u64,
    last_token: u64,
    next_tick: Timestamp,
    asked: BTreeMap<ReplyToken, Name>,
    down: bool,
}

impl World {
    pub(crate) fn new(seed: u64, procs: usize, cfg: JobConfig) -> Self {
        let mut world = Self {
            now: Timestamp::ZERO,
            rng: StdRng::seed_from_u64(seed),
            store: MemoryStore::new(),
            faults: Faults::default(),
            cfg,
            procs: Vec::new(),
            agents: Agents::new(seed),
            replies: BTreeMap::new(),
            calls: BTreeMap::new(),
            largest: BTreeMap::new(),
            queue: BTreeMap::new(),
            seq: 0,
            last_token: 0,
            next_tick: Timestamp::ZERO,
            asked: BTreeMap::new(),
            down: false,
        };
        for _ in 0..procs {
            world.start_proc();
        }
        world
    }

    pub(crate) fn start_proc(&mut self) -> usize {
        let index = self.procs.len();
        let name = Name::from(format!("entry-{index}"));
        let incarnation = Incarnation(self.rng.random());
        let me = Me { name: Name::clone(&name), addr: name, incarnation };
        let core = JobCore::new(self.cfg.clone(), me.clone(), self.rng.random());
        self.procs.push(Proc {
            core,
            me,
            alive: true,
            paused: false,
            draining: false,
            inbox: Vec::new(),
        });
        self.tell_live();
        index
    }

    pub(crate) fn tell_live(&mut self) {
        let names: Vec<Name> =
            self.procs.iter().filter(|p| p.alive).map(|p| Name::clone(&p.me.name)).collect();
        for index in 0..self.procs.len() {
            self.deliver(index, JobEvent::LiveEntries { names: names.clone() });
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.procs[index].alive = false;
        self.tell_live();
    }

    pub(crate) fn pause(&mut self, index: usize, paused: bool) {
        self.procs[index].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.procs[index].inbox) {
                self.deliver(index, event);
            }
        }
    }

    pub(crate) fn drain(&mut self, index: usize) {
        self.procs[index].draining = true;
        self.deliver(index, JobEvent::Drain);
    }

    /// Ends the processes whose planned stop has nothing left to wait for.
    pub(crate) fn reap(&mut self) {
        for index in 0..self.procs.len() {
            if self.procs[index].alive && self.procs[index].core.drained() {
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

    pub(crate) fn ask(
        &mut self,
        index: usize,
        make: impl FnOnce(ReplyToken) -> JobEvent,
    ) -> ReplyToken {
        let token = self.token();
        let event = make(token);
        if let JobEvent::Cancel { job, .. } = &event {
            self.asked.insert(token, Name::clone(job));
        }
        self.deliver(index, event);
        token
    }

    pub(crate) fn reply(&self, token: ReplyToken) -> Option<&(Timestamp, JobReply)> {
        self.replies.get(&token).and_then(|replies| replies.last())
    }

    /// Hands an event to a process and carries out its actions.
    pub(crate) fn deliver(&mut self, index: usize, event: JobEvent) {
        let proc = &mut self.procs[index];
        if !proc.alive {
            return;
        }
        if proc.paused {
            if !matches!(event, JobEvent::Tick { .. }) {
                proc.inbox.push(event);
            }
            return;
        }
        let mut out = Vec::new();
        proc.core.handle(self.now, event, &mut out);
        let incarnation = proc.me.incarnation;
        for action in out {
            self.act(index, incarnation, action);
        }
    }

    fn post(&mut self, wait: Duration, ev: Ev) {
        self.seq += 1;
        self.queue.insert((self.now + wait, self.seq), ev);
    }

    fn act(&mut self, index: usize, incarnation: Incarnation, action: JobAction) {
        match action {
            JobAction::Store { call, op } => {
                let wait = HOP + Duration::from_micros(self.rng.random_range(0..3_000));
                self.post(wait, Ev::Apply(index, incarnation, Some(call), op));
            }
            JobAction::Reply { token, reply } => {
                let more = matches!(reply, JobReply::ResultsPart(_));
                self.replies.entry(token).or_default().push((self.now, reply));
                if more {
                    let event = JobEvent::ResultsTaken { token };
                    self.post(HOP, Ev::Deliver(index, incarnation, event));
                }
            }
            JobAction::Probe { addr, holder, object, epoch } => {
                let peer = self.procs.iter().find(|p| p.me.addr == addr && p.alive && !p.paused);
                let Some(peer) = peer else {
                    return;
                };
                let held = peer.me.incarnation == holder && peer.core.holds(&object, epoch);
                let event = JobEvent::ProbeAnswer { holder, object, epoch, held: Some(held) };
                self.post(HOP, Ev::Deliver(index, incarnation, event));
            }
            JobAction::NotifyCancel { addr, job } => {
                if self.rng.random_ratio(self.faults.lose_note, 1_000) {
                    return;
                }
                let peer = self.procs.iter().position(|p| p.me.addr == addr).unwrap();
                let to = self.procs[peer].me.incarnation;
                self.post(HOP, Ev::Deliver(peer, to, JobEvent::JobCancelled { job }));
            }
            JobAction::Dispatch { .. } | JobAction::CancelAttempt { .. } => {
                self.agents.act(self.now, index, action);
            }
        }
    }

    /// Runs the world for a while.
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
                let (_, ev) = self.queue.pop_first().unwrap();
                match ev {
                    Ev::Deliver(index, incarnation, event) => {
                        if self.procs[index].me.incarnation == incarnation {
                            self.deliver(index, event);
                        }
                    }
                    Ev::Apply(index, incarnation, call, op) => {
                        self.apply(index, incarnation, call, op);
                    }
                }
            } else if next_agent == Some(at) {
                for (index, event) in self.agents.on_time(self.now) {
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
        for index in 0..self.procs.len() {
            self.deliver(index, JobEvent::Tick { now_unix_ms });
        }
        let alive: Vec<usize> = (0..self.procs.len()).filter(|i| self.procs[*i].alive).collect();
        for (index, event) in self.agents.credits(&alive, self.now) {
            self.deliver(index, event);
        }
    }

    /// Runs until the condition holds; panics when it does not within the limit.
    pub(crate) fn run_until(&mut self, limit: Duration, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !done(self) {
            assert!(self.now < end, "not within {limit:?}: {what}");
            self.run(TICK);
        }
    }

    /// Submits and returns the name of the accepted job.
    pub(crate) fn accept(&mut self, index: usize, submission: Submission) -> Name {
        let token = self.submit(index, submission);
        self.run_until(Duration::from_secs(30), "reply", |w| w.reply(token).is_some());
        match &self.reply(token).unwrap().1 {
            JobReply::Accepted { job, .. } => Name::clone(job),
            other => panic!("not accepted: {other:?}"),
        }
    }
}

/// Makes a submission whose item bodies name the item.
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
