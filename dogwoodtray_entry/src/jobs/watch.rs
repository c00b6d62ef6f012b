//! Monitoring of unfinished jobs and of the processes that drive them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::api::JobAction;
use super::calls::Context;
use super::calls::Owner;
use super::header;
use super::header::Driver;

/// Fraction of the scan interval by which it is randomized, so that entries do not scan at the same
/// time.
const SCAN_JITTER_FRACTION: f64 = 0.5;
/// Maximum delay before an index entry without a header is checked again.
const MAX_NO_HEADER_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Unfinished jobs driven by other processes or by none, and the processes that drive them.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    jobs: BTreeMap<Name, WatchedJob>,
    holders: BTreeMap<Incarnation, Holder>,
    live_entries: Vec<Name>,
    scan_at: Timestamp,
    scanning: bool,
    seen: BTreeSet<Name>,
    probe_tokens: f64,
    tokens_updated_at: Timestamp,
}

#[derive(Debug)]
struct WatchedJob {
    first_seen: Timestamp,
    /// Time of the next check whether the job needs a driver.
    check_at: Option<Timestamp>,
    due_unix_ms: u64,
    /// Current claim, as last read from the header.
    holder: Option<(Incarnation, Epoch)>,
    /// Claim whose holder is considered dead and which may be replaced.
    dead_claim: Option<(Incarnation, Epoch)>,
}

/// Process that holds claims on jobs. One claim is probed at a time, and an answer for any of them
/// shows that the process is alive.
#[derive(Debug)]
struct Holder {
    name: Name,
    addr: Name,
    jobs: BTreeSet<Name>,
    /// Job whose claim was probed last.
    cursor: Option<Name>,
    probe_at: Timestamp,
    /// Probe in flight: job, epoch and start time.
    probe_in_flight: Option<(Name, Epoch, Timestamp)>,
    /// Start of the first probe without an answer since the last answer.
    silent_since: Option<Timestamp>,
}

impl Watch {
    pub(crate) fn set_live_entries(&mut self, mut names: Vec<Name>) {
        names.sort();
        names.dedup();
        self.live_entries = names;
    }

    /// Starts the scan and the probes that are due.
    pub(crate) fn on_tick(&mut self, cx: &mut Context) {
        if cx.now >= self.scan_at && !self.scanning {
            self.scanning = true;
            self.seen.clear();
            self.list_index(None, cx);
        }
        self.probe(cx);
    }

    fn list_index(&self, after: Option<Name>, cx: &mut Context) {
        let kind = Name::from(header::INDEX_KIND);
        let op = StoreOp::List { kind, prefix: Name::from(""), after, limit: cx.cfg.scan_page };
        cx.call(Owner::Scan, op);
    }

    /// Handles a page of the index. `driven` returns `true` for jobs driven by this process.
    pub(crate) fn on_page(
        &mut self,
        op: StoreOp,
        reply: StoreReply,
        driven: impl Fn(&Name) -> bool,
        cx: &mut Context,
    ) {
        let (entries, more) = match reply {
            StoreReply::Listed { entries, more } => (entries, more),
            StoreReply::Unavailable { retry_after } => {
                return cx.call_later(Owner::Scan, op, retry_after);
            }
            _ => return cx.call_later(Owner::Scan, op, Duration::ZERO),
        };
        let last = entries.last().map(|(name, _)| Name::clone(name));
        for (job, _) in entries {
            if !driven(&job) {
                self.add(Name::clone(&job), cx);
            }
            self.seen.insert(job);
        }
        if more && last.is_some() {
            return self.list_index(last, cx);
        }
        let seen = std::mem::take(&mut self.seen);
        self.jobs.retain(|job, _| seen.contains(job));
        for holder in self.holders.values_mut() {
            holder.jobs.retain(|job| seen.contains(job));
        }
        self.holders.retain(|_, holder| !holder.jobs.is_empty());
        self.scanning = false;
        let jitter = 1.0 + SCAN_JITTER_FRACTION * (cx.rng.random::<f64>() - 0.5);
        self.scan_at = cx.now + cx.cfg.scan_interval.mul_f64(jitter);
    }

