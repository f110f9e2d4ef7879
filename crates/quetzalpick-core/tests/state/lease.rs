//! A simulation of several VMs with outages of the log, network partitions, delays, pauses, starts, stops and retirements.
//!
//! The oracle checks that no VM holds a lease while it has not applied an entry whose revocation of rights was declared complete,
//! and that no retired member holds one. Times are in ms; those that a VM records are on its own clock.

mod duties;

use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::lease::{Lease, Options};
use quetzalpick_core::quorum::Tracker;
use quetzalpick_core::record::{Change, Entry, Record, Role};
use quetzalpick_core::state::State;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::script::{by, join, member, operator, seeds, set_workspace, vm_name};

const TICK_MS: u64 = 50;
const RUN_MS: u64 = 150_000;
const VMS: usize = 5;

/// `Policy` selects how VMs handle leases and changes of voters.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// As implemented by `Lease` and `Tracker`.
    Sound,
    /// Naive: the answer of a single voter extends a lease.
    AnyAnswer,
    /// Naive: a right counts as revoked as soon as a majority has applied the entry.
    NoWait,
    /// Naive: voters change without waiting until a majority has applied the former change.
    ChangeVotersAtOnce,
    /// Naive: a suspected VM keeps a lease through its reads.
    IgnoreSuspicion,
}

#[derive(Debug, Clone)]
enum Event {
    /// A read reaches the log.
    Read { vm: usize, sent: u64 },
    /// The answer to a read arrives.
    Entries { vm: usize, sent: u64, head: u64 },
    /// A query reaches a peer.
    Query { from: usize, to: usize, sent: u64 },
    /// A peer's statement arrives.
    Statement {
        vm: usize,
        peer: Member,
        applied: Offset,
        sent: u64,
    },
    /// An entry is appended to the log.
    Append(Box<Entry>),
}

struct Vm {
    member: Member,
    state: State,
    lease: Lease,
    quorum: Tracker,
    /// Clock reading at the start in ms, and clock rate in thousandths.
    clock: (u64, u64),
    frozen_until: u64,
    running: bool,
    partition: usize,
    disconnected_from_log: bool,
    last_write: u64,
    last_contacts: Vec<(Member, u64)>,
    /// Newest read and answers, for the naive policies.
    reads: Option<(u64, Offset)>,
    answers: Vec<(u64, Offset)>,
}

#[derive(Debug, Default, Clone, PartialEq)]
struct Counts {
    complete: usize,
    retired: usize,
    voter_changes: usize,
    leased: usize,
    leased_in_outage: usize,
    without_lease: usize,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        self.complete += other.complete;
        self.retired += other.retired;
        self.voter_changes += other.voter_changes;
        self.leased += other.leased;
        self.leased_in_outage += other.leased_in_outage;
        self.without_lease += other.without_lease;
    }
}

struct World {
    policy: Policy,
    random: Pcg64,
    now: u64,
    options: Options,
    log: Vec<Entry>,
    /// State after all entries in the log.
    log_state: State,
    events: Vec<(u64, Event)>,
    vms: Vec<Vm>,
    log_unavailable_until: u64,
    partitioned_until: u64,
    commands: u64,
    /// Changes in the log, and whether each was declared complete.
    changes: Vec<(Offset, bool)>,
    retired: Vec<Member>,
    counts: Counts,
}

impl World {
    fn new(seed: u64, policy: Policy) -> Self {
        let mut world = Self {
            policy,
            random: Pcg64::seed_from_u64(seed),
            now: 0,
            options: Options::default(),
            log: Vec::new(),
            log_state: State::default(),
            events: Vec::new(),
            vms: Vec::new(),
            log_unavailable_until: 0,
            partitioned_until: 0,
            commands: 0,
            changes: Vec::new(),
            retired: Vec::new(),
            counts: Counts::default(),
        };
        (0..VMS).for_each(|_| world.start());
        world
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.random.random_range(0..count) == 0
    }

    fn schedule(&mut self, max_delay_ms: u64, event: Event) {
        let due = self.now + self.random.random_range(0..=max_delay_ms);
        self.events.push((due, event));
    }

    fn start(&mut self) {
        let number = self.vms.len() as u64;
        let member = member(&format!("ng-{number:02}"), number);
        let clock = (
            self.random.random_range(1_000_000..2_000_000),
            self.random.random_range(995..=1_005),
        );
        let join = join(&member, Role::Keeper);
        self.vms.push(Vm {
            member: member.clone(),
            state: State::default(),
            lease: Lease::new(self.options.clone()),
            quorum: Tracker::default(),
            clock,
            frozen_until: 0,
            running: true,
            partition: 0,
            disconnected_from_log: false,
            last_write: 0,
            last_contacts: Vec::new(),
            reads: None,
            answers: Vec::new(),
        });
        self.write(&member, join);
    }

