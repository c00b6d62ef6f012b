//! Report of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

const MICROS_PER_MS: f64 = 1_000.0;

/// Summary of a latency distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Quantile 0.5.
    pub p50_ms: f64,
    /// Quantile 0.9.
    pub p90_ms: f64,
    /// Quantile 0.95.
    pub p95_ms: f64,
    /// Quantile 0.99.
    pub p99_ms: f64,
    /// Quantile 0.999.
    pub p999_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

impl Latency {
    /// Names of the quantiles that [`Self::quantiles`] returns.
    pub const QUANTILES: [&str; 5] = ["p50", "p90", "p95", "p99", "p99.9"];

    /// Returns the quantiles in ascending order.
    #[must_use]
    pub const fn quantiles(&self) -> [f64; 5] {
        [self.p50_ms, self.p90_ms, self.p95_ms, self.p99_ms, self.p999_ms]
    }

    /// Creates a summary of a histogram of microseconds.
    pub(crate) fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let quantile = |q| histogram.value_at_quantile(q) as f64 / MICROS_PER_MS;
        Self {
            count: histogram.len(),
            mean_ms: histogram.mean() / MICROS_PER_MS,
            p50_ms: quantile(0.5),
            p90_ms: quantile(0.9),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            max_ms: histogram.max() as f64 / MICROS_PER_MS,
        }
    }
}

/// Results of the online requests of one shape, without the warm-up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were not sent because too many others were in flight.
    pub skipped: u64,
    /// Requests whose answer was complete and correct.
    pub whole: u64,
    /// Requests that were refused, by status and error code.
    pub refused: BTreeMap<String, u64>,
    /// Requests with a wrong answer.
    pub wrong: u64,
    /// Requests whose answer was correct but incomplete.
    pub truncated: u64,
    /// Requests that received no response or timed out.
    pub failed: u64,
    /// Tokens of complete answers.
    pub tokens: u64,
    /// Planned requests per second.
    pub offered_per_second: f64,
    /// Complete answers that ended in the measurement window, per second.
    pub whole_per_second: f64,
    /// Tokens of complete answers that ended in the measurement window, per second.
    pub tokens_per_second: f64,
    /// Time from the planned send time to the first token of complete answers.
    pub first_token: Latency,
    /// Time between consecutive tokens of complete answers.
    pub between_tokens: Latency,
    /// Time from the planned send time to the end of complete answers.
    pub total: Latency,
}

/// Numbers of job items by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCounts {
    /// Items whose result is complete and correct.
    pub whole: u64,
    /// Items whose result is an error.
    pub failed: u64,
    /// Items whose result is wrong or truncated.
    pub wrong: u64,
    /// Items without a result.
    pub missing: u64,
    /// Additional results of items that already had a result.
    pub duplicate: u64,
    /// Results of items that were not submitted, and result lines that can't be parsed.
    pub unknown: u64,
}

/// Results of the jobs of one shape.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobReport {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that ended.
    pub ended: u64,
    /// Jobs that had not ended when the job timeout elapsed.
    pub unfinished: u64,
    /// Jobs that ended after their deadline.
    pub late: u64,
    /// Failed submission attempts, by status and error code. Such a job is submitted again.
    pub refused: BTreeMap<String, u64>,
    /// Items of the jobs that ended.
    pub items: ItemCounts,
    /// Items that the entries reported as done in the measurement window.
    pub done_in_window: u64,
    /// Tokens of complete and correct items.
    pub tokens: u64,
    /// Tokens of complete and correct items per second, from the first planned submission to the
    /// last end.
    pub tokens_per_second: f64,
    /// Time from the planned submission until the results were read.
    pub turnaround: Latency,
}

/// Report of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the run, usually the name of the policy.
    pub label: String,
    /// Seed of the run.
    pub seed: u64,
    /// Length of the measurement window in seconds.
    pub seconds: f64,
    /// Results of online requests, by name of the shape.
    pub classes: BTreeMap<String, ClassReport>,
    /// Results of jobs, by name of the shape.
    pub jobs: BTreeMap<String, JobReport>,
    /// Delay between the planned and the actual send time. Large values mean that the generator was
    /// overloaded and that the run is invalid.
    pub send_lag: Latency,
}

impl LoadReport {
    /// Returns the number of planned online requests per second.
    #[must_use]
    pub fn offered_per_second(&self) -> f64 {
        self.classes.values().map(|class| class.offered_per_second).sum()
    }

    /// Returns the number of tokens per second of online requests and jobs.
    #[must_use]
    pub fn tokens_per_second(&self) -> f64 {
        let online: f64 = self.classes.values().map(|class| class.tokens_per_second).sum();
        online + self.jobs.values().map(|job| job.tokens_per_second).sum::<f64>()
    }

    /// Returns the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Maps with string keys and finite numbers can always be serialized as JSON.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
