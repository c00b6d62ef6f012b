//! Keys of organizations, and the jobs that belong to them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use dogwoodtray_gateway::Gateway;
use dogwoodtray_gateway::JobDriver;
use dogwoodtray_policy::JobOwner;
use hyper::Method;
use hyper::StatusCode;
use support::Behavior;
use support::Endpoint;
use support::Site;
use support::TestOrganization;
use support::WAIT_TIMEOUT;
use support::config;
use support::config_with_organizations;
use support::run_local;
use support::submission;
use support::wait_until;

const CLINIC: TestOrganization = TestOrganization::new("clinic", &["k-clinic", "k-clinic-2"]);
const WARD: TestOrganization = TestOrganization::new("ward", &["k-ward"]);

/// Site with two organizations, an engine and a plain service.
struct KeyedSite {
    site: Site,
    engine: Endpoint,
    ledger: Endpoint,
    _driver: JobDriver,
    _gateway: Gateway,
}

impl KeyedSite {
    async fn start() -> Self {
        Self::start_with(&[CLINIC, WARD]).await
    }

    async fn start_with(organizations: &[TestOrganization]) -> Self {
        let site = Site::new();
        site.store.put("config", "main", &config_with_organizations(2, organizations));
        let engine = site.add_endpoint("e1", "engine", 4).await;
        let ledger = site.add_endpoint("p1", "ledger", 4).await;
        let driver = site.start_driver("d1").await;
        let gateway = site.start_gateway().await;
        Self { site, engine, ledger, _driver: driver, _gateway: gateway }
    }

    async fn status(&self, path: &str, id: &str, key: &str) -> StatusCode {
        self.site.post_keyed(path, id, key).await.status
    }

    /// Submits a job with items of these ids.
    async fn submit(&self, id: &str, key: &str, items: &[&str]) -> StatusCode {
        let (to, body) = (self.site.caller_addr, submission(items));
        self.site.post_keyed_to(to, "/job/x", id, key, &body).await.status
    }

    async fn call(&self, method: Method, path: &str, key: &str) -> (StatusCode, String) {
        let response = self.site.call_keyed(method, path, key).await;
        (response.status, response.body)
    }
}

/// Guards against requests that run without a key of an organization.
#[test]
fn a_missing_or_unknown_key_is_rejected() {
    run_local(async {
        let keyed = KeyedSite::start().await;
        assert_eq!(keyed.site.post("/stream/x", "r1", "slip").await.status, 401);
        assert_eq!(keyed.status("/stream/x", "r2", "k-other").await, 401);
        assert_eq!(keyed.site.get("/api/lots/j1").await.status, 401);
        assert_eq!(keyed.site.get("/api/items/j1?id=i1").await.status, 401);
        assert_eq!(keyed.site.delete("/api/lots/j1").await.status, 401);
        assert_eq!(keyed.site.post("/job/x", "j1", &submission(&["i1"])).await.status, 401);
        assert_eq!(keyed.engine.request_count(), 0);
        assert_eq!(keyed.status("/stream/x", "r3", "k-clinic").await, 200);
    });
}

/// Guards against a key that is passed on, and against a caller that names another organization.
#[test]
fn an_endpoint_receives_the_organization_and_not_the_key() {
    run_local(async {
        let keyed = KeyedSite::start().await;
        assert_eq!(keyed.status("/once/x", "r1", "k-ward").await, 200);
        let requests = keyed.ledger.requests.borrow();
        let headers = &requests[0].headers;
        assert_eq!(headers["tenant"], "ward");
        assert!(!headers.contains_key("authorization"));
    });
}

/// Guards against an organization that a caller claims on a route that needs no key, and against
/// credentials there that reach an endpoint.
#[test]
fn an_anonymous_route_needs_no_key_and_passes_none_on() {
    run_local(async {
        let keyed = KeyedSite::start().await;
        assert_eq!(keyed.site.post("/plain/x", "r1", "slip").await.status, 200);
        assert_eq!(keyed.status("/plain/x", "r2", "k-other").await, 200);
        let requests = keyed.ledger.requests.borrow();
        assert_eq!(requests.len(), 2);
        for request in requests.iter() {
            assert!(!request.headers.contains_key("tenant"));
            assert!(!request.headers.contains_key("authorization"));
        }
    });
}

