//! Callers that found no free slot retry when slots are likely to be free.

use quetzalpick_core::retry::{RefusalRate, RetryAfter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Slots of a service; each request occupies one for `BUSY_MS`.
const SLOTS: usize = 100;
const BUSY_MS: u64 = 400;

/// Requests arrive at 50 per second, and at eight times that rate in a burst of four seconds.
const REQUEST_INTERVAL_MS: u64 = 20;
const BURST_MS: std::ops::Range<u64> = 2_000..6_000;
const BURST_FACTOR: u64 = 8;

/// A caller gives up after this time or number of attempts.
const TIMEOUT_MS: u64 = 10_000;
const ATTEMPTS_MAX: u32 = 3;

/// `Caller` holds a request that waits for its next attempt.
struct Caller {
    next_attempt_ms: u64,
    started_ms: u64,
    attempts: u32,
}

/// Simulates the load; returns the numbers of answered requests and of refused attempts per thousand requests.
fn simulate(seed: u64, retry_after: impl Fn(&RefusalRate, u64) -> u64) -> (usize, usize) {
    let options = RetryAfter::default();
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut refusal_rate = RefusalRate::default();
    let mut busy: Vec<u64> = Vec::new();
    let mut callers: Vec<Caller> = Vec::new();
    let (mut requests, mut answered, mut refused) = (0, 0, 0);
    for now_ms in 0..12_000 {
        busy.retain(|until_ms| *until_ms > now_ms);
        // Half of the slots are unavailable during the burst, as after crashes of endpoints.
        let slots = if BURST_MS.contains(&now_ms) {
            SLOTS / 2
        } else {
            SLOTS
        };
        let burst = BURST_MS.contains(&now_ms);
        if now_ms % REQUEST_INTERVAL_MS == 0 {
            let count = if burst { BURST_FACTOR } else { 1 };
            requests += count as usize;
            callers.extend((0..count).map(|_| Caller {
                next_attempt_ms: now_ms,
                started_ms: now_ms,
                attempts: 0,
            }));
        }
        let due: Vec<Caller> = callers
            .extract_if(.., |caller| caller.next_attempt_ms <= now_ms)
            .collect();
        for mut caller in due {
            let is_full = busy.len() >= slots;
            refusal_rate.record(now_ms, is_full, &options);
            if !is_full {
                busy.push(now_ms + BUSY_MS);
                answered += 1;
                continue;
            }
            refused += 1;
            caller.attempts += 1;
            caller.next_attempt_ms = now_ms + retry_after(&refusal_rate, random.random());
            if caller.attempts < ATTEMPTS_MAX
                && caller.next_attempt_ms < caller.started_ms + TIMEOUT_MS
            {
                callers.push(caller);
            }
        }
    }
    (answered * 1_000 / requests, refused * 1_000 / requests)
}

#[test]
fn adaptive_waits_answer_more_requests_than_a_short_fixed_wait() {
    let options = RetryAfter::default();
    for seed in 0..5 {
        let fixed = simulate(seed, |_, _| 250);
        let adaptive = simulate(seed, |refusal_rate, random| {
            refusal_rate.retry_after_ms(&options, random)
        });
        assert!(
            adaptive.0 > fixed.0 + 50 && adaptive.1 < fixed.1,
            "answered and refused per 1,000: {adaptive:?}, with a fixed wait: {fixed:?}"
        );
    }
}

#[test]
fn the_wait_follows_the_refusal_rate() {
    let options = RetryAfter::default();
    let mut refusal_rate = RefusalRate::default();
    assert!(refusal_rate.retry_after_ms(&options, 7) <= options.base_ms);
    for now_ms in 0..2_000 {
        refusal_rate.record(now_ms, true, &options);
    }
    let longest_ms = options.base_ms + options.pressure_ms;
    assert!(refusal_rate.retry_after_ms(&options, 0) >= longest_ms / 2 - 1);
    for now_ms in 2_000..9_000 {
        refusal_rate.record(now_ms, false, &options);
    }
    assert!(refusal_rate.retry_after_ms(&options, u64::MAX) <= options.base_ms + 10);
}
