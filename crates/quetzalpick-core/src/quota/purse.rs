//! What a gate holds of one workspace.

use crate::id::{Offset, Workspace};
use crate::quota::bucket::Bucket;
use crate::quota::demand::Demand;
use crate::quota::{Ask, Hint};
use crate::record::WorkspaceSpec;
use crate::state::Grant;

/// `Purse` is a gate's bucket of one workspace, with its demand and the grants it took.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Purse {
    /// Offset at which the workspace was created.
    pub(crate) created: Offset,
    pub(crate) bucket: Bucket,
    pub(crate) demand: Demand,
    /// Parts of grants taken so far.
    granted_parts: u64,
    /// Parts of these that came full.
    granted_full: u64,
}

impl Purse {
    pub(crate) fn new(created: Offset) -> Self {
        Self {
            created,
            ..Self::default()
        }
    }

    /// Takes over rate and burst.
    pub(crate) fn set_spec(&mut self, now_ms: u64, spec: &WorkspaceSpec) {
        if (self.bucket.rate(), self.bucket.burst()) != (spec.rate, spec.burst) {
            self.bucket.set_spec(now_ms, spec.rate, spec.burst);
        }
    }

    /// Takes what was granted beyond what it took before; a grant of another workspace of that name is void.
    pub(crate) fn take_grant(&mut self, now_ms: u64, grant: &Grant) {
        if grant.created != self.created || grant.parts == self.granted_parts {
            return;
        }
        let parts = grant.parts - self.granted_parts;
        let full = grant.full - self.granted_full;
        self.bucket.grant(now_ms, parts, full);
        self.granted_parts = grant.parts;
        self.granted_full = grant.full;
    }

    pub(crate) fn hint(&mut self, now_ms: u64, half_life_ms: u64, workspace: &Workspace) -> Hint {
        self.bucket.fill(now_ms);
        Hint {
            workspace: workspace.clone(),
            created: self.created,
            parts: self.bucket.parts(),
            level_micro: self.bucket.level_micro(),
            demand_micro: self.demand.sum(now_ms, half_life_ms),
        }
    }

    /// Returns the parts and the level, in micro-tokens, to give to a peer that asks.
    ///
    /// It gets what it lacks, and half of its part by demand of what is left, so that it need not ask so soon again.
    pub(crate) fn offer(
        &mut self,
        now_ms: u64,
        half_life_ms: u64,
        ask: &Ask,
    ) -> Option<(u64, u64)> {
        self.bucket.fill(now_ms);
        let level = self.bucket.level_micro();
        let parts = self.bucket.parts();
        if level == 0 || parts == 0 {
            return None;
        }
        let own = self.demand.sum(now_ms, half_life_ms);
        let base = ask.missing_micro.min(level);
        let extra = half_by_demand(level - base, ask.demand_micro, own);
        let needed = self.bucket.parts_for(base + extra);
        let by_demand = half_by_demand(parts, ask.demand_micro, own);
        Some((needed.max(by_demand).min(parts), base + extra))
    }
}

/// Returns half of the asker's part of an amount that is divided by demand.
fn half_by_demand(amount: u64, asker: u64, own: u64) -> u64 {
    let total = u128::from(asker) + u128::from(own) + 1;
    let part = u128::from(amount) * u128::from(asker) / total / 2;
    // The part is at most the amount, so it fits.
    u64::try_from(part).unwrap_or(0)
}
