//! Simulated agents that record the items they forward.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_entry::jobs::ItemAttemptEnd;
use dogwoodtray_entry::jobs::JobAction;
use dogwoodtray_entry::jobs::JobEvent;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of attempts per thousand that end in each way; all others are answered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndRates {
    pub(crate) failed: u32,
    pub(crate) crashed: u32,
    pub(crate) preempted: u32,
    pub(crate) not_run: u32,
    pub(crate) unknown: u32,
}

/// Item that an agent forwarded to its endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) at: Timestamp,
    pub(crate) job: Name,
    pub(crate) item: u32,
    pub(crate) attempt: AttemptId,
    pub(crate) body: Bytes,
    pub(crate) answer: Option<Bytes>,
    process: usize,
    endpoint: u64,
}

pub(crate) struct Agents {
    rng: StdRng,
    pub(crate) endpoints: u64,
    pub(crate) places: u32,
    pub(crate) end_rates: EndRates,
    pub(crate) run_ms: std::ops::Range<u64>,
    pub(crate) runs: Vec<Run>,
    busy: BTreeMap<u64, u32>,
    newest: BTreeMap<Name, Epoch>,
    queue: BTreeMap<(Timestamp, u64), (usize, JobEvent, Option<u64>)>,
    seq: u64,
    /// Items whose body contains this text fail on every attempt.
    pub(crate) failing: &'static str,
    /// Items whose body contains this text run on endpoints that crash, for this number of attempts
    /// each.
    pub(crate) unlucky: (&'static str, usize),
    /// Items whose body contains this text run for this duration on their first attempt.
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
            end_rates: EndRates::default(),
            run_ms: 20..200,
            runs: Vec::new(),
            busy: BTreeMap::new(),
            newest: BTreeMap::new(),
            queue: BTreeMap::new(),
            seq: 0,
            failing: "\u{0}",
            unlucky: ("\u{0}", 0),
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
            let process = alive[self.rng.random_range(0..alive.len())];
            if free > 0 {
                let model = Name::from("m");
                offers.push((process, JobEvent::PlacesOffered { endpoint, model, places: free }));
            }
        }
        offers
    }

    fn schedule(
        &mut self,
        at: Timestamp,
        process: usize,
        event: JobEvent,
        freed_endpoint: Option<u64>,
    ) {
        self.seq += 1;
        self.queue.insert((at, self.seq), (process, event, freed_endpoint));
    }

    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<(usize, JobEvent)> {
        let mut events = Vec::new();
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= now
        {
            let (process, event, freed_endpoint) = entry.remove();
            if let Some(busy) = freed_endpoint.and_then(|endpoint| self.busy.get_mut(&endpoint)) {
                *busy = busy.saturating_sub(1);
            }
            events.push((process, event));
        }
        events
    }

    pub(crate) fn perform(&mut self, now: Timestamp, process: usize, action: JobAction) {
        match action {
            JobAction::CancelAttempt { attempt } => self.cancel(now, attempt),
            JobAction::Dispatch { endpoint, attempt, job, epoch, item, body, .. } => {
                let newest = self.newest.entry(Name::clone(&job)).or_default();
                if epoch < *newest {
                    let event = JobEvent::ItemEnded { attempt, end: ItemAttemptEnd::NotRun };
                    self.schedule(now + Duration::from_millis(2), process, event, None);
                    return;
                }
                *newest = epoch;
                self.run(Run {
                    at: now,
                    job,
                    item,
                    attempt,
                    body,
                    answer: None,
                    process,
                    endpoint,
                });
            }
            _ => {}
        }
    }

    fn run(&mut self, mut run: Run) {
        let Run { at: now, process, endpoint, attempt, item, .. } = run;
        let job = Name::clone(&run.job);
        let roll = self.rng.random_range(0..1_000);
        let end_rates = self.end_rates;
        let answer = Bytes::from(format!("answer to {job} {item} by {attempt}"));
        let limits = [
            end_rates.not_run,
            end_rates.failed,
            end_rates.crashed,
            end_rates.preempted,
            end_rates.unknown,
        ];
        let mut sum = 0;
        let kind = limits.iter().position(|limit| {
            sum += limit;
            roll < sum
        });
        let text = String::from_utf8_lossy(&run.body).into_owned();
        let is_same = |run: &&Run| run.job == job && run.item == item;
        let runs_before = self.runs.iter().filter(is_same).count();
        let end = match kind {
            _ if text.contains(self.failing) => {
                ItemAttemptEnd::Failed { status: 500, body: Bytes::from_static(b"no") }
            }
            _ if text.contains(self.unlucky.0) && runs_before < self.unlucky.1 => {
                ItemAttemptEnd::Crashed
            }
            Some(0) => ItemAttemptEnd::NotRun,
            Some(1) => ItemAttemptEnd::Failed { status: 503, body: Bytes::from_static(b"no") },
            Some(2) => ItemAttemptEnd::Crashed,
            Some(3) => ItemAttemptEnd::Preempted { partial: answer.slice(0..4), tokens: 2 },
            Some(4) => ItemAttemptEnd::Unknown,
            _ => ItemAttemptEnd::Answered { status: 200, body: answer.clone() },
        };
        let mut wait = Duration::from_millis(self.rng.random_range(self.run_ms.clone()));

        if let Some((marker, slow)) = self.slow
            && text.contains(marker)
            && !self.runs.iter().any(|run| run.job == job && run.item == item)
        {
            wait = slow;
        }
        *self.busy.entry(endpoint).or_default() += 1;
        if end != ItemAttemptEnd::NotRun {
            run.answer = matches!(end, ItemAttemptEnd::Answered { .. }).then_some(answer);
            self.runs.push(run);
            self.schedule(now, process, JobEvent::ItemStarted { attempt }, None);
        }
        self.schedule(now + wait, process, JobEvent::ItemEnded { attempt, end }, Some(endpoint));
    }

    fn cancel(&mut self, now: Timestamp, cancelled: AttemptId) {
        let is_cancelled = |event: &JobEvent| {
            matches!(
                event,
                JobEvent::ItemEnded { attempt, .. } if *attempt == cancelled
            )
        };
        let found = self.queue.iter().find(|(_, (_, event, _))| is_cancelled(event));
        let Some((&key, _)) = found else {
            return;
        };
        // The result of the attempt may already be in flight when the cancellation arrives.
        if self.rng.random_bool(0.3) {
            return;
        }
        if let Some((process, _, freed_endpoint)) = self.queue.remove(&key) {
            let event = JobEvent::ItemEnded { attempt: cancelled, end: ItemAttemptEnd::Cancelled };
            self.schedule(now + Duration::from_millis(2), process, event, freed_endpoint);
        }
    }
}
