//! Tests of endpoints that send bytes that are no answer, without end, and of slow and stalled
//! streams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use support::Behavior;
use support::Site;
use support::TestResponse;
use support::WAIT_TIMEOUT;
use support::free_addr;
use support::header;
use support::read_request;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

/// Maximum number of bytes that an endpoint can send before its connection is closed: the limit of
/// the gateway, and what the sockets on both sides buffer.
const MAX_SENT_BYTES: usize = 8 << 20;

/// Head of a response to `id`, up to the body.
fn head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-stamp: s1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// What a [`RawEndpoint`] repeats until its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Noise {
    /// Headers of a response.
    Headers,
    /// Whole informational responses.
    Informational,
    /// Data of an event that does not end.
    Event,
    /// One byte of an event each 50 ms, after a first event.
    Trickle,
    /// Empty lines, one each 50 ms, after a first event.
    EmptyLines,
    /// Comments, one each 50 ms, after a first event.
    Comments,
    /// The first event, once more each 50 ms.
    Repeats,
    /// Events with new ids and without data, one each 50 ms.
    EmptyEvents,
    /// Bytes after a complete response.
    Excess,
    /// Digits of the size of a chunk, after a first event.
    ChunkSize,
    /// Extension of a chunk, after a first event.
    ChunkExtension,
    /// Trailers after a first event.
    Trailers,
}

impl Noise {
    const fn is_slow(self) -> bool {
        matches!(
            self,
            Self::Trickle | Self::EmptyLines | Self::Comments | Self::Repeats | Self::EmptyEvents
        )
    }
}

/// Endpoint that sends bytes without end.
struct RawEndpoint {
    sent: Rc<Cell<usize>>,
    /// Number of connections, and of those that the other side has closed.
    connections: Rc<Cell<usize>>,
    closed: Rc<Cell<usize>>,
}

impl RawEndpoint {
    /// Starts an endpoint of the service `engine` and registers it under `id`.
    async fn start(site: &Site, id: &str, noise: Noise) -> Self {
        let listener = TcpListener::bind(free_addr()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let endpoint =
            Self { sent: Rc::default(), connections: Rc::default(), closed: Rc::default() };
        let (sent, connections, closed) = (
            Rc::clone(&endpoint.sent),
            Rc::clone(&endpoint.connections),
            Rc::clone(&endpoint.closed),
        );
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                connections.set(connections.get() + 1);
                let (sent, closed) = (Rc::clone(&sent), Rc::clone(&closed));
                spawn_local(async move {
                    send_noise(stream, noise, &sent).await;
                    closed.set(closed.get() + 1);
                });
            }
        });
        site.register_raw(id, "engine", addr);
        endpoint
    }
}

async fn send_noise(mut stream: TcpStream, noise: Noise, sent: &Cell<usize>) {
    let Some(request) = read_request(&mut stream).await else { return };
    let id = header(&request, "attempt-id");
    let filler = "a".repeat(4_000);
    let after_event = |repeated: &str| {
        let mut first = head(id).into_bytes();
        first.extend(chunk("id: 1\ndata: e1\n\n"));
        (first, chunk(repeated))
    };
    let (first, repeated) = match noise {
        Noise::EmptyLines => after_event("\n"),
        Noise::Comments => after_event(": x\n\n"),
        Noise::Repeats => after_event("id: 1\ndata: e1\n\n"),
        Noise::EmptyEvents => (head(id).into_bytes(), Vec::new()),
        Noise::Headers => {
            ("HTTP/1.1 200 OK\r\n".into(), format!("x-filler: {filler}\r\n").into_bytes())
        }
        Noise::Informational => (Vec::new(), b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec()),
        Noise::Event => {
            let mut first = head(id).into_bytes();
            first.extend(chunk("id: 1\ndata: "));
            (first, chunk(&filler))
        }
        Noise::Trickle => {
            let mut first = head(id).into_bytes();
            first.extend(chunk("id: 1\ndata: e1\n\nid: 2\ndata: "));
            (first, chunk("a"))
        }
        Noise::ChunkSize | Noise::ChunkExtension | Noise::Trailers => {
            let mut first = head(id).into_bytes();
            first.extend(chunk("id: 1\ndata: e1\n\n"));
            match noise {
                Noise::ChunkSize => (first, b"0".repeat(4_000)),
                Noise::ChunkExtension => {
                    first.extend_from_slice(b"5;");
                    (first, filler.into_bytes())
                }
                _ => {
                    first.extend_from_slice(b"0\r\n");
                    (first, format!("x-filler: {filler}\r\n").into_bytes())
                }
            }
        }
        Noise::Excess => {
            let mut first = head(id).into_bytes();
            first.extend(chunk("id: 1\ndata: e1\n\n"));
            first.extend_from_slice(b"0\r\n\r\n");
            (first, filler.into_bytes())
        }
    };
    if stream.write_all(&first).await.is_err() {
        return;
    }
    for number in 1.. {
        let repeated = match noise {
            Noise::EmptyEvents => &chunk(&format!("id: {number}\n\n")),
            _ => &repeated,
        };
        if stream.write_all(repeated).await.is_err() {
            return;
        }
        sent.set(sent.get() + repeated.len());
        if noise.is_slow() {
            sleep(Duration::from_millis(50)).await;
        }
        // Lets the gateway run, which shares the thread.
        tokio::task::yield_now().await;
    }
}

