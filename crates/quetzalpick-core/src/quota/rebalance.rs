//! Computes the transfers to peers that adapt shares to demand.

use crate::id::Member;
use crate::quota::Hint;
use crate::record::PARTS_TOTAL;

/// Every gate keeps at least an even share divided by this, regardless of demand.
const FLOOR_DIVISOR: u128 = 8;

/// Minimum parts per transfer; smaller transfers do not justify a message.
const TRANSFER_PARTS_MIN: u64 = PARTS_TOTAL / 512;

/// `PlannedTransfer` specifies how many parts to transfer to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlannedTransfer<'a> {
    pub(crate) to: &'a Member,
    pub(crate) parts: u64,
}

/// Returns the parts that a gate should hold: the floor, plus a share of the rest in proportion to its demand.
fn target(parts: u128, demand: u128, demands: u128, gates: u128) -> u128 {
    let floor = parts / gates / FLOOR_DIVISOR;
    let rest = parts - floor * gates;
    floor + rest * demand / demands.max(1)
}

/// Distributes half of the own surplus to peers in proportion to their deficits.
///
/// Only half, because all hints are outdated: donors that see the same deficit then do not exceed it together.
pub(crate) fn planned_transfers<'a>(
    own: &Hint,
    peers: &[(&'a Member, &Hint)],
    min_surplus_permille: u64,
) -> Vec<PlannedTransfer<'a>> {
    let hints = || peers.iter().map(|(_, hint)| *hint).chain([own]);
    let demands: u128 = hints().map(|hint| u128::from(hint.demand_micro)).sum();
    if demands == 0 {
        return Vec::new();
    }
    let parts: u128 = hints().map(|hint| u128::from(hint.parts)).sum();
    let gates = peers.len() as u128 + 1;
    let target_of = |hint: &Hint| target(parts, u128::from(hint.demand_micro), demands, gates);
    let surplus = u128::from(own.parts).saturating_sub(target_of(own));
    if surplus * 1_000 <= u128::from(own.parts) * u128::from(min_surplus_permille) {
        return Vec::new();
    }
    let deficit = |hint: &Hint| target_of(hint).saturating_sub(u128::from(hint.parts));
    let deficits: u128 = peers.iter().map(|(_, hint)| deficit(hint)).sum();
    let transfer_to = |(to, hint): &(&'a Member, &Hint)| PlannedTransfer {
        to,
        parts: u64::try_from(surplus * deficit(hint) / deficits.max(1) / 2).unwrap_or(0),
    };
    let transfers = peers.iter().map(transfer_to);
    transfers
        .filter(|transfer| transfer.parts >= TRANSFER_PARTS_MIN)
        .collect()
}
