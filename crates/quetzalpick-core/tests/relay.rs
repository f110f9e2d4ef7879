//! Followers resume own reads soon after the leader stops reading or sending.

use quetzalpick_core::relay::{Freshness, Options};

/// Time within which changes must be in force, in ms; it includes the follower's own read.
const IN_FORCE_MS: u64 = 2_000;

/// Maximum duration of an own read, in ms.
const READ_MS: u64 = 500;

/// Maximum time that the leader's read waits for new records, in ms.
const WAIT_MS: u64 = 400;

/// Returns how long after `stopped_ms` a follower resumes own reads, in ms; the leader then stops reading, and sending too
/// unless `sends` is set.
fn resume_delay_ms(stopped_ms: u64, sends: bool, interval_ms: u64) -> u64 {
    let options = Options::default();
    let mut freshness = Freshness::default();
    for now_ms in (0_u64..20_000).step_by(10) {
        let read_ms = now_ms.min(stopped_ms) / WAIT_MS * WAIT_MS;
        // The newest read has not returned yet, so the leader forwards the one before it.
        let forwarded_ms = read_ms.saturating_sub(WAIT_MS);
        if now_ms.is_multiple_of(interval_ms) && (sends || now_ms < stopped_ms) {
            freshness.record(now_ms, forwarded_ms, interval_ms);
        }
        if now_ms > stopped_ms && !freshness.is_current(now_ms, &options) {
            return now_ms - stopped_ms;
        }
    }
    u64::MAX
}

#[test]
fn forwarded_data_is_current_while_the_leader_reads_and_sends() {
    let options = Options::default();
    let mut freshness = Freshness::default();
    assert!(!freshness.is_current(0, &options));
    for now_ms in (0..10_000).step_by(400) {
        let forwarded_ms = (now_ms / WAIT_MS * WAIT_MS).saturating_sub(WAIT_MS);
        freshness.record(now_ms, forwarded_ms, 400);
        assert!(freshness.is_current(now_ms + 390, &options), "{now_ms}");
    }
}

#[test]
fn a_change_is_in_force_in_time_if_the_leader_is_disconnected_or_silent() {
    for stopped_ms in (5_000..6_000).step_by(10) {
        for (sends, interval_ms) in [(true, 250), (false, 250), (true, 560), (false, 560)] {
            let resumed_ms = resume_delay_ms(stopped_ms, sends, interval_ms);
            assert!(
                resumed_ms + READ_MS <= IN_FORCE_MS,
                "{stopped_ms} {sends}: {resumed_ms}"
            );
        }
    }
}

#[test]
fn rare_messages_of_the_leader_replace_reads_until_one_is_missing() {
    let options = Options::default();
    let mut freshness = Freshness::default();
    let interval_ms = 975;
    for n in 0..10 {
        let now_ms = 10_000 + n * interval_ms;
        // The leader's read waits for new records for up to a second.
        freshness.record(now_ms, now_ms - 1_000, interval_ms);
        assert!(freshness.is_current(now_ms + interval_ms, &options), "{n}");
    }
    let last_ms = 10_000 + 9 * interval_ms;
    assert!(!freshness.is_current(last_ms + 2 * interval_ms, &options));
}

#[test]
fn age_of_the_leaders_read_stays_bounded_however_rare_its_messages_are() {
    let options = Options::default();
    for interval_ms in [250, 975, 1_855, 5_000] {
        let mut freshness = Freshness::default();
        freshness.record(10_000, 10_000, interval_ms);
        let too_old_ms = 10_001 + options.rare_read_age_max_ms;
        assert!(!freshness.is_current(too_old_ms, &options), "{interval_ms}");
    }
}
