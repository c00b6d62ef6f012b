//! Tests of connections that break off within an answer.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_http::AnswerKind;
use dogwoodtray_http::CallerStream;
use dogwoodtray_http::SendConfig;
use dogwoodtray_http::send;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Version;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const CONFIG: SendConfig = SendConfig {
    kind: AnswerKind::Plain,
    connect_timeout: Duration::from_secs(5),
    max_head_bytes: 16 * 1024,
};

/// Size of a request that does not fit into the buffers of the sockets.
const LONG_REQUEST_BYTES: usize = 64 << 20;

/// Guards against an answer that looks complete because its connection failed while the request was
/// still being written, not while the answer was read.
#[tokio::test]
async fn an_answer_whose_connection_fails_within_the_request_is_not_complete() {
    let heads = ["", "transfer-encoding: chunked\r\n", "content-type: text/event-stream\r\n"];
    for head in heads {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let endpoint = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 1024];
            stream.read_exact(&mut buf).await.unwrap();
            let body = if head.starts_with('t') { "3\r\nok\n\r\n" } else { "ok\n\n" };
            let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n{body}");
            stream.write_all(text.as_bytes()).await.unwrap();
            // The client reads the answer before the reset arrives.
            tokio::time::sleep(Duration::from_millis(50)).await;
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        });
        let body = Full::new(Bytes::from(vec![b'x'; LONG_REQUEST_BYTES]));
        let req = Request::post("/").header("host", "h").body(body).unwrap();
        let exchange = async { send(addr, req, CONFIG).await.unwrap().body.collect().await };
        let collected = timeout(WAIT_TIMEOUT, exchange).await.unwrap();
        assert!(collected.is_err(), "{head:?}");
        endpoint.await.unwrap();
    }
}

async fn connected() -> (CallerStream, dogwoodtray_http::RequestVersions, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, versions) = CallerStream::new(listener.accept().await.unwrap().0);
    (stream, versions, caller)
}

/// Guards against a plain close when a process ends within an answer that ends with its connection.
#[tokio::test]
async fn a_connection_that_is_dropped_within_an_answer_of_http_1_0_is_reset() {
    for (version, is_reset) in [(Version::HTTP_10, true), (Version::HTTP_11, false)] {
        let (mut stream, versions, mut caller) = connected().await;
        versions.on_request(version);
        stream.write_all(b"half").await.unwrap();
        let mut buf = [0; 4];
        caller.read_exact(&mut buf).await.unwrap();
        drop(stream);
        let ended = caller.read(&mut buf).await;
        let kind = ended.map_err(|err| err.kind());
        assert_eq!(kind.is_err_and(|kind| kind == io::ErrorKind::ConnectionReset), is_reset);
    }
}

/// Guards against a complete answer that is cut by a reset, and a reset that outlasts its request.
#[tokio::test]
async fn a_complete_answer_of_http_1_0_ends_without_a_reset() {
    let (mut stream, versions, mut caller) = connected().await;
    versions.on_request(Version::HTTP_10);
    stream.write_all(b"whole").await.unwrap();
    stream.shutdown().await.unwrap();
    drop(stream);
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"whole");

    let (mut stream, versions, mut caller) = connected().await;
    versions.on_request(Version::HTTP_10);
    stream.write_all(b"one").await.unwrap();
    versions.on_request(Version::HTTP_11);
    stream.write_all(b"two").await.unwrap();
    drop(stream);
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"onetwo");
}

/// Guards against an answer that is cut by a reset because the caller has sent a further request.
#[tokio::test]
async fn a_request_that_is_not_read_does_not_reset_the_answer_before_it() {
    let (mut stream, _, mut caller) = connected().await;
    caller.write_all(b"first second").await.unwrap();
    let mut first = [0; 5];
    stream.read_exact(&mut first).await.unwrap();
    let answer = vec![b'a'; 1 << 20];
    let expected = answer.len();
    let server = tokio::spawn(async move {
        stream.write_all(&answer).await.unwrap();
        stream.shutdown().await.unwrap();
    });
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();
    assert_eq!(received.len(), expected);
    server.await.unwrap();
}
