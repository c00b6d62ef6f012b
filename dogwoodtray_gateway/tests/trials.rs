//! Tests of the ways in which a trial of a blocked part can end, and of what follows from each.
//!
//! In each test, requests with the parts `a1` and `p1` have crashed endpoints, so both are blocked. A
//! sound request with `a1` alone may be tried.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_gateway::Gateway;
use dogwoodtray_gateway::JobDriver;
use hyper::StatusCode;
use support::Answer;
use support::Counts;
use support::Item;
use support::Site;
use support::TestResponse;
use support::block_parts;
use support::run_local;
use support::start_crashing;
use support::submit_items;
use support::wait_until;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

const ENDPOINTS: usize = 6;

/// Time for which an endpoint is down after a crash.
const DOWN: Duration = Duration::from_millis(300);

/// Time after which a part that was blocked with others is tried by a request without those.
const FIRST_TRIAL: Duration = Duration::from_millis(1_200);

/// Time within which the next trial is due after one that told nothing: the pause of 1 s, and the time
/// of the requests. The next one after a crash is due after 30 s.
const NEXT_TRIAL: Duration = Duration::from_secs(3);

/// Time within which the next trial is due after one whose holder was lost: its lease of 3 s, and the
/// above.
const NEXT_AFTER_LOSS: Duration = Duration::from_secs(7);

/// Trials of a part that may reach endpoints.
const BUDGET: u32 = 3;

struct Fleet {
    site: Rc<Site>,
    counts: Rc<Counts>,
    drivers: Vec<(Name, JobDriver)>,
    _gateway: Gateway,
}

impl Fleet {
    /// Starts a fleet in which both parts are blocked, and waits until one may be tried.
    async fn blocked() -> Self {
        let this = Self::start().await;
        this.block().await;
        this
    }

    /// Blocks both parts, and waits until one may be tried.
    async fn block(&self) {
        block_parts(&self.site, &self.counts).await;
        sleep(FIRST_TRIAL).await;
    }

    /// Starts a trial through a gateway, to which no endpoint answers, and waits until it is out.
    async fn start_silent_trial(&self, to: SocketAddr) -> JoinHandle<TestResponse> {
        self.counts.answer.set(Answer::Silence);
        let before = self.counts.received.get();
        let site = Rc::clone(&self.site);
        let trial = spawn_local(async move {
            site.post_prompt_to(to, "/stream/x", "t1", "a1:9,t1:9", "sound").await
        });
        wait_until("the trial is out", || self.counts.received.get() > before).await;
        trial
    }

    async fn start() -> Self {
        let site = Rc::new(Site::new());
        let counts = start_crashing(&site.store, ENDPOINTS, DOWN).await;
        let drivers = vec![(Name::from("d1"), site.start_driver("d1").await)];
        let gateway = site.start_gateway().await;
        sleep(Duration::from_millis(300)).await;
        Self { site, counts, drivers, _gateway: gateway }
    }

    /// Sends a sound request with the part `a1`. Returns its status, or 502 if its answer is not complete.
    async fn send(&self, path: &str, id: &str) -> StatusCode {
        self.send_to(self.site.caller_addr, path, id).await
    }

    async fn send_to(&self, to: SocketAddr, path: &str, id: &str) -> StatusCode {
        let prompt = format!("a1:9,{id}:9");
        let response = self.site.post_prompt_to(to, path, id, &prompt, "sound").await;
        if response.complete { response.status } else { StatusCode::BAD_GATEWAY }
    }

    /// Sends sound requests with the part `a1` until one is answered. Returns the time that this took.
    async fn served_after(&self) -> Duration {
        let started = Instant::now();
        for number in 0.. {
            if self.send("/stream/x", &format!("n{number}")).await == StatusCode::OK {
                break;
            }
            assert!(started.elapsed() < Duration::from_secs(20), "no request is answered");
            sleep(Duration::from_millis(50)).await;
        }
        started.elapsed()
    }
}

/// Lets a trial end with this answer, then lets endpoints answer as usual, and returns the requests that
/// reached endpoints in the trial and the time until the next one is answered.
async fn after_answer(path: &str, answer: Answer) -> (u32, Duration) {
    let fleet = Fleet::blocked().await;
    fleet.counts.answer.set(answer);
    let before = fleet.counts.received.get();
    assert_ne!(fleet.send(path, "t1").await, StatusCode::OK);
    let reached = fleet.counts.received.get() - before;
    fleet.counts.answer.set(Answer::Usual);
    (reached, fleet.served_after().await)
}

