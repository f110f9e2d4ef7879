//! A gate's share of one workspace.

use crate::id::{Offset, Workspace};
use crate::quota::bucket::Bucket;
use crate::quota::demand::Demand;
use crate::quota::{Hint, TransferRequest};
use crate::record::WorkspaceSpec;
use crate::state::Grant;

/// A gate is idle if its demand is below the requesting gate's divided by this.
const IDLE_DIVISOR: u64 = 8;

/// `Share` holds a gate's bucket of one workspace, its recent demand there and the grants already applied.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Share {
    /// Offset at which the workspace was created.
    pub(crate) created: Offset,
    pub(crate) bucket: Bucket,
    pub(crate) demand: Demand,
    /// Granted parts applied so far.
    granted_parts: u64,
    /// Number of these parts that came with a full bucket.
    granted_full_parts: u64,
}

impl Share {
    pub(crate) fn new(created: Offset) -> Self {
        Self {
            created,
            ..Self::default()
        }
    }

    /// Applies rate and burst if they have changed.
    pub(crate) fn set_spec(&mut self, now_ms: u64, spec: &WorkspaceSpec) {
        if (self.bucket.rate(), self.bucket.burst()) != (spec.rate, spec.burst) {
            self.bucket.set_spec(now_ms, spec.rate, spec.burst);
        }
    }

    /// Applies the parts granted since the last call; a grant for another workspace of the same name is ignored.
    pub(crate) fn apply_grant(&mut self, now_ms: u64, grant: &Grant) {
        if grant.created != self.created || grant.parts == self.granted_parts {
            return;
        }
        let parts = grant.parts - self.granted_parts;
        let full_parts = grant.full_parts - self.granted_full_parts;
        self.bucket.grant(now_ms, parts, full_parts);
        self.granted_parts = grant.parts;
        self.granted_full_parts = grant.full_parts;
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

    /// Returns the parts and the level, in micro-tokens, to transfer to a requesting peer.
    ///
    /// The peer gets no more than it is missing, because rebalancing adapts parts to demand and a larger amount would in
    /// turn leave this gate short. Only an idle gate, with far less demand than the peer, adds half of its remaining
    /// level.
    pub(crate) fn amount_to_donate(
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
