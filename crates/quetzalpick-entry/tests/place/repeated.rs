//! Tests of reports that are written once more where the next one is due.

use quetzalpick_core::id::Endpoint;
use quetzalpick_entry::place::{Planner, Report};

use crate::limited::start;
use crate::simulation::{Simulation, endpoint, model};

/// Steps after which a report no longer lags behind the copies, and no order is open.
const QUIET_STEPS: usize = 200;

/// Returns the models and adapters that an engine is known to hold; `None` if only its entry tells.
fn held(planner: &Planner, name: &Endpoint) -> Option<usize> {
    let engines = planner.held_copies();
    let copies = engines.into_iter().find(|(other, _)| other == name);
    copies.map(|(_, copies)| copies.len())
}

/// Returns a simulation that is at rest, an engine that holds a model, and its report.
fn start_at_rest() -> (Simulation, Endpoint, Report) {
    let mut simulation = start();
    (0..QUIET_STEPS).for_each(|_| simulation.step());
    let holder = (0..simulation.engines.len())
        .find(|n| simulation.engines[*n].copies.contains(&model(0)))
        .expect("an engine holds the first model");
    let report = simulation.engines[holder].report();
    (simulation, endpoint(holder), report)
}

#[test]
fn the_copy_of_a_report_from_before_the_end_of_a_load_takes_nothing_away() {
    let (mut simulation, name, report) = start_at_rest();
    let (now_ms, planner) = (simulation.now_ms, &mut simulation.planner);
    let before = held(planner, &name);
    let mut former = Report {
        busy: true,
        is_first: false,
        ..report
    };
    former.copies.retain(|copy| *copy != model(0));
    planner.apply_report(now_ms, now_ms, &name, &former);
    assert_eq!(held(planner, &name), before);
    // It is told apart by a report that cannot be a copy.
    assert!(planner.record_report_request(now_ms, &name));
    let newest = Report {
        is_first: true,
        ..former
    };
    planner.apply_report(now_ms, now_ms, &name, &newest);
    assert_eq!(held(planner, &name), before.map(|count| count - 1));
    assert!(!planner.record_report_request(now_ms, &name));
}

#[test]
fn the_copy_of_a_report_from_before_an_order_is_not_believed_after_it() {
    let (mut simulation, name, report) = start_at_rest();
    let (now_ms, planner) = (simulation.now_ms, &mut simulation.planner);
    let during_order = Report {
        accepted_orders: report.accepted_orders + 1,
        busy: true,
        ..report.clone()
    };
    planner.apply_report(now_ms, now_ms, &name, &during_order);
    assert_eq!(held(planner, &name), None);
    let copy = Report {
        is_first: false,
        ..report
    };
    planner.apply_report(now_ms, now_ms, &name, &copy);
    assert_eq!(held(planner, &name), None);
}
