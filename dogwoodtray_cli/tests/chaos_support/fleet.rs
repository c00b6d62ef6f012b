//! Processes of a small fleet and their addresses.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::runtime::Handle;

use super::child::Process;
use super::http;
use super::relay::Relay;

pub(crate) const MODEL: &str = "kegtalk";
pub(crate) const SERVICE: &str = "kegledger";
/// Text in a prompt that crashes the engine that runs it.
pub(crate) const POISON: &str = "POISON";
/// Time until an engine restarts after a crash, in milliseconds.
pub(crate) const CRASH_MS: u64 = 300;
const ENGINES: usize = 3;
const ENTRIES: usize = 3;
const START_TIMEOUT: Duration = Duration::from_secs(20);

const ENTRY_BIN: &str = env!("CARGO_BIN_EXE_dogwoodtray-entry");
const AGENT_BIN: &str = env!("CARGO_BIN_EXE_dogwoodtray-agent");
const STANDIN_BIN: &str = env!("CARGO_BIN_EXE_dogwoodtray-standin");

/// An endpoint and its agent, each with a relay in front of it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) server: Process,
    pub(crate) server_addr: SocketAddr,
    pub(crate) server_relay: Relay,
    pub(crate) agent: Process,
    pub(crate) admin: SocketAddr,
    pub(crate) agent_relay: Relay,
}

/// An entry process and its addresses.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) process: Process,
    pub(crate) listen: SocketAddr,
    pub(crate) admin: SocketAddr,
    /// Whether the load balancer routes new requests to this entry.
    pub(crate) in_balancer: AtomicBool,
}

/// A running fleet.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) platform: SocketAddr,
    _platform: Process,
    /// Engines, followed by the plain service.
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) dir: PathBuf,
}

impl Fleet {
    /// Starts all processes and waits until the entries are ready and connected to the other
    /// processes.
    pub(crate) fn start(rt: &Handle, dir: &Path) -> Self {
        let platform = free_addr();
        let args = to_args(&["platform", "--listen", &platform.to_string()]);
        let process = Process::start("platform", STANDIN_BIN, args, dir);
        wait_until("the platform serves", || http::get_json(platform, "/standin/calls").is_some());
        let endpoints =
            (0..=ENGINES).map(|index| start_endpoint(rt, dir, platform, index)).collect();
        let entries = (0..ENTRIES).map(|index| start_entry(dir, platform, index)).collect();
        let fleet = Self { platform, _platform: process, endpoints, entries, dir: dir.to_owned() };
        fleet.wait_until_connected(START_TIMEOUT);
        fleet
    }

    pub(crate) fn engines(&self) -> &[Endpoint] {
        &self.endpoints[..ENGINES]
    }

    /// Sets the faults that the platform injects.
    pub(crate) fn platform_faults(&self, faults: &serde_json::Value) {
        http::send_json("POST", self.platform, "/standin/faults", faults);
    }

    /// Waits until each entry is ready and reports all other processes as live.
    pub(crate) fn wait_until_connected(&self, timeout: Duration) {
        let all = self.endpoints.len() + self.entries.len() - 1;
        let is_connected = |entry: &Entry| {
            let status = http::get_json(entry.admin, "/status").unwrap_or_default();
            let peers = status["peers"].as_array().map(Vec::as_slice).unwrap_or_default();
            let live = peers.iter().filter(|peer| peer["state"] == "live").count();
            status["ready"] == true && live >= all
        };
        let deadline = Instant::now() + timeout;
        while !self.entries.iter().all(is_connected) {
            assert!(Instant::now() < deadline, "the entries are not connected to all processes");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Waits until a condition holds, and panics after [`START_TIMEOUT`].
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + START_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {START_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn start_endpoint(rt: &Handle, dir: &Path, platform: SocketAddr, index: usize) -> Endpoint {
    let engine = index < ENGINES;
    let (kind, name) = if engine { ("engine", MODEL) } else { ("service", SERVICE) };
    let node = format!("agent-{index}");
    let server_addr = free_addr();
    let mut args = to_args(&[kind, "--listen", &server_addr.to_string()]);
    if engine {
        args.extend(to_args(&["--models", name, "--endpoint-checks-fence=true"]));
    }
    let server = Process::start(&format!("{kind}-{index}"), STANDIN_BIN, args, dir);
    let [relay_addr, peer, admin, agent_relay_addr] = [(); 4].map(|()| free_addr());
    let args = to_args(&[
        "--node",
        &node,
        "--data-centre",
        DATA_CENTRES[index % 3],
        "--peer",
        &peer.to_string(),
        "--admin",
        &admin.to_string(),
        "--endpoint",
        &relay_addr.to_string(),
        "--endpoint-kind",
        kind,
        "--models",
        name,
        "--max-places",
        "32",
    ]);
    let endpoint = Endpoint {
        server,
        server_addr,
        server_relay: Relay::start(rt, relay_addr, server_addr),
        agent: Process::start(&node, AGENT_BIN, args, dir),
        admin,
        agent_relay: Relay::start(rt, agent_relay_addr, peer),
    };
    set_crash_marker(&endpoint, engine);
    register(platform, &node, "agent", agent_relay_addr, index);
    endpoint
}

/// Configures an engine to crash on prompts that contain [`POISON`]. The setting is lost when the
/// process of the engine is killed.
pub(crate) fn set_crash_marker(endpoint: &Endpoint, engine: bool) {
    let faults = json!({ "crash_marker": POISON, "restart_after_ms": CRASH_MS });
    let addr = endpoint.server_addr;
    wait_until("an endpoint serves", || http::get_json(addr, "/standin/runs").is_some());
    if engine {
        http::send_json("POST", addr, "/standin/faults", &faults);
    }
}

fn start_entry(dir: &Path, platform: SocketAddr, index: usize) -> Entry {
    let node = format!("entry-{index}");
    let [listen, peer, admin] = [(); 3].map(|()| free_addr());
    let args = to_args(&[
        "--node",
        &node,
        "--data-centre",
        DATA_CENTRES[index % 3],
        "--region",
        "nl-oost",
        "--listen",
        &listen.to_string(),
        "--peer",
        &peer.to_string(),
        "--admin",
        &admin.to_string(),
        "--platform",
        &platform.to_string(),
    ]);
    let process = Process::start(&node, ENTRY_BIN, args, dir);
    register(platform, &node, "entry", peer, index);
    Entry { process, listen, admin, in_balancer: AtomicBool::new(true) }
}

const DATA_CENTRES: [&str; 3] = ["apeldoorn", "deventer", "zutphen"];

fn register(platform: SocketAddr, name: &str, role: &str, addr: SocketAddr, index: usize) {
    let data_centre = DATA_CENTRES[index % 3];
    let vm = json!({
        "name": name, "role": role, "addr": addr, "data_centre": data_centre, "state": "live",
    });
    http::send_json("PUT", platform, &format!("/standin/vms/{name}"), &vm);
}

fn to_args(args: &[&str]) -> Vec<String> {
    args.iter().map(ToString::to_string).collect()
}

/// Returns an address with a port below the ephemeral range, so that no outgoing connection can use
/// the port while its process is down.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let port = base + NEXT.fetch_add(1, SeqCst) % 2_000;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        }
    }
}
