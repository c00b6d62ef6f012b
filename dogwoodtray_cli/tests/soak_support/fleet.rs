//! Gateways, drivers, endpoints and store of a small site.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use dogwoodtray_platform::MemoryObjects;
use tokio::runtime::Handle;
use tokio::time::sleep;

use super::child::Process;
use super::relay::Relay;
use super::standin::addr::free_addr;
use super::standin::caller;
use super::standin::endpoint::Endpoint;
use super::standin::endpoint::EndpointConfig;
use super::standin::endpoint::Runs;
use super::standin::site::config;
use super::standin::store::StoreServer;

const GATEWAYS: usize = 3;
const DRIVERS: usize = 2;
const ENGINES: usize = 3;
const SLOTS: usize = 4;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time from SIGTERM to SIGKILL at the sites of the platform, in seconds.
pub(crate) const GRACE_S: u64 = 8;

const GATEWAY_BIN: &str = env!("CARGO_BIN_EXE_dogwoodtray-gateway");
const DRIVER_BIN: &str = env!("CARGO_BIN_EXE_dogwoodtray-driver");
const DATA_CENTRES: [&str; 3] = ["apeldoorn", "deventer", "zutphen"];

/// A gateway or driver process, with relays in front of its store and its peer port.
#[derive(Debug)]
pub(crate) struct Program {
    pub(crate) process: Process,
    pub(crate) store: StoreServer,
    pub(crate) store_relay: Relay,
    pub(crate) peer_relay: Relay,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
}

/// An endpoint of the site and the relay through which it is reached.
#[derive(Debug)]
pub(crate) struct SiteEndpoint {
    pub(crate) server: Endpoint,
    pub(crate) relay: Relay,
}

/// A running site.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) objects: MemoryObjects,
    pub(crate) runs: Runs,
    pub(crate) endpoints: Vec<SiteEndpoint>,
    /// Gateways, followed by drivers.
    pub(crate) programs: Vec<Program>,
    gateways: usize,
}

impl Fleet {
    /// Starts all processes and endpoints and waits until the gateways are ready.
    pub(crate) async fn start(dir: &Path) -> Self {
        let objects = MemoryObjects::new();
        objects.put("config", "main", &config(1));
        let runs = Runs::default();
        let mut endpoints = Vec::new();
        let services = ["engine"; ENGINES].into_iter().chain(["ledger", "ledger", "archive"]);
        for (index, service) in services.enumerate() {
            endpoints.push(start_endpoint(&objects, &runs, index, service).await);
        }
        let mut programs = Vec::new();
        let gateways = setting("DOGWOODTRAY_SOAK_GATEWAYS").unwrap_or(GATEWAYS);
        let drivers = setting("DOGWOODTRAY_SOAK_DRIVERS").unwrap_or(DRIVERS);
        for index in 0..gateways + drivers {
            programs.push(start_program(&objects, dir, index, index < gateways).await);
        }
        let fleet = Self { objects, runs, endpoints, programs, gateways };
        assert!(fleet.is_ready_within(START_TIMEOUT).await, "the gateways are not ready in time");
        fleet
    }

    pub(crate) fn gateways(&self) -> &[Program] {
        &self.programs[..self.gateways]
    }

    pub(crate) fn drivers(&self) -> &[Program] {
        &self.programs[self.gateways..]
    }

    pub(crate) fn engines(&self) -> &[SiteEndpoint] {
        &self.endpoints[..ENGINES]
    }

    /// Waits until all gateways are ready. Returns `false` if they are not within `timeout`.
    pub(crate) async fn is_ready_within(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        for gateway in self.gateways() {
            while !caller::is_ready(gateway.readiness).await {
                if Instant::now() > deadline {
                    return false;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }
}

/// Returns the number in an environment variable, or `None` if it is not set.
fn setting(name: &str) -> Option<usize> {
    std::env::var(name).ok().map(|value| value.parse().unwrap())
}

/// Waits until a condition holds, and panics after [`START_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + START_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "not within {START_TIMEOUT:?}: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn start_endpoint(
    objects: &MemoryObjects,
    runs: &Runs,
    index: usize,
    service: &'static str,
) -> SiteEndpoint {
    let (listen, registered) = (free_addr(), free_addr());
    let cfg = EndpointConfig {
        id: format!("{service}-{index}"),
        service,
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()],
        listen,
        registered,
        slots: SLOTS,
    };
    let server = Endpoint::start(cfg, objects.clone(), Runs::clone(runs)).await;
    SiteEndpoint { server, relay: Relay::start(&Handle::current(), registered, listen) }
}

async fn start_program(
    objects: &MemoryObjects,
    dir: &Path,
    index: usize,
    is_gateway: bool,
) -> Program {
    let [listen, readiness, peer, admin, peer_relay, store, store_relay] =
        [(); 7].map(|()| free_addr());
    let name = if is_gateway { format!("gateway-{index}") } else { format!("driver-{index}") };
    let objects = objects.separate_handle();
    let store_server = StoreServer::bind(store, objects, Some((peer, peer_relay))).await;
    let rt = Handle::current();
    let store_relay_handle = Relay::start(&rt, store_relay, store);
    let mut args = vec![
        format!("--node={name}"),
        format!("--data-centre={}", DATA_CENTRES[index % DATA_CENTRES.len()]),
        format!("--peer={peer}"),
        format!("--admin={admin}"),
        format!("--platform={store_relay}"),
        format!("--grace-s={GRACE_S}"),
        "--results-kept-s=120".to_owned(),
    ];
    if is_gateway {
        args.push(format!("--listen={listen}"));
        args.push(format!("--readiness={readiness}"));
    }
    let program = if is_gateway { GATEWAY_BIN } else { DRIVER_BIN };
    Program {
        process: Process::start(&name, program, args, dir),
        store: store_server,
        store_relay: store_relay_handle,
        peer_relay: Relay::start(&rt, peer_relay, peer),
        callers: listen,
        readiness,
    }
}
