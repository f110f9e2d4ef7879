//! An endpoint's limit as known to this VM, and when this VM may send it a request.

use quetzalpick_core::limit::{Need, Rate, Share, Statement};

/// Time for which a change is told to the leader, in ms: longer than two intervals between statuses.
const TOLD_MS: u64 = 5_000;

/// `Limited` tracks what an endpoint says about its limit, and this VM's permits.
#[derive(Debug, Clone, Default)]
pub(crate) struct Limited {
    /// The statement in force; `None` before the endpoint's first answer.
    statement: Option<Statement>,
    /// Whether the endpoint ever named a limit.
    ever_named: bool,
    /// When this VM had something to tell the leader, in ms.
    changed_ms: Option<u64>,
    /// No permit is drawn before this time, in ms.
    paused_until_ms: u64,
    /// No permit is drawn before this time for a request that another endpoint can take, in ms.
    optional_paused_until_ms: u64,
    /// This VM's share without a leader.
    pub(crate) share: Share,
    /// Whether a malformed limit has been logged.
    pub(crate) malformed_logged: bool,
}

impl Limited {
    /// Returns the limit in force.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.statement.and_then(|statement| statement.rate)
    }

    /// Returns the statement in force, if the endpoint ever named a limit.
    pub(crate) fn statement(&self) -> Option<Statement> {
        self.statement.filter(|_| self.ever_named)
    }

    /// Applies what the endpoint said to this VM; returns whether the limit in force changes.
    pub(crate) fn observe(&mut self, now_ms: u64, statement: Statement) -> bool {
        let changes = self.apply(statement);
        if changes {
            self.changed_ms = Some(now_ms);
        }
        changes
    }

    /// Applies what the endpoint said to another VM; returns whether the limit in force changes. If this VM knows of a later
    /// statement, it tells the leader once more.
    pub(crate) fn learn(&mut self, now_ms: u64, statement: Statement) -> bool {
        let is_outdated = self
            .statement
            .is_some_and(|known| known.rate != statement.rate && !statement.supersedes(&known));
        if is_outdated {
            self.changed_ms = Some(now_ms);
        }
        self.apply(statement)
    }

    fn apply(&mut self, statement: Statement) -> bool {
        if self
            .statement
            .is_some_and(|known| !statement.supersedes(&known))
        {
            return false;
        }
        let former = self.rate();
        self.statement = Some(statement);
        self.ever_named |= statement.rate.is_some();
        let changes = former != statement.rate;
        if changes {
            self.paused_until_ms = 0;
            self.optional_paused_until_ms = 0;
        }
        changes
    }

    /// Returns whether the leader may not know of the last change yet.
    pub(crate) fn changed_recently(&self, now_ms: u64) -> bool {
        self.changed_ms
            .is_some_and(|changed_ms| now_ms < changed_ms + TOLD_MS)
    }

    /// Pauses draws, because there is no permit before `until_ms`.
    pub(crate) fn pause(&mut self, until_ms: u64, need: Need) {
        match need {
            Need::Optional => self.optional_paused_until_ms = until_ms,
            Need::Required => self.paused_until_ms = until_ms,
        }
    }

    /// Returns the time until a permit may be drawn, in ms; 0 if that is now.
    pub(crate) fn wait_ms(&self, now_ms: u64, need: Need) -> u64 {
        let until_ms = match need {
            Need::Optional => self.optional_paused_until_ms.max(self.paused_until_ms),
            Need::Required => self.paused_until_ms,
        };
        if self.rate().is_some() {
            until_ms.saturating_sub(now_ms)
        } else {
            0
        }
    }
}
