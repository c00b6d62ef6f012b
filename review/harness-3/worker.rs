//! Stand-in of a worker, as a process of its own. It registers in the store, runs requests and obeys the
//! lines that it reads from its standard input.

use std::fs::OpenOptions;
use std::io;
use std::io::BufRead;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Request;
use crate::http::call;
use crate::http::reply;
use crate::http::serve;

/// Requests that a worker runs at the same time.
pub const SLOTS: usize = 8;

/// Interval of its check-ins, `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Settings {
    pub id: String,
    /// Address that it registers.
    pub addr: String,
    /// Address at which it listens, if it is another one.
    pub listen: String,
    pub store: String,
    pub service: String,
    /// File to which it appends what it ran.
    pub log: String,
    /// Time between two events.
    pub gap: Duration,
    /// Whether its streams have neither a length nor chunks.
    pub is_unframed: bool,
}

impl Settings {
    pub fn from_args(args: &[String]) -> Self {
        let text = |name: &str| {
            let prefix = format!("--{name}=");
            let found = args.iter().find_map(|arg| arg.strip_prefix(prefix.as_str()));
            found.unwrap_or_default().to_owned()
        };
        Self {
            id: text("id"),
            addr: text("addr"),
            listen: text("listen"),
            store: text("store"),
            service: text("service"),
            log: text("log"),
            gap: Duration::from_millis(text("gap-ms").parse().unwrap_or(30)),
            is_unframed: text("unframed") == "true",
        }
    }
}

struct Worker {
    settings: Settings,
    born: u128,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    running: AtomicUsize,
    log: Mutex<std::fs::File>,
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

pub fn run(settings: Settings) -> io::Result<()> {
    let listen = if settings.listen.is_empty() { &settings.addr } else { &settings.listen };
    let listener = TcpListener::bind(listen)?;
    let log = OpenOptions::new().create(true).append(true).open(&settings.log)?;
    let worker = Arc::new(Worker {
        settings,
        born: now_ms(),
        sequence: AtomicU64::new(0),
        is_draining: AtomicBool::new(false),
        running: AtomicUsize::new(0),
        log: Mutex::new(log),
    });
    let served = Arc::clone(&worker);
    serve(listener, move |request, out| served.handle(request, out));
    let beating = Arc::clone(&worker);
    std::thread::spawn(move || {
        loop {
            beating.check_in();
            sleep(HEARTBEAT);
        }
    });
    for line in io::stdin().lock().lines() {
        if line? == "drain" {
            worker.is_draining.store(true, Ordering::SeqCst);
            worker.check_in();
            worker.note("says that it is draining");
        }
    }
    Ok(())
}

impl Worker {
    fn note(&self, text: &str) {
        let line = format!("{} {} {text}\n", now_ms(), self.settings.id);
        let _ = self.log.lock().unwrap().write_all(line.as_bytes());
    }

    fn check_in(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let Settings { id, addr, service, store, .. } = &self.settings;
        let spec = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"nam-central-a","version":"v1","slots":{SLOTS},"state":"{state}","cold-left-ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            self.born
        );
        let body = format!(r#"{{"metadata":{{"name":"{id}"}},"spec":{spec}}}"#);
        let send = |method: &str, path: &str| {
            let text = format!(
                "{method} {path} HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            call(store, text.as_bytes(), Duration::from_secs(1)).status
        };
        if send("PUT", &format!("/api/objects/servers/{id}")) == 404 {
            send("POST", "/api/objects/servers");
        }
    }

    fn handle(&self, request: &Request, out: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("attempt-id").to_owned();
        if request.path() == "/health" {
            let instance = format!("Instance-Id: {}\r\n", self.settings.id);
            let is_draining = self.is_draining.load(Ordering::SeqCst);
            let status = if is_draining { "503 Service Unavailable" } else { "200 OK" };
            reply(out, status, &instance, b"")?;
            return Ok(true);
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.settings.id {
            let instance = format!("Instance-Id: {}\r\n", self.settings.id);
            reply(out, "421 Misdirected Request", &instance, b"")?;
            return Ok(true);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            reply(out, "503 Service Unavailable", &headers, b"")?;
            return Ok(true);
        }
        let ended = self.stream(request, &id, out);
        self.running.fetch_sub(1, Ordering::SeqCst);
        ended
    }

    /// Answers with the events of a request, after `Last-Event-Id` if there is one.
    fn stream(&self, request: &Request, id: &str, out: &mut TcpStream) -> io::Result<bool> {
        let counts = request.header("token-counts");
        let count: u64 =
            counts.split_once(',').and_then(|(_, out)| out.trim().parse().ok()).unwrap_or(10);
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.note(&format!("runs {id} after event {after} of {count}"));
        let is_unframed = self.settings.is_unframed;
        let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {}.{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n",
            self.settings.id
        );
        let mut sent = after;
        let mut write = || -> io::Result<()> {
            sleep(Duration::from_millis(10));
            out.write_all(head.as_bytes())?;
            for number in after + 1..=count {
                sleep(self.settings.gap);
                let event = event(id, number);
                if is_unframed {
                    out.write_all(event.as_bytes())?;
                } else {
                    out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                sent = number;
            }
            if !is_unframed {
                out.write_all(b"0\r\n\r\n")?;
            }
            Ok(())
        };
        let ended = write();
        let outcome = if ended.is_ok() { "all" } else { "cut by its caller" };
        self.note(&format!("ends {id} at event {sent} of {count}: {outcome}"));
        Ok(ended.is_ok() && !is_unframed)
    }
}

/// Event of a request, the same at each worker.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {}\n\n", data(id, number))
}

/// Data of an event.
pub fn data(id: &str, number: u64) -> String {
    format!("{id}-{number:04}")
}
