//! Configuration of a load run.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Arrivals;
use crate::JobShape;
use crate::LoadError;
use crate::RequestShape;

/// Stream of online requests of one shape.
#[derive(Clone, Debug)]
pub(crate) struct OnlineStream {
    pub(crate) shape: RequestShape,
    pub(crate) arrivals: Arrivals,
}

/// Stream of jobs of one shape.
#[derive(Clone, Debug)]
pub(crate) struct JobStream {
    pub(crate) shape: JobShape,
    pub(crate) count: usize,
    /// Time between two submissions. The first job is submitted at the start of the run.
    pub(crate) interval: Duration,
}

/// Configuration of one run of the load generator.
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
    /// Creates a configuration that sends no load yet and targets these entries.
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
    /// The idempotency keys of jobs contain label and seed, so a run with the same label and seed
    /// submits the same jobs again.
    pub fn label(mut self, label: impl Into<String>) -> Self {
        self.label = label.into();
        self
    }

    /// Sets the seed of the random number generators.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the model of all requests and jobs.
    pub fn model(mut self, model: impl Into<String>) -> Self {
        self.model = Some(model.into());
        self
    }

    /// Sets the organisation of all requests and jobs.
    pub fn organization(mut self, organization: impl Into<String>) -> Self {
        self.organization = Some(organization.into());
        self
    }

    /// Adds a stream of online requests.
    pub fn stream(mut self, shape: RequestShape, arrivals: Arrivals) -> Self {
        self.streams.push(OnlineStream { shape, arrivals });
        self
    }

    /// Adds a stream of jobs. The first is submitted at the start, and each further one `interval`
    /// after the previous one.
    pub fn jobs(mut self, shape: JobShape, count: usize, interval: Duration) -> Self {
        self.jobs.push(JobStream { shape, count, interval });
        self
    }

    /// Sets the warm-up time at the start. Its requests are excluded from the report.
    pub fn warm_up(mut self, warm_up: Duration) -> Self {
        self.warm_up = warm_up;
        self
    }

    /// Sets the length of the measurement window, which follows the warm-up. Requests are sent
    /// until the window ends.
    pub fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the time after which a request is aborted and counts as failed.
    pub fn request_timeout(mut self, timeout: Duration) -> Self {
        self.request_timeout = timeout;
        self
    }

    /// Sets the time after which the generator stops polling a job and counts it as unfinished.
    pub fn job_timeout(mut self, timeout: Duration) -> Self {
        self.job_timeout = timeout;
        self
    }

    /// Sets the interval at which the status of a job is polled.
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.poll_interval = interval;
        self
    }

    /// Sets the maximum number of planned online requests and of concurrent online requests.
    ///
    /// A run that plans more than `max_requests` requests returns an error. A request that would
    /// exceed `max_in_flight` is not sent and counts as skipped.
    pub fn request_limits(mut self, max_requests: usize, max_in_flight: usize) -> Self {
        self.max_requests = max_requests;
        self.max_in_flight = max_in_flight;
        self
    }
}

impl LoadConfig {
    /// Returns the time from the start of the run to the end of the measurement window.
    pub(crate) fn total_duration(&self) -> Duration {
        self.warm_up + self.duration
    }

    pub(crate) fn validate(&self) -> Result<(), LoadError> {
        let shapes = self.streams.iter().map(|stream| &stream.shape.name);
        let jobs = self.jobs.iter().map(|jobs| &jobs.shape.name);
        let names = shapes.chain(jobs).chain([&self.label]).chain(&self.organization);
        let message = if names.into_iter().any(|name| !is_valid_in_header(name)) {
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
        Err(LoadError::Config(message.to_owned()))
    }
}

/// Returns whether a name is valid in request ids and idempotency keys, which are sent as headers.
fn is_valid_in_header(name: &str) -> bool {
    name.bytes().all(|byte| byte.is_ascii_graphic())
}
