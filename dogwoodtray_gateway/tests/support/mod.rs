//! A small site on the loopback interface: endpoints, an in-memory store and processes of both
//! roles.

#![allow(dead_code, unused_imports, reason = "each test file uses some of the items")]

#[path = "../../../platform/tests/standin/addr.rs"]
mod addr;
#[path = "../../../platform/tests/standin/body.rs"]
mod body;
mod crashing;
mod dying;
#[path = "../../../platform/tests/standin/early_end.rs"]
mod early_end;
mod killable;
mod raw_request;
mod scripted;
mod silent_relay;
#[path = "../../../platform/tests/standin/site.rs"]
mod site;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_adapter::SiteDialect;
use dogwoodtray_coord::LimitTolerance;
use dogwoodtray_coord::Name;
use dogwoodtray_gateway::Gateway;
use dogwoodtray_gateway::JobDriver;
use dogwoodtray_gateway::NodeConfig;
use dogwoodtray_gateway::NodeRole;
use dogwoodtray_platform::MemoryObjects;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

pub(crate) use self::addr::free_addr;
use self::body::EventBody;
use self::body::EventSender;
use self::body::events;
use self::body::frame;
use self::body::whole;
pub(crate) use self::crashing::Answer;
pub(crate) use self::crashing::Counts;
pub(crate) use self::crashing::Item;
pub(crate) use self::crashing::block_parts;
pub(crate) use self::crashing::start_crashing;
pub(crate) use self::crashing::start_crashing_with;
pub(crate) use self::crashing::submit_items;
pub(crate) use self::dying::DyingEndpoint;
pub(crate) use self::early_end::EarlyEnd;
pub(crate) use self::killable::KillableDriver;
pub(crate) use self::raw_request::header;
pub(crate) use self::raw_request::post_http10;
pub(crate) use self::raw_request::read_request;
pub(crate) use self::scripted::Scripted;
pub(crate) use self::scripted::ScriptedFleet;
pub(crate) use self::scripted::error;
pub(crate) use self::scripted::head;
pub(crate) use self::scripted::stream;
pub(crate) use self::silent_relay::SilentRelay;
pub(crate) use self::site::HOST;
pub(crate) use self::site::TestOrganization;
pub(crate) use self::site::config;
pub(crate) use self::site::config_moving;
pub(crate) use self::site::config_with_organizations;
pub(crate) use self::site::submission;

/// Maximum wait for a condition, long enough for a busy machine.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const POLL: Duration = Duration::from_millis(5);

/// Behavior of an endpoint that is busy for a whole test.
pub(crate) const BUSY: Behavior = Behavior::Stream { to: 10_000, pause: Duration::from_millis(20) };

/// Places of an endpoint that writes the bytes of its answers itself.
const RAW_SLOTS: u32 = 8;

/// Number of short requests after which a dispatcher expects that places become free soon.
const SHORT_REQUESTS: u32 = 40;

/// Runs a test on a single-threaded runtime, like the processes.
pub(crate) fn run_local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Waits until a condition holds. Panics with `what` if it does not hold in time.
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let waited = timeout(WAIT_TIMEOUT, async {
        while !condition() {
            sleep(POLL).await;
        }
    });
    assert!(waited.await.is_ok(), "condition not met in time: {what}");
}

/// Response of an endpoint to a request.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Streams the events after the `last-event-id` of the request, up to `to`, and ends.
    Stream { to: u64, pause: Duration },
    /// Streams up to this event and disconnects.
    DisconnectAfter { event: u64 },
    /// Streams up to this event, sends part of the next one and disconnects.
    DisconnectWithin { event: u64 },
    /// Responds with a status and the usual headers.
    Status(u16),
    /// Responds with a status and the header by which it states that it did not run the request.
    NotRun(u16),
    /// Responds with the id of another request.
    WrongId,
    /// Responds without a signature.
    Unsigned,
    /// Never responds.
    NoResponse,
    /// Disconnects without a response.
    Disconnect,
}

