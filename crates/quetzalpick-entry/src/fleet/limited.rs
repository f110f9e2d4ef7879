//! What an endpoint says of the requests that it takes, as known to this VM, and when this VM may send it one.

use quetzalpick_core::limit::{Cold, Limit, Need, Rate, Share, Statement, Warmup};
use quetzalpick_core::room::Tolerance;

/// Time for which a change is told to the leader, in ms: longer than two intervals between statuses.
const TOLD_MS: u64 = 5_000;

/// Time for which an endpoint that may fall over gets no request after it has declined one, in ms.
const DECLINED_PAUSE_MS: u64 = 1_000;

/// `Known` is the statement of an endpoint that is in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Known<T> {
    /// `None` before the endpoint's first answer.
    statement: Option<Statement<T>>,
    /// Whether the endpoint ever named a value.
    ever_named: bool,
}

impl<T> Default for Known<T> {
    fn default() -> Self {
        Self {
            statement: None,
            ever_named: false,
        }
    }
}

impl<T: Copy + Ord> Known<T> {
    /// Returns the value in force.
    pub(crate) fn value(&self) -> Option<T> {
        self.statement.and_then(|statement| statement.value)
    }

    /// Returns the statement in force, if the endpoint ever named a value.
    pub(crate) fn statement(&self) -> Option<Statement<T>> {
        self.statement.filter(|_| self.ever_named)
    }

    /// Returns whether a statement of another VM is older than the one in force and differs from it.
    fn outdates(&self, statement: &Statement<T>) -> bool {
        self.statement
            .is_some_and(|known| known.value != statement.value && !statement.supersedes(&known))
    }

    /// Applies a statement; returns whether the value in force changes.
    fn apply(&mut self, statement: Statement<T>) -> bool {
        if self
            .statement
            .is_some_and(|known| !statement.supersedes(&known))
        {
            return false;
        }
        let former = self.value();
        self.statement = Some(statement);
        self.ever_named |= statement.value.is_some();
        former != statement.value
    }
}

/// `Said` holds what an endpoint said at one time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Said {
    pub(crate) rate: Statement<Rate>,
    /// `None` if it is not known what it said of that.
    pub(crate) tolerance: Option<Statement<Tolerance>>,
}

/// `Limited` tracks what an endpoint says of the requests that it takes, and when this VM may draw permits.
#[derive(Debug, Clone, Default)]
pub(crate) struct Limited {
    rate: Known<Rate>,
    tolerance: Known<Tolerance>,
    /// How endpoints of its service start, if they are cold then.
    pub(crate) warmup: Option<Warmup>,
    /// Until when it is cold; that limits it only if its service says so.
    pub(crate) cold: Cold,
    /// The same as far as its answers to this VM say so.
    observed_cold: Cold,
    /// When this VM had something to tell the leader, in ms.
    changed_ms: Option<u64>,
    /// No permit is drawn before this time, in ms.
    paused_until_ms: u64,
    /// No permit is drawn before this time for a request that another endpoint can take, in ms.
    optional_paused_until_ms: u64,
    /// No permit is drawn before this time, in ms, as the endpoint declined a request.
    declined_until_ms: u64,
    /// This VM's share without a leader.
    pub(crate) share: Share,
    /// Whether a malformed statement has been logged.
    pub(crate) malformed_logged: bool,
}

impl Limited {
    /// Returns the limit in force, if any: the endpoint names one or is cold.
    pub(crate) fn limit(&self, now_ms: u64) -> Option<Limit> {
        Limit::combined(self.rate(), self.cold_rate(now_ms))
    }

    /// Returns the requests a second that the endpoint takes from all VMs together because it is cold.
    pub(crate) fn cold_rate(&self, now_ms: u64) -> Option<Rate> {
        let is_cold = self.cold.left_ms(now_ms) > 0;
        self.warmup.filter(|_| is_cold).map(|warmup| warmup.rate)
    }

    /// Returns for how much longer the endpoint is cold, in ms, as far as its answers to this VM say so; 0 if they do not.
    pub(crate) fn observed_cold_ms(&self, now_ms: u64) -> u64 {
        self.observed_cold.left_ms(now_ms)
    }

