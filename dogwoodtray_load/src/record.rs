//! Collected samples.

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
use crate::online::Sample;

/// Decimal digits that a histogram keeps.
const HISTOGRAM_DIGITS: u8 = 3;

/// Longest time that a histogram holds; longer ones count as this.
const LONGEST: Duration = Duration::from_secs(3_600);

/// Histogram of times.
#[derive(Clone, Debug)]
pub(crate) struct Times(Histogram<u64>);

impl Times {
    pub(crate) fn new() -> Result<Self, CreationError> {
        let longest = LONGEST.as_micros() as u64;
        Histogram::new_with_bounds(1, longest, HISTOGRAM_DIGITS).map(Self)
    }

    pub(crate) fn add(&mut self, time: Duration) {
        self.0.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    pub(crate) fn latency(&self) -> Latency {
        Latency::of(&self.0)
    }
}

/// Samples of the online requests of one shape.
#[derive(Clone, Debug)]
pub(crate) struct ClassRecord {
    counts: ClassReport,
    first_token: Times,
    between_tokens: Times,
    total: Times,
    planned: u64,
    /// Whole answers that ended in the window, and their tokens.
    ended: (u64, u64),
}

impl ClassRecord {
    pub(crate) fn new() -> Result<Self, CreationError> {
        Ok(Self {
            counts: ClassReport::default(),
            first_token: Times::new()?,
            between_tokens: Times::new()?,
            total: Times::new()?,
            planned: 0,
            ended: (0, 0),
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

    /// Counts a whole answer that ended in the window.
    pub(crate) fn add_ended(&mut self, tokens: u64) {
        self.ended.0 += 1;
        self.ended.1 += tokens;
    }

    /// Adds the sample of a request whose answer has this many tokens.
    pub(crate) fn add(&mut self, tokens: u64, sample: Sample) {
        match sample.outcome {
            Outcome::Whole => self.add_whole(tokens, sample),
            Outcome::Refused(code) => *self.counts.refused.entry(code).or_default() += 1,
            Outcome::Wrong => self.counts.wrong += 1,
            Outcome::Truncated => self.counts.truncated += 1,
            Outcome::Failed => self.counts.failed += 1,
        }
    }

    fn add_whole(&mut self, tokens: u64, sample: Sample) {
        self.counts.whole += 1;
        self.counts.tokens += tokens;
        self.total.add(sample.total);
        if let Some(first_token) = sample.first_token {
            self.first_token.add(first_token);
        }
        for gap in sample.gaps {
            self.between_tokens.add(gap);
        }
    }

    pub(crate) fn report(self, window: Duration) -> ClassReport {
        ClassReport {
            offered_per_second: self.planned as f64 / window.as_secs_f64(),
            whole_per_second: self.ended.0 as f64 / window.as_secs_f64(),
            tokens_per_second: self.ended.1 as f64 / window.as_secs_f64(),
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
    turnaround: Times,
    /// First planned submission and last end, since the start of the run.
    span: Option<(Duration, Duration)>,
}

impl JobRecord {
    pub(crate) fn new() -> Result<Self, CreationError> {
        Ok(Self { counts: JobReport::default(), turnaround: Times::new()?, span: None })
    }

    pub(crate) fn add(&mut self, at: Duration, deadline: Option<Duration>, sample: JobSample) {
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
        counts.items = sum(counts.items, sample.items);
        self.turnaround.add(turnaround);
        let end = at + turnaround;
        let (first, last) = self.span.unwrap_or((at, end));
        self.span = Some((first.min(at), last.max(end)));
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

fn sum(a: ItemCounts, b: ItemCounts) -> ItemCounts {
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
    pub(crate) send_lag: Times,
}
