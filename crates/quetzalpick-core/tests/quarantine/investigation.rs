//! The rules by which the leader finds the part that explains the crashes.

use insta::assert_snapshot;
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::quarantine::{Answered, Crash, Decision, Feature, Investigation, Options};

/// Time after the first crash at which all VMs have been asked, in ms.
const HEARD_MS: u64 = 5_000;

fn crash(endpoint: usize, ago_ms: u64, features: &[u64]) -> Crash {
    Crash {
        endpoint: Endpoint::try_new(format!("e{endpoint}")).expect("the name is valid"),
        started_ms: Some(0),
        ago_ms,
        features: features.iter().copied().map(Feature::Part).collect(),
    }
}

fn answered(feature: u64, ago_ms: u64) -> Answered {
    Answered {
        feature: Feature::Part(feature),
        ago_ms,
    }
}

/// Returns an investigation with one crash a list of parts, 100 ms apart from 1,000 ms on.
fn investigation(crashes: &[&[u64]]) -> Investigation {
    let mut investigation = Investigation::new(Options::default());
    for (number, features) in crashes.iter().enumerate() {
        let now_ms = 1_000 + 100 * number as u64;
        investigation.record_crash(now_ms, &crash(number, 0, features));
    }
    investigation
}

fn decided(investigation: &mut Investigation, now_ms: u64) -> Vec<(u64, usize)> {
    let decisions = investigation.decide(now_ms).into_iter();
    let pairs = decisions.map(|Decision { feature, crashes }| {
        let (_, id) = feature.into();
        (id, crashes)
    });
    pairs.collect()
}

#[test]
fn a_part_that_was_never_answered_is_quarantined_after_three_crashes() {
    let mut two = investigation(&[&[9, 1], &[9, 2]]);
    assert_eq!(decided(&mut two, HEARD_MS), []);
    let mut three = investigation(&[&[9, 1], &[9, 2], &[9, 3]]);
    assert_eq!(decided(&mut three, HEARD_MS), [(9, 3)]);
    assert_eq!(three.quarantined(), [Feature::Part(9)]);
    assert_eq!(decided(&mut three, HEARD_MS), []);
}

#[test]
fn a_part_that_was_answered_before_is_quarantined_after_five_crashes() {
    let crashes: [&[u64]; 5] = [&[9, 1], &[9, 2], &[9, 3], &[9, 4], &[9, 5]];
    for (count, expected) in [(4, vec![]), (5, vec![(9, 5)])] {
        let mut investigation = investigation(&crashes[..count]);
        investigation.record_answer(2_000, &answered(9, 1_500));
        assert_eq!(decided(&mut investigation, HEARD_MS), expected);
    }
}

#[test]
fn crashes_before_an_answer_are_no_evidence() {
    let mut investigation = investigation(&[&[9, 1], &[9, 2], &[9, 3], &[9, 4], &[9, 5]]);
    // Answered at 1,150 ms, after the first two crashes.
    investigation.record_answer(1_500, &answered(9, 350));
    assert_eq!(decided(&mut investigation, HEARD_MS), []);
    for number in 5..7 {
        investigation.record_crash(5_000, &crash(number, 0, &[9]));
    }
    assert_eq!(decided(&mut investigation, 5_000), [(9, 5)]);
}

