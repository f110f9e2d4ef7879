//! When a VM's link to the endpoints counts as lost.

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::link::{Link, Options};

fn endpoint(number: usize) -> Endpoint {
    Endpoint::try_new(format!("e{number}")).expect("the name is valid")
}

fn link() -> Link {
    Link::new(Options::default())
}

#[test]
fn two_endpoints_in_a_row_without_a_connection_lose_the_link() {
    let mut link = link();
    assert!(!link.record_failure(1_000, &endpoint(1), 9, 0));
    assert!(!link.record_failure(1_100, &endpoint(1), 9, 0));
    assert!(link.record_failure(1_200, &endpoint(2), 9, 0));
    assert!(!link.record_failure(1_300, &endpoint(3), 9, 0));
    assert!(link.is_lost());
}

#[test]
fn an_established_connection_between_two_failures_keeps_the_link() {
    let mut link = link();
    assert!(!link.record_failure(1_000, &endpoint(1), 9, 0));
    assert!(!link.record_failure(1_100, &endpoint(2), 9, 1));
    assert!(link.record_failure(1_200, &endpoint(3), 9, 1));
}

#[test]
fn failures_that_are_long_apart_keep_the_link() {
    let mut link = link();
    assert!(!link.record_failure(1_000, &endpoint(1), 9, 0));
    assert!(!link.record_failure(3_001, &endpoint(2), 9, 0));
}

#[test]
fn the_only_endpoint_loses_the_link() {
    assert!(link().record_failure(1_000, &endpoint(1), 1, 0));
}

#[test]
fn a_lost_link_is_probed_at_once_and_then_at_intervals_until_a_connection_is_established() {
    let mut link = link();
    link.record_failure(1_000, &endpoint(1), 1, 0);
    let probes = (1_000..2_200).filter(|now_ms| link.begin_probe(*now_ms, 0, 0));
    assert_eq!(probes.collect::<Vec<_>>(), [1_000, 1_500, 2_000]);
    assert_eq!(link.record_connection(2_100), Some(1_100));
    assert_eq!(link.record_connection(2_200), None);
    assert!(!link.is_lost() && !link.begin_probe(9_000, 9_000, 5));
}

#[test]
fn silence_of_all_endpoints_is_probed_if_several_have_requests() {
    let mut link = link();
    assert!(!link.begin_probe(10_299, 10_000, 2));
    assert!(!link.begin_probe(10_300, 10_000, 1));
    assert!(link.begin_probe(10_300, 10_000, 2));
    assert!(!link.begin_probe(10_700, 10_000, 2));
    assert!(!link.is_lost());
}

#[test]
fn endpoints_that_have_ended_do_not_lose_the_link_again_and_again() {
    let mut link = link();
    link.record_failure(1_000, &endpoint(1), 9, 0);
    assert!(link.record_failure(1_010, &endpoint(2), 9, 0));
    assert_eq!(link.record_connection(1_012), Some(2));
    assert!(!link.record_failure(1_100, &endpoint(1), 9, 1));
    assert!(!link.record_failure(1_110, &endpoint(2), 9, 1));
    assert!(!link.record_failure(1_120, &endpoint(3), 9, 1));
    // A link that is lost meanwhile is still found by other endpoints.
    assert!(link.record_failure(1_130, &endpoint(4), 9, 1));
}

#[test]
fn endpoints_that_failed_while_the_link_was_lost_count_again() {
    let mut link = link();
    link.record_failure(1_000, &endpoint(1), 9, 0);
    assert!(link.record_failure(1_010, &endpoint(2), 9, 0));
    assert_eq!(link.record_connection(2_500), Some(1_490));
    link.record_failure(2_600, &endpoint(1), 9, 1);
    assert!(link.record_failure(2_610, &endpoint(2), 9, 1));
}
