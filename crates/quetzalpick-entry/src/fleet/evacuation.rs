//! Endpoints of evacuated failure domains: they get no new requests, whatever they say themselves.

use quetzalpick_core::id::{Domain, Endpoint, Service};
use quetzalpick_core::table::Table;

use crate::fleet::Fleet;
use crate::fleet::row::Row;

/// `Remainder` holds what is left at the endpoints of a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Remainder {
    /// Number of endpoints.
    pub(crate) endpoints: u64,
    /// Requests of this VM in flight there.
    pub(crate) in_flight: u64,
}

impl Row {
    /// Returns whether its failure domain is not evacuated.
    pub(crate) fn is_in_use(&self) -> bool {
        self.grace_end_ms.is_none()
    }

    /// Returns whether it must get no requests any more: its failure domain is evacuated, and the time for requests that no other
    /// endpoint can take is over.
    pub(crate) fn is_evacuated(&self, now_ms: u64) -> bool {
        self.grace_end_ms.is_some_and(|until_ms| now_ms >= until_ms)
    }
}

impl Fleet {
    /// Replaces the evacuated failure domains. Until the given times, in ms, they get the requests that no other endpoint can take, while
    /// models are loaded elsewhere.
    pub fn set_evacuated(&self, domains: Table<Domain, u64>) {
        let mut rows = self.rows();
        for (_, row) in rows.iter_mut() {
            row.grace_end_ms = domains.get(&row.spec.domain).copied();
        }
        *self.evacuated() = domains;
    }

    /// Returns whether an endpoint must get no requests any more, as its failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let rows = self.rows();
        rows.get(endpoint)
            .is_some_and(|row| row.is_evacuated(now_ms))
    }

    /// Returns the endpoints of evacuated failure domains, sorted.
    pub(crate) fn evacuated_endpoints(&self) -> Vec<Endpoint> {
        self.endpoints_where(|row| !row.is_in_use())
    }

    /// Returns what is left at the endpoints of a failure domain.
    pub(crate) fn remainder(&self, domain: &Domain) -> Remainder {
        let rows = self.rows();
        let of_domain = rows.values().filter(|row| row.spec.domain == *domain);
        of_domain.fold(Remainder::default(), |sum, row| Remainder {
            endpoints: sum.endpoints + 1,
            in_flight: sum.in_flight + u64::from(row.in_flight),
        })
    }

    /// Returns the services all of whose endpoints are in evacuated failure domains, sorted.
    pub(crate) fn unserved_services(&self) -> Vec<Service> {
        let rows = self.rows();
        let services = |in_use: bool| {
            let rows = rows.values().filter(move |row| row.is_in_use() == in_use);
            rows.map(|row| &row.spec.service)
        };
        let mut unserved: Vec<Service> = services(false).cloned().collect();
        unserved.sort_unstable();
        unserved.dedup();
        for service in services(true) {
            unserved.retain(|other| other != service);
        }
        unserved
    }
}
