//! Tests of endpoints that say in their answers that they are leaving.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;
use std::time::Instant;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::ObjectStore;
use dogwoodtray_wire::FrameCodec;
use dogwoodtray_wire::messages::EndpointLeaving;
use dogwoodtray_wire::messages::Heartbeat;
use dogwoodtray_wire::messages::Hello;
use dogwoodtray_wire::messages::PlaceGrant;
use dogwoodtray_wire::messages::Role;
use dogwoodtray_wire::messages::frame::Kind;
use futures_util::SinkExt;
use futures_util::StreamExt;
use hyper::StatusCode;
use support::Behavior;
use support::Endpoint;
use support::ScriptedFleet;
use support::Site;
use support::free_addr;
use support::head;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// Requests that would reach each of two endpoints several times.
const REQUESTS: usize = 12;

/// Sends requests until one reaches an endpoint, which says that it is leaving.
async fn reach(site: &Site, endpoint: &Endpoint) {
    *endpoint.leaving.borrow_mut() = vec!["1"];
    for number in 0..REQUESTS {
        let before = endpoint.request_count();
        site.post("/plain/x", &format!("{}-{number}", endpoint.id), "lookup").await;
        if endpoint.request_count() > before {
            return;
        }
    }
    panic!("no request reached {}", endpoint.id);
}

async fn assert_unused(site: &Site, endpoint: &Endpoint, label: &str) {
    let before = endpoint.request_count();
    for number in 0..REQUESTS {
        let response = site.post("/plain/x", &format!("{label}{number}"), "lookup").await;
        assert_eq!(response.status, StatusCode::OK, "{label}");
    }
    assert_eq!(endpoint.request_count(), before, "{label}");
}

/// Guards against requests to an endpoint that says that it is leaving while the store and the drivers
/// hold it ready, also after both are gone.
#[test]
fn an_endpoint_that_says_it_is_leaving_gets_no_more_requests() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let _b = site.add_endpoint("b", "ledger", 2).await;
        let driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        reach(&site, &a).await;
        assert_unused(&site, &a, "ready").await;
        // A new entry that differs only in its sequence says no more than the one before.
        site.store.put(
            "servers",
            "a",
            &a.entry("ready").replace(r#""sequence":1"#, r#""sequence":2"#),
        );
        sleep(Duration::from_millis(900)).await;
        assert_unused(&site, &a, "listed again").await;
        site.store.set_down(true);
        drop(driver);
        sleep(Duration::from_millis(300)).await;
        assert_unused(&site, &a, "without driver and store").await;
    });
}

/// Guards against a gateway that sends requests to an endpoint of which another gateway knows that it
/// is leaving.
#[test]
fn other_gateways_learn_that_an_endpoint_is_leaving() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let _b = site.add_endpoint("b", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let (other_addr, _other) = site.start_other_gateway("g3").await;
        sleep(Duration::from_millis(500)).await;
        reach(&site, &a).await;
        sleep(Duration::from_millis(100)).await;
        let before = a.request_count();
        for number in 0..REQUESTS {
            site.post_to(other_addr, "/plain/x", &format!("o{number}"), "lookup").await;
        }
        assert_eq!(a.request_count(), before);
    });
}

/// Guards against a gateway without drivers that uses an endpoint of which it saw that it is leaving,
/// or does not pass on what it saw, and against one that is not told what others saw.
#[test]
fn a_gateway_without_drivers_tells_and_is_told_that_an_endpoint_is_leaving() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let b = site.add_endpoint("b", "ledger", 2).await;
        let _c = site.add_endpoint("c", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let (other_addr, _other) = site.start_other_gateway("g3").await;
        let isolated = site.start_isolated_gateway().await;
        sleep(Duration::from_millis(2_500)).await;
        let post = async |addr, label: &str, number: usize| {
            let id = format!("{label}{number}");
            site.post_to(addr, "/plain/x", &id, "lookup").await.status
        };
        for (endpoint, seen_at) in [(&a, isolated.caller_addr), (&b, site.caller_addr)] {
            *endpoint.leaving.borrow_mut() = vec!["1"];
            let unused = endpoint.request_count();
            let mut number = 0;
            while endpoint.request_count() == unused {
                assert_eq!(post(seen_at, endpoint.id, number).await, StatusCode::OK);
                number += 1;
            }
            sleep(Duration::from_millis(100)).await;
            let before = endpoint.request_count();
            for addr in [other_addr, site.caller_addr, isolated.caller_addr] {
                for number in 0..REQUESTS {
                    let label = format!("{}-{}-", endpoint.id, addr.port());
                    assert_eq!(post(addr, &label, number).await, StatusCode::OK);
                }
            }
            assert_eq!(endpoint.request_count(), before, "{}", endpoint.id);
        }
    });
}

