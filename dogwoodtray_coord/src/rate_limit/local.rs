//! Limits at a gateway that reaches no driver.

use std::collections::HashMap;

use super::MAX_TRACKED_BUCKETS;
use super::RateLimit;
use super::bucket::TokenBucket;
use super::tolerance::LimitTolerance;
use crate::Name;
use crate::Timestamp;
use crate::subset::choose_subset;

/// Part of the rate that a gateway refills at. A bucket of one token that refills `n` times in a
/// window passes `n + 1` requests in some windows; with this margin it passes `n`.
const REFILL_PART: f64 = 0.98;

/// Tokens of a gateway for the time in which it reaches no driver.
///
/// The part of the tolerance for such gateways is divided into whole requests. Buckets hold one
/// token and are empty at the start, so that a restart adds none.
#[derive(Debug)]
pub struct LocalLimits {
    tolerance: LimitTolerance,
    started_at: Timestamp,
    buckets: HashMap<Name, (TokenBucket, Timestamp)>,
}

impl LocalLimits {
    /// Creates the limits of a process that starts now.
    #[must_use]
    pub fn new(tolerance: LimitTolerance, now: Timestamp) -> Self {
        Self { tolerance, started_at: now, buckets: HashMap::new() }
    }

    /// Takes a token of an organization for a request. `gateways` are all registered gateways, among
    /// them this one. Returns `false` if there is no token.
    pub fn try_take(
        &mut self,
        now: Timestamp,
        organization: &Name,
        limit: RateLimit,
        this: &Name,
        gateways: &[Name],
    ) -> bool {
        let per_window = self.requests_per_window(organization, limit, this, gateways);
        if per_window == 0 {
            return false;
        }
        if self.buckets.len() >= MAX_TRACKED_BUCKETS && !self.buckets.contains_key(organization) {
            self.buckets.retain(|_, (bucket, _)| !bucket.is_full());
            if self.buckets.len() >= MAX_TRACKED_BUCKETS {
                return false;
            }
        }
        let rate = f64::from(per_window) * REFILL_PART / self.tolerance.window.as_secs_f64();
        let (bucket, refilled_at) = self
            .buckets
            .entry(Name::clone(organization))
            .or_insert((TokenBucket::new(rate, 1.0, 0.0), self.started_at));
        bucket.refill(now - *refilled_at);
        bucket.set_limit(rate, 1.0);
        *refilled_at = now.max(*refilled_at);
        bucket.try_take()
    }

    /// Returns the number of requests that this gateway may pass in a window. The requests of all
    /// gateways are divided evenly; the rest goes to some of them, which all gateways know.
    fn requests_per_window(
        &self,
        organization: &Name,
        limit: RateLimit,
        this: &Name,
        gateways: &[Name],
    ) -> u32 {
        let total = self.tolerance.local_part(limit).floor();
        let count = gateways.len().max(1);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
        let total = total as usize;
        let has_rest = choose_subset(organization, gateways, total % count).contains(this);
        u32::try_from(total / count + usize::from(has_rest)).unwrap_or(u32::MAX)
    }
}
