//! Batch jobs ordered by slack.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Timestamp;

/// Weight of a new observation in the moving average of the time per item.
const ITEM_TIME_WEIGHT: f64 = 0.1;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Identifies a job within one process. Assigned by the driver of the jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

/// Scheduling state of a job.
#[derive(Clone, Copy, Debug)]
struct Job {
    deadline: Option<Timestamp>,
    /// Number of items that have not been sent or were returned.
    pending: u64,
    /// Number of items that have been sent and have not ended.
    in_flight: u64,
    /// Moving average of the run time per item.
    mean_item_seconds: f64,
    /// Latest start in microseconds, given all places from then on.
    latest_start_us: i64,
}

/// Orders batch jobs by slack: a free batch place is assigned to the job with the least slack.
///
/// The slack is the time until the deadline minus the remaining work at the observed rate. It
/// decreases equally for all queued jobs, so they are kept in the order of their latest start. Jobs
/// without a deadline come last, in the order in which they were added.
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
/// assert_eq!(order.next_job(), Some(JobKey(2)));
/// ```
#[derive(Clone, Debug)]
pub struct BatchOrder {
    places: u32,
    jobs: HashMap<JobKey, Job>,
    /// Jobs with pending items.
    order: BTreeSet<(i64, JobKey)>,
    added_jobs: i64,
}

impl BatchOrder {
    /// Creates an order without jobs. `places` is the number of items expected to run
    /// concurrently.
    #[must_use]
    pub fn new(places: u32) -> Self {
        Self { places: places.max(1), jobs: HashMap::new(), order: BTreeSet::new(), added_jobs: 0 }
    }

    /// Adds a job or replaces the one with the same key.
    pub fn add(
        &mut self,
        key: JobKey,
        deadline: Option<Timestamp>,
        items: u64,
        expected_item: Duration,
    ) {
        self.remove(key);
        self.added_jobs += 1;
        let mean_item_seconds = expected_item.as_secs_f64();
        let latest_start_us = i64::MAX / 2 + self.added_jobs;
        let job =
            Job { deadline, pending: items, in_flight: 0, mean_item_seconds, latest_start_us };
        self.jobs.insert(key, job);
        self.update(key, |_| ());
    }

    /// Removes a job.
    pub fn remove(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.order.remove(&(job.latest_start_us, key));
        }
    }

    /// Sets the number of items expected to run concurrently.
    pub fn set_places(&mut self, places: u32) {
        self.places = places.max(1);
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            self.update(key, |_| ());
        }
    }

    /// Returns the job that the next free place is assigned to.
    #[must_use]
    pub fn next_job(&self) -> Option<JobKey> {
        self.order.first().map(|(_, key)| *key)
    }

    /// Records that an item of the job was sent.
    pub fn record_sent(&mut self, key: JobKey) {
        self.update(key, |job| {
            debug_assert!(job.pending > 0, "the job has no pending item");
            job.pending = job.pending.saturating_sub(1);
            job.in_flight += 1;
        });
    }

    /// Records that an item was returned without a result and has to run again.
    pub fn record_returned(&mut self, key: JobKey) {
        self.update(key, |job| {
            job.in_flight = job.in_flight.saturating_sub(1);
            job.pending += 1;
        });
    }

    /// Records that an item ended after running for `took`.
    pub fn record_finished(&mut self, key: JobKey, run_time: Duration) {
        self.update(key, |job| {
            job.in_flight = job.in_flight.saturating_sub(1);
            job.mean_item_seconds +=
                (run_time.as_secs_f64() - job.mean_item_seconds) * ITEM_TIME_WEIGHT;
        });
    }

    /// Returns the slack of a job in seconds, or `None` if the job has no deadline. The slack is
    /// negative if the job is late.
    #[must_use]
    pub fn slack_seconds(&self, now: Timestamp, key: JobKey) -> Option<f64> {
        let job = self.jobs.get(&key)?;
        job.deadline?;
        Some((job.latest_start_us as f64 - now.as_micros() as f64) / MICROS_PER_SECOND)
    }

    /// Returns the number of pending items of all jobs.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.jobs.values().map(|job| job.pending).sum()
    }

    /// Changes a job and restores its position in the order.
    fn update(&mut self, key: JobKey, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        self.order.remove(&(job.latest_start_us, key));
        change(job);
        if let Some(deadline) = job.deadline {
            let items = (job.pending + job.in_flight) as f64;
            let work_seconds = items * job.mean_item_seconds / f64::from(self.places);
            job.latest_start_us =
                deadline.as_micros() as i64 - (work_seconds * MICROS_PER_SECOND) as i64;
        }
        if job.pending > 0 {
            self.order.insert((job.latest_start_us, key));
        }
    }
}
