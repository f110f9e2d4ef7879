//! Random cuts, freezes, outages and crashes against an oracle that reads the log itself.
//!
//! The oracle asks each process at many moments whether it would act now, also a frozen one, which is the worst time
//! for it to wake.

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

/// Default lease with its drift margin, in ms.
const LEASE_WAIT_MS: u64 = 5_050;

/// Time between two looks of the oracle, in ms.
const LOOK_MS: u64 = 97;

/// `Policy` is how a process decides that it may act, or that another may be retired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The one under test.
    Lease,
    /// Naive: whoever heard any peer within the lease may act.
    AnyPeer,
    /// Naive: a suspected member is retired at once, with the witnesses made up.
    RetireAtOnce,
}

/// `Oracle` folds the log on its own and remembers when things became true.
struct Oracle {
    policy: Policy,
    state: State,
    now: u64,
    /// Retired members.
    retired: Vec<Member>,
    /// Accepted changes not known to be complete: offset, and since when a majority of the voters has applied it.
    changes: Vec<(Offset, Option<u64>)>,
    /// Changes that are complete: whoever acts must have applied them.
    complete: Offset,
    /// What each process was and had applied when it was last looked at.
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

    /// Folds what is new in the log.
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

    /// Works out which changes are complete.
    fn note_complete(&mut self, fleet: &Fleet) {
        let applied = |voter: &Member| {
            let process = fleet
                .processes
                .iter()
                .find(|p| p.replica.member() == *voter);
            process.map_or(0, |p| p.next())
        };
        let voters = self.state.roster().voters();
        for (offset, since) in &mut self.changes {
            let knowing = voters.iter().filter(|v| applied(v) > offset.0).count();
            if since.is_none() && knowing * 2 > voters.len() {
                *since = Some(self.now);
            }
            if since.is_some_and(|since| self.now - since > LEASE_WAIT_MS) {
                self.complete = self.complete.max(Offset(offset.0 + 1));
            }
        }
        let complete = self.complete;
        self.changes.retain(|(offset, _)| *offset >= complete);
    }

    /// Looks at all processes and tells what is wrong.
    fn look(&mut self, fleet: &Fleet) -> Result<(), String> {
        self.now += LOOK_MS;
        self.follow(fleet);
        self.note_complete(fleet);
        for (at, process) in fleet.processes.iter().enumerate() {
            let member = process.replica.member();
            let next = process.next();
            let (known, applied) = &mut self.applied[at];
            if *known == member && next < *applied {
                return Err(format!("{member} went back to {next}"));
            }
            (*known, *applied) = (member.clone(), next);
            let acts = match self.policy {
                Policy::AnyPeer => process
                    .replica
                    .peers()
                    .iter()
                    .any(|p| p.heard_ms_ago < 5_000),
                _ => process.replica.is_leased(),
            };
            if acts && self.retired.contains(&member) {
                return Err(format!("{member} is retired and acts"));
            }
            if acts && next < self.complete.0 {
                return Err(format!("{member} acts at {next} before {}", self.complete));
            }
            if process.replica.divergences() > 0 {
                return Err(format!("{member} saw another state"));
            }
        }
        Ok(())
    }

    /// Appends what a naive process would: the retirement of every suspected member at once.
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

/// Returns a number below a bound.
fn below(rng: &mut Pcg32, bound: usize) -> usize {
    rng.next_u32() as usize % bound
}

/// Switches a fault at random, or ends all of them.
async fn disturb(fleet: &mut Fleet, rng: &mut Pcg32, step: u64) {
    let (a, b) = (below(rng, COUNT), below(rng, COUNT));
    let on = below(rng, 2) == 0;
    let (from, to) = (&fleet.processes[a].address, &fleet.processes[b].address);
    match below(rng, 10) {
        0 | 1 => fleet.processes[a].log.set_disconnected(on),
        2 => fleet.processes[a].freeze(on),
        3 => fleet.network.cut(from, to, on),
        4 => {
            let others: Vec<usize> = (0..COUNT).filter(|n| *n != a && *n != b).collect();
            fleet.part(&[a, b], &others, on);
        }
        5 => fleet.log.outage(on),
        6 => {
            fleet.processes[a].log.drop_answers(2);
            fleet.processes[b].log.hold_appends(1);
            fleet.log.release();
        }
        7 if below(rng, 2) == 0 => fleet.restart(a, step + 1, on).await,
        _ => calm(fleet),
    }
}

/// Ends all faults.
fn calm(fleet: &Fleet) {
    fleet.log.outage(false);
    fleet.log.release();
    for process in &fleet.processes {
        process.log.set_disconnected(false);
        process.log.drop_answers(0);
        process.log.hold_appends(0);
        process.freeze(false);
    }
    let all: Vec<usize> = (0..COUNT).collect();
    fleet.part(&all, &all, false);
}

/// Runs one seed and tells what went wrong.
async fn run(seed: u64, policy: Policy) -> Result<(), String> {
    let mut fleet = Fleet::start(COUNT as u64).await;
    let mut oracle = Oracle::new(policy, &fleet);
    let mut rng = Pcg32::seed_from_u64(seed);
    for step in 0..40 {
        disturb(&mut fleet, &mut rng, step).await;
        // Operators write all the time, through a process that may be cut or frozen.
        let writer = fleet.processes[below(&mut rng, COUNT)].replica.clone();
        let command = writer.draw_command();
        let author = Author::Operator("ada".to_owned());
        let record = support::workspace(&format!("w{step}"));
        let write = async move { writer.submit_as(author, command, record, None).await };
        let write = tokio::spawn(write);
        for _ in 0..10 + below(&mut rng, 40) {
            sleep(LOOK_MS).await;
            oracle
                .look(&fleet)
                .map_err(|fault| format!("step {step}: {fault}"))?;
            if policy == Policy::RetireAtOnce {
                oracle.retire_at_once(&fleet).await;
            }
        }
        drop(write);
    }
    if policy != Policy::Lease {
        return Ok(());
    }
    // After the faults all of them serve the same state again.
    calm(&fleet);
    sleep(30_000).await;
    assert_eq!(fleet.leased(), [true; COUNT], "{}", fleet.story());
    assert_matches!(
        fleet.processes[0].set("last", None).await,
        Answer::Accepted { .. }
    );
    sleep(2_000).await;
    oracle.look(&fleet)?;
    let applied: Vec<u64> = fleet.processes.iter().map(|p| p.next()).collect();
    assert_eq!(applied, [oracle.state.next().0; COUNT]);
    Ok(())
}

/// Returns the seeds to run: a few, or as many as `QUETZALPICK_SEEDS` says.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("QUETZALPICK_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(20)
}

#[tokio::test(start_paused = true)]
async fn nobody_acts_on_what_was_taken_away() {
    for seed in seeds() {
        let result = run(seed, Policy::Lease).await;
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_oracle_catches_naive_processes() {
    for policy in [Policy::AnyPeer, Policy::RetireAtOnce] {
        let mut caught = None;
        for seed in seeds() {
            if let Err(fault) = run(seed, policy).await {
                caught = Some((seed, fault));
                break;
            }
        }
        println!("{policy:?}: {caught:?}");
        assert!(caught.is_some(), "{policy:?} was not caught");
    }
}
