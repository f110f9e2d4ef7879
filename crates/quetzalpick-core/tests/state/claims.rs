//! Gates race to make calls that must run at most once, while appends are reordered and repeated and gates fail.

use std::collections::BTreeMap;

use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::record::{Change, Claim, ClaimKey, ClaimResult, Entry, Finish, Record, Role};
use quetzalpick_core::state::{Outcome, Reason, State};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::script::{by, join, member, operator, seeds, service, vm_name};

const GATES: u64 = 4;
const KEYS: u64 = 5;
const STEPS: usize = 400;

/// `Policy` selects when gates send a call and how they close its claim.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// Sends a call once its claim was read back as accepted.
    OnReadBack,
    /// Faulty: sends a call once the append of its claim was acknowledged.
    OnAcknowledgement,
    /// Faulty: reports a call without an answer as not run.
    AssumeNotRun,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Claiming,
    Claimed(Offset),
    Sent(Offset),
    Closed,
}

struct Attempt {
    key: u64,
    command: u64,
    phase: Phase,
}

struct Gate {
    member: Member,
    state: State,
    attempts: Vec<Attempt>,
    stopped: bool,
}

struct Simulation {
    policy: Policy,
    random: Pcg64,
    log: Vec<Entry>,
    /// Entries that were sent to the log and may be appended at any time.
    in_flight: Vec<Entry>,
    gates: Vec<Gate>,
    commands: u64,
    /// Oracle: the attempts, by command, in which the service ran each call.
    ran: BTreeMap<u64, Vec<u64>>,
}

fn claim_key(key: u64) -> ClaimKey {
    ClaimKey {
        workspace: None,
        service: service("desk"),
        key: key.to_string(),
    }
}

impl Simulation {
    fn new(seed: u64, policy: Policy) -> Self {
        let mut simulation = Self {
            policy,
            random: Pcg64::seed_from_u64(seed),
            log: vec![operator(
                1,
                Change::SetService(service("desk"), Default::default()),
            )],
            in_flight: Vec::new(),
            gates: Vec::new(),
            commands: 1,
            ran: BTreeMap::new(),
        };
        for number in 0..GATES {
            simulation.start_gate(number);
        }
        simulation
    }

    fn start_gate(&mut self, number: u64) {
        let member = member(&format!("ng-{number}"), number);
        self.commands += 1;
        let entry = by(self.commands, &member, join(&member, Role::Gate));
        self.log.push(entry);
        self.gates.push(Gate {
            member,
            state: State::default(),
            attempts: Vec::new(),
            stopped: false,
        });
    }

    fn send(&mut self, author: &Member, record: Record) -> u64 {
        self.commands += 1;
        let entry = by(self.commands, author, record);
        // An append without an answer is repeated, and then both may succeed.
        for _ in 0..self.random.random_range(1..3) {
            self.in_flight.push(entry.clone());
        }
        self.commands
    }

    fn step(&mut self) {
        let at = self.random.random_range(0..self.gates.len());
        match self.random.random_range(0..20) {
            0..3 => self.start_call(at),
            3..8 => self.append_one(),
            8..13 => self.fold(at),
            13..19 => self.continue_attempt(at),
            _ => self.fail_gate(at),
        }
    }

    /// A caller sends a call, perhaps one that it has sent to another gate before.
    fn start_call(&mut self, at: usize) {
        let key = self.random.random_range(0..KEYS);
        let member = self.gates[at].member.clone();
        let claim = Claim {
            key: claim_key(key),
            fingerprint: 1,
            member: member.clone(),
        };
        let command = self.send(&member, Record::Claim(claim));
        self.gates[at].attempts.push(Attempt {
            key,
            command,
            phase: Phase::Claiming,
        });
    }

    /// One of the entries in flight is appended to the log.
    fn append_one(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = self.random.random_range(0..self.in_flight.len());
        let entry = self.in_flight.swap_remove(at);
        if let (Policy::OnAcknowledgement, Record::Claim(claim)) = (self.policy, &entry.record) {
            let gate = self.gates.iter_mut().find(|g| g.member == claim.member);
            let attempts = gate.into_iter().flat_map(|gate| &mut gate.attempts);
            for attempt in attempts.filter(|a| entry.command.1 == a.command) {
                attempt.phase = Phase::Claimed(Offset(self.log.len() as u64));
            }
        }
        self.log.push(entry);
    }

