//! Replicas together: golden session, lost answers, races, cuts, outages, freezes and starts.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use quetzalpick_client::traits::Stream;
use quetzalpick_client::wire::vms;
use quetzalpick_core::id::{Domain, Offset, Revision};
use quetzalpick_core::record::{Author, Entry, Role};
use quetzalpick_core::state::{Reason, Snapshot, State};
use quetzalpick_node::peer::{Blob, Exchange, Statement, Transport};
use quetzalpick_node::replica::{Answer, Options};
use support::{Fleet, command, sleep, workspace};

/// Default lease, in ms.
const LEASE_MS: u64 = 5_000;

#[tokio::test(start_paused = true)]
async fn a_session_of_starts_changes_and_a_crash() {
    let mut fleet = Fleet::start(3).await;
    assert_matches!(
        fleet.processes[0].set("lagos", None).await,
        Answer::Accepted { .. }
    );
    fleet.kill(2);
    sleep(12_000).await;
    fleet.spawn(2, 1).await;
    sleep(3_000).await;
    assert_matches!(
        fleet.processes[2].set("abuja", Some(1)).await,
        Answer::Accepted { .. }
    );
    assert_matches!(
        fleet.processes[2].replica.leave().await,
        Answer::Accepted { .. }
    );
    sleep(2_000).await;
    insta::assert_snapshot!(fleet.story());
}

#[tokio::test(start_paused = true)]
async fn an_append_that_takes_effect_twice_counts_once() {
    let fleet = Fleet::start(1).await;
    let process = &fleet.processes[0];
    // The first append is held back, the second one is answered, and then the first one arrives.
    process.log.hold_appends(1);
    assert_matches!(process.set("lagos", None).await, Answer::Accepted { .. });
    process.log.release();
    // An answer lost after the effect is read back.
    process.log.drop_answers(1);
    assert_matches!(process.set("abuja", None).await, Answer::Accepted { .. });
    sleep(1_000).await;
    assert_eq!(process.revision(), 2);
    // A fold that takes every entry for a new command counts three: the log holds one of them twice.
    let (_, records) = fleet.log.records(Stream::Control);
    let mut naive = State::default();
    for (number, bytes) in (0..).zip(&records) {
        let mut entry = Entry::from_bytes(bytes).unwrap();
        entry.command = command(number);
        naive.apply(Offset(number), &entry);
    }
    assert_eq!(naive.revision(), Revision(3));
}

#[tokio::test(start_paused = true)]
async fn of_racing_operators_one_wins() {
    let fleet = Fleet::start(3).await;
    let [a, b, c] = &fleet.processes[..] else {
        unreachable!()
    };
    let answers = tokio::join!(
        a.set("x", Some(0)),
        b.set("x", Some(0)),
        c.set("x", Some(0))
    );
    let answers = [answers.0, answers.1, answers.2];
    let won = answers
        .iter()
        .filter(|a| matches!(a, Answer::Accepted { .. }))
        .count();
    let stale = |a: &&Answer| {
        matches!(
            a,
            Answer::Rejected {
                reason: Reason::Revision { .. },
                ..
            }
        )
    };
    assert_eq!(
        (won, answers.iter().filter(stale).count()),
        (1, 2),
        "{answers:?}"
    );
    // Without an expected revision all of them win, and two changes are lost.
    let answers = tokio::join!(a.set("x", None), b.set("x", None), c.set("x", None));
    assert_matches!(
        answers,
        (
            Answer::Accepted { .. },
            Answer::Accepted { .. },
            Answer::Accepted { .. }
        )
    );
}

#[tokio::test(start_paused = true)]
async fn a_repeated_command_gets_the_first_answer() {
    let fleet = Fleet::start(2).await;
    let submit = |at: usize| {
        let author = Author::Operator("ada".to_owned());
        let replica = &fleet.processes[at].replica;
        replica.submit_as(author, command(7), workspace("x"), Some(Revision(0)))
    };
    let first = submit(0).await;
    assert_matches!(first, Answer::Accepted { .. });
    sleep(100).await;
    assert_eq!(submit(1).await, first);
    assert!(
        fleet.processes[1]
            .replica
            .command_outcome(command(7))
            .is_some()
    );
    assert!(
        fleet.processes[1]
            .replica
            .command_outcome(command(8))
            .is_none()
    );
}

