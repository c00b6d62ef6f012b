//! Tests of the memory of gateways and drivers beside endpoints that send without end to all requests.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "chaos_support/child.rs"]
#[allow(dead_code, reason = "the chaos test uses the rest")]
mod child;
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use child::Process;
use dogwoodtray_platform::MemoryObjects;
use standin::addr::free_addr;
use standin::caller;
use standin::site::HOST;
use standin::site::config;
use standin::site::submission;
use standin::store::StoreServer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Memory of a process on the smallest VMs of the sites, in MiB.
const GATEWAY_MIB: u64 = 88;
const DRIVER_MIB: u64 = 130;

/// Endpoints of each service and their places, as many as on the site with the smallest VMs.
const ENDPOINTS: usize = 32;
const SLOTS: usize = 8;

/// Requests that are sent at the same time; more than there are places.
const REQUESTS: usize = 300;

/// Maximum number of items of a job.
const ITEMS: usize = 200;

/// Time in which the endpoints send without end.
const FLOOD_TIME: Duration = Duration::from_secs(5);

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What the endpoints send until the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    /// Headers.
    Head,
    /// Bytes of a body.
    Body,
    /// An event without end.
    Event,
    /// Small events with increasing ids.
    Events,
}

/// A gateway and a driver, whose store runs in the test.
struct Fleet {
    gateway: Process,
    driver: Process,
    callers: SocketAddr,
    /// Number of bytes that the endpoints have sent.
    sent: Arc<AtomicUsize>,
    _stores: [StoreServer; 2],
}

impl Fleet {
    async fn start(name: &str, flood: Flood) -> Self {
        let dir = test_dir(name);
        let objects = MemoryObjects::new();
        objects.put("config", "main", &config(1));
        let sent = Arc::new(AtomicUsize::new(0));
        for number in 0..ENDPOINTS {
            for service in ["engine", "ledger"] {
                let id = format!("{service}{number}");
                start_endpoint(&objects, &id, service, flood, Arc::clone(&sent)).await;
            }
        }
        let [callers, readiness] = [(); 2].map(|()| free_addr());
        let (driver, driver_store) = start(
            "driver-0",
            (env!("CARGO_BIN_EXE_dogwoodtray-driver"), DRIVER_MIB),
            &[],
            &objects,
            &dir,
        )
        .await;
        let listen = [format!("--listen={callers}"), format!("--readiness={readiness}")];
        let (gateway, gateway_store) = start(
            "gateway-0",
            (env!("CARGO_BIN_EXE_dogwoodtray-gateway"), GATEWAY_MIB),
            &listen,
            &objects,
            &dir,
        )
        .await;
        let is_ready = async {
            while !caller::is_ready(readiness).await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(START_TIMEOUT, is_ready).await.unwrap();
        Self { gateway, driver, callers, sent, _stores: [driver_store, gateway_store] }
    }

    /// Sends requests to a path and keeps them open for [`FLOOD_TIME`]. Reads their answers only if
    /// `reads` is set.
    async fn flood(&self, path: &str, body_bytes: usize, reads: bool) {
        let requests: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let (callers, path) = (self.callers, path.to_owned());
                tokio::spawn(async move {
                    let request = post(&path, &format!("r{number}"), &"a".repeat(body_bytes));
                    let exchange = exchange(callers, request, reads);
                    let _ = timeout(FLOOD_TIME, exchange).await;
                })
            })
            .collect();
        for request in requests {
            request.await.unwrap();
        }
    }

    fn assert_within_memory(&self) {
        for (process, limit) in [(&self.gateway, GATEWAY_MIB), (&self.driver, DRIVER_MIB)] {
            let peak = peak_mib(process);
            eprintln!("{}: peak of {peak} MiB", process.name);
            assert!(peak < limit, "{}: {peak} MiB", process.name);
        }
    }
}

/// Creates the directory for the logs of a test.
fn test_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("memory-{name}"));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Starts a process with a store server of its own.
async fn start(
    name: &str,
    program: (&'static str, u64),
    extra_args: &[String],
    objects: &MemoryObjects,
    dir: &Path,
) -> (Process, StoreServer) {
    let store = free_addr();
    let server = StoreServer::bind(store, objects.separate_handle(), None).await;
    (start_process(name, program, extra_args, store, dir), server)
}

fn start_process(
    name: &str,
    (program, memory_mib): (&'static str, u64),
    extra_args: &[String],
    store: SocketAddr,
    dir: &Path,
) -> Process {
    let [peer, admin] = [(); 2].map(|()| free_addr());
    let mut args = vec![
        format!("--node={name}"),
        "--data-centre=zutphen".to_owned(),
        format!("--peer={peer}"),
        format!("--admin={admin}"),
        format!("--platform={store}"),
        format!("--memory-mb={memory_mib}"),
    ];
    args.extend_from_slice(extra_args);
    Process::start(name, program, args, dir)
}

/// Returns the maximum resident size of a process so far.
fn peak_mib(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid().unwrap()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

/// Starts an endpoint that answers each request with bytes without end, and registers it.
async fn start_endpoint(
    objects: &MemoryObjects,
    id: &str,
    service: &str,
    flood: Flood,
    sent: Arc<AtomicUsize>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(send_flood(stream, flood, Arc::clone(&sent)));
        }
    });
    let entry = format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"zutphen","version":"v1",
        "slots":{SLOTS},"state":"ready","cold-left-ms":0,"sequence":1}}"#
    );
    objects.put("servers", id, &entry);
}

