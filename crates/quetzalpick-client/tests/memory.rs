//! What a process holds for its callers is what its guards hold.

use quetzalpick_client::http::memory::{Buffered, Memory, Reservation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Duration, advance};

const LIMIT_BYTES: u64 = 1 << 20;
const SEEDS: u64 = 50;
const STEPS: usize = 500;

#[tokio::test]
async fn an_answer_that_gets_no_bytes_gives_none_back() {
    let memory = Memory::new(LIMIT_BYTES);
    let taken = memory.buffer(LIMIT_BYTES / 4).unwrap();
    assert!(memory.buffer(LIMIT_BYTES / 2).is_none());
    assert_eq!(memory.usage().held_bytes, LIMIT_BYTES / 4);
    drop(taken);
    assert_eq!(memory.usage().held_bytes, 0);
}

#[tokio::test(start_paused = true)]
async fn held_bytes_are_the_sum_of_what_guards_hold_after_each_step() {
    for seed in 0..SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let memory = Memory::new(LIMIT_BYTES);
        let mut reserved: Vec<(Reservation, u64)> = Vec::new();
        let mut buffered: Vec<(Buffered, u64)> = Vec::new();
        for step in 0..STEPS {
            let bytes = 1 << random.random_range(8..19);
            let some: usize = random.random_range(0..=usize::MAX);
            match random.random_range(0..6) {
                0 | 1 => reserved.extend(memory.reserve(bytes).map(|guard| (guard, bytes))),
                2 | 3 => buffered.extend(memory.buffer(bytes / 8).map(|guard| (guard, bytes / 8))),
                4 if !reserved.is_empty() => {
                    let index = some % reserved.len();
                    match random.random_range(0..4) {
                        0 => drop(reserved.swap_remove(index)),
                        1 => reserved[index].0.record(bytes),
                        2 if reserved[index].0.grow(bytes) => reserved[index].1 += bytes,
                        _ => {
                            reserved[index].0.shrink_to(bytes);
                            reserved[index].1 = bytes.min(reserved[index].1);
                        }
                    }
                }
                5 if !buffered.is_empty() => drop(buffered.swap_remove(some % buffered.len())),
                _ => advance(Duration::from_millis(700)).await,
            }
            // Guards whose bytes were lost to others hold nothing.
            let live = reserved.iter().filter(|(guard, _)| !guard.is_lost());
            let live = live.map(|(_, bytes)| bytes).sum::<u64>();
            let sum = live + buffered.iter().map(|(_, bytes)| bytes).sum::<u64>();
            let held = memory.usage().held_bytes;
            assert_eq!(held, sum, "seed {seed} step {step}");
        }
    }
}
