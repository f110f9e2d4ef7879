//! What VMs together let through of a workspace's rate, with lost answers, leaders that change and VMs that restart.

use quetzalpick_core::id::{Vm, Workspace};
use quetzalpick_core::rate::{Allocator, Loan, Options, Question, Slice, floor};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 8;
const STEP_MS: u64 = 10;
const ASK_EVERY_MS: u64 = 250;
const WINDOW_MS: u64 = 8_000;
const RATE: u64 = 90_000;
const BURST: u64 = 90_000;
const OVERDRAFT: u64 = 800;

struct Node {
    slice: Slice,
    loan: Loan,
    loan_until_ms: u64,
    wanted: u64,
    refused: u64,
}

impl Node {
    fn new(now_ms: u64) -> Self {
        Self {
            slice: Slice::new(now_ms),
            loan: Loan::default(),
            loan_until_ms: 0,
            wanted: 0,
            refused: 0,
        }
    }
}

/// Plays `ms` with a load of `load` units a second, the larger part of it at one VM; returns what was let through.
fn play(seed: u64, ms: u64, load: u64, faults: bool, naive: bool) -> Vec<(u64, u64)> {
    let mut random = Pcg64::seed_from_u64(seed);
    let workspace = Workspace::try_new("w").unwrap();
    let names: Vec<Vm> = (0..VMS)
        .map(|n| Vm::try_new(format!("vm-{n}")).unwrap())
        .collect();
    let options = Options::default();
    let mut allocator = Allocator::new(0, options.clone());
    let mut leader_from_ms = 0;
    let mut nodes: Vec<Node> = (0..VMS).map(|_| Node::new(0)).collect();
    let mut passed = Vec::new();
    for now_ms in (0..ms).step_by(STEP_MS as usize) {
        if faults && random.random_range(0..700) == 0 {
            allocator = Allocator::new(now_ms, options.clone());
            leader_from_ms = now_ms + 3_000;
            nodes.iter_mut().for_each(|node| node.loan.number = 0);
        }
        for (n, node) in nodes.iter_mut().enumerate() {
            if faults && random.random_range(0..2_000) == 0 {
                *node = Node::new(now_ms);
            }
            let at_one = n == usize::try_from(now_ms / 5_000).unwrap() % VMS;
            let part = if at_one {
                load / 2
            } else {
                load / 2 / (VMS as u64 - 1)
            };
            if now_ms % ASK_EVERY_MS == 0 && now_ms >= leader_from_ms {
                let lost = faults && random.random_range(0..4) == 0;
                if naive {
                    let long_ago = 0;
                    allocator = Allocator::new(long_ago, options.clone());
                }
                let question = Question {
                    vm: &names[n],
                    workspace: &workspace,
                    rate: RATE,
                    wanted: part,
                    received: node.loan.number,
                    held: if now_ms < node.loan_until_ms {
                        node.loan.parts
                    } else {
                        0
                    },
                };
                let loan = allocator.lend(now_ms, question, VMS);
                if !lost {
                    node.loan = loan;
                    node.loan_until_ms = now_ms + options.loan_ms;
                }
            }
            let loan = if now_ms < node.loan_until_ms {
                node.loan.parts
            } else {
                0
            };
            let parts = floor(VMS, options.floor_permille) + loan;
            node.slice.set(now_ms, RATE, BURST, parts);
            node.wanted += part * STEP_MS;
            while node.wanted >= 1_000_000 {
                node.wanted -= 1_000_000;
                match node.slice.charge(now_ms, 1_000, OVERDRAFT) {
                    Ok(()) => passed.push((now_ms, 1_000)),
                    Err(_) => node.refused += 1_000,
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
fn a_leader_that_forgets_its_loans_is_caught() {
    let bound = RATE * WINDOW_MS / 1_000 + BURST + OVERDRAFT * VMS as u64;
    let exceeds = |seed: &u64| most(&play(*seed, 60_000, RATE * 5, true, true)) > bound;
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
    let mut slice = Slice::new(0);
    slice.set(0, 2_000, 2_000, floor(VMS, 500));
    assert_eq!(slice.charge(1_000, 900, OVERDRAFT), Ok(()));
    let wait_ms = slice.charge(1_000, 900, OVERDRAFT).unwrap_err();
    assert!((7_000..8_000).contains(&wait_ms), "{wait_ms}");
    slice.refund(1_000, 900);
    assert_eq!(slice.charge(2_000, 900, OVERDRAFT), Ok(()));
}

#[test]
fn a_full_slice_lets_no_request_through_that_would_overdraw_too_much() {
    let mut slice = Slice::new(0);
    slice.set(0, 2_000, 2_000, floor(VMS, 500));
    assert!(slice.charge(10_000, 2_000, OVERDRAFT).is_err());
}
