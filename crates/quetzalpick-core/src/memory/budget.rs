//! A limit for the bytes that a process holds for its callers.

use crate::memory::account::{Account, Taken};
use crate::memory::holding::{Class, Holding};
use crate::table::Table;

/// Largest holding that may use the whole limit, in bytes.
const SMALL_BYTES: u64 = 64 * 1024;

/// Part of the limit that is kept for small holdings, as a divisor.
const SMALL_DIVISOR: u64 = 4;

/// Part of the limit up to which answers take bytes, as a divisor.
const ANSWER_DIVISOR: u64 = 2;

/// Multiple of the limit that one holding alone may use.
const SOLE_FACTOR: u64 = 2;

/// `Holder` identifies one holding of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder(u64);

/// `Grant` holds the result of a successful request for bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The holding.
    pub holder: Holder,
    /// Stalled holdings that lost their bytes to it.
    pub evicted: Vec<Holder>,
}

/// `Usage` counts what a budget has given and refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes held now.
    pub held_bytes: u64,
    /// Largest number of bytes held at once.
    pub peak_bytes: u64,
    /// Requests for bytes that were refused.
    pub refused: u64,
    /// Holdings that lost their bytes because they were stalled.
    pub evicted: u64,
}

/// `Budget` divides a number of bytes among holders.
///
/// What is held goes before what is asked for, so that a complete transfer is never broken off. When bytes are short, stalled
/// transfers lose theirs, answers before bodies and the longest stalled first, and a part is left to small holdings. Answers take
/// bytes only while a part of the limit suffices for all that is held, and no body gives way to them.
#[derive(Debug)]
pub struct Budget {
    limit_bytes: u64,
    next: u64,
    holdings: Table<Holder, Holding>,
    account: Account,
    refused: u64,
    evicted: u64,
}

impl Budget {
    /// Creates a budget of a number of bytes.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            next: 0,
            holdings: Table::default(),
            account: Account::default(),
            refused: 0,
            evicted: 0,
        }
    }

    /// Returns what is held, and what was refused.
    pub fn usage(&self) -> Usage {
        Usage {
            held_bytes: self.account.held_bytes(),
            peak_bytes: self.account.peak_bytes(),
            refused: self.refused,
            evicted: self.evicted,
        }
    }

    /// Gives bytes to a new holder, whose body begins; `None` if they are short.
    pub fn open(&mut self, now_ms: u64, bytes: u64) -> Option<Grant> {
        self.open_as(now_ms, Class::Body, bytes)
    }

    /// Gives bytes to a new holder, an answer of which a part is kept; `None` if they are short.
    pub fn open_answer(&mut self, now_ms: u64, bytes: u64) -> Option<Grant> {
        self.open_as(now_ms, Class::Answer, bytes)
    }

    fn open_as(&mut self, now_ms: u64, class: Class, bytes: u64) -> Option<Grant> {
        let holder = Holder(self.next);
        let evicted = self.make_room(now_ms, holder, class, bytes)?;
        self.next += 1;
        let taken = self.account.take(bytes);
        self.holdings
            .insert(holder, Holding::new(now_ms, class, taken));
        Some(Grant { holder, evicted })
    }

    /// Gives more bytes to a holder; `None` if they are short or it has lost what it held.
    pub fn grow(&mut self, now_ms: u64, holder: Holder, bytes: u64) -> Option<Grant> {
        let class = self.holdings.get(&holder)?.class;
        let evicted = self.make_room(now_ms, holder, class, bytes)?;
        let holding = self.holdings.get_mut(&holder)?;
        holding.taken.merge(self.account.take(bytes));
        Some(Grant { holder, evicted })
    }

    /// Takes back what a holder has above a number of bytes.
    pub fn shrink_to(&mut self, holder: Holder, bytes: u64) {
        if let Some(holding) = self.holdings.get_mut(&holder) {
            self.account.give_back(holding.taken.split_above(bytes));
        }
    }

    /// Records bytes that arrived for a holder.
    pub fn record(&mut self, now_ms: u64, holder: Holder, arrived: u64) {
        if let Some(holding) = self.holdings.get_mut(&holder) {
            holding.record(now_ms, arrived);
        }
    }

    /// Marks a transfer as complete; returns whether the holder still has its bytes, which it then keeps until it closes.
    pub fn complete(&mut self, holder: Holder) -> bool {
        let holding = self.holdings.get_mut(&holder);
        let is_held = holding.is_some();
        holding.into_iter().for_each(Holding::complete);
        is_held
    }

    /// Takes back all bytes of a holder, if it has not lost them.
    pub fn close(&mut self, holder: Holder) {
        if let Some(holding) = self.holdings.remove(&holder) {
            self.account.give_back(holding.taken);
        }
    }

    /// Takes bytes for an answer that is not read yet; `None` if half of the limit does not suffice for them beside all that is held.
    pub fn buffer(&mut self, bytes: u64) -> Option<Taken> {
        let needed = self.account.held_bytes().checked_add(bytes)?;
        (needed <= self.limit_bytes / ANSWER_DIVISOR).then(|| self.account.take(bytes))
    }

    /// Takes back bytes of an answer.
    pub fn unbuffer(&mut self, taken: Taken) {
        self.account.give_back(taken);
    }

    /// Makes room for more bytes of a holder and returns the holders that lost theirs; changes nothing if there is none.
    fn make_room(
        &mut self,
        now_ms: u64,
        holder: Holder,
        class: Class,
        bytes: u64,
    ) -> Option<Vec<Holder>> {
        let own = self
            .holdings
            .get(&holder)
            .map_or(0, |own| own.taken.bytes());
        let limit = self.limit(class, own.saturating_add(bytes));
        let held = self.account.held_bytes();
        let needed = held.saturating_add(bytes);
        let mut excess = needed.saturating_sub(limit);
        // A body alone is not held to the part that others leave.
        let is_sole = class == Class::Body && held == own;
        if excess == 0 || (is_sole && needed <= self.limit_bytes.saturating_mul(SOLE_FACTOR)) {
            return Some(Vec::new());
        }
        let mut stalled: Vec<(Class, u64, Holder, u64)> = self
            .holdings
            .iter()
            .filter(|(other, holding)| **other != holder && holding.class <= class)
            .filter_map(|(other, holding)| {
                let since_ms = holding.stalled_since_ms(now_ms)?;
                Some((holding.class, since_ms, *other, holding.taken.bytes()))
            })
            .collect();
        stalled.sort_unstable();
        let mut evicted = Vec::new();
        for (.., other, held) in stalled {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(held);
            evicted.push(other);
        }
        if excess > 0 {
            self.refused += 1;
            return None;
        }
        evicted.iter().for_each(|other| self.close(*other));
        self.evicted += evicted.len() as u64;
        Some(evicted)
    }

    /// Returns the limit for all holdings that applies to a holding of a size.
    fn limit(&self, class: Class, bytes: u64) -> u64 {
        if class == Class::Answer {
            self.limit_bytes / ANSWER_DIVISOR
        } else if bytes <= SMALL_BYTES {
            self.limit_bytes
        } else {
            self.limit_bytes - self.limit_bytes / SMALL_DIVISOR
        }
    }
}
