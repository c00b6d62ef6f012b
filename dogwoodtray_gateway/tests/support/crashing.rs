//! Endpoints that crash when they begin to answer certain requests.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use dogwoodtray_platform::MemoryObjects;
use hyper::StatusCode;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Site;
use super::free_addr;
use super::raw_entry;
use super::raw_request::header;
use super::raw_request::read_request;

/// Text in the head or body of a request that crashes an endpoint.
pub(crate) const DEADLY: &str = "lethal";

/// Time from the head of a response to the crash, unless a test sets another one.
const CRASH_DELAY: Duration = Duration::from_millis(15);

/// Places of an endpoint, unless a test sets another number.
const SLOTS: u32 = 8;

/// Pause before each event of a response.
const EVENT_PAUSE: Duration = Duration::from_millis(10);

/// Answer to a request without the deadly text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// All events.
    Usual,
    /// This status, and that the request was not run.
    NotRun(u16),
    /// Status 500.
    Failure,
    /// The head, and no event.
    Head,
    /// Nothing.
    Silence,
    /// The head, after which the connection is closed.
    BrokenOff,
}

/// Counts of requests over all endpoints of a group, and how these behave.
#[derive(Debug)]
pub(crate) struct Counts {
    /// Requests with the deadly text that an endpoint received.
    pub(crate) deadly: Cell<u32>,
    /// Requests with the deadly text that had been received when the last other one was.
    pub(crate) deadly_before_other: Cell<u32>,
    /// Requests that an endpoint answered in full.
    pub(crate) sound: Cell<u32>,
    /// Requests that an endpoint received.
    pub(crate) received: Cell<u32>,
    pub(crate) crashes: Cell<u32>,
    /// Number of events of each answer.
    pub(crate) events: Cell<u64>,
    /// Whether requests with the deadly text are answered like others.
    pub(crate) is_healed: Cell<bool>,
    /// Time from the head of a response to the crash, also if its caller disconnects.
    pub(crate) crash_delay: Cell<Duration>,
    /// Time for which endpoints are down after a crash, if it is longer than that of their start.
    pub(crate) down_for: Cell<Duration>,
    /// Answer to requests without the deadly text.
    pub(crate) answer: Cell<Answer>,
    /// Number of times that all endpoints were killed.
    kills: Cell<u32>,
}

impl Counts {
    fn new() -> Self {
        Self {
            deadly: Cell::default(),
            deadly_before_other: Cell::default(),
            sound: Cell::default(),
            received: Cell::default(),
            crashes: Cell::default(),
            events: Cell::new(3),
            is_healed: Cell::default(),
            crash_delay: Cell::new(CRASH_DELAY),
            down_for: Cell::default(),
            answer: Cell::new(Answer::Usual),
            kills: Cell::default(),
        }
    }

    /// Kills all endpoints.
    pub(crate) fn kill_all(&self) {
        self.kills.set(self.kills.get() + 1);
    }
}

/// Endpoint process that is replaced some time after each crash.
#[derive(Clone)]
struct Process {
    addr: SocketAddr,
    counts: Rc<Counts>,
    /// Time for which the endpoint is down after a crash.
    down: Duration,
    is_crashed: Rc<Cell<bool>>,
}

/// Starts endpoints of the service `engine` and registers them.
pub(crate) async fn start_crashing(
    store: &MemoryObjects,
    count: usize,
    down: Duration,
) -> Rc<Counts> {
    start_crashing_with(store, count, down, SLOTS).await
}

