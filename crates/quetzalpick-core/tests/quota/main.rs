//! Stateful fuzzing of the shares: no window spends more than burst + rate x window, whatever the faults.

mod entries;
mod network;
mod node;
mod oracle;
mod parts;
mod refund;
mod world;

use world::{Fault, World};

/// Virtual time of one run, in ms.
const RUN_MS: u64 = 40_000;

/// Returns the seeds to run: 20, or as many as `QUETZALPICK_SEEDS` says.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("QUETZALPICK_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(20)
}

#[test]
fn no_window_exceeds_burst_and_rate() {
    let mut admissions = 0;
    for seed in seeds() {
        let mut world = World::new(seed, Fault::None);
        world.run(RUN_MS);
        let missing = world.heal();
        let (excess_micro, count) = world.verdict();
        assert_eq!(excess_micro, 0, "seed {seed}");
        assert_eq!(world.parts_excess, 0, "seed {seed}");
        // Once the faults are over, nothing that was lost is lost for good.
        let whole = missing.iter().all(|parts| *parts == 0);
        assert!(whole, "seed {seed}: {missing:?}");
        admissions += count;
    }
    // The runs are not empty.
    assert!(admissions > 1_000, "only {admissions} admissions");
}

/// Tells whether the oracle catches a naive variant.
fn is_caught(fault: Fault, seed: u64) -> bool {
    let mut world = World::new(seed, fault);
    world.run(RUN_MS);
    let (excess_micro, _) = world.verdict();
    excess_micro > 0 || world.parts_excess > 0
}

#[test]
fn naive_variants_are_caught() {
    let variants = [
        (Fault::SubtractLate, 0),
        (Fault::NoDedup, 0),
        (Fault::NoEpoch, 3),
        (Fault::RefuseEpoch, 5),
        (Fault::NoLease, 70),
    ];
    for (fault, seed) in variants {
        assert!(is_caught(fault, seed), "{fault:?} passes with seed {seed}");
    }
}
