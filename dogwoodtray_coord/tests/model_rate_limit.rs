//! Exhaustive model of a limit with two drivers that decide and two gateways that ask them.
//!
//! Bounds: five steps of time, and some of: two changes of the driver that a gateway asks, a lost
//! frame, a partition, which may end, a restart of a driver, and a request that does not run and
//! gives its token back at any later time. In each step of time, a gateway sends nothing or all that
//! it may.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::fmt::Debug;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use dogwoodtray_coord::*;

use crate::support::*;

const TICK: Duration = Duration::from_millis(250);
const TICKS: usize = 5;
/// Silence after which a process may be served by another driver, or serve others.
const SILENCE: Duration = Duration::from_millis(500);
const LIMIT: RateLimit = RateLimit { rate_per_s: 8.0, burst: 4.0 };
/// Covers what the proof in `docs/design/organization-limits.md` counts: one token with which each of
/// three drivers starts, and two that the sides of a partition refill twice before they notice it.
const TOLERANCE: LimitTolerance =
    LimitTolerance { window: Duration::from_millis(750), overrun: 0.1, slack: 4.0 };

/// Defect of the owner of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// Buckets are full after a takeover.
    FullStart,
    /// Each driver refills at the full rate.
    FullRate,
    /// Tokens are given back a second time, for requests that ran.
    SecondReturn,
}

#[derive(Clone, Debug)]
struct Driver {
    limits: RateLimits,
    /// Driver that each gateway asks, and the time at which it said so.
    heard: [Option<(usize, Timestamp)>; 2],
    /// Time of the last frame of the other driver.
    other_heard: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct Budget {
    changes: u8,
    lost: u8,
    partitions: u8,
    restarts: u8,
    returns: u8,
}

#[derive(Clone, Debug)]
struct Fleet {
    defect: Defect,
    now: Timestamp,
    drivers: [Driver; 2],
    asks: [usize; 2],
    /// Whether the first driver and gateway are cut off from the second ones.
    is_split: bool,
    budget: Budget,
    /// Gateway that acts next in this step of time.
    turn: usize,
    number: u64,
    /// Request that did not run, with its driver.
    returning: Option<(usize, SpendId)>,
    /// Requests that ran in this step of time, with their drivers, if their tokens are given back.
    recent_runs: Vec<(usize, SpendId)>,
    runs: Vec<usize>,
}

/// State with its text, by which states are compared.
#[derive(Clone)]
struct ModelState {
    fleet: Fleet,
    key: String,
}

impl PartialEq for ModelState {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

fn org() -> Name {
    Name::from("o")
}

impl Driver {
    fn new(now: Timestamp, defect: Defect) -> Self {
        let slack = if defect == Defect::FullStart { 1e3 } else { TOLERANCE.slack };
        let mut limits = RateLimits::new(LimitTolerance { slack, ..TOLERANCE });
        limits.set_limits(now, &[(org(), LIMIT)]);
        Self { limits, heard: [None; 2], other_heard: None }
    }
}

impl Fleet {
    fn new(budget: Budget, defect: Defect) -> Self {
        let driver = Driver::new(Timestamp::ZERO, defect);
        let mut fleet = Self {
            defect,
            now: Timestamp::ZERO,
            drivers: [driver.clone(), driver],
            asks: [0, 0],
            is_split: false,
            budget,
            turn: 0,
            number: 0,
            returning: None,
            recent_runs: Vec::new(),
            runs: vec![0],
        };
        // The first driver has a full bucket.
        for _ in 0..3 {
            fleet.send_heartbeats(None);
            fleet.advance_time();
        }
        fleet.runs = vec![0];
        fleet
    }

    fn update_share(&mut self, index: usize) {
        let now = self.now;
        let driver = &mut self.drivers[index];
        let is_recent = |at: Timestamp| now - at < SILENCE;
        let served_by = driver.heard.map(|heard| match heard {
            Some((asks, at)) if is_recent(at) && asks == index => ServedBy::This,
            Some((_, at)) if is_recent(at) => ServedBy::Other,
            _ => ServedBy::Unknown,
        });
        let share = served_share(served_by, driver.other_heard.is_some_and(is_recent));
        let is_full = self.defect == Defect::FullRate && share > 0.0;
        driver.limits.set_share(now, if is_full { 1.0 } else { share });
    }

