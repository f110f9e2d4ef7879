//! The leader's division of what is lent.

use serde::{Deserialize, Serialize};

use crate::id::{Vm, Workspace};
use crate::rate::Parts;
use crate::record::PARTS_TOTAL;
use crate::table::Table;

/// `Options` set how rates are divided; all VMs use the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Part of each rate that is divided evenly and needs nobody's word, in thousandths.
    pub floor_permille: u64,
    /// Time for which a VM may use what it was lent, from the send of its question, in ms.
    pub loan_ms: u64,
    /// Time for which the leader counts a loan, from its answer, in ms; longer than `loan_ms` for clocks that drift.
    pub count_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            floor_permille: 500,
            loan_ms: 6_000,
            count_ms: 6_200,
        }
    }
}

/// `Question` is what a VM asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question<'a> {
    /// The VM.
    pub vm: &'a Vm,
    /// The workspace whose rate it wants.
    pub workspace: &'a Workspace,
    /// That rate, in units a second.
    pub rate: u64,
    /// Units a second that the VM is asked for.
    pub wanted: u64,
    /// Number of the newest loan of this leader that it has received; it uses no older one.
    pub received: u64,
    /// Parts that it may use of loans, whichever leader they are from.
    pub held: Parts,
}

/// `Loan` is what was lent to a VM with one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Number of the loan; it grows.
    pub number: u64,
    /// What is lent.
    pub parts: Parts,
}

/// `Counted` is a loan that may still be in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Counted {
    loan: Loan,
    until_ms: u64,
}

/// `Borrower` is a VM that asks for a workspace's rate.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Borrower {
    /// Units a second that it is asked for.
    wanted: u64,
    asked_ms: u64,
    loans: Vec<Counted>,
}

impl Borrower {
    /// Returns the parts that it may still use.
    fn held(&self, now_ms: u64) -> Parts {
        let valid = self
            .loans
            .iter()
            .filter(|counted| counted.until_ms > now_ms);
        let parts = valid.map(|counted| counted.loan.parts);
        parts.max().unwrap_or_default()
    }

    /// Forgets loans that are over.
    fn tidy(&mut self, now_ms: u64) {
        self.loans.retain(|counted| counted.until_ms > now_ms);
    }

    /// Forgets loans that a newer one has replaced.
    fn received(&mut self, number: u64) {
        self.loans.retain(|counted| counted.loan.number >= number);
    }
}

/// `Allocator` lends the part of each rate that is not divided evenly.
///
/// A new leader first renews what VMs hold of the former one, and lends more once all VMs have told what
/// they hold, or all of that is over.
#[derive(Debug, Clone)]
pub struct Allocator {
    options: Options,
    workspaces: Table<Workspace, Table<Vm, Borrower>>,
    /// Until this time loans of a former leader may be in use, in ms.
    inherits_until_ms: u64,
    /// Number of the last loan.
    last: u64,
}

/// A VM is lent this much more than it is asked for, in percent, as demand varies between two questions.
const HEADROOM_PERCENT: u64 = 130;

impl Allocator {
    /// Makes the allocator of a leader that begins now.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            inherits_until_ms: now_ms + options.count_ms,
            options,
            workspaces: Table::default(),
            last: 0,
        }
    }

    /// Lends parts of a workspace's rate to one of `members` VMs.
    pub fn lend(&mut self, now_ms: u64, question: Question<'_>, members: usize) -> Loan {
        let Question {
            vm,
            workspace,
            rate,
            wanted,
            received,
            held,
        } = question;
        let whole = PARTS_TOTAL - PARTS_TOTAL / 1_000 * self.options.floor_permille.min(1_000);
        let floor = super::floor(members, self.options.floor_permille);
        let fresh_ms = now_ms.saturating_sub(self.options.loan_ms);
        let until_ms = now_ms + self.options.count_ms;
        let borrowers = self
            .workspaces
            .get_or_insert_with(workspace.clone(), Table::default);
        let inherited = Counted {
            loan: Loan {
                number: 0,
                parts: held,
            },
            until_ms: self.inherits_until_ms,
        };
        let borrower = borrowers.get_or_insert_with(vm.clone(), || Borrower {
            loans: vec![inherited],
            ..Borrower::default()
        });
        borrower.wanted = wanted;
        borrower.asked_ms = now_ms;
        borrower.received(received);
        borrowers.iter_mut().for_each(|(_, b)| b.tidy(now_ms));
        let inherits = now_ms < self.inherits_until_ms;
        borrowers.retain(|_, b| inherits || b.asked_ms >= fresh_ms || !b.loans.is_empty());
        let asking = || borrowers.values().filter(|b| b.asked_ms >= fresh_ms);
        let needs = asking().map(|b| need(b.wanted, rate, floor));
        let share = share(
            whole,
            need(wanted, rate, floor),
            needs.sum(),
            asking().count() as u64,
        );
        let others = borrowers.iter().filter(|(name, _)| *name != vm);
        let lent: Parts = others.map(|(_, b)| b.held(now_ms)).sum();
        self.last += 1;
        let mut parts = share.min(whole.saturating_sub(lent));
        let all_known = borrowers.len() >= members;
        if now_ms < self.inherits_until_ms && !all_known {
            // What a VM holds of a former leader may be renewed, and no more: others may hold the rest.
            parts = parts.min(held);
        }
        let loan = Loan {
            number: self.last,
            parts,
        };
        if let Some(borrower) = borrowers.get_mut(vm) {
            borrower.loans.push(Counted { loan, until_ms });
        }
        loan
    }
}

/// Returns the parts that a VM needs beyond its floor.
fn need(wanted: u64, rate: u64, floor: Parts) -> Parts {
    let wanted = u128::from(wanted) * u128::from(HEADROOM_PERCENT) / 100;
    let parts = wanted * u128::from(PARTS_TOTAL) / u128::from(rate.max(1));
    u64::try_from(parts)
        .unwrap_or(u64::MAX)
        .saturating_sub(floor)
        .min(PARTS_TOTAL)
}

/// Returns what a VM should get of the whole: its need and an even part of what nobody needs, or its part by need.
fn share(whole: Parts, need: Parts, needs: Parts, asking: u64) -> Parts {
    if needs <= whole {
        return need + (whole - needs) / asking.max(1);
    }
    let parts = u128::from(whole) * u128::from(need) / u128::from(needs);
    u64::try_from(parts).unwrap_or(whole)
}
