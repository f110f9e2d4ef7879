//! Failure domains that operators evacuate: nothing new is sent to their endpoints.

use crate::id::{Domain, Position};
use crate::table::Table;

/// `Evacuation` tracks the evacuated failure domains as of a position in the topic in which operators name them.
///
/// After a restore of the topic from an older copy, records may be missing until operators have written them again. Until then a domain
/// remains evacuated, unless a newer record takes it back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// Domains with a record as of the position, with the earliest time at which it may have been written, in ms, if it is known.
    listed: Table<Domain, Option<u64>>,
    /// The same of domains without a record, which a restore may have lost.
    unconfirmed: Table<Domain, Option<u64>>,
    /// `None` before the first read.
    position: Option<Position>,
    /// Send time of the newest read that showed all records, in ms.
    confirmed_ms: Option<u64>,
}

/// `Read` describes a read of the topic, by this VM or another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read {
    /// Position after the read.
    pub position: Position,
    /// When it was sent, in ms; `None` if records may be missing, as it did not reach the end of the topic, or operators had not written
    /// again yet what a restore lost.
    pub confirmed_ms: Option<u64>,
}

impl Evacuation {
    /// Returns the evacuated domains, each with the earliest time at which its record may have been written, in ms, if it is known.
    pub fn domains(&self) -> Table<Domain, Option<u64>> {
        let mut domains = self.unconfirmed.clone();
        for (domain, since_ms) in self.listed.iter() {
            domains.insert(domain.clone(), *since_ms);
        }
        domains
    }

    /// Replaces the domains by all that have a record as of a read; older knowledge is not used.
    pub fn replace(&mut self, read: Read, domains: impl IntoIterator<Item = Domain>) {
        if self.is_newer_than(read.position) {
            return;
        }
        let former = self.domains();
        self.listed = domains
            .into_iter()
            .map(|domain| {
                let since_ms = former.get(&domain).copied().unwrap_or(self.confirmed_ms);
                (domain, since_ms)
            })
            .collect();
        self.unconfirmed = former;
        self.advance(read);
    }

    /// Applies the records between an earlier read and this one, in order; each tells whether its domain is evacuated from then on.
    pub fn apply(&mut self, read: Read, records: impl IntoIterator<Item = (Domain, bool)>) {
        if self.is_newer_than(read.position) {
            return;
        }
        for (domain, is_evacuated) in records {
            let known_ms = self.unconfirmed.remove(&domain);
            if !is_evacuated {
                self.listed.remove(&domain);
                continue;
            }
            let since_ms = known_ms.unwrap_or(self.confirmed_ms);
            self.listed.get_or_insert_with(domain, || since_ms);
        }
        self.advance(read);
    }

    fn is_newer_than(&self, position: Position) -> bool {
        self.position.is_some_and(|known| known > position)
    }

    fn advance(&mut self, read: Read) {
        self.position = Some(read.position);
        if read.confirmed_ms.is_some() {
            self.confirmed_ms = self.confirmed_ms.max(read.confirmed_ms);
            self.unconfirmed = Table::default();
        }
    }
}
