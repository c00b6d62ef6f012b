//! Requests as endpoints receive them that write the bytes of their answers themselves.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Reads a whole request and returns it in lower case, or `None` if the connection ends before.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).to_lowercase();
        if is_complete(&text) {
            return Some(text);
        }
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    body.len() >= header(head, "content-length").parse().unwrap_or(0)
}

/// Returns the value of a header, empty if the request does not have it.
pub(crate) fn header<'a>(text: &'a str, name: &str) -> &'a str {
    let prefix = format!("{name}: ");
    text.lines().find_map(|line| line.strip_prefix(&*prefix)).unwrap_or_default().trim()
}
