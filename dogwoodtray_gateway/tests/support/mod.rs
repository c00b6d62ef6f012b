//! A small site on the loopback: endpoints, a store in memory and processes of both roles.

#![allow(dead_code, reason = "each test file uses part of it")]

#[path = "../../../platform/tests/standin/addr.rs"]
mod addr;
#[path = "../../../platform/tests/standin/body.rs"]
mod body;
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
use dogwoodtray_coord::Name;
use dogwoodtray_gateway::Gateway;
use dogwoodtray_gateway::JobDriver;
use dogwoodtray_gateway::NodeConfig;
use dogwoodtray_gateway::NodeRole;
use dogwoodtray_platform::MemoryObjects;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
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
pub(crate) use self::site::HOST;
pub(crate) use self::site::config;
pub(crate) use self::site::submission;

/// Longest wait for a condition; generous, as the machine may be busy.
const PATIENCE: Duration = Duration::from_secs(20);

const POLL: Duration = Duration::from_millis(5);

/// Runs a test on one thread, as the processes do.
pub(crate) fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Waits for a condition.
pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let waited = timeout(PATIENCE, async {
        while !condition() {
            sleep(POLL).await;
        }
    });
    assert!(waited.await.is_ok(), "not in time: {what}");
}

/// What an endpoint does with its next request.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Streams the events `from..=to` of the request and ends.
    Stream { to: u64, pause: Duration },
    /// Streams up to this event and closes the connection.
    BreakAfter { event: u64 },
    /// Sends part of the event after this one and closes the connection.
    BreakWithin { event: u64 },
    /// Answers with a status and the usual headers.
    Status(u16),
    /// Says that it did not run the request.
    NotRun(u16),
    /// Answers a request of another id.
    Foreign,
    /// Answers without a signature.
    Unsigned,
    /// Never answers.
    Silence,
    /// Closes the connection.
    Close,
}

/// Request as an endpoint saw it.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) path: String,
    pub(crate) last_event_id: Option<u64>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) expected: String,
    pub(crate) body: Bytes,
    /// Set once the answer was sent in full or the caller left.
    pub(crate) open: Rc<RefCell<bool>>,
}

/// Endpoint that does what it is told.
#[derive(Clone)]
pub(crate) struct Endpoint {
    pub(crate) id: &'static str,
    pub(crate) service: &'static str,
    pub(crate) slots: u32,
    pub(crate) addr: SocketAddr,
    pub(crate) runs: Rc<RefCell<Vec<Run>>>,
    /// Most requests that ran at a time.
    pub(crate) most_open: Rc<Cell<usize>>,
    pub(crate) acts: Rc<RefCell<VecDeque<Act>>>,
    /// What it does when `acts` is empty.
    pub(crate) usual: Rc<RefCell<Act>>,
}

