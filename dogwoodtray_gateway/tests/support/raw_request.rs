//! Requests as endpoints receive them that write the bytes of their answers themselves.

use std::io;
use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::site::HOST;

/// Reads a whole request and returns it in lower case, or `None` if the connection ends before.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let received = read_head(stream).await?;
    read_rest(stream, received).await
}

/// Reads a request up to the end of its head, and returns it with what arrived of its body, or `None` if
/// the connection ends before.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut received = Vec::new();
    while head_bytes(&received).is_none() {
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(received)
}

/// Reads the rest of a request whose head was received, and returns all of it in lower case.
pub(crate) async fn read_rest(stream: &mut TcpStream, mut received: Vec<u8>) -> Option<String> {
    let head = head_bytes(&received)?;
    let text = String::from_utf8_lossy(&received[..head]).to_lowercase();
    let length: usize = header(&text, "content-length").parse().unwrap_or(0);
    while received.len() < head + length {
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&received).to_lowercase())
}

/// Returns the size of the head of a request, if it is complete.
fn head_bytes(received: &[u8]) -> Option<usize> {
    received.windows(4).position(|bytes| bytes == b"\r\n\r\n").map(|start| start + 4)
}

/// Returns the value of a header, empty if the request does not have it.
pub(crate) fn header<'a>(text: &'a str, name: &str) -> &'a str {
    let prefix = format!("{name}: ");
    text.lines().find_map(|line| line.strip_prefix(&*prefix)).unwrap_or_default().trim()
}

/// Sends a request of HTTP/1.0. Returns the answer up to the end of the connection, and how it ended.
pub(crate) async fn post_http10(
    to: SocketAddr,
    path: &str,
    body: &str,
) -> (String, io::Result<usize>) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: {HOST}\r\nattempt-id: r1\r\ndeadline-ms: 4000\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let ended = loop {
        match stream.read_buf(&mut received).await {
            Ok(0) => break Ok(received.len()),
            Ok(_) => {}
            Err(err) => break Err(err),
        }
    };
    (String::from_utf8(received).unwrap(), ended)
}