    /// Adds a job and schedules a check whether it needs a driver.
    pub(crate) fn add(&mut self, job: Name, cx: &Context) {
        if self.jobs.contains_key(&job) {
            return;
        }
        let wait = cx.cfg.rank_stagger * self.rank(&job, &cx.identity.name, None);
        let watched = WatchedJob {
            first_seen: cx.now,
            check_at: Some(cx.now + wait),
            due_unix_ms: 0,
            holder: None,
            dead_claim: None,
        };
        self.jobs.insert(job, watched);
    }

    /// Returns the number of live entries that rank before this one for a job (rendezvous hashing).
    /// This distributes the jobs of a lost driver over the other entries and keeps them from
    /// claiming the same job at the same time.
    fn rank(&self, job: &Name, own_name: &Name, excluded: Option<&Name>) -> u32 {
        let weight = |name: &Name| {
            let seed = xxh3_64_with_seed(job.as_bytes(), 0);
            xxh3_64_with_seed(name.as_bytes(), seed)
        };
        let own_weight = weight(own_name);
        let before = self
            .live_entries
            .iter()
            .filter(|name| *name != own_name && Some(*name) != excluded)
            .filter(|name| weight(name) > own_weight);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Returns at most `limit` jobs whose check is due, ordered by `due_unix_ms`, each with the
    /// claim whose holder is considered dead, if any.
    pub(crate) fn take_due_checks(
        &mut self,
        now: Timestamp,
        limit: usize,
    ) -> Vec<(Name, Option<(Incarnation, Epoch)>)> {
        let mut ready: Vec<(u64, Name)> = self
            .jobs
            .iter()
            .filter(|(_, watched)| watched.check_at.is_some_and(|at| at <= now))
            .map(|(job, watched)| (watched.due_unix_ms, Name::clone(job)))
            .collect();
        ready.sort();
        ready.truncate(limit);
        let mut checks = Vec::new();
        for (_, job) in ready {
            if let Some(watched) = self.jobs.get_mut(&job) {
                watched.check_at = None;
                checks.push((job, watched.dead_claim));
            }
        }
        checks
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, job: &Name) {
        self.jobs.remove(job);
        for holder in self.holders.values_mut() {
            holder.jobs.remove(job);
        }
    }

    /// Schedules another check of a job after a delay.
    pub(crate) fn check_later(&mut self, job: &Name, wait: Duration, now: Timestamp) {
        if let Some(watched) = self.jobs.get_mut(job) {
            watched.check_at = Some(now + wait);
        }
    }

    /// Records that an index entry has no header. Returns `true` if it is old enough to be removed.
    pub(crate) fn on_no_header(&mut self, job: &Name, cx: &Context) -> bool {
        let Some(watched) = self.jobs.get_mut(job) else {
            return false;
        };
        let age = cx.now - watched.first_seen;
        let wait = age.clamp(cx.cfg.rank_stagger, MAX_NO_HEADER_RETRY_DELAY);
        watched.check_at = Some(cx.now + wait);
        age >= cx.cfg.orphan_age
    }

    /// Records the driver of a job.
    pub(crate) fn on_driver(&mut self, job: &Name, driver: Driver, epoch: Epoch, now: Timestamp) {
        let Some(watched) = self.jobs.get_mut(job) else {
            return;
        };
        watched.holder = Some((driver.incarnation, epoch));
        for (incarnation, holder) in &mut self.holders {
            if *incarnation != driver.incarnation {
                holder.jobs.remove(job);
            }
        }
        let holder = self.holders.entry(driver.incarnation).or_insert_with(|| Holder {
            name: driver.name,
            addr: driver.addr,
            jobs: BTreeSet::new(),
            cursor: None,
            probe_at: now,
            probe_in_flight: None,
            silent_since: None,
        });
        holder.jobs.insert(Name::clone(job));
    }

    fn probe(&mut self, cx: &mut Context) {
        let rate = f64::from(cx.cfg.probes_per_second);
        let new_tokens = (cx.now - self.tokens_updated_at).as_secs_f64() * rate;
        self.tokens_updated_at = cx.now;
        self.probe_tokens = (self.probe_tokens + new_tokens).min(rate);
        let mut timed_out = Vec::new();
        for (incarnation, holder) in &mut self.holders {
            if let Some((job, epoch, probed_at)) = &holder.probe_in_flight {
                if cx.now - *probed_at >= cx.cfg.probe_timeout {
                    timed_out.push((*incarnation, Name::clone(job), *epoch));
                }
                continue;
            }
            if cx.now < holder.probe_at || self.probe_tokens < 1.0 {
                continue;
            }
            let Some(job) = holder.next_job() else {
                continue;
            };
            let Some((_, epoch)) = self.jobs.get(&job).and_then(|watched| watched.holder) else {
                continue;
            };
            self.probe_tokens -= 1.0;
            holder.probe_in_flight = Some((Name::clone(&job), epoch, cx.now));
            cx.out.push(JobAction::Probe {
                addr: Name::clone(&holder.addr),
                holder: *incarnation,
                object: object_name(&job),
                epoch,
            });
        }
        for (incarnation, job, epoch) in timed_out {
            self.on_probe_reply(incarnation, &object_name(&job), epoch, None, cx);
        }
    }

    /// Handles the answer to a probe; `held` is `None` if the probe failed.
    pub(crate) fn on_probe_reply(
        &mut self,
        incarnation: Incarnation,
        name: &Name,
        epoch: Epoch,
        held: Option<bool>,
        cx: &mut Context,
    ) {
        let Some(holder) = self.holders.get_mut(&incarnation) else {
            return;
        };
        let Some((job, probed_epoch, probed_at)) = holder.probe_in_flight.take() else {
            return;
        };
        if object_name(&job) != *name || probed_epoch != epoch {
            holder.probe_in_flight = Some((job, probed_epoch, probed_at));
            return;
        }
        match held {
            Some(true) => {
                holder.silent_since = None;
                holder.probe_at = cx.now + cx.cfg.probe_interval;
            }
            Some(false) => {
                // A process that released one claim has probably released others too.
                holder.silent_since = None;
                holder.probe_at = cx.now;
                self.schedule_takeovers(incarnation, &[job], cx);
            }
            None => {
                let since = *holder.silent_since.get_or_insert(probed_at);
                holder.probe_at = cx.now;
                if cx.now - since >= cx.cfg.takeover_silence {
                    let jobs: Vec<Name> = holder.jobs.iter().cloned().collect();
                    self.schedule_takeovers(incarnation, &jobs, cx);
                }
            }
        }
    }

    /// Schedules attempts to claim jobs that their holder has lost or released.
    fn schedule_takeovers(&mut self, incarnation: Incarnation, jobs: &[Name], cx: &Context) {
        let Some(mut holder) = self.holders.remove(&incarnation) else {
            return;
        };
        for job in jobs {
            holder.jobs.remove(job);
            let rank = self.rank(job, &cx.identity.name, Some(&holder.name));
            if let Some(watched) = self.jobs.get_mut(job) {
                watched.dead_claim = watched.holder.take();
                watched.check_at = Some(cx.now + cx.cfg.rank_stagger * rank);
            }
        }
        if !holder.jobs.is_empty() {
            self.holders.insert(incarnation, holder);
        }
    }
}

impl Holder {
    /// Returns the job whose claim is probed next, in round-robin order.
    fn next_job(&mut self) -> Option<Name> {
        let next = match &self.cursor {
            Some(cursor) => self.jobs.iter().find(|job| *job > cursor),
            None => None,
        };
        let next = next.or_else(|| self.jobs.first()).cloned();
        self.cursor.clone_from(&next);
        next
    }
}

/// Returns the object name used to probe the claim on a job.
pub(crate) fn object_name(job: &Name) -> Name {
    Name::from(format!("{}/{job}", header::KIND))
}