async fn send_flood(mut stream: TcpStream, flood: Flood, sent: Arc<AtomicUsize>) {
    let mut request = Vec::new();
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let id = request.lines().find_map(|line| line.strip_prefix("attempt-id: ")).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-stamp: s1\r\n{}",
        if flood == Flood::Head { "" } else { "transfer-encoding: chunked\r\n\r\n" }
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let filler = "a".repeat(8_000);
    for number in 1.. {
        let text = match flood {
            Flood::Head => format!("x-filler: {filler}\r\n"),
            Flood::Body => chunk(&filler),
            Flood::Event if number == 1 => chunk("id: 1\ndata: "),
            Flood::Event => chunk(&filler),
            Flood::Events => chunk(&format!("id: {number}\ndata: {filler}\n\n")),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        sent.fetch_add(text.len(), Relaxed);
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn post(path: &str, id: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\ndeadline-ms: 5000\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn exchange(to: SocketAddr, request: String, reads: bool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(request.as_bytes()).await?;
    if !reads {
        sleep(FLOOD_TIME).await;
    }
    let mut buf = vec![0; 64 * 1024];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(test);
}

/// Guards against heads without end, whose sum over all requests exceeds the memory of a process.
#[test]
fn heads_without_end_stay_within_the_memory() {
    run(async {
        let fleet = Fleet::start("head", Flood::Head).await;
        fleet.flood("/plain/x", 10, true).await;
        fleet.flood("/resume/x", 10, true).await;
        assert!(fleet.sent.load(Relaxed) > 0);
        fleet.assert_within_memory();
    });
}

/// Guards against answers to idempotent requests, which are buffered, whose sum exceeds the memory.
#[test]
fn buffered_answers_without_end_stay_within_the_memory() {
    run(async {
        let fleet = Fleet::start("body", Flood::Body).await;
        fleet.flood("/plain/x", 10, true).await;
        fleet.flood("/once/x", 10, false).await;
        assert!(fleet.sent.load(Relaxed) > 0);
        fleet.assert_within_memory();
    });
}

/// Guards against events without end whose sum exceeds the memory.
#[test]
fn events_without_end_stay_within_the_memory() {
    run(async {
        let fleet = Fleet::start("event", Flood::Event).await;
        fleet.flood("/resume/x", 10, true).await;
        assert!(fleet.sent.load(Relaxed) > 0);
        fleet.assert_within_memory();
    });
}

/// Guards against streams that are read from their endpoints faster than their callers read them.
#[test]
fn streams_without_end_to_callers_that_do_not_read_stay_within_the_memory() {
    run(async {
        let fleet = Fleet::start("events", Flood::Events).await;
        fleet.flood("/resume/x", 10, false).await;
        fleet.flood("/stream/x", 10, false).await;
        assert!(fleet.sent.load(Relaxed) > 0);
        fleet.assert_within_memory();
    });
}

/// Guards against output of items without end whose sum exceeds the memory of their driver.
#[test]
fn items_with_output_without_end_stay_within_the_memory() {
    run(async {
        let fleet = Fleet::start("items", Flood::Events).await;
        let ids: Vec<String> = (0..ITEMS).map(|number| format!("i{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let request = post("/job/x", "j1", &submission(&ids));
        let _ = timeout(FLOOD_TIME, exchange(fleet.callers, request, true)).await;
        assert!(fleet.sent.load(Relaxed) > 0);
        fleet.assert_within_memory();
    });
}

/// Guards against large requests and submissions that arrive together and exceed the memory.
#[test]
fn large_bodies_that_arrive_together_stay_within_the_memory() {
    run(async {
        let fleet = Fleet::start("bodies", Flood::Head).await;
        let body = format!(
            r#"{{"items":[{{"id":"ID","path":"/job/a","headers":{{}},"body":"{}","tokens":9}}]}}"#,
            "aGk=".repeat(900_000)
        );
        let submissions: Vec<_> = (0..24)
            .map(|number| {
                let body = body.replace("ID", &format!("i{number}"));
                let request = post("/job/x", &format!("j{number}"), &body);
                let callers = fleet.callers;
                tokio::spawn(async move {
                    let _ = timeout(FLOOD_TIME, exchange(callers, request, true)).await;
                })
            })
            .collect();
        for submission in submissions {
            submission.await.unwrap();
        }
        fleet.flood("/once/x", 1_000_000, true).await;
        fleet.assert_within_memory();
    });
}

/// Guards against answers of the store without end that fill the memory.
#[test]
fn answers_of_the_store_without_end_stay_within_the_memory() {
    run(async {
        let dir = test_dir("store");
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = listener.local_addr().unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&sent);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(send_flood(stream, Flood::Body, Arc::clone(&counted)));
            }
        });
        let program = (env!("CARGO_BIN_EXE_dogwoodtray-driver"), DRIVER_MIB);
        let driver = start_process("driver-0", program, &[], store, &dir);
        sleep(FLOOD_TIME).await;
        assert!(sent.load(Relaxed) > 0);
        let peak = peak_mib(&driver);
        assert!(peak < DRIVER_MIB, "{peak} MiB");
    });
}
