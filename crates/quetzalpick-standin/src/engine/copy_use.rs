//! Use of a copy and of a batch slot by one request.

use std::sync::Arc;

use super::batch::Slot;
use super::server::App;

/// `CopyUse` keeps a copy in memory and holds a batch slot while a request runs.
#[derive(Debug)]
pub(crate) struct CopyUse {
    app: Arc<App>,
    incarnation: u64,
    artifact: String,
    /// Version of the copy.
    pub(crate) version: u32,
    slot: Option<Slot>,
}

impl CopyUse {
    /// Starts using the newest serving version of an artifact; returns `None` if there is none.
    pub(crate) fn begin(app: &Arc<App>, artifact: &str) -> Option<Self> {
        let mut state = app.lock();
        let version = state.memory.begin_use(artifact)?;
        Some(Self {
            incarnation: state.memory.incarnation,
            app: Arc::clone(app),
            artifact: artifact.to_owned(),
            version,
            slot: None,
        })
    }

    /// Waits for a slot in the running batch; returns false if the queue is full.
    pub(crate) async fn enter(&mut self, priority: u32) -> bool {
        self.slot = self.app.batch.enter(priority).await;
        self.slot.is_some()
    }

    /// Returns true if the engine has not restarted since this use began.
    pub(crate) fn is_current(&self) -> bool {
        self.app.lock().memory.incarnation == self.incarnation
    }
}

impl Drop for CopyUse {
    fn drop(&mut self) {
        let mut state = self.app.lock();
        if state.memory.incarnation == self.incarnation {
            state.memory.end_use(&self.artifact, self.version);
        }
    }
}