#[tokio::test(start_paused = true)]
async fn a_process_cut_from_the_log_learns_from_peers() {
    let fleet = Fleet::start(3).await;
    fleet.processes[2].log.set_disconnected(true);
    sleep(2 * LEASE_MS).await;
    assert_matches!(
        fleet.processes[0].set("lagos", None).await,
        Answer::Accepted { .. }
    );
    sleep(2_000).await;
    assert_eq!(fleet.processes[2].revision(), 1);
    for _ in 0..100 {
        sleep(100).await;
        assert_eq!(fleet.leased(), [true; 3]);
    }
    // Its own writes are answered at once and truly.
    let began = tokio::time::Instant::now();
    assert_matches!(
        fleet.processes[2].set("abuja", None).await,
        Answer::NotSent { .. }
    );
    assert_eq!(began.elapsed(), Duration::ZERO);
    fleet.processes[2].log.set_disconnected(false);
    sleep(10_000).await;
    assert_eq!(fleet.processes[0].revision(), 1);
}

#[tokio::test(start_paused = true)]
async fn in_an_outage_a_majority_keeps_its_leases_and_a_minority_loses_them() {
    let fleet = Fleet::start(5).await;
    fleet.log.outage(true);
    for _ in 0..600 {
        sleep(100).await;
        assert_eq!(fleet.leased(), [true; 5]);
    }
    fleet.part(&[3, 4], &[0, 1, 2], true);
    sleep(LEASE_MS).await;
    assert_eq!(fleet.leased(), [true, true, true, false, false]);
    assert!(fleet.processes[3].replica.check_lease().await.is_err());
    fleet.part(&[3, 4], &[0, 1, 2], false);
    sleep(1_000).await;
    assert!(fleet.processes[3].replica.check_lease().await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_frozen_process_wakes_without_a_lease_and_joins_anew() {
    let fleet = Fleet::start(3).await;
    let frozen = &fleet.processes[2];
    let before = frozen.replica.member();
    frozen.freeze(true);
    sleep(30_000).await;
    // Its view is what it was, and the clock alone ends its lease.
    assert!(!frozen.replica.is_leased());
    let departed = fleet.processes[0]
        .replica
        .read(|s| !s.roster().is_active(&before));
    assert!(departed, "{}", fleet.story());
    frozen.freeze(false);
    sleep(5_000).await;
    assert_eq!(fleet.leased(), [true; 3]);
    assert!(!frozen.replica.is_leased_as(&before));
    assert_ne!(frozen.replica.member(), before);
    // Nobody takes the new member for silent because it was not heard yet.
    assert_eq!(
        fleet.story().matches("Suspect(").count(),
        1,
        "{}",
        fleet.story()
    );
}

#[tokio::test(start_paused = true)]
async fn a_process_starts_from_a_peer_in_an_outage() {
    let mut fleet = Fleet::start(3).await;
    assert_matches!(
        fleet.processes[0].set("lagos", None).await,
        Answer::Accepted { .. }
    );
    sleep(1_000).await;
    fleet.log.outage(true);
    let lonely = fleet
        .spawn_with(4, 0, |options| options.seeds.clear())
        .await;
    let late = fleet.spawn(3, 0).await;
    sleep(2_000).await;
    assert_eq!(fleet.processes[late].revision(), 1);
    // Without a state there is nothing to act on, and without having joined there is no right to.
    assert!(!fleet.processes[lonely].replica.is_loaded());
    assert_eq!(fleet.leased(), [true, true, true, false, false]);
    fleet.log.outage(false);
    sleep(5_000).await;
    assert_eq!(fleet.leased(), [true; 5]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_longer_than_the_retention_ends_with_a_snapshot() {
    let short = |options: &mut Options| options.log_retention = Duration::from_secs(20);
    let mut fleet = Fleet::start_with(3, short).await;
    fleet.log.retain(Stream::Control, 20);
    fleet.processes[2].log.set_disconnected(true);
    fleet.part(&[2], &[0, 1], true);
    for number in 0..60 {
        let answer = fleet.processes[0].set(&format!("w{number}"), None).await;
        assert_matches!(answer, Answer::Accepted { .. });
        sleep(1_000).await;
    }
    assert_eq!(fleet.processes[2].revision(), 0);
    // Only the log comes back, so that the snapshot is all there is.
    fleet.processes[2].log.set_disconnected(false);
    let late = fleet
        .spawn_with(3, 0, |options| options.seeds.clear())
        .await;
    sleep(2_000).await;
    let revisions = [2, late].map(|at| fleet.processes[at].revision());
    assert_eq!(revisions, [60; 2]);
    fleet.part(&[2], &[0, 1], false);
    sleep(10_000).await;
    assert_eq!(fleet.leased(), [true; 4]);
    assert!(fleet.processes.iter().all(|p| p.replica.divergences() == 0));
    // One of them usually publishes, not all: a quarter of the retention is 5 s, so that 15 are needed in 75 s.
    let (oldest, kept) = fleet.log.records(Stream::Snapshots);
    let published = oldest.0 + kept.len() as u64;
    assert!((1..=30).contains(&published), "{published} snapshots");
}

#[tokio::test(start_paused = true)]
async fn peers_applications_call_each_other() {
    let fleet = Fleet::start(2).await;
    let to = fleet.processes[1].replica.member();
    let from = &fleet.processes[0].replica;
    let answer = from.call(&to, "/echo", "hello".into()).await;
    assert_eq!(answer.unwrap(), "vm-0/keeper sent hello");
    assert!(from.call(&to, "/other", "hello".into()).await.is_err());
    fleet.processes[1].replica.set_payload("payload".into());
    sleep(1_000).await;
    let peers = from.peers();
    assert_eq!(peers.len(), 1);
    assert_eq!(peers[0].payload, "payload");
}

#[tokio::test(start_paused = true)]
async fn one_way_cuts_and_short_pauses_retire_nobody() {
    let fleet = Fleet::start(5).await;
    let [a, b] = [0, 1].map(|at| fleet.processes[at].address.clone());
    let before = fleet.story().lines().count();
    let mut unleased_ms = [0; 5];
    // What one process sends does not reach another one, and a third is paused for less than a lease now and then.
    fleet.network.cut(&a, &b, true);
    for step in 0..6_000 {
        fleet.processes[2].freeze(step % 1_000 < 400);
        sleep(10).await;
        for (sum, leased) in unleased_ms.iter_mut().zip(fleet.leased()) {
            *sum += if leased { 0 } else { 10 };
        }
    }
    let story = fleet.story();
    let count = |record: &str| {
        story
            .lines()
            .skip(before)
            .filter(|l| l.contains(record))
            .count()
    };
    let counts = ["Suspect", "Refute", "Retire"].map(|record| (record, count(record)));
    insta::assert_snapshot!(format!(
        "{counts:?}\nunleased in 60 s, in ms: {unleased_ms:?}"
    ));
}

#[tokio::test(start_paused = true)]
async fn the_vm_list_and_a_restart_hasten_suspicion() {
    let suspected_after = async |listed: &[&str], restart: bool| {
        let mut fleet = Fleet::start(3).await;
        let vm = |name: &&str| vms::Vm {
            name: (*name).to_owned(),
            domain: "a".to_owned(),
            address: "127.0.0.1".to_owned(),
            status: vms::Status::Live,
        };
        let list = vms::List {
            vms: listed.iter().map(vm).collect(),
        };
        fleet
            .processes
            .iter()
            .for_each(|p| p.replica.update_vm_list(&list));
        if restart {
            fleet.restart(2, 1, false).await;
        } else {
            fleet.kill(2);
        }
        for tenths in 0..100 {
            if fleet.story().contains("Suspect(") {
                return tenths;
            }
            sleep(100).await;
        }
        panic!("not suspected: {}", fleet.story());
    };
    let all = ["vm-0", "vm-1", "vm-2"];
    let plain = suspected_after(&all, false).await;
    let unlisted = suspected_after(&all[..2], false).await;
    let restarted = suspected_after(&all, true).await;
    let unknown = suspected_after(&[], false).await;
    assert!(
        unlisted < plain && restarted < unlisted,
        "{plain} {unlisted} {restarted}"
    );
    assert_eq!(unknown, plain);
}

#[tokio::test(start_paused = true)]
async fn keepers_let_old_commands_be_forgotten() {
    let short = |options: &mut Options| options.claim_retention = Duration::from_secs(60);
    let fleet = Fleet::start_with(2, short).await;
    let replica = &fleet.processes[1].replica;
    let author = Author::Operator("ada".to_owned());
    replica
        .submit_as(author, command(7), workspace("x"), None)
        .await;
    sleep(55_000).await;
    assert!(replica.command_outcome(command(7)).is_some());
    sleep(20_000).await;
    assert_eq!(replica.command_outcome(command(7)), None);
    let story = fleet.story();
    let mut expiries = story.lines().filter(|line| line.contains("Expire("));
    assert!(
        expiries.all(|line| line.contains("keeper#") && line.contains("Accepted")),
        "{story}"
    );
}

#[tokio::test(start_paused = true)]
async fn bad_bodies_are_refused_and_a_differing_digest_is_counted() {
    let fleet = Fleet::start(2).await;
    let wire = fleet.wire("127.0.0.1:9999");
    let to = &fleet.processes[0].address;
    for path in ["/peer/exchange", "/peer/entries", "/app/echo", "/other", ""] {
        let answer = wire.call(to, path, "nonsense".into()).await;
        assert!(answer.is_err(), "{path}");
    }
    let state = wire.call(to, "/peer/state", Bytes::new()).await.unwrap();
    let state = Snapshot::from_bytes(&state).unwrap().open().unwrap();
    // The other process now seems to have applied the same entries to another effect.
    let exchange = Exchange {
        statement: Statement {
            member: fleet.processes[1].replica.member(),
            applied: state.next(),
            digest: state.digest() ^ 1,
        },
        role: Role::Gate,
        domain: Domain::try_new("d1").unwrap(),
        address: fleet.processes[1].address.clone(),
        active: true,
        payload: Blob::default(),
    };
    let body = rmp_serde::to_vec(&exchange).unwrap();
    assert_eq!(fleet.processes[0].replica.divergences(), 0);
    wire.call(to, "/peer/exchange", body.into()).await.unwrap();
    assert_eq!(fleet.processes[0].replica.divergences(), 1);
}

#[tokio::test(start_paused = true)]
async fn few_voters_in_all_domains_carry_a_sampled_fleet_through_an_outage() {
    let sampled = |options: &mut Options| {
        options.voters = 3;
        options.exchange_sample = Some(2);
    };
    let mut fleet = Fleet::start_with(9, sampled).await;
    let voters = |fleet: &Fleet| {
        let domains = |state: &State| {
            let members = state.roster().members();
            let domain = |voter| members.get(voter).map(|row| row.domain.to_string());
            let mut domains: Vec<_> = state.roster().voters().iter().map(domain).collect();
            domains.sort();
            domains
        };
        fleet.processes.last().unwrap().replica.read(domains)
    };
    let all = ["d0", "d1", "d2"].map(|domain| Some(domain.to_owned()));
    assert_eq!(voters(&fleet), all);
    // A voter dies and another one of its domain takes its seat; nobody else is suspected.
    let first = fleet.processes[0].replica.member();
    assert!(
        fleet.processes[0]
            .replica
            .read(|s| s.roster().is_voter(&first))
    );
    fleet.kill(0);
    sleep(40_000).await;
    assert_eq!(voters(&fleet), all);
    assert_eq!(
        fleet.story().matches("Suspect(").count(),
        1,
        "{}",
        fleet.story()
    );
    fleet.log.outage(true);
    for _ in 0..300 {
        sleep(100).await;
        assert_eq!(fleet.leased(), [true; 8]);
    }
}

#[tokio::test(start_paused = true)]
async fn a_member_that_has_just_joined_is_given_time_to_be_heard() {
    let mut fleet = Fleet::start(3).await;
    sleep(20_000).await;
    let late = fleet.spawn(3, 0).await;
    fleet.part(&[late], &[0, 1, 2], true);
    let joined = fleet.processes[late].replica.member();
    sleep(2_500).await;
    assert!(
        fleet.processes[0]
            .replica
            .read(|s| s.roster().is_active(&joined))
    );
    assert!(!fleet.story().contains("Suspect("), "{}", fleet.story());
    sleep(2_000).await;
    assert!(fleet.story().contains("Suspect("));
}
