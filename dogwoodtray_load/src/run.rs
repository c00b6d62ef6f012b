//! The open loop.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::LoadConfig;
use crate::LoadError;
use crate::LoadReport;
use crate::client::EntryClient;
use crate::job::JobPlan;
use crate::job::JobSample;
use crate::job::JobTerms;
use crate::job::drive;
use crate::online::Outcome;
use crate::online::Sample;
use crate::online::ask;
use crate::plan::Planned;
use crate::plan::job_items;
use crate::plan::job_key;
use crate::plan::plan;
use crate::plan::question;
use crate::record::ClassRecord;
use crate::record::JobRecord;
use crate::record::Records;
use crate::record::Times;

/// Time between the preparation and the start of a run.
const START_DELAY: Duration = Duration::from_millis(20);

/// Runs a load and returns what it measured.
///
/// Ends when all requests and jobs have ended or timed out.
///
/// # Errors
///
/// Returns an error for settings that are not valid. Failures of the entries are results.
pub async fn run(cfg: LoadConfig) -> Result<LoadReport, LoadError> {
    cfg.check()?;
    let online = VecDeque::from(plan(&cfg)?);
    let jobs = VecDeque::from(plan_jobs(&cfg));
    let records = Records {
        classes: records_of(cfg.streams.iter().map(|s| &s.shape.name), ClassRecord::new)?,
        jobs: records_of(cfg.jobs.iter().map(|s| &s.shape.name), JobRecord::new)?,
        send_lag: Times::new()?,
    };
    let generator = Generator {
        client: EntryClient::new(cfg.entries.clone()),
        cfg: Arc::new(cfg),
        start: Instant::now() + START_DELAY,
        online,
        jobs,
        tasks: JoinSet::new(),
        in_flight: 0,
        turn: 0,
        records,
    };
    Ok(generator.run().await)
}

/// Result of one task.
enum Ended {
    Online { planned: Planned, sample: Sample },
    Job { stream: usize, at: Duration, sample: JobSample },
}

/// State of a run.
struct Generator {
    cfg: Arc<LoadConfig>,
    client: EntryClient,
    start: Instant,
    online: VecDeque<Planned>,
    jobs: VecDeque<JobPlan>,
    tasks: JoinSet<Ended>,
    /// Online requests on the way.
    in_flight: usize,
    /// Counts what was sent; picks the entry.
    turn: usize,
    records: Records,
}

