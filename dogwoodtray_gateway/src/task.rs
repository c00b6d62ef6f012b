//! Tasks that end with their owner.

use tokio::task::AbortHandle;

/// Task that is aborted when this value is dropped.
#[derive(Debug)]
pub(crate) struct TaskGuard(AbortHandle);

impl TaskGuard {
    /// Takes over a task.
    pub(crate) const fn new(task: AbortHandle) -> Self {
        Self(task)
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
