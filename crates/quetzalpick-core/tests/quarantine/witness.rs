//! What one VM remembers and reports.

use std::fmt::Debug;

use insta::assert_snapshot;
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::quarantine::{Feature, Options, Witness};

fn endpoint(number: usize) -> Endpoint {
    Endpoint::try_new(format!("e{number}")).expect("the name is valid")
}

fn features(numbers: impl IntoIterator<Item = u64>) -> impl Iterator<Item = Feature> {
    numbers.into_iter().map(Feature::Part)
}

/// Returns one line for each item.
fn lines<T: Debug>(items: &[T]) -> String {
    let lines: Vec<String> = items.iter().map(|item| format!("{item:?}")).collect();
    lines.join("\n")
}

fn witness() -> Witness {
    Witness::new(Options::default())
}

#[test]
fn a_part_is_written_in_hexadecimal() {
    assert_eq!(Feature::Part(0x1f).to_string(), "1f");
    assert_eq!(Feature::Part(u64::MAX).to_string().len(), 16);
    assert_eq!("1f".parse(), Ok(Feature::Part(0x1f)));
    assert_eq!("0000000000000001".parse(), Ok(Feature::Part(1)));
    for text in ["", "xyz", "-1", "10000000000000000"] {
        assert!(text.parse::<Feature>().is_err(), "{text}");
    }
}

#[test]
fn crashes_are_merged_by_the_start_of_the_endpoint() {
    let mut witness = witness();
    witness.record_crash(1_000, &endpoint(1), Some(7), features([3, 1]));
    witness.record_crash(1_005, &endpoint(1), Some(7), features([2, 1]));
    witness.record_crash(1_010, &endpoint(1), None, features([1]));
    witness.record_crash(6_000, &endpoint(1), Some(8), features([1]));
    witness.record_crash(6_000, &endpoint(2), Some(7), features([1]));
    let crashes = witness.crashes(6_100);
    assert_snapshot!(lines(&crashes));
}

#[test]
fn a_part_that_was_answered_after_a_crash_is_not_reported_with_it() {
    let mut witness = witness();
    witness.record_answer(999, features([1, 2]));
    witness.record_crash(1_000, &endpoint(1), None, features([1, 2, 3]));
    witness.record_crash(1_200, &endpoint(2), None, features([1, 2]));
    // An answer at the time of the crash may have been earlier.
    witness.record_answer(1_200, features([1]));
    let reported = |witness: &mut Witness| {
        let crashes = witness.crashes(1_300).into_iter();
        let features = crashes.map(|crash| crash.features);
        features.collect::<Vec<_>>()
    };
    let feature = Feature::Part;
    assert_eq!(
        reported(&mut witness),
        [vec![feature(2), feature(3)], vec![feature(1), feature(2)]]
    );
    witness.record_answer(1_201, features([1, 2]));
    // A crash without features is not reported.
    assert_eq!(reported(&mut witness), [vec![feature(3)]]);
}

#[test]
fn crashes_expire_and_are_bounded() {
    let mut witness = witness();
    witness.record_crash(0, &endpoint(0), None, features(0..300));
    assert_eq!(witness.crashes(60_000)[0].features.len(), 256);
    assert_eq!(witness.crashes(60_001), []);
    for number in 0..70 {
        let now_ms = 100_000 + number as u64;
        witness.record_crash(now_ms, &endpoint(number), None, features([1]));
    }
    let crashes = witness.crashes(100_100);
    assert_eq!(crashes.len(), 64);
    // The oldest ones made room.
    assert_eq!(crashes.iter().map(|crash| crash.ago_ms).max(), Some(94));
}

#[test]
fn answers_are_reported_with_their_age() {
    let mut witness = witness();
    witness.record_answer(100, features([1, 2]));
    witness.record_answer(250, features([2, 3]));
    let suspects: Vec<Feature> = features([1, 2, 9]).collect();
    assert_snapshot!(lines(&witness.answers_to(400, &suspects)));
}

#[test]
fn the_memory_of_answers_is_bounded_and_keeps_recent_ones() {
    let options = Options {
        answers_max: 100,
        ..Options::default()
    };
    let mut witness = Witness::new(options);
    for number in 0..1_000 {
        // A feature that is answered all the time is kept.
        witness.record_answer(number, features([5_000, number]));
        assert_eq!(witness.answered_ms(Feature::Part(5_000)), Some(number));
        assert_eq!(witness.answered_ms(Feature::Part(number)), Some(number));
    }
    let is_known = |number: &u64| witness.answered_ms(Feature::Part(*number)).is_some();
    let known: Vec<u64> = (0..1_000).filter(is_known).collect();
    assert!((100..200).contains(&known.len()), "{}", known.len());
    assert_eq!(
        known,
        (1_000 - known.len() as u64..1_000).collect::<Vec<_>>()
    );
}

#[test]
fn a_vm_without_a_leader_suspects_what_it_saw_crash() {
    let mut witness = witness();
    witness.record_answer(500, features([1]));
    witness.record_crash(1_000, &endpoint(1), None, features([1, 2]));
    assert!(witness.suspects_alone(Feature::Part(1), 1_001));
    assert!(witness.suspects_alone(Feature::Part(2), 61_000));
    assert!(!witness.suspects_alone(Feature::Part(2), 61_001));
    assert!(!witness.suspects_alone(Feature::Part(3), 1_001));
    witness.record_answer(1_500, features([1]));
    assert!(!witness.suspects_alone(Feature::Part(1), 1_501));
    assert!(witness.suspects_alone(Feature::Part(2), 1_501));
    // It suspects the feature again after another crash.
    witness.record_crash(2_000, &endpoint(2), None, features([1]));
    assert!(witness.suspects_alone(Feature::Part(1), 2_001));
}
