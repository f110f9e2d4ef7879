//! Tests of several replicas: recorded log, lost answers, concurrent changes, partitions, outages, pauses and starts.
//!
//! They guard against entries that take effect twice, processes that act on a stale state or lose their lease without
//! need, and members that are suspected too early or too often.

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
async fn log_of_starts_changes_and_a_crash_is_as_recorded() {
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
    insta::assert_snapshot!(fleet.log_text());
}

#[tokio::test(start_paused = true)]
async fn entry_appended_twice_is_applied_once() {
    let fleet = Fleet::start(1).await;
    let process = &fleet.processes[0];
    // The first append is delayed, its retry is answered, and then the first one arrives.
    process.log.hold_appends(1);
    assert_matches!(process.set("lagos", None).await, Answer::Accepted { .. });
    process.log.release_appends();
    // If the answer is lost after the append took effect, the entry is read back.
    process.log.drop_answers(1);
    assert_matches!(process.set("abuja", None).await, Answer::Accepted { .. });
    sleep(1_000).await;
    assert_eq!(process.revision(), 2);
    // A fold without deduplication by command counts 3 changes, because the log contains one entry twice.
    let (_, records) = fleet.log.records(Stream::Control);
    let mut without_deduplication = State::default();
    for (number, bytes) in (0..).zip(&records) {
        let mut entry = Entry::from_bytes(bytes).unwrap();
        entry.command = command(number);
        without_deduplication.apply(Offset(number), &entry);
    }
    assert_eq!(without_deduplication.revision(), Revision(3));
}

