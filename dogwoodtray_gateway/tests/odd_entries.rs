//! Tests of entries of another writer among those of the endpoints.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_adapter::SiteDialect;
use dogwoodtray_coord::Name;
use dogwoodtray_gateway::DecodeError;
use dogwoodtray_gateway::Dialect;
use dogwoodtray_gateway::Endpoint;
use dogwoodtray_gateway::JobDriver;
use dogwoodtray_gateway::JobItem;
use dogwoodtray_gateway::NodeRole;
use dogwoodtray_gateway::ProtocolNames;
use dogwoodtray_gateway::ResultPage;
use dogwoodtray_gateway::SiteConfig;
use dogwoodtray_gateway::StatedSize;
use hyper::HeaderMap;
use hyper::StatusCode;
use support::Site;
use support::WAIT_TIMEOUT;
use support::free_addr;
use support::node_config;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::time::sleep;
use tokio::time::timeout;

/// Number of requests that have to be served after each entry.
const REQUESTS: usize = 12;

/// Number of outdated entries of each endpoint.
const OUTDATED: usize = 6;

/// Number of entries of each service at which nothing listens.
const DEAD: usize = 24;

/// Depth of a nested entry.
const DEPTH: usize = 100_000;

/// Time in which all processes read the list.
const LIST_TIME: Duration = Duration::from_millis(900);

