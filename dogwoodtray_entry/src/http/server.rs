//! HTTP server for callers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use dogwoodtray_http::CallerStream;
use dogwoodtray_http::FlushBeforeError;
use dogwoodtray_runtime::catalogue;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::batches;
use super::chat;
use super::error::ApiError;
use super::error::bytes_response;
use super::limits::Permit;
use super::models;
use super::request::CallerHeaders;
use super::request::SharedState;
use super::request::read_body;
use super::stream::ResponseBody;

const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP server for callers, stopped on drop.
#[derive(Debug)]
pub(crate) struct CallerServer {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl CallerServer {
    pub(crate) async fn bind(addr: SocketAddr, shared: SharedState) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(accept_connections(listener, shared));
        Ok(Self { addr, task })
    }

    pub(crate) const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(listener: TcpListener, shared: SharedState) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails while no file descriptor is free.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        tokio::spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: SharedState) {
    // Token events are small, and Nagle's algorithm would delay them.
    let _ = stream.set_nodelay(true);
    let (stream, versions) = CallerStream::new(stream);
    let service = service_fn(move |req: Request<Incoming>| {
        versions.on_request(req.version());
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(handle_request(shared, req).await.map(FlushBeforeError::new)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // Connection errors are caused by the caller; the guards end the requests of the connection.
    let _ = connection.await;
}

async fn handle_request(shared: SharedState, req: Request<Incoming>) -> Response<ResponseBody> {
    let headers = match CallerHeaders::parse(&shared, req.headers()) {
        Ok(headers) => headers,
        Err(err) => return err.response(""),
    };
    let id = headers.request_id.clone();
    let mut response = match route(&shared, headers, req).await {
        Ok(response) => {
            shared.events.emit(&catalogue::REQUEST_ANSWERED, Some(&id), &[]);
            response
        }
        Err(err) => {
            let fields: [(&str, &dyn std::fmt::Display); 1] = [("code", &err.code)];
            shared.events.emit(&catalogue::REQUEST_REFUSED, Some(&id), &fields);
            err.response(&id)
        }
    };
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("x-request-id", value);
    }
    if shared.leaving.load(Ordering::Relaxed) {
        // Makes the caller open its next connection, which the balancer sends to another entry.
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    response
}

async fn route(
    shared: &SharedState,
    headers: CallerHeaders,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, ApiError> {
    let path = req.uri().path().to_owned();
    let method = req.method().clone();
    let time_limit = headers.deadline.unwrap_or(shared.settings.default_timeout);
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (&method, segments.as_slice()) {
        (&Method::GET, ["healthz"]) => Ok(plain_response(StatusCode::OK, "ok\n")),
        (&Method::GET, ["readyz"]) if shared.is_ready() => {
            Ok(plain_response(StatusCode::OK, "ready\n"))
        }
        (&Method::GET, ["readyz"]) => {
            Ok(plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"))
        }
        (&Method::GET, ["v1", "models"]) => Ok(models::list(shared)),
        (&Method::POST, ["v1", "chat", "completions"]) => {
            check_accepting(shared)?;
            let permit = acquire_permit(shared, &headers)?;
            let body =
                read_body(req.into_body(), shared.settings.max_body_bytes, time_limit).await?;
            let mut response = chat::chat(Arc::clone(shared), headers, body).await?;
            if let ResponseBody::Tokens(stream) = response.body_mut() {
                stream.hold_permit(permit);
            }
            Ok(response)
        }
        (&Method::POST, ["v1", "batches"]) => {
            check_accepting(shared)?;
            let _permit = acquire_permit(shared, &headers)?;
            let body =
                read_body(req.into_body(), shared.settings.max_job_bytes, time_limit).await?;
            batches::create(Arc::clone(shared), headers, body).await
        }
        (&Method::GET, ["v1", "batches", job]) => {
            batches::status(Arc::clone(shared), headers, job).await
        }
        (&Method::GET, ["v1", "batches", job, "results"]) => {
            batches::results(Arc::clone(shared), headers, job).await
        }
        (&Method::POST, ["v1", "batches", job, "cancel"]) => {
            batches::cancel(Arc::clone(shared), headers, job).await
        }
        (_, ["v1", "services", name, ..]) => {
            check_accepting(shared)?;
            let _permit = acquire_permit(shared, &headers)?;
            let name = (*name).to_owned();
            let endpoint_path = service_path(req.uri(), &name);
            let body =
                read_body(req.into_body(), shared.settings.max_body_bytes, time_limit).await?;
            let shared = Arc::clone(shared);
            chat::service(shared, headers, method.as_str(), &name, &endpoint_path, body).await
        }
        _ => Err(ApiError::not_found("no_such_resource", format!("{method} {path}"))),
    }
}

fn acquire_permit(shared: &SharedState, headers: &CallerHeaders) -> Result<Permit, ApiError> {
    shared.limits.admit(&headers.organization, Instant::now())
}

/// Checks that the entry accepts requests.
///
/// During a drain the balancer sends no new connections, but requests on open connections are still
/// accepted.
fn check_accepting(shared: &SharedState) -> Result<(), ApiError> {
    if shared.is_ready() || shared.leaving.load(Ordering::Relaxed) {
        return Ok(());
    }
    Err(ApiError::unavailable("not_ready", "the configuration is not known yet"))
}

fn service_path(uri: &hyper::Uri, name: &str) -> String {
    let full = uri.path_and_query().map_or("/", |path| path.as_str());
    let prefix = format!("/v1/services/{name}");
    let endpoint_path = full.strip_prefix(prefix.as_str()).unwrap_or("/");
    if endpoint_path.starts_with('/') {
        endpoint_path.to_owned()
    } else {
        format!("/{endpoint_path}")
    }
}

fn plain_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    bytes_response(status, "text/plain; charset=utf-8", Bytes::from_static(text.as_bytes()))
}
