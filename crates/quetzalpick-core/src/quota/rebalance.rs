//! How much a gate gives to which peer so that shares follow the demand.

use crate::id::Member;
use crate::quota::Hint;
use crate::record::PARTS_TOTAL;

/// Every gate keeps at least its even share divided by this, whatever the demand.
const FLOOR_DIVISOR: u128 = 8;

/// Gifts smaller than this many parts are not worth a message.
const GIFT_MIN: u64 = PARTS_TOTAL / 512;

/// `Gift` is what one peer is to be given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Gift<'a> {
    pub(crate) to: &'a Member,
    pub(crate) parts: u64,
}

/// Returns the parts that a gate should hold by its demand, with a floor under every gate.
fn target(parts: u128, demand: u128, demands: u128, gates: u128) -> u128 {
    let floor = parts / gates / FLOOR_DIVISOR;
    let rest = parts - floor * gates;
    floor + rest * demand / demands.max(1)
}

/// Returns the gifts of half of the own surplus, divided by the peers' deficits.
///
/// Half, because all hints are old: peers that see the same deficit together never fill more than it.
pub(crate) fn gifts<'a>(
    own: &Hint,
    peers: &[(&'a Member, &Hint)],
    slack_permille: u64,
) -> Vec<Gift<'a>> {
    let hints = || peers.iter().map(|(_, hint)| *hint).chain([own]);
    let demands: u128 = hints().map(|hint| u128::from(hint.demand_micro)).sum();
    if demands == 0 {
        return Vec::new();
    }
    let parts: u128 = hints().map(|hint| u128::from(hint.parts)).sum();
    let gates = peers.len() as u128 + 1;
    let target_of = |hint: &Hint| target(parts, u128::from(hint.demand_micro), demands, gates);
    let surplus = u128::from(own.parts).saturating_sub(target_of(own));
    if surplus * 1_000 <= u128::from(own.parts) * u128::from(slack_permille) {
        return Vec::new();
    }
    let deficit = |hint: &Hint| target_of(hint).saturating_sub(u128::from(hint.parts));
    let deficits: u128 = peers.iter().map(|(_, hint)| deficit(hint)).sum();
    let gift = |(to, hint): &(&'a Member, &Hint)| Gift {
        to,
        parts: u64::try_from(surplus * deficit(hint) / deficits.max(1) / 2).unwrap_or(0),
    };
    let gifts = peers.iter().map(gift);
    gifts.filter(|gift| gift.parts >= GIFT_MIN).collect()
}
