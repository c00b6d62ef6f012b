//! Exchanges of an agent with an endpoint that repeats or truncates its answers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "../../platform/tests/standin/early_end.rs"]
mod early_end;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_agent::Agent;
use dogwoodtray_agent::AgentSettings;
use dogwoodtray_agent::EndpointKind;
use dogwoodtray_coord::Name;
use dogwoodtray_runtime::DialHandle;
use dogwoodtray_runtime::LinkConfig;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::dial;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Outcome;
use dogwoodtray_wire::messages::frame::Kind;
use early_end::EarlyEnd;
use early_end::serve_early;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;
use tokio::time::timeout;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of an upload, near the limit of an entry.
const UPLOAD_BYTES: usize = 1_000_000;

const REFUSAL: &str = "HTTP/1.1 503 X\r\ncontent-length: 4\r\n\r\nbusy";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Link to an agent, as an entry has it.
struct EntryLink {
    link: LinkHandle,
    frames: UnboundedReceiver<Kind>,
    _dialer: DialHandle,
}

impl EntryLink {
    async fn open(agent: SocketAddr) -> Self {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let hello = || messages::Hello {
            node: "entry".to_owned(),
            incarnation: 1,
            role: messages::Role::Entry.into(),
            ..messages::Hello::default()
        };
        let cfg = LinkConfig::new(hello, move |event| {
            // The test may have ended.
            let _ = tx.send(event);
        });
        let dialer = dial(&Handle::current(), Name::from(agent.to_string()), cfg);
        let link = loop {
            match timeout(WAIT_TIMEOUT, rx.recv()).await.unwrap().unwrap() {
                LinkEvent::Up { link, .. } => break link,
                _ => continue,
            }
        };
        let (frame_tx, frames) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(event) = rx.recv().await {
                if let LinkEvent::Frame { kind, .. } = event {
                    let _ = frame_tx.send(kind);
                }
            }
        });
        Self { link, frames, _dialer: dialer }
    }

    /// Runs a request that must not run twice, and returns its end and its answer.
    async fn run(&mut self, counter: u64) -> (messages::Done, Vec<u8>) {
        self.run_with(counter, Bytes::from_static(b"payout")).await
    }

    async fn run_with(&mut self, counter: u64, body: Bytes) -> (messages::Done, Vec<u8>) {
        self.link.send(messages::Dispatch {
            attempt: Some(messages::AttemptId { incarnation: 1, counter }),
            request_id: format!("r{counter}"),
            class: messages::WorkClass::Online.into(),
            model: "ledger".to_owned(),
            method: "POST".to_owned(),
            path: "/payouts".to_owned(),
            body,
            deadline_ms: 10_000,
            content: counter,
            ..messages::Dispatch::default()
        });
        let mut body = Vec::new();
        loop {
            match timeout(WAIT_TIMEOUT, self.frames.recv()).await.unwrap().unwrap() {
                Kind::Chunk(chunk) if chunk.attempt.unwrap().counter == counter => {
                    body.extend_from_slice(&chunk.data);
                }
                Kind::Done(done) if done.attempt.unwrap().counter == counter => {
                    return (done, body);
                }
                _ => {}
            }
        }
    }
}

async fn start_agent(endpoint: SocketAddr, kind: EndpointKind) -> (Agent, EntryLink) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let peer = std::net::TcpListener::bind(any).and_then(|l| l.local_addr()).unwrap();
    let settings = AgentSettings {
        node: Name::from("agent"),
        data_centre: Name::from("dc"),
        peer,
        admin: any,
        endpoint,
        kind,
        models: vec![Name::from("ledger")],
        checks_fence: false,
        admission: Name::from("fifo"),
        max_places: 4,
        stall_timeout: Duration::from_secs(10),
        drain_timeout: Duration::from_secs(10),
    };
    let agent = Agent::bind(settings).await.unwrap();
    let link = EntryLink::open(peer).await;
    (agent, link)
}

/// Reads a request. Returns `false` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    while !request.ends_with(b"payout") {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return false;
        }
    }
    true
}

/// Guards against a request that is reported as refused although it runs, because the endpoint wrote
/// an earlier refusal once more on a kept connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_is_written_twice_is_not_taken_for_the_next_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&requests);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let seen = Arc::clone(&seen);
            tokio::spawn(async move {
                let mut is_first = true;
                while read_request(&mut stream).await {
                    let is_refused = seen.fetch_add(1, Ordering::SeqCst) == 0;
                    let repeated = if is_first { "" } else { REFUSAL };
                    let answer = if is_refused { REFUSAL } else { ANSWER };
                    is_first = false;
                    let text = format!("{repeated}{answer}");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let (_agent, mut link) = start_agent(addr, EndpointKind::Service).await;
    let (done, _) = link.run(1).await;
    assert_eq!((done.outcome(), done.status), (Outcome::Answered, 503));
    sleep(Duration::from_millis(50)).await;
    let (done, body) = link.run(2).await;
    assert_eq!((done.outcome(), done.status), (Outcome::Answered, 200));
    assert_eq!(body, b"ok");
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}

/// Guards against an empty or short answer that looks whole, because the endpoint closed the
/// connection within the head or the body of its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_breaks_off_is_not_reported_as_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let lengths: Vec<usize> = (1..ANSWER.len()).step_by(4).collect();
    let cuts = lengths.clone();
    tokio::spawn(async move {
        let mut cuts = cuts.into_iter();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            // The health check opens a connection and sends nothing.
            if read_request(&mut stream).await
                && let Some(length) = cuts.next()
            {
                let _ = stream.write_all(&ANSWER.as_bytes()[..length]).await;
            }
        }
    });
    let (_agent, mut link) = start_agent(addr, EndpointKind::Service).await;
    for (index, length) in lengths.into_iter().enumerate() {
        let (done, _) = link.run(1 + index as u64).await;
        assert_ne!(done.outcome(), Outcome::Answered, "{length} bytes");
    }
}

