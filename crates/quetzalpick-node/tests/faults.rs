//! Random partitions, pauses, log outages and crashes, checked by an oracle that reads the log itself.
//!
//! The oracle checks repeatedly whether each process would act now, including paused ones: a paused process may resume
//! at the worst moment.

mod support;

use assert_matches::assert_matches;
use quetzalpick_client::traits::{Log as _, Stream};
use quetzalpick_core::id::{Command, Member, Offset};
use quetzalpick_core::record::{Author, Entry, Record, Retire};
use quetzalpick_core::state::{Outcome, State};
use quetzalpick_node::replica::Answer;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use support::{Fleet, sleep};

/// Processes in the fleet.
const COUNT: usize = 5;

/// Default lease plus its clock drift margin, in ms.
const LEASE_WAIT_MS: u64 = 5_050;

/// Time between two checks of the oracle, in ms.
const CHECK_INTERVAL_MS: u64 = 97;

/// `Policy` selects how a process decides that it may act or that another one may be retired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The policy under test.
    Lease,
    /// Naive: a process may act if it received a message from any peer within the lease.
    AnyPeer,
    /// Naive: a suspected member is retired at once, with made-up confirmations.
    RetireAtOnce,
}

/// `Oracle` folds the log independently and checks the processes against its state.
struct Oracle {
    policy: Policy,
    state: State,
    now: u64,
    /// Retired members.
    retired: Vec<Member>,
    /// Accepted changes that may be incomplete: offset, and since when a majority of the voters has applied it.
    changes: Vec<(Offset, Option<u64>)>,
    /// End of the complete changes: a process that acts must have applied them.
    complete: Offset,
    /// Member and applied offset of each process at the last check.
    applied: Vec<(Member, u64)>,
}

impl Oracle {
    fn new(policy: Policy, fleet: &Fleet) -> Self {
        let members = fleet.processes.iter().map(|p| p.replica.member());
        Self {
            policy,
            state: State::default(),
            now: 0,
            retired: Vec::new(),
            changes: Vec::new(),
            complete: Offset(0),
            applied: members.map(|member| (member, 0)).collect(),
        }
    }

    /// Folds the new entries of the log.
    fn follow(&mut self, fleet: &Fleet) {
        let (_, records) = fleet.log.records(Stream::Control);
        for bytes in &records[self.state.next().0 as usize..] {
            let offset = self.state.next();
            let entry = Entry::from_bytes(bytes).unwrap();
            let accepted = matches!(self.state.apply(offset, &entry), Outcome::Accepted(_));
            match entry.record {
                Record::Retire(retire) if accepted => self.retired.push(retire.member),
                Record::Change(_) if accepted => self.changes.push((offset, None)),
                _ => {}
            }
        }
    }

    /// Determines which changes are complete.
    fn update_complete(&mut self, fleet: &Fleet) {
        let applied = |voter: &Member| {
            let process = fleet
                .processes
                .iter()
                .find(|p| p.replica.member() == *voter);
            process.map_or(0, |p| p.next())
        };
        let voters = self.state.roster().voters();
        for (offset, since) in &mut self.changes {
            let applied_count = voters.iter().filter(|v| applied(v) > offset.0).count();
            if since.is_none() && applied_count * 2 > voters.len() {
                *since = Some(self.now);
            }
            if since.is_some_and(|since| self.now - since > LEASE_WAIT_MS) {
                self.complete = self.complete.max(Offset(offset.0 + 1));
            }
        }
        let complete = self.complete;
        self.changes.retain(|(offset, _)| *offset >= complete);
    }

    /// Checks all processes and returns the first violation.
    fn check(&mut self, fleet: &Fleet) -> Result<(), String> {
        self.now += CHECK_INTERVAL_MS;
        self.follow(fleet);
        self.update_complete(fleet);
        for (index, process) in fleet.processes.iter().enumerate() {
            let member = process.replica.member();
            let next = process.next();
            let (last_member, applied) = &mut self.applied[index];
            if *last_member == member && next < *applied {
                return Err(format!("{member} went back to offset {next}"));
            }
            (*last_member, *applied) = (member.clone(), next);
            let acts = match self.policy {
                Policy::AnyPeer => process
                    .replica
                    .peers()
                    .iter()
                    .any(|p| p.last_contact_ms_ago < 5_000),
                _ => process.replica.is_leased(),
            };
            if acts && self.retired.contains(&member) {
                return Err(format!("{member} acts although it is retired"));
            }
            if acts && next < self.complete.0 {
                return Err(format!(
                    "{member} acts at offset {next}, but the changes before {} are complete",
                    self.complete
                ));
            }
            if process.replica.divergences() > 0 {
                return Err(format!("{member} found a differing digest"));
            }
        }
        Ok(())
    }