    fn send_heartbeat(&mut self, gateway: usize, lost_at: Option<usize>) {
        for driver in 0..2 {
            if lost_at != Some(driver) && (!self.is_split || driver == gateway) {
                self.drivers[driver].heard[gateway] = Some((self.asks[gateway], self.now));
                self.update_share(driver);
            }
        }
    }

    /// Sends the heartbeats of all processes. One may be lost: gateway and driver.
    fn send_heartbeats(&mut self, lost: Option<(usize, usize)>) {
        for gateway in 0..2 {
            let lost = lost.filter(|(from, _)| *from == gateway);
            self.send_heartbeat(gateway, lost.map(|(_, driver)| driver));
        }
        for driver in 0..2 {
            if !self.is_split {
                self.drivers[driver].other_heard = Some(self.now);
            }
            self.update_share(driver);
        }
    }

    fn advance_time(&mut self) {
        self.now = self.now + TICK;
        self.turn = 0;
        self.runs.push(0);
        for driver in 0..2 {
            self.update_share(driver);
        }
        for (driver, id) in std::mem::take(&mut self.recent_runs) {
            self.drivers[driver].limits.end(self.now, id, true);
        }
    }

    /// Requests a place. Returns the request if it spends a token.
    fn request(&mut self, gateway: usize) -> Option<(usize, SpendId)> {
        self.number += 1;
        let driver = self.asks[gateway];
        // A request tells the driver that the gateway asks it.
        self.drivers[driver].heard[gateway] = Some((driver, self.now));
        self.update_share(driver);
        let id = SpendId { holder: gateway as u64, number: self.number };
        let limits = &mut self.drivers[driver].limits;
        limits.accept(self.now, id, &org()).ok().map(|()| (driver, id))
    }

    fn run_all(&mut self, gateway: usize) {
        while let Some((driver, id)) = self.request(gateway) {
            if self.drivers[driver].limits.start(self.now, id).is_ok() {
                *self.runs.last_mut().unwrap() += 1;
                if self.defect == Defect::SecondReturn {
                    self.recent_runs.push((driver, id));
                }
            }
        }
    }

    fn change_driver(&mut self, gateway: usize, lost_at: Option<usize>) {
        self.asks[gateway] = 1 - self.asks[gateway];
        self.send_heartbeat(gateway, lost_at);
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn gateway_steps(&self, gateway: usize, steps: &mut Vec<Self>) {
        let mut act = |change: &dyn Fn(&mut Self)| {
            steps.push(self.with(|next| {
                next.turn += 1;
                change(next);
            }));
        };
        act(&|_| {});
        act(&|next| next.run_all(gateway));
        if self.budget.returns > 0 {
            act(&|next| {
                next.budget.returns -= 1;
                next.returning = next.request(gateway);
            });
        }
        if self.budget.changes > 0 && !self.is_split {
            steps.push(self.with(|next| {
                next.budget.changes -= 1;
                next.change_driver(gateway, None);
            }));
            if self.budget.lost > 0 {
                for lost_at in 0..2 {
                    steps.push(self.with(|next| {
                        next.budget.changes -= 1;
                        next.budget.lost -= 1;
                        next.change_driver(gateway, Some(lost_at));
                    }));
                }
            }
        }
    }

    fn fleet_steps(&self, steps: &mut Vec<Self>) {
        steps.push(self.with(|next| {
            next.advance_time();
            next.send_heartbeats(None);
        }));
        if self.budget.lost > 0 {
            for lost in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                steps.push(self.with(|next| {
                    next.budget.lost -= 1;
                    next.advance_time();
                    next.send_heartbeats(Some(lost));
                }));
            }
        }
        if self.is_split {
            steps.push(self.with(|next| next.is_split = false));
        } else if self.budget.partitions > 0 {
            steps.push(self.with(|next| {
                next.budget.partitions -= 1;
                next.is_split = true;
                for gateway in 0..2 {
                    if next.asks[gateway] != gateway {
                        next.change_driver(gateway, None);
                    }
                }
            }));
        }
        if self.budget.restarts > 0 {
            for driver in 0..2 {
                steps.push(self.with(|next| {
                    next.budget.restarts -= 1;
                    next.drivers[driver] = Driver::new(next.now, next.defect);
                }));
            }
        }
    }
}

impl ModelState {
    fn new(budget: Budget, defect: Defect) -> Self {
        Self::of(Fleet::new(budget, defect))
    }