/// Request that an endpoint received.
#[derive(Clone, Debug)]
pub(crate) struct RecordedRequest {
    pub(crate) id: String,
    pub(crate) path: String,
    pub(crate) last_event_id: Option<u64>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) expected: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Cleared once the response was sent in full or the caller disconnected.
    pub(crate) in_progress: Rc<RefCell<bool>>,
}

/// Endpoint with scripted responses.
#[derive(Clone)]
pub(crate) struct Endpoint {
    pub(crate) id: &'static str,
    pub(crate) service: &'static str,
    pub(crate) slots: u32,
    pub(crate) addr: SocketAddr,
    pub(crate) requests: Rc<RefCell<Vec<RecordedRequest>>>,
    /// Maximum number of requests in progress at the same time.
    pub(crate) max_in_progress: Rc<Cell<usize>>,
    /// Behavior for the next requests.
    pub(crate) queued_behaviors: Rc<RefCell<VecDeque<Behavior>>>,
    /// Behavior when `queued_behaviors` is empty.
    pub(crate) default_behavior: Rc<RefCell<Behavior>>,
    /// Values of the header by which it says in all answers that it is leaving.
    pub(crate) leaving: Rc<RefCell<Vec<&'static str>>>,
    /// Start of its life in Unix milliseconds.
    pub(crate) born: Rc<Cell<u64>>,
    /// Id by which requests have to name it.
    pub(crate) own_id: Rc<Cell<&'static str>>,
    /// Number of requests that were addressed to another endpoint, and refused.
    pub(crate) misdirected: Rc<Cell<usize>>,
}