/// Starts endpoints of the service `engine` with this number of places and registers them.
pub(crate) async fn start_crashing_with(
    store: &MemoryObjects,
    count: usize,
    down: Duration,
    slots: u32,
) -> Rc<Counts> {
    let counts = Rc::new(Counts::new());
    for number in 0..count {
        let listener = TcpListener::bind(free_addr()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let process = Process { addr, counts: Rc::clone(&counts), down, is_crashed: Rc::default() };
        spawn_local(process.run(listener));
        store.put("servers", &format!("c{number}"), &raw_entry("engine", addr, slots));
    }
    counts
}

impl Process {
    async fn run(self, mut listener: TcpListener) {
        loop {
            let mut connections = JoinSet::new();
            let kills = self.counts.kills.get();
            while !self.is_crashed.get() && self.counts.kills.get() == kills {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        let this = self.clone();
                        connections.spawn_local(async move {
                            // A caller that disconnects ends its exchange.
                            let _ = this.serve(stream).await;
                        });
                    }
                    () = sleep(Duration::from_millis(2)) => {}
                }
            }
            drop(listener);
            drop(connections);
            self.counts.crashes.set(self.counts.crashes.get() + 1);
            sleep(self.down.max(self.counts.down_for.get())).await;
            self.is_crashed.set(false);
            listener = self.rebind();
        }
    }

    fn rebind(&self) -> TcpListener {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(self.addr).unwrap();
        socket.listen(64).unwrap()
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let Some(text) = read_request(&mut stream).await else { return Ok(()) };
        self.counts.received.set(self.counts.received.get() + 1);
        let is_deadly = text.contains(DEADLY) && !self.counts.is_healed.get();
        if text.contains(DEADLY) {
            self.counts.deadly.set(self.counts.deadly.get() + 1);
        } else {
            self.counts.deadly_before_other.set(self.counts.deadly.get());
        }
        let id = header(&text, "attempt-id");
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-stamp: s1\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let status = match self.counts.answer.get() {
            Answer::NotRun(status) => Some((status, "not-executed: 1\r\n")),
            Answer::Failure => Some((500, "")),
            Answer::Silence if !is_deadly => return std::future::pending().await,
            _ => None,
        };
        if let Some((status, not_run)) = status.filter(|_| !is_deadly) {
            let answer = format!(
                "HTTP/1.1 {status} X\r\nattempt-id: {id}\r\nserver-stamp: s1\r\n{not_run}\
                 content-length: 6\r\n\r\nbroken"
            );
            return stream.write_all(answer.as_bytes()).await;
        }
        stream.write_all(head.as_bytes()).await?;
        match self.counts.answer.get() {
            Answer::Head if !is_deadly => return std::future::pending().await,
            Answer::BrokenOff if !is_deadly => return Ok(()),
            _ => {}
        }
        if is_deadly {
            sleep(self.counts.crash_delay.get()).await;
            self.is_crashed.set(true);
            return std::future::pending().await;
        }
        let first = header(&text, "last-event-id").parse().unwrap_or(0) + 1;
        for event in first..=self.counts.events.get() {
            sleep(EVENT_PAUSE).await;
            let event = format!("id: {event}\ndata: e{event}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        }
        stream.write_all(b"0\r\n\r\n").await?;
        self.counts.sound.set(self.counts.sound.get() + 1);
        Ok(())
    }
}

/// Sends requests with the parts `a1` and `p1` that crash endpoints, until one is refused unsent.
pub(crate) async fn block_parts(site: &Site, counts: &Counts) {
    for number in 0..30 {
        let before = counts.deadly.get();
        let id = format!("b{number}");
        let own = format!("a1:9,p1:9,f{number}:9");
        site.post_prompt("/stream/x", &id, &own, &format!("{DEADLY} {number}")).await;
        if counts.deadly.get() == before && counts.crashes.get() >= 2 {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the parts are not blocked");
}

/// Item of a job.
pub(crate) struct Item {
    id: String,
    /// Parts of its prompt.
    parts: String,
    body: String,
}

impl Item {
    pub(crate) fn new(
        id: impl Into<String>,
        parts: impl Into<String>,
        body: impl Into<String>,
    ) -> Self {
        Self { id: id.into(), parts: parts.into(), body: body.into() }
    }
}

/// Submits a job of these items.
pub(crate) async fn submit_items(site: &Site, job: &str, items: &[Item]) {
    let items: Vec<String> = items
        .iter()
        .map(|item| {
            let body = STANDARD.encode(&item.body);
            let (id, parts) = (&item.id, &item.parts);
            format!(
                r#"{{"id":"{id}","path":"/job/same","body":"{body}","tokens":9,
                "headers":{{"Model":"m","Prompt-Prefix":"{parts}"}}}}"#
            )
        })
        .collect();
    let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
    assert_eq!(site.post("/job/x", job, &body).await.status, StatusCode::ACCEPTED);
}
