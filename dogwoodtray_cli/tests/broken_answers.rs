//! Streams of an entry that break off after they have begun.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "../../platform/tests/standin/early_end.rs"]
mod early_end;
mod http_1_0;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_cli::local::Fleet;
use dogwoodtray_cli::local::FleetConfig;
use dogwoodtray_standin::PlatformFaults;
use early_end::EarlyEnd;
use early_end::serve_early;
use http_1_0::WAIT_TIMEOUT;
use http_1_0::post;
use http_1_0::post_chat;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Size of an upload, near the limit of an entry.
const UPLOAD_BYTES: usize = 1_000_000;

async fn start_fleet() -> Fleet {
    let cfg = FleetConfig { entries: 1, endpoints: 1, ..FleetConfig::default() };
    Fleet::start(&cfg).await.unwrap()
}

/// Starts a stream of this number of tokens, and returns the connection once a token has arrived.
async fn begin(entry: SocketAddr, version: &str, tokens: u32) -> (TcpStream, Vec<u8>) {
    begin_with_deadline(entry, version, tokens, 2_000).await
}

async fn begin_with_deadline(
    entry: SocketAddr,
    version: &str,
    tokens: u32,
    deadline_ms: u64,
) -> (TcpStream, Vec<u8>) {
    let body = format!(
        r#"{{"model":"standin","stream":true,"max_tokens":{tokens},
        "messages":[{{"role":"user","content":"slip 7"}}]}}"#
    );
    let request = format!(
        "POST /v1/chat/completions {version}\r\nhost: entry\r\nx-deadline-ms: {deadline_ms}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("content\":") {
        let read = timeout(WAIT_TIMEOUT, stream.read_buf(&mut received)).await.unwrap().unwrap();
        assert!(read > 0, "{}", String::from_utf8_lossy(&received));
    }
    (stream, received)
}

/// Reads the rest of an answer. Returns how the connection ended.
async fn read_rest(stream: &mut TcpStream, received: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        match timeout(WAIT_TIMEOUT, stream.read_buf(received)).await.unwrap() {
            Ok(read) if read > 0 => {}
            ended => return ended,
        }
    }
}

/// Guards against a stream that ends like a complete one after its endpoint was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_its_last_tokens_is_not_framed_as_complete() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let mut fleet = start_fleet().await;
        let (mut stream, mut received) = begin(fleet.caller_addrs()[0], version, 100_000).await;
        fleet.agents.clear();
        let ended = read_rest(&mut stream, &mut received).await;
        let text = String::from_utf8_lossy(&received);
        assert!(text.contains(r#""error""#), "{version}: the caller is not told the reason");
        if version == "HTTP/1.1" {
            assert!(!text.ends_with("\r\n0\r\n\r\n"), "framed as complete");
        } else {
            assert_eq!(ended.unwrap_err().kind(), io::ErrorKind::ConnectionReset, "{version}");
        }
    }
}

/// Guards against a complete stream that looks broken.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_with_its_last_event_is_framed_as_complete() {
    let fleet = start_fleet().await;
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let (mut stream, mut received) = begin(fleet.caller_addrs()[0], version, 3).await;
        let text = loop {
            let text = String::from_utf8_lossy(&received).into_owned();
            let end = if version == "HTTP/1.1" { "\r\n0\r\n\r\n" } else { "[DONE]\n\n" };
            if text.ends_with(end) {
                break text;
            }
            let read = timeout(WAIT_TIMEOUT, stream.read_buf(&mut received)).await.unwrap();
            assert!(read.unwrap() > 0, "{version}: {text}");
        };
        assert!(text.contains("data: [DONE]\n\n"), "{version}: {text}");
        if version == "HTTP/1.0" {
            assert_eq!(read_rest(&mut stream, &mut received).await.unwrap(), 0);
        }
    }
}

