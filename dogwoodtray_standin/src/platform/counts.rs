//! Call counters and rate limits.

use std::collections::BTreeMap;

use serde::Serialize;
use tokio::time::Instant;

/// Operation of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Op {
    Get,
    Put,
    Delete,
    List,
    Watch,
    Vms,
}

impl Op {
    /// Returns `true` if the operation changes an object.
    pub(crate) const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// Reason for which a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Refusal {
    Outage,
    RateLimit,
    Fault,
}

/// Number of calls with the same kind and operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct CallCount {
    kind: String,
    op: Op,
    count: u64,
}

/// Call counters, as `GET /standin/calls` returns them.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct CallReport {
    reads: u64,
    writes: u64,
    calls: Vec<CallCount>,
    refused: BTreeMap<Refusal, u64>,
    lost_replies: u64,
}

/// Counters of all calls, including refused ones.
#[derive(Debug, Default)]
pub(crate) struct CallCounts {
    calls: BTreeMap<(String, Op), u64>,
    refused: BTreeMap<Refusal, u64>,
    lost_replies: u64,
}

impl CallCounts {
    pub(crate) fn add(&mut self, kind: &str, op: Op) {
        *self.calls.entry((kind.to_owned(), op)).or_default() += 1;
    }

    pub(crate) fn add_refused(&mut self, refusal: Refusal) {
        *self.refused.entry(refusal).or_default() += 1;
    }

    pub(crate) fn add_lost_reply(&mut self) {
        self.lost_replies += 1;
    }

    pub(crate) fn total(&self) -> u64 {
        self.calls.values().sum()
    }

    pub(crate) fn report(&self) -> CallReport {
        let writes =
            self.calls.iter().filter(|((_, op), _)| op.is_write()).map(|(_, count)| count).sum();
        CallReport {
            reads: self.total() - writes,
            writes,
            calls: self
                .calls
                .iter()
                .map(|((kind, op), count)| CallCount { kind: kind.clone(), op: *op, count: *count })
                .collect(),
            refused: self.refused.clone(),
            lost_replies: self.lost_replies,
        }
    }
}

/// Token bucket with a capacity of one second of calls, but at least one call.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_second: Option<f64>,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a bucket that holds the calls of one second; `None` for no limit.
    pub(crate) fn new(now: Instant, per_second: Option<f64>) -> Self {
        Self { per_second, tokens: per_second.unwrap_or_default(), refilled_at: now }
    }

    /// Takes one token and returns `true` if the rate limit allows a call.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let Some(per_second) = self.per_second else {
            return true;
        };
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * per_second;
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(per_second.max(1.0));
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