    /// Applies for how much longer the endpoint is cold, in ms, as it says to this VM; returns whether others should be told.
    pub(crate) fn observe_cold(&mut self, now_ms: u64, left_ms: u64) -> bool {
        self.observed_cold.observe(now_ms, left_ms);
        let is_news = self.cold.observe(now_ms, left_ms);
        if is_news {
            self.changed_ms = Some(now_ms);
        }
        is_news
    }

    /// Returns the requests a second that the endpoint takes from all VMs together, if it names a limit.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.rate.value()
    }

    /// Returns the requests that the endpoint can decline in a second, if it says that it may fall over.
    pub(crate) fn tolerance(&self) -> Option<Tolerance> {
        self.tolerance.value()
    }

    /// Returns whether a request may be sent only with a permit.
    pub(crate) fn needs_permit(&self, now_ms: u64) -> bool {
        self.limit(now_ms).is_some() || self.tolerance().is_some()
    }

    /// Returns what other VMs are told, if the endpoint ever named a limit, said that it may fall over or is cold.
    pub(crate) fn said(&self, now_ms: u64) -> Option<Said> {
        let tolerance = self.tolerance.statement();
        let rate = self.rate.statement();
        if rate.is_none() && tolerance.is_none() && self.cold_rate(now_ms).is_none() {
            return None;
        }
        let unknown = Statement {
            value: None,
            sent_ms: 0,
            received_ms: 0,
        };
        Some(Said {
            rate: self.rate.statement.unwrap_or(unknown),
            tolerance,
        })
    }

    /// Assumes what other endpoints of its service say of falling over, until its first answer.
    pub(crate) fn assume_tolerance(&mut self, now_ms: u64, tolerance: Option<Tolerance>) {
        if tolerance.is_some() {
            self.tolerance.apply(Statement {
                value: tolerance,
                sent_ms: now_ms,
                received_ms: now_ms,
            });
        }
    }

    /// Applies what the endpoint said to this VM; returns whether what is in force changes.
    pub(crate) fn observe(&mut self, now_ms: u64, said: Said) -> bool {
        let changes = self.apply(said);
        if changes {
            self.changed_ms = Some(now_ms);
        }
        changes
    }

    /// Applies what the endpoint said to another VM; returns whether what is in force changes. If this VM knows of a later statement,
    /// it tells the leader once more.
    pub(crate) fn learn(&mut self, now_ms: u64, said: Said) -> bool {
        let is_outdated = self.rate.outdates(&said.rate)
            || said
                .tolerance
                .is_some_and(|told| self.tolerance.outdates(&told));
        if is_outdated {
            self.changed_ms = Some(now_ms);
        }
        self.apply(said)
    }

    fn apply(&mut self, said: Said) -> bool {
        let mut changes = self.rate.apply(said.rate);
        if let Some(tolerance) = said.tolerance {
            changes |= self.tolerance.apply(tolerance);
        }
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

    /// Pauses draws after the endpoint declined a request, unless only its rate is limited.
    pub(crate) fn pause_declined(&mut self, now_ms: u64) {
        if self.tolerance().is_some() {
            self.declined_until_ms = now_ms + DECLINED_PAUSE_MS;
        }
    }

    /// Ends a pause because room has come free at the endpoint, unless its rate is limited too.
    pub(crate) fn resume(&mut self) {
        if self.rate().is_none() {
            self.paused_until_ms = 0;
            self.optional_paused_until_ms = 0;
        }
    }

    /// Returns the time until a permit may be drawn, in ms; 0 if that is now.
    pub(crate) fn wait_ms(&self, now_ms: u64, need: Need) -> u64 {
        let paused_ms = match need {
            Need::Optional => self.optional_paused_until_ms.max(self.paused_until_ms),
            Need::Required => self.paused_until_ms,
        };
        if self.needs_permit(now_ms) {
            let until_ms = paused_ms.max(self.declined_until_ms);
            until_ms.saturating_sub(now_ms)
        } else {
            0
        }
    }
}
