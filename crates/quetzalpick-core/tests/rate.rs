//! What VMs together let through of a workspace's rate, with lost answers, leaders that change and VMs that restart.

use quetzalpick_core::rate::{Bucket, Overdraft, floor, leader_part};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 8;
const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 8_000;
const RATE: u64 = 90_000;
const BURST: u64 = 90_000;
const OVERDRAFT: u64 = 800;
const FLOOR_PERMILLE: u64 = 500;
const REQUEST: u64 = 1_000;

/// Returns the leader's bucket, as a new leader begins.
fn leader(now_ms: u64, naive: bool) -> Bucket {
    let begin_ms = if naive { 0 } else { now_ms };
    let mut bucket = Bucket::new(begin_ms);
    bucket.set(begin_ms, RATE, BURST, leader_part(FLOOR_PERMILLE));
    bucket
}

/// Plays `ms` with a load of `load` units a second, the larger part of it at one VM; returns what was let through.
fn play(seed: u64, ms: u64, load: u64, faults: bool, naive: bool) -> Vec<(u64, u64)> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut central = leader(0, false);
    let mut buckets: Vec<Bucket> = (0..VMS).map(|_| Bucket::new(0)).collect();
    let mut wanted = [0; VMS];
    let mut passed = Vec::new();
    for now_ms in (0..ms).step_by(STEP_MS as usize) {
        if faults && random.random_range(0..100) == 0 {
            central = leader(now_ms, naive);
        }
        for (n, bucket) in buckets.iter_mut().enumerate() {
            if faults && random.random_range(0..2_000) == 0 {
                *bucket = Bucket::new(now_ms);
            }
            bucket.set(now_ms, RATE, BURST, floor(VMS, FLOOR_PERMILLE));
            let at_one = n == usize::try_from(now_ms / 5_000).unwrap() % VMS;
            let part = if at_one {
                load / 2
            } else {
                load / 2 / (VMS as u64 - 1)
            };
            wanted[n] += part * STEP_MS;
            while wanted[n] >= REQUEST * 1_000 {
                wanted[n] -= REQUEST * 1_000;
                let missing = bucket.missing(now_ms, REQUEST);
                let lost = faults && random.random_range(0..10) == 0;
                let drawn = missing > 0 && central.charge(now_ms, missing, 0).is_ok() && !lost;
                if drawn {
                    bucket.spend(now_ms, REQUEST - missing.min(REQUEST));
                    passed.push((now_ms, REQUEST));
                } else if bucket.charge(now_ms, REQUEST, OVERDRAFT).is_ok() {
                    passed.push((now_ms, REQUEST));
                }
            }
        }
    }
    passed
}

/// Returns the most units let through in one window.
fn most(passed: &[(u64, u64)]) -> u64 {
    let mut most = 0;
    let mut from = 0;
    let mut sum = 0;
    for (at, units) in passed {
        sum += units;
        while passed[from].0 + WINDOW_MS <= *at {
            sum -= passed[from].1;
            from += 1;
        }
        most = most.max(sum);
    }
    most
}

#[test]
fn no_window_exceeds_rate_and_burst() {
    let bound = RATE * WINDOW_MS / 1_000 + BURST + OVERDRAFT * VMS as u64;
    for seed in 0..20 {
        let passed = play(seed, 60_000, RATE * 5, true, false);
        assert!(
            most(&passed) <= bound,
            "seed {seed}: {} > {bound}",
            most(&passed)
        );
    }
}

#[test]
fn a_leader_that_begins_with_a_full_slice_is_caught() {
    let bound = RATE * WINDOW_MS / 1_000 + BURST + OVERDRAFT * VMS as u64;
    let exceeds = |seed: &u64| most(&play(*seed, 40_000, RATE * 5, true, true)) > bound;
    assert!((0..20).any(|seed| exceeds(&seed)));
}

#[test]
fn load_within_the_rate_passes_though_it_moves_from_vm_to_vm() {
    let load = RATE * 8 / 10;
    let passed: u64 = play(3, 40_000, load, false, false)
        .iter()
        .map(|(_, u)| u)
        .sum();
    assert!(
        passed * 100 >= load * 40 * 97,
        "passed {passed} of {}",
        load * 40
    );
}

#[test]
fn load_beyond_the_rate_gets_the_rate() {
    let passed: u64 = play(3, 40_000, RATE * 5, false, false)
        .iter()
        .map(|(_, u)| u)
        .sum();
    assert!(
        passed * 100 >= RATE * 40 * 95,
        "passed {passed} of {}",
        RATE * 40
    );
}

#[test]
fn a_request_larger_than_a_small_slice_passes_when_the_slice_is_full() {
    let mut bucket = Bucket::new(0);
    bucket.set(0, 2_000, 2_000, floor(VMS, FLOOR_PERMILLE));
    assert_eq!(bucket.charge(1_000, 900, OVERDRAFT), Ok(()));
    let wait_ms = bucket.charge(1_000, 900, OVERDRAFT).unwrap_err();
    assert!((7_000..8_000).contains(&wait_ms), "{wait_ms}");
    bucket.refund(1_000, 900);
    assert_eq!(bucket.charge(2_000, 900, OVERDRAFT), Ok(()));
}

#[test]
fn a_full_slice_lets_no_request_through_that_would_overdraw_too_much() {
    let mut bucket = Bucket::new(0);
    bucket.set(0, 2_000, 2_000, floor(VMS, FLOOR_PERMILLE));
    assert!(bucket.charge(10_000, 2_000, OVERDRAFT).is_err());
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
fn a_slice_lends_what_it_has_and_nothing_while_it_owes() {
    let mut bucket = Bucket::new(0);
    bucket.set(0, 1_000, 1_000, floor(2, 1_000));
    // It has half of the rate for a second, less what rounding takes.
    assert_eq!(bucket.lend(1_000, 200), 200);
    assert!((298..=300).contains(&bucket.lend(1_000, 900)));
    assert_eq!(bucket.lend(1_000, 10), 0);
    bucket.spend(1_000, 100);
    assert_eq!(bucket.lend(1_150, 50), 0);
    assert!((48..=50).contains(&bucket.lend(1_300, 100)));
}
