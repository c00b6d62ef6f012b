//! Endpoint whose process ends in the middle of its first answer, without a reset.

use std::cell::Cell;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::Site;
use super::free_addr;
use super::raw_request::header;
use super::raw_request::read_request;

/// Endpoint that answers one request with a given text, and then closes its listener and the connection.
/// The text has neither a length nor chunks, and `{id}` stands for the id of the request.
pub(crate) struct DyingEndpoint {
    /// Whether the endpoint has answered a request and ended.
    pub(crate) has_ended: Rc<Cell<bool>>,
    /// Whether the endpoint has received a request.
    pub(crate) has_begun: Rc<Cell<bool>>,
    /// Lets the endpoint end, if it was started to wait for that.
    end: Rc<Notify>,
}

impl DyingEndpoint {
    /// Starts an endpoint of a service and registers it under `id`.
    pub(crate) async fn start(site: &Site, id: &str, service: &str, text: String) -> Self {
        let dying = Self::start_waiting(site, id, service, text).await;
        dying.end();
        dying
    }

    /// Lets the endpoint end after its answer.
    pub(crate) fn end(&self) {
        self.end.notify_one();
    }

    /// Starts an endpoint that ends only after a call of `end`.
    pub(crate) async fn start_waiting(site: &Site, id: &str, service: &str, text: String) -> Self {
        let listener = TcpListener::bind(free_addr()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let has_ended = Rc::new(Cell::new(false));
        let ended = Rc::clone(&has_ended);
        let has_begun = Rc::new(Cell::new(false));
        let begun = Rc::clone(&has_begun);
        let end = Rc::new(Notify::new());
        let may_end = Rc::clone(&end);
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                // A check of the endpoint opens a connection and sends nothing.
                let Some(request) = read_request(&mut stream).await else { continue };
                let text = text.replace("{id}", header(&request, "attempt-id"));
                stream.write_all(text.as_bytes()).await.unwrap();
                begun.set(true);
                may_end.notified().await;
                break;
            }
            ended.set(true);
        });
        site.register_raw(id, service, addr);
        Self { has_ended, has_begun, end }
    }
}