impl Endpoint {
    pub(crate) async fn start(id: &'static str, service: &'static str, slots: u32) -> Self {
        let listener = TcpListener::bind(free_addr()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let default_behavior = Behavior::Stream { to: 3, pause: Duration::ZERO };
        let endpoint = Self {
            id,
            service,
            slots,
            addr,
            requests: Rc::default(),
            max_in_progress: Rc::default(),
            queued_behaviors: Rc::default(),
            default_behavior: Rc::new(RefCell::new(default_behavior)),
            leaving: Rc::default(),
            born: Rc::new(Cell::new(1)),
            own_id: Rc::new(Cell::new(id)),
            misdirected: Rc::default(),
        };
        let this = endpoint.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let this = this.clone();
                spawn_local(async move {
                    let service = service_fn(|req| {
                        let this = this.clone();
                        async move {
                            let mut answer = this.serve(req).await?;
                            for value in this.leaving.borrow().iter() {
                                let value = value.parse().unwrap();
                                answer.headers_mut().append("server-leaving", value);
                            }
                            Ok::<_, Box<dyn std::error::Error + Send + Sync>>(answer)
                        }
                    });
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        endpoint
    }

    /// Returns the entry of the endpoint in the store.
    pub(crate) fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"z1","version":"v1","slots":{},
            "state":"{state}","cold-left-ms":0,"sequence":1,"born":{}}}"#,
            self.service,
            self.addr,
            self.slots,
            self.born.get()
        )
    }

    pub(crate) fn enqueue(&self, behavior: Behavior) {
        self.queued_behaviors.borrow_mut().push_back(behavior);
    }

    pub(crate) fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }

    async fn serve(
        &self,
        req: Request<Incoming>,
    ) -> Result<Response<EventBody>, Box<dyn std::error::Error + Send + Sync>> {
        let (parts, body) = req.into_parts();
        let body = body.collect().await?.to_bytes();
        let text = |name: &str| {
            parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let number = |name: &str| text(name).and_then(|text| text.parse().ok());
        let id = text("attempt-id").unwrap_or_default();
        let behavior = self.queued_behaviors.borrow_mut().pop_front();
        let behavior = behavior.unwrap_or_else(|| self.default_behavior.borrow().clone());
        let expected = text("expect-instance").unwrap_or_default();
        if expected != self.own_id.get() {
            self.misdirected.set(self.misdirected.get() + 1);
            let refusal = Response::builder().status(StatusCode::MISDIRECTED_REQUEST);
            return Ok(refusal.body(whole(String::new())).unwrap());
        }
        if let Behavior::NotRun(status) = behavior {
            let refusal = Response::builder().status(status).header("not-executed", "1");
            return Ok(refusal.body(whole("".to_owned())).unwrap());
        }
        let in_progress = Rc::new(RefCell::new(true));
        self.requests.borrow_mut().push(RecordedRequest {
            id: id.clone(),
            path: parts.uri.to_string(),
            last_event_id: number("last-event-id"),
            deadline_ms: number("deadline-ms"),
            expected,
            headers: parts.headers.clone(),
            body,
            in_progress: Rc::clone(&in_progress),
        });
        let in_progress_count =
            self.requests.borrow().iter().filter(|request| *request.in_progress.borrow()).count();
        self.max_in_progress.set(self.max_in_progress.get().max(in_progress_count));
        let head = |status: u16| {
            Response::builder()
                .status(status)
                .header("attempt-id", id.as_str())
                .header("server-stamp", "s1")
        };
        let from = number("last-event-id").unwrap_or(0) + 1;
        let (to, pause, end) = match behavior {
            Behavior::Stream { to, pause } => (to, pause, StreamEnd::Complete),
            Behavior::DisconnectAfter { event } => (event, Duration::ZERO, StreamEnd::Disconnect),
            Behavior::DisconnectWithin { event } => {
                (event, Duration::ZERO, StreamEnd::PartialEvent)
            }
            Behavior::Status(status) => {
                return Ok(head(status).body(whole("status".to_owned())).unwrap());
            }
            Behavior::WrongId => {
                let wrong_id = Response::builder().header("attempt-id", "other");
                return Ok(wrong_id
                    .header("server-stamp", "s2")
                    .body(whole("other".to_owned()))
                    .unwrap());
            }
            Behavior::Unsigned => {
                let unsigned = Response::builder().header("attempt-id", id.as_str());
                return Ok(unsigned.body(whole("unsigned".to_owned())).unwrap());
            }
            Behavior::NoResponse => std::future::pending().await,
            Behavior::Disconnect => return Err("closed".into()),
            Behavior::NotRun(_) => unreachable!("handled above"),
        };
        let (tx, body) = events();
        spawn_local(async move {
            send_events(tx, from, to, pause, end).await;
            *in_progress.borrow_mut() = false;
        });
        Ok(head(200).body(body).unwrap())
    }
}

/// How a stream of events ends.
#[derive(Clone, Copy)]
enum StreamEnd {
    Complete,
    Disconnect,
    PartialEvent,
}

async fn send_events(tx: EventSender, from: u64, to: u64, pause: Duration, end: StreamEnd) {
    for event in from..=to {
        sleep(pause).await;
        let text = format!("id: {event}\ndata: e{event}\n\n");
        if tx.send(frame(text)).await.is_err() {
            return;
        }
    }
    if matches!(end, StreamEnd::PartialEvent) {
        let text = format!("id: {}\nda", to + 1);
        let _ = tx.send(frame(text)).await;
        sleep(Duration::from_millis(20)).await;
    }
    match end {
        // The frames before the error must be sent first.
        StreamEnd::Disconnect | StreamEnd::PartialEvent => {
            sleep(Duration::from_millis(20)).await;
            let _ = tx.send(Err(std::io::Error::other("broken"))).await;
        }
        // The body ends when the sender is dropped.
        StreamEnd::Complete => {}
    }
}

/// Site with a store and any number of processes. Its gateway serves at `caller_addr`.
pub(crate) struct Site {
    pub(crate) store: MemoryObjects,
    pub(crate) caller_addr: SocketAddr,
    pub(crate) admin_addr: SocketAddr,
    /// Bound on the age of the configuration at all processes that are started.
    pub(crate) revocation: Option<Duration>,
}

/// Processes of a site, which stop when this value is dropped.
pub(crate) struct RunningProcesses {
    _driver: JobDriver,
    _gateway: Gateway,
}

