//! Shares that gates hold, and, unless the split is static, transfer.

use quetzalpick_core::id::Member;
use quetzalpick_core::quota::{Charge, Debit, Peer, Quota, Transfer};
use quetzalpick_core::record::{Author, Change, Record};
use quetzalpick_core::state::State;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::compare::gates::{apply, gates, workspace};
use crate::compare::scheme::{LOSS, Request, Scheme};

/// Most peers asked for one request.
const ASKS_MAX: usize = 5;

/// `Escrow` is a fleet of gates with shares.
pub(crate) struct Escrow {
    state: State,
    members: Vec<Member>,
    quotas: Vec<Quota>,
    /// Hints as of the last tick, by gate.
    peers: Vec<Peer>,
    /// Whether gates transfer shares.
    transfers: bool,
    /// The gate that is lost.
    lost: Option<usize>,
    messages: u64,
    random: Pcg64Mcg,
}

impl Escrow {
    pub(crate) fn new(count: usize, transfers: bool, seed: u64) -> Self {
        let (state, members, quotas) = gates(count);
        Self {
            state,
            members,
            quotas,
            peers: Vec::new(),
            transfers,
            lost: None,
            messages: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn sync(&mut self, now_ms: u64) {
        for quota in &mut self.quotas {
            quota.sync(now_ms, &self.state);
        }
    }

    /// Counts a message, and tells whether it arrives.
    fn send(&mut self) -> bool {
        self.messages += 1;
        !self.random.random_bool(LOSS)
    }

    /// Delivers a transfer and its acknowledgement, either of which may be lost.
    fn deliver(&mut self, now_ms: u64, transfer: &Transfer) {
        let to = self.index(&transfer.to);
        if !self.send() || self.lost == Some(to) {
            return;
        }
        let ack = self.quotas[to].accept(now_ms, transfer);
        if self.send() {
            let from = self.index(&transfer.from);
            self.quotas[from].settle(now_ms, &ack);
        }
    }

    fn index(&self, member: &Member) -> usize {
        let at = self.members.binary_search(member);
        at.expect("all members are in the fleet")
    }

    fn charge(&mut self, now_ms: u64, request: &Request) -> Charge {
        let name = workspace(request.workspace);
        self.quotas[request.gate].charge(now_ms, &name, request.tokens)
    }

    /// Gathers missing tokens from the peers that seem to have most.
    fn gather(&mut self, now_ms: u64, request: &Request, mut missing: u64) -> Option<Debit> {
        let name = workspace(request.workspace);
        let donors = self.quotas[request.gate].donors_for(&name, missing, &self.peers);
        let donors: Vec<Member> = donors.into_iter().take(ASKS_MAX).cloned().collect();
        for donor in donors {
            let ask = self.quotas[request.gate].transfer_request(now_ms, &name, missing)?;
            let from = self.index(&donor);
            if !self.send() || self.lost == Some(from) {
                continue;
            }
            let to = &self.members[request.gate];
            if let Some(transfer) = self.quotas[from].donate(now_ms, to, &ask) {
                self.deliver(now_ms, &transfer);
            }
            match self.charge(now_ms, request) {
                Charge::Granted(receipt) => return Some(receipt),
                Charge::Short { missing: left, .. } => missing = left,
                Charge::TooLarge { .. } => return None,
            }
        }
        None
    }
}

impl Scheme for Escrow {
    type Receipt = Debit;

    fn admit(&mut self, now_ms: u64, request: &Request) -> Option<Debit> {
        match self.charge(now_ms, request) {
            Charge::Granted(receipt) => Some(receipt),
            Charge::Short { missing, .. } if self.transfers => {
                self.gather(now_ms, request, missing)
            }
            _ => None,
        }
    }

    fn refund(&mut self, now_ms: u64, request: &Request, receipt: Debit, unused: u64) {
        self.quotas[request.gate].refund(now_ms, receipt, unused);
    }

    fn tick(&mut self, now_ms: u64) {
        if !self.transfers {
            return;
        }
        // Hints ride on the peer exchange that gates have anyway, so they are no messages of their own.
        let hints = self.quotas.iter_mut().map(|quota| quota.hints(now_ms));
        let peers = self.members.iter().zip(hints);
        self.peers = peers
            .map(|(member, hints)| Peer {
                member: member.clone(),
                hints,
            })
            .collect();
        for at in 0..self.quotas.len() {
            if self.lost == Some(at) {
                continue;
            }
            let mut pending = self.quotas[at].unacknowledged().to_vec();
            let others = self.peers.iter().filter(|p| p.member != self.members[at]);
            let others: Vec<Peer> = others.cloned().collect();
            pending.extend(self.quotas[at].rebalance(now_ms, &others));
            for transfer in pending {
                self.deliver(now_ms, &transfer);
            }
        }
    }

    fn lose(&mut self, gate: usize) {
        self.lost = Some(gate);
    }

    /// Opens a share epoch: the survivors declare what they hold, and what is missing is given out again.
    fn retire(&mut self, now_ms: u64, gate: usize) {
        let vm = self.members[gate].vm.clone();
        let author = Author::Operator("compare".to_owned());
        apply(
            &mut self.state,
            author,
            Record::Change(Change::RetireVm(vm)),
        );
        self.sync(now_ms);
        for at in 0..self.quotas.len() {
            if let Some(declaration) = self.quotas[at].declaration().cloned() {
                let author = Author::Member(self.members[at].clone());
                apply(&mut self.state, author, Record::Declare(declaration));
            }
        }
        self.sync(now_ms);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
