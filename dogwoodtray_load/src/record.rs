//! Samples collected during a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::CreationError;
use hdrhistogram::Histogram;

use crate::ClassReport;
use crate::ItemCounts;
use crate::JobReport;
use crate::Latency;
use crate::job::JobSample;
use crate::online::Outcome;
use crate::online::RequestSample;

/// Number of significant decimal digits of a histogram.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;

/// Upper bound of a histogram. Longer times are recorded as this value.
const MAX_RECORDED_TIME: Duration = Duration::from_secs(3_600);

/// Histogram of latencies in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    pub(crate) fn new() -> Result<Self, CreationError> {
        let max_micros = MAX_RECORDED_TIME.as_micros() as u64;
        Histogram::new_with_bounds(1, max_micros, HISTOGRAM_SIGNIFICANT_DIGITS).map(Self)
    }

    pub(crate) fn record(&mut self, time: Duration) {
        self.0.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    pub(crate) fn latency(&self) -> Latency {
        Latency::from_histogram(&self.0)
    }
}

/// Samples of the online requests of one shape.
#[derive(Clone, Debug)]
pub(crate) struct ClassRecord {
    counts: ClassReport,
    first_token: LatencyHistogram,
    between_tokens: LatencyHistogram,
    total: LatencyHistogram,
    /// Planned requests, including skipped ones.
    planned: u64,
    /// Number of complete answers that ended in the measurement window, and of their tokens.
    completed_in_window: (u64, u64),
}

impl ClassRecord {
    pub(crate) fn new() -> Result<Self, CreationError> {
        Ok(Self {
            counts: ClassReport::default(),
            first_token: LatencyHistogram::new()?,
            between_tokens: LatencyHistogram::new()?,
            total: LatencyHistogram::new()?,
            planned: 0,
            completed_in_window: (0, 0),
        })
    }

    pub(crate) fn add_sent(&mut self) {
        self.planned += 1;
        self.counts.sent += 1;
    }

    pub(crate) fn add_skipped(&mut self) {
        self.planned += 1;
        self.counts.skipped += 1;
    }

    /// Counts a complete answer that ended in the measurement window.
    pub(crate) fn add_completed_in_window(&mut self, tokens: u64) {
        self.completed_in_window.0 += 1;
        self.completed_in_window.1 += tokens;
    }

    /// Adds the sample of a request whose expected answer has `tokens` tokens.
    pub(crate) fn add(&mut self, tokens: u64, sample: RequestSample) {
        match sample.outcome {
            Outcome::Complete => self.add_complete(tokens, sample),
            Outcome::Refused(code) => *self.counts.refused.entry(code).or_default() += 1,
            Outcome::Wrong => self.counts.wrong += 1,
            Outcome::Truncated => self.counts.truncated += 1,
            Outcome::Failed => self.counts.failed += 1,
        }
    }

    fn add_complete(&mut self, tokens: u64, sample: RequestSample) {
        self.counts.whole += 1;
        self.counts.tokens += tokens;
        self.total.record(sample.total);
        if let Some(first_token) = sample.first_token {
            self.first_token.record(first_token);
        }
        for gap in sample.token_gaps {
            self.between_tokens.record(gap);
        }
    }

    pub(crate) fn report(self, window: Duration) -> ClassReport {
        ClassReport {
            offered_per_second: self.planned as f64 / window.as_secs_f64(),
            whole_per_second: self.completed_in_window.0 as f64 / window.as_secs_f64(),
            tokens_per_second: self.completed_in_window.1 as f64 / window.as_secs_f64(),
            first_token: self.first_token.latency(),
            between_tokens: self.between_tokens.latency(),
            total: self.total.latency(),
            ..self.counts
        }
    }
}

/// Samples of the jobs of one shape.
#[derive(Clone, Debug)]
pub(crate) struct JobRecord {
    counts: JobReport,
    turnaround: LatencyHistogram,
    /// Planned time of the first submission and time of the last end, relative to the start of the
    /// run.
    span: Option<(Duration, Duration)>,
}

impl JobRecord {
    pub(crate) fn new() -> Result<Self, CreationError> {
        Ok(Self { counts: JobReport::default(), turnaround: LatencyHistogram::new()?, span: None })
    }

    /// Adds the sample of a job that was planned to start at `offset` after the start of the run.
    pub(crate) fn add(&mut self, offset: Duration, deadline: Option<Duration>, sample: JobSample) {
        let counts = &mut self.counts;
        counts.accepted += u64::from(sample.accepted);
        counts.done_in_window += sample.done_in_window();
        for code in sample.refused {
            *counts.refused.entry(code).or_default() += 1;
        }
        let Some(turnaround) = sample.turnaround else {
            counts.unfinished += 1;
            return;
        };
        counts.ended += 1;
        counts.late += u64::from(deadline.is_some_and(|deadline| turnaround > deadline));
        counts.tokens += sample.tokens;
        counts.items = add_counts(counts.items, sample.items);
        self.turnaround.record(turnaround);
        let end = offset + turnaround;
        let (first, last) = self.span.unwrap_or((offset, end));
        self.span = Some((first.min(offset), last.max(end)));
    }

    pub(crate) fn report(self) -> JobReport {
        let seconds = self.span.map_or(0.0, |(first, last)| (last - first).as_secs_f64());
        let tokens = self.counts.tokens as f64;
        JobReport {
            tokens_per_second: if seconds > 0.0 { tokens / seconds } else { 0.0 },
            turnaround: self.turnaround.latency(),
            ..self.counts
        }
    }
}

fn add_counts(a: ItemCounts, b: ItemCounts) -> ItemCounts {
    ItemCounts {
        whole: a.whole + b.whole,
        failed: a.failed + b.failed,
        wrong: a.wrong + b.wrong,
        missing: a.missing + b.missing,
        duplicate: a.duplicate + b.duplicate,
        unknown: a.unknown + b.unknown,
    }
}

/// All samples of a run.
#[derive(Clone, Debug)]
pub(crate) struct Records {
    pub(crate) classes: BTreeMap<String, ClassRecord>,
    pub(crate) jobs: BTreeMap<String, JobRecord>,
    pub(crate) send_lag: LatencyHistogram,
}
