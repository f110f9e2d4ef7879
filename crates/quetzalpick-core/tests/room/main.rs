//! Tests of the room at endpoints that fall over: simulations of all VMs together, from 6 to 370.

mod world;

use quetzalpick_core::id::Vm;
use quetzalpick_core::room::{Draws, Report, Room, own_share};

use crate::world::{Policy, Site, World};

const INCARNATION: u64 = 7;

fn vm(name: &str) -> Vm {
    Vm::try_new(name).unwrap()
}

fn report(number: u64, settled: u64, in_flight: u32) -> Report {
    Report {
        incarnation: INCARNATION,
        number,
        settled,
        in_flight,
        declined: 0,
    }
}

#[test]
fn a_granted_request_counts_until_a_report_counts_it() {
    let (first, second) = (vm("vm-1"), vm("vm-2"));
    let mut room = Room::new(0, 2);
    room.apply(0, &first, &report(1, 0, 0));
    assert!(room.is_free(0, 2, 0));
    room.grant(&first, 1);
    // This report was sent before the permit arrived.
    room.apply(1, &first, &report(2, 0, 0));
    room.apply(1, &second, &report(1, 0, 1));
    assert_eq!((room.used(), room.is_free(1, 2, 0)), (2, false));
    room.apply(2, &first, &report(3, 2, 1));
    assert_eq!(room.used(), 2);
    room.apply(3, &first, &report(4, 3, 0));
    // An older report arrives late.
    room.apply(4, &first, &report(3, 2, 1));
    assert_eq!((room.used(), room.is_free(4, 2, 0)), (1, true));
}

#[test]
fn open_draws_are_not_settled() {
    let mut draws = Draws::default();
    assert_eq!(draws.begin(INCARNATION, 5, 0).settled, 4);
    draws.begin(INCARNATION, 6, 0);
    draws.end(6);
    assert_eq!(draws.report(INCARNATION, 7, 1).settled, 4);
    draws.end(5);
    draws.record_decline();
    let report = draws.report(INCARNATION, 8, 1);
    assert_eq!((report.settled, report.declined), (7, 1));
}

#[test]
fn a_restarted_vm_holds_nothing_and_a_silent_one_is_counted_for_a_while() {
    let mut room = Room::new(0, 2);
    room.apply(0, &vm("vm-1"), &report(9, 8, 2));
    assert!(!room.is_free(5_999, 1, 0));
    assert!(room.is_free(6_000, 1, 0));
    room.apply(6_000, &vm("vm-1"), &report(10, 9, 2));
    let restarted = Report {
        incarnation: INCARNATION + 1,
        ..report(1, 0, 0)
    };
    room.apply(6_001, &vm("vm-1"), &restarted);
    assert!(room.is_free(6_001, 1, 0));
}

#[test]
fn the_room_shrinks_when_requests_are_declined_and_grows_again() {
    let mut room = Room::new(0, 8);
    let declined = Report {
        declined: 2,
        ..report(1, 0, 8)
    };
    room.apply(0, &vm("vm-1"), &report(0, 0, 0));
    room.apply(0, &vm("vm-1"), &declined);
    let mut free_at = |in_flight, now_ms| {
        let report = Report {
            declined: 2,
            ..report(1 + now_ms, 0, in_flight)
        };
        room.apply(now_ms, &vm("vm-1"), &report);
        room.is_free(now_ms, 1, 0)
    };
    assert!(!free_at(0, 299));
    assert!(free_at(5, 300));
    assert!(!free_at(6, 301));
    assert!(free_at(6, 1_000));
    assert!(free_at(7, 3_000));
    assert!(!free_at(8, 60_000));
}

#[test]
fn slots_are_kept_for_vms_that_do_not_report() {
    let mut room = Room::new(0, 8);
    room.apply(0, &vm("vm-1"), &report(1, 0, 5));
    assert!(room.is_free(0, 4, 2));
    assert!(!room.is_free(0, 4, 3));
    assert_eq!((own_share(8, 4, 0), own_share(8, 400, 10)), (1, 0));
    assert_eq!(own_share(8, 400, 9), 1);
}

/// Plays a site, and prints what the endpoints and the callers saw.
fn play(policy: Policy, site: Site, seed: u64) -> World {
    let mut world = World::new(policy, site, seed);
    world.play();
    println!("{policy:?} {site:?} seed {seed}: {}", world.summary());
    world
}

/// Returns the seeds, as many as `QUETZALPICK_SEEDS` says.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let count = std::env::var("QUETZALPICK_SEEDS").ok();
    1..=count.and_then(|count| count.parse().ok()).unwrap_or(1)
}

fn sites() -> impl Iterator<Item = Site> {
    let site = |vms, endpoints, slots, run_ms| Site {
        vms,
        endpoints,
        slots,
        run_ms,
    };
    [
        site(6, 3, 6, 300),
        site(8, 9, 64, 4_000),
        site(8, 4, 6, 300),
        site(79, 30, 24, 4_000),
        site(195, 8, 6, 300),
        site(370, 8, 6, 300),
        site(370, 12, 48, 4_000),
    ]
    .into_iter()
}

#[test]
fn endpoints_that_may_fall_over_hardly_do_under_any_number_of_vms() {
    let mut used = Vec::new();
    for (site, seed) in sites().flat_map(|site| seeds().map(move |seed| (site, seed))) {
        let world = play(Policy::Permits, site, seed);
        let allowed = 2 + site.endpoints / 10;
        assert!(world.falls() <= allowed, "{} of {allowed}", world.falls());
        used.push(world.used());
    }
    assert!(used.iter().all(|used| *used >= 0.9), "{used:?}");
}

#[test]
fn vms_that_trust_their_last_report_of_the_others_make_endpoints_fall() {
    for site in sites() {
        let world = play(Policy::Reports, site, 1);
        assert!(world.falls() > 2 + site.endpoints / 10);
    }
}
