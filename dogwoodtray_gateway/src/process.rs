//! Running processes of both roles.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_platform::ObjectStore;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::install_metrics;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::driver::Driver;
use crate::front::Front;
use crate::front::serve_admin;
use crate::model::Dialect;
use crate::node::Node;
use crate::node::NodeConfig;
use crate::node::NodeRole;

/// Time after a request to stop in which callers still arrive. The balancer checks readiness once
/// a second and takes a VM out after two misses.
const ROTATION_TIME: Duration = Duration::from_millis(2_500);

/// Time before the kill at which a process stops waiting for callers.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time that a driver takes at most to store what is finished.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);

/// Interval at which observations of histograms are folded together; at 1,000 requests a second
/// they take 80 KB until then.
const METRICS_UPKEEP: Duration = Duration::from_secs(10);

/// Interval at which the end of a drain is looked for.
const POLL: Duration = Duration::from_millis(50);

/// Serves callers. Runs within a `LocalSet`.
#[derive(Debug)]
pub struct Gateway {
    node: Rc<Node>,
    front: Front,
}

impl Gateway {
    /// Binds the ports of a gateway and starts it.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn bind(
        cfg: NodeConfig,
        callers: SocketAddr,
        readiness: SocketAddr,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn ObjectStore>,
    ) -> io::Result<Self> {
        debug_assert_eq!(cfg.role, NodeRole::Gateway);
        let node = start(cfg, dialect, store).await?;
        serve_admin(&node, readiness, install_metrics()).await?;
        let front = Front::bind(&node, callers).await?;
        Ok(Self { node, front })
    }

    /// Stops without cutting an answer off: the process first leaves the balancer's rotation and
    /// then closes its connections as they become idle.
    pub async fn drain(self) {
        let began = Instant::now();
        self.node.draining.set(true);
        self.node.announce_leaving();
        self.node.events.emit(&catalogue::DRAIN_STARTED, None, &[("open", &self.front.open())]);
        sleep(ROTATION_TIME).await;
        self.front.close();
        let limit = self.node.cfg.grace.saturating_sub(KILL_MARGIN);
        while self.front.open() > 0 && began.elapsed() < limit {
            sleep(POLL).await;
        }
        self.node.events.emit(&catalogue::DRAIN_FINISHED, None, &[("open", &self.front.open())]);
    }
}

/// Drives batch jobs and gives places at endpoints. Runs within a `LocalSet`.
#[derive(Debug)]
pub struct JobDriver {
    node: Rc<Node>,
    driver: Rc<Driver>,
}

impl JobDriver {
    /// Binds the ports of a driver and starts it.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
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

    /// Tells whether this process drives a job.
    #[must_use]
    pub fn drives(&self, job: &str) -> bool {
        self.driver.drives(job)
    }

    /// Stops: other drivers take the jobs over, and what is finished is stored.
    pub async fn drain(self) {
        let began = Instant::now();
        self.node.draining.set(true);
        self.node.announce_leaving();
        self.node.events.emit(&catalogue::DRAIN_STARTED, None, &[]);
        while !self.driver.is_idle() && began.elapsed() < HAND_OVER_TIME {
            sleep(POLL).await;
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
            sleep(METRICS_UPKEEP).await;
            metrics.run_upkeep();
        }
    });
    node.spawn_place_ticks();
    node.spawn_sync();
    node.events.emit(&catalogue::PROCESS_STARTED, None, &[("peer", &node.cfg.peer)]);
    Ok(node)
}
