//! Polling of the VM list.

use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_platform::Store;

use super::EntryState;
use super::RouterInput;

/// Poll interval until a non-empty list was read.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Polls the VM list until the process ends. During an outage of the platform the last list stays
/// in use.
pub(super) async fn poll(shared: Arc<EntryState>, store: Arc<dyn Store>) {
    let mut interval = INITIAL_POLL_INTERVAL;
    loop {
        if let Some(vms) = store.vms().await {
            if !vms.is_empty() {
                interval = shared.settings.vm_poll_interval;
            }
            shared.send_to_router(RouterInput::VmList(vms));
        }
        // Jitter spreads the reads of processes that restarted together.
        tokio::time::sleep(interval.mul_f64(0.75 + rand::random::<f64>() / 2.0)).await;
    }
}
