//! Runs store calls of a service on the tokio runtime.

use std::sync::Arc;

use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_platform::Store;
use tokio::runtime::Handle;

/// Runs store calls and passes each reply to a callback.
#[derive(Clone, Debug)]
pub(super) struct StoreRunner {
    pub(super) store: Arc<dyn Store>,
    pub(super) runtime: Handle,
}

impl StoreRunner {
    pub(super) fn run(&self, op: StoreOp, on_reply: impl FnOnce(StoreReply) + Send + 'static) {
        let call = self.store.call(op);
        self.runtime.spawn(async move { on_reply(call.await) });
    }
}