    fn of(fleet: Fleet) -> Self {
        let key = format!("{fleet:?}");
        Self { fleet, key }
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<Self> {
        let fleet = &self.fleet;
        if fleet.runs.len() > TICKS {
            return Vec::new();
        }
        let mut steps = Vec::new();
        if fleet.turn < 2 {
            fleet.gateway_steps(fleet.turn, &mut steps);
        } else {
            fleet.fleet_steps(&mut steps);
        }
        if let Some((driver, id)) = fleet.returning {
            steps.push(fleet.with(|next| {
                next.returning = None;
                next.drivers[driver].limits.end(next.now, id, true);
            }));
        }
        steps.into_iter().map(Self::of).collect()
    }

    fn check(&self, _is_end: bool) -> Result<(), String> {
        let ticks = (TOLERANCE.window.as_millis() / TICK.as_millis()) as usize;
        for window in self.fleet.runs.windows(ticks + 1) {
            let count: usize = window.iter().sum();
            if count as f64 > TOLERANCE.bound(LIMIT) {
                return Err(format!("{count} requests ran in a window"));
            }
        }
        Ok(())
    }
}

const NONE: Budget = Budget { changes: 0, lost: 0, partitions: 0, restarts: 0, returns: 0 };
const TAKEOVERS: Budget = Budget { changes: 2, lost: 1, ..NONE };
const PARTITION: Budget = Budget { changes: 1, partitions: 1, ..NONE };
const RESTART: Budget = Budget { changes: 1, restarts: 1, ..NONE };
const RETURN: Budget = Budget { changes: 1, returns: 1, ..NONE };

/// Guards against a window in which more requests run than the bound, when gateways change the
/// driver that they ask, and a frame that tells so is lost.
#[test]
fn windows_keep_the_bound_through_takeovers() {
    let state = ModelState::new(TAKEOVERS, Defect::None);
    assert_eq!(explore("rate limit, takeovers", state).err(), None);
}

/// As [`windows_keep_the_bound_through_takeovers`], with a partition that ends.
#[test]
fn windows_keep_the_bound_through_a_partition() {
    let state = ModelState::new(PARTITION, Defect::None);
    assert_eq!(explore("rate limit, partition", state).err(), None);
}

/// As [`windows_keep_the_bound_through_takeovers`], with a driver that loses its state.
#[test]
fn windows_keep_the_bound_through_a_restart() {
    let state = ModelState::new(RESTART, Defect::None);
    assert_eq!(explore("rate limit, restart", state).err(), None);
}

/// As [`windows_keep_the_bound_through_takeovers`], with a token that is given back.
#[test]
fn windows_keep_the_bound_when_a_token_is_given_back() {
    let state = ModelState::new(RETURN, Defect::None);
    assert_eq!(explore("rate limit, return", state).err(), None);
}

/// Checks that the model detects buckets that are full after a takeover.
#[test]
fn model_detects_full_buckets_after_a_takeover() {
    let state = ModelState::new(RESTART, Defect::FullStart);
    assert!(explore("rate limit, full buckets", state).is_err());
}

/// Checks that the model detects drivers that both refill at the full rate.
#[test]
fn model_detects_two_drivers_at_the_full_rate() {
    let state = ModelState::new(PARTITION, Defect::FullRate);
    assert!(explore("rate limit, full rate", state).is_err());
}

/// Checks that the model detects tokens that are given back for requests that ran.
#[test]
fn model_detects_a_second_return() {
    let state = ModelState::new(RETURN, Defect::SecondReturn);
    assert!(explore("rate limit, second return", state).is_err());
}