    /// Appends the retirement of every suspected member at once, as a naive process would.
    async fn retire_at_once(&self, fleet: &Fleet) {
        let roster = self.state.roster();
        let voters = roster.voters().to_vec();
        for (member, row) in roster.members().iter() {
            let Some(suspected) = row.suspected else {
                continue;
            };
            let writer = voters.iter().find(|v| *v != member).unwrap();
            let retire = Retire {
                member: member.clone(),
                suspected,
                voters_changed: roster.voters_changed(),
                confirmed_by: voters.clone(),
            };
            let entry = Entry {
                command: Command(7, self.now),
                author: Author::Member(writer.clone()),
                expect: None,
                record: Record::Retire(retire),
            };
            let bytes = entry.to_bytes().unwrap().into();
            let _ = fleet.log.append(Stream::Control, vec![bytes]).await;
        }
    }
}

/// Returns a random number below a bound.
fn random_below(rng: &mut Pcg32, bound: usize) -> usize {
    rng.next_u32() as usize % bound
}

/// Switches a random fault on or off, or ends all faults.
async fn inject_fault(fleet: &mut Fleet, rng: &mut Pcg32, step: u64) {
    let (a, b) = (random_below(rng, COUNT), random_below(rng, COUNT));
    let on = random_below(rng, 2) == 0;
    let (from, to) = (&fleet.processes[a].address, &fleet.processes[b].address);
    match random_below(rng, 10) {
        0 | 1 => fleet.processes[a].log.set_disconnected(on),
        2 => fleet.processes[a].set_paused(on),
        3 => fleet.network.set_cut(from, to, on),
        4 => {
            let others: Vec<usize> = (0..COUNT).filter(|n| *n != a && *n != b).collect();
            fleet.set_partition(&[a, b], &others, on);
        }
        5 => fleet.log.set_outage(on),
        6 => {
            fleet.processes[a].log.drop_answers(2);
            fleet.processes[b].log.hold_appends(1);
            fleet.log.release_appends();
        }
        7 if random_below(rng, 2) == 0 => fleet.restart(a, step + 1, on).await,
        _ => clear_faults(fleet),
    }
}

/// Ends all faults.
fn clear_faults(fleet: &Fleet) {
    fleet.log.set_outage(false);
    fleet.log.release_appends();
    for process in &fleet.processes {
        process.log.set_disconnected(false);
        process.log.drop_answers(0);
        process.log.hold_appends(0);
        process.set_paused(false);
    }
    let all: Vec<usize> = (0..COUNT).collect();
    fleet.set_partition(&all, &all, false);
}

/// Runs one seed and returns the first violation.
async fn run_seed(seed: u64, policy: Policy) -> Result<(), String> {
    let mut fleet = Fleet::start(COUNT as u64).await;
    let mut oracle = Oracle::new(policy, &fleet);
    let mut rng = Pcg32::seed_from_u64(seed);
    for step in 0..40 {
        inject_fault(&mut fleet, &mut rng, step).await;
        // Operators write continuously, through a process that may be disconnected or paused.
        let writer = fleet.processes[random_below(&mut rng, COUNT)]
            .replica
            .clone();
        let command = writer.draw_command();
        let author = Author::Operator("ada".to_owned());
        let record = support::workspace(&format!("w{step}"));
        let write = async move { writer.submit_as(author, command, record, None).await };
        let write = tokio::spawn(write);
        for _ in 0..10 + random_below(&mut rng, 40) {
            sleep(CHECK_INTERVAL_MS).await;
            oracle
                .check(&fleet)
                .map_err(|violation| format!("step {step}: {violation}"))?;
            if policy == Policy::RetireAtOnce {
                oracle.retire_at_once(&fleet).await;
            }
        }
        drop(write);
    }
    if policy != Policy::Lease {
        return Ok(());
    }
    // After the faults have ended, all processes reach the same state again.
    clear_faults(&fleet);
    sleep(30_000).await;
    assert_eq!(fleet.leased(), [true; COUNT], "{}", fleet.log_text());
    assert_matches!(
        fleet.processes[0].set("last", None).await,
        Answer::Accepted { .. }
    );
    sleep(2_000).await;
    oracle.check(&fleet)?;
    let applied: Vec<u64> = fleet.processes.iter().map(|p| p.next()).collect();
    assert_eq!(applied, [oracle.state.next().0; COUNT]);
    Ok(())
}

/// Returns the seeds to run: 20, or as many as `QUETZALPICK_SEEDS` sets.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("QUETZALPICK_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(20)
}

#[tokio::test(start_paused = true)]
async fn no_process_acts_when_retired_or_behind() {
    for seed in seeds() {
        let result = run_seed(seed, Policy::Lease).await;
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn oracle_detects_naive_policies() {
    for policy in [Policy::AnyPeer, Policy::RetireAtOnce] {
        let mut detected = None;
        for seed in seeds() {
            if let Err(violation) = run_seed(seed, policy).await {
                detected = Some((seed, violation));
                break;
            }
        }
        println!("{policy:?}: {detected:?}");
        assert!(detected.is_some(), "{policy:?} was not detected");
    }
}
