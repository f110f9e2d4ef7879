//! The simulation: gates, the log, and random events.

use quetzalpick_core::id::{Command, Member, Offset, Workspace};
use quetzalpick_core::quota::{Charge, Peer, Transfer, TransferRequest};
use quetzalpick_core::record::{Author, Change, Entry, PARTS_TOTAL, Record, Retire, WorkspaceSpec};
use quetzalpick_core::state::State;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::entries::{join, workspace};
use crate::network::Message;
use crate::node::{LEASE_MS, Node, Phase, Running};
use crate::oracle::Oracle;

/// Maximum number of gates running at once.
const GATES_MAX: usize = 6;

/// Time for which a stopping gate waits for acknowledgements, in ms.
const HAND_OVER_MS: u64 = 1_000;

/// `Defect` selects a rule of the protocol to break, so that the tests show that the oracles detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// The donor subtracts when the transfer is acknowledged, not before sending.
    SubtractLate,
    /// The receiver accepts every copy of a transfer.
    NoDedup,
    /// The receiver accepts transfers of any epoch.
    NoEpoch,
    /// The receiver refuses a transfer of a former epoch, so that the donor restores it.
    RefuseEpoch,
    /// A frozen gate continues to charge when it resumes, without checking its lease.
    NoLease,
}

/// `Simulation` holds the gates, the log, the messages in flight and the oracles, in virtual time.
pub(crate) struct Simulation {
    pub(crate) random: Pcg64Mcg,
    pub(crate) defect: Defect,
    pub(crate) now_ms: u64,
    pub(crate) log: Vec<Entry>,
    pub(crate) log_down_until_ms: u64,
    /// State after all entries of the log.
    pub(crate) head: State,
    pub(crate) nodes: Vec<Node>,
    /// Messages in flight: time of delivery in ms, receiver and message.
    pub(crate) network: Vec<(u64, usize, Message)>,
    /// Donor, receiver, epoch and number of the transfers accepted.
    pub(crate) taken: Vec<(Member, Member, Offset, u64)>,
    /// The same of transfers that `Defect::SubtractLate` has sent but not subtracted, with their requests.
    pub(crate) late_subtractions: Vec<(Member, Member, Offset, u64, TransferRequest)>,
    /// All transfers sent so far.
    pub(crate) sent: Vec<Transfer>,
    /// Suspected gates with the time of the suspicion, in ms.
    pub(crate) suspected: Vec<(Member, u64)>,
    pub(crate) oracles: Vec<(Workspace, Offset, Oracle)>,
    pub(crate) aliases: u64,
    /// Greatest excess of the parts of a workspace over `PARTS_TOTAL`.
    pub(crate) parts_excess: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64, defect: Defect) -> Self {
        let mut simulation = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            defect,
            now_ms: 0,
            log: Vec::new(),
            log_down_until_ms: 0,
            head: State::default(),
            nodes: Vec::new(),
            network: Vec::new(),
            taken: Vec::new(),
            late_subtractions: Vec::new(),
            sent: Vec::new(),
            suspected: Vec::new(),
            oracles: Vec::new(),
            aliases: 0,
            parts_excess: 0,
        };
        for _ in 0..4 {
            simulation.join();
        }
        for at in 0..2 {
            simulation.set_workspace(at);
        }
        simulation.read_all();
        simulation.record_specs();
        simulation
    }

    /// Runs for a time, in ms, with random faults.
    pub(crate) fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += self.random.random_range(1..20);
            self.resume_frozen();
            self.deliver();
            self.act_at_random();
            self.record_specs();
            self.check_parts();
        }
    }

    /// Ends all faults, delivers all messages, and returns the number of missing parts of each workspace.
    pub(crate) fn heal(&mut self) -> Vec<u64> {
        self.log_down_until_ms = 0;
        // All gates may have ended, and only a running gate retires the others.
        self.join();
        for round in 0..200 {
            self.now_ms += 50;
            for node in &mut self.nodes {
                if let Phase::Frozen(_) = node.phase {
                    node.phase = Phase::Serving;
                }
            }
            self.retire_unresponsive();
            self.read_all();
            for at in 0..self.nodes.len() {
                self.declare(at);
                self.refute(at);
                self.resend(at);
                self.finish_stop(at);
            }
            self.deliver_all();
            self.check_parts();
            if round == 0 {
                self.now_ms += LEASE_MS;
            }
        }
        let workspaces: Vec<_> = self.head.catalog().workspaces().keys().cloned().collect();
        let missing = workspaces.iter().map(|w| PARTS_TOTAL - self.parts(w));
        missing.collect()
    }

    /// Returns the greatest excess of tokens spent over the limit, in micro-tokens, and the number of admissions.
    pub(crate) fn outcome(&self) -> (i128, usize) {
        let oracles = || self.oracles.iter().map(|(_, _, oracle)| oracle);
        let worst = oracles().map(Oracle::excess_micro).max();
        (worst.unwrap_or(0), oracles().map(Oracle::admissions).sum())
    }

    fn append(&mut self, author: Author, record: Record) -> Option<u64> {
        if self.now_ms < self.log_down_until_ms {
            return None;
        }
        let offset = self.log.len() as u64;
        let entry = Entry {
            command: Command(1, offset),
            author,
            expect: None,
            record,
        };
        self.head.apply(Offset(offset), &entry);
        self.log.push(entry);
        Some(offset)
    }

    fn append_change(&mut self, change: Change) -> Option<u64> {
        self.append(Author::Operator("op".to_owned()), Record::Change(change))
    }

    fn set_workspace(&mut self, at: usize) {
        let spec = WorkspaceSpec {
            rate: self.random.random_range(50..1_000),
            burst: self.random.random_range(200..3_000),
            artifacts: Vec::new(),
            services: Vec::new(),
        };
        let created = |state: &State| {
            state
                .catalog()
                .workspaces()
                .get(&workspace(at))
                .map(|w| w.0)
        };
        let before = created(&self.head);
        if self
            .append_change(Change::SetWorkspace(workspace(at), spec))
            .is_none()
        {
            return;
        }
        let after = created(&self.head);
        if let Some(created) = after.filter(|_| before != after) {
            self.oracles
                .push((workspace(at), created, Oracle::default()));
        }
    }

    fn join(&mut self) {
        let node = Node::new(self.nodes.len());
        let join = join(&node.member, 0).record;
        if self
            .append(Author::Member(node.member.clone()), join)
            .is_some()
        {
            self.nodes.push(node);
        }
    }

    fn read_all(&mut self) {
        let up_to = self.log.len();
        for node in self.nodes.iter_mut().filter(|node| node.is_awake()) {
            node.read(self.now_ms, &self.log, up_to);
        }
    }

    /// Records the greatest rate and burst used by any gate that may still spend.
    fn record_specs(&mut self) {
        for (name, created, oracle) in &mut self.oracles {
            let spec_in = |state: &State| {
                let row = state.catalog().workspaces().get(name);
                row.filter(|(at, _)| at == created)
                    .map(|(_, spec)| (spec.rate, spec.burst))
            };
            let active = self.nodes.iter().filter(|node| {
                node.phase != Phase::Gone && self.head.roster().is_active(&node.member)
            });
            let specs = active
                .filter_map(|node| spec_in(&node.state))
                .chain(spec_in(&self.head));
            let greatest = specs.reduce(|a, b| (a.0.max(b.0), a.1.max(b.1)));
            if let Some((rate, burst)) = greatest {
                oracle.set_spec(self.now_ms, rate, burst);
            }
        }
    }

    fn act_at_random(&mut self) {
        let at = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..1_000) {
            0..400 => self.request(at),
            400..500 => self.finish_request(at),
            500..600 => self.read(at),
            600..700 => self.resend(at),
            700..760 => self.send_hints(at),
            760..800 => self.rebalance(at),
            800..900 => {
                self.declare(at);
                self.refute(at);
            }
            900..930 => self.finish_stop(at),
            930..960 => self.retire_unresponsive(),
            960..964 => self.freeze(at),
            970..974 => self.stop(at),
            974..977 => self.crash(at),
            977..984 => self.start_gate(),
            984..989 => {
                let at = self.random.random_range(0..2);
                self.set_workspace(at);
            }
            989..990 => {
                let at = self.random.random_range(0..2);
                self.append_change(Change::RemoveWorkspace(workspace(at)));
            }
            990..991 => {
                self.log_down_until_ms = self.now_ms + self.random.random_range(0..3 * LEASE_MS);
            }
            _ => {}
        }
    }

    fn can_charge(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        node.is_leased(self.now_ms) || (self.defect == Defect::NoLease && node.is_awake())
    }

    fn request(&mut self, at: usize) {
        if !self.can_charge(at) || self.nodes[at].phase != Phase::Serving {
            return;
        }
        let name = workspace(self.random.random_range(0..2));
        let row = self.nodes[at].state.catalog().workspaces().get(&name);
        let Some((created, burst)) = row.map(|(created, spec)| (*created, spec.burst)) else {
            return;
        };
        let tokens = self.random.random_range(1..=burst);
        let tokens = if self.random.random_bool(0.8) {
            tokens / 8 + 1
        } else {
            tokens
        };
        let node = &mut self.nodes[at];
        let time = node.time(self.now_ms);
        match node.quota.charge(time, &name, tokens) {
            Charge::Granted(debit) => {
                let mut oracles = self.oracles.iter_mut();
                let oracle = oracles.find(|(n, c, _)| *n == name && *c == created);
                let (_, _, oracle) = oracle.expect("the workspace has an oracle");
                let number = oracle.spend(self.now_ms, tokens);
                node.running.push(Running {
                    debit,
                    created,
                    number,
                });
            }
            Charge::Short { missing, .. } => {
                let request = node.quota.transfer_request(time, &name, missing);
                let donors = node.quota.donors(&name, &node.peers);
                let donors: Vec<Member> = donors.into_iter().take(2).cloned().collect();
                let from = node.member.clone();
                for (donor, request) in donors.iter().zip(request.into_iter().cycle()) {
                    self.send(donor, &Message::TransferRequest(from.clone(), request));
                }
            }
            Charge::TooLarge { .. } => {}
        }
    }

    fn finish_request(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if !node.is_awake() || node.running.is_empty() {
            return;
        }
        let index = self.random.random_range(0..node.running.len());
        let running = node.running.swap_remove(index);
        if std::env::var("NOREF").is_ok() {
            return;
        }
        let unused = self.random.random_range(0..=running.debit.tokens());
        let mut oracles = self.oracles.iter_mut();
        let name = running.debit.workspace();
        let oracle = oracles.find(|(n, c, _)| n == name && *c == running.created);
        let (_, _, oracle) = oracle.expect("the workspace has an oracle");
        oracle.refund(running.number, unused);
        node.quota
            .refund(node.time(self.now_ms), running.debit, unused);
    }

    fn read(&mut self, at: usize) {
        if self.now_ms < self.log_down_until_ms || !self.nodes[at].is_awake() {
            return;
        }
        let end = self.log.len();
        let lags = self.random.random_bool(0.3);
        let up_to = if lags {
            self.random.random_range(0..=end)
        } else {
            end
        };
        self.nodes[at].read(self.now_ms, &self.log, up_to);
    }

    fn resend(&mut self, at: usize) {
        if self.nodes[at].is_leased(self.now_ms) {
            for transfer in self.nodes[at].quota.unacknowledged().to_vec() {
                self.send_transfer(transfer);
            }
        }
    }

    fn send_hints(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if !node.is_awake() {
            return;
        }
        let hints = node.quota.hints(node.time(self.now_ms));
        let peer = Peer {
            member: node.member.clone(),
            hints,
        };
        let others: Vec<Member> = self.nodes.iter().map(|n| n.member.clone()).collect();
        for other in others.iter().filter(|other| **other != peer.member) {
            self.send(other, &Message::Hints(peer.clone()));
        }
    }

    fn rebalance(&mut self, at: usize) {
        if self.nodes[at].is_leased(self.now_ms) {
            let node = &mut self.nodes[at];
            let transfers = node.quota.rebalance(node.time(self.now_ms), &node.peers);
            transfers.into_iter().for_each(|t| self.send_transfer(t));
        }
    }

    fn declare(&mut self, at: usize) {
        let node = &self.nodes[at];
        if let Some(declaration) = node
            .quota
            .declaration()
            .cloned()
            .filter(|_| node.is_awake())
        {
            let author = Author::Member(node.member.clone());
            self.append(author, Record::Declare(declaration));
        }
    }

    fn refute(&mut self, at: usize) {
        let node = &self.nodes[at];
        let membership = node.state.roster().members().get(&node.member);
        if node.is_awake() && membership.is_some_and(|m| m.suspected.is_some()) {
            let member = node.member.clone();
            self.append(Author::Member(member.clone()), Record::Refute(member));
        }
    }

    fn freeze(&mut self, at: usize) {
        if self.nodes[at].phase == Phase::Serving {
            let until_ms = self.now_ms + self.random.random_range(0..4 * LEASE_MS);
            self.nodes[at].phase = Phase::Frozen(until_ms);
        }
    }

    fn resume_frozen(&mut self) {
        for node in &mut self.nodes {
            if matches!(node.phase, Phase::Frozen(until_ms) if until_ms <= self.now_ms) {
                node.phase = Phase::Serving;
            }
        }
    }

    fn crash(&mut self, at: usize) {
        self.nodes[at].phase = Phase::Gone;
    }

    fn stop(&mut self, at: usize) {
        if self.nodes[at].phase == Phase::Serving && self.nodes[at].is_leased(self.now_ms) {
            self.nodes[at].phase = Phase::Stopping(self.now_ms);
            self.hand_over(at);
        }
    }

    fn hand_over(&mut self, at: usize) {
        let others = self.nodes.iter().map(|n| n.member.clone());
        let others: Vec<Member> = others.collect();
        let node = &mut self.nodes[at];
        let transfers = node.quota.hand_over(node.time(self.now_ms), &others);
        transfers.into_iter().for_each(|t| self.send_transfer(t));
    }

    fn finish_stop(&mut self, at: usize) {
        let Phase::Stopping(since_ms) = self.nodes[at].phase else {
            return;
        };
        if self.nodes[at].is_leased(self.now_ms) {
            self.hand_over(at);
        }
        let done = self.nodes[at].quota.unacknowledged().is_empty();
        if done || self.now_ms > since_ms + HAND_OVER_MS {
            let member = self.nodes[at].member.clone();
            let appended = self.append(Author::Member(member.clone()), Record::Leave(member));
            if appended.is_some() {
                self.nodes[at].phase = Phase::Gone;
            }
        }
    }

    fn start_gate(&mut self) {
        let running = self.nodes.iter().filter(|n| n.phase != Phase::Gone).count();
        if running < GATES_MAX {
            self.join();
        }
    }

    /// Suspects unresponsive gates, and retires those suspected for longer than a lease.
    fn retire_unresponsive(&mut self) {
        let members = self.head.roster().members().iter();
        let suspicions: Vec<_> = members.map(|(m, row)| (m.clone(), row.suspected)).collect();
        let author = self.nodes.iter().find(|n| n.is_leased(self.now_ms));
        let Some(author) = author.map(|n| n.member.clone()) else {
            return;
        };
        for (member, suspected) in suspicions.into_iter().filter(|(m, _)| *m != author) {
            let is_unresponsive = |n: &Node| n.member == member && !n.is_awake();
            let record = match suspected {
                None if self.nodes.iter().any(is_unresponsive) => Record::Suspect(member.clone()),
                Some(offset) if self.suspected_for(&member) > LEASE_MS => Record::Retire(Retire {
                    member: member.clone(),
                    suspected: offset,
                    voters_changed: self.head.roster().voters_changed(),
                    confirmed_by: self.head.roster().voters().to_vec(),
                }),
                _ => continue,
            };
            let suspects = matches!(record, Record::Suspect(_));
            if self
                .append(Author::Member(author.clone()), record)
                .is_some()
                && suspects
            {
                self.suspected.retain(|(m, _)| *m != member);
                self.suspected.push((member, self.now_ms));
            }
        }
    }

    fn suspected_for(&self, member: &Member) -> u64 {
        let row = self.suspected.iter().find(|(m, _)| m == member);
        row.map_or(0, |(_, since_ms)| self.now_ms - since_ms)
    }
}
