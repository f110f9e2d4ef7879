//! Endpoints that are cold, and so take few requests, as known to this VM.

use quetzalpick_core::id::{Domain, Endpoint, Service};
use quetzalpick_core::limit::Warmup;
use quetzalpick_core::table::Table;
use strum::Display;

use crate::fleet::limited::Limited;
use crate::fleet::row::Row;
use crate::fleet::{Fleet, Pick};
use crate::sync::lock;

/// Time after the first read of the entries, or a long pause of reads, in which endpoints that started long before may write theirs
/// again, in ms.
const REWRITE_MS: u64 = 10_000;

/// `Source` tells from where it is known that an endpoint is cold, for the log.
#[derive(Debug, Clone, Copy, Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Source {
    /// Its entry.
    Entry,
    /// An answer to this VM.
    Answer,
    /// Another VM.
    OtherVm,
    /// It is new here, its entry says nothing of that, and endpoints of its service are cold after a start.
    Start,
    /// Its failure domain is used again after a time without requests.
    Idle,
}

impl Fleet {
    /// Replaces how the endpoints of services start, by service; services whose endpoints are not cold then are left out.
    pub fn set_warmups(&self, warmups: Table<Service, Warmup>) {
        let mut rows = self.rows();
        for (_, row) in rows.iter_mut() {
            row.limited.warmup = warmups.get(&row.spec.service).copied();
        }
        *lock(&self.warmups) = warmups;
    }

    /// Takes the endpoints of a failure domain to be cold for as long as after a start, as requests are sent there again after a time
    /// without: their entries may not say yet that they are.
    pub fn assume_cold(&self, now_ms: u64, domain: &Domain) {
        let mut rows = self.rows();
        let in_domain = rows
            .iter_mut()
            .filter(|(_, row)| row.spec.domain == *domain);
        for (endpoint, row) in in_domain {
            let Some(warmup) = row.limited.warmup else {
                continue;
            };
            if row.limited.cold.observe(now_ms, warmup.duration_ms) {
                row.version = self.next_version();
                log_cold(endpoint, &row.limited, warmup.duration_ms, Source::Idle);
            }
        }
    }

    /// Applies for how much longer an endpoint is cold, in ms, as it says in an answer to this VM.
    pub(crate) fn observe_cold(&self, now_ms: u64, pick: &Pick, left_ms: u64) {
        let mut rows = self.rows();
        let row = rows.get_mut(&pick.endpoint);
        let Some(row) = row.filter(|row| row.spec.started_ms == pick.started_ms) else {
            return;
        };
        if row.limited.observe_cold(now_ms, left_ms) {
            row.version = self.next_version();
            log_cold(&pick.endpoint, &row.limited, left_ms, Source::Answer);
            // Other VMs go on sending without permits until they hear of it.
            self.room_changed.notify_one();
        }
    }

    /// Applies what the entry of an endpoint, whose row it has become, says of being cold, and what is assumed of one that is new.
    /// Returns whether that changes anything for other VMs.
    pub(super) fn apply_cold_entry(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        row: &mut Row,
        is_new: bool,
    ) -> bool {
        let limited = &mut row.limited;
        limited.warmup = lock(&self.warmups).get(&row.spec.service).copied();
        let said_ms = row.spec.cold_ms.unwrap_or_default();
        let watched_ms = self.builds().watched_ms(now_ms);
        let started = is_new && watched_ms.is_some_and(|ms| ms >= REWRITE_MS);
        let assumed = limited
            .warmup
            .filter(|_| started && row.spec.cold_ms.is_none());
        let (left_ms, source) = match assumed {
            Some(warmup) => (warmup.duration_ms, Source::Start),
            None => (said_ms, Source::Entry),
        };
        let is_news = limited.cold.observe(now_ms, left_ms);
        if is_news {
            log_cold(endpoint, limited, left_ms, source);
        }
        is_news
    }
}

/// Logs that an endpoint is cold for longer than was known.
pub(super) fn log_cold(endpoint: &Endpoint, limited: &Limited, left_ms: u64, source: Source) {
    if let Some(warmup) = limited.warmup {
        log::info!(
            "entry: endpoint={endpoint} cold left_ms={left_ms} limit={} source={source}",
            warmup.rate
        );
    }
}
