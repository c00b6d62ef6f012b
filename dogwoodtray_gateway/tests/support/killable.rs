//! Driver that a test can kill.

use std::thread::JoinHandle;

use tokio::sync::oneshot;

use super::Site;
use super::run_local;

/// Driver on a thread of its own, which is killed when this value is dropped.
pub(crate) struct KillableDriver {
    kill_tx: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl KillableDriver {
    pub(crate) fn start(site: &Site, name: &'static str) -> Self {
        let (kill_tx, kill_rx) = oneshot::channel();
        let store = site.store.clone();
        let (caller_addr, admin_addr) = (site.caller_addr, site.admin_addr);
        let thread = std::thread::spawn(move || {
            run_local(async {
                let site = Site { store, caller_addr, admin_addr, revocation: None };
                let _driver = site.start_driver(name).await;
                // All tasks of the driver end with this runtime.
                let _ = kill_rx.await;
            });
        });
        Self { kill_tx: Some(kill_tx), thread: Some(thread) }
    }
}

impl Drop for KillableDriver {
    fn drop(&mut self) {
        drop(self.kill_tx.take());
        if let Some(thread) = self.thread.take() {
            // A failed driver fails the test by its missing work.
            let _ = thread.join();
        }
    }
}
