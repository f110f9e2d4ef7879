//! The leader's permits for one endpoint: a token bucket that fills at the endpoint's limit.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::limit::{Limit, MICRO, Spacing};

/// Time whose permits may be owed after calls that were sent without one, in ms.
const DEBT_MS: u64 = 1_000;

/// `Need` tells what becomes of a request without a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Need {
    /// Another endpoint takes it.
    Optional,
    /// It is refused.
    Required,
}

/// `Permits` counts the requests that an endpoint may still get; it starts empty, so that a new leader adds nothing to what the
/// former one has granted.
#[derive(Debug, Clone)]
pub struct Permits {
    limit: Limit,
    /// Millionths of a request that may be sent; negative after calls that were sent without a permit.
    level: i64,
    filled_ms: u64,
    /// Time up to which the permits to come are promised to VMs that were told to wait, in ms.
    promised_ms: u64,
}

impl Permits {
    /// Creates an empty bucket.
    pub fn new(now_ms: u64, limit: impl Into<Limit>) -> Self {
        Self {
            limit: limit.into(),
            level: 0,
            filled_ms: now_ms,
            promised_ms: now_ms,
        }
    }

    /// Draws the permit for one request. Half of the permits that may be saved are kept for requests that require one.
    ///
    /// # Errors
    ///
    /// The time after which the VM should draw again, in ms, at most `wait_max_ms`. VMs that require a permit are told to come
    /// one after the other.
    pub fn draw(
        &mut self,
        now_ms: u64,
        limit: impl Into<Limit>,
        need: Need,
        wait_max_ms: u64,
    ) -> Result<(), u64> {
        let limit = limit.into();
        let rate = limit.rate;
        self.fill(now_ms, limit);
        let kept = match need {
            Need::Optional => (capacity(limit) - to_signed(MICRO)) / 2,
            Need::Required => 0,
        };
        let missing = to_signed(MICRO)
            .saturating_add(kept)
            .saturating_sub(self.level);
        if missing <= 0 {
            self.level -= to_signed(MICRO);
            return Ok(());
        }
        let next_ms = now_ms.saturating_add(rate.ms_for(missing.unsigned_abs()));
        let latest_ms = now_ms.saturating_add(wait_max_ms);
        if need == Need::Optional {
            // A VM that does not need the permit comes back late: at a short spacing, draws would keep the leader busy.
            let at_ms = match limit.spacing {
                Spacing::Averaged => next_ms.min(latest_ms),
                Spacing::Even => latest_ms,
            };
            return Err(at_ms - now_ms);
        }
        let turn_ms = next_ms.max(self.promised_ms + rate.ms_for(MICRO));
        self.promised_ms = turn_ms.min(latest_ms);
        Err(self.promised_ms - now_ms)
    }

    /// Charges a call that is sent whatever the limit is, such as an order; later requests wait for it.
    pub fn charge(&mut self, now_ms: u64, limit: impl Into<Limit>) {
        let limit = limit.into();
        self.fill(now_ms, limit);
        self.level = self
            .level
            .saturating_sub(to_signed(MICRO))
            .max(-to_signed(limit.rate.micro_in(DEBT_MS).max(MICRO)));
    }

    /// Adds the permits since the last call at the limit that was in force, and sets the new one.
    fn fill(&mut self, now_ms: u64, limit: Limit) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        let added = to_signed(self.limit.rate.micro_in(elapsed_ms));
        self.level = self.level.saturating_add(added).min(capacity(limit));
        self.filled_ms = self.filled_ms.max(now_ms);
        self.limit = limit;
    }
}

/// Returns the most permits that may be saved, in millionths of a request.
fn capacity(limit: Limit) -> i64 {
    let saved = limit.rate.micro_in(limit.spacing.burst_ms());
    to_signed(match limit.spacing {
        Spacing::Averaged => saved.max(MICRO),
        // One more, so that a permit is not lost while a VM is on its way to draw it.
        Spacing::Even => saved + MICRO,
    })
}

fn to_signed(micro: u64) -> i64 {
    i64::try_from(micro).unwrap_or(i64::MAX)
}
