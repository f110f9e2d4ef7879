//! The leader's division of what is lent.

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
            loan_ms: 2_000,
            count_ms: 2_100,
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
}

/// `Loan` is what was lent to a VM with one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
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
/// A new leader begins only when the loans of the former one are over.
#[derive(Debug, Clone)]
pub struct Allocator {
    options: Options,
    workspaces: Table<Workspace, Table<Vm, Borrower>>,
    /// Number of the last loan.
    last: u64,
}

/// A VM is lent this much more than it is asked for, in percent, as demand varies between two questions.
const HEADROOM_PERCENT: u64 = 130;

impl Allocator {
    /// Makes an allocator that has lent nothing.
    pub fn new(options: Options) -> Self {
        Self {
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
        } = question;
        let whole = PARTS_TOTAL - PARTS_TOTAL / 1_000 * self.options.floor_permille.min(1_000);
        let floor = super::floor(members, self.options.floor_permille);
        let fresh_ms = now_ms.saturating_sub(self.options.loan_ms);
        let until_ms = now_ms + self.options.count_ms;
        let borrowers = self
            .workspaces
            .get_or_insert_with(workspace.clone(), Table::default);
        let borrower = borrowers.get_or_insert_with(vm.clone(), Borrower::default);
        borrower.wanted = wanted;
        borrower.asked_ms = now_ms;
        borrower.received(received);
        borrowers.iter_mut().for_each(|(_, b)| b.tidy(now_ms));
        borrowers.retain(|_, b| b.asked_ms >= fresh_ms || !b.loans.is_empty());
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
        let loan = Loan {
            number: self.last,
            parts: share.min(whole.saturating_sub(lent)),
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
