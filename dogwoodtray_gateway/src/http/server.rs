//! HTTP servers for callers, and for readiness checks and metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_http::CallerStream;
use dogwoodtray_http::FlushBeforeError;
use dogwoodtray_runtime::MetricsHandle;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use super::attempt::Attempts;
use super::body::ResponseBody;
use super::job_calls;
use super::job_calls::JobAccess;
use super::jobs;
use super::online;
use super::request_body::RequestBodyError;
use super::request_body::read_body;
use super::response;
use super::response::GatewayResponse;
use super::trace::Trace;
use crate::caller::organization_of;
use crate::caller::set_organization;
use crate::model::Organization;
use crate::model::Route;
use crate::model::RouteKind;
use crate::model::SiteConfig;
use crate::node::Node;
use crate::request::EndpointRequest;
use crate::request::strip_hop_by_hop_headers;
use crate::routing::RouteKey;
use crate::routing::RoutedService;

/// Factor on the configured idle timeout after which a connection is closed. Callers keep
/// connections idle for less than the configured timeout, and a change of it must not close
/// connections that they still use.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Delay after a failed `accept`, which occurs when the process runs out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Minimum size of the read buffer of a connection. A request head must fit into it.
const MIN_READ_BUFFER_BYTES: usize = 16 * 1024;

/// Time in which the first request has to arrive on a connection that begins during a shutdown.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Timeout of a request that states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that the submission of a job takes at most while the store replies. One that is cut comes
/// again and is accepted once.
const JOB_SUBMIT_TIME: Duration = Duration::from_secs(2);

/// Copies of the body of a request that exist at the same time: while it is read, and to be sent again.
const REQUEST_COPIES: usize = 2;

/// Copies of a submission that exist at the same time: its body, the items, the encoded objects, and what
/// is sent to the store.
const SUBMISSION_COPIES: usize = 5;

/// `Retry-After` while the process has no usable configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of an organization whose name cannot be sent. A new configuration may mend it.
const UNSENDABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// HTTP server for callers.
#[derive(Debug)]
pub(crate) struct CallerServer {
    open: Rc<Cell<usize>>,
    shutdown_tx: watch::Sender<bool>,
}

impl CallerServer {
    /// Binds the address for callers and starts to serve it.
    pub(crate) async fn bind(node: &Rc<Node>, addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let open = Rc::new(Cell::new(0));
        let (shutdown_tx, shutdown_rx) = watch::channel(false);
        let node = Rc::clone(node);
        let count = Rc::clone(&open);
        serve_listener(listener, move |stream| {
            let guard = ConnectionGuard::new(&count);
            let (node, shutdown_rx) = (Rc::clone(&node), shutdown_rx.clone());
            async move {
                serve_connection(node, stream, shutdown_rx).await;
                drop(guard);
            }
        });
        Ok(Self { open, shutdown_tx })
    }

    /// Closes idle connections, and every other one after its current response.
    pub(crate) fn begin_shutdown(&self) {
        self.shutdown_tx.send_replace(true);
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.get()
    }
}

/// Starts to accept connections on a listener, and serves each in its own task.
fn serve_listener<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                metrics::counter!("dogwoodtray_accept_failures_total").increment(1);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            spawn_local(serve(stream));
        }
    });
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    open: Rc<Cell<usize>>,
}

impl ConnectionGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self { open: Rc::clone(open) }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

