//! All VMs together stay within a workspace's rate under lost answers, changes of leader and restarts of VMs.

use quetzalpick_core::rate::{Bucket, Overdraft, floor, leader_part};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 8;
const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 8_000;
/// Rate in units per second.
const RATE: u64 = 90_000;
const BURST_UNITS: u64 = 90_000;
/// Overdraft of each VM.
const OVERDRAFT_UNITS: u64 = 800;
const FLOOR_PERMILLE: u64 = 500;
const REQUEST_UNITS: u64 = 1_000;

/// Returns the bucket of a new leader; a naive one has filled since time 0.
fn leader(now_ms: u64, naive: bool) -> Bucket {
    let created_ms = if naive { 0 } else { now_ms };
    let mut bucket = Bucket::new(created_ms);
    bucket.set(created_ms, RATE, BURST_UNITS, leader_part(FLOOR_PERMILLE));
    bucket
}

/// Simulates `ms` with a load of `load` units per second, half of it at one VM; returns the times and units of admitted requests.
fn simulate(seed: u64, ms: u64, load: u64, faults: bool, naive: bool) -> Vec<(u64, u64)> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut leader_bucket = leader(0, false);
    let mut buckets: Vec<Bucket> = (0..VMS).map(|_| Bucket::new(0)).collect();
    // Demand of each VM that is not served yet, in thousandths of a unit.
    let mut demanded_milli = [0; VMS];
    let mut admitted = Vec::new();
    for now_ms in (0..ms).step_by(STEP_MS as usize) {
        if faults && random.random_range(0..100) == 0 {
            leader_bucket = leader(now_ms, naive);
        }
        for (vm, bucket) in buckets.iter_mut().enumerate() {
            if faults && random.random_range(0..2_000) == 0 {
                *bucket = Bucket::new(now_ms);
            }
            bucket.set(now_ms, RATE, BURST_UNITS, floor(VMS, FLOOR_PERMILLE));
            let is_busy = vm == usize::try_from(now_ms / 5_000).unwrap() % VMS;
            let share = if is_busy {
                load / 2
            } else {
                load / 2 / (VMS as u64 - 1)
            };
            demanded_milli[vm] += share * STEP_MS;
            while demanded_milli[vm] >= REQUEST_UNITS * 1_000 {
                demanded_milli[vm] -= REQUEST_UNITS * 1_000;
                let missing = bucket.missing(now_ms, REQUEST_UNITS);
                let answer_lost = faults && random.random_range(0..10) == 0;
                let is_drawn =
                    missing > 0 && leader_bucket.charge(now_ms, missing, 0).is_ok() && !answer_lost;
                if is_drawn {
                    bucket.spend(now_ms, REQUEST_UNITS - missing.min(REQUEST_UNITS));
                    admitted.push((now_ms, REQUEST_UNITS));
                } else if bucket
                    .charge(now_ms, REQUEST_UNITS, OVERDRAFT_UNITS)
                    .is_ok()
                {
                    admitted.push((now_ms, REQUEST_UNITS));
                }
            }
        }
    }
    admitted
}

/// Returns the maximum number of units admitted in any window.
fn max_in_window(admitted: &[(u64, u64)]) -> u64 {
    let mut max_in_window = 0;
    let mut from = 0;
    let mut sum = 0;
    for (at, units) in admitted {
        sum += units;
        while admitted[from].0 + WINDOW_MS <= *at {
            sum -= admitted[from].1;
            from += 1;
        }
        max_in_window = max_in_window.max(sum);
    }
    max_in_window
}

#[test]
fn no_window_exceeds_rate_and_burst() {
    let bound = RATE * WINDOW_MS / 1_000 + BURST_UNITS + OVERDRAFT_UNITS * VMS as u64;
    for seed in 0..20 {
        let admitted = simulate(seed, 60_000, RATE * 5, true, false);
        assert!(
            max_in_window(&admitted) <= bound,
            "seed {seed}: {} > {bound}",
            max_in_window(&admitted)
        );
    }
}

#[test]
fn a_leader_that_begins_with_a_full_bucket_is_detected() {
    let bound = RATE * WINDOW_MS / 1_000 + BURST_UNITS + OVERDRAFT_UNITS * VMS as u64;
    let exceeds =
        |seed: &u64| max_in_window(&simulate(*seed, 40_000, RATE * 5, true, true)) > bound;
    assert!((0..20).any(|seed| exceeds(&seed)));
}

#[test]
fn load_within_the_rate_is_admitted_while_it_moves_between_vms() {
    let load = RATE * 8 / 10;
    let admitted: u64 = simulate(3, 40_000, load, false, false)
        .iter()
        .map(|(_, u)| u)
        .sum();
    assert!(
        admitted * 100 >= load * 40 * 97,
        "admitted {admitted} of {}",
        load * 40
    );
}

#[test]
fn load_beyond_the_rate_is_admitted_at_the_rate() {
    let admitted: u64 = simulate(3, 40_000, RATE * 5, false, false)
        .iter()
        .map(|(_, u)| u)
        .sum();
    assert!(
        admitted * 100 >= RATE * 40 * 95,
        "admitted {admitted} of {}",
        RATE * 40
    );
}

#[test]
fn a_request_beyond_the_capacity_is_admitted_when_the_bucket_is_full() {
    let mut bucket = Bucket::new(0);
    bucket.set(0, 2_000, 2_000, floor(VMS, FLOOR_PERMILLE));
    assert_eq!(bucket.charge(1_000, 900, OVERDRAFT_UNITS), Ok(()));
    let wait_ms = bucket.charge(1_000, 900, OVERDRAFT_UNITS).unwrap_err();
    assert!((7_000..8_000).contains(&wait_ms), "{wait_ms}");
    bucket.refund(1_000, 900);
    assert_eq!(bucket.charge(2_000, 900, OVERDRAFT_UNITS), Ok(()));
}

#[test]
fn a_full_bucket_refuses_a_request_beyond_the_overdraft() {
    let mut bucket = Bucket::new(0);
    bucket.set(0, 2_000, 2_000, floor(VMS, FLOOR_PERMILLE));
    assert!(bucket.charge(10_000, 2_000, OVERDRAFT_UNITS).is_err());
}

#[test]
fn an_overdraft_stays_within_the_tolerance() {
    let overdraft = Overdraft {
        units: 7_500,
        tolerance_permille: 100,
        window_ms: 8_000,
    };
    let (rate, burst, members) = (50_000, 50_000, 69);
    let allowed = (rate * 8 + burst) / 10;
    assert_eq!(
        overdraft.share(rate, burst, members, false),
        7_500 / members
    );
    let leaderless = overdraft.share(rate, burst, members, true) * members;
    assert!(leaderless <= 7_500 + allowed * 6 / 10, "{leaderless}");
    assert!(leaderless > allowed / 2, "{leaderless}");
    assert_eq!(Overdraft::default().share(rate, burst, members, true), 0);
}

#[test]
fn a_bucket_lends_its_level_and_nothing_while_in_debt() {
    let mut bucket = Bucket::new(0);
    bucket.set(0, 1_000, 1_000, floor(2, 1_000));
    // It holds one second of half of the rate, less rounding errors.
    assert_eq!(bucket.lend(1_000, 200), 200);
    assert!((298..=300).contains(&bucket.lend(1_000, 900)));
    assert_eq!(bucket.lend(1_000, 10), 0);
    bucket.spend(1_000, 100);
    assert_eq!(bucket.lend(1_150, 50), 0);
    assert!((48..=50).contains(&bucket.lend(1_300, 100)));
}
