//! Selection of the peers that a gate asks for tokens.

use crate::id::{Member, Offset, Workspace};
use crate::quota::{Hint, MICRO, Peer, Quota};

impl Quota {
    /// Returns the peers to ask for a workspace's tokens, sorted by level, highest first.
    ///
    /// Peers whose hint shows less than one token are left out, so that a workspace above its rate causes no storm of
    /// requests between gates.
    pub fn donors<'a>(&self, workspace: &Workspace, peers: &'a [Peer]) -> Vec<&'a Member> {
        let Some(share) = self.shares.get(workspace) else {
            return Vec::new();
        };
        let hints = peers_with_hint(&self.gates, workspace, share.created, peers);
        let mut donors: Vec<_> = hints
            .filter(|(_, hint)| hint.level_micro >= MICRO)
            .collect();
        donors.sort_by_key(|(_, hint)| std::cmp::Reverse(hint.level_micro));
        donors.into_iter().map(|(member, _)| member).collect()
    }

    /// Returns the same peers as `donors` if the hinted levels add up to the missing tokens, and none otherwise.
    ///
    /// A workspace above its rate is thus refused without any message, instead of small amounts moving between gates.
    /// The caller asks one peer after the other until it has enough, because hints are outdated and messages may be lost.
    pub fn donors_for<'a>(
        &self,
        workspace: &Workspace,
        missing: u64,
        peers: &'a [Peer],
    ) -> Vec<&'a Member> {
        let Some(share) = self.shares.get(workspace) else {
            return Vec::new();
        };
        let hints = peers_with_hint(&self.gates, workspace, share.created, peers);
        let available_micro: u128 = hints.map(|(_, hint)| u128::from(hint.level_micro)).sum();
        if available_micro < u128::from(missing) * u128::from(MICRO) {
            return Vec::new();
        }
        self.donors(workspace, peers)
    }
}

/// Iterates over the peers that are active gates and have a hint for the given creation of a workspace.
pub(crate) fn peers_with_hint<'a>(
    gates: &[Member],
    workspace: &Workspace,
    created: Offset,
    peers: &'a [Peer],
) -> impl Iterator<Item = (&'a Member, &'a Hint)> {
    let active = move |peer: &&Peer| gates.binary_search(&peer.member).is_ok();
    let hint = move |peer: &'a Peer| Some((&peer.member, peer.hint(workspace)?));
    let hints = peers.iter().filter(active).filter_map(hint);
    hints.filter(move |(_, hint)| hint.created == created)
}