/// Response that a caller received.
#[derive(Debug)]
pub(crate) struct TestResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether the body ended without an error.
    pub(crate) complete: bool,
}

impl Site {
    /// Creates a site whose configuration has one route of each kind.
    pub(crate) fn new() -> Self {
        let store = MemoryObjects::new();
        store.put("config", "main", &config(1));
        Self { store, caller_addr: free_addr(), admin_addr: free_addr(), revocation: None }
    }

    /// Creates a site and starts one endpoint, a driver and a gateway.
    pub(crate) async fn with_processes(
        service: &'static str,
        slots: u32,
    ) -> (Self, Endpoint, RunningProcesses) {
        let site = Self::new();
        let endpoint = site.add_endpoint("e1", service, slots).await;
        let driver = site.start_driver("d1").await;
        let gateway = site.start_gateway().await;
        (site, endpoint, RunningProcesses { _driver: driver, _gateway: gateway })
    }

    /// Starts an endpoint and registers it.
    pub(crate) async fn add_endpoint(
        &self,
        id: &'static str,
        service: &'static str,
        slots: u32,
    ) -> Endpoint {
        let endpoint = Endpoint::start(id, service, slots).await;
        self.register(&endpoint);
        endpoint
    }

    pub(crate) fn register(&self, endpoint: &Endpoint) {
        self.store.put("servers", endpoint.id, &endpoint.entry("ready"));
    }

    /// Registers an endpoint that writes the bytes of its answers itself.
    pub(crate) fn register_raw(&self, id: &str, service: &str, addr: SocketAddr) {
        self.store.put("servers", id, &raw_entry(service, addr, RAW_SLOTS));
    }

    /// Sends short requests to the only endpoint of a route, and makes it busy after them. The dispatcher
    /// then expects a place soon, and queues a request that finds none.
    pub(crate) async fn make_busy(&self, path: &str, endpoint: &Endpoint) {
        let short = Behavior::Stream { to: 2, pause: Duration::ZERO };
        *endpoint.default_behavior.borrow_mut() = short;
        for number in 0..SHORT_REQUESTS {
            self.post(path, &format!("w{number}"), "slip").await;
        }
        *endpoint.default_behavior.borrow_mut() = BUSY;
    }

    pub(crate) async fn start_driver(&self, node: &str) -> JobDriver {
        self.start_driver_on(node, self.store.clone()).await
    }

    /// Starts a driver with its own handle to the store.
    pub(crate) async fn start_driver_on(&self, node: &str, store: MemoryObjects) -> JobDriver {
        let mut cfg = node_config(node, NodeRole::Driver);
        cfg.revocation = self.revocation;
        let store = Arc::new(store);
        JobDriver::bind(cfg, Arc::new(SiteDialect::new()), store).await.unwrap()
    }

    /// Puts a relay in front of a process, and waits until it has this number of connections.
    pub(crate) async fn relay_to(&self, node: &str, connections: u32) -> SilentRelay {
        let known = || self.store.spec("nodes", node).is_some();
        wait_until("the process is registered", known).await;
        let spec = self.store.spec("nodes", node).unwrap();
        let mut spec: Value = serde_json::from_str(&spec).unwrap();
        let addr = spec["address"].as_str().unwrap().parse().unwrap();
        let relay = SilentRelay::open(addr).await;
        spec["address"] = relay.addr.to_string().into();
        self.store.put("nodes", node, &spec.to_string());
        wait_until("all others use the relay", || relay.opened.get() == connections).await;
        relay
    }

    /// Starts a gateway and waits until it is ready.
    pub(crate) async fn start_gateway(&self) -> Gateway {
        self.start_gateway_on(self.store.clone()).await
    }

    /// Starts a gateway with its own handle to the store, and waits until it is ready.
    pub(crate) async fn start_gateway_on(&self, store: MemoryObjects) -> Gateway {
        let mut cfg = node_config("g1", NodeRole::Gateway);
        cfg.revocation = self.revocation;
        start_configured_gateway(cfg, self.caller_addr, self.admin_addr, store).await
    }