impl Endpoint {
    pub(crate) async fn start(id: &'static str, service: &'static str, slots: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let usual = Act::Stream { to: 3, pause: Duration::ZERO };
        let endpoint = Self {
            id,
            service,
            slots,
            addr,
            runs: Rc::default(),
            most_open: Rc::default(),
            acts: Rc::default(),
            usual: Rc::new(RefCell::new(usual)),
        };
        let this = endpoint.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let this = this.clone();
                spawn_local(async move {
                    let service = service_fn(|req| {
                        let this = this.clone();
                        async move { this.serve(req).await }
                    });
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        endpoint
    }

    pub(crate) fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"z1","version":"v1","slots":{},
            "state":"{state}","cold-left-ms":0,"sequence":1}}"#,
            self.service, self.addr, self.slots
        )
    }

    pub(crate) fn then(&self, act: Act) {
        self.acts.borrow_mut().push_back(act);
    }

    pub(crate) fn run_count(&self) -> usize {
        self.runs.borrow().len()
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
        let act = self.acts.borrow_mut().pop_front();
        let act = act.unwrap_or_else(|| self.usual.borrow().clone());
        let expected = text("expect-instance").unwrap_or_default();
        if let Act::NotRun(status) = act {
            let refusal = Response::builder().status(status).header("not-executed", "1");
            return Ok(refusal.body(whole("".to_owned())).unwrap());
        }
        let open = Rc::new(RefCell::new(true));
        self.runs.borrow_mut().push(Run {
            id: id.clone(),
            path: parts.uri.to_string(),
            last_event_id: number("last-event-id"),
            deadline_ms: number("deadline-ms"),
            expected,
            body,
            open: Rc::clone(&open),
        });
        let running = self.runs.borrow().iter().filter(|run| *run.open.borrow()).count();
        self.most_open.set(self.most_open.get().max(running));
        let head = |status: u16| {
            Response::builder()
                .status(status)
                .header("attempt-id", id.as_str())
                .header("server-stamp", "s1")
        };
        let from = number("last-event-id").unwrap_or(0) + 1;
        let (to, pause, tail) = match act {
            Act::Stream { to, pause } => (to, pause, Tail::End),
            Act::BreakAfter { event } => (event, Duration::ZERO, Tail::Break),
            Act::BreakWithin { event } => (event, Duration::ZERO, Tail::Part),
            Act::Status(status) => {
                return Ok(head(status).body(whole("status".to_owned())).unwrap());
            }
            Act::Foreign => {
                let foreign = Response::builder().header("attempt-id", "other");
                return Ok(foreign
                    .header("server-stamp", "s2")
                    .body(whole("other".to_owned()))
                    .unwrap());
            }
            Act::Unsigned => {
                let unsigned = Response::builder().header("attempt-id", id.as_str());
                return Ok(unsigned.body(whole("unsigned".to_owned())).unwrap());
            }
            Act::Silence => std::future::pending().await,
            Act::Close => return Err("closed".into()),
            Act::NotRun(_) => unreachable!("answered above"),
        };
        let (tx, body) = events();
        spawn_local(async move {
            send_events(tx, from, to, pause, tail).await;
            *open.borrow_mut() = false;
        });
        Ok(head(200).body(body).unwrap())
    }
}

#[derive(Clone, Copy)]
enum Tail {
    End,
    Break,
    Part,
}

async fn send_events(tx: EventSender, from: u64, to: u64, pause: Duration, tail: Tail) {
    for event in from..=to {
        sleep(pause).await;
        let text = format!("id: {event}\ndata: e{event}\n\n");
        if tx.send(frame(text)).await.is_err() {
            return;
        }
    }
    if matches!(tail, Tail::Part) {
        let text = format!("id: {}\nda", to + 1);
        let _ = tx.send(frame(text)).await;
        sleep(Duration::from_millis(20)).await;
    }
    match tail {
        // The frames before the error have to leave first.
        Tail::Break | Tail::Part => {
            sleep(Duration::from_millis(20)).await;
            let _ = tx.send(Err(std::io::Error::other("broken"))).await;
        }
        // Waits until the caller has taken the answer or left.
        Tail::End => {}
    }
}

/// Site with a store and any number of processes.
pub(crate) struct Site {
    pub(crate) store: MemoryObjects,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
}

/// Processes of a site, which stop when this is dropped.
pub(crate) struct Running {
    _driver: JobDriver,
    _gateway: Gateway,
}

/// Answer as a caller gets it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: String,
    /// Whether the body ended as it should.
    pub(crate) whole: bool,
}

impl Site {
    /// Writes a configuration with one route of each kind.
    pub(crate) fn new() -> Self {
        let store = MemoryObjects::new();
        store.put("config", "main", &config(1));
        Self { store, callers: free_addr(), readiness: free_addr() }
    }

    /// Starts a driver and a gateway in front of one endpoint.
    pub(crate) async fn serving(service: &'static str, slots: u32) -> (Self, Endpoint, Running) {
        let site = Self::new();
        let endpoint = site.add_endpoint("e1", service, slots).await;
        let driver = site.start_driver("d1").await;
        let gateway = site.start_gateway().await;
        (site, endpoint, Running { _driver: driver, _gateway: gateway })
    }