/// Guards against keys that stay valid after a configuration has taken them away, and against those
/// of other organizations that end with them.
#[test]
fn a_key_that_is_taken_away_is_rejected() {
    run_local(async {
        let keyed = KeyedSite::start().await;
        assert_eq!(keyed.status("/stream/x", "r1", "k-clinic-2").await, 200);
        let reduced = TestOrganization::new("clinic", &["k-clinic"]);
        keyed.site.store.put("config", "main", &config_with_organizations(3, &[reduced, WARD]));
        let mut number = 0;
        loop {
            number += 1;
            if keyed.status("/stream/x", &format!("s{number}"), "k-clinic-2").await == 401 {
                break;
            }
            assert!(number < 2_000, "the key is still accepted");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(keyed.status("/stream/x", "r2", "k-clinic").await, 200);
        assert_eq!(keyed.status("/stream/x", "r3", "k-ward").await, 200);
    });
}

/// Guards against a job that another organization reads, cancels or can tell from a missing one, and
/// against one that only the key that submitted it can read.
#[test]
fn a_job_belongs_to_its_organization() {
    run_local(async {
        let keyed = KeyedSite::start().await;
        assert_eq!(keyed.submit("j1", "k-clinic", &["i1"]).await, 202);
        let done = async {
            loop {
                let (status, body) =
                    keyed.call(Method::GET, "/api/lots/j1?after=0", "k-clinic-2").await;
                assert_eq!(status, 200);
                if body.contains("completed") {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), done).await.unwrap();
        assert_eq!(keyed.engine.requests.borrow()[0].headers["tenant"], "clinic");
        let other = keyed.call(Method::GET, "/api/lots/j1?after=0", "k-ward").await;
        assert_eq!(other, keyed.call(Method::GET, "/api/lots/none?after=0", "k-ward").await);
        assert_eq!(other.0, 404);
        let other = keyed.call(Method::GET, "/api/items/j1?id=i1", "k-ward").await;
        assert_eq!(other, keyed.call(Method::GET, "/api/items/none?id=i1", "k-ward").await);
        assert_eq!(keyed.submit("j1", "k-clinic-2", &["i1"]).await, 202);
    });
}

/// Guards against a cancellation by another organization, and against one that is ignored because it
/// comes with another key of the same organization.
#[test]
fn a_job_is_cancelled_by_its_organization_only() {
    run_local(async {
        let keyed = KeyedSite::start().await;
        let slow = Behavior::Stream { to: 10_000, pause: Duration::from_millis(20) };
        *keyed.engine.default_behavior.borrow_mut() = slow;
        assert_eq!(keyed.submit("j1", "k-clinic", &["i1"]).await, 202);
        wait_until("the item runs", || keyed.engine.request_count() == 1).await;
        let runs = || *keyed.engine.requests.borrow()[0].in_progress.borrow();
        keyed.call(Method::DELETE, "/api/lots/j1", "k-ward").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(runs(), "another organization has cancelled the job");
        assert_eq!(keyed.call(Method::DELETE, "/api/lots/j1", "k-clinic-2").await.0, 200);
        wait_until("the item is cut off", || !runs()).await;
    });
}

/// Guards against a configuration that names no organization and changes what endpoints receive.
#[test]
fn without_organizations_headers_pass_unchanged() {
    run_local(async {
        let site = Site::new();
        site.store.put("config", "main", &config(2));
        let ledger = site.add_endpoint("p1", "ledger", 4).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        assert_eq!(site.post_keyed("/once/x", "r1", "k1").await.status, 200);
        assert_eq!(ledger.requests.borrow()[0].headers["authorization"], "Bearer k1");
    });
}

/// Guards against a request or an item that runs without the name of its organization, because that
/// name cannot stand in a header. Neither runs, and other organizations are served.
#[test]
fn an_organization_whose_name_cannot_be_sent_runs_nothing() {
    const ODD: TestOrganization = TestOrganization::new("odd\u{7f}", &["k-odd"]);
    run_local(async {
        let keyed = KeyedSite::start_with(&[CLINIC, ODD]).await;
        for path in ["/stream/x", "/once/x"] {
            assert_eq!(keyed.status(path, "r1", "k-odd").await, 503, "{path}");
        }
        assert_eq!(keyed.submit("j1", "k-odd", &["i1"]).await, 503);
        assert_eq!(keyed.status("/plain/x", "r2", "k-odd").await, 200);
        assert_eq!(keyed.status("/stream/x", "r3", "k-clinic").await, 200);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let engine_requests = keyed.engine.requests.borrow();
        assert_eq!(engine_requests.len(), 1);
        assert_eq!(engine_requests[0].headers["tenant"], "clinic");
    });
}

/// Guards against headers of an item that claim an organization, carry credentials, frame the body of
/// the request in another way, or name another host. Those of a request are treated alike.
#[test]
fn headers_of_an_item_claim_nothing_that_those_of_a_request_may_not() {
    const HEADERS: &str = r#""Tenant":"ward","Authorization":"Bearer k-ward","Content-Length":"1",
        "Transfer-Encoding":"chunked","Connection":"x-hop","X-Hop":"1","Host":"other.example",
        "Expect-Instance":"other","Deadline-Ms":"1","Attempt-Id":"other","Model":"m""#;
    run_local(async {
        let keyed = KeyedSite::start().await;
        let open = config_with_organizations(3, &[CLINIC, WARD]);
        let open = open.replace(r#""name":"job","#, r#""name":"job","anonymous":true,"#);
        keyed.site.store.put("config", "main", &open);
        let body = submission(&["i1"]).replace(r#""Model":"m""#, HEADERS);
        let submitted = async {
            let mut number = 0;
            while keyed.site.post("/job/x", &format!("j{number}"), &body).await.status != 202 {
                number += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, submitted).await.unwrap();
        wait_until("the item runs", || keyed.engine.request_count() > 0).await;
        let requests = keyed.engine.requests.borrow();
        let headers = &requests[0].headers;
        for name in ["tenant", "authorization", "transfer-encoding", "connection", "x-hop"] {
            assert!(!headers.contains_key(name), "{name}: {headers:?}");
        }
        assert_eq!(headers.get_all("host").iter().collect::<Vec<_>>(), [support::HOST]);
        assert_eq!((&*requests[0].id, &*requests[0].expected), ("i1", "e1"));
        assert_eq!(requests[0].body, "hi");
        assert_eq!(headers["model"], "m");
    });
}

/// Guards against a caller without a key that reads or ends the job of an organization, on a host with an
/// open route, by the name under which the job is stored.
#[test]
fn the_name_of_a_stored_job_gives_no_access_to_it() {
    run_local(async {
        let keyed = KeyedSite::start().await;
        *keyed.engine.default_behavior.borrow_mut() = support::BUSY;
        assert_eq!(keyed.submit("j1", "k-clinic", &["i1"]).await, 202);
        wait_until("the item runs", || keyed.engine.request_count() == 1).await;
        let open = config_with_organizations(3, &[CLINIC, WARD]);
        let open = open.replace(r#""name":"job","#, r#""name":"job","anonymous":true,"#);
        keyed.site.store.put("config", "main", &open);
        let applied = async {
            while keyed.site.get("/api/lots/none?after=0").await.status != 404 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, applied).await.unwrap();
        let name = JobOwner::Organization("clinic".into()).object_name("j1");
        let path = format!("/api/lots/{name}");
        assert_eq!(keyed.site.get(&format!("{path}?after=0")).await.status, 404);
        assert_eq!(keyed.site.get(&format!("/api/items/{name}?id=i1")).await.status, 404);
        keyed.site.delete(&path).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(*keyed.engine.requests.borrow()[0].in_progress.borrow(), "the job was ended");
        // A job of everyone may have such an id.
        assert_eq!(keyed.site.post("/job/x", &name, &submission(&["i2"])).await.status, 202);
        assert_eq!(keyed.site.get(&format!("{path}?after=0")).await.status, 200);
    });
}
