//! Jobs of routes that need no key, beside those of organizations.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_gateway::Gateway;
use dogwoodtray_gateway::JobDriver;
use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use support::BUSY;
use support::Behavior;
use support::Endpoint;
use support::Site;
use support::TestOrganization;
use support::TestResponse;
use support::WAIT_TIMEOUT;
use support::call;
use support::config_with_organizations;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::time::sleep;
use tokio::time::timeout;

const KEYS: [&str; 2] = ["k-clinic", "k-clinic-2"];
const CLINIC: TestOrganization = TestOrganization::new("clinic", &KEYS);
const WARD: TestOrganization = TestOrganization::new("ward", &["k-ward"]);

/// Key of no organization.
const ODD_KEY: &str = "k-other";

/// Time in which a second run of an item begins, if there is one.
const SECOND_RUN_TIME: Duration = Duration::from_millis(500);

/// How the route `/open/` is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OpenRoute {
    Absent,
    Keyed,
    Open,
}

/// Returns a configuration with the keyed batch route `/job/` and the batch route `/open/`.
fn config(version: u64, open: OpenRoute) -> String {
    let text = config_with_organizations(version, &[CLINIC, WARD]);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    let routes = config["routes"].as_array_mut().unwrap();
    let mut route = routes.iter().find(|route| route["name"] == "job").unwrap().clone();
    route["name"] = "open".into();
    route["path-prefix"] = "/open/".into();
    route["anonymous"] = (open == OpenRoute::Open).into();
    if open != OpenRoute::Absent {
        routes.push(route);
    }
    config.to_string()
}

/// Site with two gateways, of which the second one may have another configuration.
struct OpenSite {
    site: Site,
    engine: Endpoint,
    gateways: [SocketAddr; 2],
    _driver: JobDriver,
    _gateways: [Gateway; 2],
}

impl OpenSite {
    async fn start(open: OpenRoute) -> Self {
        let mut site = Site::new();
        // Keys are accepted while the configuration is proven to be recent.
        site.revocation = Some(Duration::from_secs(5));
        site.store.put("config", "main", &config(2, open));
        let engine = site.add_endpoint("e1", "engine", 16).await;
        let driver = site.start_driver("d1").await;
        let first = site.start_gateway().await;
        let (second_addr, second) = site.start_other_gateway("g2").await;
        let gateways = [site.caller_addr, second_addr];
        Self { site, engine, gateways, _driver: driver, _gateways: [first, second] }
    }

    /// Puts a configuration in force and waits until both gateways have it.
    async fn configure(&self, version: u64, open: OpenRoute) {
        self.site.store.put("config", "main", &config(version, open));
        let expected = match open {
            OpenRoute::Absent => StatusCode::NOT_FOUND,
            OpenRoute::Keyed => StatusCode::UNAUTHORIZED,
            // The body is no job.
            OpenRoute::Open => StatusCode::BAD_REQUEST,
        };
        for gateway in 0..2 {
            let applied = async {
                while self.submit_body(gateway, "/open/x", "none", None, "").await != expected {
                    sleep(Duration::from_millis(20)).await;
                }
            };
            timeout(WAIT_TIMEOUT, applied).await.unwrap();
        }
    }

    async fn submit_body(
        &self,
        gateway: usize,
        path: &str,
        id: &str,
        key: Option<&str>,
        body: &str,
    ) -> StatusCode {
        call(self.gateways[gateway], Method::POST, path, &[("attempt-id", id)], key, body)
            .await
            .status
    }

    async fn submit(&self, gateway: usize, path: &str, id: &str, key: Option<&str>) -> StatusCode {
        let item = format!("{id}-{}", path.trim_matches('/').replace('/', "-"));
        self.submit_body(gateway, path, id, key, &submission(&[&item])).await
    }

    async fn call(
        &self,
        gateway: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
    ) -> TestResponse {
        call(self.gateways[gateway], method, path, &[], key, "").await
    }

    async fn read(&self, gateway: usize, id: &str, key: Option<&str>) -> (StatusCode, String) {
        let path = format!("/api/lots/{id}?after=0");
        let response = self.call(gateway, Method::GET, &path, key).await;
        (response.status, response.body)
    }

