//! Tells the keepers of origins where this VM's streams began, and asks other VMs about theirs.

use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use quetzalpick_core::id::Service;
use quetzalpick_core::table::Table;
use quetzalpick_node::peer::Transport;
use tokio::time::sleep;

use crate::exchange::message::{OriginReply, OriginReport, OriginRequest, path};
use crate::exchange::{Client, Keepers};
use crate::origin::Origin;
use crate::place::EngineControl;
use crate::serve::OriginSearch;
use crate::sync::lock;

/// Shortest pause in which streams are collected for one report.
const REPORT_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two reports per member, used with many VMs so that the keepers' work stays constant.
const MEMBER_PAUSE: Duration = Duration::from_millis(1);

/// Longest time for a keeper's answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause after a report that a keeper did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest time for another VM's answer to a request for an origin.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

impl<N: EngineControl, P: Transport> Client<N, P> {
    /// Reports origins until cancelled.
    pub(crate) async fn report_origins(&self) {
        loop {
            self.origins.changed().await;
            sleep(REPORT_PAUSE.max(MEMBER_PAUSE * self.member_count())).await;
            let keepers = self.with_keepers(Keepers::present);
            self.origins.retain_keepers(&keepers);
            let reports = keepers.iter().map(|keeper| self.report_to(keeper));
            let told = join_all(reports).await;
            if told.contains(&false) {
                sleep(RETRY_PAUSE).await;
                self.origins.keepers_changed(self.clock.now_ms());
            }
        }
    }

    fn with_keepers<T>(&self, read: impl FnOnce(&Keepers) -> T) -> T {
        read(&lock(&self.keepers))
    }

    /// Reports to one keeper; returns whether it knows all of this VM's streams now.
    async fn report_to(&self, keeper: &str) -> bool {
        let batch = self.origins.untold(self.clock.now_ms(), keeper);
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
            .call_vm(keeper, path::ORIGINS, &report, REPORT_TIMEOUT)
            .await;
        let told = answer == Some(true);
        if told {
            self.origins.record_told(keeper, batch.next);
        }
        told
    }

    /// Asks the keepers and some other VMs where a stream began.
    pub(super) async fn search_origin(
        &self,
        service: &Service,
        attempt: Option<&str>,
    ) -> OriginSearch {
        let request = OriginRequest {
            service: service.clone(),
            attempt: attempt.map(str::to_owned),
        };
        let mut addresses = self.with_keepers(|keepers| keepers.recent().to_vec());
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
            let Some(OriginReply { origin, builds }) = reply else {
                continue;
            };
            search.answered += 1;
            search.builds.extend(builds);
            if origin.is_some() {
                search.origin = origin;
                break;
            }
        }
        search
    }
}
