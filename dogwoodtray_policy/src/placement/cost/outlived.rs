//! Expected remaining work of runs, given the work that they have done.

/// Ratios of actual to predicted work at which the buckets begin: 1/4 times powers of the square root
/// of 2.
const BUCKETS: usize = 18;
const FIRST_RATIO: f64 = 0.25;

/// Observations after which all counts are halved, so that old ones are forgotten.
const MAX_COUNT: f64 = 1_000.0;

/// Counts before the first observation: most runs are near their prediction, and a run in some
/// hundred is a straggler, which takes many times as long.
const INITIAL_COUNTS: [f64; BUCKETS] = [
    1.0, 2.0, 3.0, 4.0, 3.0, 2.0, 1.0, 0.5, 0.25, 0.12, 0.1, 0.1, 0.08, 0.06, 0.04, 0.03, 0.02,
    0.01,
];

/// Minimum remaining work as a multiple of the prediction.
const MIN_REMAINING: f64 = 0.02;

/// Histogram of the ratios of actual to predicted work.
#[derive(Debug)]
pub(super) struct OutlivedRuns {
    counts: [f64; BUCKETS],
    total: f64,
    /// For each bucket, the count of it and all later ones, and the sum of their ratios.
    tails: [(f64, f64); BUCKETS],
}

impl Default for OutlivedRuns {
    fn default() -> Self {
        let mut runs = Self {
            counts: INITIAL_COUNTS,
            total: INITIAL_COUNTS.iter().sum(),
            tails: [(0.0, 0.0); BUCKETS],
        };
        runs.update_tails();
        runs
    }
}

impl OutlivedRuns {
    pub(super) fn observe(&mut self, ratio: f64) {
        self.counts[bucket_of(ratio)] += 1.0;
        self.total += 1.0;
        if self.total > MAX_COUNT {
            // The initial counts remain in part, so that a straggler is always possible.
            self.counts = std::array::from_fn(|index| {
                (self.counts[index] / 2.0).max(INITIAL_COUNTS[index] / 10.0)
            });
            self.total = self.counts.iter().sum();
        }
        self.update_tails();
    }

    /// Returns the expected remaining work of a run that has done `done`, both as multiples of the
    /// prediction.
    pub(super) fn remaining(&self, done: f64) -> f64 {
        let bucket = bucket_of(done);
        let Some((later, later_sum)) = self.tails.get(bucket + 1).copied() else {
            // A run that has outlived all others is taken to need as long again.
            return done;
        };
        // A run that ends in the bucket of `done` is taken to end near its middle.
        let within = (middle_of(bucket) - done).abs() * self.counts[bucket];
        let left = within + (later_sum - done * later).max(0.0);
        (left / self.tails[bucket].0).max(MIN_REMAINING)
    }

    fn update_tails(&mut self) {
        let mut tail = (0.0, 0.0);
        for index in (0..BUCKETS).rev() {
            tail.0 += self.counts[index];
            tail.1 += self.counts[index] * middle_of(index);
            self.tails[index] = tail;
        }
    }
}

fn bucket_of(ratio: f64) -> usize {
    let index = (ratio / FIRST_RATIO).max(1.0).log2() * 2.0;
    (index as usize).min(BUCKETS - 1)
}

/// Returns the geometric middle of a bucket.
fn middle_of(bucket: usize) -> f64 {
    FIRST_RATIO * 2.0_f64.powf(bucket as f64 / 2.0 + 0.25)
}
