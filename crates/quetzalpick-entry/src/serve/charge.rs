//! Charges requests to their workspaces.

use std::time::Duration;

use quetzalpick_core::id::Workspace;
use rand::random;

use crate::config::Config;
use crate::exchange::DrawResult;
use crate::serve::refusal::{Cause, Refusal};
use crate::serve::request::Admitted;
use crate::serve::{Handler, Supply};
use crate::wire::HeadCodec;

/// Longest time for which the leader's word that it has nothing to draw counts, in ms.
const DRY_MAX_MS: u64 = 300;

/// When to come back if no leader answers and the floor does not suffice: another one leads within two to three seconds.
const AFTER_LEADERLESS: Duration = Duration::from_millis(1_500);

/// Time over which callers that come back for that reason are spread, in ms.
const LEADERLESS_SPREAD_MS: u64 = 1_000;

/// Time after which other VMs are asked again that had nothing to lend, in ms.
const ALONE_MS: u64 = 100;

/// Time after which the leader is asked again that did not answer, in ms.
const LEADERLESS_MS: u64 = 200;

impl<E: HeadCodec, S: Supply> Handler<E, S> {
    /// Charges a request to its workspace; what this VM's bucket lacks is drawn from the leader.
    pub(super) async fn charge(&self, config: &Config, admitted: &Admitted) -> Result<(), Refusal> {
        let workspace = admitted.workspace.as_ref();
        let Some(workspace) = workspace.and_then(|name| config.workspaces().get(name)) else {
            return Ok(());
        };
        let rates = &self.context.rates;
        let now_ms = || self.context.clock.now_ms();
        let units = admitted.units;
        let Err(mut short) = rates.charge(now_ms(), workspace, units) else {
            return Ok(());
        };
        let mut leader = if short.leaderless { "away" } else { "dry" };
        if short.may_draw {
            let name = &workspace.name;
            leader = match self.context.supply.draw(name, short.missing).await {
                DrawResult::Granted => {
                    rates.spend(now_ms(), name, units.saturating_sub(short.missing));
                    return Ok(());
                }
                DrawResult::Insufficient(after_ms) => {
                    rates.pause_draws(now_ms() + after_ms.min(DRY_MAX_MS), name, false);
                    short.after = short.after.min(Duration::from_millis(after_ms));
                    "short"
                }
                DrawResult::NotLeading => {
                    rates.pause_draws(now_ms() + LEADERLESS_MS, name, true);
                    "away"
                }
            };
            // A bucket that is full may be overdrawn once the leader has nothing.
            match rates.charge(now_ms(), workspace, units) {
                Ok(()) => return Ok(()),
                Err(again) => short.after = short.after.min(again.after),
            }
        }
        if leader == "away" && self.borrow(&workspace.name, units).await {
            return Ok(());
        }
        let detail = format!(
            "workspace={} units={units} missing={} leader={leader} rate={:?}",
            workspace.name, short.missing, workspace.quota
        );
        if leader == "away" {
            let spread = Duration::from_millis(random::<u64>() % LEADERLESS_SPREAD_MS);
            short.after = short.after.max(AFTER_LEADERLESS + spread);
        }
        Err(Refusal::new(Cause::OverRate, detail).after(short.after))
    }

    /// Charges a request to what other VMs lend; tells whether that suffices.
    async fn borrow(&self, workspace: &Workspace, units: u64) -> bool {
        let rates = &self.context.rates;
        let now_ms = || self.context.clock.now_ms();
        if !rates.may_borrow(now_ms(), workspace) {
            return false;
        }
        let missing = rates.missing(now_ms(), workspace, units);
        let lent = self.context.supply.borrow(workspace, missing).await;
        let suffices = lent >= missing;
        if suffices {
            rates.spend(now_ms(), workspace, units.saturating_sub(missing));
        }
        // What is left is this VM's.
        let left = if suffices { lent - missing } else { lent };
        rates.refund(now_ms(), workspace, left);
        if lent == 0 {
            rates.pause_borrowing(now_ms() + ALONE_MS, workspace);
        }
        suffices
    }
}