/// Returns an entry of a dead endpoint with these fields in place of sound ones.
fn entry(fields: &[(&str, &str)]) -> String {
    let address = format!(r#""{}""#, free_addr());
    let mut entry = vec![
        ("service", r#""engine""#),
        ("address", &*address),
        ("zone", r#""z1""#),
        ("version", r#""v1""#),
        ("slots", "8"),
        ("state", r#""ready""#),
        ("cold-left-ms", "0"),
        ("sequence", "1"),
        ("born", "1"),
    ];
    for (name, value) in fields {
        entry.retain(|(other, _)| other != name);
        entry.push((name, value));
    }
    let fields: Vec<String> =
        entry.iter().map(|(name, value)| format!(r#""{name}":{value}"#)).collect();
    format!("{{{}}}", fields.join(","))
}

/// Guards against a process that ends, or stops following the list, at an odd entry, and against
/// requests and items that wait for the places that it claims.
#[test]
fn odd_entries_name_no_endpoint_and_harm_no_request() {
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let entries: [&[(&str, &str)]; 16] = [
        &[("slots", "4294967295")],
        &[("slots", "1000000000")],
        &[("slots", "1000")],
        &[("slots", "-1")],
        &[("slots", "8.5")],
        &[("slots", "1e999")],
        &[("slots", &nested)],
        &[("other", &nested)],
        &[("born", "18446744073709551615")],
        &[("sequence", "99999999999999999999999")],
        &[("address", r#""10.0.0.1:99999""#)],
        &[("address", r#""127.0.0.1:0""#)],
        &[("address", r#""0.0.0.0:80""#)],
        &[("address", r#""224.0.0.1:80""#)],
        &[("state", r#""asleep""#)],
        &[("service", r#""""#)],
    ];
    run_local(async {
        let (site, endpoint, _processes) = Site::with_processes("engine", 8).await;
        for (number, fields) in entries.into_iter().enumerate() {
            let shown = |text: &str| text.chars().take(30).collect::<String>();
            let what: Vec<_> = fields.iter().map(|(name, value)| (name, shown(value))).collect();
            site.store.put("servers", "odd", &entry(fields));
            sleep(LIST_TIME).await;
            for request in 0..REQUESTS {
                let response = site.post("/stream/x", &format!("r{request}"), "slip").await;
                assert_eq!(response.status, StatusCode::OK, "{what:?}: request {request}");
            }
            let job = format!("j{number}");
            site.post("/job/x", &job, &submission(&[&format!("i{number}")])).await;
            let path = format!("/job/i{number}");
            let has_run = || endpoint.requests.borrow().iter().any(|req| req.path == path);
            wait_until(&format!("the item has run beside {what:?}"), has_run).await;
        }
        // The list is still followed.
        let next = site.add_endpoint("e2", "engine", 8).await;
        site.store.put("servers", "e1", &endpoint.entry("draining"));
        sleep(LIST_TIME).await;
        assert_eq!(site.post("/stream/x", "last", "slip").await.status, StatusCode::OK);
        assert_eq!(next.request_count(), 1);
    });
}

/// Guards against requests that a gateway sends to itself or to another one without end.
#[test]
fn an_entry_with_the_address_of_a_gateway_harms_no_request() {
    run_local(async {
        let (site, endpoint, _processes) = Site::with_processes("engine", 8).await;
        let (other_addr, _other) = site.start_other_gateway("g3").await;
        for (number, addr) in [site.caller_addr, other_addr].into_iter().enumerate() {
            let address = format!(r#""{addr}""#);
            site.store.put("servers", "odd", &entry(&[("address", &address), ("slots", "1000")]));
            sleep(LIST_TIME).await;
            for path in ["/stream/x", "/resume/x"] {
                let before = endpoint.request_count();
                for request in 0..REQUESTS {
                    let id = format!("r{number}.{request}");
                    let response = site.post(path, &id, "slip").await;
                    assert_eq!(response.status, StatusCode::OK, "{path}, {addr}: {id}");
                }
                assert_eq!(endpoint.request_count() - before, REQUESTS, "{path}, {addr}");
            }
        }
    });
}

/// Names that cannot be sent, or not unchanged, in a header.
const UNSENDABLE_NAMES: [&str; 5] = ["e\u{7f}", "e\n2", "e\u{0}", " e2", "e2\t"];

/// Guards against items that are given up, and requests that are answered 502, because the name of an
/// entry cannot stand in a header: the requests were sent nowhere.
#[test]
fn an_entry_whose_name_cannot_be_sent_harms_no_request() {
    run_local(async {
        let (site, endpoint, _processes) = Site::with_processes("engine", 8).await;
        let ledger = site.add_endpoint("p1", "ledger", 8).await;
        for name in UNSENDABLE_NAMES {
            site.store.put("servers", name, &entry(&[]));
            // Sound but for its name, as if an endpoint had two entries.
            site.store.put("servers", &format!("{name}3{name}"), &endpoint.entry("ready"));
            site.store.put("servers", &format!("{name}4{name}"), &ledger.entry("ready"));
        }
        sleep(LIST_TIME).await;
        assert_all_served(&site).await;
        for endpoint in [&endpoint, &ledger] {
            let requests = endpoint.requests.borrow();
            assert!(requests.iter().all(|req| req.expected == endpoint.id), "{requests:?}");
        }
    });
}

/// Sends requests to all kinds of routes and items, and checks that all are served.
async fn assert_all_served(site: &Site) {
    for path in ["/stream/x", "/resume/x", "/plain/x", "/once/x"] {
        for request in 0..REQUESTS {
            let response = site.post(path, &format!("r{request}"), "slip").await;
            assert_eq!(response.status, StatusCode::OK, "{path}: request {request}");
        }
    }
    let items: Vec<String> = (0..REQUESTS).map(|number| format!("i{number}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(site.post("/job/x", "j", &submission(&items)).await.status, StatusCode::ACCEPTED);
    let listed = async {
        loop {
            let page = site.get("/api/lots/j?after=0").await.body;
            if page.matches("\"state\"").count() == REQUESTS {
                break page;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let page = timeout(WAIT_TIMEOUT, listed).await.unwrap();
    assert_eq!(page.matches("completed").count(), REQUESTS, "{page}");
}

/// Guards against places at entries that name no endpoint any more, which are offered again at once when
/// the endpoint at their address says that it is another one.
#[test]
fn outdated_entries_at_the_address_of_an_endpoint_harm_no_request() {
    run_local(async {
        let (site, engine, _processes) = Site::with_processes("engine", 8).await;
        let ledger = site.add_endpoint("p1", "ledger", 8).await;
        for number in 0..OUTDATED {
            for endpoint in [&engine, &ledger] {
                let spec = endpoint.entry("ready").replace(r#""slots":8"#, r#""slots":64"#);
                site.store.put("servers", &format!("old-{}-{number}", endpoint.id), &spec);
            }
        }
        sleep(LIST_TIME).await;
        assert_all_served(&site).await;
        // Each is tried once, and again after pauses that grow.
        let misdirected = engine.misdirected.get() + ledger.misdirected.get();
        assert!(misdirected < 8 * OUTDATED, "{misdirected} requests to outdated entries");
    });
}

/// Guards against an item that is used for one trial of a failed endpoint after another and never runs,
/// and against requests that are refused for it, though a sound endpoint is idle.
#[test]
fn many_entries_at_which_nothing_listens_keep_no_item_and_no_request() {
    run_local(async {
        let (site, _engine, _processes) = Site::with_processes("engine", 16).await;
        let _ledger = site.add_endpoint("p1", "ledger", 16).await;
        for number in 0..DEAD {
            for service in ["engine", "ledger"] {
                let spec = entry(&[("service", &format!("{service:?}"))]);
                site.store.put("servers", &format!("dead-{service}-{number}"), &spec);
            }
        }
        sleep(LIST_TIME).await;
        for round in 0..3 {
            for path in ["/resume/x", "/plain/x"] {
                for request in 0..REQUESTS {
                    let id = format!("r{round}.{request}");
                    let response = site.post(path, &id, "slip").await;
                    assert_eq!(response.status, StatusCode::OK, "{path}: {id}");
                }
            }
            sleep(Duration::from_secs(1)).await;
        }
        assert_all_served(&site).await;
    });
}

/// Dialect of an older process, which takes an entry with any name for an endpoint.
#[derive(Debug)]
struct LenientDialect(SiteDialect);

impl Dialect for LenientDialect {
    fn endpoint(&self, id: &Name, spec: &str) -> Result<Endpoint, DecodeError> {
        let endpoint = self.0.endpoint(&Name::from("sound"), spec)?;
        Ok(Endpoint { id: Name::clone(id), ..endpoint })
    }

    fn names(&self) -> &ProtocolNames {
        self.0.names()
    }

    fn config(&self, spec: &str) -> Result<SiteConfig, DecodeError> {
        self.0.config(spec)
    }

    fn shared_parts<'a>(&self, prompt: &'a str) -> Vec<&'a str> {
        self.0.shared_parts(prompt)
    }

    fn stated_size(&self, headers: &HeaderMap) -> StatedSize {
        self.0.stated_size(headers)
    }

    fn submission(&self, body: &[u8]) -> Result<Vec<JobItem>, DecodeError> {
        self.0.submission(body)
    }

    fn page(&self, page: &ResultPage) -> String {
        self.0.page(page)
    }

    fn is_retired(&self, status: &str) -> bool {
        self.0.is_retired(status)
    }

    fn retirement_status(&self, done: bool) -> String {
        self.0.retirement_status(done)
    }
}

/// Guards against a place that is offered again and again though no request can be addressed to its
/// endpoint, and against requests and items that are blamed for it: an older process still grants it.
#[test]
fn a_place_at_an_endpoint_that_cannot_be_addressed_is_left_for_another() {
    run_local(async {
        let site = Site::new();
        let dialect = Arc::new(LenientDialect(SiteDialect::new()));
        let cfg = node_config("d1", NodeRole::Driver);
        let store = Arc::new(site.store.clone());
        let _driver = JobDriver::bind(cfg, dialect, store).await.unwrap();
        let _gateway = site.start_gateway().await;
        let _engine = site.add_endpoint("e1", "engine", 8).await;
        let _ledger = site.add_endpoint("p1", "ledger", 8).await;
        for service in ["engine", "ledger"] {
            for name in ["e\u{7f}", "e\n2", "e\u{0}"] {
                let spec = entry(&[("service", &format!("{service:?}")), ("slots", "64")]);
                site.store.put("servers", &format!("{name}-{service}"), &spec);
            }
        }
        sleep(LIST_TIME).await;
        assert_all_served(&site).await;
    });
}
