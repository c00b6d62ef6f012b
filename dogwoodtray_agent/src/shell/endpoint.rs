//! HTTP client of the endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Name;
use dogwoodtray_http::AnswerBody;
use dogwoodtray_http::AnswerError;
use dogwoodtray_http::AnswerKind;
use dogwoodtray_http::BodyFraming;
use dogwoodtray_http::BodyKind;
use dogwoodtray_http::SendConfig;
use dogwoodtray_http::SendError;
use dogwoodtray_http::send;
use dogwoodtray_runtime::Mailbox;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::http::response::Parts;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time;

use super::EndpointKind;
use super::service::AgentServiceEvent;
use super::sse::TokenCounter;
use crate::core::EndpointEvent;
use crate::core::Work;

/// Maximum size of the head of a response. An endpoint that sends more is treated as broken.
const MAX_HEAD_BYTES: usize = 64 * 1024;

const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Runs exchanges with the endpoint on the tokio runtime.
#[derive(Debug)]
pub(super) struct EndpointClient {
    addr: SocketAddr,
    kind: EndpointKind,
    runtime: Handle,
    client: HttpClient,
    mailbox: Mailbox<AgentServiceEvent>,
    abort_handles: HashMap<AttemptId, oneshot::Sender<()>>,
}

impl EndpointClient {
    pub(super) fn new(
        addr: SocketAddr,
        kind: EndpointKind,
        runtime: Handle,
        mailbox: Mailbox<AgentServiceEvent>,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(HEALTH_TIMEOUT));
        // Each exchange has its own connection. On a kept one, surplus bytes after an answer could be
        // taken for the answer to the next request.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        Self { addr, kind, runtime, client, mailbox, abort_handles: HashMap::new() }
    }

    pub(super) fn forward(&mut self, work: Arc<Work>) {
        let (abort, aborted) = oneshot::channel();
        let attempt = work.attempt;
        self.abort_handles.insert(attempt, abort);
        let forwarded = ForwardedAttempt {
            addr: self.addr,
            kind: self.kind,
            client: self.client.clone(),
            mailbox: self.mailbox.clone(),
            attempt,
        };
        self.runtime.spawn(forwarded.run(work, aborted));
    }

    /// Aborts an exchange. `EndpointEvent::Aborted` follows if it was still running.
    pub(super) fn abort(&mut self, attempt: AttemptId) {
        if let Some(abort) = self.abort_handles.remove(&attempt) {
            let _ = abort.send(());
        }
    }

    /// Drops the abort handle of an exchange that has ended.
    pub(super) fn remove_ended(&mut self, attempt: AttemptId) {
        self.abort_handles.remove(&attempt);
    }

    pub(super) fn check_health(&self) {
        let (addr, kind) = (self.addr, self.kind);
        let client = self.client.clone();
        let mailbox = self.mailbox.clone();
        self.runtime.spawn(async move {
            let up = match kind {
                EndpointKind::Engine => get_ok(&client, format!("http://{addr}/health")).await,
                // Any request to a plain service could have side effects, so only a connection
                // is opened.
                EndpointKind::Service => can_connect(addr).await,
            };
            mailbox.send(AgentServiceEvent::Health(up));
        });
    }
}

async fn can_connect(addr: SocketAddr) -> bool {
    let connect = time::timeout(HEALTH_TIMEOUT, TcpStream::connect(addr));
    matches!(connect.await, Ok(Ok(_)))
}

async fn get_ok(client: &HttpClient, uri: String) -> bool {
    let Ok(req) = Request::get(uri).body(Full::default()) else {
        return false;
    };
    let result = time::timeout(HEALTH_TIMEOUT, client.request(req)).await;
    matches!(result, Ok(Ok(response)) if response.status().is_success())
}

/// Attempt whose exchange with the endpoint runs on the tokio runtime.
struct ForwardedAttempt {
    addr: SocketAddr,
    kind: EndpointKind,
    client: HttpClient,
    mailbox: Mailbox<AgentServiceEvent>,
    attempt: AttemptId,
}

impl ForwardedAttempt {
    async fn run(self, work: Arc<Work>, aborted: oneshot::Receiver<()>) {
        let event = tokio::select! {
            event = self.execute(&work) => event,
            _ = aborted => {
                self.cancel_at_endpoint().await;
                EndpointEvent::Aborted
            }
        };
        self.send_event(event);
    }