/// Starts an endpoint whose health is good and that answers each request with the next text.
async fn start_scripted(texts: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut texts = texts.into_iter();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = Vec::new();
            while !request.ends_with(b"payout") && !request.starts_with(b"GET /health") {
                if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
                    break;
                }
            }
            let text = match &*request {
                [] => continue,
                [b'G', ..] => ANSWER.to_owned(),
                _ => texts.next().unwrap(),
            };
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    addr
}

/// Guards against a stream that is reported as answered although it ends within an event or without
/// the event that announces its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_breaks_off_is_not_reported_as_answered() {
    const TOKEN: &str = "data: {\"content\":1}\n\n";
    const DONE: &str = "data: [DONE]\n\n";
    let framed = |body: &str| {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
        let length = body.len();
        [
            format!("{head}connection: close\r\n\r\n{body}"),
            format!("{head}content-length: {length}\r\n\r\n{body}"),
            format!("{head}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"),
        ]
    };
    let cases = [
        (EndpointKind::Service, format!("{TOKEN}data"), false),
        (EndpointKind::Service, format!("{TOKEN}data: x\n"), false),
        (EndpointKind::Service, TOKEN.to_owned(), true),
        (EndpointKind::Engine, format!("{TOKEN}{DONE}data"), false),
        (EndpointKind::Engine, TOKEN.to_owned(), false),
        (EndpointKind::Engine, format!("{TOKEN}{DONE}"), true),
    ];
    for (kind, body, is_complete) in cases {
        let addr = start_scripted(framed(&body).to_vec()).await;
        let (_agent, mut link) = start_agent(addr, kind).await;
        let mut counter = 0;
        for framing in ["connection", "length", "chunks"] {
            let done = loop {
                counter += 1;
                let (done, _) = link.run(counter).await;
                // After a break, the agent first checks whether the endpoint is still up.
                if done.outcome() != Outcome::NotRun {
                    break done;
                }
                sleep(Duration::from_millis(20)).await;
            };
            let is_answered = done.outcome() == Outcome::Answered;
            assert_eq!(is_answered, is_complete, "{kind:?}, {framing}, {body:?}: {done:?}");
            if framing != "connection" && !is_complete {
                assert_eq!(done.outcome(), Outcome::Failed, "{kind:?}, {framing}, {body:?}");
            }
        }
    }
}

/// Runs a request until the agent has checked that its endpoint is up and sends it there.
async fn run_until_sent(link: &mut EntryLink, counter: &mut u64, body: &Bytes) -> messages::Done {
    loop {
        *counter += 1;
        let (done, _) = link.run_with(*counter, body.clone()).await;
        if done.outcome() != Outcome::NotRun {
            return done;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a part of an answer that is reported as a whole one, because the endpoint sent it
/// without length and chunks and ended the connection while the upload was written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_of_an_answer_to_an_upload_is_not_reported_as_answered() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n";
    const EVENTS: &str = "content-type: text/event-stream\r\n\r\ndata: {\"content\":1}\n\n";
    let upload = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
    let parts = [
        (EndpointKind::Service, format!("{HEAD}\r\nhalf")),
        (EndpointKind::Service, format!("{HEAD}{EVENTS}")),
        (EndpointKind::Engine, format!("{HEAD}{EVENTS}")),
        (EndpointKind::Engine, format!("{HEAD}\r\nhalf")),
        (EndpointKind::Service, format!("{HEAD}content-length: 4\r\n")),
        (
            EndpointKind::Service,
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\ntime: 1\r"),
        ),
    ];
    for (kind, text) in parts {
        for end in EarlyEnd::all() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            let endpoint = tokio::spawn(serve_early(listener, text.clone(), end));
            let (_agent, mut link) = start_agent(addr, kind).await;
            let done = run_until_sent(&mut link, &mut 0, &upload).await;
            assert_ne!(done.outcome(), Outcome::Answered, "{kind:?}, {end:?}, {text:?}");
            endpoint.abort();
        }
    }
}

/// Guards against an answer with a status that no answer may have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_no_answer_may_have_is_not_reported_as_answered() {
    let statuses = ["000", "001", "099", "100", "101", "600", "999", "20", "2000", "abc", ""];
    let answers = statuses.map(|status| ANSWER.replacen("200 OK", status, 1));
    for kind in [EndpointKind::Service, EndpointKind::Engine] {
        let addr = start_scripted(answers.to_vec()).await;
        let (_agent, mut link) = start_agent(addr, kind).await;
        let mut counter = 0;
        for status in statuses {
            let body = Bytes::from_static(b"payout");
            let done = run_until_sent(&mut link, &mut counter, &body).await;
            assert_ne!(done.outcome(), Outcome::Answered, "{kind:?}, {status:?}: {done:?}");
        }
    }
}
