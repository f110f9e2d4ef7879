//! Tells the registrars of origins where this VM's streams began, and asks other VMs about theirs.

use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use quetzalpick_core::id::Service;
use quetzalpick_core::table::Table;
use quetzalpick_node::peer::Transport;
use tokio::time::sleep;

use crate::exchange::message::{OriginReply, OriginReport, OriginRequest, path};
use crate::exchange::{Client, Registrars};
use crate::origin::Origin;
use crate::place::EngineControl;
use crate::serve::OriginSearch;
use crate::sync::lock;

/// Shortest pause in which streams are collected for one report.
const REPORT_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two reports per member, used with many VMs so that the registrars' work stays constant.
const MEMBER_PAUSE: Duration = Duration::from_millis(1);

/// Longest time for a registrar's answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause after a report that a registrar did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest time for another VM's answer to a request for an origin.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

impl<N: EngineControl, P: Transport> Client<N, P> {
    /// Reports origins until cancelled.
    pub(crate) async fn report_origins(&self) {
        loop {
            tokio::select! {
                () = self.origins.changed() => {}
                // Streams that are under way may be taken up at a VM that knows both builds.
                () = self.fleet.build_added.notified() => {
                    self.origins.share(self.clock.now_ms());
                    continue;
                }
            }
            sleep(REPORT_PAUSE.max(MEMBER_PAUSE * self.member_count())).await;
            let registrars = self.with_registrars(Registrars::present);
            self.origins.retain_registrars(&registrars);
            let reports = registrars.iter().map(|registrar| self.report_to(registrar));
            let told = join_all(reports).await;
            if told.contains(&false) {
                sleep(RETRY_PAUSE).await;
                self.origins.registrars_changed(self.clock.now_ms());
            }
        }
    }

    fn with_registrars<T>(&self, read: impl FnOnce(&Registrars) -> T) -> T {
        read(&lock(&self.registrars))
    }

    /// Reports to one registrar; returns whether it knows all of this VM's streams now.
    async fn report_to(&self, registrar: &str) -> bool {
        let batch = self.origins.untold(self.clock.now_ms(), registrar);
        if batch.rows.is_empty() {
            return true;
        }
        let mut rows: Table<Origin, Vec<String>> = Table::default();
        for (attempt, origin) in batch.rows {
            rows.get_or_insert_with(origin, Vec::default).push(attempt);
        }
        let report = OriginReport {
            rows: rows.iter().map(|(o, a)| (o.clone(), a.clone())).collect(),
        };
        let answer = self
            .call_vm(registrar, path::ORIGINS, &report, REPORT_TIMEOUT)
            .await;
        let told = answer == Some(true);
        if told {
            self.origins.record_told(registrar, batch.next);
        }
        told
    }

    /// Asks the registrars and some other VMs where a stream began.
    pub(super) async fn search_origin(
        &self,
        service: &Service,
        attempt: Option<&str>,
    ) -> OriginSearch {
        let request = OriginRequest {
            service: service.clone(),
            attempt: attempt.map(str::to_owned),
        };
        let mut addresses = self.with_registrars(|registrars| registrars.recent().to_vec());
        addresses.extend(self.peer_addresses());
        addresses.sort_unstable();
        addresses.dedup();
        let calls = addresses
            .iter()
            .map(|address| self.call_vm(address, path::ORIGIN, &request, REQUEST_TIMEOUT));
        let mut replies: FuturesUnordered<_> = calls.collect();
        let mut search = OriginSearch {
            asked: addresses.len(),
            ..OriginSearch::default()
        };
        while let Some(reply) = replies.next().await {
            let Some(reply) = reply else {
                continue;
            };
            let OriginReply {
                origin,
                builds,
                is_complete,
            } = reply;
            search.answered += 1;
            search.is_complete |= is_complete;
            search.builds.extend(builds);
            if origin.is_some() {
                search.origin = origin;
                break;
            }
        }
        search
    }
}