    /// Starts a gateway that may buffer this number of bytes.
    pub(crate) async fn start_gateway_with_buffers(&self, bytes: usize) -> Gateway {
        let mut cfg = node_config("g1", NodeRole::Gateway);
        cfg.buffer_bytes = bytes;
        start_configured_gateway(cfg, self.caller_addr, self.admin_addr, self.store.clone()).await
    }

    /// Starts a further gateway. Returns the address at which it serves callers.
    pub(crate) async fn start_other_gateway(&self, node: &str) -> (SocketAddr, Gateway) {
        let mut cfg = node_config(node, NodeRole::Gateway);
        cfg.revocation = self.revocation;
        let caller_addr = free_addr();
        let gateway = self.start_configured_gateway(cfg, caller_addr).await;
        (caller_addr, gateway)
    }

    /// Starts a further gateway with these settings.
    pub(crate) async fn start_configured_gateway(
        &self,
        cfg: NodeConfig,
        caller_addr: SocketAddr,
    ) -> Gateway {
        start_configured_gateway(cfg, caller_addr, free_addr(), self.store.clone()).await
    }

    /// Starts a gateway that can reach the gateway `g1`, but neither the driver `d1` nor the store.
    pub(crate) async fn start_isolated_gateway(&self) -> IsolatedGateway {
        let store = MemoryObjects::new();
        store.put("config", "main", &self.store.spec("config", "main").unwrap());
        let known = || self.store.spec("nodes", "g1").is_some();
        wait_until("the other gateway is registered", known).await;
        store.put("nodes", "g1", &self.store.spec("nodes", "g1").unwrap());
        let unused_addr = free_addr();
        let driver = format!(r#"{{"role":"driver","address":"{unused_addr}","incarnation":1}}"#);
        store.put("nodes", "d1", &driver);
        let (caller_addr, admin_addr) = (free_addr(), free_addr());
        let mut cfg = node_config("g2", NodeRole::Gateway);
        cfg.revocation = self.revocation;
        let gateway = start_configured_gateway(cfg, caller_addr, admin_addr, store.clone()).await;
        store.set_down(true);
        IsolatedGateway { caller_addr, store, _gateway: gateway }
    }

    pub(crate) async fn post(&self, path: &str, id: &str, body: &str) -> TestResponse {
        self.post_to(self.caller_addr, path, id, body).await
    }

    pub(crate) async fn post_to(
        &self,
        to: SocketAddr,
        path: &str,
        id: &str,
        body: &str,
    ) -> TestResponse {
        let req = Request::post(path)
            .header("host", HOST)
            .header("attempt-id", id)
            .header("deadline-ms", "4000")
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        exchange(to, req).await
    }

    /// Sends a request with a key.
    pub(crate) async fn post_keyed(&self, path: &str, id: &str, key: &str) -> TestResponse {
        self.post_keyed_to(self.caller_addr, path, id, key, "slip").await
    }

    pub(crate) async fn post_keyed_to(
        &self,
        to: SocketAddr,
        path: &str,
        id: &str,
        key: &str,
        body: &str,
    ) -> TestResponse {
        let req = keyed(Method::POST, path, key)
            .header("attempt-id", id)
            .header("deadline-ms", "4000")
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        exchange(to, req).await
    }

    /// Sends a request without a body and with a key, such as a read of a job.
    pub(crate) async fn call_keyed(&self, method: Method, path: &str, key: &str) -> TestResponse {
        exchange(self.caller_addr, keyed(method, path, key).body(Full::default()).unwrap()).await
    }

    /// Sends a request with these parts in its prompt.
    pub(crate) async fn post_prompt(
        &self,
        path: &str,
        id: &str,
        parts: &str,
        body: &str,
    ) -> TestResponse {
        self.post_prompt_to(self.caller_addr, path, id, parts, body).await
    }

    pub(crate) async fn post_prompt_to(
        &self,
        to: SocketAddr,
        path: &str,
        id: &str,
        parts: &str,
        body: &str,
    ) -> TestResponse {
        let req = Request::post(path)
            .header("host", HOST)
            .header("attempt-id", id)
            .header("deadline-ms", "4000")
            .header("prompt-prefix", parts)
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        exchange(to, req).await
    }

    pub(crate) async fn get(&self, path: &str) -> TestResponse {
        get(self.caller_addr, path).await
    }

    pub(crate) async fn delete(&self, path: &str) -> TestResponse {
        let req = Request::delete(path).header("host", HOST).body(Full::default()).unwrap();
        exchange(self.caller_addr, req).await
    }
}

/// Sends a request with a body, these headers and a key, if any.
pub(crate) async fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    key: Option<&str>,
    body: &str,
) -> TestResponse {
    let mut req = Request::builder().method(method).uri(path).header("host", HOST);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    exchange(to, req.body(Full::new(Bytes::from(body.to_owned()))).unwrap()).await
}

