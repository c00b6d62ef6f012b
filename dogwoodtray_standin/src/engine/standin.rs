//! Handle of a running engine stand-in.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;

use super::config::EngineConfig;
use super::core::Shared;
use super::faults::EngineFaults;
use crate::faults::FaultSettings;
use crate::faults::is_probability;
use crate::http::Server;
use crate::runs::RunCounts;

/// Engine that serves chat completions with the timing of continuous batching.
///
/// It adds all requests to the batch on arrival, without priorities. The text of an answer is a
/// function of the prompt, see [`check_answer`](crate::check_answer).
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
    shared: Arc<Shared>,
    step_task: AbortHandle,
}

impl EngineStandin {
    /// Binds the listener and starts the server on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener, or `InvalidInput` if the settings are invalid.
    pub async fn bind(cfg: EngineConfig) -> io::Result<Self> {
        let valid_loss = is_probability(cfg.cache_event_loss);
        let loss_error = (!valid_loss).then_some("cache_event_loss must lie between 0 and 1");
        if let Some(message) = cfg.faults.validation_error().or(loss_error) {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        let mut created = None;
        let server = Server::bind(cfg.addr, |control| {
            let shared = Arc::new(Shared::new(cfg, control));
            created = Some(Arc::clone(&shared));
            shared
        })
        .await?;
        let shared = created.ok_or(io::ErrorKind::Other)?;
        let step_task = tokio::spawn(Arc::clone(&shared).run_steps()).abort_handle();
        Ok(Self { server, shared, step_task })
    }

    /// Returns the address of the listener.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the steps, closes the listener and drops all connections.
    pub fn shutdown(&self) {
        self.server.shutdown();
        self.step_task.abort();
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.shared.faults.borrow().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        debug_assert_eq!(faults.validation_error(), None, "invalid faults");
        self.shared.faults.send_replace(faults);
    }

    /// Crashes the endpoint, which then refuses connections for the given time, or until
    /// [`Self::restart`] if it is `None`.
    pub fn crash(&self, restart_after: Option<Duration>) {
        self.shared.crash(restart_after);
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Returns how often the endpoint crashed.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.shared.lock().crashes
    }

    /// Returns the current number of sequences in the batch, without the lag of load reports.
    #[must_use]
    pub fn running_sequences(&self) -> usize {
        self.shared.lock().batch.len()
    }

    /// Returns the run counters of each request.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, RunCounts> {
        self.shared.runs.all()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.shutdown();
    }
}
