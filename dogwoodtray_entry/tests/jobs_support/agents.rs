//! Fake agents, with a record of what they forwarded.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_entry::jobs::ItemEnd;
use dogwoodtray_entry::jobs::JobAction;
use dogwoodtray_entry::jobs::JobEvent;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Ends per thousand attempts; the others are answered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ends {
    pub(crate) failed: u32,
    pub(crate) crashed: u32,
    pub(crate) preempted: u32,
    pub(crate) not_run: u32,
    pub(crate) unknown: u32,
}

/// One item that an agent forwarded to its endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) at: Timestamp,
    pub(crate) job: Name,
    pub(crate) item: u32,
    pub(crate) attempt: AttemptId,
    pub(crate) body: Bytes,
    pub(crate) answer: Option<Bytes>,
    proc: usize,
    endpoint: u64,
}

pub(crate) struct Agents {
    rng: StdRng,
    pub(crate) endpoints: u64,
    pub(crate) places: u32,
    pub(crate) ends: Ends,
    pub(crate) run_ms: std::ops::Range<u64>,
    pub(crate) runs: Vec<Run>,
    busy: BTreeMap<u64, u32>,
    newest: BTreeMap<Name, Epoch>,
    queue: BTreeMap<(Timestamp, u64), (usize, JobEvent, Option<u64>)>,
    seq: u64,
    /// Items with this text in their body crash their endpoint each time.
    pub(crate) poison: &'static str,
    /// Items with this text in their body run this long on their first attempt.
    pub(crate) slow: Option<(&'static str, Duration)>,
    pub(crate) next_credit: Timestamp,
    pub(crate) credit_every: Duration,
}

impl Agents {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed ^ 0xa9),
            endpoints: 4,
            places: 8,
            ends: Ends::default(),
            run_ms: 20..200,
            runs: Vec::new(),
            busy: BTreeMap::new(),
            newest: BTreeMap::new(),
            queue: BTreeMap::new(),
            seq: 0,
            poison: "\u{0}",
            slow: None,
            next_credit: Timestamp::ZERO,
            credit_every: Duration::from_millis(100),
        }
    }

    pub(crate) fn next_at(&self) -> Option<Timestamp> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// Offers the free places of each endpoint to one live process.
    pub(crate) fn credits(&mut self, alive: &[usize], now: Timestamp) -> Vec<(usize, JobEvent)> {
        if now < self.next_credit || alive.is_empty() {
            return Vec::new();
        }
        self.next_credit = now + self.credit_every;
        let mut offers = Vec::new();
        for endpoint in 0..self.endpoints {
            let free = self.places.saturating_sub(*self.busy.entry(endpoint).or_default());
            let proc = alive[self.rng.random_range(0..alive.len())];
            if free > 0 {
                let model = Name::from("m");
                offers.push((proc, JobEvent::Credit { endpoint, model, places: free }));
            }
        }
        offers
    }

    fn post(&mut self, at: Timestamp, proc: usize, event: JobEvent, frees: Option<u64>) {
        self.seq += 1;
        self.queue.insert((at, self.seq), (proc, event, frees));
    }

    pub(crate) fn on_time(&mut self, now: Timestamp) -> Vec<(usize, JobEvent)> {
        let mut events = Vec::new();
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= now
        {
            let (proc, event, frees) = entry.remove();
            if let Some(busy) = frees.and_then(|endpoint| self.busy.get_mut(&endpoint)) {
                *busy = busy.saturating_sub(1);
            }
            events.push((proc, event));
        }
        events
    }

    pub(crate) fn act(&mut self, now: Timestamp, proc: usize, action: JobAction) {
        match action {
            JobAction::CancelAttempt { attempt } => self.cancel(now, attempt),
            JobAction::Dispatch { endpoint, attempt, job, epoch, item, body, .. } => {
                let newest = self.newest.entry(Name::clone(&job)).or_default();
                if epoch < *newest {
                    let event = JobEvent::ItemDone { attempt, end: ItemEnd::NotRun };
                    self.post(now + Duration::from_millis(2), proc, event, None);
                    return;
                }
                *newest = epoch;
                self.run(Run { at: now, job, item, attempt, body, answer: None, proc, endpoint });
            }
            _ => {}
        }
    }

    fn run(&mut self, mut run: Run) {
        let Run { at: now, proc, endpoint, attempt, item, .. } = run;
        let job = Name::clone(&run.job);
        let roll = self.rng.random_range(0..1_000);
        let ends = self.ends;
        let answer = Bytes::from(format!("answer to {job} {item} by {attempt}"));
        let limits = [ends.not_run, ends.failed, ends.crashed, ends.preempted, ends.unknown];
        let mut sum = 0;
        let kind = limits.iter().position(|limit| {
            sum += limit;
            roll < sum
        });
        let text = String::from_utf8_lossy(&run.body).into_owned();
        let end = match kind {
            _ if text.contains(self.poison) => ItemEnd::Crashed,
            Some(0) => ItemEnd::NotRun,
            Some(1) => ItemEnd::Failed { status: 503, body: Bytes::from_static(b"no") },
            Some(2) => ItemEnd::Crashed,
            Some(3) => ItemEnd::Preempted { partial: answer.slice(0..4), tokens: 2 },
            Some(4) => ItemEnd::Unknown,
            _ => ItemEnd::Answered { status: 200, body: answer.clone() },
        };
        let mut wait = Duration::from_millis(self.rng.random_range(self.run_ms.clone()));

        if let Some((marker, slow)) = self.slow
            && text.contains(marker)
            && !self.runs.iter().any(|run| run.job == job && run.item == item)
        {
            wait = slow;
        }
        *self.busy.entry(endpoint).or_default() += 1;
        if end != ItemEnd::NotRun {
            run.answer = matches!(end, ItemEnd::Answered { .. }).then_some(answer);
            self.runs.push(run);
            self.post(now, proc, JobEvent::ItemStarted { attempt }, None);
        }
        self.post(now + wait, proc, JobEvent::ItemDone { attempt, end }, Some(endpoint));
    }

    fn cancel(&mut self, now: Timestamp, cancelled: AttemptId) {
        let is_it = |event: &JobEvent| matches!(event, JobEvent::ItemDone { attempt, .. } if *attempt == cancelled);
        let found = self.queue.iter().find(|(_, (_, event, _))| is_it(event));
        let Some((&key, _)) = found else {
            return;
        };
        // The end of the attempt may cross the cancellation on the wire.
        if self.rng.random_bool(0.3) {
            return;
        }
        if let Some((proc, _, frees)) = self.queue.remove(&key) {
            let event = JobEvent::ItemDone { attempt: cancelled, end: ItemEnd::Cancelled };
            self.post(now + Duration::from_millis(2), proc, event, frees);
        }
    }
}