fn keyed(method: Method, path: &str, key: &str) -> hyper::http::request::Builder {
    let credentials = format!("Bearer {key}");
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("authorization", credentials)
}

/// Returns the entry of an endpoint in the store.
fn raw_entry(service: &str, addr: SocketAddr, slots: u32) -> String {
    format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"z1","version":"v1","slots":{slots},
        "state":"ready","cold-left-ms":0,"sequence":1}}"#
    )
}

/// Gateway that can reach other gateways only.
pub(crate) struct IsolatedGateway {
    pub(crate) caller_addr: SocketAddr,
    /// Its own store.
    pub(crate) store: MemoryObjects,
    _gateway: Gateway,
}

async fn start_configured_gateway(
    cfg: NodeConfig,
    caller_addr: SocketAddr,
    admin_addr: SocketAddr,
    store: MemoryObjects,
) -> Gateway {
    let dialect = Arc::new(SiteDialect::new());
    let gateway =
        Gateway::bind(cfg, caller_addr, admin_addr, dialect, Arc::new(store)).await.unwrap();
    let ready = timeout(WAIT_TIMEOUT, async {
        while get(admin_addr, "/api/ready").await.status != StatusCode::OK {
            sleep(POLL).await;
        }
    });
    assert!(ready.await.is_ok(), "the gateway is not ready in time");
    gateway
}

async fn get(addr: SocketAddr, path: &str) -> TestResponse {
    let req = Request::get(path).header("host", HOST).body(Full::default()).unwrap();
    exchange(addr, req).await
}

/// Sends a request on a new connection and reads the response.
pub(crate) async fn exchange(addr: SocketAddr, req: Request<Full<Bytes>>) -> TestResponse {
    let failed = || TestResponse {
        status: StatusCode::IM_A_TEAPOT,
        headers: HeaderMap::new(),
        body: String::new(),
        complete: false,
    };
    let Ok(stream) = TcpStream::connect(addr).await else { return failed() };
    let Ok((mut sender, connection)) = client::handshake(TokioIo::new(stream)).await else {
        return failed();
    };
    spawn_local(async move {
        let _ = connection.await;
    });
    let Ok(response) = sender.send_request(req).await else { return failed() };
    let (parts, mut body) = response.into_parts();
    let mut text = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => complete = false,
        }
    }
    let body = String::from_utf8(text).unwrap();
    TestResponse { status: parts.status, headers: parts.headers, body, complete }
}

pub(crate) fn node_config(node: &str, role: NodeRole) -> NodeConfig {
    NodeConfig {
        node: Name::from(node),
        role,
        data_centre: Name::from("z1"),
        peer: free_addr(),
        admin: free_addr(),
        grace: Duration::from_secs(8),
        results_kept: Duration::from_secs(120),
        buffer_bytes: 32 << 20,
        revocation: None,
        config_apply: Duration::from_secs(3),
        limit_tolerance: LimitTolerance { slack: 20.0, ..LimitTolerance::default() },
    }
}
