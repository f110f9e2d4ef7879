//! The schemes in which each gate holds a share of the quotas: the static split, and shares that gates transfer.

use quetzalpick_core::id::Member;
use quetzalpick_core::quota::{Charge, Debit, Peer, Quota, Transfer};
use quetzalpick_core::record::{Author, Change, Record};
use quetzalpick_core::state::State;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::compare::gates::{apply, build_fleet, workspace_id};
use crate::compare::scheme::{MESSAGE_LOSS, Request, Scheme};

/// Maximum number of peers asked for tokens per request.
const MAX_DONORS: usize = 5;

/// `EscrowShares` simulates gates that hold shares of the quotas; without transfers it is the static split.
pub(crate) struct EscrowShares {
    state: State,
    members: Vec<Member>,
    quotas: Vec<Quota>,
    /// Each gate's hints as of the last tick.
    peers: Vec<Peer>,
    /// Whether gates transfer shares.
    transfers: bool,
    /// Gate that is unreachable.
    unreachable: Option<usize>,
    messages: u64,
    random: Pcg64Mcg,
}

impl EscrowShares {
    pub(crate) fn new(count: usize, transfers: bool, seed: u64) -> Self {
        let (state, members, quotas) = build_fleet(count);
        Self {
            state,
            members,
            quotas,
            peers: Vec::new(),
            transfers,
            unreachable: None,
            messages: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn sync(&mut self, now_ms: u64) {
        for quota in &mut self.quotas {
            quota.sync(now_ms, &self.state);
        }
    }

    /// Counts a message and returns whether it arrives.
    fn send(&mut self) -> bool {
        self.messages += 1;
        !self.random.random_bool(MESSAGE_LOSS)
    }

    /// Delivers a transfer and its acknowledgement; either message may be lost.
    fn deliver(&mut self, now_ms: u64, transfer: &Transfer) {
        let to = self.index_of(&transfer.to);
        if !self.send() || self.unreachable == Some(to) {
            return;
        }
        let ack = self.quotas[to].accept(now_ms, transfer);
        if self.send() {
            let from = self.index_of(&transfer.from);
            self.quotas[from].settle(now_ms, &ack);
        }
    }

    fn index_of(&self, member: &Member) -> usize {
        let index = self.members.binary_search(member);
        index.expect("all members are in the fleet")
    }

    fn charge(&mut self, now_ms: u64, request: &Request) -> Charge {
        let name = workspace_id(request.workspace);
        self.quotas[request.gate].charge(now_ms, &name, request.tokens)
    }

    /// Requests missing tokens from the peers whose hints show the most, one by one, until the request can be charged.
    fn collect_missing(
        &mut self,
        now_ms: u64,
        request: &Request,
        mut missing: u64,
    ) -> Option<Debit> {
        let name = workspace_id(request.workspace);
        let donors = self.quotas[request.gate].donors_for(&name, missing, &self.peers);
        let donors: Vec<Member> = donors.into_iter().take(MAX_DONORS).cloned().collect();
        for donor in donors {
            let transfer_request =
                self.quotas[request.gate].transfer_request(now_ms, &name, missing)?;
            let from = self.index_of(&donor);
            if !self.send() || self.unreachable == Some(from) {
                continue;
            }
            let to = &self.members[request.gate];
            if let Some(transfer) = self.quotas[from].donate(now_ms, to, &transfer_request) {
                self.deliver(now_ms, &transfer);
            }
            match self.charge(now_ms, request) {
                Charge::Granted(debit) => return Some(debit),
                Charge::Short {
                    missing: remaining, ..
                } => missing = remaining,
                Charge::TooLarge { .. } => return None,
            }
        }
        None
    }
}

impl Scheme for EscrowShares {
    type Debit = Debit;

    fn admit(&mut self, now_ms: u64, request: &Request) -> Option<Debit> {
        match self.charge(now_ms, request) {
            Charge::Granted(debit) => Some(debit),
            Charge::Short { missing, .. } if self.transfers => {
                self.collect_missing(now_ms, request, missing)
            }
            _ => None,
        }
    }

    fn refund(&mut self, now_ms: u64, request: &Request, debit: Debit, unused: u64) {
        self.quotas[request.gate].refund(now_ms, debit, unused);
    }

    fn tick(&mut self, now_ms: u64) {
        if !self.transfers {
            return;
        }
        // Hints are sent with the regular peer exchange, so they are not counted as messages.
        let hints = self.quotas.iter_mut().map(|quota| quota.hints(now_ms));
        let peers = self.members.iter().zip(hints);
        self.peers = peers
            .map(|(member, hints)| Peer {
                member: member.clone(),
                hints,
            })
            .collect();
        for index in 0..self.quotas.len() {
            if self.unreachable == Some(index) {
                continue;
            }
            let mut pending = self.quotas[index].unacknowledged().to_vec();
            let others = self
                .peers
                .iter()
                .filter(|p| p.member != self.members[index]);
            let others: Vec<Peer> = others.cloned().collect();
            pending.extend(self.quotas[index].rebalance(now_ms, &others));
            for transfer in pending {
                self.deliver(now_ms, &transfer);
            }
        }
    }

    fn mark_unreachable(&mut self, gate: usize) {
        self.unreachable = Some(gate);
    }

    /// Starts a new share epoch: the remaining gates declare their shares, and what is missing is distributed again.
    fn retire(&mut self, now_ms: u64, gate: usize) {
        let vm = self.members[gate].vm.clone();
        let author = Author::Operator("compare".to_owned());
        apply(
            &mut self.state,
            author,
            Record::Change(Change::RetireVm(vm)),
        );
        self.sync(now_ms);
        for index in 0..self.quotas.len() {
            if let Some(declaration) = self.quotas[index].declaration().cloned() {
                let author = Author::Member(self.members[index].clone());
                apply(&mut self.state, author, Record::Declare(declaration));
            }
        }
        self.sync(now_ms);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
