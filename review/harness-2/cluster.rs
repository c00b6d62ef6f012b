//! The project's programs, started with the commands of the deploy file, beside a store and workers.

use std::collections::BTreeMap;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Response;
use crate::record::Record;
use crate::store::Store;

/// Processes that were started, which are killed at the end.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// Settings that differ between deployments.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub config_apply_ms: u64,
    pub revoke_ms: &'static str,
    pub strict_revoke: &'static str,
    pub quota_window_s: &'static str,
    pub quota_slack: &'static str,
}

/// Settings of `sites/kegtrack-nam.toml`.
pub const KEGTRACK: Bounds = Bounds {
    config_apply_ms: 2_000,
    revoke_ms: "",
    strict_revoke: "",
    quota_window_s: "",
    quota_slack: "",
};

/// Settings of `demands/asantewaa-tray-grown.toml`.
pub const ASANTEWAA: Bounds = Bounds {
    config_apply_ms: 3_000,
    revoke_ms: "5000",
    strict_revoke: "true",
    quota_window_s: "5",
    quota_slack: "20",
};

pub const HOST: &str = "ficu95.example";

/// Process of the system.
struct Node {
    name: String,
    program: &'static str,
    args: Vec<String>,
    pid: u32,
}

/// A worker process.
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pid: u32,
    service: String,
    stdin: Mutex<std::process::ChildStdin>,
}

pub struct Cluster {
    pub store: Store,
    pub record: Record,
    pub gateways: Vec<SocketAddr>,
    pub workers: Vec<Worker>,
    readiness: Vec<SocketAddr>,
    nodes: Vec<Node>,
    bounds: Bounds,
    logs: PathBuf,
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Cluster {
    /// Starts the store.
    pub fn new(record: &Record, bounds: Bounds, config: &str) -> Self {
        let store = Store::start();
        store.put("config", b"main", config);
        record.note(format!("config {config}"));
        let logs = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&logs).expect("a temporary folder");
        Self {
            store,
            record: record.clone(),
            gateways: Vec::new(),
            workers: Vec::new(),
            readiness: Vec::new(),
            nodes: Vec::new(),
            bounds,
            logs,
        }
    }

    /// Starts a program with the flags of the deploy file.
    fn start_node(
        &mut self,
        program: &'static str,
        name: &str,
        zone: &str,
        memory_mb: u32,
        own: &[String],
    ) {
        let bounds = self.bounds;
        let mut args = vec![format!("--node={name}"), format!("--data-centre={zone}")];
        args.extend_from_slice(own);
        args.extend([
            format!("--peer={}", free_addr()),
            format!("--admin={}", free_addr()),
            format!("--platform={}", self.store.addr),
            "--grace-s=8".to_owned(),
            "--results-kept-s=120".to_owned(),
            format!("--memory-mb={memory_mb}"),
            format!("--revoke-ms={}", bounds.revoke_ms),
            format!("--strict-revoke={}", bounds.strict_revoke),
            format!("--config-apply-ms={}", bounds.config_apply_ms),
            format!("--quota-window-s={}", bounds.quota_window_s),
            "--quota-overrun=0.1".to_owned(),
            format!("--quota-slack={}", bounds.quota_slack),
        ]);
        let pid = self.spawn(program, name, &args);
        self.nodes.push(Node { name: name.to_owned(), program, args, pid });
    }

    fn spawn(&self, program: &str, name: &str, args: &[String]) -> u32 {
        let path = self.logs.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(path).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(format!("target/release/{program}"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program was built");
        let pid = child.id();
        self.record.note(format!("{name} starts"));
        CHILDREN.lock().expect("the children").push(child);
        pid
    }

    /// Stops and starts all processes of the system in turn, one at a time, as planned.
    pub fn roll(&mut self, gap: Duration) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            self.record.note(format!("{} gets SIGTERM", node.name));
            let kill = format!("kill -TERM {}", node.pid);
            let _ = Command::new("sh").args(["-c", &kill]).status();
            self.wait_for_end(node.pid, Duration::from_secs(8));
            self.record.note(format!("{} has ended", node.name));
            let pid = self.spawn(node.program, &node.name, &node.args);
            self.nodes[index].pid = pid;
            thread::sleep(gap);
        }
    }

