//! The network between gates, which drops, delays, duplicates and reorders messages.

use quetzalpick_core::id::{Incarnation, Member, Offset, Vm};
use quetzalpick_core::quota::{Ack, Answer, Peer, Transfer, TransferRequest};
use rand::RngExt;

use crate::node::Phase;
use crate::simulation::{Defect, Simulation};

/// `Message` covers all messages between gates.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    TransferRequest(Member, TransferRequest),
    Transfer(Transfer),
    Ack(Ack),
    Hints(Peer),
}

impl Simulation {
    pub(crate) fn send_transfer(&mut self, transfer: Transfer) {
        if !self.sent.contains(&transfer) {
            self.sent.push(transfer.clone());
        }
        self.send(&transfer.to.clone(), &Message::Transfer(transfer));
    }

    /// Sends a message, which may be dropped, duplicated or reordered.
    pub(crate) fn send(&mut self, to: &Member, message: &Message) {
        let Some(to) = self.nodes.iter().position(|n| n.member == *to) else {
            return;
        };
        for copy in 0..2 {
            let probability = if copy == 0 { 0.8 } else { 0.2 };
            if self.random.random_bool(probability) {
                let late = self.random.random_bool(0.1);
                let delay_ms = self.random.random_range(0..if late { 5_000 } else { 50 });
                self.network
                    .push((self.now_ms + delay_ms, to, message.clone()));
            }
        }
    }

    pub(crate) fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let nodes = &self.nodes;
        let due = |(at_ms, to, _): &(u64, usize, Message)| {
            *at_ms <= now_ms && !matches!(nodes[*to].phase, Phase::Frozen(_))
        };
        let (due, later) = std::mem::take(&mut self.network).into_iter().partition(due);
        self.network = later;
        for (_, to, message) in due {
            self.receive(to, message);
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        for (_, to, message) in std::mem::take(&mut self.network) {
            self.receive(to, message);
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        if !self.nodes[to].is_awake() {
            return;
        }
        let time = self.nodes[to].time(self.now_ms);
        match message {
            Message::TransferRequest(from, request) => self.donate(to, &from, &request),
            Message::Transfer(transfer) => {
                let ack = self.accept(to, &transfer);
                if ack.answer == Answer::Taken {
                    self.taken.push(key(&transfer));
                }
                self.send(&ack.from.clone(), &Message::Ack(ack));
            }
            Message::Ack(ack) => {
                self.subtract_late(to, &ack);
                self.nodes[to].quota.settle(time, &ack);
            }
            Message::Hints(peer) => {
                let node = &mut self.nodes[to];
                node.peers.retain(|other| other.member != peer.member);
                node.peers.push(peer);
            }
        }
    }

    fn donate(&mut self, at: usize, to: &Member, request: &TransferRequest) {
        if !self.nodes[at].is_leased(self.now_ms) {
            return;
        }
        let node = &mut self.nodes[at];
        let time = node.time(self.now_ms);
        let before = node.quota.clone();
        let Some(transfer) = node.quota.donate(time, to, request) else {
            return;
        };
        if self.defect == Defect::SubtractLate {
            node.quota = before;
            let (from, to, epoch, number) = key(&transfer);
            self.late_subtractions
                .push((from, to, epoch, number, request.clone()));
        }
        self.send_transfer(transfer);
    }

    /// Subtracts a transfer at the defective donor, which has sent it without subtracting.
    fn subtract_late(&mut self, at: usize, ack: &Ack) {
        let index = self
            .late_subtractions
            .iter()
            .position(|(from, to, epoch, number, _)| {
                (from, to, epoch, number) == (&ack.from, &ack.to, &ack.epoch, &ack.number)
            });
        if let Some(index) = index.filter(|_| ack.answer == Answer::Taken) {
            let (_, to, _, _, request) = self.late_subtractions.swap_remove(index);
            let node = &mut self.nodes[at];
            node.quota.donate(node.time(self.now_ms), &to, &request);
        }
    }

    /// Delivers a transfer to a gate, altered or answered according to the defect.
    fn accept(&mut self, at: usize, transfer: &Transfer) -> Ack {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[at];
        let time = node.time(now_ms);
        let mut altered = transfer.clone();
        let already_taken = self.taken.contains(&key(transfer));
        if self.defect == Defect::NoEpoch && !already_taken {
            let epoch = node.epoch(now_ms, &transfer.workspace);
            altered.epoch = epoch.unwrap_or(transfer.epoch);
        }
        if self.defect == Defect::NoDedup || altered.epoch != transfer.epoch {
            // The receiver has an empty replay window for a donor from which it has not received anything.
            self.aliases += 1;
            altered.from = alias(self.aliases);
        }
        let refuses = |epoch: Offset| self.defect == Defect::RefuseEpoch && altered.epoch < epoch;
        let epoch = node.epoch(now_ms, &transfer.workspace);
        let mut ack = node.quota.accept(time, &altered);
        if epoch.is_some_and(refuses) {
            ack.answer = Answer::Refused;
        }
        Ack {
            from: transfer.from.clone(),
            epoch: transfer.epoch,
            ..ack
        }
    }
}

pub(crate) fn key(transfer: &Transfer) -> (Member, Member, Offset, u64) {
    let (from, to) = (transfer.from.clone(), transfer.to.clone());
    (from, to, transfer.epoch, transfer.number)
}

fn alias(number: u64) -> Member {
    Member {
        vm: Vm::try_new("alias").expect("the name is valid"),
        incarnation: Incarnation(number),
    }
}
