//! Reads the VM list.

use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_platform::Store;

use super::RouterInput;
use super::Shared;

/// Time between tries until the list was read once.
const FIRST_POLL: Duration = Duration::from_millis(200);

/// Reads the VM list again and again until the process ends. An outage leaves the last list in
/// force.
pub(super) async fn follow(shared: Arc<Shared>, store: Arc<dyn Store>) {
    let mut wait = FIRST_POLL;
    loop {
        if let Some(vms) = store.vms().await {
            if !vms.is_empty() {
                wait = shared.settings.vm_poll;
            }
            shared.tell_router(RouterInput::Vms(vms));
        }
        // Jitter keeps the readings of restarted processes apart.
        tokio::time::sleep(wait.mul_f64(0.75 + rand::random::<f64>() / 2.0)).await;
    }
}
