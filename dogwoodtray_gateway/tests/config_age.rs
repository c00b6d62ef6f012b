//! Keys are accepted only while the configuration is proven to be the newest.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_gateway::Gateway;
use dogwoodtray_gateway::JobDriver;
use dogwoodtray_platform::MemoryObjects;
use hyper::Method;
use hyper::StatusCode;
use support::Endpoint;
use support::Site;
use support::TestOrganization;
use support::config_with_organizations;
use support::run_local;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

const CLINIC: TestOrganization = TestOrganization::new("clinic", &["k-clinic"]);
const KEY: &str = "k-clinic";

const BOUND: Duration = Duration::from_secs(2);

/// Maximum wait for a status, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Site with a driver and a gateway, each with its own handle to the store.
struct StrictSite {
    site: Site,
    gateway_store: MemoryObjects,
    _endpoints: [Endpoint; 2],
    _driver: JobDriver,
    _gateway: Gateway,
}

impl StrictSite {
    async fn start() -> Self {
        let mut site = Site::new();
        site.revocation = Some(BOUND);
        site.store.put("config", "main", &config_with_organizations(2, &[CLINIC]));
        let engine = site.add_endpoint("e1", "engine", 4).await;
        let ledger = site.add_endpoint("p1", "ledger", 4).await;
        let driver = site.start_driver("d1").await;
        let gateway_store = site.store.separate_handle();
        let gateway = site.start_gateway_on(gateway_store.clone()).await;
        let strict = Self {
            site,
            gateway_store,
            _endpoints: [engine, ledger],
            _driver: driver,
            _gateway: gateway,
        };
        strict.wait_for(StatusCode::OK, "r").await;
        strict
    }

    async fn status(&self, id: &str, key: &str) -> StatusCode {
        self.site.post_keyed("/stream/x", id, key).await.status
    }

    /// Sends requests with a key until one is answered with this status.
    async fn wait_for(&self, status: StatusCode, prefix: &str) {
        self.wait_for_at(self.site.caller_addr, status, prefix).await;
    }

    /// Sends requests with a key to a gateway until one is answered with this status.
    async fn wait_for_at(&self, to: SocketAddr, status: StatusCode, prefix: &str) {
        let waited = timeout(WAIT_TIMEOUT, async {
            for number in 0.. {
                let id = format!("{prefix}{number}");
                let response = self.site.post_keyed_to(to, "/stream/x", &id, KEY, "slip").await;
                if response.status == status {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
        assert!(waited.await.is_ok(), "no request with a key was answered with {status}");
    }
}

/// Guards against a gateway that refuses keys, or calls the store without end, although it can learn
/// from the driver that its configuration is the newest.
#[test]
fn relayed_proofs_replace_the_store() {
    run_local(async {
        let strict = StrictSite::start().await;
        strict.gateway_store.set_rejecting(true);
        // Proofs of before the rejection have ended after the bound.
        sleep(BOUND + Duration::from_millis(500)).await;
        strict.wait_for(StatusCode::OK, "s").await;
        // A proof of a newer configuration counts once that is in force, and its key is rejected.
        let other = TestOrganization::new("clinic", &["k-other"]);
        strict.site.store.put("config", "main", &config_with_organizations(3, &[other]));
        strict.wait_for(StatusCode::UNAUTHORIZED, "t").await;
        assert_eq!(strict.status("u1", "k-other").await, 200);
    });
}

/// Guards against a gateway that refuses keys because it reaches neither the store nor a driver,
/// although another gateway passes on proofs; and against one that accepts revoked keys then.
#[test]
fn a_gateway_passes_proofs_on_to_one_that_reaches_no_driver() {
    run_local(async {
        let strict = StrictSite::start().await;
        let isolated = strict.site.start_isolated_gateway().await;
        // Proofs of its own store have ended after the bound.
        sleep(BOUND + Duration::from_millis(500)).await;
        strict.wait_for_at(isolated.caller_addr, StatusCode::OK, "s").await;
        let other = TestOrganization::new("clinic", &["k-other"]);
        strict.site.store.put("config", "main", &config_with_organizations(3, &[other]));
        strict.wait_for_at(isolated.caller_addr, StatusCode::UNAUTHORIZED, "t").await;
    });
}

/// Guards against keys accepted past the bound while no process reaches the store, against requests
/// without a key that are refused then, and against a process that does not recover.
#[test]
fn keys_are_refused_in_an_outage_of_the_store_and_accepted_after_it() {
    run_local(async {
        let strict = StrictSite::start().await;
        strict.site.store.set_down(true);
        let down_since = Instant::now();
        for number in 0.. {
            let sent_after = down_since.elapsed();
            let response = strict.site.post_keyed("/stream/x", &format!("s{number}"), KEY).await;
            if response.status != 200 {
                assert_eq!(response.status, 503);
                let retry_after = response.headers["retry-after"].to_str().unwrap();
                let seconds: f64 = retry_after.parse().unwrap();
                assert!(seconds > 0.0 && seconds < 2.0, "Retry-After: {retry_after}");
                break;
            }
            assert!(sent_after <= BOUND, "a key was accepted {sent_after:?} into the outage");
            sleep(Duration::from_millis(5)).await;
        }
        // A newer configuration may name the key.
        assert_eq!(strict.status("t1", "k-other").await, 503);
        assert_eq!(strict.site.call_keyed(Method::GET, "/api/lots/j1", KEY).await.status, 503);
        assert_eq!(strict.site.call_keyed(Method::DELETE, "/api/lots/j1", KEY).await.status, 503);
        assert_eq!(strict.site.post_keyed("/job/x", "j1", KEY).await.status, 503);
        assert_eq!(strict.site.post("/plain/x", "t2", "slip").await.status, 200);
        strict.site.store.set_down(false);
        strict.wait_for(StatusCode::OK, "u").await;
        assert_eq!(strict.status("v1", "k-other").await, 401);
    });
}

/// Guards against a request that is accepted by its head and runs when its body arrives much later.
#[test]
fn the_age_is_checked_again_after_the_body() {
    run_local(async {
        let strict = StrictSite::start().await;
        let mut stream = TcpStream::connect(strict.site.caller_addr).await.unwrap();
        let head = format!(
            "POST /stream/x HTTP/1.1\r\nhost: {}\r\nattempt-id: late\r\nauthorization: Bearer {KEY}\r\n\
             deadline-ms: 60000\r\ncontent-length: 4\r\nconnection: close\r\n\r\nsl",
            support::HOST
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        strict.site.store.set_down(true);
        strict.wait_for(StatusCode::SERVICE_UNAVAILABLE, "s").await;
        stream.write_all(b"ip").await.unwrap();
        let mut response = String::new();
        let read = stream.read_to_string(&mut response);
        timeout(WAIT_TIMEOUT, read).await.unwrap().unwrap();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    });
}
