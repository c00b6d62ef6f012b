//! Results of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

const MICROS_PER_MS: f64 = 1_000.0;

/// Latency in milliseconds.
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

    /// Reads a histogram of microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> Self {
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
    /// Requests that were not sent, because too many were on the way.
    pub skipped: u64,
    /// Requests with the whole, right answer.
    pub whole: u64,
    /// Requests that were refused, by status and code.
    pub refused: BTreeMap<String, u64>,
    /// Requests with a wrong answer.
    pub wrong: u64,
    /// Requests whose answer broke off.
    pub truncated: u64,
    /// Requests without an answer.
    pub failed: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Requests that were planned each second.
    pub offered_per_second: f64,
    /// Whole answers that ended in the measured time, each second.
    pub whole_per_second: f64,
    /// Tokens of whole answers that ended in the measured time, each second.
    pub tokens_per_second: f64,
    /// Time from the planned time to the first token, for whole answers.
    pub first_token: Latency,
    /// Time between tokens, for whole answers.
    pub between_tokens: Latency,
    /// Time from the planned time to the end, for whole answers.
    pub total: Latency,
}

/// Items of jobs by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCounts {
    /// Items with one result, which is whole and right.
    pub whole: u64,
    /// Items with one result, which is an error.
    pub failed: u64,
    /// Items with one result, which is wrong or truncated.
    pub wrong: u64,
    /// Items without a result.
    pub missing: u64,
    /// Results beyond the first of an item.
    pub duplicate: u64,
    /// Results of items that were never submitted, and lines that can't be read.
    pub unknown: u64,
}

/// Results of the jobs of one shape.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobReport {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that ended.
    pub ended: u64,
    /// Jobs that had not ended when their time was over.
    pub unfinished: u64,
    /// Jobs that ended after their deadline.
    pub late: u64,
    /// Submissions that were refused, by status and code. A refused job is submitted again.
    pub refused: BTreeMap<String, u64>,
    /// Items of the jobs that ended.
    pub items: ItemCounts,
    /// Items that the entries reported as done while online requests were sent.
    pub done_in_window: u64,
    /// Tokens of whole items.
    pub tokens: u64,
    /// Tokens of whole items each second, from the first submission to the last end.
    pub tokens_per_second: f64,
    /// Time from the planned submission to the end.
    pub turnaround: Latency,
}

/// Results of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the run, usually the name of the policy.
    pub label: String,
    /// Seed of the run.
    pub seed: u64,
    /// Seconds that were measured, without the warm-up.
    pub seconds: f64,
    /// Online requests by shape.
    pub classes: BTreeMap<String, ClassReport>,
    /// Jobs by shape.
    pub jobs: BTreeMap<String, JobReport>,
    /// Time by which the generator itself was late. Large values make the run worthless.
    pub send_lag: Latency,
}

impl LoadReport {
    /// Returns the online requests that were planned each second.
    #[must_use]
    pub fn offered_per_second(&self) -> f64 {
        self.classes.values().map(|class| class.offered_per_second).sum()
    }

    /// Returns the tokens each second of online requests and jobs.
    #[must_use]
    pub fn tokens_per_second(&self) -> f64 {
        let online: f64 = self.classes.values().map(|class| class.tokens_per_second).sum();
        online + self.jobs.values().map(|job| job.tokens_per_second).sum::<f64>()
    }

    /// Writes the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Maps with text keys and finite numbers are always valid JSON.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
