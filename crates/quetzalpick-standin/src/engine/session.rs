//! Requests that can be resumed or cancelled.

use tokio_util::sync::CancellationToken;

/// Most requests remembered.
const SESSIONS_MAX: usize = 1_024;

/// `Session` is what an engine remembers of a request.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    /// The caller's id of the request.
    pub(crate) id: String,
    /// Model or adapter.
    pub(crate) artifact: String,
    /// Prompt.
    pub(crate) prompt: String,
    /// Tokens of the whole answer.
    pub(crate) end: u32,
    /// Why the answer ends there.
    pub(crate) finish: &'static str,
    /// Cancels the request.
    pub(crate) cancel: CancellationToken,
}

/// `Sessions` is the requests of late, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    sessions: Vec<Session>,
}

impl Sessions {
    /// Remembers a request, instead of an earlier one with its id.
    pub(crate) fn insert(&mut self, session: Session) {
        self.sessions.retain(|known| known.id != session.id);
        self.sessions.push(session);
        let surplus = self.sessions.len().saturating_sub(SESSIONS_MAX);
        self.sessions.drain(..surplus);
    }

    /// Returns the request with an id.
    pub(crate) fn get(&self, id: &str) -> Option<&Session> {
        self.sessions.iter().rev().find(|session| session.id == id)
    }

    /// Returns the request before the newest one.
    pub(crate) fn previous(&self) -> Option<&Session> {
        self.sessions.iter().rev().nth(1)
    }
}
