//! Tests of callers that read or write slowly.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::StatusCode;
use support::HOST;
use support::Scripted;
use support::Site;
use support::TestOrganization;
use support::WAIT_TIMEOUT;
use support::config_with_organizations;
use support::free_addr;
use support::head;
use support::header;
use support::read_request;
use support::run_local;
use support::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Size of the upload of a caller. It counts twice, as a request has two copies of its body.
const UPLOAD_BYTES: usize = 1 << 20;

/// Bytes that a gateway may buffer, which are exhausted by 8 uploads.
const BUFFER_BYTES: usize = 16 << 20;

/// Number of uploads of one organization at the same time.
const UPLOADS: usize = 12;

/// Starts an endpoint that answers each request with events without end. Counts the answers that were
/// closed by the gateway.
async fn start_endless(site: &Site, service: &str) -> Rc<Cell<usize>> {
    let listener = TcpListener::bind(free_addr()).await.unwrap();
    site.register_raw("e1", service, listener.local_addr().unwrap());
    let closed = Rc::new(Cell::new(0));
    let count = Rc::clone(&closed);
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let count = Rc::clone(&count);
            spawn_local(async move {
                let Some(request) = read_request(&mut stream).await else { return };
                let head = head(200).replace("{id}", header(&request, "attempt-id")) + "\r\n";
                let event = format!("data: {}\n\n", "x".repeat(16 * 1024));
                let _ = stream.write_all(head.as_bytes()).await;
                while stream.write_all(event.as_bytes()).await.is_ok() {}
                count.set(count.get() + 1);
            });
        }
    });
    closed
}

/// Sends the head of a request, and a part of its body.
async fn begin(to: SocketAddr, path: &str, headers: &str, length: usize, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: r1\r\ndeadline-ms: 4000\r\n\
         {headers}content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Guards against a place that is held without end by a caller that does not read its answer.
#[test]
fn a_caller_that_does_not_read_is_cut_off_and_its_run_ends() {
    run_local(async {
        for (service, path) in
            [("engine", "/stream/x"), ("engine", "/resume/x"), ("ledger", "/once/x")]
        {
            let site = Site::new();
            let closed = start_endless(&site, service).await;
            let _driver = site.start_driver("d1").await;
            let _gateway = site.start_gateway().await;
            let mut caller = begin(site.caller_addr, path, "", 4, "slip").await;
            let mut start = [0; 15];
            caller.read_exact(&mut start).await.unwrap();
            assert_eq!(&start[..12], b"HTTP/1.1 200", "{path}");
            wait_until("the run has ended", || closed.get() == 1).await;
            let mut rest = Vec::new();
            let ended = caller.read_to_end(&mut rest).await;
            assert_eq!(ended.unwrap_err().kind(), io::ErrorKind::ConnectionReset, "{path}");
        }
    });
}

/// Reads the head of a response.
async fn read_answer_head(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        answer.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(answer).unwrap()
}

/// Guards against buffers that are held without end by an upload that does not go on.
#[test]
fn an_upload_that_stops_is_refused_at_its_deadline() {
    run_local(async {
        let site = Site::new();
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway().await;
        let mut caller = begin(site.caller_addr, "/once/x", "", UPLOAD_BYTES, "x").await;
        let answer = timeout(WAIT_TIMEOUT, read_answer_head(&mut caller)).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    });
}

/// Guards against an organization that fills the buffers of a gateway with slow uploads, so that the
/// requests of others are refused.
#[test]
fn slow_uploads_of_one_organization_leave_buffers_to_others() {
    run_local(async {
        let site = Site::new();
        let organizations = [
            TestOrganization::new("alpha", &["key-alpha"]),
            TestOrganization::new("beta", &["key-beta"]),
        ];
        site.store.put("config", "main", &config_with_organizations(2, &organizations));
        let answer = head(200) + "content-length: 4\r\n\r\nhalf";
        let _ledgers = Scripted::start(&site, "ledger", &[&answer]).await;
        let _driver = site.start_driver("d1").await;
        let _gateway = site.start_gateway_with_buffers(BUFFER_BYTES).await;
        let refused = Rc::new(Cell::new(0));
        for _ in 0..UPLOADS {
            let headers = "authorization: Bearer key-alpha\r\n";
            let mut upload = begin(site.caller_addr, "/once/x", headers, UPLOAD_BYTES, "x").await;
            let refused = Rc::clone(&refused);
            spawn_local(async move {
                let answer = read_answer_head(&mut upload).await;
                // Those that are not refused end at their deadline.
                if answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after: ") {
                    refused.set(refused.get() + 1);
                }
            });
        }
        wait_until("uploads were refused", || refused.get() >= UPLOADS - 8).await;
        let body = "x".repeat(UPLOAD_BYTES);
        let to = site.caller_addr;
        let response = site.post_keyed_to(to, "/once/x", "r2", "key-beta", &body).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        // Routes without keys have a part of their own.
        assert_eq!(site.post("/plain/x", "r3", &body).await.status, StatusCode::OK);
    });
}
