//! What a gate holds of one workspace.

use crate::id::{Offset, Workspace};
use crate::quota::bucket::Bucket;
use crate::quota::demand::Demand;
use crate::quota::{Hint, TransferRequest};
use crate::record::WorkspaceSpec;
use crate::state::Grant;

/// A gate is idle if its demand is less than the asker's divided by this.
const IDLE_DIVISOR: u64 = 8;

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
    /// It gets what it lacks and no more, as parts follow the demand by rebalancing and more would leave this gate short
    /// in its turn. Only a gate with far less demand than the asker gives half of the rest as well.
    pub(crate) fn offer(
        &mut self,
        now_ms: u64,
        half_life_ms: u64,
        request: &TransferRequest,
    ) -> Option<(u64, u64)> {
        self.bucket.fill(now_ms);
        let level = self.bucket.level_micro();
        let own = self.demand.sum(now_ms, half_life_ms);
        let is_idle = own.saturating_mul(IDLE_DIVISOR) < request.demand_micro;
        let missing = request.missing_micro.min(level);
        let extra = if is_idle { (level - missing) / 2 } else { 0 };
        let given = missing + extra;
        let parts = self.bucket.parts_for(given).min(self.bucket.parts());
        (given > 0 && parts > 0).then_some((parts, given))
    }
}
