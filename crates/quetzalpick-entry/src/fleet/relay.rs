//! The entries that the leader passes on, as far as they changed.

use std::sync::atomic::Ordering;

use quetzalpick_core::id::Endpoint;

use crate::exchange::EndpointsRelay;
use crate::fleet::Fleet;
use crate::fleet::row::Row;

impl Fleet {
    /// Applies the entries that the leader has read.
    pub(crate) fn apply_relay(&self, now_ms: u64, relay: EndpointsRelay) {
        let listed: Vec<Endpoint> = relay.rows.iter().map(|(name, _)| name.clone()).collect();
        for (endpoint, spec) in relay.rows {
            let Some(spec) = spec else {
                self.expire(now_ms, &endpoint);
                continue;
            };
            let state = spec.state;
            if self.update(now_ms, endpoint.clone(), spec) {
                log::info!("view: endpoint={endpoint} state={state} from=leader");
            }
        }
        if relay.complete {
            for endpoint in self.missing_from(&listed) {
                self.expire(now_ms, &endpoint);
            }
        }
        let mut builds = self.builds();
        for age in &relay.builds {
            builds.learn_age(now_ms, age);
        }
        drop(builds);
        self.learn_limits(now_ms, &relay.limits);
    }

    /// Returns the entries and limits that changed since the version that a VM has, if any; 0 stands for a VM without entries. Nothing
    /// is passed on before this VM has read the entries, or received them from a leader that had.
    pub(crate) fn relay(&self, now_ms: u64, known_version: u64) -> Option<EndpointsRelay> {
        let version = self.version.load(Ordering::Relaxed);
        if version == known_version || self.read_age_ms(now_ms).is_none() {
            return None;
        }
        let complete = known_version <= self.removed_version.load(Ordering::Relaxed);
        let rows = self.rows();
        let changed = || {
            let rows = rows.iter();
            rows.filter(|(_, row)| complete || row.version > known_version)
        };
        let entry = |row: &Row| {
            let is_present = row.expired_ms.is_none();
            is_present.then(|| row.relayed_spec(now_ms))
        };
        let builds = if complete {
            self.builds().ages(now_ms)
        } else {
            Vec::new()
        };
        Some(EndpointsRelay {
            version,
            complete,
            builds,
            rows: changed()
                .map(|(name, row)| (name.clone(), entry(row)))
                .collect(),
            limits: changed()
                .filter_map(|(name, row)| row.notice(now_ms, name))
                .collect(),
        })
    }
}
