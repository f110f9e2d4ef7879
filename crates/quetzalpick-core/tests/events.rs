//! Events of streams that are kept take bytes beside bodies, and give way to them.

use quetzalpick_core::memory::{Budget, Holder, Kind};

const LIMIT_BYTES: u64 = 1 << 20;
const EVENT_BYTES: u64 = 128 * 1024;
const BODY_BYTES: u64 = 300 * 1024;

/// Time after which a transfer without progress counts as stalled, in ms.
const STALLED_MS: u64 = 1_000;

/// Opens events until there are no more bytes for them.
fn fill(budget: &mut Budget, now_ms: u64) -> Vec<Holder> {
    let open = |_| Some(budget.open_as(now_ms, Kind::Event, EVENT_BYTES)?.holder);
    (0..LIMIT_BYTES / EVENT_BYTES).map_while(open).collect()
}

#[test]
fn events_that_go_on_leave_half_of_the_limit_to_bodies() {
    let mut budget = Budget::new(LIMIT_BYTES);
    assert_eq!(fill(&mut budget, 0).len(), 4);
    assert!(budget.open(0, LIMIT_BYTES / 4).is_some());
    assert!(budget.open_as(0, Kind::Event, 1).is_none());
}

#[test]
fn no_body_gives_way_to_an_event() {
    let mut budget = Budget::new(LIMIT_BYTES);
    let body = budget.open(0, LIMIT_BYTES / 2).unwrap().holder;
    assert!(budget.open_as(STALLED_MS, Kind::Event, 1).is_none());
    assert!(budget.complete(body));
}

#[test]
fn a_stalled_event_gives_way_before_a_body_that_stalled_longer() {
    let mut budget = Budget::new(LIMIT_BYTES);
    let body = budget.open(0, BODY_BYTES).unwrap().holder;
    let event = budget.open_as(1, Kind::Event, EVENT_BYTES).unwrap().holder;
    let grant = budget.open(STALLED_MS + 1, BODY_BYTES + EVENT_BYTES);
    assert_eq!(grant.unwrap().evicted, [event]);
    assert!(budget.complete(body));
}

#[test]
fn a_stalled_event_gives_way_to_another_one_and_a_complete_one_does_not() {
    let mut budget = Budget::new(LIMIT_BYTES);
    let events = fill(&mut budget, 0);
    assert!(budget.complete(events[0]));
    let grant = budget.open_as(STALLED_MS, Kind::Event, EVENT_BYTES);
    assert_eq!(grant.unwrap().evicted, [events[1]]);
}
