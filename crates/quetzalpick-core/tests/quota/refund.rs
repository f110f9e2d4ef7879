//! Refunds: a bucket that accepts refunds up to its capacity allows a later window to spend too much.

use quetzalpick_core::quota::{Charge, Debit, MICRO};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::entries::{join, set_spec, workspace};
use crate::node::Node;
use crate::oracle::Oracle;

const RATE: u64 = 200;
const BURST: u64 = 1_000;

/// `Bucket` admits requests and accepts refunds; implemented by the gate and by a naive bucket.
trait Bucket {
    type Debit;
    fn charge(&mut self, now_ms: u64, tokens: u64) -> Option<Self::Debit>;
    fn refund(&mut self, now_ms: u64, debit: Self::Debit, unused: u64);
}

impl Bucket for Node {
    type Debit = Debit;

    fn charge(&mut self, now_ms: u64, tokens: u64) -> Option<Debit> {
        match self.quota.charge(now_ms, &workspace(0), tokens) {
            Charge::Granted(debit) => Some(debit),
            _ => None,
        }
    }

    fn refund(&mut self, now_ms: u64, debit: Debit, unused: u64) {
        self.quota.refund(now_ms, debit, unused);
    }
}

/// `NaiveBucket` accepts refunds up to its capacity.
struct NaiveBucket {
    level: u64,
    filled_ms: u64,
}

impl NaiveBucket {
    fn fill(&mut self, now_ms: u64) {
        let added = (now_ms - self.filled_ms) * RATE * MICRO / 1_000;
        self.level = (self.level + added).min(BURST * MICRO);
        self.filled_ms = now_ms;
    }
}

impl Bucket for NaiveBucket {
    type Debit = ();

    fn charge(&mut self, now_ms: u64, tokens: u64) -> Option<()> {
        self.fill(now_ms);
        self.level = self.level.checked_sub(tokens * MICRO)?;
        Some(())
    }

    fn refund(&mut self, now_ms: u64, (): (), unused: u64) {
        self.fill(now_ms);
        self.level = (self.level + unused * MICRO).min(BURST * MICRO);
    }
}

/// Runs random requests, and returns the excess over the oracle's bucket in micro-tokens, the tokens refused, and the
/// tokens requested.
fn run_workload(seed: u64, bucket: &mut impl Bucket) -> (i128, u64, u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut oracle = Oracle::default();
    oracle.set_spec(0, RATE, BURST);
    let mut running = Vec::new();
    let (mut refused, mut requested) = (0, 0);
    let mut now_ms = 0;
    for _ in 0..2_000 {
        // Occasional pauses let the bucket fill while requests are running.
        let pause_ms = if random.random_bool(0.03) { 6_000 } else { 100 };
        now_ms += random.random_range(0..pause_ms);
        if random.random_bool(0.6) {
            let tokens = random.random_range(1..300);
            requested += tokens;
            match bucket.charge(now_ms, tokens) {
                Some(debit) => running.push((debit, oracle.spend(now_ms, tokens), tokens)),
                None => refused += tokens,
            }
        } else if !running.is_empty() {
            let index = random.random_range(0..running.len());
            let (debit, number, tokens) = running.swap_remove(index);
            let unused = random.random_range(0..=tokens);
            oracle.refund(number, unused);
            bucket.refund(now_ms, debit, unused);
        }
    }
    (oracle.excess_micro(), refused, requested)
}

fn gate() -> Node {
    let mut node = Node::new(0);
    let mut log = vec![join(&node.member, 0)];
    log.push(set_spec(1, RATE, BURST));
    node.read(0, &log, 2);
    node
}

#[test]
fn refunds_keep_windows_within_rate_and_burst() {
    let (mut refused, mut requested) = (0, 0);
    for seed in 0..30 {
        let (excess_micro, gate_refused, total) = run_workload(seed, &mut gate());
        assert_eq!(excess_micro, 0, "seed {seed}");
        refused += gate_refused;
        requested += total;
        let naive = &mut NaiveBucket {
            level: BURST * MICRO,
            filled_ms: 0,
        };
        let (naive_micro, _, _) = run_workload(seed, naive);
        assert!(
            naive_micro > 0,
            "seed {seed}: the naive bucket stays within the limit"
        );
    }
    // Unused tokens are refunded, so that far fewer tokens are refused than without refunds.
    insta::assert_snapshot!(format!("{refused} of {requested} tokens refused"));
}