/// Guards against sound requests that are refused for 30 s because the trial of their part found all
/// endpoints down (review/5).
#[test]
fn a_trial_that_reaches_no_endpoint_delays_the_next_by_a_pause() {
    run_local(async {
        let fleet = Fleet::blocked().await;
        let before = fleet.counts.received.get();
        fleet.counts.down_for.set(Duration::from_secs(2));
        fleet.counts.kill_all();
        sleep(Duration::from_millis(50)).await;
        assert_eq!(fleet.send("/stream/x", "t1").await, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fleet.counts.received.get(), before);
        let waited = fleet.served_after().await;
        assert!(waited <= Duration::from_secs(2) + NEXT_TRIAL, "it waited {waited:?}");
    });
}

/// Guards against a trial that is lost when endpoints say that they did not run it, and against one that
/// the next attempt of its own request may not use.
#[test]
fn a_trial_that_no_endpoint_runs_is_used_by_its_next_attempt_and_delays_the_next_by_a_pause() {
    for status in [503, 421] {
        run_local(async {
            let (reached, waited) = after_answer("/stream/x", Answer::NotRun(status)).await;
            assert!(reached > 1, "{status}: {reached} attempts");
            assert!(waited <= NEXT_TRIAL, "{status}: it waited {waited:?}");
        });
    }
}

/// Guards against sound requests that wait long after a trial that was run and told nothing.
#[test]
fn a_trial_that_tells_nothing_delays_the_next_by_a_pause() {
    for answer in [Answer::Failure, Answer::Head, Answer::Silence, Answer::BrokenOff] {
        for path in ["/stream/x", "/resume/x"] {
            run_local(async {
                let (reached, waited) = after_answer(path, answer).await;
                assert_eq!(reached, 1, "{answer:?} {path}: a run counts, so it has one attempt");
                assert!(waited <= NEXT_TRIAL, "{answer:?} {path}: it waited {waited:?}");
            });
        }
    }
}

/// Guards against a trial that stays out after its caller left.
#[test]
fn a_trial_whose_caller_leaves_delays_the_next_by_a_pause() {
    run_local(async {
        let fleet = Fleet::blocked().await;
        fleet.counts.answer.set(Answer::Silence);
        let sent = timeout(Duration::from_millis(200), fleet.send("/stream/x", "t1")).await;
        assert!(sent.is_err(), "it was answered");
        fleet.counts.answer.set(Answer::Usual);
        let waited = fleet.served_after().await;
        assert!(waited <= NEXT_TRIAL, "it waited {waited:?}");
    });
}

/// Guards against a trial that is lost because its request got no place.
#[test]
fn a_trial_without_a_place_delays_no_other() {
    run_local(async {
        let fleet = Fleet::blocked().await;
        for number in 0..ENDPOINTS {
            let name = format!("c{number}");
            let entry = fleet.site.store.spec("servers", &name).unwrap();
            fleet.site.store.put("servers", &name, &entry.replace("ready", "draining"));
        }
        sleep(Duration::from_secs(1)).await;
        assert_eq!(fleet.send("/stream/x", "t1").await, StatusCode::SERVICE_UNAVAILABLE);
        start_crashing(&fleet.site.store, ENDPOINTS, DOWN).await;
        let waited = fleet.served_after().await;
        assert!(waited <= NEXT_TRIAL, "it waited {waited:?}");
    });
}