    /// Sends an entry to the log; it may be appended late, twice or never.
    fn write(&mut self, author: &Member, record: Record) {
        self.commands += 1;
        let entry = Box::new(by(self.commands, author, record));
        let must_append = matches!(entry.record, Record::Join(_));
        let copies = match self.random.random_range(0..10) {
            0 if !must_append => 0,
            1..3 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            self.schedule(1_500, Event::Append(entry.clone()));
        }
    }

    fn run(&mut self) -> Option<String> {
        while self.now < RUN_MS {
            self.now += TICK_MS;
            self.inject_faults();
            self.deliver();
            for at in 0..self.vms.len() {
                if self.is_awake(at) {
                    self.act(at);
                }
            }
            if let Some(violation) = self.check() {
                return Some(violation);
            }
        }
        None
    }

    fn is_awake(&self, at: usize) -> bool {
        self.vms[at].running && self.vms[at].frozen_until <= self.now
    }

    fn can_reach_log(&self, at: usize) -> bool {
        self.log_unavailable_until <= self.now && !self.vms[at].disconnected_from_log
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        self.partitioned_until <= self.now || self.vms[a].partition == self.vms[b].partition
    }

    /// Injects random faults.
    fn inject_faults(&mut self) {
        let running: Vec<usize> = (0..self.vms.len())
            .filter(|at| self.vms[*at].running)
            .collect();
        let at = running[self.random.random_range(0..running.len())];
        if self.one_in(600) {
            self.log_unavailable_until = self.now + self.random.random_range(2_000..20_000);
        }
        if self.one_in(300) {
            self.partitioned_until = self.now + self.random.random_range(2_000..25_000);
            for vm in running.iter().copied() {
                self.vms[vm].partition = self.random.random_range(0..2);
                self.vms[vm].disconnected_from_log =
                    self.vms[vm].partition == 1 && self.random.random_bool(0.7);
            }
        }
        if self.partitioned_until <= self.now && self.one_in(200) {
            let disconnected = self.random.random_bool(0.3);
            self.vms[at].disconnected_from_log = disconnected;
        }
        if self.one_in(200) {
            self.vms[at].frozen_until = self.now + self.random.random_range(500..12_000);
        }
        if self.one_in(100) {
            self.commands += 1;
            let rate = self.commands;
            let entry = operator(self.commands, set_workspace("lagos", rate));
            self.schedule(1_000, Event::Append(Box::new(entry)));
        }
        if running.len() < VMS + 1 && self.one_in(100) {
            self.start();
        }
        if running.len() >= VMS && self.one_in(600) {
            self.stop(at);
        }
    }

