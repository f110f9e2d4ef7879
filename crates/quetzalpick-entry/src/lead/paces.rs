//! The paces of endpoints, merged from the statuses of all VMs.

use quetzalpick_core::id::{Endpoint, Service};
use quetzalpick_core::route::pace::{Learner, Sums, USUAL_PERMILLE, paces};
use quetzalpick_core::table::Table;

use crate::exchange::PacesUpdate;
use crate::fleet::Fleet;

/// Shortest time between two updates of the paces, in ms.
const UPDATE_MS: u64 = 100;

/// Shortest time between two log lines on the paces of a service, in ms.
const LOG_MS: u64 = 2_000;

/// `PaceIndex` stores the paces of endpoints with the version of their last change, so that VMs receive only changes.
#[derive(Debug)]
pub(crate) struct PaceIndex {
    rows: Table<Endpoint, Row>,
    version: u64,
    updated_ms: u64,
    logged_ms: u64,
}

/// `Row` holds what is known of the pace of an incarnation of an endpoint.
#[derive(Debug)]
struct Row {
    service: Service,
    started_ms: Option<u64>,
    learner: Learner,
    permille: u64,
    /// Whether this leader knew its pace at any time, so that VMs were told it.
    is_known: bool,
    version: u64,
}

impl PaceIndex {
    /// Creates the index of a new leader, which goes on from the paces that the former one reported.
    ///
    /// Its versions start at the current time, so that they exceed those of a state that this VM held earlier in the term.
    pub(crate) fn new(now_ms: u64, fleet: &Fleet) -> Self {
        let mut index = Self {
            rows: Table::default(),
            version: now_ms,
            updated_ms: now_ms,
            logged_ms: now_ms,
        };
        let known = fleet.faded_paces(now_ms);
        let incarnations = fleet.incarnations();
        for (endpoint, permille) in known {
            if let Some((service, started_ms)) = incarnations.get(&endpoint) {
                let mut row = Row::new(service.clone(), started_ms, 0);
                // The others are in the median as well, but this VM may have started just now: VMs keep what they were told of them.
                if permille != USUAL_PERMILLE {
                    row.learner = Learner::with_pace(now_ms, permille);
                    row.permille = permille;
                    row.version = now_ms;
                }
                index.rows.insert(endpoint, row);
            }
        }
        index
    }

    /// Adds what a VM has observed, and updates the paces if that was not done lately.
    pub(crate) fn record(&mut self, now_ms: u64, fleet: &Fleet, observed: &[(Endpoint, Sums)]) {
        if observed.is_empty() && self.rows.is_empty() {
            return;
        }
        let is_due = now_ms >= self.updated_ms + UPDATE_MS;
        let incarnations = fleet.incarnations();
        for (endpoint, sums) in observed {
            let Some((service, started_ms)) = incarnations.get(endpoint) else {
                continue;
            };
            let is_same = |row: &Row| row.service == *service && row.started_ms == started_ms;
            if !self.rows.get(endpoint).is_some_and(is_same) {
                // VMs may have been told a pace of a former incarnation, or before the entry was gone for a while.
                self.version += 1;
                let row = Row::new(service.clone(), started_ms, self.version);
                self.rows.insert(endpoint.clone(), row);
            }
            if let Some(row) = self.rows.get_mut(endpoint) {
                row.learner.record(now_ms, *sums);
            }
        }
        if is_due {
            self.rows
                .retain(|endpoint, _| incarnations.get(endpoint).is_some());
        }
        drop(incarnations);
        if is_due {
            self.updated_ms = now_ms;
            self.update(now_ms);
        }
    }

    /// Updates the paces of all services.
    fn update(&mut self, now_ms: u64) {
        let mut services: Vec<Service> =
            self.rows.values().map(|row| row.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        let version = self.version + 1;
        let mut changes = 0;
        for service in &services {
            let mut of_service: Vec<&mut Row> = self
                .rows
                .iter_mut()
                .map(|(_, row)| row)
                .filter(|row| row.service == *service)
                .collect();
            let learners: Vec<Learner> = of_service.iter().map(|row| row.learner).collect();
            for (row, permille) in of_service.iter_mut().zip(paces(now_ms, &learners)) {
                let is_first = !row.is_known && row.learner.is_known(now_ms);
                row.is_known |= is_first;
                if row.permille != permille || is_first {
                    row.permille = permille;
                    row.version = version;
                    changes += 1;
                }
            }
        }
        if changes == 0 {
            return;
        }
        self.version = version;
        if now_ms >= self.logged_ms + LOG_MS {
            self.logged_ms = now_ms;
            services.iter().for_each(|service| self.log(service));
        }
    }

    /// Logs how the paces of a service's endpoints are spread.
    fn log(&self, service: &Service) {
        let of_service = || self.rows.iter().filter(|(_, row)| row.service == *service);
        let count = |condition: fn(u64) -> bool| {
            of_service()
                .filter(|(_, row)| condition(row.permille))
                .count()
        };
        let slowest = of_service().min_by_key(|(_, row)| row.permille);
        let (slow, fast) = (
            count(|pace| pace < USUAL_PERMILLE),
            count(|pace| pace > USUAL_PERMILLE),
        );
        if let Some((endpoint, row)) = slowest {
            log::info!(
                "lead: paces service={service} known={} slow={slow} fast={fast} slowest={endpoint} pace={}",
                of_service().count(),
                row.permille,
            );
        }
    }

    /// Returns the changes since a version that a VM has under this leader, 0 for none; `None` while no pace is known.
    ///
    /// An update without rows confirms what the VM has, which fades otherwise.
    pub(crate) fn changes_since(&self, known_version: u64) -> Option<PacesUpdate> {
        if self.rows.is_empty() {
            return None;
        }
        let rows = self.rows.iter();
        let changed = rows.filter(|(_, row)| row.version > known_version);
        Some(PacesUpdate {
            version: self.version,
            rows: changed
                .map(|(endpoint, row)| (endpoint.clone(), row.started_ms, row.permille))
                .collect(),
        })
    }
}

impl Row {
    fn new(service: Service, started_ms: Option<u64>, version: u64) -> Self {
        Self {
            service,
            started_ms,
            learner: Learner::default(),
            permille: USUAL_PERMILLE,
            is_known: false,
            version,
        }
    }
}