    fn fold(&mut self, at: usize) {
        let gate = &mut self.gates[at];
        let next = gate.state.next().0 as usize;
        for entry in self.log.iter().skip(next).take(4) {
            let offset = gate.state.next();
            let outcome = gate.state.apply(offset, entry);
            let mut attempts = gate.attempts.iter_mut();
            let Some(attempt) = attempts.find(|a| a.command == entry.command.1) else {
                continue;
            };
            if attempt.phase != Phase::Claiming {
                continue;
            }
            attempt.phase = match &outcome {
                Outcome::Accepted(_) => Phase::Claimed(offset),
                _ => Phase::Closed,
            };
            check_answer(&outcome, attempt.key, &self.ran);
        }
    }

    /// A gate continues its oldest open attempt, even if it was retired while it was paused.
    fn continue_attempt(&mut self, at: usize) {
        let open = |attempt: &Attempt| matches!(attempt.phase, Phase::Claimed(_) | Phase::Sent(_));
        let gate = &self.gates[at];
        let Some(index) = gate
            .attempts
            .iter()
            .position(open)
            .filter(|_| !gate.stopped)
        else {
            return;
        };
        let member = self.gates[at].member.clone();
        let attempt = &mut self.gates[at].attempts[index];
        let (key, command) = (attempt.key, attempt.command);
        let succeeds = self.random.random_bool(0.8);
        let finish = |claim, result| {
            Record::Finish(Finish {
                key: claim_key(key),
                claim,
                result,
            })
        };
        match attempt.phase {
            Phase::Claimed(claim) if succeeds => {
                attempt.phase = Phase::Sent(claim);
                self.ran.entry(key).or_default().push(command);
            }
            Phase::Claimed(claim) => {
                attempt.phase = Phase::Closed;
                self.send(&member, finish(claim, ClaimResult::NotRun));
            }
            Phase::Sent(claim) => {
                attempt.phase = Phase::Closed;
                let result = match (succeeds, self.policy) {
                    (true, _) => ClaimResult::Ran {
                        status: 200,
                        content_type: command.to_string(),
                        body: None,
                    },
                    (false, Policy::AssumeNotRun) => ClaimResult::NotRun,
                    (false, _) => ClaimResult::MayHaveRun,
                };
                self.send(&member, finish(claim, result));
            }
            Phase::Claiming | Phase::Closed => {}
        }
    }

    /// A gate stops or pauses and is retired; another one starts.
    fn fail_gate(&mut self, at: usize) {
        if self.gates.len() >= 12 {
            return;
        }
        self.gates[at].stopped = self.random.random_bool(0.5);
        self.commands += 1;
        let vm = vm_name(&format!("ng-{at}"));
        self.in_flight
            .push(operator(self.commands, Change::RetireVm(vm)));
        self.start_gate(self.gates.len() as u64);
    }

    /// Returns a call that ran more than once.
    fn ran_twice(&self) -> Option<u64> {
        let mut ran_twice = self.ran.iter().filter(|(_, attempts)| attempts.len() > 1);
        ran_twice.next().map(|(key, _)| *key)
    }
}

/// Checks that a recorded answer is that of the attempt that ran.
fn check_answer(outcome: &Outcome, key: u64, ran: &BTreeMap<u64, Vec<u64>>) {
    if let Outcome::Rejected(Reason::Claimed {
        result: Some(ClaimResult::Ran { content_type, .. }),
        ..
    }) = outcome
    {
        assert_eq!(ran[&key][0].to_string(), *content_type);
    }
}

/// Runs one seed and returns a call that ran twice.
fn run(seed: u64, policy: Policy) -> Option<u64> {
    let mut simulation = Simulation::new(seed, policy);
    (0..STEPS).find_map(|_| {
        simulation.step();
        simulation.ran_twice()
    })
}

#[test]
fn no_call_runs_twice() {
    let mut ran = 0;
    for seed in seeds(200) {
        assert_eq!(run(seed, Policy::OnReadBack), None, "seed {seed}");
        let mut simulation = Simulation::new(seed, Policy::OnReadBack);
        (0..STEPS).for_each(|_| simulation.step());
        ran += simulation.ran.len();
    }
    assert!(ran > 0, "no call ran at all");
}

#[test]
fn faulty_policies_run_a_call_twice() {
    let first = |policy| (0..50).find(|seed| run(*seed, policy).is_some());
    let found = [Policy::OnAcknowledgement, Policy::AssumeNotRun].map(first);
    assert_eq!(found, [Some(0), Some(5)]);
}