    /// Stops a VM: planned, or by a crash that the operator may confirm with `RetireVm`.
    fn stop(&mut self, at: usize) {
        // A member that leaves makes no further statements.
        self.vms[at].running = false;
        let member = self.vms[at].member.clone();
        if self.random.random_bool(0.5) {
            self.write(&member, Record::Leave(member.clone()));
        } else if self.random.random_bool(0.3) {
            // The operator retries until the peers suspect the VM.
            for max_delay_ms in [6_000, 12_000, 24_000] {
                self.commands += 1;
                let change = Change::RetireVm(vm_name(member.vm.as_str()));
                let entry = operator(self.commands, change);
                self.schedule(max_delay_ms, Event::Append(Box::new(entry)));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(due, _)| *due <= now);
        self.events = later;
        let due: Vec<(u64, Event)> = due;
        for (_, event) in due {
            self.handle(event);
        }
    }

    /// Handles an event, or defers it while its VM is frozen.
    fn handle(&mut self, event: Event) {
        let vm = match &event {
            Event::Entries { vm, .. }
            | Event::Statement { vm, .. }
            | Event::Query { to: vm, .. } => *vm,
            Event::Read { .. } | Event::Append(_) => usize::MAX,
        };
        if vm != usize::MAX && !self.is_awake(vm) {
            if self.vms[vm].running {
                self.events.push((self.vms[vm].frozen_until, event));
            }
            return;
        }
        match event {
            Event::Read { vm, sent } => {
                if self.can_reach_log(vm) {
                    let head = self.log.len() as u64;
                    self.schedule(900, Event::Entries { vm, sent, head });
                }
            }
            Event::Entries { vm, sent, head } => {
                self.apply(vm, head);
                self.vms[vm].lease.record_head_read(sent, Offset(head));
                self.vms[vm].reads = Some((sent, Offset(head)));
            }
            Event::Query { from, to, sent } => self.answer_query(from, to, sent),
            Event::Statement {
                vm,
                peer,
                applied,
                sent,
            } => self.record_statement(vm, &peer, applied, sent),
            Event::Append(entry) => self.append(*entry),
        }
    }

    /// Sends a peer's statement of its applied offset, unless the peer has applied its own departure.
    fn answer_query(&mut self, from: usize, to: usize, sent: u64) {
        let peer = &self.vms[to];
        if !self.can_reach(from, to) || !peer.state.roster().is_active(&peer.member) {
            return;
        }
        let statement = Event::Statement {
            vm: from,
            peer: peer.member.clone(),
            applied: peer.state.next(),
            sent,
        };
        if !self.one_in(10) {
            self.schedule(700, statement);
        }
    }

    fn record_statement(&mut self, vm: usize, peer: &Member, applied: Offset, sent: u64) {
        // The peer's entries usually arrive with its statement.
        if !self.one_in(4) {
            self.apply(vm, applied.0);
        }
        let now = self.clock(vm);
        let vm = &mut self.vms[vm];
        vm.lease.record_statement(peer, sent, applied);
        vm.quorum.record(peer, applied, now);
        vm.last_contacts.retain(|(member, _)| member != peer);
        vm.last_contacts.push((peer.clone(), now));
        if vm.state.roster().is_voter(peer) {
            vm.answers.push((sent, applied));
        }
    }

    fn append(&mut self, entry: Entry) {
        let offset = self.log_state.next();
        let voters_changed = self.log_state.roster().voters_changed();
        let outcome = self.log_state.apply(offset, &entry);
        let accepted = matches!(outcome, quetzalpick_core::state::Outcome::Accepted(_));
        match &entry.record {
            Record::Change(_) if accepted => self.changes.push((offset, false)),
            Record::Retire(retire) if accepted => self.retired.push(retire.member.clone()),
            _ => {}
        }
        self.counts.voter_changes +=
            usize::from(voters_changed != self.log_state.roster().voters_changed());
        self.log.push(entry);
    }

    fn clock(&self, at: usize) -> u64 {
        let (start, rate) = self.vms[at].clock;
        start + self.now * rate / 1_000
    }

    fn apply(&mut self, at: usize, end: u64) {
        let now = self.clock(at);
        let vm = &mut self.vms[at];
        let next = vm.state.next().0;
        for entry in self.log.iter().take(end as usize).skip(next as usize) {
            let offset = vm.state.next();
            vm.state.apply(offset, entry);
        }
        vm.quorum.update_voters(now, &vm.state);
        vm.quorum.record(&vm.member, vm.state.next(), now);
    }

    fn check(&mut self) -> Option<String> {
        for at in 0..self.vms.len() {
            if !self.is_awake(at) {
                continue;
            }
            let now = self.clock(at);
            let vm = &self.vms[at];
            if !holds(self.policy, now, vm, &self.options) {
                self.counts.without_lease += 1;
                continue;
            }
            self.counts.leased += 1;
            self.counts.leased_in_outage += usize::from(self.log_unavailable_until > self.now);
            if self.retired.contains(&vm.member) {
                return Some(format!("{} ms: {} is retired", self.now, vm.member));
            }
            let is_missing =
                |(offset, complete): &&(Offset, bool)| *complete && *offset >= vm.state.next();
            if let Some((offset, _)) = self.changes.iter().find(is_missing) {
                return Some(format!("{} ms: {} lacks {offset}", self.now, vm.member));
            }
        }
        None
    }
}

fn holds(policy: Policy, now: u64, vm: &Vm, options: &Options) -> bool {
    let is_fresh = |(sent, applied): &(u64, Offset)| {
        *applied <= vm.state.next() && now < sent + options.lease_ms
    };
    let sound = vm.lease.holds(now, &vm.state, &vm.member);
    let membership = vm.state.roster().members().get(&vm.member);
    match policy {
        Policy::AnyAnswer => {
            let is_unsuspected = membership.is_some_and(|m| m.suspected.is_none());
            sound || is_unsuspected && vm.answers.iter().rev().take(20).any(is_fresh)
        }
        Policy::IgnoreSuspicion => sound || membership.is_some() && vm.reads.iter().any(is_fresh),
        Policy::Sound | Policy::NoWait | Policy::ChangeVotersAtOnce => sound,
    }
}

fn run(seed: u64, policy: Policy) -> (Option<String>, Counts) {
    let mut world = World::new(seed, policy);
    let violation = world.run();
    world.counts.retired = world.retired.len();
    (violation, world.counts)
}

#[test]
fn no_lease_outlives_a_revoked_right() {
    let mut total = Counts::default();
    for seed in seeds(24) {
        let (violation, counts) = run(seed, Policy::Sound);
        assert_eq!(violation, None, "seed {seed}");
        total.add(&counts);
    }
    // The run proves nothing unless every kind of event occurs.
    println!("{total:?}");
    let events = [
        total.complete,
        total.retired,
        total.voter_changes,
        total.leased_in_outage,
    ];
    assert!(events.iter().all(|events| *events > 10), "{total:?}");
}

#[test]
fn naive_leases_are_detected() {
    let naive = [
        (Policy::AnyAnswer, 7),
        (Policy::NoWait, 0),
        (Policy::ChangeVotersAtOnce, 105),
        (Policy::IgnoreSuspicion, 5),
    ];
    for (policy, seed) in naive {
        let (violation, _) = run(seed, policy);
        println!("{policy:?}, seed {seed}: {violation:?}");
        assert!(violation.is_some(), "{policy:?}");
        assert_eq!(run(seed, Policy::Sound).0, None);
    }
}
