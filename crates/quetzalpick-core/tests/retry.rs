//! The retry budget limits the load added by retries when endpoints fail.

use insta::assert_snapshot;
use quetzalpick_core::retry::{Backoff, Budget, Deadline, FailedAttempt, Options, Step, next_step};
use quetzalpick_core::verdict::Verdict;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const REQUESTS: u64 = 20_000;
const ENDPOINTS: u64 = 9;
const ATTEMPTS_MAX: u32 = 4;

/// Returns the calls and the answered requests per thousand requests, at one request per ms.
fn amplification(failing: u64, options: Options) -> (u64, u64) {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut budget = Budget::new(0, options);
    let (mut calls, mut answered) = (0, 0);
    for now_ms in 0..REQUESTS {
        budget.deposit();
        for retries in 0..ATTEMPTS_MAX {
            calls += 1;
            if random.random_range(0..ENDPOINTS) >= failing {
                answered += 1;
                break;
            }
            let attempt = FailedAttempt {
                verdict: Verdict::NotRun,
                idempotent: true,
                retries,
                deadline: Deadline::after(now_ms, 10_000),
            };
            let step = next_step(
                now_ms,
                attempt,
                &mut budget,
                &Backoff::default(),
                random.random(),
            );
            if !matches!(step, Step::Retry { .. }) {
                break;
            }
        }
    }
    (calls * 1_000 / REQUESTS, answered * 1_000 / REQUESTS)
}

#[test]
fn load_amplification_is_bounded() {
    let unbounded = || Options {
        ratio_permille: 1_000 * u64::from(ATTEMPTS_MAX),
        ..Options::default()
    };
    let mut lines =
        vec!["failing of 9 | budget: calls, answered | none: calls, answered".to_owned()];
    for failing in [0, 1, 3, 6, 9] {
        let (calls, answered) = amplification(failing, Options::default());
        let (unbounded_calls, unbounded_answered) = amplification(failing, unbounded());
        // Retries add at most the ratio, the floor and the saved burst.
        assert!(calls <= 1_000 + 200 + 5 + 50_000 / REQUESTS + 1);
        lines.push(format!(
            "{failing} | {calls}, {answered} | {unbounded_calls}, {unbounded_answered}"
        ));
    }
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn only_requests_that_may_be_repeated_are_retried() {
    let mut lines = Vec::new();
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran] {
        for idempotent in [false, true] {
            for (left_ms, saved_retries) in [(5_000, 1), (5_000, 0), (3, 1)] {
                let options = Options {
                    burst: saved_retries,
                    floor_per_1000_s: 0,
                    ..Options::default()
                };
                let mut budget = Budget::new(0, options);
                let attempt = FailedAttempt {
                    verdict,
                    idempotent,
                    retries: 2,
                    deadline: Deadline::after(100, left_ms),
                };
                let step = next_step(100, attempt, &mut budget, &Backoff::default(), 25);
                lines.push(format!(
                    "{verdict} {idempotent} {left_ms} ms {saved_retries} saved: {step:?}"
                ));
            }
        }
    }
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn all_vms_together_stay_within_the_slack_in_every_window() {
    const MEMBERS: usize = 8;
    const SLACK: u64 = 56;
    const WINDOW_MS: u64 = 10_000;
    let options = || Options::share(0, SLACK, WINDOW_MS, MEMBERS as u64);
    let mut budgets: Vec<Budget> = (0..MEMBERS).map(|_| Budget::new(0, options())).collect();
    let mut granted: Vec<u64> = Vec::new();
    for now_ms in (0..60_000).step_by(10) {
        for budget in &mut budgets {
            // The VMs restart at times, each with a full budget.
            if now_ms % 9_000 == 0 && now_ms > 0 {
                *budget = Budget::new(now_ms, options());
            }
            while budget.withdraw(now_ms) {
                granted.push(now_ms);
            }
        }
    }
    for from in &granted {
        let window = granted
            .iter()
            .filter(|at| (*from..from + WINDOW_MS).contains(at));
        assert!(window.count() as u64 <= SLACK, "from {from}");
    }
    assert!(granted.len() > 100, "{}", granted.len());
}
