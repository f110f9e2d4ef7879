//! Transfers subtracted from the donor's buckets but not yet answered.

use crate::id::{Member, Offset, Workspace};
use crate::quota::bucket::Portion;
use crate::quota::replay_window::WINDOW;
use crate::quota::{Ack, Transfer};
use crate::table::Table;

/// `PendingTransfers` numbers the transfers of one share epoch and stores them until they are answered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct PendingTransfers {
    epoch: Offset,
    transfers: Vec<Transfer>,
    /// Next sequence number by receiver.
    next: Table<Member, u64>,
}

impl PendingTransfers {
    /// Enters an epoch and drops the transfers of the former one: receivers that accepted any have declared them.
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

    /// Returns whether another transfer to a receiver fits into its replay window.
    pub(crate) fn can_send(&self, to: &Member) -> bool {
        let next = self.next.get(to).copied().unwrap_or_default();
        next - self.oldest(to, next) < WINDOW
    }

    /// Returns whether any transfer of a workspace to a receiver is unanswered.
    pub(crate) fn is_pending(&self, to: &Member, workspace: &Workspace) -> bool {
        let same = |t: &Transfer| t.to == *to && t.workspace == *workspace;
        self.transfers.iter().any(same)
    }

    /// Creates and stores a transfer of a portion that was subtracted.
    pub(crate) fn create(
        &mut self,
        from: &Member,
        to: &Member,
        workspace: &Workspace,
        created: Offset,
        portion: Portion,
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
            parts: portion.parts,
            level_micro: portion.level_micro,
        };
        self.transfers.push(transfer.clone());
        transfer
    }

    /// Removes and returns the transfer that an answer refers to.
    pub(crate) fn complete(&mut self, ack: &Ack) -> Option<Transfer> {
        let same = |t: &Transfer| {
            t.to == ack.to && t.from == ack.from && t.epoch == ack.epoch && t.number == ack.number
        };
        let index = self.transfers.iter().position(same)?;
        Some(self.transfers.remove(index))
    }

    /// Returns the lowest unanswered number of a receiver, or `default` if there is none.
    fn oldest(&self, to: &Member, default: u64) -> u64 {
        let mut numbers = self.transfers.iter().filter(|t| t.to == *to);
        numbers.next().map_or(default, |t| t.number)
    }
}
