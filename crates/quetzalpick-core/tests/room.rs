//! Streams that are sent only where few wait begin in time, when there are more of them than engines take.

use std::collections::VecDeque;

use quetzalpick_core::route::{Crowd, Offers, Pace, has_room};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENGINES: usize = 10;

/// Requests that wait at an engine before it refuses.
const QUEUE: usize = 50;

/// Time in which a prompt is read, in ms; an engine reads one after the other.
const READ_MS: u64 = 12;

/// Time that a request runs at least, and the spread above that, in ms.
const RUN_MS: u64 = 500;
const RUN_SPREAD_MS: u64 = 700;

/// Time to the first token for full use, in ms.
const OBJECTIVE_MS: u64 = 300;

/// What engines have is known with this delay, in ms.
const REPORT_MS: u64 = 350;

const LENGTH_MS: u64 = 12_000;

/// `Engine` reads prompts one after the other while it has places, and runs a batch.
#[derive(Default)]
struct Engine {
    /// Ends of the requests that run, in ms.
    running: Vec<u64>,
    /// Arrivals and run times of those that wait, in ms, and what was known of the engine then.
    waiting: VecDeque<(u64, u64, Crowd)>,
    /// When the prompt that is read will be, in ms.
    reads_until_ms: u64,
    /// What was known of it at the last report.
    known: Crowd,
    offers: Offers,
}

impl Engine {
    /// Ends and begins runs; returns the wait and the run time of one that has its first token, in ms, and what was known
    /// of the engine when it was sent.
    fn turn(&mut self, now_ms: u64, slots: u32) -> Option<(u64, u64, Crowd)> {
        self.running.retain(|end_ms| *end_ms > now_ms);
        if now_ms < self.reads_until_ms || self.running.len() >= slots as usize {
            return None;
        }
        let (since_ms, run_ms, known) = self.waiting.pop_front()?;
        self.reads_until_ms = now_ms + READ_MS;
        self.running.push(self.reads_until_ms + run_ms);
        Some((self.reads_until_ms - since_ms, run_ms, known))
    }
}

/// `Load` is what is asked of the engines.
#[derive(Clone, Copy)]
struct Load {
    slots: u32,
    /// Requests a second, over all engines.
    per_s: u64,
}

/// Plays a load; returns how many of a thousand requests began in time, and how many were refused.
fn play(seed: u64, load: Load, wait_max_ms: Option<u64>) -> (usize, usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut pace = Pace::default();
    let (mut asked, mut in_time, mut refused) = (0, 0, 0);
    for now_ms in 0..LENGTH_MS {
        for engine in &mut engines {
            if let Some((wait_ms, run_ms, known)) = engine.turn(now_ms, load.slots) {
                in_time += usize::from(wait_ms <= OBJECTIVE_MS);
                pace.began(wait_ms, &known);
                pace.ran(run_ms);
            }
            if now_ms % REPORT_MS == 0 {
                let waiting = engine.waiting.len() as u64;
                engine.known = Crowd {
                    slots: load.slots,
                    requests: waiting + engine.running.len() as u64,
                    waiting,
                    offered_per_s: u64::from(engine.offers.turn(now_ms)),
                };
            }
        }
        if random.random_range(0..1_000) >= load.per_s {
            continue;
        }
        asked += 1;
        let run_ms = RUN_MS + random.random_range(0..RUN_SPREAD_MS);
        // Its model lies at two engines.
        let first = random.random_range(0..ENGINES);
        let second = (first + random.random_range(1..ENGINES)) % ENGINES;
        let taken = [first, second].into_iter().find(|at| {
            let engine = &mut engines[*at];
            engine.offers.note();
            let known = engine.known;
            let takes = wait_max_ms.is_none_or(|ms| has_room(&pace, ms, &known, random.random()));
            takes && engine.waiting.len() < QUEUE
        });
        match taken {
            Some(at) => {
                let known = engines[at].known;
                engines[at].waiting.push_back((now_ms, run_ms, known));
            }
            None => refused += 1,
        }
    }
    (in_time * 1_000 / asked, refused * 1_000 / asked)
}

/// Plays a load of half as many again as the engines take; `possible` of a thousand could begin in time.
fn more_begin_in_time(load: Load, possible: usize) {
    for seed in 0..5 {
        let all = play(seed, load, None);
        let few = play(seed, load, Some(OBJECTIVE_MS / 5));
        assert!(
            few.0 * 100 >= possible * 85 && few.0 > all.0 * 2,
            "in time and refused of 1,000: {few:?}, all sent: {all:?}, possible {possible}"
        );
    }
}

#[test]
fn more_streams_begin_in_time_where_places_are_short() {
    let load = Load {
        slots: 24,
        per_s: 430,
    };
    let run_ms = RUN_MS + RUN_SPREAD_MS / 2;
    let runs_per_s = ENGINES * load.slots as usize * 1_000 / run_ms as usize;
    more_begin_in_time(load, runs_per_s * 1_000 / load.per_s as usize);
}

#[test]
fn more_streams_begin_in_time_where_reading_prompts_takes_all_time() {
    let load = Load {
        slots: 128,
        per_s: 990,
    };
    let reads_per_s = ENGINES * 1_000 / READ_MS as usize;
    more_begin_in_time(load, reads_per_s * 1_000 / load.per_s as usize);
}

#[test]
fn nobody_is_refused_under_half_of_the_load() {
    for slots in [24, 128] {
        let load = Load { slots, per_s: 140 };
        let (in_time, refused) = play(1, load, Some(OBJECTIVE_MS / 5));
        assert!(in_time >= 995 && refused == 0, "{in_time} {refused}");
    }
}

#[test]
fn all_are_sent_before_anything_is_known() {
    let crowd = Crowd {
        slots: 8,
        requests: 1_000,
        waiting: 1_000,
        offered_per_s: 1_000,
    };
    assert!(has_room(&Pace::default(), 0, &crowd, u64::MAX));
}

#[test]
fn offers_are_counted_by_the_second() {
    let mut offers = Offers::default();
    for now_ms in 0..4_000 {
        if now_ms % 20 == 0 {
            offers.note();
        }
        if now_ms % 250 == 0 {
            offers.turn(now_ms);
        }
    }
    assert!((45..=55).contains(&offers.per_s()), "{}", offers.per_s());
    assert!(offers.turn(10_000) < 5);
}
