//! Puts evacuations of failure domains in force at this VM, and shows what is left there.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_core::id::{Domain, Service};
use quetzalpick_core::table::Table;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::fleet::{Fleet, Remainder};
use crate::meters::Meters;
use crate::view::View;

/// Longest time from the choice of an endpoint until the request arrives there, in ms.
const ARRIVAL_MS: u64 = 1_500;

/// Interval at which metrics show what is left in evacuated failure domains.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// `EvacuationMonitor` applies the evacuated failure domains to the endpoints, and logs and counts what is left there.
#[derive(Debug)]
pub(crate) struct EvacuationMonitor {
    pub(crate) view: Arc<View>,
    pub(crate) fleet: Arc<Fleet>,
    /// Time after the record in which a domain may get requests that no other endpoint can take.
    pub(crate) grace: Duration,
    pub(crate) meters: Meters,
    pub(crate) clock: Clock,
}

/// `Shown` holds what was logged.
#[derive(Debug, Default)]
struct Shown {
    /// Evacuated domains, sorted.
    domains: Vec<Domain>,
    /// Domains of them without a known endpoint.
    unknown: Vec<Domain>,
    /// Services without endpoints elsewhere.
    unserved: Vec<Service>,
}

impl EvacuationMonitor {
    /// Runs until cancelled.
    pub(crate) async fn run(self) {
        let mut changes = self.view.evacuated();
        let mut shown = Shown::default();
        loop {
            let domains = changes.borrow_and_update().clone();
            self.apply(&mut shown, &domains);
            self.report(&mut shown);
            tokio::select! {
                changed = changes.changed() => if changed.is_err() {
                    return;
                },
                () = sleep(REPORT_INTERVAL), if !shown.domains.is_empty() => {}
            }
        }
    }

    /// Applies the evacuated domains, and logs which evacuations begin and end.
    fn apply(&self, shown: &mut Shown, evacuated: &Table<Domain, Option<u64>>) {
        let domains: Vec<Domain> = evacuated.keys().cloned().collect();
        let grace_ms = u64::try_from(self.grace.as_millis()).unwrap_or(u64::MAX);
        let grace_ms = grace_ms.saturating_sub(ARRIVAL_MS);
        // A VM that has just started does not know how old the record is.
        let until_ms = evacuated.iter().map(|(domain, since_ms)| {
            let until_ms = since_ms.map_or(0, |since_ms| since_ms.saturating_add(grace_ms));
            (domain.clone(), until_ms)
        });
        // Their entries may not say yet that endpoints which got nothing for a while are cold.
        for domain in shown.domains.iter().filter(|d| !domains.contains(d)) {
            self.fleet.assume_cold(self.clock.now_ms(), domain);
        }
        self.fleet.set_evacuated(until_ms.collect());
        for domain in domains.iter().filter(|d| !shown.domains.contains(d)) {
            self.log("begins", domain);
        }
        for domain in shown.domains.iter().filter(|d| !domains.contains(d)) {
            self.log("ends", domain);
            self.meters.evacuation(domain, None);
        }
        shown.domains = domains;
    }

    fn log(&self, event: &str, domain: &Domain) {
        let Remainder {
            endpoints,
            in_flight,
        } = self.fleet.remainder(domain);
        log::info!(
            "evacuation: domain={domain} {event} endpoints={endpoints} in_flight={in_flight}"
        );
    }

    /// Shows what is left in the evacuated domains; what looks like a mistake is logged once.
    fn report(&self, shown: &mut Shown) {
        let remainder = |domain: &Domain| self.fleet.remainder(domain);
        for domain in &shown.domains {
            self.meters
                .evacuation(domain, Some(remainder(domain).in_flight));
        }
        if self.fleet.read_age_ms(self.clock.now_ms()).is_none() {
            return;
        }
        let domains = shown.domains.iter();
        let unknown: Vec<Domain> = domains
            .filter(|domain| remainder(domain).endpoints == 0)
            .cloned()
            .collect();
        for domain in unknown.iter().filter(|d| !shown.unknown.contains(d)) {
            log::warn!("evacuation: domain={domain} no endpoint of it is known");
        }
        let unserved = self.fleet.unserved_services();
        for service in unserved.iter().filter(|s| !shown.unserved.contains(s)) {
            log::warn!("evacuation: service={service} no endpoint is left elsewhere");
        }
        (shown.unknown, shown.unserved) = (unknown, unserved);
    }
}
