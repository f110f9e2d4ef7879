//! Transfers that were subtracted and not yet answered.

use crate::id::{Member, Offset, Workspace};
use crate::quota::bucket::Load;
use crate::quota::replay_window::WINDOW;
use crate::quota::{Ack, Transfer};
use crate::table::Table;

/// `Outbox` numbers the transfers of one share epoch and keeps them until they are answered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Outbox {
    epoch: Offset,
    transfers: Vec<Transfer>,
    /// Next number by receiver.
    next: Table<Member, u64>,
}

impl Outbox {
    /// Enters an epoch: receivers that take transfers of the former one have declared them.
    pub(crate) fn enter(&mut self, epoch: Offset) {
        *self = Self {
            epoch,
            ..Self::default()
        };
    }

    /// Returns the unanswered transfers, oldest first.
    pub(crate) fn transfers(&self) -> &[Transfer] {
        &self.transfers
    }

    /// Tells whether another transfer to a receiver may be sent.
    pub(crate) fn has_room(&self, to: &Member) -> bool {
        let next = self.next.get(to).copied().unwrap_or_default();
        next - self.oldest(to, next) < WINDOW
    }

    /// Tells whether a transfer of a workspace to a receiver is unanswered.
    pub(crate) fn awaits(&self, to: &Member, workspace: &Workspace) -> bool {
        let same = |t: &Transfer| t.to == *to && t.workspace == *workspace;
        self.transfers.iter().any(same)
    }

    /// Makes a transfer of a load that was subtracted.
    pub(crate) fn send(
        &mut self,
        from: &Member,
        to: &Member,
        workspace: &Workspace,
        created: Offset,
        load: Load,
    ) -> Transfer {
        let next = self.next.get_or_insert_with(to.clone(), || 0);
        let number = *next;
        *next += 1;
        let transfer = Transfer {
            from: from.clone(),
            to: to.clone(),
            epoch: self.epoch,
            number,
            oldest: self.oldest(to, number),
            workspace: workspace.clone(),
            created,
            parts: load.parts,
            level_micro: load.level_micro,
        };
        self.transfers.push(transfer.clone());
        transfer
    }

    /// Removes the transfer that an answer closes.
    pub(crate) fn close(&mut self, ack: &Ack) -> Option<Transfer> {
        let same = |t: &Transfer| {
            t.to == ack.to && t.from == ack.from && t.epoch == ack.epoch && t.number == ack.number
        };
        let at = self.transfers.iter().position(same)?;
        Some(self.transfers.remove(at))
    }

    /// Returns the oldest unanswered number of a receiver.
    fn oldest(&self, to: &Member, default: u64) -> u64 {
        let mut numbers = self.transfers.iter().filter(|t| t.to == *to);
        numbers.next().map_or(default, |t| t.number)
    }
}
