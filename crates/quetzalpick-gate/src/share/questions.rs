//! Questions to peers for tokens that are under way, over all requests of this gate.

use std::sync::{Arc, Mutex, PoisonError};

use quetzalpick_core::id::Workspace;
use quetzalpick_core::table::Table;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// `Questions` counts the questions under way, whose tokens may suffice for other requests too.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    counts: Mutex<Table<Workspace, u32>>,
    ended: Notify,
}

/// `Question` is one question under way, until it is dropped; a gift is accepted before that.
#[derive(Debug)]
pub(crate) struct Question {
    questions: Arc<Questions>,
    workspace: Workspace,
}

impl Questions {
    /// Begins a question for the tokens of a workspace.
    pub(crate) fn begin(self: &Arc<Self>, workspace: &Workspace) -> Question {
        self.change(workspace, |count| count + 1);
        Question {
            questions: Arc::clone(self),
            workspace: workspace.clone(),
        }
    }

    /// Returns whether a question for the tokens of a workspace is under way.
    pub(crate) fn is_any(&self, workspace: &Workspace) -> bool {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.contains(workspace)
    }

    /// Returns a future that completes with the next end of any question from now on.
    pub(crate) fn next_end(&self) -> Notified<'_> {
        self.ended.notified()
    }

    fn change(&self, workspace: &Workspace, change: impl FnOnce(u32) -> u32) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = change(counts.get(workspace).copied().unwrap_or_default());
        if count == 0 {
            counts.remove(workspace);
        } else {
            counts.insert(workspace.clone(), count);
        }
    }
}

impl Drop for Question {
    fn drop(&mut self) {
        self.questions
            .change(&self.workspace, |count| count.saturating_sub(1));
        self.questions.ended.notify_waiters();
    }
}
