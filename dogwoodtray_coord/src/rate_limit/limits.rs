//! Token buckets of all organizations at a process that assigns places.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::RateLimit;
use super::bucket::TokenBucket;
use super::tolerance::LimitTolerance;
use crate::Name;
use crate::Timestamp;

/// Maximum time between two calls that refills buckets. A process that was frozen for longer does
/// not know which other process assigned places meanwhile.
const MAX_REFILL_STEP: Duration = Duration::from_millis(250);

/// Time after which a refused caller is expected in addition to the time at which its token is
/// there. Covers the rounding of `Retry-After`.
const SLOT_MARGIN: Duration = Duration::from_millis(5);

/// Time for which the token of a refused caller is kept once the caller may return.
const SLOT_HOLD: Duration = Duration::from_millis(100);

/// Maximum time ahead for which tokens are kept for refused callers. Callers wait for a third of
/// the time that they have left, and plain requests have some 300 ms.
const MAX_SLOT_AHEAD: Duration = Duration::from_millis(500);

/// Maximum number of organizations with a bucket that the configuration does not name.
const MAX_UNKNOWN_BUCKETS: usize = 1_024;

/// Request that spends a token, identified by the process that holds it and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpendId {
    /// Incarnation of the process that requests the place.
    pub holder: u64,
    /// Number of the place request.
    pub number: u64,
}

/// Tokens of the organizations at a process that assigns places.
///
/// In each bucket, the tokens and the taken ones that may still be given back are together at most
/// its capacity. Without this rule, a token that is given back after the bucket has been full again
/// would exceed the burst.
#[derive(Clone, Debug)]
pub struct RateLimits {
    tolerance: LimitTolerance,
    /// Share of the limits that this process may use; 0 while it does not assign places.
    share: f64,
    /// Time that counts for refills.
    clock: Duration,
    advanced_at: Option<Timestamp>,
    buckets: BTreeMap<Name, Bucket>,
    /// Requests that have spent a token and wait, or may give it back.
    spends: BTreeMap<SpendId, Spend>,
    last_sequence: u64,
    unknown_count: usize,
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: RateLimit,
    /// Whether the configuration names the organization.
    is_configured: bool,
    tokens: TokenBucket,
    /// Clock at the last refill.
    refilled_at: Duration,
    /// Requests whose token may be given back, oldest first.
    returnable: BTreeMap<u64, SpendId>,
    /// Times at which refused callers may return.
    slots: VecDeque<Timestamp>,
    /// Latest time that a refused caller was given.
    last_slot: Timestamp,
}

#[derive(Clone, Debug)]
struct Spend {
    organization: Name,
    /// Position among the requests whose token may be given back.
    sequence: Option<u64>,
    is_waiting: bool,
}

impl RateLimits {
    /// Creates the limits of a process that assigns no places yet.
    #[must_use]
    pub fn new(tolerance: LimitTolerance) -> Self {
        Self {
            tolerance,
            share: 0.0,
            clock: Duration::ZERO,
            advanced_at: None,
            buckets: BTreeMap::new(),
            spends: BTreeMap::new(),
            last_sequence: 0,
            unknown_count: 0,
        }
    }

    /// Returns the share of the limits that this process may use.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Returns the number of tokens of an organization.
    #[must_use]
    pub fn level(&self, organization: &str) -> Option<f64> {
        self.buckets.get(organization).map(|bucket| bucket.tokens.level())
    }