/// Guards against trials that crash endpoints one after the other, and against a pause in place of the
/// delay after a crash.
#[test]
fn a_trial_that_crashes_its_endpoint_delays_the_next_ones() {
    run_local(async {
        let fleet = Fleet::blocked().await;
        let before = fleet.counts.crashes.get();
        let crash = |number: u32| {
            let prompt = format!("a1:9,x{number}:9");
            let site = Rc::clone(&fleet.site);
            async move {
                let id = format!("t{number}");
                site.post_prompt("/stream/x", &id, &prompt, &format!("lethal x{number}")).await
            }
        };
        for number in 0..60 {
            crash(number).await;
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(fleet.counts.crashes.get() - before, 1);
    });
}

/// Guards against more requests with a blocked part that reach endpoints than its budget, because their
/// trials told nothing.
#[test]
fn trials_that_tell_nothing_count_against_the_budget() {
    run_local(async {
        let fleet = Fleet::blocked().await;
        fleet.counts.answer.set(Answer::Failure);
        let before = fleet.counts.received.get();
        let started = Instant::now();
        for number in 0.. {
            fleet.send("/stream/x", &format!("t{number}")).await;
            sleep(Duration::from_millis(50)).await;
            if started.elapsed() >= 2 * NEXT_TRIAL {
                break;
            }
        }
        assert_eq!(fleet.counts.received.get() - before, BUDGET);
    });
}

/// Guards against two trials at the same time, by requests that come through several gateways.
#[test]
fn one_trial_is_out_at_a_time() {
    run_local(async {
        let fleet = Fleet::start().await;
        let (other_addr, _other) = fleet.site.start_other_gateway("g3").await;
        sleep(Duration::from_millis(300)).await;
        fleet.block().await;
        let before = fleet.counts.received.get();
        let trial = fleet.start_silent_trial(fleet.site.caller_addr).await;
        for number in 0..20 {
            for to in [fleet.site.caller_addr, other_addr] {
                let status = fleet.send_to(to, "/stream/x", &format!("o{number}")).await;
                assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            }
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(fleet.counts.received.get() - before, 1);
        trial.abort();
    });
}

/// Guards against a trial that stays with a gateway that was killed.
#[test]
fn a_trial_of_a_lost_gateway_lapses() {
    run_local(async {
        let fleet = Fleet::start().await;
        let (other_addr, other) = fleet.site.start_other_gateway("g3").await;
        sleep(Duration::from_millis(300)).await;
        fleet.block().await;
        let trial = fleet.start_silent_trial(other_addr).await;
        drop(other);
        trial.abort();
        fleet.counts.answer.set(Answer::Usual);
        let waited = fleet.served_after().await;
        assert!(waited <= NEXT_AFTER_LOSS, "it waited {waited:?}");
    });
}

/// Guards against a trial that is lost, or started a second time, with the driver that granted its place.
#[test]
fn a_trial_outlives_the_driver_that_granted_it() {
    run_local(async {
        let mut fleet = Fleet::start().await;
        fleet.drivers.push((Name::from("d2"), fleet.site.start_driver("d2").await));
        sleep(Duration::from_secs(1)).await;
        fleet.block().await;
        let before = fleet.counts.received.get();
        let trial = fleet.start_silent_trial(fleet.site.caller_addr).await;
        let names: Vec<Name> = fleet.drivers.iter().map(|(name, _)| Name::clone(name)).collect();
        let granted_by = choose_subset("places", &names, 1).remove(0);
        fleet.drivers.retain(|(name, _)| *name != granted_by);
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(2_500) {
            fleet.send("/stream/x", "o").await;
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(fleet.counts.received.get() - before, 1, "a second trial started");
        trial.abort();
        fleet.counts.answer.set(Answer::Usual);
        let waited = fleet.served_after().await;
        assert!(waited <= NEXT_TRIAL, "it waited {waited:?}");
    });
}

/// Guards against a trial of an item that its own next run may not use, and against items that wait long
/// because the trial of one reached no endpoint.
#[test]
fn a_trial_of_an_item_that_reaches_no_endpoint_delays_the_next_by_a_pause() {
    run_local(async {
        let fleet = Fleet::blocked().await;
        fleet.counts.answer.set(Answer::NotRun(503));
        let before = fleet.counts.received.get();
        submit_items(&fleet.site, "j1", &[Item::new("i1", "a1:9,i1:9", "sound")]).await;
        wait_until("the item is tried", || fleet.counts.received.get() > before).await;
        let tried_at = Instant::now();
        wait_until("its next run is sent", || fleet.counts.received.get() > before + 1).await;
        let waited = tried_at.elapsed();
        assert!(waited < Duration::from_millis(900), "its next run waited {waited:?}");
        fleet.counts.answer.set(Answer::Usual);
        let (sound, healed_at) = (fleet.counts.sound.get(), Instant::now());
        wait_until("the item is complete", || fleet.counts.sound.get() > sound).await;
        let waited = healed_at.elapsed();
        assert!(waited <= NEXT_TRIAL, "it waited {waited:?}");
    });
}

/// Guards against a sound item that is never tried, because one that crashes endpoints takes each trial
/// of the part that they share.
#[test]
fn an_item_that_was_tried_leaves_the_next_trial_to_others() {
    run_local(async {
        let fleet = Fleet::blocked().await;
        let (before, sound) = (fleet.counts.deadly.get(), fleet.counts.sound.get());
        submit_items(&fleet.site, "j1", &[Item::new("i1", "a1:9,i1:9", "lethal i1")]).await;
        wait_until("the first item is tried", || fleet.counts.deadly.get() > before).await;
        submit_items(&fleet.site, "j2", &[Item::new("i2", "a1:9,i2:9", "sound")]).await;
        sleep(Duration::from_secs(3)).await;
        wait_until("the other item is complete", || fleet.counts.sound.get() > sound).await;
        // The run of the other item clears the content, so that the first one may run again after it.
        let tried = fleet.counts.deadly_before_other.get();
        assert_eq!(tried, before + 1, "the first item was tried again");
    });
}
