//! The running stand-in.

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
use crate::faults::FaultSet;
use crate::faults::patched;
use crate::http::Call;
use crate::http::Dropped;
use crate::http::Failure;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Server;
use crate::http::error;
use crate::http::json;
use crate::http::no_route;
use crate::runs::RunCounts;
use crate::runs::Runs;

/// Echoes each call and counts its runs by key.
///
/// The key is the header `Idempotency-Key`, else `X-Request-Id`, else `-`.
#[derive(Debug)]
pub struct ServiceStandin {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    delay: Duration,
    faults: watch::Sender<ServiceFaults>,
    runs: Runs,
    rng: Mutex<StdRng>,
}

impl ServiceStandin {
    /// Binds the listener and starts to serve on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener, or `InvalidInput` for faults that are not valid.
    pub async fn bind(cfg: ServiceConfig) -> io::Result<Self> {
        if let Some(problem) = cfg.faults.problem() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, problem));
        }
        let shared = Arc::new(Shared {
            delay: cfg.delay,
            faults: watch::Sender::new(cfg.faults),
            runs: Runs::default(),
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

    /// Drops all connections and refuses new ones for a time; `None` until [`Self::restart`].
    pub fn crash(&self, restart_after: Option<Duration>) {
        self.server.control().crash(restart_after);
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.server.control().restart();
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> ServiceFaults {
        self.shared.faults.borrow().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        debug_assert_eq!(faults.problem(), None, "faults are not valid");
        self.shared.faults.send_replace(faults);
    }

    /// Returns how often each key ran.
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
            (_, ["standin", ..]) => Err(no_route()),
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
        // A task of its own, because a service completes its effect for a caller that went away.
        let run = tokio::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            record.add_finished()
        });
        let run = run.await.map_err(|_| Dropped)?;
        let (fail, lost) = self.draw(&faults);
        if lost {
            return Err(Dropped.into());
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

    fn draw(&self, faults: &ServiceFaults) -> (bool, bool) {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        (rng.random_bool(faults.fail), rng.random_bool(faults.drop_after_run))
    }

    fn post_faults(&self, call: &Call) -> Result<Reply, Failure> {
        let current = self.faults.borrow().clone();
        let next = patched(&current, &call.body)?;
        self.faults.send_replace(next.clone());
        Ok(json(StatusCode::OK, &next))
    }
}