    /// Returns the number of organizations with a bucket.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Applies the limits of a configuration. Organizations without a limit are not listed. A bucket
    /// that is no longer listed stays until it is full, so that its organization gains nothing from a
    /// configuration that leaves it out for a moment.
    pub fn set_limits(&mut self, now: Timestamp, limits: &[(Name, RateLimit)]) {
        self.advance(now);
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.clock, &mut self.spends);
            bucket.is_configured = false;
        }
        for (name, limit) in limits {
            let bucket = self.buckets.entry(Name::clone(name)).or_insert_with(|| {
                Bucket::new(*limit, self.tolerance.start_level(*limit), self.clock)
            });
            bucket.is_configured = true;
            bucket.limit = *limit;
            bucket.apply_limit(&self.tolerance, self.share, &mut self.spends);
        }
        self.drop_idle_unknown();
    }

    /// Sets the share of the limits that this process may use. A process that begins to assign places,
    /// or begins again, starts with a part of the slack instead of the burst, because another one may
    /// have spent the burst.
    pub fn set_share(&mut self, now: Timestamp, share: f64) {
        self.advance(now);
        #[allow(clippy::float_cmp, reason = "an unchanged value")]
        if share == self.share {
            return;
        }
        let begins = self.share <= 0.0;
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.clock, &mut self.spends);
            if begins {
                bucket.restart(&self.tolerance, &mut self.spends);
            }
            bucket.apply_limit(&self.tolerance, share, &mut self.spends);
        }
        self.share = share;
    }

    /// Takes a token for a request. Returns the time after which the caller may return if there is
    /// none. A request that has spent a token spends no other.
    pub fn accept(
        &mut self,
        now: Timestamp,
        id: SpendId,
        organization: &Name,
    ) -> Result<(), Duration> {
        self.advance(now);
        if let Some(spend) = self.spends.get_mut(&id) {
            spend.is_waiting = true;
            return Ok(());
        }
        let longest = self.tolerance.window;
        if !self.buckets.contains_key(organization) && !self.add_unknown(organization) {
            return Err(longest);
        }
        let Some(bucket) = self.buckets.get_mut(organization) else { return Err(longest) };
        bucket.refill(self.clock, &mut self.spends);
        bucket.take_or_assign_slot(now, longest)?;
        let sequence = Some(bucket.add_returnable(&mut self.last_sequence, id));
        let organization = Name::clone(organization);
        self.spends.insert(id, Spend { organization, sequence, is_waiting: true });
        Ok(())
    }

    /// Counts the token of a request at the time at which it is granted a place, because the bound is
    /// for the requests that run and not for those that begin to wait. A token that can no longer be
    /// given back is taken anew; the error is the time after which the caller may return.
    pub fn start(&mut self, now: Timestamp, id: SpendId) -> Result<(), Duration> {
        self.advance(now);
        let Some(spend) = self.spends.get(&id) else { return Ok(()) };
        let Some(bucket) = self.buckets.get_mut(&spend.organization) else {
            self.spends.remove(&id);
            return Ok(());
        };
        bucket.refill(self.clock, &mut self.spends);
        let Some(spend) = self.spends.get_mut(&id) else { return Ok(()) };
        match spend.sequence {
            Some(sequence) => {
                bucket.returnable.remove(&sequence);
            }
            None if bucket.tokens.try_take() => {}
            None => {
                self.spends.remove(&id);
                let wait = bucket.tokens.time_to(1.0).unwrap_or(MAX_SLOT_AHEAD);
                return Err(wait + SLOT_MARGIN);
            }
        }
        spend.sequence = Some(bucket.add_returnable(&mut self.last_sequence, id));
        spend.is_waiting = false;
        Ok(())
    }

    /// Ends a request. Its token is given back if it did not run. Returns `true` if it was.
    pub fn end(&mut self, now: Timestamp, id: SpendId, not_run: bool) -> bool {
        self.advance(now);
        let Some(spend) = self.spends.get(&id) else { return false };
        let Some(bucket) = self.buckets.get_mut(&spend.organization) else {
            self.spends.remove(&id);
            return false;
        };
        bucket.refill(self.clock, &mut self.spends);
        let Some(sequence) = self.spends.remove(&id).and_then(|spend| spend.sequence) else {
            return false;
        };
        let is_returnable = bucket.returnable.remove(&sequence).is_some();
        if is_returnable && not_run {
            bucket.tokens.put_back();
        }
        is_returnable && not_run
    }

    /// Forgets the waiting requests of a process that is lost. Their tokens count as spent.
    pub fn remove_holder(&mut self, holder: u64) {
        for (_, spend) in self.spends.iter_mut().filter(|(id, _)| id.holder == holder) {
            spend.is_waiting = false;
        }
        self.spends.retain(|_, spend| spend.is_waiting || spend.sequence.is_some());
    }

    /// Counts the time that has passed.
    pub fn advance(&mut self, now: Timestamp) {
        let step = self.advanced_at.map_or(Duration::ZERO, |at| now - at);
        self.clock += step.min(MAX_REFILL_STEP);
        self.advanced_at = Some(self.advanced_at.map_or(now, |at| at.max(now)));
    }

    /// Adds a bucket with a small limit for an organization that the configuration does not name.
    /// Returns `false` if there are too many of them.
    fn add_unknown(&mut self, organization: &Name) -> bool {
        if self.unknown_count >= MAX_UNKNOWN_BUCKETS {
            self.drop_idle_unknown();
            if self.unknown_count >= MAX_UNKNOWN_BUCKETS {
                return false;
            }
        }
        let limit = self.tolerance.unknown_limit();
        let mut bucket = Bucket::new(limit, self.tolerance.start_level(limit), self.clock);
        bucket.apply_limit(&self.tolerance, self.share, &mut self.spends);
        self.buckets.insert(Name::clone(organization), bucket);
        self.unknown_count += 1;
        true
    }

    /// Drops full buckets of organizations that the configuration does not name.
    fn drop_idle_unknown(&mut self) {
        for bucket in self.buckets.values_mut().filter(|bucket| !bucket.is_configured) {
            bucket.refill(self.clock, &mut self.spends);
        }
        self.buckets.retain(|_, bucket| bucket.is_configured || !bucket.tokens.is_full());
        self.unknown_count = self.buckets.values().filter(|bucket| !bucket.is_configured).count();
    }
}

