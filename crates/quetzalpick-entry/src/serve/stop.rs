//! The end of a planned stop, by which each request is to have its answer.

use std::sync::OnceLock;
use std::time::Duration;

use quetzalpick_core::retry::Deadline;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;

/// Time before the end of a stop by which endpoints are to answer requests that arrive during it.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// Time before the end of a stop at which requests without an answer of their endpoint are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// `Stop` tells requests how long the process still lives once it stops.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    deadline: OnceLock<Deadline>,
    ending: CancellationToken,
}

impl Stop {
    /// Begins a stop that lasts `limit` at most.
    pub(crate) fn begin(&self, clock: Clock, limit: Duration) {
        let left = limit.saturating_sub(DEADLINE_MARGIN);
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let deadline = Deadline::after(clock.now_ms(), left_ms);
        if self.deadline.set(deadline).is_ok() {
            let ending = self.ending.clone();
            tokio::spawn(async move {
                tokio::time::sleep(limit.saturating_sub(ANSWER_MARGIN)).await;
                ending.cancel();
            });
        }
    }

    /// Returns the deadline of requests that arrive now, if the process stops.
    pub(crate) fn deadline(&self) -> Option<Deadline> {
        self.deadline.get().copied()
    }

    /// Waits until all requests must be answered.
    pub(crate) async fn ending(&self) {
        self.ending.cancelled().await;
    }
}
