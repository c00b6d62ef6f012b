//! Settings of a load.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Arrivals;
use crate::JobShape;
use crate::LoadError;
use crate::Shape;

/// Online requests of one shape.
#[derive(Clone, Debug)]
pub(crate) struct OnlineStream {
    pub(crate) shape: Shape,
    pub(crate) arrivals: Arrivals,
}

/// Jobs of one shape.
#[derive(Clone, Debug)]
pub(crate) struct JobStream {
    pub(crate) shape: JobShape,
    pub(crate) count: usize,
    /// Time between two submissions. The first job is submitted at the start.
    pub(crate) every: Duration,
}

/// Settings of one run of the load generator.
#[derive(Clone, Debug)]
#[must_use]
pub struct LoadConfig {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) label: String,
    pub(crate) seed: u64,
    pub(crate) model: Option<String>,
    pub(crate) organization: Option<String>,
    pub(crate) streams: Vec<OnlineStream>,
    pub(crate) jobs: Vec<JobStream>,
    pub(crate) warm_up: Duration,
    pub(crate) duration: Duration,
    pub(crate) request_timeout: Duration,
    pub(crate) job_timeout: Duration,
    pub(crate) poll_interval: Duration,
    pub(crate) max_requests: usize,
    pub(crate) max_in_flight: usize,
}

impl LoadConfig {
    /// Creates settings without any load, for callers of these entries.
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
            label: "run".to_owned(),
            seed: 0,
            model: None,
            organization: None,
            streams: Vec::new(),
            jobs: Vec::new(),
            warm_up: Duration::from_secs(2),
            duration: Duration::from_secs(10),
            request_timeout: Duration::from_secs(60),
            job_timeout: Duration::from_secs(300),
            poll_interval: Duration::from_millis(200),
            max_requests: 1_000_000,
            max_in_flight: 10_000,
        }
    }

    /// Sets the name of the run in reports, usually the name of the policy.
    ///
    /// Label and seed are part of the job keys, so a run with both unchanged submits the same jobs
    /// again.
    pub fn label(mut self, label: impl Into<String>) -> Self {
        self.label = label.into();
        self
    }

    /// Sets the seed of all random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the model that requests ask for.
    pub fn model(mut self, model: impl Into<String>) -> Self {
        self.model = Some(model.into());
        self
    }

    /// Sets the organisation that callers name.
    pub fn organization(mut self, organization: impl Into<String>) -> Self {
        self.organization = Some(organization.into());
        self
    }

    /// Adds online requests.
    pub fn stream(mut self, shape: Shape, arrivals: Arrivals) -> Self {
        self.streams.push(OnlineStream { shape, arrivals });
        self
    }

    /// Adds jobs. The first is submitted at the start, each other one `every` later.
    pub fn jobs(mut self, shape: JobShape, count: usize, every: Duration) -> Self {
        self.jobs.push(JobStream { shape, count, every });
        self
    }

    /// Sets the time at the start whose requests are left out of the report.
    pub fn warm_up(mut self, warm_up: Duration) -> Self {
        self.warm_up = warm_up;
        self
    }

    /// Sets the time after the warm-up in which requests are sent.
    pub fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the time after which a request counts as failed.
    pub fn request_timeout(mut self, timeout: Duration) -> Self {
        self.request_timeout = timeout;
        self
    }

    /// Sets the time after which a job counts as unfinished.
    pub fn job_timeout(mut self, timeout: Duration) -> Self {
        self.job_timeout = timeout;
        self
    }

    /// Sets the time between two looks at the status of a job.
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.poll_interval = interval;
        self
    }

    /// Sets the bounds: online requests in all, and requests on the way at the same time.
    ///
    /// A request over the second bound is not sent and counted as skipped.
    pub fn bounds(mut self, max_requests: usize, max_in_flight: usize) -> Self {
        self.max_requests = max_requests;
        self.max_in_flight = max_in_flight;
        self
    }
}

impl LoadConfig {
    /// Returns the time from the start to the last request.
    pub(crate) fn span(&self) -> Duration {
        self.warm_up + self.duration
    }

    pub(crate) fn check(&self) -> Result<(), LoadError> {
        let shapes = self.streams.iter().map(|stream| &stream.shape.name);
        let jobs = self.jobs.iter().map(|jobs| &jobs.shape.name);
        let names = shapes.chain(jobs).chain([&self.label]).chain(&self.organization);
        let problem = if names.into_iter().any(|name| !is_header_safe(name)) {
            "names and the label may only have visible ASCII characters"
        } else if self.entries.is_empty() {
            "there is no entry"
        } else if self.duration.is_zero() {
            "the duration is zero"
        } else if self.poll_interval.is_zero() {
            "the poll interval is zero"
        } else {
            return Ok(());
        };
        Err(LoadError::Config(problem.to_owned()))
    }
}

/// Tells whether a name can be a part of a request id or key, which travel in headers.
fn is_header_safe(name: &str) -> bool {
    name.bytes().all(|byte| byte.is_ascii_graphic())
}
