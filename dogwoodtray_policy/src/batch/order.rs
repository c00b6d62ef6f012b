//! Jobs in order of slack.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Timestamp;

/// Weight of a new reading in the mean time per item.
const AVERAGE_WEIGHT: f64 = 0.1;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Names a job within one process. Chosen by the driver of the jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

/// A job with items left.
#[derive(Clone, Copy, Debug)]
struct Job {
    deadline: Option<Timestamp>,
    /// Items that have not been handed out, or came back.
    pending: u64,
    /// Items that have been handed out.
    in_flight: u64,
    item_seconds: f64,
    /// Microsecond at which the job has to start if it gets all places from then on.
    latest_start: i64,
}

/// Picks which job a free batch place goes to: the one with the least slack.
///
/// The slack is the time left minus the work left at the observed rate. It shrinks equally for all
/// waiting jobs, so they are kept in the order of their latest start. Jobs without a deadline come
/// last, in the order in which they were added.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use dogwoodtray_coord::Timestamp;
/// use dogwoodtray_policy::{BatchOrder, JobKey};
///
/// let mut order = BatchOrder::new(1);
/// let hour = Timestamp(3_600_000_000);
/// order.add(JobKey(1), Some(hour), 10, Duration::from_secs(1));
/// order.add(JobKey(2), Some(hour), 1_000, Duration::from_secs(1));
/// assert_eq!(order.pick(), Some(JobKey(2)));
/// ```
#[derive(Clone, Debug)]
pub struct BatchOrder {
    places: u32,
    jobs: HashMap<JobKey, Job>,
    /// Jobs with pending items.
    order: BTreeSet<(i64, JobKey)>,
    added: i64,
}

impl BatchOrder {
    /// Creates an order without jobs. `places` is the number of items expected to run at once.
    #[must_use]
    pub fn new(places: u32) -> Self {
        Self { places: places.max(1), jobs: HashMap::new(), order: BTreeSet::new(), added: 0 }
    }

    /// Adds a job, or replaces one of the same key.
    pub fn add(
        &mut self,
        key: JobKey,
        deadline: Option<Timestamp>,
        items: u64,
        expected_item: Duration,
    ) {
        self.remove(key);
        self.added += 1;
        let item_seconds = expected_item.as_secs_f64();
        let latest_start = i64::MAX / 2 + self.added;
        let job = Job { deadline, pending: items, in_flight: 0, item_seconds, latest_start };
        self.jobs.insert(key, job);
        self.update(key, |_| ());
    }

    /// Removes a job.
    pub fn remove(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.order.remove(&(job.latest_start, key));
        }
    }

    /// Changes the number of items expected to run at once.
    pub fn set_places(&mut self, places: u32) {
        self.places = places.max(1);
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            self.update(key, |_| ());
        }
    }

    /// Returns the job that the next free place goes to.
    #[must_use]
    pub fn pick(&self) -> Option<JobKey> {
        self.order.first().map(|(_, key)| *key)
    }

    /// Records that an item of the job was handed out.
    pub fn sent(&mut self, key: JobKey) {
        self.update(key, |job| {
            debug_assert!(job.pending > 0, "the job had no pending item");
            job.pending = job.pending.saturating_sub(1);
            job.in_flight += 1;
        });
    }

    /// Records that an item came back without a result and has to run again.
    pub fn returned(&mut self, key: JobKey) {
        self.update(key, |job| {
            job.in_flight = job.in_flight.saturating_sub(1);
            job.pending += 1;
        });
    }

    /// Records that an item ended after running for `took`.
    pub fn finished(&mut self, key: JobKey, took: Duration) {
        self.update(key, |job| {
            job.in_flight = job.in_flight.saturating_sub(1);
            job.item_seconds += (took.as_secs_f64() - job.item_seconds) * AVERAGE_WEIGHT;
        });
    }

    /// Returns the slack of a job in seconds; negative if the job is late. `None` without deadline.
    #[must_use]
    pub fn slack_seconds(&self, now: Timestamp, key: JobKey) -> Option<f64> {
        let job = self.jobs.get(&key)?;
        job.deadline?;
        Some((job.latest_start as f64 - now.as_micros() as f64) / MICROS_PER_SECOND)
    }

    /// Returns the number of items that have not been handed out, over all jobs.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.jobs.values().map(|job| job.pending).sum()
    }

    fn update(&mut self, key: JobKey, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        self.order.remove(&(job.latest_start, key));
        change(job);
        if let Some(deadline) = job.deadline {
            let items = (job.pending + job.in_flight) as f64;
            let work = items * job.item_seconds / f64::from(self.places);
            job.latest_start = deadline.as_micros() as i64 - (work * MICROS_PER_SECOND) as i64;
        }
        if job.pending > 0 {
            self.order.insert((job.latest_start, key));
        }
    }
}