/// Guards against a request that is taken late in a drain and cut at its end, and against one that is
/// open at its end and gets no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_entry_takes_what_ends_in_time_and_answers_the_rest() {
    let cfg = FleetConfig {
        entries: 1,
        endpoints: 1,
        entry_drain_timeout: Duration::from_secs(5),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(&cfg).await.unwrap();
    let entry = fleet.caller_addrs()[0];
    let (mut stream, mut received) = begin(entry, "HTTP/1.1", 100_000).await;
    // The fleet is left idle but for one stream, which the drain waits for.
    let (mut held, mut held_text) = begin_with_deadline(entry, "HTTP/1.1", 100_000, 60_000).await;
    fleet.entries[0].drain();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let late = post_chat(entry, 4_000).await;
    assert!(late.starts_with("HTTP/1.0 503") && late.contains("not_run"), "{late}");
    assert!(late.contains("retry-after: 0\r\n"), "{late}");
    let short = post_chat(entry, 1_000).await;
    assert!(short.starts_with("HTTP/1.0 200"), "{short}");
    for (stream, received) in [(&mut stream, &mut received), (&mut held, &mut held_text)] {
        let _ = read_rest(stream, received).await;
        let text = String::from_utf8_lossy(received);
        assert!(text.contains(r#""error""#) && !text.ends_with("\r\n0\r\n\r\n"), "{text}");
    }
    timeout(WAIT_TIMEOUT, fleet.entries[0].finished()).await.unwrap();
}

/// Guards against jobs and requests that must not run twice whose connections are closed without an
/// answer because the platform does not reply before the end of a drain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_answers_what_waits_for_the_platform_at_the_end_of_its_drain() {
    let cfg = FleetConfig {
        entries: 1,
        endpoints: 1,
        entry_drain_timeout: Duration::from_secs(1),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(&cfg).await.unwrap();
    let entry = fleet.caller_addrs()[0];
    fleet.platform.set_faults(PlatformFaults { delay_ms: 60_000, ..PlatformFaults::default() });
    let message = r#""messages":[{"role":"user","content":"a"}]"#;
    let job =
        format!(r#"{{"model":"standin","requests":[{{"custom_id":"a","body":{{{message}}}}}]}}"#);
    let once = format!(r#"{{"model":"standin","max_tokens":2,{message}}}"#);
    let headers = "x-non-idempotent: true\r\nidempotency-key: k\r\nx-deadline-ms: 9000\r\n";
    let requests = [("/v1/batches", "", job), ("/v1/chat/completions", headers, once)];
    for (path, headers, body) in requests {
        tokio::spawn(async move { post(entry, path, headers, &body).await });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.entries[0].drain();
    timeout(WAIT_TIMEOUT, fleet.entries[0].finished()).await.unwrap();
    let (events, _) = fleet.entries[0].events().events_from(0, None);
    let answered =
        events.iter().take_while(|event| event.text != "drain timed out with work still running");
    let answered = answered.filter(|event| event.text == "request refused").count();
    assert_eq!(answered, 2, "{events:?}");
}

/// Sends an upload and returns the answer up to the end of the connection, and how it ended.
async fn upload(entry: SocketAddr, version: &str, stream: bool) -> (String, io::Result<usize>) {
    let content = "x".repeat(UPLOAD_BYTES);
    let body = format!(
        r#"{{"model":"standin","stream":{stream},"max_tokens":4,
        "messages":[{{"role":"user","content":"{content}"}}]}}"#
    );
    let request = format!(
        "POST /v1/chat/completions {version}\r\nhost: entry\r\nx-deadline-ms: 1500\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut connection = TcpStream::connect(entry).await.unwrap();
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let ended = read_rest(&mut connection, &mut received).await;
    (String::from_utf8_lossy(&received).into_owned(), ended)
}

/// Guards against a part of an answer that callers take for a complete one, because the engine sent it
/// without length and chunks and ended the connection while the upload was written, and against a status
/// that no answer may have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn damaged_answers_of_an_engine_reach_no_caller_as_complete() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n";
    let part = format!("{HEAD}\r\n{{\"half\":1}}");
    let events =
        format!("{HEAD}content-type: text/event-stream\r\n\r\ndata: {{\"content\":1}}\n\n");
    let with_status = |status| format!("HTTP/1.1 {status} X\r\ncontent-length: 4\r\n\r\nhalf");
    let whole = EarlyEnd::Reset { after: Duration::from_millis(300), reads_on: true };
    let mut cases = Vec::new();
    for end in EarlyEnd::all() {
        cases.extend([(part.clone(), end), (events.clone(), end)]);
    }
    cases.extend(["000", "101", "600"].map(|status| (with_status(status), whole)));
    let cfg = FleetConfig { entries: 1, endpoints: 1, hedging: false, ..FleetConfig::default() };
    for (text, end) in cases {
        let fleet = Fleet::start(&cfg).await.unwrap();
        let engine = fleet.engines[0].addr();
        fleet.engines[0].shutdown();
        let listener = loop {
            match TcpListener::bind(engine).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        let endpoint = tokio::spawn(serve_early(listener, text.clone(), end));
        for (version, stream) in
            [("HTTP/1.1", false), ("HTTP/1.1", true), ("HTTP/1.0", false), ("HTTP/1.0", true)]
        {
            let (answer, ended) = upload(fleet.caller_addrs()[0], version, stream).await;
            let case = format!("{version}, stream {stream}, {end:?}, {text:?}: {answer}");
            let is_refused = answer.starts_with(&format!("{version} 5"));
            let is_broken = answer.starts_with(&format!("{version} 200"))
                && answer.contains(r#""error""#)
                && if version == "HTTP/1.1" {
                    !answer.ends_with("\r\n0\r\n\r\n")
                } else {
                    ended.is_err()
                };
            assert!(is_refused || is_broken, "{case}");
        }
        endpoint.abort();
    }
}

/// Guards against a permit that is held without end by an upload that does not go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upload_that_stops_is_refused_at_its_deadline() {
    let fleet = start_fleet().await;
    let mut connection = TcpStream::connect(fleet.caller_addrs()[0]).await.unwrap();
    let request = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nx-deadline-ms: 500\r\n\
                   connection: close\r\ncontent-length: 1000\r\n\r\n{";
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let _ = read_rest(&mut connection, &mut received).await;
    let answer = String::from_utf8_lossy(&received);
    assert!(answer.starts_with("HTTP/1.1 408") && answer.contains("not_run"), "{answer}");
}
