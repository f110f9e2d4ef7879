//! What one VM remembers and reports.

use std::fmt::Debug;

use insta::assert_snapshot;
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::quarantine::{Options, Part, Witness};

fn endpoint(number: usize) -> Endpoint {
    Endpoint::try_new(format!("e{number}")).expect("the name is valid")
}

fn parts(numbers: impl IntoIterator<Item = u64>) -> impl Iterator<Item = Part> {
    numbers.into_iter().map(Part)
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
    assert_eq!(Part(0x1f).to_string(), "1f");
    assert_eq!(Part(u64::MAX).to_string().len(), 16);
    assert_eq!("1f".parse(), Ok(Part(0x1f)));
    assert_eq!("0000000000000001".parse(), Ok(Part(1)));
    for text in ["", "xyz", "-1", "10000000000000000"] {
        assert!(text.parse::<Part>().is_err(), "{text}");
    }
}

#[test]
fn crashes_are_merged_by_the_start_of_the_endpoint() {
    let mut witness = witness();
    witness.record_crash(1_000, &endpoint(1), Some(7), parts([3, 1]));
    witness.record_crash(1_005, &endpoint(1), Some(7), parts([2, 1]));
    witness.record_crash(1_010, &endpoint(1), None, parts([1]));
    witness.record_crash(6_000, &endpoint(1), Some(8), parts([1]));
    witness.record_crash(6_000, &endpoint(2), Some(7), parts([1]));
    let crashes = witness.crashes(6_100);
    assert_snapshot!(lines(&crashes));
}

#[test]
fn a_part_that_was_answered_after_a_crash_is_not_reported_with_it() {
    let mut witness = witness();
    witness.record_answer(999, parts([1, 2]));
    witness.record_crash(1_000, &endpoint(1), None, parts([1, 2, 3]));
    witness.record_crash(1_200, &endpoint(2), None, parts([1, 2]));
    // An answer at the time of the crash may have been earlier.
    witness.record_answer(1_200, parts([1]));
    let reported = |witness: &mut Witness| {
        let crashes = witness.crashes(1_300).into_iter();
        let parts = crashes.map(|crash| crash.parts);
        parts.collect::<Vec<_>>()
    };
    let part = Part;
    assert_eq!(
        reported(&mut witness),
        [vec![part(2), part(3)], vec![part(1), part(2)]]
    );
    witness.record_answer(1_201, parts([1, 2]));
    // A crash without parts is not reported.
    assert_eq!(reported(&mut witness), [vec![part(3)]]);
}

#[test]
fn crashes_expire_and_are_bounded() {
    let mut witness = witness();
    witness.record_crash(0, &endpoint(0), None, parts(0..300));
    assert_eq!(witness.crashes(60_000)[0].parts.len(), 256);
    assert_eq!(witness.crashes(60_001), []);
    for number in 0..70 {
        let now_ms = 100_000 + number as u64;
        witness.record_crash(now_ms, &endpoint(number), None, parts([1]));
    }
    let crashes = witness.crashes(100_100);
    assert_eq!(crashes.len(), 64);
    // The oldest ones made room.
    assert_eq!(crashes.iter().map(|crash| crash.ago_ms).max(), Some(94));
}

#[test]
fn answers_are_reported_with_their_age() {
    let mut witness = witness();
    witness.record_answer(100, parts([1, 2]));
    witness.record_answer(250, parts([2, 3]));
    let suspects: Vec<Part> = parts([1, 2, 9]).collect();
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
        // A part that is answered all the time is kept.
        witness.record_answer(number, parts([5_000, number]));
        assert_eq!(witness.answered_ms(Part(5_000)), Some(number));
        assert_eq!(witness.answered_ms(Part(number)), Some(number));
    }
    let is_known = |number: &u64| witness.answered_ms(Part(*number)).is_some();
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
    witness.record_answer(500, parts([1]));
    witness.record_crash(1_000, &endpoint(1), None, parts([1, 2]));
    assert!(witness.suspects_alone(Part(1), 1_001));
    assert!(witness.suspects_alone(Part(2), 61_000));
    assert!(!witness.suspects_alone(Part(2), 61_001));
    assert!(!witness.suspects_alone(Part(3), 1_001));
    witness.record_answer(1_500, parts([1]));
    assert!(!witness.suspects_alone(Part(1), 1_501));
    assert!(witness.suspects_alone(Part(2), 1_501));
    // It suspects the part again after another crash.
    witness.record_crash(2_000, &endpoint(2), None, parts([1]));
    assert!(witness.suspects_alone(Part(1), 2_001));
}
