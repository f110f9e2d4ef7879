//! The queue is fair between waiting workspaces, loses no request, and dispatches none past its deadline.

use std::collections::VecDeque;

use insta::assert_snapshot;
use quetzalpick_core::admit::{Options, Queue, Waiter};
use quetzalpick_core::id::Workspace;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const WORKSPACES: usize = 5;
const TOKENS_MAX: u64 = 400;

fn workspace(at: usize) -> Workspace {
    Workspace::try_new(format!("w{at}")).expect("the name is valid")
}

/// `Discipline` is a queueing discipline: fair queuing as in `Queue`, or first come, first served.
trait Discipline {
    fn push(&mut self, now_ms: u64, waiter: Waiter<usize>) -> bool;
    fn pop(&mut self, now_ms: u64) -> Option<Waiter<usize>>;
}

impl Discipline for Queue<usize> {
    fn push(&mut self, now_ms: u64, waiter: Waiter<usize>) -> bool {
        Queue::push(self, now_ms, waiter).is_ok()
    }

    fn pop(&mut self, now_ms: u64) -> Option<Waiter<usize>> {
        Queue::pop(self, now_ms)
    }
}

impl Discipline for VecDeque<Waiter<usize>> {
    fn push(&mut self, _: u64, waiter: Waiter<usize>) -> bool {
        self.push_back(waiter);
        true
    }

    fn pop(&mut self, _: u64) -> Option<Waiter<usize>> {
        self.pop_front()
    }
}

/// Returns the greatest difference in tokens served between two workspaces over a time in which both had waiting requests.
fn greatest_difference(seed: u64, queue: &mut impl Discipline) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut waiting = [0_usize; WORKSPACES];
    // For each pair since both began to wait: the difference in tokens served, its minimum and its maximum.
    let mut pairs = [[(0_i64, 0_i64, 0_i64); WORKSPACES]; WORKSPACES];
    let mut greatest = 0;
    for now_ms in 0..4_000 {
        // The first workspace sends several times as many requests as each other one.
        let from = if random.random_bool(0.6) {
            0
        } else {
            random.random_range(1..WORKSPACES)
        };
        let waiter = Waiter {
            workspace: workspace(from),
            priority: random.random_range(0..3),
            tokens: random.random_range(1..=TOKENS_MAX),
            deadline_ms: u64::MAX,
            value: from,
        };
        waiting[from] += usize::from(queue.push(now_ms, waiter));
        if random.random_bool(0.8)
            && let Some(waiter) = queue.pop(now_ms)
        {
            for (first, row) in pairs.iter_mut().enumerate() {
                for (second, pair) in row.iter_mut().enumerate() {
                    if first == second || waiting[first] == 0 || waiting[second] == 0 {
                        *pair = (0, 0, 0);
                        continue;
                    }
                    let tokens = i64::try_from(waiter.tokens).expect("tokens are few");
                    pair.0 += tokens * i64::from(waiter.value == first);
                    pair.0 -= tokens * i64::from(waiter.value == second);
                    pair.1 = pair.1.min(pair.0);
                    pair.2 = pair.2.max(pair.0);
                    greatest = greatest.max(pair.1.abs_diff(pair.2));
                }
            }
            waiting[waiter.value] -= 1;
        }
    }
    greatest
}

#[test]
fn waiting_workspaces_are_served_fairly() {
    // The bound of start-time fair queuing: one request of maximum size of each workspace.
    const BOUND: u64 = 2 * TOKENS_MAX;
    let options = Options {
        capacity: usize::MAX,
        workspace_capacity: usize::MAX,
    };
    for seed in 0..20 {
        let fair = greatest_difference(seed, &mut Queue::new(options.clone()));
        assert!(fair <= BOUND, "seed {seed}: {fair}");
        let naive = greatest_difference(seed, &mut VecDeque::new());
        assert!(
            naive > BOUND,
            "seed {seed}: the naive queue is within the bound with {naive}"
        );
    }
}

#[test]
fn every_request_is_returned_once_and_in_time() {
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut queue = Queue::new(Options {
            capacity: 40,
            workspace_capacity: 20,
        });
        let mut returned = vec![0_u32; 3_000];
        for value in 0..returned.len() {
            let now_ms = value as u64 * 5;
            let waiter = Waiter {
                workspace: workspace(random.random_range(0..WORKSPACES)),
                priority: random.random_range(0..3),
                tokens: random.random_range(0..=TOKENS_MAX),
                deadline_ms: now_ms + random.random_range(0..500),
                value,
            };
            if let Err(refusal) = queue.push(now_ms, waiter) {
                assert!(refusal.retry_after_ms > 0);
                returned[refusal.waiter.value] += 1;
            }
            match random.random_range(0..10) {
                0 => {
                    let removed = queue.expire(now_ms);
                    assert!(removed.iter().all(|w| w.deadline_ms <= now_ms));
                    removed.iter().for_each(|w| returned[w.value] += 1);
                    assert!(queue.next_deadline().is_none_or(|at| at > now_ms));
                }
                1 => {
                    let removed = queue.cancel(|value| value % 17 == 0);
                    removed.iter().for_each(|w| returned[w.value] += 1);
                }
                2..8 => {
                    if let Some(waiter) = queue.pop(now_ms) {
                        assert!(waiter.deadline_ms > now_ms, "seed {seed}");
                        returned[waiter.value] += 1;
                    }
                }
                _ => {}
            }
            assert!(queue.len() <= 40);
        }
        let rest = queue.cancel(|_| true);
        rest.iter().for_each(|w| returned[w.value] += 1);
        assert!(queue.is_empty());
        assert!(returned.iter().all(|times| *times == 1), "seed {seed}");
    }
}

#[test]
fn a_late_request_is_refused_early() {
    let mut queue = Queue::new(Options {
        capacity: 100,
        workspace_capacity: 30,
    });
    let mut lines = Vec::new();
    let waiter = |from: usize, deadline_ms| Waiter {
        workspace: workspace(from),
        priority: 1,
        tokens: 100,
        deadline_ms,
        value: from,
    };
    // One workspace fills its share of the queue, which is served at 1000 tokens per second.
    for now_ms in (0..4_000).step_by(50) {
        let result = queue.push(now_ms, waiter(0, now_ms + 2_000));
        if now_ms % 100 == 0 {
            queue.pop(now_ms);
        }
        if now_ms % 400 == 0 {
            let own = result.map_err(|r| format!("{} {}", r.cause, r.retry_after_ms));
            let wait = queue.expected_wait_ms(&workspace(1), 1);
            lines.push(format!(
                "{now_ms} ms: {own:?}, {} wait, another would wait {wait} ms",
                queue.len()
            ));
        }
    }
    // The overloading workspace gets a time to retry after; the other one is served next.
    for (from, deadline_ms) in [(0, 4_500), (1, 4_500)] {
        let result = queue.push(4_000, waiter(from, deadline_ms));
        let result = result.map_err(|r| format!("{} {}", r.cause, r.retry_after_ms));
        let next = queue.pop(4_000).map(|w| w.value);
        lines.push(format!("workspace {from}: {result:?}, next is {next:?}"));
    }
    assert_snapshot!(lines.join("\n"));
}