    /// Waits until a process has ended, and kills it after the grace period.
    fn wait_for_end(&self, pid: u32, grace: Duration) {
        let until = Instant::now() + grace;
        loop {
            {
                let mut children = CHILDREN.lock().expect("the children");
                let Some(child) = children.iter_mut().find(|child| child.id() == pid) else {
                    return;
                };
                if matches!(child.try_wait(), Ok(Some(_))) {
                    return;
                }
                if Instant::now() >= until {
                    let _ = child.kill();
                    let _ = child.wait();
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn start_driver(&mut self, name: &str, zone: &str) {
        self.start_node("dogwoodtray-driver", name, zone, 290, &[]);
    }

    pub fn start_gateway(&mut self, name: &str, zone: &str) {
        let (listen, ready) = (free_addr(), free_addr());
        let own = [format!("--listen={listen}"), format!("--readiness={ready}")];
        self.start_node("dogwoodtray-gateway", name, zone, 260, &own);
        self.gateways.push(listen);
        self.readiness.push(ready);
    }

    /// Returns the status of the readiness check of each gateway.
    pub fn readiness(&self) -> Vec<Option<u16>> {
        let check = |addr: &SocketAddr| {
            let limit = Duration::from_secs(1);
            http::request(*addr, "GET", "/api/ready", &[], b"", limit)
                .ok()
                .map(|ready| ready.status)
        };
        self.readiness.iter().map(check).collect()
    }

    /// Starts a worker and registers it.
    pub fn start_worker(
        &mut self,
        id: &str,
        service: &str,
        events: u64,
        gap_ms: u64,
        framing: &str,
    ) {
        let program = std::env::current_exe().expect("the path of this program");
        let mut child = Command::new(program)
            .args(["worker", id, &events.to_string(), &gap_ms.to_string(), framing])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a worker");
        let stdin = Mutex::new(child.stdin.take().expect("an input"));
        let mut lines = BufReader::new(child.stdout.take().expect("an output")).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let addr = first.trim_start_matches("ADDR ").parse().expect("the address of the worker");
        let pid = child.id();
        CHILDREN.lock().expect("the children").push(child);
        let (record, name) = (self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.note(format!("worker {name}: {line}"));
            }
        });
        let worker = Worker { id: id.to_owned(), addr, pid, service: service.to_owned(), stdin };
        self.register(&worker, "ready");
        self.workers.push(worker);
    }

    /// Writes the entry of a worker.
    pub fn register(&self, worker: &Worker, state: &str) {
        let spec = entry(&worker.service, worker.addr, state);
        self.store.put("servers", worker.id.as_bytes(), &spec);
        self.record.note(format!("the store accepts: worker {} is {state}", worker.id));
    }

    /// Lets the process of a worker end at once. Its system closes its channels.
    pub fn end_worker(&self, index: usize) {
        let worker = &self.workers[index];
        let mut children = CHILDREN.lock().expect("the children");
        if let Some(child) = children.iter_mut().find(|child| child.id() == worker.pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
        drop(children);
        self.record.note(format!("the process of worker {} ends", worker.id));
    }

    /// Sends a line to a worker.
    pub fn tell(&self, index: usize, text: &str) {
        let worker = &self.workers[index];
        let _ = writeln!(worker.stdin.lock().expect("the input"), "{text}");
        self.record.note(format!("worker {} is told: {text}", worker.id));
    }

    /// Waits until all gateways are ready and a job reads as missing, which only a driver can say.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let knows_drivers = |addr: &SocketAddr| {
            let limit = Duration::from_secs(3);
            let headers = [("Host", HOST), ("Authorization", "Bearer key-clinic")];
            let read = http::request(*addr, "GET", "/api/lots/none?after=0", &headers, b"", limit);
            read.is_ok_and(|response| response.status == 404)
        };
        while Instant::now() < until {
            if self.readiness().iter().all(|status| *status == Some(200))
                && self.gateways.iter().all(knows_drivers)
            {
                // The links of the last drivers may come up a little later.
                thread::sleep(Duration::from_secs(2));
                self.record.note("all gateways are ready and reach a driver");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a request to a gateway and notes its answer.
    pub fn call(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        limit: Duration,
    ) -> Option<Response> {
        let mut all = vec![("Host", HOST)];
        all.extend_from_slice(headers);
        http::request(self.gateways[gateway], method, path, &all, body, limit).ok()
    }

    /// Hands a batch job in, again after 503 or no answer as clients do. Returns whether it was accepted.
    pub fn submit(&self, job: &str, body: &str, headers: &[(&str, &str)]) -> bool {
        self.submit_at("/pule252/", job, body, headers)
    }

    /// Hands a batch job in under the prefix of a route.
    pub fn submit_at(&self, prefix: &str, job: &str, body: &str, headers: &[(&str, &str)]) -> bool {
        for attempt in 0..4 {
            let gateway = attempt % self.gateways.len();
            let mut all = vec![("Attempt-Id", job), ("Deadline-Ms", "4000")];
            all.push(("Content-Type", "application/json"));
            all.extend_from_slice(headers);
            let limit = Duration::from_secs(5);
            let path = format!("{prefix}{job}");
            let answer = self.call(gateway, "POST", &path, &all, body.as_bytes(), limit);
            let status = answer.map(|answer| answer.status);
            self.record.note(format!("job {job} is handed in at gateway {gateway}: {status:?}"));
            if status == Some(202) {
                return true;
            }
            thread::sleep(Duration::from_millis(400));
        }
        false
    }

    /// Reads all results of a job: state and output by item. Returns `None` if it cannot be read now.
    pub fn results(
        &self,
        job: &str,
        headers: &[(&str, &str)],
    ) -> Option<BTreeMap<String, (String, String)>> {
        let mut found = BTreeMap::new();
        let mut after = 0;
        loop {
            let path = format!("/api/lots/{job}?after={after}");
            let limit = Duration::from_secs(3);
            let answer = self.call(0, "GET", &path, headers, b"", limit)?;
            if answer.status != 200 {
                return None;
            }
            let text = answer.text();
            let results = crate::json::list(&text, "results");
            if results.is_empty() {
                return Some(found);
            }
            after += results.len();
            for result in results {
                let id = crate::json::string(result, "id")?;
                let state = crate::json::string(result, "state")?;
                let output = crate::json::string(result, "output")?.replace("\\n", "\n");
                found.insert(id, (state, output));
            }
        }
    }

    /// Keeps the logs of the processes for reading, if the variable `REVIEW_LOGS` names a folder.
    pub fn end(&self) {
        end_all();
        if let Ok(to) = std::env::var("REVIEW_LOGS") {
            let _ = fs::create_dir_all(&to);
            for entry in fs::read_dir(&self.logs).into_iter().flatten().flatten() {
                let _ = fs::copy(entry.path(), PathBuf::from(&to).join(entry.file_name()));
            }
        }
        let _ = fs::remove_dir_all(&self.logs);
    }
}

/// Returns the entry of a worker as it stands in the store.
pub fn entry(service: &str, addr: SocketAddr, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"nam-central-a\",\
         \"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"cold-left-ms\":0,\"stage\":\"both\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":4,\
         \"born\":1796601600000}}"
    )
}

/// Returns an address at which nothing listens.
pub fn closed_addr() -> SocketAddr {
    free_addr()
}

/// Returns the body of a submission with these items, each with these headers more.
pub fn submission(items: &[String], more: &str) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|id| {
            format!(
                "{{\"id\":\"{id}\",\"path\":\"/pule252/3/{id}\",\"headers\":{{\"Model\":\"m\",\
                 \"Token-Counts\":\"350,400\",\"Prompt-Prefix\":\"9c2e41:100,{id}:250\"{more}}},\
                 \"body\":\"q83vEjRWeJA=\",\"tokens\":750}}"
            )
        })
        .collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Returns a batch route.
pub fn batch_route(name: &str, prefix: &str, anonymous: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\
         \"route-kind\":\"batch\",\"timeout-ms\":15000,\"latency-goal-ms\":400,\"priority\":2,\
         \"service\":\"huvo11a\",\"max-attempts\":3,\"anonymous\":{anonymous},\"sticky\":true,\
         \"resumable\":true,\"completion-target-ms\":18000,\"retention-s\":60,\"max-count\":0}}"
    )
}

/// Returns the config of a small deployment, with these routes and these fields at the top more.
pub fn config(version: u64, routes: &str, top_fields: &str) -> String {
    let lots = batch_route("r-lots", "/pule252/", false);
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-stream\",\"host\":\"{HOST}\",\"path-prefix\":\"/lohu930/\",\
         \"route-kind\":\"streaming\",\"timeout-ms\":5000,\"latency-goal-ms\":300,\"priority\":0,\
         \"service\":\"huvo11a\",\"max-attempts\":1,\"anonymous\":false,\"sticky\":true,\
         \"resumable\":false,\"gap-target-ms\":400}},{lots}{routes}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health-path\":\"/health\",\"max-conns\":180,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}{top_fields}}}"
    )
}