async fn serve_connection(
    node: Rc<Node>,
    stream: TcpStream,
    mut shutdown_rx: watch::Receiver<bool>,
) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a connection: {err}");
        return;
    }
    let limits = node.directory.borrow().config().map(|config| config.limits).unwrap_or_default();
    let (stream, versions) = CallerStream::new(stream);
    let service = service_fn(|req| {
        versions.on_request(req.version());
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(handle(&node, req).await.map(FlushBeforeError::new)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * IDLE_TIMEOUT_FACTOR)
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut closing = *shutdown_rx.borrow();
    if closing {
        // A connection that is closed unread would leave its caller without an answer.
        let served = timeout(FIRST_REQUEST_TIME, connection.as_mut()).await;
        if served.is_ok() {
            return;
        }
        connection.as_mut().graceful_shutdown();
    }
    loop {
        tokio::select! {
            // Errors are caused by the caller or have been logged with their request.
            _ = connection.as_mut() => return,
            changed = shutdown_rx.changed(), if !closing => {
                closing = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn handle(node: &Rc<Node>, req: Request<Incoming>) -> GatewayResponse {
    let mut response = route_request(node, req).await;
    if node.draining.get() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Dispatches a request by its path.
async fn route_request(node: &Rc<Node>, req: Request<Incoming>) -> GatewayResponse {
    let arrived = node.now();
    let (parts, body) = req.into_parts();
    let names = node.dialect.names();
    let path = parts.uri.path().to_owned();
    let Some(config) = node.directory.borrow().config().cloned() else {
        return response::refused(STARTING_RETRY_AFTER);
    };
    if let Some(job) = path.strip_prefix(names.job_path) {
        return job_calls::handle(node, &config, &parts, job).await;
    }
    if let Some(job) = path.strip_prefix(names.item_path) {
        return job_calls::handle_item(node, &config, &parts, job).await;
    }
    let host = header_text(&parts.headers, &header::HOST).unwrap_or_default();
    let Some(route) = config.route(host, &path) else {
        return response::plain(StatusCode::NOT_FOUND, "no such route\n");
    };
    let uploader = match identify_caller(node, &config, route, &parts.headers) {
        Ok(uploader) => uploader,
        Err(response) => return *response,
    };
    if let Err(response) = organization_header(uploader.as_deref()) {
        return *response;
    }
    let Some(id) = header_text(&parts.headers, &names.request_id).map(Name::from) else {
        return response::plain(StatusCode::BAD_REQUEST, "the request has no id\n");
    };
    let time_limit = header_text(&parts.headers, &names.deadline_ms)
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    let deadline = arrived + time_limit.min(route.timeout);
    let ends_by = match route.kind {
        RouteKind::Batch(_) => deadline.min(arrived + JOB_SUBMIT_TIME),
        _ => deadline,
    };
    let trace = || Trace::new(node, &id, &route.name, config.generation.0, arrived);
    if !node.drain.takes(node.now(), Some(&route.name), ends_by) {
        return refuse_stopping(trace());
    }
    let copies = match route.kind {
        RouteKind::Batch(_) => SUBMISSION_COPIES,
        _ => REQUEST_COPIES,
    };
    let buffers = node.buffers_of(&config, uploader.as_deref());
    let mut lease = buffers.lease();
    let body = read_body(body, config.limits.max_body_bytes, copies, &mut lease);
    let body = timeout(deadline - node.now(), body).await;
    let body = match body.unwrap_or(Err(RequestBodyError::TooLate)) {
        Ok(body) => body,
        Err(err) => {
            log::debug!("body of request {id} not read: {err}");
            return err.into_response();
        }
    };
    // The body may have taken long to arrive.
    if !node.drain.takes(node.now(), Some(&route.name), ends_by) {
        return refuse_stopping(trace());
    }
    // The configuration may have changed or become too old meanwhile.
    let current = node.directory.borrow().config().map_or_else(|| Rc::clone(&config), Rc::clone);
    let current_route = current.route(host, &path).unwrap_or(route);
    let organization = match identify_caller(node, &current, current_route, &parts.headers) {
        Ok(organization) => organization,
        Err(response) => return *response,
    };
    let organization_header = match organization_header(organization.as_deref()) {
        Ok(header) => header,
        Err(response) => return *response,
    };
    if let RouteKind::Batch(terms) = route.kind {
        let access = JobAccess::new(node, &current, &parts.headers);
        let needs_key = !current.organizations().is_empty() && !current_route.anonymous;
        let acceptance = match access.caller.accept(needs_key) {
            Ok(acceptance) => acceptance,
            Err(reason) => return access.refuse(node, &id, reason),
        };
        let target = (route, organization.as_deref());
        let response = jobs::submit(node, target, terms, (&id, acceptance), &body).await;
        node.drain.record(node.now(), &route.name, node.now() - arrived);
        return response;
    }
    let Some(name) = node.routing.select(route) else {
        return response::refused(STARTING_RETRY_AFTER);
    };
    let service = RoutedService { key: RouteKey::new(host, &path), name };
    let trace = trace();
    let mut headers = parts.headers;
    strip_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    if !config.organizations().is_empty() || !current.organizations().is_empty() {
        set_organization(&mut headers, &names.organization, organization_header);
    }
    let Some(path_and_query) = parts.uri.path_and_query().cloned() else {
        return response::plain(StatusCode::BAD_REQUEST, "the request has no path\n");
    };
    let endpoint_request = EndpointRequest { method: parts.method, path_and_query, headers, body };
    let attempts = Attempts::new(
        Rc::clone(node),
        (route.clone(), organization),
        service,
        id,
        (endpoint_request, buffers, lease),
        (arrived, deadline),
        trace,
    );
    online::serve(attempts).await
}

/// Returns the organization of a caller, or `None` if the request needs no key. Returns the response
/// if the request is not accepted, which includes a configuration whose age is not proven to be
/// within the bound.
fn identify_caller(
    node: &Node,
    config: &SiteConfig,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Organization>>, Box<GatewayResponse>> {
    if config.organizations().is_empty() || route.anonymous {
        return Ok(None);
    }
    // Also for an unknown key, as a newer configuration may name it.
    if let Err(retry_after) = node.config_age.verify() {
        return Err(Box::new(response::refused(retry_after)));
    }
    match organization_of(config, headers) {
        Ok(organization) => Ok(Some(Arc::clone(organization))),
        Err(err) => {
            node.on_key_rejected(err, config.generation.0);
            Err(Box::new(response::unauthorized()))
        }
    }
}

/// Returns the header that tells an endpoint the organization of a caller. Returns the response if its
/// name cannot be sent, as the request must not run without it.
fn organization_header(
    organization: Option<&Organization>,
) -> Result<Option<HeaderValue>, Box<GatewayResponse>> {
    let Some(organization) = organization else { return Ok(None) };
    if let Some(header) = Organization::name_header(&organization.name) {
        return Ok(Some(header));
    }
    metrics::counter!("dogwoodtray_unsendable_organizations_total").increment(1);
    Err(Box::new(response::refused(UNSENDABLE_RETRY_AFTER)))
}

/// Returns the response to a request that may not end before this process stops.
fn refuse_stopping(mut trace: Trace) -> GatewayResponse {
    let response = response::stopping();
    trace.on_status(response.status().as_u16());
    trace.finish("stopping");
    response
}

pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

pub(super) fn query_param(parts: &Parts, name: &str) -> Option<String> {
    parts.uri.query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.to_owned())
    })
}

/// Binds an address and starts to serve readiness checks and metrics there.
pub(crate) async fn serve_admin(
    node: &Rc<Node>,
    addr: SocketAddr,
    metrics: MetricsHandle,
) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    let node = Rc::clone(node);
    serve_listener(listener, move |stream| {
        let (node, metrics) = (Rc::clone(&node), metrics.clone());
        async move {
            let service = service_fn(|req: Request<Incoming>| {
                let response = admin_response(&node, &metrics, req.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            // Clients repeat failed checks.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        }
    });
    Ok(())
}

/// Returns the response to a readiness check or a request for metrics.
fn admin_response(node: &Node, metrics: &MetricsHandle, path: &str) -> GatewayResponse {
    if path == node.dialect.names().ready_path {
        let directory = node.directory.borrow();
        let ready = !node.draining.get() && directory.config().is_some() && directory.is_listed();
        return if ready {
            response::plain(StatusCode::OK, "ready\n")
        } else {
            response::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        };
    }
    match path {
        "/metrics" => {
            hyper::Response::new(ResponseBody::full(metrics.render().into_bytes().into()))
        }
        _ => response::plain(StatusCode::NOT_FOUND, "no such page\n"),
    }
}
