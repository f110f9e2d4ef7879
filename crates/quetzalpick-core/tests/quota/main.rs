//! Stateful fuzzing of quota shares: whatever the faults, no window spends more than burst + rate x window.

mod entries;
mod network;
mod node;
mod oracle;
mod parts;
mod refund;
mod simulation;

use simulation::{Defect, Simulation};

/// Virtual time of one run, in ms.
const RUN_MS: u64 = 40_000;

/// Returns the seeds to run: 20, or the number set in `QUETZALPICK_SEEDS`.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("QUETZALPICK_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(20)
}

#[test]
fn no_window_exceeds_burst_and_rate() {
    let mut admissions = 0;
    for seed in seeds() {
        let mut simulation = Simulation::new(seed, Defect::None);
        simulation.run(RUN_MS);
        let missing = simulation.heal();
        let (excess_micro, count) = simulation.outcome();
        assert_eq!(excess_micro, 0, "seed {seed}");
        assert_eq!(simulation.parts_excess, 0, "seed {seed}");
        // After the faults end, lost parts are reissued and none is missing.
        let complete = missing.iter().all(|parts| *parts == 0);
        assert!(complete, "seed {seed}: {missing:?}");
        admissions += count;
    }
    // Guards against runs without any load.
    assert!(admissions > 1_000, "only {admissions} admissions");
}

/// Returns whether an oracle detects a defect.
fn is_detected(defect: Defect, seed: u64) -> bool {
    let mut simulation = Simulation::new(seed, defect);
    simulation.run(RUN_MS);
    let (excess_micro, _) = simulation.outcome();
    excess_micro > 0 || simulation.parts_excess > 0
}

#[test]
fn defective_variants_are_detected() {
    let variants = [
        (Defect::SubtractLate, 0),
        (Defect::NoDedup, 0),
        (Defect::NoEpoch, 3),
        (Defect::RefuseEpoch, 5),
        (Defect::NoLease, 70),
    ];
    for (defect, seed) in variants {
        assert!(
            is_detected(defect, seed),
            "{defect:?} is not detected with seed {seed}"
        );
    }
}
