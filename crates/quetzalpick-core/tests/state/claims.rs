//! Many gates race for calls that must run at most once.

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

/// `Policy` is how gates go about a claim.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// A call is sent once its claim was read back as accepted.
    ReadBack,
    /// Naive: a call is sent once the append of its claim was answered.
    Answered,
    /// Naive: a call without an answer is given up as not run.
    Hopeful,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Claiming,
    Held(Offset),
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

struct World {
    policy: Policy,
    random: Pcg64,
    log: Vec<Entry>,
    /// Entries that were sent to the log and may land at any time.
    flying: Vec<Entry>,
    gates: Vec<Gate>,
    commands: u64,
    /// The oracle: how often the service ran each call, and by which attempt.
    ran: BTreeMap<u64, Vec<u64>>,
}

fn claim_key(key: u64) -> ClaimKey {
    ClaimKey {
        workspace: None,
        service: service("desk"),
        key: key.to_string(),
    }
}

impl World {
    fn new(seed: u64, policy: Policy) -> Self {
        let mut world = Self {
            policy,
            random: Pcg64::seed_from_u64(seed),
            log: vec![operator(
                1,
                Change::SetService(service("desk"), Default::default()),
            )],
            flying: Vec::new(),
            gates: Vec::new(),
            commands: 1,
            ran: BTreeMap::new(),
        };
        for number in 0..GATES {
            world.start(number);
        }
        world
    }

    fn start(&mut self, number: u64) {
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
        // An append without an answer is repeated, and then both may land.
        for _ in 0..self.random.random_range(1..3) {
            self.flying.push(entry.clone());
        }
        self.commands
    }

    fn step(&mut self) {
        let at = self.random.random_range(0..self.gates.len());
        match self.random.random_range(0..20) {
            0..3 => self.call(at),
            3..8 => self.land(),
            8..13 => self.fold(at),
            13..19 => self.work(at),
            _ => self.fail(at),
        }
    }

    /// A caller brings a call, perhaps one that it brought to another gate before.
    fn call(&mut self, at: usize) {
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

    /// One of the entries that were sent lands in the log.
    fn land(&mut self) {
        if self.flying.is_empty() {
            return;
        }
        let at = self.random.random_range(0..self.flying.len());
        let entry = self.flying.swap_remove(at);
        if let (Policy::Answered, Record::Claim(claim)) = (self.policy, &entry.record) {
            let gate = self.gates.iter_mut().find(|g| g.member == claim.member);
            let attempts = gate.into_iter().flat_map(|gate| &mut gate.attempts);
            for attempt in attempts.filter(|a| entry.command.1 == a.command) {
                attempt.phase = Phase::Held(Offset(self.log.len() as u64));
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
                Outcome::Accepted(_) => Phase::Held(offset),
                _ => Phase::Closed,
            };
            check_answer(&outcome, attempt.key, &self.ran);
        }
    }

    /// A gate goes on with its attempts, also one that was retired while it was paused.
    fn work(&mut self, at: usize) {
        let open = |attempt: &Attempt| matches!(attempt.phase, Phase::Held(_) | Phase::Sent(_));
        let gate = &self.gates[at];
        let Some(which) = gate
            .attempts
            .iter()
            .position(open)
            .filter(|_| !gate.stopped)
        else {
            return;
        };
        let member = self.gates[at].member.clone();
        let attempt = &mut self.gates[at].attempts[which];
        let (key, command) = (attempt.key, attempt.command);
        let lucky = self.random.random_bool(0.8);
        let finish = |claim, result| {
            Record::Finish(Finish {
                key: claim_key(key),
                claim,
                result,
            })
        };
        match attempt.phase {
            Phase::Held(claim) if lucky => {
                attempt.phase = Phase::Sent(claim);
                self.ran.entry(key).or_default().push(command);
            }
            Phase::Held(claim) => {
                attempt.phase = Phase::Closed;
                self.send(&member, finish(claim, ClaimResult::NotRun));
            }
            Phase::Sent(claim) => {
                attempt.phase = Phase::Closed;
                let result = match (lucky, self.policy) {
                    (true, _) => ClaimResult::Ran {
                        status: 200,
                        content_type: command.to_string(),
                        body: None,
                    },
                    (false, Policy::Hopeful) => ClaimResult::NotRun,
                    (false, _) => ClaimResult::MayHaveRun,
                };
                self.send(&member, finish(claim, result));
            }
            Phase::Claiming | Phase::Closed => {}
        }
    }

    /// A gate stops or pauses and is retired; another one starts.
    fn fail(&mut self, at: usize) {
        if self.gates.len() >= 12 {
            return;
        }
        self.gates[at].stopped = self.random.random_bool(0.5);
        self.commands += 1;
        let vm = vm_name(&format!("ng-{at}"));
        self.flying
            .push(operator(self.commands, Change::RetireVm(vm)));
        self.start(self.gates.len() as u64);
    }

    /// Returns the call that ran more than once.
    fn doubled(&self) -> Option<u64> {
        let mut doubled = self.ran.iter().filter(|(_, attempts)| attempts.len() > 1);
        doubled.next().map(|(key, _)| *key)
    }
}

/// Checks that a recorded answer is the one of the attempt that ran.
fn check_answer(outcome: &Outcome, key: u64, ran: &BTreeMap<u64, Vec<u64>>) {
    if let Outcome::Rejected(Reason::Claimed {
        result: Some(ClaimResult::Ran { content_type, .. }),
        ..
    }) = outcome
    {
        assert_eq!(ran[&key][0].to_string(), *content_type);
    }
}

/// Runs one seed and tells which call ran twice.
fn run(seed: u64, policy: Policy) -> Option<u64> {
    let mut world = World::new(seed, policy);
    (0..STEPS).find_map(|_| {
        world.step();
        world.doubled()
    })
}

#[test]
fn no_call_runs_twice() {
    let mut ran = 0;
    for seed in seeds(200) {
        assert_eq!(run(seed, Policy::ReadBack), None, "seed {seed}");
        let mut world = World::new(seed, Policy::ReadBack);
        (0..STEPS).for_each(|_| world.step());
        ran += world.ran.len();
    }
    assert!(ran > 0, "no call ran at all");
}

#[test]
fn naive_gates_are_caught() {
    let first = |policy| (0..50).find(|seed| run(*seed, policy).is_some());
    let found = [Policy::Answered, Policy::Hopeful].map(first);
    assert_eq!(found, [Some(0), Some(5)]);
}
