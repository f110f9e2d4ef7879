//! A crowd that stalls gets no more than the budget, and callers that go on are served beside it.

use quetzalpick_core::memory::{Budget, Holder, Kind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LIMIT_BYTES: u64 = 16 << 20;
const LARGE_BYTES: u64 = 4 << 20;
const SMALL_BYTES: u64 = 40 * 1024;

/// Bytes of a transfer that goes on in each step of 100 ms.
const STEP_MS: u64 = 100;
const STEP_BYTES: u64 = 8 * 1024;

/// Plays of the crowd.
const SEEDS: u64 = 50;

/// Large transfers that are served at least beside the crowd, in all plays: five in each.
const LARGE_MIN: usize = 250;

/// `Transfer` is a body that goes on, or stops at `stop_bytes` and stays.
struct Transfer {
    holder: Holder,
    bytes: u64,
    arrived: u64,
    stop_bytes: u64,
}

/// Plays a crowd of large bodies, most of which stall, and small ones that go on; returns how many small ones there were, how many
/// were served, and the number of large ones served.
fn play(
    seed: u64,
    stalled_step_bytes: u64,
    mut check: impl FnMut(&Budget),
) -> (usize, usize, usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut budget = Budget::new(LIMIT_BYTES);
    let (mut transfers, mut complete): (Vec<Transfer>, Vec<Holder>) = (Vec::new(), Vec::new());
    let (mut small, mut served, mut large) = (0, 0, 0);
    for now_ms in (0..20_000).step_by(STEP_MS as usize) {
        for bytes in [LARGE_BYTES, LARGE_BYTES, SMALL_BYTES] {
            small += usize::from(bytes == SMALL_BYTES);
            if let Some(grant) = budget.open(now_ms, bytes) {
                transfers.retain(|transfer| !grant.evicted.contains(&transfer.holder));
                assert!(!complete.iter().any(|holder| grant.evicted.contains(holder)));
                let stalls = bytes == LARGE_BYTES && random.random_ratio(2, 3);
                transfers.push(Transfer {
                    holder: grant.holder,
                    bytes,
                    arrived: 0,
                    stop_bytes: if stalls { bytes / 2 } else { bytes },
                });
            }
            check(&budget);
        }
        for transfer in &mut transfers {
            // Those that stall send single bytes from there on.
            let step = if transfer.arrived < transfer.stop_bytes {
                STEP_BYTES * (transfer.bytes / SMALL_BYTES).max(1)
            } else {
                stalled_step_bytes
            };
            transfer.arrived += step;
            budget.record(now_ms, transfer.holder, step);
        }
        let is_done = |transfer: &Transfer| {
            transfer.stop_bytes == transfer.bytes && transfer.arrived >= transfer.bytes
        };
        for transfer in transfers.iter().filter(|transfer| is_done(transfer)) {
            assert!(budget.complete(transfer.holder));
            served += usize::from(transfer.bytes == SMALL_BYTES);
            large += usize::from(transfer.bytes == LARGE_BYTES);
            complete.push(transfer.holder);
        }
        transfers.retain(|transfer| !is_done(transfer));
        // Each request is answered some time after its body was complete.
        if complete.len() > 8 {
            complete.drain(..4).for_each(|holder| budget.close(holder));
        }
    }
    let held = transfers.iter().map(|transfer| transfer.holder);
    held.chain(complete).for_each(|holder| budget.close(holder));
    assert_eq!(budget.usage().held_bytes, 0);
    (small, served, large)
}

#[test]
fn small_transfers_are_served_beside_a_crowd_that_stalls() {
    let mut large_served = 0;
    for seed in 0..SEEDS {
        let (small, served, large) = play(seed, 1, |budget| {
            assert!(budget.usage().held_bytes <= LIMIT_BYTES);
        });
        // The last ones are still under way at the end.
        assert!(served + 8 >= small, "seed {seed}: {served} of {small}");
        large_served += large;
    }
    assert!(large_served >= LARGE_MIN, "{large_served} large ones");
}

#[test]
fn without_eviction_the_crowd_keeps_all_that_large_transfers_may_use() {
    // Each step of a stalled transfer counts as progress, so that none ever gives way.
    let served = (0..SEEDS).map(|seed| play(seed, STEP_BYTES, |_| {}).2);
    let large_served: usize = served.sum();
    assert!(large_served < LARGE_MIN, "{large_served} large ones");
}

#[test]
fn a_stalled_transfer_gives_way_and_one_that_goes_on_or_is_complete_does_not() {
    let mut budget = Budget::new(LIMIT_BYTES);
    let [stalled, moving, complete] = [0; 3].map(|now_ms| {
        let grant = budget.open(now_ms, LARGE_BYTES);
        grant.unwrap().holder
    });
    assert!(budget.complete(complete));
    assert_eq!(budget.open(900, LARGE_BYTES), None);
    budget.record(900, moving, STEP_BYTES);
    budget.record(900, stalled, 1);
    let grant = budget.open(1_000, LARGE_BYTES).unwrap();
    assert_eq!(grant.evicted, [stalled]);
    assert!(!budget.complete(stalled));
    assert_eq!(budget.grow(1_000, stalled, 1), None);
    assert_eq!(budget.open(1_100, LARGE_BYTES), None);
    assert!(budget.complete(moving));
}

#[test]
fn a_single_body_may_use_more_than_the_part_for_large_ones() {
    let mut budget = Budget::new(LIMIT_BYTES);
    let sole = budget.open(0, LIMIT_BYTES + 1).unwrap();
    assert_eq!(budget.open(0, SMALL_BYTES), None);
    budget.close(sole.holder);
    assert_eq!(budget.open(0, 3 * LIMIT_BYTES), None);
}

#[test]
fn a_long_answer_that_arrives_gives_way_to_a_body_and_no_other_holding_does() {
    let mut budget = Budget::new(LIMIT_BYTES);
    let open = |budget: &mut Budget, kind, bytes| budget.open_as(0, kind, bytes);
    let [body, long, complete] = [Kind::Body, Kind::Answer, Kind::Answer].map(|kind| {
        let grant = open(&mut budget, kind, LARGE_BYTES);
        grant.unwrap().holder
    });
    let short = open(&mut budget, Kind::Answer, SMALL_BYTES).unwrap().holder;
    assert!(budget.complete(complete));
    // Answers make none of them give way.
    assert_eq!(open(&mut budget, Kind::Answer, LARGE_BYTES), None);
    let grant = open(&mut budget, Kind::Body, LARGE_BYTES - SMALL_BYTES);
    assert_eq!(grant.unwrap().evicted, [long]);
    assert_eq!(open(&mut budget, Kind::Body, LARGE_BYTES), None);
    assert!([body, complete, short].map(|holder| budget.complete(holder)) == [true; 3]);
}

#[test]
fn what_the_vm_itself_needs_finds_the_part_that_long_bodies_leave() {
    let mut budget = Budget::new(LIMIT_BYTES);
    while budget.open(0, LARGE_BYTES).is_some() {}
    assert_eq!(budget.open_as(0, Kind::Answer, LARGE_BYTES), None);
    let grant = budget.open_as(0, Kind::Control, LARGE_BYTES).unwrap();
    assert_eq!(grant.evicted, []);
    assert_eq!(budget.open_as(0, Kind::Control, LARGE_BYTES), None);
}
