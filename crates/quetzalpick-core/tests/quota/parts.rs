//! An oracle of parts: the parts that gates hold or may still accept never exceed `PARTS_TOTAL`.

use quetzalpick_core::id::{Member, Offset, Workspace};
use quetzalpick_core::record::PARTS_TOTAL;
use rand::RngExt;

use crate::network::key;
use crate::node::{Node, Phase};
use crate::simulation::Simulation;

impl Simulation {
    /// Returns the parts of a workspace that active gates hold or may still accept.
    pub(crate) fn parts(&self, name: &Workspace) -> u64 {
        let created = self
            .head
            .catalog()
            .workspaces()
            .get(name)
            .map(|(at, _)| *at);
        let active = |node: &&Node| self.head.roster().is_active(&node.member);
        let held = self.nodes.iter().filter(active).map(|node| {
            let mut quota = node.quota.clone();
            quota.sync(node.time(self.now_ms), &self.head);
            let hints = quota.hints(node.time(self.now_ms));
            let hint = hints.into_iter().find(|h| h.workspace == *name);
            hint.map_or(0, |h| h.parts)
        });
        held.sum::<u64>() + self.in_flight(name, created)
    }

    /// Returns the parts of transfers that their receivers may still accept.
    fn in_flight(&self, name: &Workspace, created: Option<Offset>) -> u64 {
        let node = |member: &Member| self.nodes.iter().find(|n| n.member == *member);
        let open = self.sent.iter().filter(|t| {
            let same = t.workspace == *name && Some(t.created) == created;
            let unanswered = |n: &Node| n.quota.unacknowledged().contains(t);
            let stops = |n: &Node| matches!(n.phase, Phase::Stopping(_) | Phase::Gone);
            let may_take = |n: &Node| match n.epoch(self.now_ms, name) {
                // A gate that is stopping or has ended accepts no transfers.
                _ if stops(n) => false,
                // A donor that entered a later epoch has dropped the transfer, but a receiver that has not may still
                // accept it.
                Some(epoch) => {
                    epoch == t.epoch || (epoch < t.epoch && node(&t.from).is_some_and(unanswered))
                }
                None => false,
            };
            let active = self.head.roster().is_active(&t.to);
            let restored_by_donor = node(&t.from)
                .is_some_and(|n| n.epoch(self.now_ms, name) == Some(t.epoch) && !unanswered(n));
            same && active
                && !restored_by_donor
                && !self.taken.contains(&key(t))
                && node(&t.to).is_some_and(may_take)
        });
        open.map(|t| t.parts).sum()
    }

    /// Records the excess over `PARTS_TOTAL`, in one of ten calls at random.
    pub(crate) fn check_parts(&mut self) {
        if !self.random.random_bool(0.1) {
            return;
        }
        let names: Vec<_> = self.head.catalog().workspaces().keys().cloned().collect();
        for name in names {
            let excess = self.parts(&name).saturating_sub(PARTS_TOTAL);
            self.parts_excess = self.parts_excess.max(excess);
        }
    }
}
