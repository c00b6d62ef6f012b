//! Service stand-in and its HTTP routes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use dogwoodtray_coord::ContentHash;
use hyper::Method;
use hyper::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use tokio::sync::watch;

use super::config::ServiceConfig;
use super::config::ServiceFaults;
use crate::faults::FaultSettings;
use crate::faults::apply_patch;
use crate::http::Call;
use crate::http::ConnectionDropped;
use crate::http::Failure;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Server;
use crate::http::error;
use crate::http::json;
use crate::http::route_not_found;
use crate::runs::RunCounts;
use crate::runs::RunRecords;

/// Service that echoes each call and counts the runs of each key.
///
/// The key is the header `Idempotency-Key`, or `X-Request-Id` if it is missing, or `-` if both are.
#[derive(Debug)]
pub struct ServiceStandin {
    server: Server,
    shared: Arc<Shared>,
}

/// State shared by all connections.
#[derive(Debug)]
struct Shared {
    delay: Duration,
    faults: watch::Sender<ServiceFaults>,
    runs: RunRecords,
    rng: Mutex<StdRng>,
}

impl ServiceStandin {
    /// Binds the listener and starts the server on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener, or `InvalidInput` if the faults are invalid.
    pub async fn bind(cfg: ServiceConfig) -> io::Result<Self> {
        if let Some(message) = cfg.faults.validation_error() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        let shared = Arc::new(Shared {
            delay: cfg.delay,
            faults: watch::Sender::new(cfg.faults),
            runs: RunRecords::default(),
            rng: Mutex::new(StdRng::seed_from_u64(cfg.seed)),
        });
        let server = Server::bind(cfg.addr, |_| Arc::clone(&shared)).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the listener.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Closes the listener and drops all connections.
    pub fn shutdown(&self) {
        self.server.shutdown();
    }

    /// Drops all connections and refuses new ones for the given time, or until [`Self::restart`] if
    /// it is `None`.
    pub fn crash(&self, restart_after: Option<Duration>) {
        self.server.control().crash(restart_after);
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.server.control().restart();
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> ServiceFaults {
        self.shared.faults.borrow().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        debug_assert_eq!(faults.validation_error(), None, "invalid faults");
        self.shared.faults.send_replace(faults);
    }

    /// Returns the run counters of each key.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, RunCounts> {
        self.shared.runs.all()
    }
}

impl Handler for Shared {
    async fn handle(&self, call: Call) -> Result<Reply, Failure> {
        match (&call.method, call.route().as_slice()) {
            (&Method::GET, ["standin", "runs"]) => {
                Ok(json(StatusCode::OK, &json!({ "runs": self.runs.all() })))
            }
            (&Method::POST, ["standin", "faults"]) => self.post_faults(&call),
            (_, ["standin", ..]) => Err(route_not_found()),
            _ => self.run(&call).await,
        }
    }
}

impl Shared {
    async fn run(&self, call: &Call) -> Result<Reply, Failure> {
        let request_id = call.header("x-request-id");
        let key = call.header("idempotency-key").or(request_id).unwrap_or("-");
        let faults = self.faults.borrow().clone();
        let record = self.runs.start(key);
        let delay = self.delay.saturating_add(Duration::from_millis(faults.slow_ms));
        // Use a separate task, because a service completes a run even if the caller disconnects.
        let task = tokio::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            record.add_finished()
        });
        let run = task.await.map_err(|_| ConnectionDropped)?;
        let (fail, drop_reply) = self.draw_faults(&faults);
        if drop_reply {
            return Err(ConnectionDropped.into());
        }
        if fail {
            return Err(error(StatusCode::INTERNAL_SERVER_ERROR, "failed", "the run failed"));
        }
        let echo = json!({
            "request_id": request_id,
            "key": key,
            "method": call.method.as_str(),
            "path": call.path.join("/"),
            "body_hash": ContentHash::of(&call.body).to_string(),
            "run": run,
        });
        Ok(json(StatusCode::OK, &echo))
    }

    fn draw_faults(&self, faults: &ServiceFaults) -> (bool, bool) {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        (rng.random_bool(faults.fail), rng.random_bool(faults.drop_after_run))
    }

    fn post_faults(&self, call: &Call) -> Result<Reply, Failure> {
        let current = self.faults.borrow().clone();
        let next = apply_patch(&current, &call.body)?;
        self.faults.send_replace(next.clone());
        Ok(json(StatusCode::OK, &next))
    }
}
