//! Caller of HTTP/1.0, whose answers end with their connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum wait for an answer, long enough for a busy machine.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a request for a chat completion and returns its whole answer.
pub(crate) async fn post_chat(entry: SocketAddr, deadline_ms: u64) -> String {
    let body = r#"{"model":"standin","max_tokens":2,"messages":[{"role":"user","content":"a"}]}"#;
    let headers = format!("x-deadline-ms: {deadline_ms}\r\n");
    post(entry, "/v1/chat/completions", &headers, body).await
}

/// Sends a request with these headers and returns its whole answer.
pub(crate) async fn post(entry: SocketAddr, path: &str, headers: &str, body: &str) -> String {
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: entry\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    timeout(WAIT_TIMEOUT, stream.read_to_string(&mut text)).await.unwrap().unwrap();
    text
}