/// Sends requests until one has reached the endpoint, and returns its response.
async fn post_to_noise(site: &Site, endpoint: &RawEndpoint, path: &str) -> TestResponse {
    let started = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let response = site.post(path, &format!("r{number}"), "slip").await;
        if endpoint.connections.get() > 0 {
            return response;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "no request reached the endpoint");
    }
}

async fn wait_until_closed(endpoint: &RawEndpoint) {
    let is_closed =
        || endpoint.connections.get() > 0 && endpoint.connections.get() == endpoint.closed.get();
    wait_until("the connection is closed", is_closed).await;
    assert!(endpoint.sent.get() <= MAX_SENT_BYTES, "{} bytes sent", endpoint.sent.get());
}

/// Guards against heads, informational responses, events, framing and trailers without end that fill the
/// memory or keep the request from another endpoint.
#[test]
fn a_stream_moves_away_from_bytes_without_end() {
    let kinds = [
        Noise::Headers,
        Noise::Informational,
        Noise::Event,
        Noise::ChunkSize,
        Noise::ChunkExtension,
        Noise::Trailers,
    ];
    for noise in kinds {
        run_local(async {
            let (site, _endpoint, _running) = Site::with_processes("engine", 2).await;
            let noisy = RawEndpoint::start(&site, "e2", noise).await;
            let started = Instant::now();
            let response = post_to_noise(&site, &noisy, "/resume/x").await;
            assert_eq!((response.status, response.complete), (StatusCode::OK, true), "{noise:?}");
            assert!(started.elapsed() < Duration::from_secs(3), "{noise:?}");
            wait_until_closed(&noisy).await;
        });
    }
}

