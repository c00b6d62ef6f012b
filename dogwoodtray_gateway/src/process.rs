//! Startup and shutdown of gateways and job drivers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_platform::ObjectStore;
use dogwoodtray_policy::BALANCER_REMOVAL_TIME;
use dogwoodtray_policy::LearnedService;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::install_metrics;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::driver::Driver;
use crate::http::CallerServer;
use crate::http::serve_admin;
use crate::model::Dialect;
use crate::node::Node;
use crate::node::NodeConfig;
use crate::node::NodeRole;

/// Time before the kill at which a process stops waiting for open requests.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time in which the requests that are open at the end of a drain are answered.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Maximum time in which a stopping driver stores finished results.
const MAX_HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Interval at which histogram samples are aggregated; at 1,000 requests per second they occupy
/// 80 KB until then.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which a drain checks whether it is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Gateway process, which serves callers. Runs within a `LocalSet`.
#[derive(Debug)]
pub struct Gateway {
    node: Rc<Node>,
    caller_server: CallerServer,
}

impl Gateway {
    /// Binds the addresses of a gateway and starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn bind(
        cfg: NodeConfig,
        listen: SocketAddr,
        readiness: SocketAddr,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn ObjectStore>,
    ) -> io::Result<Self> {
        debug_assert_eq!(cfg.role, NodeRole::Gateway);
        let node = start(cfg, dialect, store).await?;
        serve_admin(&node, readiness, install_metrics()).await?;
        let caller_server = CallerServer::bind(&node, listen).await?;
        Ok(Self { node, caller_server })
    }

    /// Stops gracefully: waits until the load balancer has removed this VM, then closes connections
    /// as they become idle. Requests that may not end in the rest of the grace period are refused.
    pub async fn drain(self) {
        let started_at = Instant::now();
        let limit = self.node.cfg.grace.saturating_sub(KILL_MARGIN);
        self.node.drain.begin(self.node.now(), limit);
        self.node.draining.set(true);
        self.node.announce_leaving();
        self.node.events.emit(
            &catalogue::DRAIN_STARTED,
            None,
            &[("open", &self.caller_server.open_connections())],
        );
        sleep(BALANCER_REMOVAL_TIME.min(limit)).await;
        self.caller_server.begin_shutdown();
        self.wait_for_connections(started_at + limit).await;
        self.node.drain.end();
        self.wait_for_connections(Instant::now() + FINAL_ANSWER_TIME).await;
        self.node.events.emit(
            &catalogue::DRAIN_FINISHED,
            None,
            &[("open", &self.caller_server.open_connections())],
        );
    }

    /// Waits until no connection of a caller is open, or the time has come.
    async fn wait_for_connections(&self, until: Instant) {
        while self.caller_server.open_connections() > 0 && Instant::now() < until {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Driver process, which runs batch jobs and assigns places at endpoints. Runs within a `LocalSet`.
#[derive(Debug)]
pub struct JobDriver {
    node: Rc<Node>,
    driver: Rc<Driver>,
}

impl JobDriver {
    /// Binds the addresses of a driver and starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn bind(
        cfg: NodeConfig,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn ObjectStore>,
    ) -> io::Result<Self> {
        debug_assert_eq!(cfg.role, NodeRole::Driver);
        let node = start(cfg, dialect, store).await?;
        let driver = Driver::spawn(&node);
        debug_assert!(node.driver.get().is_none(), "a process has one driver");
        node.driver.get_or_init(|| Rc::clone(&driver));
        Ok(Self { node, driver })
    }

    /// Returns `true` if this process drives the job with this id.
    #[must_use]
    pub fn drives(&self, job: &str) -> bool {
        self.driver.drives(job)
    }

    /// Returns what this process knows of the costs of requests and the speeds of endpoints.
    #[must_use]
    pub fn learned_costs(&self) -> Vec<LearnedService> {
        self.node.learned_costs()
    }

    /// Stops gracefully: stores finished results and hands the jobs over to other drivers.
    pub async fn drain(self) {
        let started_at = Instant::now();
        self.driver.begin_stop();
        self.node.draining.set(true);
        self.node.announce_leaving();
        self.node.events.emit(&catalogue::DRAIN_STARTED, None, &[]);
        while !self.driver.is_idle() && started_at.elapsed() < MAX_HANDOVER_TIME {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.node.events.emit(&catalogue::DRAIN_FINISHED, None, &[]);
    }
}

async fn start(
    cfg: NodeConfig,
    dialect: Arc<dyn Dialect>,
    store: Arc<dyn ObjectStore>,
) -> io::Result<Rc<Node>> {
    let node = Node::new(cfg, dialect, store);
    node.open_links().await?;
    let metrics = install_metrics();
    serve_admin(&node, node.cfg.admin, metrics.clone()).await?;
    spawn_local(async move {
        loop {
            sleep(METRICS_UPKEEP_INTERVAL).await;
            metrics.run_upkeep();
        }
    });
    node.spawn_place_ticks();
    node.spawn_limit_share();
    node.spawn_place_metrics();
    node.spawn_sync();
    node.spawn_config_age();
    node.events.emit(&catalogue::PROCESS_STARTED, None, &[("peer", &node.cfg.peer)]);
    Ok(node)
}
