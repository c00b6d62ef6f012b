//! Stand-in for a model worker: streams events, resumes, sheds what exceeds its slots.

use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Message;
use crate::store::Store;

/// Time after which a worker that has crashed is back.
const DOWN: Duration = Duration::from_secs(3);

/// Interval of a worker's entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a request runs.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of events of the whole output.
    pub events: u64,
    /// Time between two events.
    pub interval: Duration,
    /// Whether the worker crashes as it begins to answer.
    pub crashes: bool,
}

/// Run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub service: String,
    pub id: String,
    pub resumed_after: u64,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub outcome: &'static str,
}

/// Runs of all workers, in the order of their starts.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A worker and its entry in the store.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    slots: usize,
    /// Start of the worker in Unix milliseconds.
    born: Arc<AtomicU64>,
    /// Number of crashes so far.
    crashes: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
    store: Store,
    runs: Runs,
    running: Arc<AtomicUsize>,
    sequence: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
    plan: Arc<dyn Fn(&Message) -> Plan + Send + Sync>,
}

/// Text of one event of a request's output.
pub fn event_text(id: &str, number: u64) -> String {
    format!("{id}-{number}")
}

impl Worker {
    /// Starts a worker. `plan` tells how a request runs.
    pub fn start(
        id: &str,
        service: &str,
        slots: usize,
        store: &Store,
        runs: &Runs,
        plan: impl Fn(&Message) -> Plan + Send + Sync + 'static,
    ) -> Self {
        let listener = http::bind();
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr().expect("a bound address"),
            slots,
            born: Arc::new(AtomicU64::new(unix_ms())),
            crashes: Arc::default(),
            is_down: Arc::default(),
            store: store.clone(),
            runs: Arc::clone(runs),
            running: Arc::default(),
            sequence: Arc::default(),
            draining: Arc::default(),
            gone: Arc::default(),
            plan: Arc::new(plan),
        };
        worker.report();
        let this = worker.clone();
        thread::spawn(move || this.accept(listener));
        let this = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if this.gone.load(Ordering::SeqCst) {
                    return;
                }
                if !this.is_down.load(Ordering::SeqCst) {
                    this.report();
                }
            }
        });
        worker
    }

    /// Writes the entry of the worker into the store.
    fn report(&self) {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.addr,
            self.slots,
            self.born.load(Ordering::SeqCst)
        );
        self.store.put("servers", &self.id, &spec);
    }

    /// Reports that the worker is about to leave. It serves on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.report();
    }

    /// Ends the worker; its entry is removed.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::SeqCst);
        self.store.remove("servers", &self.id);
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    fn accept(&self, mut listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket option");
        while !self.gone.load(Ordering::SeqCst) {
            if self.is_down.load(Ordering::SeqCst) {
                drop(listener);
                thread::sleep(DOWN);
                listener = TcpListener::bind(self.addr).expect("the worker's own address is free");
                listener.set_nonblocking(true).expect("a socket option");
                self.born.store(unix_ms(), Ordering::SeqCst);
                self.is_down.store(false, Ordering::SeqCst);
                self.report();
                continue;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let this = self.clone();
                    thread::spawn(move || {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        this.serve(stream);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Ends all runs and refuses connections until the worker is back.
    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.is_down.store(true, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(read) = stream.try_clone() else { return };
        let Ok(Some(req)) = http::read_message(&mut BufReader::new(read), false) else { return };
        if req.method() == "GET" {
            let body = format!("{{\"num-running\":{},\"queue-depth\":0}}", self.running());
            let head = format!("Instance-Id: {}\r\n", self.id);
            let _ = http::respond(&mut stream, 200, &head, &body);
            return;
        }
        let id = req.header("attempt-id").unwrap_or_default().to_owned();
        if req.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let head = format!("Attempt-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
            let _ = http::respond(&mut stream, 421, &head, "");
            return;
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let head = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n{}", self.leaving());
            let _ = http::respond(&mut stream, 503, &head, "");
            return;
        }
        self.run(&mut stream, &req, &id);
        self.running.fetch_sub(1, Ordering::SeqCst);
    }

    fn leaving(&self) -> &'static str {
        if self.draining.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn run(&self, stream: &mut TcpStream, req: &Message, id: &str) {
        let after = req.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let index = {
            let mut runs = self.runs.lock().expect("runs");
            runs.push(Run {
                worker: self.id.clone(),
                service: self.service.clone(),
                id: id.to_owned(),
                resumed_after: after,
                began: Instant::now(),
                ended: None,
                outcome: "runs",
            });
            runs.len() - 1
        };
        let plan = (self.plan)(req);
        let outcome = match self.stream(stream, id, after, plan) {
            Ok(()) => "complete",
            Err(err) if err.kind() == ErrorKind::Interrupted => "crashed",
            Err(_) => "cut",
        };
        let mut runs = self.runs.lock().expect("runs");
        runs[index].ended = Some(Instant::now());
        runs[index].outcome = outcome;
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        after: u64,
        plan: Plan,
    ) -> std::io::Result<()> {
        let life = self.crashes.load(Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {}.{id}\r\nWeight-Versions: 1\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.leaving()
        );
        for number in after + 1..=plan.events {
            thread::sleep(plan.interval);
            if number == after + 1 {
                stream.write_all(head.as_bytes())?;
            }
            if plan.crashes {
                self.crash();
            }
            if self.crashes.load(Ordering::SeqCst) != life {
                return Err(ErrorKind::Interrupted.into());
            }
            check_open(stream)?;
            let event = format!("id: {number}\ndata: {}\n\n", event_text(id, number));
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        if after >= plan.events {
            stream.write_all(head.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Returns an error if the peer has closed the connection.
fn check_open(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(0) => Err(ErrorKind::ConnectionAborted.into()),
        Err(err) if err.kind() != ErrorKind::WouldBlock => Err(err),
        _ => Ok(()),
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}
