//! Endpoint whose process ends in the middle of its first answer, without a reset.

use std::cell::Cell;
use std::rc::Rc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::Site;

/// Endpoint that answers one request with a given text, and then closes its listener and the connection.
/// The text has neither a length nor chunks, and `{id}` stands for the id of the request.
pub(crate) struct DyingEndpoint {
    /// Whether the endpoint has answered a request and ended.
    pub(crate) has_ended: Rc<Cell<bool>>,
}

impl DyingEndpoint {
    /// Starts an endpoint of a service and registers it under `id`.
    pub(crate) async fn start(site: &Site, id: &str, service: &str, text: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let has_ended = Rc::new(Cell::new(false));
        let ended = Rc::clone(&has_ended);
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                // A check of the endpoint opens a connection and sends nothing.
                let Some(request) = read_request(&mut stream).await else { continue };
                stream.write_all(text.replace("{id}", &request).as_bytes()).await.unwrap();
                break;
            }
            ended.set(true);
        });
        let entry = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"z1","version":"v1","slots":8,
            "state":"ready","cold-left-ms":0,"sequence":1}}"#
        );
        site.store.put("servers", id, &entry);
        Self { has_ended }
    }
}

/// Reads a whole request and returns its id.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    loop {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&request).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length = header("content-length: ").and_then(|length| length.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return header("attempt-id: ").map(str::to_owned);
        }
    }
}
