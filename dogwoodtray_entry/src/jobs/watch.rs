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
use super::calls::Cx;
use super::calls::Owner;
use super::header;
use super::header::Driver;

/// Fraction of the scan interval by which it is randomized, so that entries do not scan at the same
/// time.
const SCAN_JITTER: f64 = 0.5;
/// Maximum delay before an index entry without a header is checked again.
const NO_HEADER_RETRY_LIMIT: Duration = Duration::from_secs(60);

/// Unfinished jobs driven by other processes or by none, and the processes that drive them.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    jobs: BTreeMap<Name, Watched>,
    holders: BTreeMap<Incarnation, Holder>,
    live: Vec<Name>,
    scan_at: Timestamp,
    scanning: bool,
    seen: BTreeSet<Name>,
    probe_tokens: f64,
    probes_at: Timestamp,
}

#[derive(Debug)]
struct Watched {
    first_seen: Timestamp,
    look_at: Option<Timestamp>,
    due_unix_ms: u64,
    holder: Option<(Incarnation, Epoch)>,
    dead: Option<(Incarnation, Epoch)>,
}

/// Process that holds claims on jobs. One claim is probed at a time, and an answer for any of them
/// shows that the process is alive.
#[derive(Debug)]
struct Holder {
    name: Name,
    addr: Name,
    jobs: BTreeSet<Name>,
    cursor: Option<Name>,
    probe_at: Timestamp,
    asked: Option<(Name, Epoch, Timestamp)>,
    silent_since: Option<Timestamp>,
}

impl Watch {
    pub(crate) fn set_live(&mut self, mut names: Vec<Name>) {
        names.sort();
        names.dedup();
        self.live = names;
    }