/// Guards against requests that wait, or are sent from one endpoint to the next, when all of them are
/// leaving.
#[test]
fn requests_are_refused_at_once_when_all_endpoints_are_leaving() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let b = site.add_endpoint("b", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        reach(&site, &a).await;
        reach(&site, &b).await;
        let started = Instant::now();
        let response = site.post("/plain/x", "last", "lookup").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        assert!(started.elapsed() <= Duration::from_millis(500), "{:?}", started.elapsed());
    });
}

/// Guards against an endpoint that gets no requests because the one before under its id, or another
/// service at its address, was leaving.
#[test]
fn the_next_life_of_an_endpoint_gets_requests() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        reach(&site, &a).await;
        a.leaving.borrow_mut().clear();
        a.born.set(2);
        site.register(&a);
        let mut served = false;
        for number in 0..40 {
            let response = site.post("/plain/x", &format!("n{number}"), "lookup").await;
            served |= response.status == StatusCode::OK;
            sleep(Duration::from_millis(50)).await;
        }
        assert!(served, "the restarted endpoint gets no requests");
    });
}

/// Guards against an endpoint that is given up for a header that is not its word: one of another
/// request, another value, or several that differ.
#[test]
fn a_header_that_proves_nothing_is_ignored() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        a.enqueue(Behavior::WrongId);
        *a.leaving.borrow_mut() = vec!["1"];
        site.post("/once/x", "w1", "payout").await;
        for (number, values) in
            [vec!["0"], vec!["yes"], vec!["1", "0"], vec![""]].iter().enumerate()
        {
            a.leaving.borrow_mut().clone_from(values);
            sleep(Duration::from_millis(900)).await;
            let response = site.post("/plain/x", &format!("v{number}"), "lookup").await;
            assert_eq!(response.status, StatusCode::OK, "after {number} others, now {values:?}");
        }
        *a.leaving.borrow_mut() = vec!["1", "1"];
        assert_eq!(site.post("/plain/x", "l1", "lookup").await.status, StatusCode::OK);
        let response = site.post("/plain/x", "l2", "lookup").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "repeated in agreement");
    });
}

/// Guards against items, and streams that are resumed, at an endpoint that is leaving, and against a
/// running answer that is cut because of it.
#[test]
fn streams_and_items_leave_an_endpoint_that_is_leaving() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "engine", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        *a.leaving.borrow_mut() = vec!["1"];
        *a.default_behavior.borrow_mut() =
            Behavior::Stream { to: 3, pause: Duration::from_millis(40) };
        assert_eq!(
            site.post("/job/x", "j1", &submission(&["i1"])).await.status,
            StatusCode::ACCEPTED
        );
        wait_until("the item runs", || a.request_count() == 1).await;
        let b = site.add_endpoint("b", "engine", 2).await;
        wait_until("the item is complete", || !*a.requests.borrow()[0].in_progress.borrow()).await;
        b.enqueue(Behavior::DisconnectAfter { event: 1 });
        sleep(Duration::from_millis(900)).await;
        for number in 0..4 {
            let response = site.post("/resume/x", &format!("s{number}"), "slip").await;
            assert_eq!((response.status, response.complete), (StatusCode::OK, true));
            // The endpoint at which the stream broke off is avoided for a while.
            sleep(Duration::from_millis(500)).await;
        }
        assert_eq!(
            site.post("/job/x", "j2", &submission(&["i2"])).await.status,
            StatusCode::ACCEPTED
        );
        wait_until("the second item runs", || {
            b.requests.borrow().iter().any(|request| request.id == "i2")
        })
        .await;
        assert_eq!(a.request_count(), 1, "it gets no more");
    });
}