impl Generator {
    async fn run(mut self) -> LoadReport {
        loop {
            let next = self.next_at();
            let due = self.start + next.unwrap_or_default();
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(due), if next.is_some() => self.send_due(),
                Some(ended) = self.tasks.join_next() => match ended {
                    Ok(ended) => self.record(ended),
                    Err(err) => log::error!("a request ended without a result: {err}"),
                },
                else => return self.report(),
            }
        }
    }

    fn next_at(&self) -> Option<Duration> {
        let online = self.online.front().map(|request| request.at);
        let job = self.jobs.front().map(|job| job.at);
        online.into_iter().chain(job).min()
    }

    fn send_due(&mut self) {
        let now = self.start.elapsed();
        while let Some(request) = self.online.pop_front_if(|request| request.at <= now) {
            self.send_online(request);
        }
        while let Some(job) = self.jobs.pop_front_if(|job| job.at <= now) {
            self.send_job(job);
        }
    }

    fn send_online(&mut self, planned: Planned) {
        let cfg = Arc::clone(&self.cfg);
        let skipped = self.in_flight >= cfg.max_in_flight;
        if self.is_measured(&planned) {
            let record = self.records.classes.get_mut(&cfg.streams[planned.stream].shape.name);
            match record {
                Some(record) if skipped => record.add_skipped(),
                Some(record) => record.add_sent(),
                None => debug_assert!(false, "each stream has a record"),
            }
        }
        if skipped {
            return;
        }
        self.in_flight += 1;
        self.turn += 1;
        let turn = self.turn;
        let client = self.client.clone();
        let at = self.start + planned.at;
        self.tasks.spawn(async move {
            let shape = &cfg.streams[planned.stream].shape;
            let question = question(&cfg, shape, &planned);
            let organization = cfg.organization.as_deref();
            let timeout = cfg.request_timeout;
            let sample = ask(client, turn, shape, organization, question, at, timeout).await;
            Ended::Online { planned, sample }
        });
    }

    fn send_job(&mut self, plan: JobPlan) {
        self.turn += 1;
        let turn = self.turn;
        let client = self.client.clone();
        let planned = self.start + plan.at;
        let terms = JobTerms {
            organization: self.cfg.organization.clone(),
            deadline: self.cfg.jobs[plan.stream].shape.deadline,
            timeout: self.cfg.job_timeout,
            poll_interval: self.cfg.poll_interval,
            window: (self.start + self.cfg.warm_up, self.start + self.cfg.span()),
        };
        self.tasks.spawn(async move {
            let sample = drive(client, turn, &plan, terms, planned).await;
            Ended::Job { stream: plan.stream, at: plan.at, sample }
        });
    }

    fn record(&mut self, ended: Ended) {
        match ended {
            Ended::Online { planned, sample } => {
                self.in_flight -= 1;
                self.record_online(&planned, sample);
            }
            Ended::Job { stream, at, sample } => {
                let shape = &self.cfg.jobs[stream].shape;
                if let Some(record) = self.records.jobs.get_mut(&shape.name) {
                    record.add(at, shape.deadline, sample);
                }
            }
        }
    }

    fn record_online(&mut self, planned: &Planned, sample: Sample) {
        let end = planned.at + sample.total;
        let ended_in_window = self.cfg.warm_up <= end && end < self.cfg.span();
        let measured = self.is_measured(planned);
        let name = &self.cfg.streams[planned.stream].shape.name;
        let Some(record) = self.records.classes.get_mut(name) else {
            debug_assert!(false, "each stream has a record");
            return;
        };
        // Throughput counts what ended in the window, also if it was planned before. Otherwise an
        // overloaded system would be credited with answers that came after the load.
        if ended_in_window && sample.outcome == Outcome::Whole {
            record.add_ended(planned.tokens);
        }
        if measured {
            self.records.send_lag.add(sample.send_lag);
            record.add(planned.tokens, sample);
        }
    }

    fn is_measured(&self, planned: &Planned) -> bool {
        planned.at >= self.cfg.warm_up
    }

    fn report(self) -> LoadReport {
        let window = self.cfg.duration;
        let classes = self.records.classes.into_iter();
        let jobs = self.records.jobs.into_iter();
        LoadReport {
            label: self.cfg.label.clone(),
            seed: self.cfg.seed,
            seconds: window.as_secs_f64(),
            classes: classes.map(|(name, record)| (name, record.report(window))).collect(),
            jobs: jobs.map(|(name, record)| (name, record.report())).collect(),
            send_lag: self.records.send_lag.latency(),
        }
    }
}

fn plan_jobs(cfg: &LoadConfig) -> Vec<JobPlan> {
    let mut plans = Vec::new();
    for (stream, jobs) in cfg.jobs.iter().enumerate() {
        let mut at = Duration::ZERO;
        for job in 0..jobs.count {
            let items = job_items(cfg, stream, &jobs.shape, job);
            let key = job_key(cfg, &jobs.shape, job);
            plans.push(JobPlan::new(stream, at, key, items, cfg.model.as_deref()));
            at += jobs.every;
        }
    }
    plans.sort_by_key(|plan| plan.at);
    plans
}

fn records_of<'a, T, E>(
    names: impl Iterator<Item = &'a String>,
    new: impl Fn() -> Result<T, E>,
) -> Result<BTreeMap<String, T>, E> {
    names.map(|name| Ok((name.clone(), new()?))).collect()
}
