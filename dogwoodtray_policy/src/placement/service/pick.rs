//! Choice of the endpoint for a request.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

use super::EndpointKey;
use super::ServicePlaces;
use crate::Class;
use crate::placement::PlaceRequest;
use crate::placement::endpoint::Endpoint;
use crate::placement::speed::MAX_SPEED;
use crate::placement::speed::level_of;

/// Share of the time until its due time in which long work must be expected to end at an endpoint. The
/// rest covers wrong predictions, and for items a preemption.
const ITEM_TIME_SHARE: f64 = 0.7;
const LONG_REQUEST_TIME_SHARE: f64 = 0.5;

/// Multiple of the mean work from which an online request is long.
const LONG_WORK: f64 = 3.0;

/// Steps in which the remaining work of endpoints is compared.
const REMAINING_STEPS_PER_SECOND: f64 = 10.0;
const MAX_REMAINING: u32 = (1 << 24) - 1;

/// Offset of the levels in a rank. A level is between -26 and 12: a speed between 0.2 and 5, brief
/// slowness, and occupancy.
const LEVEL_OFFSET: f32 = 64.0;

/// Level above all others, from which the levels of endpoints that are slow enough count down.
const IN_TIME_LEVEL: f32 = 64.0;

/// Share of free places of an idle endpoint, in thousandths.
const FULL_SHARE: u64 = 1_000;

/// Greatest round-robin rank that is distinguished.
const MAX_ROUND_ROBIN: u64 = (1 << 20) - 1;

/// How a request uses the speeds of the endpoints.
#[derive(Clone, Copy, Debug)]
enum SpeedUse {
    /// The one with the greatest lasting speed is preferred.
    FastestLasting,
    /// The fastest endpoint is preferred.
    Fastest,
    /// The slowest endpoint is preferred whose level is at least this.
    SlowestFrom(f32),
}

/// # Choice of endpoints
impl ServicePlaces {
    /// Returns the endpoint for a request. Endpoints at which the request failed are skipped if the
    /// service has any other endpoint. Requests that may be repeated are the trials of endpoints that
    /// have failed; others are sent there only if no other endpoint has a free place.
    ///
    /// While all endpoints have the usual speed, this is the one with the largest share of free
    /// places, and ties are broken round-robin. Otherwise, short work goes to the endpoint where it is
    /// expected to end first, and long work to the slowest one at which it ends in time.
    pub(super) fn pick_endpoint(
        &self,
        now: Timestamp,
        request: &PlaceRequest,
    ) -> Option<EndpointKey> {
        if self.is_uneven(now) {
            return self.pick_by_speed(now, request);
        }
        self.pick_best(now, request, |_, _| 0)
    }

    /// Returns `true` if the endpoints are known to differ in speed now.
    fn is_uneven(&self, now: Timestamp) -> bool {
        self.by_cost && (self.uneven_endpoints > 0 || now < self.slow_until)
    }

    fn pick_by_speed(&self, now: Timestamp, request: &PlaceRequest) -> Option<EndpointKey> {
        let now_seconds = seconds(now);
        let remaining = |e: &Endpoint| {
            let left = e.predicted_ends - f64::from(e.predicted_runs) * now_seconds;
            (left * REMAINING_STEPS_PER_SECOND) as u32
        };
        match self.speed_use(now, request) {
            SpeedUse::FastestLasting => {
                self.pick_best(now, request, |e, _| rank(e.speed.lasting_level(), 0))
            }
            SpeedUse::Fastest => {
                let occupancy = self.speed.occupancy_levels() / FULL_SHARE as f32;
                self.pick_best(now, request, |e, share| {
                    let used = (FULL_SHARE - share) as f32;
                    rank(e.speed.current_level(now) - occupancy * used, remaining(e))
                })
            }
            SpeedUse::SlowestFrom(minimum) => self.pick_best(now, request, |e, _| {
                let level = e.speed.lasting_level();
                let is_in_time = level >= minimum && !e.speed.is_briefly_slow(now);
                let level = if is_in_time { IN_TIME_LEVEL - level } else { level };
                rank(level, remaining(e))
            }),
        }
    }

    fn speed_use(&self, now: Timestamp, request: &PlaceRequest) -> SpeedUse {
        let work = self.predicted_work(request).as_secs_f64();
        let share = match request.class {
            // With more items than places, all places are used, and what runs on fast ones ends first.
            Class::Batch if self.batch.len() >= self.free_places(now) as usize => {
                return SpeedUse::FastestLasting;
            }
            Class::Batch => ITEM_TIME_SHARE,
            Class::Online if work >= LONG_WORK * self.costs.mean_work() => LONG_REQUEST_TIME_SHARE,
            Class::Online => return SpeedUse::Fastest,
        };
        let left = (request.due - now).as_secs_f64() * share;
        if left <= 0.0 || work > left * MAX_SPEED {
            return SpeedUse::Fastest;
        }
        SpeedUse::SlowestFrom(level_of(work / left))
    }

    /// Returns the endpoint with a free place that has the greatest `rank`, and of several the one with
    /// the largest share of free places; further ties are broken round-robin. The share is passed to
    /// `rank` in thousandths.
    fn pick_best(
        &self,
        now: Timestamp,
        request: &PlaceRequest,
        rank: impl Fn(&Endpoint, u64) -> u32,
    ) -> Option<EndpointKey> {
        let count = self.endpoints.len();
        let start = self.round_robin_start % count.max(1);
        let excluded = &request.excluded;
        let has_alternative = self.endpoints.values().any(|e| !excluded.contains(&e.name));
        let round_robin_rank =
            |index: usize| if index >= start { index - start } else { index + count - start };
        self.endpoints
            .iter()
            .enumerate()
            .filter_map(|(index, (key, e))| {
                let free = e.free_places(now);
                let is_open = free > 0 && !(has_alternative && excluded.contains(&e.name));
                is_open.then_some((index, key, e, free))
            })
            .max_by_key(|(index, _, e, free)| {
                let is_trial = request.repeatable && e.is_trial_due(now);
                let share = u64::from(*free) * FULL_SHARE / u64::from(e.slots.max(1));
                let round_robin = (round_robin_rank(*index) as u64).min(MAX_ROUND_ROBIN);
                // One number is compared faster than its parts.
                u64::from(is_trial) << 63
                    | u64::from(e.is_healthy()) << 62
                    | u64::from(rank(e, share)) << 30
                    | share.min(FULL_SHARE) << 20
                    | round_robin
            })
            .map(|(_, key, _, _)| key)
    }
}

/// Returns a number by which endpoints are compared: first by the rounded level, of which the greater
/// one wins, and then by the steps of remaining work.
fn rank(level: f32, remaining: u32) -> u32 {
    // The offset makes the level positive, so that the conversion rounds it.
    let level = (level + LEVEL_OFFSET + 0.5) as u8;
    u32::from(level) << 24 | (MAX_REMAINING - remaining.min(MAX_REMAINING))
}

pub(super) fn seconds(at: Timestamp) -> f64 {
    (at - Timestamp::ZERO).as_secs_f64()
}

/// Returns a run time at an endpoint of this speed.
pub(super) fn run_time_at(speed: f64, usual: Duration) -> Duration {
    if speed == 1.0 {
        return usual;
    }
    Duration::try_from_secs_f64(usual.as_secs_f64() / speed).unwrap_or(Duration::MAX)
}