#[tokio::test(start_paused = true)]
async fn only_one_of_concurrent_conditional_changes_is_accepted() {
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
    let accepted = answers
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
        (accepted, answers.iter().filter(stale).count()),
        (1, 2),
        "{answers:?}"
    );
    // Without an expected revision all of them are accepted, and two changes are overwritten.
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
async fn repeated_command_gets_the_first_answer() {
    let fleet = Fleet::start(2).await;
    let submit = |index: usize| {
        let author = Author::Operator("ada".to_owned());
        let replica = &fleet.processes[index].replica;
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
async fn process_without_the_log_catches_up_from_peers() {
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
    // Its own writes fail at once and do not take effect later.
    let start = tokio::time::Instant::now();
    assert_matches!(
        fleet.processes[2].set("abuja", None).await,
        Answer::NotSent { .. }
    );
    assert_eq!(start.elapsed(), Duration::ZERO);
    fleet.processes[2].log.set_disconnected(false);
    sleep(10_000).await;
    assert_eq!(fleet.processes[0].revision(), 1);
}

#[tokio::test(start_paused = true)]
async fn only_a_majority_keeps_its_leases_during_a_log_outage() {
    let fleet = Fleet::start(5).await;
    fleet.log.set_outage(true);
    for _ in 0..600 {
        sleep(100).await;
        assert_eq!(fleet.leased(), [true; 5]);
    }
    fleet.set_partition(&[3, 4], &[0, 1, 2], true);
    sleep(LEASE_MS).await;
    assert_eq!(fleet.leased(), [true, true, true, false, false]);
    assert!(fleet.processes[3].replica.check_lease().await.is_err());
    fleet.set_partition(&[3, 4], &[0, 1, 2], false);
    sleep(1_000).await;
    assert!(fleet.processes[3].replica.check_lease().await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn paused_process_resumes_without_a_lease_and_rejoins() {
    let fleet = Fleet::start(3).await;
    let paused = &fleet.processes[2];
    let before = paused.replica.member();
    paused.set_paused(true);
    sleep(30_000).await;
    // Its state did not change, so only the clock ends its lease.
    assert!(!paused.replica.is_leased());
    let retired = fleet.processes[0]
        .replica
        .read(|s| !s.roster().is_active(&before));
    assert!(retired, "{}", fleet.log_text());
    paused.set_paused(false);
    sleep(5_000).await;
    assert_eq!(fleet.leased(), [true; 3]);
    assert!(!paused.replica.is_leased_as(&before));
    assert_ne!(paused.replica.member(), before);
    // The new member is not suspected although no message from it had arrived yet.
    assert_eq!(
        fleet.log_text().matches("Suspect(").count(),
        1,
        "{}",
        fleet.log_text()
    );
}

#[tokio::test(start_paused = true)]
async fn writes_after_a_pause_wait_for_a_read_of_the_log() {
    let fleet = Fleet::start(1).await;
    let process = &fleet.processes[0];
    process.set_paused(true);
    sleep(2_500).await;
    process.set_paused(false);
    assert_matches!(process.set("w-1", None).await, Answer::Accepted { .. });
    // Control: without the log nothing is sent.
    fleet.log.set_outage(true);
    sleep(2_500).await;
    assert_matches!(process.set("w-2", None).await, Answer::NotSent { .. });
}

#[tokio::test(start_paused = true)]
async fn writes_during_a_pause_are_sent_after_it() {
    let fleet = Fleet::start(1).await;
    let process = &fleet.processes[0];
    process.set_paused(true);
    let resume = async {
        sleep(1_500).await;
        process.set_paused(false);
    };
    let (answer, ()) = tokio::join!(process.set("w-1", None), resume);
    assert_matches!(answer, Answer::Accepted { .. });
}

#[tokio::test(start_paused = true)]
async fn process_starts_from_a_peer_during_a_log_outage() {
    let mut fleet = Fleet::start(3).await;
    assert_matches!(
        fleet.processes[0].set("lagos", None).await,
        Answer::Accepted { .. }
    );
    sleep(1_000).await;
    fleet.log.set_outage(true);
    let without_seeds = fleet
        .spawn_with(4, 0, |options| options.seeds.clear())
        .await;
    let late = fleet.spawn(3, 0).await;
    sleep(2_000).await;
    assert_eq!(fleet.processes[late].revision(), 1);
    // One has no state to act on; the other one has a state, but may not act before it has joined.
    assert!(!fleet.processes[without_seeds].replica.is_loaded());
    assert_eq!(fleet.leased(), [true, true, true, false, false]);
    fleet.log.set_outage(false);
    sleep(5_000).await;
    assert_eq!(fleet.leased(), [true; 5]);
}

#[tokio::test(start_paused = true)]
async fn snapshot_is_loaded_after_an_outage_longer_than_the_retention() {
    let short = |options: &mut Options| options.log_retention = Duration::from_secs(20);
    let mut fleet = Fleet::start_with(3, short).await;
    fleet.log.set_retention(Stream::Control, 20);
    fleet.processes[2].log.set_disconnected(true);
    fleet.set_partition(&[2], &[0, 1], true);
    for number in 0..60 {
        let answer = fleet.processes[0].set(&format!("w{number}"), None).await;
        assert_matches!(answer, Answer::Accepted { .. });
        sleep(1_000).await;
    }
    assert_eq!(fleet.processes[2].revision(), 0);
    // Only the log is reachable again, so the snapshot is the only source of a state.
    fleet.processes[2].log.set_disconnected(false);
    let late = fleet
        .spawn_with(3, 0, |options| options.seeds.clear())
        .await;
    sleep(2_000).await;
    let revisions = [2, late].map(|index| fleet.processes[index].revision());
    assert_eq!(revisions, [60; 2]);
    fleet.set_partition(&[2], &[0, 1], false);
    sleep(10_000).await;
    assert_eq!(fleet.leased(), [true; 4]);
    assert!(fleet.processes.iter().all(|p| p.replica.divergences() == 0));
    // Usually only one process publishes: a quarter of the retention is 5 s, so 15 snapshots are needed in 75 s.
    let (oldest, kept) = fleet.log.records(Stream::Snapshots);
    let published = oldest.0 + kept.len() as u64;
    assert!((1..=30).contains(&published), "{published} snapshots");
}

#[tokio::test(start_paused = true)]
async fn applications_of_peers_call_each_other() {
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
async fn one_way_cuts_and_short_pauses_retire_no_member() {
    let fleet = Fleet::start(5).await;
    let [a, b] = [0, 1].map(|index| fleet.processes[index].address.clone());
    let before = fleet.log_text().lines().count();
    let mut unleased_ms = [0; 5];
    // Messages from one process do not reach another one, and a third is repeatedly paused for less than a lease.
    fleet.network.set_cut(&a, &b, true);
    for step in 0..6_000 {
        fleet.processes[2].set_paused(step % 1_000 < 400);
        sleep(10).await;
        for (sum, leased) in unleased_ms.iter_mut().zip(fleet.leased()) {
            *sum += if leased { 0 } else { 10 };
        }
    }
    let log_text = fleet.log_text();
    let count = |record: &str| {
        log_text
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
async fn missing_vm_or_restart_shortens_the_suspicion_time() {
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
            if fleet.log_text().contains("Suspect(") {
                return tenths;
            }
            sleep(100).await;
        }
        panic!("not suspected: {}", fleet.log_text());
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
async fn keepers_expire_old_commands() {
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
    let log_text = fleet.log_text();
    let mut expiries = log_text.lines().filter(|line| line.contains("Expire("));
    assert!(
        expiries.all(|line| line.contains("keeper#") && line.contains("Accepted")),
        "{log_text}"
    );
}

#[tokio::test(start_paused = true)]
async fn malformed_bodies_are_refused_and_a_differing_digest_is_counted() {
    let fleet = Fleet::start(2).await;
    let transport = fleet.transport("127.0.0.1:9999");
    let to = &fleet.processes[0].address;
    for path in ["/peer/exchange", "/peer/entries", "/app/echo", "/other", ""] {
        let answer = transport.call(to, path, "nonsense".into()).await;
        assert!(answer.is_err(), "{path}");
    }
    let state = transport
        .call(to, "/peer/state", Bytes::new())
        .await
        .unwrap();
    let state = Snapshot::from_bytes(&state).unwrap().open().unwrap();
    // The other process seems to have reached a different state with the same entries.
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
    transport
        .call(to, "/peer/exchange", body.into())
        .await
        .unwrap();
    assert_eq!(fleet.processes[0].replica.divergences(), 1);
}

#[tokio::test(start_paused = true)]
async fn few_voters_keep_leases_with_sampled_exchanges_in_an_outage() {
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
    // A voter crashes and is replaced by another member of its domain; no other member is suspected.
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
        fleet.log_text().matches("Suspect(").count(),
        1,
        "{}",
        fleet.log_text()
    );
    fleet.log.set_outage(true);
    for _ in 0..300 {
        sleep(100).await;
        assert_eq!(fleet.leased(), [true; 8]);
    }
}

#[tokio::test(start_paused = true)]
async fn new_member_is_not_suspected_before_the_suspicion_time() {
    let mut fleet = Fleet::start(3).await;
    sleep(20_000).await;
    let late = fleet.spawn(3, 0).await;
    fleet.set_partition(&[late], &[0, 1, 2], true);
    let joined = fleet.processes[late].replica.member();
    sleep(2_500).await;
    assert!(
        fleet.processes[0]
            .replica
            .read(|s| s.roster().is_active(&joined))
    );
    assert!(
        !fleet.log_text().contains("Suspect("),
        "{}",
        fleet.log_text()
    );
    sleep(2_000).await;
    assert!(fleet.log_text().contains("Suspect("));
}