impl Bucket {
    fn new(limit: RateLimit, level: f64, clock: Duration) -> Self {
        Self {
            limit,
            is_configured: false,
            tokens: TokenBucket::new(0.0, level, level),
            refilled_at: clock,
            returnable: BTreeMap::new(),
            slots: VecDeque::new(),
            last_slot: Timestamp::ZERO,
        }
    }

    /// Applies the limit and the share of it. The capacities of all processes together are at most
    /// the burst and one start for each of them that assigns places. A bucket can hold one token at
    /// least, or its organization could run nothing.
    fn apply_limit(
        &mut self,
        tolerance: &LimitTolerance,
        share: f64,
        spends: &mut BTreeMap<SpendId, Spend>,
    ) {
        let capacity = (self.limit.burst * share).max(tolerance.start_level(self.limit)).max(1.0);
        self.tokens.set_limit(self.limit.rate_per_s * share, capacity);
        self.forget_unreturnable(spends);
    }

    /// Starts the bucket anew. Tokens that were taken before cannot be given back.
    fn restart(&mut self, tolerance: &LimitTolerance, spends: &mut BTreeMap<SpendId, Spend>) {
        for id in std::mem::take(&mut self.returnable).into_values() {
            forget(spends, id);
        }
        self.slots.clear();
        let level = tolerance.start_level(self.limit);
        self.tokens = TokenBucket::new(0.0, level, level);
    }

    fn add_returnable(&mut self, last_sequence: &mut u64, id: SpendId) -> u64 {
        *last_sequence += 1;
        self.returnable.insert(*last_sequence, id);
        *last_sequence
    }

    fn refill(&mut self, clock: Duration, spends: &mut BTreeMap<SpendId, Spend>) {
        self.tokens.refill(clock.saturating_sub(self.refilled_at));
        self.refilled_at = clock;
        self.forget_unreturnable(spends);
    }

    /// Drops the oldest tokens that may be given back until they fit into the bucket together with
    /// those in it.
    fn forget_unreturnable(&mut self, spends: &mut BTreeMap<SpendId, Spend>) {
        #[allow(clippy::cast_precision_loss, reason = "at most the burst")]
        while self.tokens.level() + self.returnable.len() as f64 > self.tokens.capacity() + 1e-9 {
            let Some((_, id)) = self.returnable.pop_first() else { return };
            forget(spends, id);
        }
    }

    /// Takes a token that is not kept for a refused caller, or the one of a caller that may return by
    /// now. Otherwise returns the time at which the next token that is not kept is there.
    fn take_or_assign_slot(&mut self, now: Timestamp, longest: Duration) -> Result<(), Duration> {
        while self.slots.front().is_some_and(|slot| now - *slot > SLOT_HOLD) {
            self.slots.pop_front();
        }
        let is_expected = self.slots.front().is_some_and(|slot| *slot <= now);
        #[allow(clippy::cast_precision_loss, reason = "at most the tokens of half a second")]
        let kept = self.slots.len() as f64;
        if is_expected && self.tokens.try_take() {
            self.slots.pop_front();
            return Ok(());
        }
        if self.tokens.level() >= kept + 1.0 && self.tokens.try_take() {
            return Ok(());
        }
        let Some(wait) = self.tokens.time_to(kept + 1.0) else { return Err(MAX_SLOT_AHEAD) };
        let slot = now + wait + SLOT_MARGIN;
        if wait <= MAX_SLOT_AHEAD {
            self.slots.push_back(slot);
            self.last_slot = slot;
            return Err(slot - now);
        }
        // Callers that return later are spread, but no token is kept for them.
        let spacing = self.tokens.time_to(self.tokens.level() + 1.0).unwrap_or(longest);
        self.last_slot = (self.last_slot + spacing).max(slot);
        let wait = self.last_slot - now;
        if wait > longest {
            self.last_slot = slot;
        }
        Err(wait.min(longest))
    }
}

/// Records that the token of a request can no longer be given back.
fn forget(spends: &mut BTreeMap<SpendId, Spend>, id: SpendId) {
    match spends.get_mut(&id) {
        Some(spend) if spend.is_waiting => spend.sequence = None,
        _ => {
            spends.remove(&id);
        }
    }
}