    /// Reads a job at both gateways with all kinds of keys, and checks the status.
    async fn assert_read_by_all(&self, id: &str, keys: &[Option<&str>], expected: StatusCode) {
        for gateway in 0..2 {
            for key in keys {
                let (status, body) = self.read(gateway, id, *key).await;
                assert_eq!(status, expected, "{id} at gateway {gateway} with {key:?}: {body}");
            }
        }
    }

    fn runs_of(&self, item: &str) -> usize {
        self.engine.requests.borrow().iter().filter(|request| request.id == item).count()
    }
}

const ALL_KEYS: [Option<&str>; 5] =
    [Some(KEYS[0]), Some(KEYS[1]), Some("k-ward"), Some(ODD_KEY), None];

/// Guards against a job that its client cannot read with the key that it sent with the submission, since
/// the route of the job needs none (review/10).
#[test]
fn a_job_of_an_open_route_is_found_with_and_without_a_key() {
    run_local(async {
        let open = OpenSite::start(OpenRoute::Open).await;
        *open.engine.default_behavior.borrow_mut() = BUSY;
        for (number, key) in ALL_KEYS.into_iter().enumerate() {
            let id = format!("j{number}");
            assert_eq!(open.submit(number % 2, "/open/x", &id, key).await, 202);
            open.assert_read_by_all(&id, &ALL_KEYS, StatusCode::OK).await;
            let path = format!("/api/items/{id}?id={id}-open-x");
            for key in ALL_KEYS {
                let response = open.call(number % 2, Method::GET, &path, key).await;
                assert_eq!((response.status, &*response.body), (StatusCode::OK, "hi"), "{key:?}");
            }
        }
        // Sent again, with any key, it is the same job.
        for key in ALL_KEYS {
            assert_eq!(open.submit(1, "/open/x", "j0", key).await, 202);
        }
        wait_until("all run", || open.engine.request_count() >= ALL_KEYS.len()).await;
        sleep(SECOND_RUN_TIME).await;
        assert_eq!(open.runs_of("j0-open-x"), 1);
    });
}

/// Guards against an end that is confirmed and ends nothing.
#[test]
fn an_end_with_a_key_ends_a_job_of_an_open_route() {
    run_local(async {
        let open = OpenSite::start(OpenRoute::Open).await;
        for (number, key) in ALL_KEYS.into_iter().enumerate() {
            *open.engine.default_behavior.borrow_mut() = BUSY;
            let id = format!("j{number}");
            assert_eq!(open.submit(0, "/open/x", &id, Some(KEYS[0])).await, 202);
            let item = format!("{id}-open-x");
            wait_until("the item runs", || open.runs_of(&item) == 1).await;
            let end = open.call(1, Method::DELETE, &format!("/api/lots/{id}"), key).await;
            assert_eq!(end.status, StatusCode::OK, "{key:?}");
            let has_ended = || {
                let requests = open.engine.requests.borrow();
                let run = requests.iter().find(|request| request.id == item);
                run.is_some_and(|run| !*run.in_progress.borrow())
            };
            wait_until(&format!("the end with {key:?} ends the run"), has_ended).await;
        }
    });
}

/// Guards against a job that is lost as its route needs a key later, or is gone, and against one that
/// runs twice as it is sent again then.
#[test]
fn a_job_stays_the_same_when_its_route_changes() {
    run_local(async {
        let open = OpenSite::start(OpenRoute::Keyed).await;
        *open.engine.default_behavior.borrow_mut() = BUSY;
        assert_eq!(open.submit(0, "/open/x", "own", Some(KEYS[0])).await, 202);
        open.configure(3, OpenRoute::Open).await;
        assert_eq!(open.submit(1, "/open/x", "own", Some(KEYS[1])).await, 202);
        assert_eq!(open.submit(0, "/open/x", "open", Some(KEYS[0])).await, 202);
        open.configure(4, OpenRoute::Keyed).await;
        for gateway in 0..2 {
            assert_eq!(open.submit(gateway, "/open/x", "open", Some(KEYS[1])).await, 202);
            assert_eq!(open.submit(gateway, "/open/x", "own", Some(KEYS[0])).await, 202);
        }
        for (version, route) in [(5, OpenRoute::Absent), (6, OpenRoute::Open)] {
            open.assert_read_by_all("open", &ALL_KEYS, StatusCode::OK).await;
            open.assert_read_by_all("own", &[Some(KEYS[0]), Some(KEYS[1])], StatusCode::OK).await;
            open.configure(version, route).await;
        }
        open.assert_read_by_all("own", &[Some("k-ward"), None], StatusCode::NOT_FOUND).await;
        open.assert_read_by_all("own", &[Some(ODD_KEY)], StatusCode::UNAUTHORIZED).await;
        wait_until("both run", || open.engine.request_count() >= 2).await;
        sleep(SECOND_RUN_TIME).await;
        assert_eq!((open.runs_of("open-open-x"), open.runs_of("own-open-x")), (1, 1));
    });
}