    /// Starts the scan and the probes that are due.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx) {
        if cx.now >= self.scan_at && !self.scanning {
            self.scanning = true;
            self.seen.clear();
            self.list(None, cx);
        }
        self.probe(cx);
    }

    fn list(&self, after: Option<Name>, cx: &mut Cx) {
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
        cx: &mut Cx,
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
            return self.list(last, cx);
        }
        let seen = std::mem::take(&mut self.seen);
        self.jobs.retain(|job, _| seen.contains(job));
        for holder in self.holders.values_mut() {
            holder.jobs.retain(|job| seen.contains(job));
        }
        self.holders.retain(|_, holder| !holder.jobs.is_empty());
        self.scanning = false;
        let jitter = 1.0 + SCAN_JITTER * (cx.rng.random::<f64>() - 0.5);
        self.scan_at = cx.now + cx.cfg.scan_interval.mul_f64(jitter);
    }

    /// Adds a job and schedules a check whether it needs a driver.
    pub(crate) fn add(&mut self, job: Name, cx: &Cx) {
        if self.jobs.contains_key(&job) {
            return;
        }
        let wait = cx.cfg.rank_stagger * self.rank(&job, &cx.me.name, None);
        let watched = Watched {
            first_seen: cx.now,
            look_at: Some(cx.now + wait),
            due_unix_ms: 0,
            holder: None,
            dead: None,
        };
        self.jobs.insert(job, watched);
    }

    /// Returns the number of live entries with a higher priority than this one for a job (rendezvous
    /// hashing). This distributes the jobs of a lost driver over the other entries and keeps them
    /// from claiming the same job at the same time.
    fn rank(&self, job: &Name, me: &Name, without: Option<&Name>) -> u32 {
        let weight = |name: &Name| {
            let seed = xxh3_64_with_seed(job.as_bytes(), 0);
            xxh3_64_with_seed(name.as_bytes(), seed)
        };
        let mine = weight(me);
        let before = self
            .live
            .iter()
            .filter(|name| *name != me && Some(*name) != without)
            .filter(|name| weight(name) > mine);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Returns at most `room` jobs whose check is due, ordered by deadline, each with the claim
    /// whose holder is considered dead, if any.
    pub(crate) fn take_looks(
        &mut self,
        now: Timestamp,
        room: usize,
    ) -> Vec<(Name, Option<(Incarnation, Epoch)>)> {
        let mut ready: Vec<(u64, Name)> = self
            .jobs
            .iter()
            .filter(|(_, watched)| watched.look_at.is_some_and(|at| at <= now))
            .map(|(job, watched)| (watched.due_unix_ms, Name::clone(job)))
            .collect();
        ready.sort();
        ready.truncate(room);
        let mut looks = Vec::new();
        for (_, job) in ready {
            if let Some(watched) = self.jobs.get_mut(&job) {
                watched.look_at = None;
                looks.push((job, watched.dead));
            }
        }
        looks
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, job: &Name) {
        self.jobs.remove(job);
        for holder in self.holders.values_mut() {
            holder.jobs.remove(job);
        }
    }

    /// Schedules another check of a job after a delay.
    pub(crate) fn look_later(&mut self, job: &Name, wait: Duration, now: Timestamp) {
        if let Some(watched) = self.jobs.get_mut(job) {
            watched.look_at = Some(now + wait);
        }
    }

    /// Records that an index entry has no header. Returns `true` if it is old enough to be removed.
    pub(crate) fn on_no_header(&mut self, job: &Name, cx: &Cx) -> bool {
        let Some(watched) = self.jobs.get_mut(job) else {
            return false;
        };
        let age = cx.now - watched.first_seen;
        let wait = age.clamp(cx.cfg.rank_stagger, NO_HEADER_RETRY_LIMIT);
        watched.look_at = Some(cx.now + wait);
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
            asked: None,
            silent_since: None,
        });
        holder.jobs.insert(Name::clone(job));
    }

    fn probe(&mut self, cx: &mut Cx) {
        let rate = f64::from(cx.cfg.probes_per_second);
        let gained = (cx.now - self.probes_at).as_secs_f64() * rate;
        self.probes_at = cx.now;
        self.probe_tokens = (self.probe_tokens + gained).min(rate);
        let mut late = Vec::new();
        for (incarnation, holder) in &mut self.holders {
            if let Some((job, epoch, asked_at)) = &holder.asked {
                if cx.now - *asked_at >= cx.cfg.probe_timeout {
                    late.push((*incarnation, Name::clone(job), *epoch));
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
            holder.asked = Some((Name::clone(&job), epoch, cx.now));
            cx.out.push(JobAction::Probe {
                addr: Name::clone(&holder.addr),
                holder: *incarnation,
                object: object(&job),
                epoch,
            });
        }
        for (incarnation, job, epoch) in late {
            self.on_answer(incarnation, &object(&job), epoch, None, cx);
        }
    }

    /// Handles the answer to a probe; `held` is `None` if the probe failed.
    pub(crate) fn on_answer(
        &mut self,
        incarnation: Incarnation,
        name: &Name,
        epoch: Epoch,
        held: Option<bool>,
        cx: &mut Cx,
    ) {
        let Some(holder) = self.holders.get_mut(&incarnation) else {
            return;
        };
        let Some((job, asked_epoch, asked_at)) = holder.asked.take() else {
            return;
        };
        if object(&job) != *name || asked_epoch != epoch {
            holder.asked = Some((job, asked_epoch, asked_at));
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
                self.give_up(incarnation, &[job], cx);
            }
            None => {
                let since = *holder.silent_since.get_or_insert(asked_at);
                holder.probe_at = cx.now;
                if cx.now - since >= cx.cfg.takeover_silence {
                    let jobs: Vec<Name> = holder.jobs.iter().cloned().collect();
                    self.give_up(incarnation, &jobs, cx);
                }
            }
        }
    }

    /// Schedules attempts to claim jobs that their holder has lost or released.
    fn give_up(&mut self, incarnation: Incarnation, jobs: &[Name], cx: &Cx) {
        let Some(mut holder) = self.holders.remove(&incarnation) else {
            return;
        };
        for job in jobs {
            holder.jobs.remove(job);
            let rank = self.rank(job, &cx.me.name, Some(&holder.name));
            if let Some(watched) = self.jobs.get_mut(job) {
                watched.dead = watched.holder.take();
                watched.look_at = Some(cx.now + cx.cfg.rank_stagger * rank);
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
pub(crate) fn object(job: &Name) -> Name {
    Name::from(format!("{}/{job}", header::KIND))
}