    /// Starts an endpoint that is registered.
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

    pub(crate) async fn start_driver(&self, node: &str) -> JobDriver {
        self.start_driver_on(node, self.store.clone()).await
    }

    /// Starts a driver with a view of the store of its own.
    pub(crate) async fn start_driver_on(&self, node: &str, store: MemoryObjects) -> JobDriver {
        let cfg = node_config(node, NodeRole::Driver);
        let store = Arc::new(store);
        JobDriver::bind(cfg, Arc::new(SiteDialect::new()), store).await.unwrap()
    }

    /// Starts a gateway and waits until it is ready.
    pub(crate) async fn start_gateway(&self) -> Gateway {
        start_gateway("g1", self.callers, self.readiness, self.store.clone()).await
    }

    /// Starts a gateway that knows the gateway `g1` and cannot reach the driver `d1` or the store.
    pub(crate) async fn start_cut_gateway(&self) -> CutGateway {
        let store = MemoryObjects::new();
        store.put("config", "main", &config(1));
        let known = || self.store.spec("nodes", "g1").is_some();
        until("the other gateway is known", known).await;
        store.put("nodes", "g1", &self.store.spec("nodes", "g1").unwrap());
        let nowhere = free_addr();
        let driver = format!(r#"{{"role":"driver","address":"{nowhere}","incarnation":1}}"#);
        store.put("nodes", "d1", &driver);
        let (callers, readiness) = (free_addr(), free_addr());
        let gateway = start_gateway("g2", callers, readiness, store.clone()).await;
        store.set_down(true);
        CutGateway { callers, store, _gateway: gateway }
    }

    pub(crate) async fn post(&self, path: &str, id: &str, body: &str) -> Answer {
        self.post_to(self.callers, path, id, body).await
    }

    pub(crate) async fn post_to(&self, to: SocketAddr, path: &str, id: &str, body: &str) -> Answer {
        let req = Request::post(path)
            .header("host", HOST)
            .header("attempt-id", id)
            .header("deadline-ms", "4000")
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        exchange(to, req).await
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        get(self.callers, path).await
    }

    pub(crate) async fn delete(&self, path: &str) -> Answer {
        let req = Request::delete(path).header("host", HOST).body(Full::default()).unwrap();
        exchange(self.callers, req).await
    }
}

/// Gateway that reaches other gateways only.
pub(crate) struct CutGateway {
    pub(crate) callers: SocketAddr,
    /// Its own view of the store.
    pub(crate) store: MemoryObjects,
    _gateway: Gateway,
}

/// Starts a gateway and waits until it is ready.
async fn start_gateway(
    node: &str,
    callers: SocketAddr,
    readiness: SocketAddr,
    store: MemoryObjects,
) -> Gateway {
    let cfg = node_config(node, NodeRole::Gateway);
    let dialect = Arc::new(SiteDialect::new());
    let gateway = Gateway::bind(cfg, callers, readiness, dialect, Arc::new(store)).await.unwrap();
    let ready = timeout(PATIENCE, async {
        while get(readiness, "/api/ready").await.status != StatusCode::OK {
            sleep(POLL).await;
        }
    });
    assert!(ready.await.is_ok(), "the gateway is not ready in time");
    gateway
}

async fn get(addr: SocketAddr, path: &str) -> Answer {
    let req = Request::get(path).header("host", HOST).body(Full::default()).unwrap();
    exchange(addr, req).await
}

/// Sends a request on a connection of its own and reads the answer.
pub(crate) async fn exchange(addr: SocketAddr, req: Request<Full<Bytes>>) -> Answer {
    let failed = || Answer {
        status: StatusCode::IM_A_TEAPOT,
        headers: hyper::HeaderMap::new(),
        body: String::new(),
        whole: false,
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
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => whole = false,
        }
    }
    let body = String::from_utf8(text).unwrap();
    Answer { status: parts.status, headers: parts.headers, body, whole }
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
    }
}
