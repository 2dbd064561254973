//! Tasks that are aborted when their owner is dropped.

use tokio::task::JoinHandle;

/// A task of the local task set that is aborted when this value is dropped.
pub(super) struct OwnedTask(JoinHandle<()>);

impl OwnedTask {
    /// Spawns the task.
    pub(super) fn spawn_local(future: impl Future<Output = ()> + 'static) -> OwnedTask {
        OwnedTask(tokio::task::spawn_local(future))
    }

    /// Whether the task has finished.
    pub(super) fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl Drop for OwnedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
