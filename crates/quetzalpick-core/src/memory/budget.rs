//! A limit for the bytes that a process holds for its callers.

use std::cmp::Reverse;

use crate::memory::account::{Account, Taken};
use crate::memory::holding::{Holding, Kind};
use crate::table::Table;

/// Largest holding that may use the whole limit, in bytes.
const SMALL_BYTES: u64 = 64 * 1024;

/// Part of the limit that is kept for small holdings, as a divisor.
const SMALL_DIVISOR: u64 = 4;

/// Part of the limit up to which unread answers and events take bytes, as a divisor.
const BUFFER_DIVISOR: u64 = 2;

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

/// `Turn` orders the holdings that give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// It makes no progress since this time, in ms; what an endpoint sends goes first.
    Stalled { is_body: bool, since_ms: u64 },
    /// It still arrives, and has this many bytes.
    Arriving(Reverse<u64>),
}

/// `Budget` divides a number of bytes among holders.
///
/// What is held goes before what is asked for, so that a complete transfer is never broken off. When bytes are short, stalled
/// transfers lose theirs, those of endpoints and then the longest stalled first, then long answers of endpoints that still arrive, the
/// longest first. A part is left to small holdings and to what the VM itself needs.
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

    /// Returns the number of bytes that it divides.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
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

    /// Gives bytes to a new holder for the body of a caller, whose transfer begins; `None` if they are short.
    pub fn open(&mut self, now_ms: u64, bytes: u64) -> Option<Grant> {
        self.open_as(now_ms, Kind::Body, bytes)
    }

    /// Gives bytes to a new holder of a kind, whose transfer begins; `None` if they are short.
    pub fn open_as(&mut self, now_ms: u64, kind: Kind, bytes: u64) -> Option<Grant> {
        let holder = Holder(self.next);
        let evicted = self.make_room(now_ms, holder, kind, bytes)?;
        self.next += 1;
        let taken = self.account.take(bytes);
        self.holdings
            .insert(holder, Holding::new(now_ms, kind, taken));
        Some(Grant { holder, evicted })
    }

    /// Gives more bytes to a holder; `None` if they are short or it has lost what it held.
    pub fn grow(&mut self, now_ms: u64, holder: Holder, bytes: u64) -> Option<Grant> {
        let kind = self.holdings.get(&holder)?.kind();
        let evicted = self.make_room(now_ms, holder, kind, bytes)?;
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
        (needed <= self.limit_bytes / BUFFER_DIVISOR).then(|| self.account.take(bytes))
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
        kind: Kind,
        bytes: u64,
    ) -> Option<Vec<Holder>> {
        let own = self.holdings.get(&holder);
        let own = own.map_or(0, |own| own.taken.bytes());
        let limit = self.limit(kind, own.saturating_add(bytes));
        let held = self.account.held_bytes();
        let needed = held.saturating_add(bytes);
        let mut excess = needed.saturating_sub(limit);
        // A body alone is not held to the part that others leave; what an endpoint sends is.
        let is_sole = held == own && !kind.is_of_endpoint();
        if excess == 0 || (is_sole && needed <= self.limit_bytes.saturating_mul(SOLE_FACTOR)) {
            return Some(Vec::new());
        }
        let mut evicted = Vec::new();
        for (_, other, held) in self.yielding(now_ms, holder, kind) {
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

    /// Returns the holders that give way to a holder of a kind, with their order and bytes, the first one first.
    fn yielding(&self, now_ms: u64, holder: Holder, kind: Kind) -> Vec<(Turn, Holder, u64)> {
        let turn = |holding: &Holding| {
            let (bytes, is_body) = (holding.taken.bytes(), !holding.kind().is_of_endpoint());
            let stalled = holding.stalled_since_ms(now_ms);
            let stalled = stalled.filter(|_| kind != Kind::Event || !is_body);
            let stalled = stalled.map(|since_ms| Turn::Stalled { is_body, since_ms });
            let is_long_answer = !is_body && bytes > SMALL_BYTES;
            let yields = is_long_answer && holding.is_arriving() && !kind.is_of_endpoint();
            stalled.or_else(|| yields.then_some(Turn::Arriving(Reverse(bytes))))
        };
        let mut yielding: Vec<_> = self
            .holdings
            .iter()
            .filter(|(other, _)| **other != holder)
            .filter_map(|(other, holding)| Some((turn(holding)?, *other, holding.taken.bytes())))
            .collect();
        yielding.sort_unstable();
        yielding
    }

    /// Returns the limit for all holdings that applies to a holding of a kind and size.
    fn limit(&self, kind: Kind, bytes: u64) -> u64 {
        if kind == Kind::Event {
            self.limit_bytes / BUFFER_DIVISOR
        } else if bytes <= SMALL_BYTES || kind == Kind::Control {
            self.limit_bytes
        } else {
            self.limit_bytes - self.limit_bytes / SMALL_DIVISOR
        }
    }
}
