//! The programs of the deploy file as separate processes, on loopback.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::Seen;
use crate::http::call;
use crate::store::Store;

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Why a case could not run.
pub struct CannotRun(pub String);

pub type Outcome<T> = Result<T, CannotRun>;

impl From<std::io::Error> for CannotRun {
    fn from(err: std::io::Error) -> Self {
        Self(err.to_string())
    }
}

/// Returns a free loopback address. It is one of this process, with a port that the system gives to no
/// outgoing connection.
pub fn free_addr() -> Outcome<String> {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let id = std::process::id();
    let (high, low) = (1 + (id >> 8) % 250, 1 + id % 250);
    for _ in 0..1_000 {
        let port = 20_000 + TAKEN.fetch_add(1, Ordering::SeqCst);
        let addr = format!("127.{high}.{low}.1:{port}");
        if TcpListener::bind(&addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(CannotRun("no free address".to_owned()))
}

/// A process that the test started. It is killed when this value is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // SAFETY: plain system call with the id of a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn say(&mut self, line: &str) -> Outcome<()> {
        let stdin = self.child.stdin.as_mut().ok_or_else(|| CannotRun("no input".to_owned()))?;
        writeln!(stdin, "{line}")?;
        Ok(stdin.flush()?)
    }

    pub fn log(&self) -> String {
        String::from_utf8_lossy(&std::fs::read(&self.log).unwrap_or_default()).into_owned()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// `record.txt`: what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub struct Cluster {
    pub store: Store,
    pub store_addr: String,
    pub gateways: Vec<String>,
    ready: Vec<String>,
    pub drivers: Vec<Process>,
    pub workers: Vec<Process>,
    pub record: Record,
    pub runs: PathBuf,
    others: Vec<Process>,
    dir: PathBuf,
    bin: PathBuf,
}

impl Cluster {
    /// Starts the store, drivers and gateways. The repository is the working directory.
    pub fn start(record: &Path, drivers: usize, gateways: usize, config: &str) -> Outcome<Self> {
        let dir = std::env::temp_dir().join(format!("dogwoodtray-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(record)?;
        let record = Record { file: Mutex::new(file), start: Instant::now() };
        let (store, store_addr) = Store::start();
        store.write("config", "main", config);
        let bin = PathBuf::from("target/release");
        let runs = dir.join("runs.log");
        let mut cluster = Self {
            store,
            store_addr,
            gateways: Vec::new(),
            ready: Vec::new(),
            drivers: Vec::new(),
            workers: Vec::new(),
            record,
            runs,
            others: Vec::new(),
            dir,
            bin,
        };
        for index in 1..=drivers {
            let name = format!("store-nam-central-{}-1", zone(index));
            let driver = cluster.start_program("dogwoodtray-driver", &name, index, 290, &[])?;
            cluster.drivers.push(driver);
        }
        for index in 1..=gateways {
            let name = format!("front-nam-central-{}-1", zone(index));
            let (listen, ready) = (free_addr()?, free_addr()?);
            let more = [format!("--listen={listen}"), format!("--readiness={ready}")];
            let gateway = cluster.start_program("dogwoodtray-gateway", &name, index, 260, &more)?;
            cluster.others.push(gateway);
            cluster.gateways.push(listen);
            cluster.ready.push(ready);
        }
        Ok(cluster)
    }

    fn start_program(
        &self,
        program: &str,
        name: &str,
        index: usize,
        memory_mb: u32,
        more: &[String],
    ) -> Outcome<Process> {
        let mut args = vec![
            format!("--node={name}"),
            format!("--data-centre=nam-central-{}", zone(index)),
            format!("--peer={}", free_addr()?),
            format!("--admin={}", free_addr()?),
            format!("--platform={}", self.store_addr),
            "--grace-s=8".to_owned(),
            "--results-kept-s=120".to_owned(),
            format!("--memory-mb={memory_mb}"),
            "--revoke-ms=".to_owned(),
            "--strict-revoke=".to_owned(),
            "--config-apply-ms=2000".to_owned(),
            "--quota-window-s=".to_owned(),
            "--quota-overrun=0.1".to_owned(),
            "--quota-slack=".to_owned(),
        ];
        args.extend_from_slice(more);
        self.spawn(&self.bin.join(program), name, &args)
    }

    fn spawn(&self, program: &Path, name: &str, args: &[String]) -> Outcome<Process> {
        let log = self.dir.join(format!("{name}.log"));
        let out = File::create(&log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()
            .map_err(|err| CannotRun(format!("{}: {err}", program.display())))?;
        Ok(Process { name: name.to_owned(), child, log })
    }

    /// Starts a worker of `kegtalk`.
    pub fn start_worker(&mut self, id: &str, gap_ms: u64, is_unframed: bool) -> Outcome<()> {
        let addr = free_addr()?;
        self.start_worker_at((&addr, &addr), id, gap_ms, is_unframed)
    }

    /// Starts a worker of `kegtalk` that registers the first address and listens at the second.
    pub fn start_worker_at(
        &mut self,
        (addr, listen): (&str, &str),
        id: &str,
        gap_ms: u64,
        is_unframed: bool,
    ) -> Outcome<()> {
        let program = std::env::current_exe()?;
        let args = [
            "worker".to_owned(),
            format!("--id={id}"),
            format!("--addr={addr}"),
            format!("--listen={listen}"),
            format!("--store={}", self.store_addr),
            "--service=kegtalk".to_owned(),
            format!("--log={}", self.runs.display()),
            format!("--gap-ms={gap_ms}"),
            format!("--unframed={is_unframed}"),
        ];
        let worker = self.spawn(&program, id, &args)?;
        self.workers.push(worker);
        Ok(())
    }

    /// Waits until all gateways are ready and all workers are registered.
    pub fn wait_until_ready(&self) -> Outcome<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let is_ready = |addr: &String| call(addr, request, Duration::from_secs(1)).status == 200;
        while Instant::now() < until {
            let is_listed = self.store.names("servers").len() == self.workers.len();
            if is_listed && self.ready.iter().all(is_ready) {
                sleep(Duration::from_secs(3));
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err(CannotRun("the processes did not become ready".to_owned()))
    }

    /// Returns the index of the worker that has begun most runs.
    pub fn busiest_worker(&self) -> usize {
        let runs = std::fs::read_to_string(&self.runs).unwrap_or_default();
        let count = |index: &usize| {
            let begun = format!(" {} runs", self.workers[*index].name);
            runs.lines().filter(|line| line.contains(&begun)).count()
        };
        (0..self.workers.len()).max_by_key(count).unwrap_or(0)
    }

    /// Copies what the workers ran to the record.
    pub fn note_runs(&self) {
        let text = std::fs::read_to_string(&self.runs).unwrap_or_default();
        self.record.note("what the workers ran (Unix milliseconds):");
        for line in text.lines() {
            self.record.note(&format!("  {line}"));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.drivers.iter().chain(&self.workers).chain(&self.others) {
            process.signal(SIGKILL);
        }
        for process in self.drivers.iter_mut().chain(&mut self.workers).chain(&mut self.others) {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn zone(index: usize) -> char {
    ['a', 'b', 'c', 'd'][(index - 1) % 4]
}

/// Sends a request with a body to a gateway, on a new connection.
pub fn send(addr: &str, head: &str, body: &[u8], limit: Duration) -> Seen {
    let mut text = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    call(addr, &text, limit)
}
