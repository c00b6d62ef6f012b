//! The running stand-in.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;

use super::config::EngineConfig;
use super::core::Core;
use super::faults::EngineFaults;
use crate::faults::FaultSet;
use crate::faults::is_probability;
use crate::http::Server;
use crate::runs::RunCounts;

/// Serves chat completions with the timing of an engine with continuous batching.
///
/// Admits all requests on arrival and has no priorities. The text of an answer is a function of
/// its prompt, see [`check_answer`](crate::check_answer).
///
/// # Examples
///
/// ```
/// use dogwoodtray_standin::EngineConfig;
/// use dogwoodtray_standin::EngineStandin;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let engine = EngineStandin::bind(EngineConfig::default()).await.unwrap();
/// assert!(engine.runs().is_empty());
/// engine.shutdown();
/// # });
/// ```
#[derive(Debug)]
pub struct EngineStandin {
    server: Server,
    core: Arc<Core>,
    steps: AbortHandle,
}

impl EngineStandin {
    /// Binds the listener and starts to serve on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener, or `InvalidInput` for settings that are not valid.
    pub async fn bind(cfg: EngineConfig) -> io::Result<Self> {
        let loss = is_probability(cfg.cache_event_loss);
        let loss = (!loss).then_some("cache_event_loss must lie between 0 and 1");
        if let Some(problem) = cfg.faults.problem().or(loss) {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, problem));
        }
        let mut made = None;
        let server = Server::bind(cfg.addr, |control| {
            let core = Arc::new(Core::new(cfg, control));
            made = Some(Arc::clone(&core));
            core
        })
        .await?;
        let core = made.ok_or(io::ErrorKind::Other)?;
        let steps = tokio::spawn(Arc::clone(&core).run_steps()).abort_handle();
        Ok(Self { server, core, steps })
    }

    /// Returns the address of the listener.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the steps, closes the listener and drops all connections.
    pub fn shutdown(&self) {
        self.server.shutdown();
        self.steps.abort();
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.core.faults.borrow().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        debug_assert_eq!(faults.problem(), None, "faults are not valid");
        self.core.faults.send_replace(faults);
    }

    /// Kills the endpoint. It refuses connections for a time; `None` until [`Self::restart`].
    pub fn crash(&self, restart_after: Option<Duration>) {
        self.core.crash(restart_after);
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.core.restart();
    }

    /// Returns how often the endpoint was killed.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.core.lock().crashes
    }

    /// Returns how many sequences are inside, without a lag.
    #[must_use]
    pub fn running(&self) -> usize {
        self.core.lock().batch.len()
    }

    /// Returns how often each request ran.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, RunCounts> {
        self.core.runs.all()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.shutdown();
    }
}
