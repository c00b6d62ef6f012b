//! HTTP server of the operator port.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oxhttp::ListeningServer;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use oxhttp::model::header::CONTENT_TYPE;
use serde_json::Value;
use serde_json::json;

use super::MetricsHandle;
use crate::events::EventLog;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_CONNECTIONS: usize = 16;

/// Operations of a process that the operator port exposes.
pub trait OperatorService: Send + Sync + 'static {
    /// Returns the status of the process as JSON.
    fn status(&self) -> Value;

    /// Returns `true` if the process accepts work.
    fn is_ready(&self) -> bool;

    /// Starts a graceful shutdown.
    fn drain(&self);
}

/// HTTP server of the operator port, which runs until the process ends.
pub struct OperatorPort {
    addr: SocketAddr,
    _server: ListeningServer,
}

struct Handler {
    service: Arc<dyn OperatorService>,
    events: EventLog,
    metrics: MetricsHandle,
}

impl OperatorPort {
    /// Binds to an address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(
        addr: SocketAddr,
        service: Arc<dyn OperatorService>,
        events: EventLog,
        metrics: MetricsHandle,
    ) -> io::Result<Self> {
        let handler = Handler { service, events, metrics };
        let server = Server::new(move |req| handler.handle(req))
            .bind(addr)
            .with_global_timeout(REQUEST_TIMEOUT)
            .with_max_concurrent_connections(MAX_CONNECTIONS)
            .spawn()?;
        Ok(Self { addr, _server: server })
    }

    /// Returns the address that was passed to [`OperatorPort::bind`].
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl fmt::Debug for OperatorPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorPort").field("addr", &self.addr).finish_non_exhaustive()
    }
}

impl Handler {
    fn handle(&self, req: &mut Request<Body>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/readyz") if self.service.is_ready() => {
                text_response(StatusCode::OK, "ready\n".to_owned())
            }
            (&Method::GET, "/readyz") => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
            }
            (&Method::GET, "/metrics") => text_response(StatusCode::OK, self.metrics.render()),
            (&Method::GET, "/status") => json_response(StatusCode::OK, &self.service.status()),
            (&Method::GET, "/timeline") => self.timeline(req.uri().query().unwrap_or_default()),
            (&Method::POST, "/drain") => {
                self.service.drain();
                json_response(StatusCode::ACCEPTED, &json!({ "draining": true }))
            }
            _ => json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such resource" })),
        }
    }

    fn timeline(&self, query: &str) -> Response<Body> {
        let params: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let after = match params.get("after").map(|after| after.parse()) {
            None => 0,
            Some(Ok(after)) => after,
            Some(Err(_)) => {
                let error = json!({ "error": "after must be a whole number" });
                return json_response(StatusCode::BAD_REQUEST, &error);
            }
        };
        let (events, next) = self.events.events_from(after, params.get("request").copied());
        let incarnation = format!("{:016x}", self.events.incarnation().0);
        let body = json!({
            "node": &**self.events.node(),
            "incarnation": incarnation,
            "events": events,
            "next": next,
        });
        json_response(StatusCode::OK, &body)
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Body> {
    response(status, "text/plain; charset=utf-8", body)
}

fn json_response(status: StatusCode, body: &Value) -> Response<Body> {
    response(status, "application/json", body.to_string())
}

fn response(status: StatusCode, content_type: &str, body: String) -> Response<Body> {
    let built = Response::builder().status(status).header(CONTENT_TYPE, content_type);
    built.body(Body::from(body)).unwrap_or_else(|_| Response::new(Body::empty()))
}
