//! Limits of organizations over all processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use dogwoodtray_gateway::Gateway;
use futures_util::future::join_all;
use support::Behavior;
use support::Endpoint;
use support::KillableDriver;
use support::Site;
use support::TestOrganization;
use support::TestResponse;
use support::config_with_organizations;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::time::Instant;
use tokio::time::sleep;

const RATE: f64 = 4.0;
/// More than a driver starts a bucket with, so that full buckets after takeovers exceed the bound.
const BURST: f64 = 40.0;
const CLINIC: TestOrganization =
    TestOrganization::new("clinic", &["k-clinic"]).limited(RATE, BURST);
/// Organization whose bucket hardly refills during a test.
const LAB: TestOrganization = TestOrganization::new("lab", &["k-lab"]).limited(LAB_RATE, LAB_BURST);
const LAB_RATE: f64 = 0.5;
const LAB_BURST: f64 = 4.0;
const WARD: TestOrganization = TestOrganization::new("ward", &["k-ward"]);

/// Slack of the test processes; a driver starts a bucket with a quarter of it.
const SLACK: f64 = 20.0;

struct LimitedSite {
    site: Site,
    ledger: Endpoint,
    driver: Option<KillableDriver>,
    _gateway: Gateway,
    started: Instant,
}

impl LimitedSite {
    async fn start() -> Self {
        let site = Site::new();
        site.store.put("config", "main", &config_with_organizations(2, &[CLINIC, LAB, WARD]));
        let ledger = site.add_endpoint("p1", "ledger", 64).await;
        let started = Instant::now();
        let driver = KillableDriver::start(&site, "d1");
        let gateway = site.start_gateway().await;
        let limited = Self { site, ledger, driver: Some(driver), _gateway: gateway, started };
        limited.wait_for_driver().await;
        limited
    }

