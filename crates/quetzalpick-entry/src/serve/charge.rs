//! Charges requests to the quotas of their workspaces.

use std::time::Duration;

use quetzalpick_core::id::Workspace;
use rand::random;

use crate::config::Config;
use crate::exchange::DrawResult;
use crate::serve::refusal::{Cause, RETRY_AFTER_LEADERLESS, Refusal};
use crate::serve::request::Admitted;
use crate::serve::{Handler, PeerClient};
use crate::wire::HeadCodec;

/// Longest time before the leader is asked again after it had no units to draw, in ms.
const EMPTY_PAUSE_MAX_MS: u64 = 300;

/// Time over which the retries of these callers are spread, in ms.
const LEADERLESS_SPREAD_MS: u64 = 1_000;

/// Time before other VMs are asked again after they had nothing to lend, in ms.
const BORROWING_PAUSE_MS: u64 = 100;

/// Time before the leader is asked again after it did not answer, in ms.
const LEADERLESS_PAUSE_MS: u64 = 200;

impl<E: HeadCodec, S: PeerClient> Handler<E, S> {
    /// Charges a request to its workspace; units that this VM's bucket lacks are drawn from the leader or, without one,
    /// borrowed from other VMs.
    pub(super) async fn charge(&self, config: &Config, admitted: &Admitted) -> Result<(), Refusal> {
        let workspace = admitted.workspace.as_ref();
        let Some(workspace) = workspace.and_then(|name| config.workspaces().get(name)) else {
            return Ok(());
        };
        let rates = &self.context.rates;
        let now_ms = || self.context.clock.now_ms();
        let units = admitted.units;
        let Err(mut shortage) = rates.charge(now_ms(), workspace, units) else {
            return Ok(());
        };
        // "away": no leader answered recently; "dry": it recently had no units; "short": it has too few now.
        let mut leader = if shortage.leaderless { "away" } else { "dry" };
        if shortage.may_draw {
            let name = &workspace.name;
            leader = match self.context.peer_client.draw(name, shortage.missing).await {
                DrawResult::Granted => {
                    rates.spend(now_ms(), name, units.saturating_sub(shortage.missing));
                    return Ok(());
                }
                DrawResult::Insufficient(after_ms) => {
                    rates.pause_draws(now_ms() + after_ms.min(EMPTY_PAUSE_MAX_MS), name, false);
                    shortage.retry_after =
                        shortage.retry_after.min(Duration::from_millis(after_ms));
                    "short"
                }
                DrawResult::NotLeading => {
                    rates.pause_draws(now_ms() + LEADERLESS_PAUSE_MS, name, true);
                    "away"
                }
            };
            // A full bucket may be overdrawn once the leader has no units.
            match rates.charge(now_ms(), workspace, units) {
                Ok(()) => return Ok(()),
                Err(repeated) => {
                    shortage.retry_after = shortage.retry_after.min(repeated.retry_after)
                }
            }
        }
        if leader == "away" && self.borrow(&workspace.name, units).await {
            return Ok(());
        }
        let detail = format!(
            "workspace={} units={units} missing={} leader={leader} rate={:?}",
            workspace.name, shortage.missing, workspace.quota
        );
        if leader == "away" {
            let spread = Duration::from_millis(random::<u64>() % LEADERLESS_SPREAD_MS);
            shortage.retry_after = shortage.retry_after.max(RETRY_AFTER_LEADERLESS + spread);
        }
        Err(Refusal::new(Cause::OverRate, detail).with_retry_after(shortage.retry_after))
    }

    /// Charges a request to units borrowed from other VMs; returns whether they suffice.
    async fn borrow(&self, workspace: &Workspace, units: u64) -> bool {
        let rates = &self.context.rates;
        let now_ms = || self.context.clock.now_ms();
        if !rates.may_borrow(now_ms(), workspace) {
            return false;
        }
        let missing = rates.missing(now_ms(), workspace, units);
        let lent = self.context.peer_client.borrow(workspace, missing).await;
        let suffices = lent >= missing;
        if suffices {
            rates.spend(now_ms(), workspace, units.saturating_sub(missing));
        }
        // Borrowed units that were not spent stay in this VM's bucket.
        let surplus = if suffices { lent - missing } else { lent };
        rates.refund(now_ms(), workspace, surplus);
        if lent == 0 {
            rates.pause_borrowing(now_ms() + BORROWING_PAUSE_MS, workspace);
        }
        suffices
    }
}