/// Guards against a request that must not run twice and that is answered with bytes without end: it
/// is not sent again, and its caller gets no success.
#[test]
fn a_non_idempotent_request_ends_at_bytes_without_end() {
    run_local(async {
        let site = Site::new();
        let noisy = RawEndpoint::start(&site, "e1", Noise::Headers).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let response = post_to_noise(&site, &noisy, "/stream/x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(noisy.connections.get(), 1);
        wait_until_closed(&noisy).await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(noisy.connections.get(), 1, "no connection follows later");
    });
}

/// Guards against bytes after a complete response that reach a caller, or that keep the connection
/// and its place.
#[test]
fn bytes_after_a_complete_response_are_dropped() {
    run_local(async {
        let site = Site::new();
        let noisy = RawEndpoint::start(&site, "e1", Noise::Excess).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        for path in ["/stream/x", "/resume/x"] {
            let response = post_to_noise(&site, &noisy, path).await;
            assert_eq!((response.status, response.complete), (StatusCode::OK, true));
            assert_eq!(response.body, "id: 1\ndata: e1\n\n");
        }
        wait_until_closed(&noisy).await;
    });
}

/// Guards against an item that stays at an endpoint that sends an event without end.
#[test]
fn an_item_moves_away_from_an_event_without_end() {
    run_local(async {
        let (site, _endpoint, _running) = Site::with_processes("engine", 2).await;
        let noisy = RawEndpoint::start(&site, "e2", Noise::Event).await;
        let ids: Vec<String> = (0..6).map(|number| format!("i{number}")).collect();
        let items: Vec<&str> = ids.iter().map(String::as_str).collect();
        site.post("/job/x", "j1", &submission(&items)).await;
        let is_done = async {
            loop {
                let page = site.get("/api/lots/j1?after=0").await;
                if page.body.matches("completed").count() == ids.len() {
                    break;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(Duration::from_secs(20), is_done).await.unwrap();
        wait_until_closed(&noisy).await;
    });
}

/// Guards against a stalled stream that never ends because its endpoint sends a byte now and then.
#[test]
fn a_stalled_stream_moves_although_bytes_arrive() {
    run_local(async {
        let (site, _endpoint, _running) = Site::with_processes("engine", 2).await;
        let stalled = RawEndpoint::start(&site, "e2", Noise::Trickle).await;
        let started = Instant::now();
        let response = post_to_noise(&site, &stalled, "/resume/x").await;
        assert_eq!((response.status, response.complete), (StatusCode::OK, true));
        assert_eq!(response.body, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
        wait_until_closed(&stalled).await;
    });
}

/// Events that add nothing to an answer.
const NO_OUTPUT: [Noise; 4] =
    [Noise::EmptyLines, Noise::Comments, Noise::Repeats, Noise::EmptyEvents];

/// Guards against an item that stays for good at an endpoint that sends lines without output (review/8).
#[test]
fn an_item_moves_away_from_lines_without_output() {
    for noise in NO_OUTPUT {
        run_local(async {
            let site = Site::new();
            let noisy = RawEndpoint::start(&site, "e2", noise).await;
            let _driver = site.start_driver("d1").await;
            let _gateway = site.start_gateway().await;
            site.post("/job/x", "j1", &submission(&["i1"])).await;
            wait_until("the item runs", || noisy.connections.get() > 0).await;
            let _sound = site.add_endpoint("e1", "engine", 2).await;
            wait_until_closed(&noisy).await;
            let is_done = async {
                while !site.get("/api/lots/j1?after=0").await.body.contains(r"e1\ne2\ne3") {
                    sleep(Duration::from_millis(50)).await;
                }
            };
            assert!(timeout(WAIT_TIMEOUT, is_done).await.is_ok(), "{noise:?}");
        });
    }
}

/// Guards against a resumable stream that stays at an endpoint that sends lines without output until its
/// time is over.
#[test]
fn a_stream_moves_away_from_lines_without_output() {
    // An event that comes again breaks the order of a stream, which moves at once.
    for noise in [Noise::EmptyLines, Noise::Comments] {
        run_local(async {
            let site = Site::new();
            let noisy = RawEndpoint::start(&site, "e2", noise).await;
            let _driver = site.start_driver("d1").await;
            let _gateway = site.start_gateway().await;
            let started = Instant::now();
            let sound = async {
                wait_until("the stream runs", || noisy.connections.get() > 0).await;
                site.add_endpoint("e1", "engine", 2).await
            };
            let (response, _sound) = tokio::join!(site.post("/resume/x", "r1", "slip"), sound);
            assert!(response.complete, "{noise:?}: {response:?}");
            assert_eq!(response.body.matches("data: ").count(), 3, "{noise:?}: {response:?}");
            assert!(started.elapsed() < Duration::from_secs(3), "{noise:?}");
        });
    }
}

/// Guards against an item that keeps the only endpoint, and is never listed, when its retention is over.
#[test]
fn an_item_without_output_is_given_up_with_its_retention() {
    run_local(async {
        let site = Site::new();
        let short = support::config(2).replace(r#""retention-s":60"#, r#""retention-s":2"#);
        site.store.put("config", "main", &short);
        let noisy = RawEndpoint::start(&site, "e2", Noise::EmptyEvents).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        site.post("/job/x", "j1", &submission(&["i1"])).await;
        wait_until("the item runs", || noisy.connections.get() > 0).await;
        wait_until_closed(&noisy).await;
        let is_given_up = async {
            while !site.get("/api/lots/j1?after=0").await.body.contains("dead_letter") {
                sleep(Duration::from_millis(50)).await;
            }
        };
        assert!(timeout(WAIT_TIMEOUT, is_given_up).await.is_ok());
    });
}

/// Guards against a slow but sound stream that is cut although nothing better is free, with
/// endpoints that take 20 and 30 times as long for an event.
#[test]
fn a_slow_stream_is_completed_if_all_endpoints_are_slow() {
    for pause_ms in [600, 900] {
        run_local(async {
            let (site, endpoint, _running) = Site::with_processes("engine", 2).await;
            let pause = Duration::from_millis(pause_ms);
            *endpoint.default_behavior.borrow_mut() = Behavior::Stream { to: 3, pause };
            let response = site.post("/resume/x", "r1", "slip").await;
            assert_eq!((response.status, response.complete), (StatusCode::OK, true));
            assert_eq!(response.body.matches("data: ").count(), 3, "{}", response.body);
        });
    }
}
