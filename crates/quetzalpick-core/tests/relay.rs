//! Followers read themselves soon after the leader stops reading or speaking.

use quetzalpick_core::relay::{Freshness, Options};

/// Time in which changes must be in force, in ms; a read of one's own takes a part of it.
const IN_FORCE_MS: u64 = 2_000;

/// Longest time for an own read, in ms.
const READ_MS: u64 = 500;

/// Longest time that the leader's read waits for news, in ms.
const WAIT_MS: u64 = 400;

/// Returns the time after `cut_ms` at which a follower reads itself, in ms: the leader's reads end at the cut.
fn resumes(cut_ms: u64, speaks: bool, interval_ms: u64) -> u64 {
    let options = Options::default();
    let mut freshness = Freshness::default();
    for now_ms in (0_u64..20_000).step_by(10) {
        let read_ms = now_ms.min(cut_ms) / WAIT_MS * WAIT_MS;
        // What a read waits for has come back when the next one is sent.
        let shown_ms = read_ms.saturating_sub(WAIT_MS);
        if now_ms.is_multiple_of(interval_ms) && (speaks || now_ms < cut_ms) {
            freshness.record(now_ms, shown_ms);
        }
        if now_ms > cut_ms && !freshness.is_current(now_ms, &options) {
            return now_ms - cut_ms;
        }
    }
    u64::MAX
}

#[test]
fn reads_are_spared_while_the_leader_reads_and_speaks() {
    let options = Options::default();
    let mut freshness = Freshness::default();
    assert!(!freshness.is_current(0, &options));
    for now_ms in (0..10_000).step_by(400) {
        let shown_ms = (now_ms / WAIT_MS * WAIT_MS).saturating_sub(WAIT_MS);
        freshness.record(now_ms, shown_ms);
        assert!(freshness.is_current(now_ms + 390, &options), "{now_ms}");
    }
}

#[test]
fn a_change_is_in_force_in_time_though_the_leader_is_cut_off_or_silent() {
    for cut_ms in (5_000..6_000).step_by(10) {
        for (speaks, interval_ms) in [(true, 250), (false, 250), (true, 560), (false, 560)] {
            let resumed_ms = resumes(cut_ms, speaks, interval_ms);
            assert!(
                resumed_ms + READ_MS <= IN_FORCE_MS,
                "{cut_ms} {speaks}: {resumed_ms}"
            );
        }
    }
}