/// Guards against a job of an organization that others read, end, replace or hide by one with the same
/// id on an open route.
#[test]
fn one_id_of_several_owners_names_several_jobs() {
    run_local(async {
        let open = OpenSite::start(OpenRoute::Open).await;
        *open.engine.default_behavior.borrow_mut() = BUSY;
        assert_eq!(open.submit(0, "/open/x", "j", None).await, 202);
        assert_eq!(open.submit(0, "/job/clinic", "j", Some(KEYS[0])).await, 202);
        assert_eq!(open.submit(1, "/job/ward", "j", Some("k-ward")).await, 202);
        let own = |key| match key {
            Some("k-clinic" | "k-clinic-2") => "j-job-clinic",
            Some("k-ward") => "j-job-ward",
            _ => "j-open-x",
        };
        for key in ALL_KEYS {
            for item in ["j-job-clinic", "j-job-ward", "j-open-x"] {
                let path = format!("/api/items/j?id={item}");
                let status = open.call(0, Method::GET, &path, key).await.status;
                let expected = if item == own(key) { 200 } else { 404 };
                assert_eq!(status.as_u16(), expected, "{item} with {key:?}");
            }
        }
        wait_until("all run", || open.engine.request_count() == 3).await;
        // An end ends the caller's job only.
        for (key, ended) in [(Some(KEYS[1]), 1), (None, 2), (Some("k-ward"), 3)] {
            let end = open.call(1, Method::DELETE, "/api/lots/j", key).await;
            assert_eq!(end.status, StatusCode::OK);
            let running = || {
                let requests = open.engine.requests.borrow();
                requests.iter().filter(|request| *request.in_progress.borrow()).count()
            };
            wait_until("one more has ended", || running() == 3 - ended).await;
            sleep(Duration::from_millis(200)).await;
            assert_eq!(running(), 3 - ended, "after the end with {key:?}");
        }
    });
}

/// Guards against an open job that a process refuses since it cannot prove that its configuration is
/// recent, and against one of an organization that it serves then.
#[test]
fn an_open_job_needs_no_proof_of_the_configuration() {
    run_local(async {
        let mut open = OpenSite::start(OpenRoute::Open).await;
        *open.engine.default_behavior.borrow_mut() =
            Behavior::Stream { to: 3, pause: Duration::ZERO };
        assert_eq!(open.submit(0, "/open/x", "open", Some(KEYS[0])).await, 202);
        assert_eq!(open.submit(0, "/job/x", "own", Some(KEYS[0])).await, 202);
        open.site.revocation = Some(Duration::from_millis(1));
        let mut cfg = support::node_config("g3", dogwoodtray_gateway::NodeRole::Gateway);
        cfg.revocation = open.site.revocation;
        let addr = support::free_addr();
        let _unproven = open.site.start_configured_gateway(cfg, addr).await;
        open.gateways[1] = addr;
        let read = async {
            while open.read(1, "open", None).await.0 != StatusCode::OK {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT_TIMEOUT, read).await.unwrap();
        for key in ALL_KEYS {
            assert_eq!(open.read(1, "open", key).await.0, 200, "{key:?}");
        }
        for key in [Some(KEYS[0]), Some("k-ward"), Some(ODD_KEY)] {
            assert_eq!(open.read(1, "own", key).await.0, 503, "{key:?}");
        }
        assert_eq!(open.submit(1, "/open/x", "open-2", Some(KEYS[0])).await, 202);
        assert_eq!(open.submit(1, "/job/x", "own-2", Some(KEYS[0])).await, 503);
        open.assert_read_by_all("open-2", &ALL_KEYS, StatusCode::OK).await;
        for (id, status) in [("open", 200), ("own", 503), ("none", 503)] {
            let path = format!("/api/lots/{id}");
            let end = open.call(1, Method::DELETE, &path, Some(KEYS[0])).await;
            assert_eq!(end.status.as_u16(), status, "{id}");
        }
    });
}
