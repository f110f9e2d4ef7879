//! Simulation of VMs, endpoints and a leader, with a check that naive leaders fail.

use std::ops::Range;

use quetzalpick_core::quarantine::{Investigation, Options};

use crate::leader::{Count, EachPart, Leader, Unanswered};
use crate::scenario::{Kind, Protocol, Scenario};
use crate::world::{Outcome, World};

/// Requests with a bad part that may reach endpoints later than 3 s after its fifth crash.
const LATE_MAX: usize = 3;

/// Returns the seeds of each setting: 20, or the number set in `QUETZALPICK_SEEDS`.
fn seeds() -> Range<u64> {
    let count = std::env::var("QUETZALPICK_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(20)
}

/// Requests a second with a bad part.
const RATES_PER_S: [f64; 4] = [1.0, 3.0, 8.0, 20.0];

fn new_investigation() -> Investigation {
    Investigation::new(Options::default())
}

fn play(scenario: Scenario) -> Outcome {
    World::new(scenario, new_investigation()).run()
}

/// Returns the scenarios of a kind with all rates and seeds.
fn scenarios(kind: Kind, vms: usize) -> impl Iterator<Item = Scenario> {
    let cases = RATES_PER_S
        .iter()
        .flat_map(|rate| seeds().map(move |seed| (*rate, seed)));
    cases.map(move |(bad_per_s, seed)| Scenario {
        kind,
        protocol: Protocol::Prompt,
        vms,
        bad_per_s,
        seed,
    })
}

/// Checks that bad parts are quarantined in time and sound ones never.
fn check(kind: Kind, vms: usize) {
    let mut crashes = 0;
    for scenario in scenarios(kind, vms) {
        let outcome = play(scenario);
        assert!(outcome.late <= LATE_MAX, "{scenario:?}: {outcome:?}");
        assert_eq!(outcome.wrong, [], "{scenario:?}");
        crashes += outcome.crashes;
    }
    // Guards against runs without bad requests.
    assert!(crashes > 200, "only {crashes} crashes");
}

/// Checks that endpoints that crash for other reasons quarantine nothing.
fn check_ordinary(vms: usize) {
    for scenario in scenarios(Kind::Ordinary, vms).take(seeds().count()) {
        let outcome = play(scenario);
        assert_eq!(outcome.wrong, [], "{scenario:?}");
        assert_eq!(outcome.right, [], "{scenario:?}");
    }
}

macro_rules! sizes {
    ($($module:ident: $vms:literal;)*) => {$(
        mod $module {
            use super::{Kind, check, check_ordinary};

            #[test]
            fn a_part_of_its_own_is_quarantined_in_time() {
                check(Kind::Extra, $vms);
            }

            #[test]
            fn a_first_part_that_was_sound_before_is_quarantined_in_time() {
                check(Kind::Turned, $vms);
            }

            #[test]
            fn two_parts_at_once_are_quarantined_in_time() {
                check(Kind::Two, $vms);
            }

            #[test]
            fn a_part_is_quarantined_in_time_beside_crashes_for_other_reasons() {
                check(Kind::Mixed, $vms);
            }

            #[test]
            fn a_repeated_request_is_quarantined_in_time() {
                check(Kind::Repeated, $vms);
            }

            #[test]
            fn a_part_and_a_repeated_request_are_quarantined_in_time() {
                check(Kind::PartAndRequest, $vms);
            }

            #[test]
            fn crashes_for_other_reasons_quarantine_nothing() {
                check_ordinary($vms);
            }
        }
    )*};
}

sizes! {
    vms_6: 6;
    vms_8: 8;
    vms_79: 79;
    vms_370: 370;
}

/// Returns whether a naive leader quarantines a sound part, where the investigation does not.
fn fails(scenario: Scenario, leader: impl Leader) -> bool {
    assert_eq!(play(scenario).wrong, [], "{scenario:?}");
    !World::new(scenario, leader).run().wrong.is_empty()
}

fn scenario(kind: Kind, vms: usize, bad_per_s: f64) -> Scenario {
    Scenario {
        kind,
        protocol: Protocol::Prompt,
        vms,
        bad_per_s,
        seed: 1,
    }
}

#[test]
fn a_leader_that_quarantines_each_part_of_crashed_requests_fails() {
    for kind in [Kind::Extra, Kind::Turned, Kind::Ordinary] {
        let scenario = scenario(kind, 8, 8.0);
        assert!(fails(scenario, EachPart::default()), "{kind:?}");
    }
}

#[test]
fn a_leader_that_leaves_out_that_another_part_explains_crashes_fails() {
    for kind in [Kind::Extra, Kind::Two, Kind::Mixed] {
        let scenario = scenario(kind, 370, 20.0);
        assert!(fails(scenario, Count::default()), "{kind:?}");
    }
}

#[test]
fn a_leader_that_does_not_ask_for_answers_fails() {
    let leader = || Unanswered(new_investigation());
    for vms in [8, 370] {
        assert!(
            fails(scenario(Kind::Ordinary, vms, 0.0), leader()),
            "{vms} VMs"
        );
    }
}

#[test]
fn many_vms_that_report_only_at_intervals_clear_sound_parts_too_late() {
    let prompt = scenario(Kind::Extra, 370, 20.0);
    let periodic = Scenario {
        protocol: Protocol::Periodic,
        ..prompt
    };
    assert_eq!(play(prompt).wrong, []);
    assert_ne!(play(periodic).wrong, []);
}
