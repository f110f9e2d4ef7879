//! The changes of the configuration that a leader passes on.

use bytes::Bytes;
use quetzalpick_core::table::Table;

use crate::view::Change;

/// Number of versions from which VMs get changes.
const VERSIONS_MAX: usize = 4;

/// Largest change that is passed on, in bytes: the slowest links of VMs carry it in a tenth of a second, so that
/// statuses are answered in time. A VM reads what is larger itself.
const CHANGE_MAX_BYTES: usize = 128 * 1024;

/// `Changes` holds the records of recent versions, and the changes between them.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    /// Records by version, the newest last.
    records: Vec<(u64, Bytes)>,
    /// Changes to the newest version by the version from which they start; `None` for those that are not passed on.
    changes: Table<u64, Option<Change>>,
}

impl Changes {
    /// Returns the change from a VM's version to the version in force with its record; `None` if it is not passed on.
    pub(crate) fn since(&mut self, known: u64, version: u64, record: &Bytes) -> Option<Change> {
        self.update(version, record);
        let base = self.records.iter().find(|(base, _)| *base == known);
        let (base_version, base) = base.map_or((0, &[][..]), |(known, base)| (*known, base));
        let change = || {
            let change = Change::try_new(base_version, base, record);
            let change = change.inspect_err(|error| log::warn!("lead: {error}"));
            let change = change.ok()?;
            let bytes = change.len();
            let sent = bytes <= CHANGE_MAX_BYTES;
            log::info!(
                "lead: config version={version} from={base_version} bytes={bytes} relayed={sent}"
            );
            sent.then_some(change)
        };
        let change = self.changes.get_or_insert_with(base_version, change);
        change.clone()
    }

    /// Adds the version in force if it is new.
    fn update(&mut self, version: u64, record: &Bytes) {
        if self
            .records
            .last()
            .is_some_and(|(newest, _)| *newest == version)
        {
            return;
        }
        self.records.push((version, record.clone()));
        let outdated = self.records.len().saturating_sub(VERSIONS_MAX);
        self.records.drain(..outdated);
        self.changes = Table::default();
    }
}