    fn send_event(&self, event: EndpointEvent) {
        self.mailbox.send(AgentServiceEvent::Endpoint { attempt: self.attempt, event });
    }

    async fn execute(&self, work: &Work) -> EndpointEvent {
        let Some(req) = self.build_request(work) else {
            return EndpointEvent::ConnectFailed;
        };
        let kind = match self.kind {
            EndpointKind::Engine => AnswerKind::Chat,
            EndpointKind::Service => AnswerKind::Plain,
        };
        let cfg =
            SendConfig { kind, connect_timeout: HEALTH_TIMEOUT, max_head_bytes: MAX_HEAD_BYTES };
        let answer = match send(self.addr, req, cfg).await {
            Ok(answer) => answer,
            Err(SendError::NotSent(_)) => return EndpointEvent::ConnectFailed,
            Err(SendError::Lost(_)) => return EndpointEvent::ConnectionLost,
            Err(err @ SendError::BadStatus(_)) => {
                log::warn!("endpoint {} broke the protocol: {err}", self.addr);
                return EndpointEvent::Truncated;
            }
        };
        let content_type = content_type(&answer.parts);
        let status = answer.parts.status.as_u16();
        self.send_event(EndpointEvent::ResponseHead { status, content_type });
        self.read_body(answer.body).await
    }

    async fn read_body(&self, mut body: AnswerBody) -> EndpointEvent {
        let mut counter = TokenCounter::default();
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(err) => return self.on_broken_off(&err, body.framing()),
            };
            let Ok(data) = frame.into_data() else { continue };
            if body.kind() == BodyKind::Opaque {
                self.send_event(EndpointEvent::Data { data, tokens: 0 });
                continue;
            }
            match counter.push(&data) {
                Ok(Some((data, tokens))) => self.send_event(EndpointEvent::Data { data, tokens }),
                Ok(None) => {}
                Err(err) => {
                    log::warn!("endpoint {} broke the protocol: {err}", self.addr);
                    metrics::counter!("dogwoodtray_endpoint_violations_total").increment(1);
                    return EndpointEvent::ConnectionLost;
                }
            }
        }
        EndpointEvent::ResponseEnd
    }

    fn on_broken_off(&self, err: &AnswerError, framing: BodyFraming) -> EndpointEvent {
        log::info!("answer of {} to attempt {} broke off: {err}", self.addr, self.attempt);
        match err {
            // An endpoint that ended its framing has not crashed.
            AnswerError::Truncated(_) if framing != BodyFraming::Connection => {
                EndpointEvent::Truncated
            }
            _ => EndpointEvent::ConnectionLost,
        }
    }

    fn build_request(&self, work: &Work) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(&*work.method)
            .uri(&*work.path)
            .header(HOST, self.addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header("x-attempt", work.attempt.to_string())
            .header("x-request-id", &*work.request);
        if !work.idempotency_key.is_empty() {
            builder = builder.header("idempotency-key", &*work.idempotency_key);
        }
        if let Some((_, epoch)) = &work.fence {
            builder = builder.header("x-fence", epoch.0);
        }
        builder.body(Full::new(request_body(work))).ok()
    }

    /// Cancels the stream at an engine. A plain service has no such request and only observes the
    /// closed connection.
    async fn cancel_at_endpoint(&self) {
        if self.kind == EndpointKind::Service {
            return;
        }
        let uri = format!("http://{}/v1/cancel/{}", self.addr, self.attempt);
        let Ok(req) = Request::post(uri).body(Full::default()) else { return };
        let _ = time::timeout(CANCEL_TIMEOUT, self.client.request(req)).await;
    }
}

/// Returns the request body. If an earlier attempt generated tokens, adds their number as
/// `resume_from`, so that the engine does not generate them again.
fn request_body(work: &Work) -> Bytes {
    if work.resume_from == 0 {
        return work.body.clone();
    }
    let Ok(mut body) = serde_json::from_slice::<serde_json::Value>(&work.body) else {
        return work.body.clone();
    };
    let Some(fields) = body.as_object_mut() else {
        return work.body.clone();
    };
    fields.insert("resume_from".to_owned(), work.resume_from.into());
    Bytes::from(body.to_string())
}

fn content_type(parts: &Parts) -> Name {
    let value = parts.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    Name::from(value.unwrap_or_default())
}