    /// Waits until a request of the limited organization is served.
    async fn wait_for_driver(&self) {
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("wait{number}");
            let status = self.site.post_keyed("/once/x", &id, "k-clinic").await.status;
            if status == 200 {
                return;
            }
            assert!(number < 2_000, "no request of the limited organization is served");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends requests at the same time and returns the responses.
    async fn post_all(&self, prefix: &str, key: &str, count: usize) -> Vec<TestResponse> {
        let ids: Vec<String> = (0..count).map(|number| format!("{prefix}{number}")).collect();
        join_all(ids.iter().map(|id| self.site.post_keyed("/once/x", id, key))).await
    }

    /// Sends requests until a driver refuses one because the limit is reached.
    async fn exhaust(&self, prefix: &str) {
        for round in 0..200 {
            let responses = self.post_all(&format!("{prefix}{round}-"), "k-clinic", 20).await;
            if count(&responses, 429) > 0 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("no driver refuses a request");
    }

    fn runs_of(&self, organization: &str) -> usize {
        let requests = self.ledger.requests.borrow();
        requests.iter().filter(|request| request.headers["tenant"] == organization).count()
    }

    /// Returns the number of requests that may have run since the start.
    fn bound(&self) -> f64 {
        let seconds = self.started.elapsed().as_secs_f64().max(5.0);
        (RATE * seconds + BURST) * 1.1 + SLACK
    }
}

fn count(responses: &[TestResponse], status: u16) -> usize {
    responses.iter().filter(|response| response.status.as_u16() == status).count()
}

fn retry_after(response: &TestResponse) -> Duration {
    let text = response.headers["retry-after"].to_str().unwrap();
    Duration::from_secs_f64(text.parse().unwrap())
}

/// Guards against an organization that exceeds its limit, a refusal without a time to return, and
/// organizations that are refused for the load of another one.
#[test]
fn requests_over_the_limit_are_refused() {
    run_local(async {
        let limited = LimitedSite::start().await;
        let responses = limited.post_all("c", "k-clinic", 150).await;
        assert!(count(&responses, 429) > 0);
        assert!(limited.runs_of("clinic") as f64 <= limited.bound());
        let over = responses.iter().filter(|response| response.status == 429);
        assert!(over.clone().all(|response| !retry_after(response).is_zero()));
        let others = limited.post_all("w", "k-ward", 40).await;
        assert_eq!(count(&others, 200), 40);
    });
}

/// Guards against a `Retry-After` at which there is no token, by a caller that returns as told and
/// has no rival.
#[test]
fn a_caller_that_returns_as_told_is_served() {
    run_local(async {
        let limited = LimitedSite::start().await;
        let mut number = 0;
        let refused = loop {
            number += 1;
            assert!(number < 500, "no request is refused");
            let response =
                limited.site.post_keyed("/once/x", &format!("c{number}"), "k-clinic").await;
            if response.status == 429 {
                break response;
            }
        };
        sleep(retry_after(&refused) + Duration::from_millis(1)).await;
        assert_eq!(limited.site.post_keyed("/once/x", "again", "k-clinic").await.status, 200);
    });
}

/// Guards against tokens that requests keep although no endpoint ran them.
#[test]
fn a_request_that_did_not_run_gives_its_token_back() {
    run_local(async {
        let limited = LimitedSite::start().await;
        // Each request is refused by all endpoints that it is sent to.
        *limited.ledger.default_behavior.borrow_mut() = Behavior::NotRun(503);
        let mut number = 0;
        // The requests are more than the tokens that there can have been.
        while f64::from(number)
            < 2.0 * (LAB_BURST + LAB_RATE * limited.started.elapsed().as_secs_f64())
        {
            let id = format!("n{number}");
            let response = limited.site.post_keyed("/once/x", &id, "k-lab").await;
            assert_eq!(response.status, 503, "request {number}");
            number += 1;
        }
        assert_eq!(limited.runs_of("lab"), 0);
    });
}

/// Guards against a bucket that is full again after a takeover.
#[test]
fn a_takeover_keeps_the_limit() {
    run_local(async {
        let mut limited = LimitedSite::start().await;
        for (round, name) in ["d2", "d3", "d4"].into_iter().enumerate() {
            limited.exhaust(&format!("r{round}-")).await;
            // Kills the driver before.
            limited.driver = Some(KillableDriver::start(&limited.site, name));
        }
        limited.exhaust("end-").await;
        let runs = limited.runs_of("clinic");
        assert!(runs as f64 <= limited.bound(), "{runs} ran, bound {}", limited.bound());
    });
}

/// Guards against a gateway without a driver that serves limited organizations without a limit, that
/// tells them that their limit is reached, or that refuses others.
#[test]
fn a_gateway_without_a_driver_serves_a_part() {
    run_local(async {
        let mut limited = LimitedSite::start().await;
        drop(limited.driver.take());
        let mut refused = 0;
        for round in 0..200 {
            let responses = limited.post_all(&format!("r{round}-"), "k-clinic", 10).await;
            refused += count(&responses, 503);
            if refused >= 10 {
                let others = limited.post_all(&format!("w{round}-"), "k-ward", 5).await;
                assert_eq!(count(&others, 200), 5);
                assert_eq!(count(&responses, 429), 0);
                assert!(limited.runs_of("clinic") as f64 <= limited.bound());
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("no request of the limited organization is refused with 503");
    });
}

/// Guards against items of jobs that spend tokens.
#[test]
fn items_of_jobs_do_not_count() {
    run_local(async {
        let limited = LimitedSite::start().await;
        let engine = limited.site.add_endpoint("e1", "engine", 16).await;
        let ids: Vec<String> = (0..60).map(|number| format!("i{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let (to, body) = (limited.site.caller_addr, submission(&ids));
        let response = limited.site.post_keyed_to(to, "/job/x", "j1", "k-clinic", &body).await;
        assert_eq!(response.status, 202);
        // With tokens, some 60 items would take more than 10 s and fail on refusals.
        wait_until("all items ran", || engine.request_count() >= 60).await;
    });
}

/// Guards against relayed requests that are not limited, or for which the gateway between decides.
#[test]
fn the_driver_limits_relayed_requests() {
    run_local(async {
        let limited = LimitedSite::start().await;
        let isolated = limited.site.start_isolated_gateway().await;
        for number in 0..2_000 {
            let (to, id) = (isolated.caller_addr, format!("i{number}"));
            let post = limited.site.post_keyed_to(to, "/once/x", &id, "k-clinic", "slip");
            if post.await.status == 429 {
                assert!(limited.runs_of("clinic") as f64 <= limited.bound());
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("no relayed request is refused by the driver");
    });
}
