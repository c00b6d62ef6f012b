//! Fleet of roles and stand-ins in one process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_agent::Agent;
use dogwoodtray_agent::AgentError;
use dogwoodtray_agent::AgentSettings;
use dogwoodtray_agent::EndpointKind;
use dogwoodtray_coord::Name;
use dogwoodtray_entry::Entry;
use dogwoodtray_entry::EntryError;
use dogwoodtray_entry::EntrySettings;
use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineStandin;
use dogwoodtray_standin::PlatformConfig;
use dogwoodtray_standin::PlatformStandin;
use dogwoodtray_standin::Vm;
use dogwoodtray_standin::VmRole;
use quick_error::quick_error;

use super::ports::PortReservations;

const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

quick_error! {
    /// Error that is returned if a fleet cannot be started.
    #[derive(Debug)]
    pub enum FleetError {
        /// A port could not be bound.
        Io(err: io::Error) {
            from()
            display("cannot bind a port: {err}")
            source(err)
        }
        /// An agent could not be started.
        Agent(err: AgentError) {
            from()
            display("{err}")
            source(err)
        }
        /// An entry could not be started.
        Entry(err: EntryError) {
            from()
            display("{err}")
            source(err)
        }
        /// The entries did not connect to all agents in time.
        NotReady {
            display("the entries did not reach all agents within {} s", READY_TIMEOUT.as_secs())
        }
    }
}

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of entries.
    pub entries: usize,
    /// Number of endpoints. Each one is an engine with an agent.
    pub endpoints: usize,
    /// Model that all engines serve.
    pub model: Name,
    /// Name of the routing policy.
    pub routing: Name,
    /// Name of the admission policy.
    pub admission: Name,
    /// Maximum number of concurrent requests at an engine.
    pub max_places: u32,
    /// Whether slow requests are hedged with a second attempt.
    pub hedging: bool,
    /// Maximum time that a draining entry waits for open requests.
    pub entry_drain_timeout: Duration,
    /// Settings of the engines, except for models and seeds, which the fleet sets.
    pub engine: EngineConfig,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            entries: 2,
            endpoints: 4,
            model: Name::from("standin"),
            routing: Name::from("adaptive"),
            admission: Name::from("adaptive"),
            max_places: 32,
            hedging: true,
            entry_drain_timeout: Duration::from_secs(30),
            engine: EngineConfig::default(),
        }
    }
}

/// A running fleet. Dropping it stops all of its parts.
#[derive(Debug)]
pub struct Fleet {
    /// The platform stand-in.
    pub platform: PlatformStandin,
    /// The engine stand-ins.
    pub engines: Vec<EngineStandin>,
    /// The agents, in the order of the engines.
    pub agents: Vec<Agent>,
    /// The entries.
    pub entries: Vec<Entry>,
    ports: PortReservations,
}

impl Fleet {
    /// Starts a fleet and waits until every entry is connected to every agent.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started or does not become ready in time.
    pub async fn start(cfg: &FleetConfig) -> Result<Self, FleetError> {
        let platform = PlatformStandin::bind(PlatformConfig::default()).await?;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            ports: PortReservations::default(),
        };
        for index in 0..cfg.endpoints {
            fleet.start_endpoint(cfg, index).await?;
        }
        for index in 0..cfg.entries {
            fleet.start_entry(cfg, index).await?;
        }
        fleet.wait_until_ready(cfg).await?;
        Ok(fleet)
    }

    /// Returns the caller addresses of the entries.
    #[must_use]
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::caller_addr).collect()
    }

    async fn start_endpoint(&mut self, cfg: &FleetConfig, index: usize) -> Result<(), FleetError> {
        let engine_cfg = cfg.engine.clone().models([cfg.model.to_string()]).seed(index as u64);
        let engine = EngineStandin::bind(engine_cfg).await?;
        let data_centre = Name::from(DATA_CENTRES[index % DATA_CENTRES.len()]);
        let node = Name::from(format!("agent-{index}"));
        let settings = AgentSettings {
            node: Name::clone(&node),
            data_centre: Name::clone(&data_centre),
            peer: self.ports.reserve()?,
            admin: self.ports.reserve()?,
            endpoint: engine.addr(),
            kind: EndpointKind::Engine,
            models: vec![Name::clone(&cfg.model)],
            checks_fence: true,
            admission: Name::clone(&cfg.admission),
            max_places: cfg.max_places,
            stall_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(30),
        };
        let agent = Agent::bind(settings).await?;
        let addr = agent.peer_addr().to_string();
        self.platform.set_vm(Vm::live(node, VmRole::Agent, addr, data_centre));
        self.engines.push(engine);
        self.agents.push(agent);
        Ok(())
    }

    async fn start_entry(&mut self, cfg: &FleetConfig, index: usize) -> Result<(), FleetError> {
        let data_centre = Name::from(DATA_CENTRES[index % DATA_CENTRES.len()]);
        let node = Name::from(format!("entry-{index}"));
        let mut settings = EntrySettings::new(
            Name::clone(&node),
            Name::clone(&data_centre),
            self.ports.reserve()?,
            self.ports.reserve()?,
            self.ports.reserve()?,
            self.platform.addr(),
        );
        settings.routing = Name::clone(&cfg.routing);
        settings.hedging = cfg.hedging;
        settings.drain_timeout = cfg.entry_drain_timeout;
        let entry = Entry::bind(settings).await?;
        let addr = entry.peer_addr().to_string();
        self.platform.set_vm(Vm::live(node, VmRole::Entry, addr, data_centre));
        self.entries.push(entry);
        Ok(())
    }

    async fn wait_until_ready(&self, cfg: &FleetConfig) -> Result<(), FleetError> {
        let all_linked = async {
            while !self.entries.iter().all(|entry| entry.has_agent_links(cfg.endpoints)) {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all_linked).await.map_err(|_| FleetError::NotReady)
    }
}
