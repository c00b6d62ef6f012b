//! Open-loop load generator.

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
use crate::job::JobOptions;
use crate::job::JobSample;
use crate::job::PlannedJob;
use crate::job::run_job;
use crate::online::Outcome;
use crate::online::RequestSample;
use crate::online::measure_request;
use crate::plan::PlannedRequest;
use crate::plan::build_job_items;
use crate::plan::build_online_request;
use crate::plan::job_key;
use crate::plan::plan_requests;
use crate::record::ClassRecord;
use crate::record::JobRecord;
use crate::record::LatencyHistogram;
use crate::record::Records;

/// Delay between the preparation and the start of a run.
const START_DELAY: Duration = Duration::from_millis(20);

/// Runs a load and returns its report.
///
/// Returns when all requests and jobs have ended or timed out.
///
/// # Errors
///
/// Returns an error if the configuration is invalid. Failures of entries are counted in the report.
pub async fn run(cfg: LoadConfig) -> Result<LoadReport, LoadError> {
    cfg.validate()?;
    let online = VecDeque::from(plan_requests(&cfg)?);
    let jobs = VecDeque::from(plan_jobs(&cfg));
    let records = Records {
        classes: records_by_name(cfg.streams.iter().map(|s| &s.shape.name), ClassRecord::new)?,
        jobs: records_by_name(cfg.jobs.iter().map(|s| &s.shape.name), JobRecord::new)?,
        send_lag: LatencyHistogram::new()?,
    };
    let generator = Generator {
        client: EntryClient::new(cfg.entries.clone()),
        cfg: Arc::new(cfg),
        start: Instant::now() + START_DELAY,
        online,
        jobs,
        tasks: JoinSet::new(),
        in_flight: 0,
        entry_index: 0,
        records,
    };
    Ok(generator.run().await)
}

/// Result of the task of a request or job.
enum TaskResult {
    Online { planned: PlannedRequest, sample: RequestSample },
    Job { stream: usize, offset: Duration, sample: JobSample },
}

/// State of a running load.
struct Generator {
    cfg: Arc<LoadConfig>,
    client: EntryClient,
    start: Instant,
    online: VecDeque<PlannedRequest>,
    jobs: VecDeque<PlannedJob>,
    tasks: JoinSet<TaskResult>,
    /// Number of online requests in flight.
    in_flight: usize,
    /// Number of sent requests and jobs; selects the entry of the next one.
    entry_index: usize,
    records: Records,
}