/// Guards against an endpoint that gets no requests because the one before it at its address was
/// leaving.
#[test]
fn another_service_at_the_address_of_an_endpoint_that_left_gets_requests() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        reach(&site, &a).await;
        let _ = site.store.remove("servers", &Name::from("a")).await;
        a.leaving.borrow_mut().clear();
        *a.default_behavior.borrow_mut() = Behavior::Stream { to: 2, pause: Duration::ZERO };
        a.own_id.set("c");
        let entry = a.entry("ready").replace(r#""service":"ledger""#, r#""service":"engine""#);
        site.store.put("servers", "c", &entry);
        let before = a.request_count();
        for number in 0..40 {
            let response = site.post("/stream/x", &format!("n{number}"), "slip").await;
            if response.status == StatusCode::OK {
                assert_eq!(a.request_count(), before + 1);
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the other service gets no requests");
    });
}

/// Guards against endpoints that are given up because a second answer to a request, after its whole
/// answer, bears the header.
#[test]
fn a_doubled_answer_that_says_leaving_is_ignored() {
    run_local(async {
        let fleet = ScriptedFleet::start().await;
        let sound = head(200) + "content-length: 2\r\n\r\nok";
        let leaving = head(200) + "server-leaving: 1\r\ncontent-length: 2\r\n\r\nok";
        fleet.ledgers.set(&[&(sound + &leaving)]);
        for number in 0..REQUESTS {
            let response = fleet.site.post("/plain/x", &format!("r{number}"), "lookup").await;
            assert_eq!((response.status, &*response.body), (StatusCode::OK, "ok"), "{number}");
        }
    });
}

/// Returns the next frame of a link that is neither a greeting nor a heartbeat.
async fn next_kind(link: &mut Framed<TcpStream, FrameCodec>) -> Kind {
    loop {
        match link.next().await.unwrap().unwrap().kind.unwrap() {
            Kind::Hello(_) | Kind::Heartbeat(_) => {}
            kind => return kind,
        }
    }
}

/// Guards against a request at an endpoint for which a driver granted the place before it knew that
/// the endpoint is leaving.
#[test]
fn a_grant_that_arrives_after_the_mark_is_returned() {
    run_local(async {
        let site = Site::new();
        let a = site.add_endpoint("a", "ledger", 2).await;
        let b = site.add_endpoint("b", "ledger", 2).await;
        let driver = TcpListener::bind(free_addr()).await.unwrap();
        let addr = driver.local_addr().unwrap();
        let entry = format!(r#"{{"role":"driver","address":"{addr}","incarnation":9}}"#);
        site.store.put("nodes", "d1", &entry);
        let serve = async {
            let (stream, _) = driver.accept().await.unwrap();
            let mut link = Framed::new(stream, FrameCodec::new());
            let hello = Hello {
                node: "d1".to_owned(),
                incarnation: 9,
                role: Role::Driver.into(),
                ..Hello::default()
            };
            link.send(hello.into()).await.unwrap();
            link.send(Heartbeat::default().into()).await.unwrap();
            let ask = loop {
                if let Kind::PlaceAsk(ask) = next_kind(&mut link).await {
                    break ask.ask;
                }
            };
            let leaving = EndpointLeaving {
                endpoint: "a".to_owned(),
                address: a.addr.to_string(),
                started_unix_ms: a.born.get(),
            };
            link.send(leaving.into()).await.unwrap();
            link.send(PlaceGrant { ask, endpoint: "a".to_owned() }.into()).await.unwrap();
            let (mut is_returned, mut next_ask) = (false, None);
            while !is_returned || next_ask.is_none() {
                match next_kind(&mut link).await {
                    Kind::PlaceReturn(returned) => is_returned |= returned.ask == ask,
                    Kind::PlaceAsk(ask) => next_ask = Some(ask.ask),
                    _ => {}
                }
            }
            let ask = next_ask.unwrap();
            link.send(PlaceGrant { ask, endpoint: "b".to_owned() }.into()).await.unwrap();
            while link.next().await.is_some() {}
        };
        let call = async {
            let _gateway = site.start_gateway().await;
            let response = site.post("/plain/x", "r1", "lookup").await;
            assert_eq!(response.status, StatusCode::OK);
        };
        tokio::select! {
            () = serve => panic!("the link ended"),
            () = call => {}
        }
        assert_eq!((a.request_count(), b.request_count()), (0, 1));
    });
}
