//! Callers that found no place come back when places come free.

use quetzalpick_core::retry::{RefusalRate, RetryAfter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Places of a service, each taken for this time.
const PLACES: usize = 100;
const TAKEN_MS: u64 = 400;

/// Requests arrive at 50 a second, and at eight times that in a burst of four seconds.
const CALM_EVERY_MS: u64 = 20;
const BURST_MS: std::ops::Range<u64> = 2_000..6_000;
const BURST_FACTOR: u64 = 8;

/// A caller gives up this long after its first try, and tries so often at most.
const PATIENCE_MS: u64 = 10_000;
const TRIES_MAX: u32 = 3;

/// `Caller` is one request on its way back.
struct Caller {
    at_ms: u64,
    began_ms: u64,
    tries: u32,
}

/// Plays the load; returns how many of a thousand requests were answered, and how many tries were refused for each thousand.
fn play(seed: u64, retry_after: impl Fn(&RefusalRate, u64) -> u64) -> (usize, usize) {
    let options = RetryAfter::default();
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut refusal_rate = RefusalRate::default();
    let mut taken: Vec<u64> = Vec::new();
    let mut callers: Vec<Caller> = Vec::new();
    let (mut asked, mut answered, mut refused) = (0, 0, 0);
    for now_ms in 0..12_000 {
        taken.retain(|until_ms| *until_ms > now_ms);
        // Half of the places are lost during the burst, as when endpoints crash.
        let places = if BURST_MS.contains(&now_ms) {
            PLACES / 2
        } else {
            PLACES
        };
        let burst = BURST_MS.contains(&now_ms);
        if now_ms % CALM_EVERY_MS == 0 {
            let count = if burst { BURST_FACTOR } else { 1 };
            asked += count as usize;
            callers.extend((0..count).map(|_| Caller {
                at_ms: now_ms,
                began_ms: now_ms,
                tries: 0,
            }));
        }
        let due: Vec<Caller> = callers
            .extract_if(.., |caller| caller.at_ms <= now_ms)
            .collect();
        for mut caller in due {
            let full = taken.len() >= places;
            refusal_rate.record(now_ms, full, &options);
            if !full {
                taken.push(now_ms + TAKEN_MS);
                answered += 1;
                continue;
            }
            refused += 1;
            caller.tries += 1;
            caller.at_ms = now_ms + retry_after(&refusal_rate, random.random());
            if caller.tries < TRIES_MAX && caller.at_ms < caller.began_ms + PATIENCE_MS {
                callers.push(caller);
            }
        }
    }
    (answered * 1_000 / asked, refused * 1_000 / asked)
}

#[test]
fn more_callers_find_a_place_than_if_all_came_back_soon() {
    let options = RetryAfter::default();
    for seed in 0..5 {
        let soon = play(seed, |_, _| 250);
        let spread_out = play(seed, |refusal_rate, random| {
            refusal_rate.retry_after_ms(&options, random)
        });
        assert!(
            spread_out.0 > soon.0 + 50 && spread_out.1 < soon.1,
            "answered and refused of 1,000: {spread_out:?}, coming back soon: {soon:?}"
        );
    }
}

#[test]
fn a_service_that_refuses_hardly_anybody_is_asked_again_soon() {
    let options = RetryAfter::default();
    let mut refusal_rate = RefusalRate::default();
    assert!(refusal_rate.retry_after_ms(&options, 7) <= options.soon_ms);
    for now_ms in 0..2_000 {
        refusal_rate.record(now_ms, true, &options);
    }
    let longest_ms = options.soon_ms + options.late_ms;
    assert!(refusal_rate.retry_after_ms(&options, 0) >= longest_ms / 2 - 1);
    for now_ms in 2_000..9_000 {
        refusal_rate.record(now_ms, false, &options);
    }
    assert!(refusal_rate.retry_after_ms(&options, u64::MAX) <= options.soon_ms + 10);
}
