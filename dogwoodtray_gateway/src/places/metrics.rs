//! Metrics of the places that this process assigns.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::node::Node;

const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    /// Starts the task that exports how the worst-served tenth of the organizations is served. It
    /// is one series, whatever their number, and only where this process decides.
    pub(crate) fn spawn_place_metrics(self: &Rc<Self>) {
        let node = Rc::clone(self);
        spawn_local(async move {
            loop {
                sleep(EXPORT_INTERVAL).await;
                let share = node.places.dispatcher.borrow().worst_tenth_served(node.now());
                if let Some(share) = share {
                    metrics::gauge!("dogwoodtray_worst_tenth_served_ratio").set(share);
                }
            }
        });
    }
}
