//! The use of a copy and of a slot by one request.

use std::sync::Arc;

use super::batch::Slot;
use super::server::App;

/// `Usage` keeps a copy in memory while a request uses it.
#[derive(Debug)]
pub(crate) struct Usage {
    app: Arc<App>,
    boot: u64,
    artifact: String,
    /// Version used.
    pub(crate) version: u32,
    slot: Option<Slot>,
}

impl Usage {
    /// Begins to use the newest version of an artifact, if it serves.
    pub(crate) fn begin(app: &Arc<App>, artifact: &str) -> Option<Self> {
        let mut state = app.lock();
        let version = state.memory.begin(artifact)?;
        Some(Self {
            boot: state.memory.boot,
            app: Arc::clone(app),
            artifact: artifact.to_owned(),
            version,
            slot: None,
        })
    }

    /// Waits for a place in the running batch; returns whether there is one.
    pub(crate) async fn enter(&mut self, priority: u32) -> bool {
        self.slot = self.app.batch.enter(priority).await;
        self.slot.is_some()
    }

    /// Tells whether the engine has not been restarted since.
    pub(crate) fn is_current(&self) -> bool {
        self.app.lock().memory.boot == self.boot
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        let mut state = self.app.lock();
        if state.memory.boot == self.boot {
            state.memory.end(&self.artifact, self.version);
        }
    }
}
