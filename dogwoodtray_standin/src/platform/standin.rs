//! Handle of a running platform stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::config::PlatformConfig;
use super::config::PlatformFaults;
use super::state::Shared;
use super::vm::Vm;
use crate::faults::FaultSettings;
use crate::http::Server;

/// Platform that serves the object API from memory.
///
/// # Examples
///
/// ```
/// use dogwoodtray_standin::PlatformConfig;
/// use dogwoodtray_standin::PlatformStandin;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let platform = PlatformStandin::bind(PlatformConfig::default()).await.unwrap();
/// platform.set_outage(true);
/// assert!(platform.faults().outage);
/// platform.shutdown();
/// # });
/// ```
#[derive(Debug)]
pub struct PlatformStandin {
    server: Server,
    shared: Arc<Shared>,
}

impl PlatformStandin {
    /// Binds the listener and starts the server on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener, or `InvalidInput` if the faults are invalid.
    pub async fn bind(cfg: PlatformConfig) -> io::Result<Self> {
        if let Some(message) = cfg.faults.validation_error() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        let addr = cfg.addr;
        let shared = Arc::new(Shared::new(cfg));
        let server = Server::bind(addr, |_| Arc::clone(&shared)).await?;
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

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.shared.faults.borrow().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        debug_assert_eq!(faults.validation_error(), None, "invalid faults");
        self.shared.faults.send_replace(faults);
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: bool) {
        self.shared.faults.send_modify(|faults| faults.outage = outage);
    }

    /// Adds or replaces a VM.
    pub fn set_vm(&self, vm: Vm) {
        self.shared.set_vm(vm);
    }

    /// Removes a VM and returns `true` if it was in the list.
    pub fn remove_vm(&self, name: &str) -> bool {
        self.shared.remove_vm(name)
    }

    /// Returns the number of calls, including refused ones.
    #[must_use]
    pub fn call_count(&self) -> u64 {
        self.shared.lock().counts.total()
    }
}
