//! Recent requests, which can be resumed or cancelled.

use tokio_util::sync::CancellationToken;

/// Maximum number of requests retained.
const SESSIONS_MAX: usize = 1_024;

/// `Session` holds what is needed to resume or cancel a request.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    /// Request id, assigned by the caller if it sent one.
    pub(crate) id: String,
    /// Name of the model or adapter.
    pub(crate) artifact: String,
    /// Prompt.
    pub(crate) prompt: String,
    /// Length of the complete answer, in tokens.
    pub(crate) end: u32,
    /// Finish reason of the answer.
    pub(crate) finish: &'static str,
    /// Cancels the request.
    pub(crate) cancel: CancellationToken,
}

/// `Sessions` stores the recent requests, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    sessions: Vec<Session>,
}

impl Sessions {
    /// Adds a request and removes an earlier one with the same id.
    pub(crate) fn insert(&mut self, session: Session) {
        self.sessions.retain(|other| other.id != session.id);
        self.sessions.push(session);
        let surplus = self.sessions.len().saturating_sub(SESSIONS_MAX);
        self.sessions.drain(..surplus);
    }

    /// Returns the request with an id.
    pub(crate) fn get(&self, id: &str) -> Option<&Session> {
        self.sessions.iter().rev().find(|session| session.id == id)
    }

    /// Returns the second newest request.
    pub(crate) fn previous(&self) -> Option<&Session> {
        self.sessions.iter().rev().nth(1)
    }
}