impl Generator {
    /// Sends all planned requests and jobs and waits for their results.
    async fn run(mut self) -> LoadReport {
        loop {
            let next = self.next_offset();
            let due = self.start + next.unwrap_or_default();
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(due), if next.is_some() => self.send_due(),
                Some(result) = self.tasks.join_next() => match result {
                    Ok(result) => self.record(result),
                    Err(err) => log::error!("task of a request or job failed: {err}"),
                },
                else => return self.report(),
            }
        }
    }

    fn next_offset(&self) -> Option<Duration> {
        let online = self.online.front().map(|request| request.offset);
        let job = self.jobs.front().map(|job| job.offset);
        online.into_iter().chain(job).min()
    }

    fn send_due(&mut self) {
        let now = self.start.elapsed();
        while let Some(request) = self.online.pop_front_if(|request| request.offset <= now) {
            self.send_online(request);
        }
        while let Some(job) = self.jobs.pop_front_if(|job| job.offset <= now) {
            self.send_job(job);
        }
    }

    fn send_online(&mut self, planned: PlannedRequest) {
        let cfg = Arc::clone(&self.cfg);
        let skipped = self.in_flight >= cfg.max_in_flight;
        if self.is_after_warm_up(&planned) {
            let record = self.records.classes.get_mut(&cfg.streams[planned.stream].shape.name);
            match record {
                Some(record) if skipped => record.add_skipped(),
                Some(record) => record.add_sent(),
                None => debug_assert!(false, "stream has no record"),
            }
        }
        if skipped {
            return;
        }
        self.in_flight += 1;
        self.entry_index += 1;
        let entry_index = self.entry_index;
        let client = self.client.clone();
        let planned_at = self.start + planned.offset;
        self.tasks.spawn(async move {
            let shape = &cfg.streams[planned.stream].shape;
            let chat_request = build_online_request(&cfg, shape, &planned);
            let organization = cfg.organization.as_deref();
            let timeout = cfg.request_timeout;
            let sample = measure_request(
                client,
                entry_index,
                shape,
                organization,
                chat_request,
                planned_at,
                timeout,
            )
            .await;
            TaskResult::Online { planned, sample }
        });
    }

    fn send_job(&mut self, job: PlannedJob) {
        self.entry_index += 1;
        let entry_index = self.entry_index;
        let client = self.client.clone();
        let planned_at = self.start + job.offset;
        let options = JobOptions {
            organization: self.cfg.organization.clone(),
            deadline: self.cfg.jobs[job.stream].shape.deadline,
            timeout: self.cfg.job_timeout,
            poll_interval: self.cfg.poll_interval,
            window: (self.start + self.cfg.warm_up, self.start + self.cfg.total_duration()),
        };
        self.tasks.spawn(async move {
            let sample = run_job(client, entry_index, &job, options, planned_at).await;
            TaskResult::Job { stream: job.stream, offset: job.offset, sample }
        });
    }

    fn record(&mut self, result: TaskResult) {
        match result {
            TaskResult::Online { planned, sample } => {
                self.in_flight -= 1;
                self.record_online(&planned, sample);
            }
            TaskResult::Job { stream, offset, sample } => {
                let shape = &self.cfg.jobs[stream].shape;
                if let Some(record) = self.records.jobs.get_mut(&shape.name) {
                    record.add(offset, shape.deadline, sample);
                }
            }
        }
    }

    fn record_online(&mut self, planned: &PlannedRequest, sample: RequestSample) {
        let end = planned.offset + sample.total;
        let ended_in_window = self.cfg.warm_up <= end && end < self.cfg.total_duration();
        let measured = self.is_after_warm_up(planned);
        let name = &self.cfg.streams[planned.stream].shape.name;
        let Some(record) = self.records.classes.get_mut(name) else {
            debug_assert!(false, "stream has no record");
            return;
        };
        // Throughput counts the answers that ended in the measurement window, including those of
        // requests planned before it. Counting by planned time would include answers of an
        // overloaded system that ended after the load.
        if ended_in_window && sample.outcome == Outcome::Complete {
            record.add_completed_in_window(planned.tokens);
        }
        if measured {
            self.records.send_lag.record(sample.send_lag);
            record.add(planned.tokens, sample);
        }
    }

    fn is_after_warm_up(&self, planned: &PlannedRequest) -> bool {
        planned.offset >= self.cfg.warm_up
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

fn plan_jobs(cfg: &LoadConfig) -> Vec<PlannedJob> {
    let mut planned_jobs = Vec::new();
    for (stream, jobs) in cfg.jobs.iter().enumerate() {
        let mut offset = Duration::ZERO;
        for job in 0..jobs.count {
            let items = build_job_items(cfg, stream, &jobs.shape, job);
            let key = job_key(cfg, &jobs.shape, job);
            planned_jobs.push(PlannedJob::new(stream, offset, key, items, cfg.model.as_deref()));
            offset += jobs.interval;
        }
    }
    planned_jobs.sort_by_key(|job| job.offset);
    planned_jobs
}

fn records_by_name<'a, T, E>(
    names: impl Iterator<Item = &'a String>,
    new: impl Fn() -> Result<T, E>,
) -> Result<BTreeMap<String, T>, E> {
    names.map(|name| Ok((name.clone(), new()?))).collect()
}