#[test]
fn suspects_are_the_unanswered_parts_of_unexplained_crashes() {
    let mut investigation = investigation(&[&[9, 1, 2], &[9, 1, 3], &[9, 1, 4]]);
    investigation.record_answer(1_300, &answered(1, 10));
    investigation.record_answer(1_300, &answered(2, 350));
    let before = investigation.suspects(1_300);
    investigation.decide(HEARD_MS);
    let after = investigation.suspects(HEARD_MS);
    investigation.record_crash(HEARD_MS, &crash(8, 0, &[1, 5]));
    investigation.record_crash(HEARD_MS, &crash(9, 0, &[9, 6]));
    let later = investigation.suspects(HEARD_MS);
    let lines = [before, after, later].map(|suspects| format!("{suspects:?}"));
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_part_is_not_quarantined_before_all_vms_could_report_answers() {
    let mut investigation = investigation(&[&[9, 1], &[9, 2], &[9, 3]]);
    assert_eq!(decided(&mut investigation, 1_599), []);
    assert_eq!(decided(&mut investigation, 1_600), [(9, 3)]);
}

#[test]
fn the_part_with_the_most_crashes_explains_those_of_the_others() {
    let explained: [&[u64]; 6] = [&[9, 1], &[9, 1], &[9, 1], &[9, 2], &[9], &[2, 3]];
    let mut one = investigation(&[&explained[..], &[&[2]]].concat());
    assert_eq!(decided(&mut one, HEARD_MS), [(9, 5)]);
    let mut two = investigation(&[&explained[..], &[&[2], &[2, 4]]].concat());
    assert_eq!(decided(&mut two, HEARD_MS), [(9, 5), (2, 3)]);
}

#[test]
fn a_part_that_was_answered_before_is_not_taken_for_the_cause_of_two_bad_parts() {
    let mut investigation = investigation(&[&[1, 8], &[1, 9], &[1, 8], &[1, 9], &[1, 8], &[1, 9]]);
    investigation.record_answer(2_000, &answered(1, 1_500));
    assert_eq!(decided(&mut investigation, HEARD_MS), [(8, 3), (9, 3)]);
}

#[test]
fn parts_that_always_come_together_are_quarantined_together_after_five_crashes() {
    let crashes: [&[u64]; 5] = [&[8, 9, 1], &[8, 9, 2], &[8, 9], &[8, 9], &[8, 9]];
    let mut four = investigation(&crashes[..4]);
    assert_eq!(decided(&mut four, HEARD_MS), []);
    let mut five = investigation(&crashes);
    assert_eq!(decided(&mut five, HEARD_MS), [(8, 5), (9, 5)]);
    // An answer meanwhile tells them apart.
    let mut told = investigation(&crashes);
    told.record_answer(2_000, &answered(8, 0));
    assert_eq!(decided(&mut told, HEARD_MS), [(9, 5)]);
}

#[test]
fn parts_with_as_many_but_other_crashes_are_quarantined_together_if_they_are_new() {
    let crashes: [&[u64]; 6] = [&[8, 9], &[8, 9], &[8, 9], &[8, 9], &[8], &[9]];
    let mut new = investigation(&crashes);
    assert_eq!(decided(&mut new, HEARD_MS), [(8, 5), (9, 5)]);
    // Of two features that were answered before, the next crash tells which one is the cause.
    let mut known = investigation(&crashes);
    known.record_answer(2_000, &answered(8, 1_500));
    known.record_answer(2_000, &answered(9, 1_500));
    assert_eq!(decided(&mut known, HEARD_MS), []);
    known.record_crash(HEARD_MS, &crash(7, 0, &[9]));
    assert_eq!(decided(&mut known, HEARD_MS), [(9, 6)]);
}

#[test]
fn reports_of_several_vms_on_one_crash_count_once() {
    let mut investigation = Investigation::new(Options::default());
    for vm in 0..5 {
        investigation.record_crash(1_000 + vm, &crash(1, vm, &[9, vm]));
        investigation.record_crash(1_000 + vm, &crash(2, vm, &[9]));
    }
    assert_eq!(decided(&mut investigation, HEARD_MS), []);
    investigation.record_crash(1_100, &crash(3, 0, &[9]));
    assert_eq!(decided(&mut investigation, HEARD_MS), [(9, 3)]);
}

#[test]
fn the_earliest_report_gives_the_time_of_a_crash() {
    let mut investigation = investigation(&[&[9], &[9], &[9]]);
    investigation.record_crash(2_000, &crash(2, 1_500, &[9]));
    // Answered at 600 ms: after the third crash, which was at 500 ms, and before the others.
    investigation.record_answer(2_000, &answered(9, 1_400));
    for number in 3..5 {
        investigation.record_crash(2_000, &crash(number, 0, &[9]));
    }
    assert_eq!(decided(&mut investigation, HEARD_MS), []);
    investigation.record_crash(2_000, &crash(5, 0, &[9]));
    assert_eq!(decided(&mut investigation, HEARD_MS), [(9, 5)]);
}

#[test]
fn a_part_that_a_former_leader_quarantined_explains_crashes() {
    let mut investigation = investigation(&[&[9, 1], &[9, 1], &[9, 1]]);
    investigation.quarantine(1_300, Feature::Part(9));
    assert_eq!(investigation.suspects(1_300), []);
    assert_eq!(decided(&mut investigation, HEARD_MS), []);
    assert_eq!(investigation.quarantined(), [Feature::Part(9)]);
}

#[test]
fn a_quarantined_part_is_released_by_an_answer_after_its_last_crash() {
    let mut investigation = investigation(&[&[9], &[9], &[9]]);
    assert_eq!(decided(&mut investigation, HEARD_MS), [(9, 3)]);
    investigation.record_crash(5_100, &crash(4, 0, &[9]));
    assert!(!investigation.record_answer(5_200, &answered(9, 100)));
    assert!(investigation.record_answer(5_200, &answered(9, 99)));
    assert_eq!(investigation.quarantined(), []);
    // The former crashes are no evidence any more.
    assert_eq!(decided(&mut investigation, 6_000), []);
    for number in 5..10 {
        investigation.record_crash(6_000, &crash(number, 0, &[9]));
    }
    assert_eq!(decided(&mut investigation, 6_600), [(9, 5)]);
}

#[test]
fn crashes_expire() {
    let mut investigation = investigation(&[&[9], &[9], &[9]]);
    assert_eq!(investigation.suspects(61_000), [Feature::Part(9)]);
    assert_eq!(decided(&mut investigation.clone(), 61_000), [(9, 3)]);
    assert_eq!(decided(&mut investigation, 61_001), []);
    investigation.record_crash(70_000, &crash(4, 60_000, &[9]));
    assert_eq!(investigation.suspects(70_000), []);
}

#[test]
fn quarantined_parts_and_suspects_are_bounded() {
    let mut investigation = Investigation::new(Options::default());
    for number in 0..300 {
        investigation.quarantine(number, Feature::Part(number));
    }
    let expected: Vec<Feature> = (44..300).map(Feature::Part).collect();
    assert_eq!(investigation.quarantined(), expected);
    for number in 0..1_100 {
        let features: Vec<u64> = (0..3)
            .map(|feature| 10_000 + 3 * number + feature)
            .collect();
        let endpoint = number as usize;
        investigation.record_crash(1_000 + number, &crash(endpoint, 0, &features));
    }
    assert_eq!(investigation.suspects(3_000).len(), 256);
}
