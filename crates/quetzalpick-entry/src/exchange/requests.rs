//! What callers' requests need from the leader and from other VMs.

use std::fmt::Debug;
use std::time::Duration;

use futures::future::join_all;
use quetzalpick_client::errors::Result as CallResult;
use quetzalpick_client::http::{Request, Response, Timeouts};
use quetzalpick_core::id::{Artifact, Endpoint, Service, Workspace};
use quetzalpick_core::limit::Need;
use quetzalpick_core::room::Report;
use quetzalpick_node::peer::Transport;

use crate::exchange::Client;
use crate::exchange::message::{
    AdapterReply, AdapterRequest, DrawRequest, DrawResult, PermitRequest, PermitResult, RoomDraw,
    path,
};
use crate::fleet::Notice;
use crate::place::EngineControl;
use crate::serve::{OriginSearch, PeerClient};

/// Longest time for the leader's answer to a request for an adapter.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time for another VM's answer to a request to lend.
const LEND_TIMEOUT: Duration = Duration::from_millis(40);

/// Longest time for the leader's answer to a draw.
const DRAW_TIMEOUT: Duration = Duration::from_millis(60);

impl<N: EngineControl, P: Transport + Debug> PeerClient for Client<N, P> {
    async fn draw(&self, workspace: &Workspace, units: u64) -> DrawResult {
        let request = DrawRequest {
            workspace: workspace.clone(),
            units,
        };
        if self.lead.is_leading() {
            return self.lead.draw(&request);
        }
        let result = self.call_leader(path::DRAW, &request, DRAW_TIMEOUT).await;
        result.unwrap_or(DrawResult::NotLeading)
    }

    async fn request_permit(
        &self,
        limit: Notice,
        need: Need,
        report: Option<Report>,
    ) -> PermitResult {
        let room = report.map(|report| RoomDraw {
            vm: self.lead.vm().clone(),
            report,
        });
        let request = PermitRequest { limit, need, room };
        if self.lead.is_leading() {
            return self.lead.draw_permit(&request);
        }
        let path = match request.limit.cold {
            Some(_) => path::COLD_PERMIT,
            None => path::PERMIT,
        };
        let result = self.call_leader(path, &request, DRAW_TIMEOUT).await;
        result.unwrap_or(PermitResult::NotLeading)
    }

    async fn borrow(&self, workspace: &Workspace, units: u64) -> u64 {
        let peers = self.peer_addresses();
        // Each VM is asked for enough that half of them suffice.
        let lenders = (peers.len() as u64 / 2).max(1);
        let request = DrawRequest {
            workspace: workspace.clone(),
            units: units.div_ceil(lenders),
        };
        let borrow_from = |peer: String| {
            let request = request.clone();
            async move {
                self.call_vm(&peer, path::LEND, &request, LEND_TIMEOUT)
                    .await
            }
        };
        let lent: Vec<Option<u64>> = join_all(peers.into_iter().map(borrow_from)).await;
        lent.into_iter().flatten().sum()
    }

    async fn find_origin(&self, service: &Service, attempt: Option<&str>) -> OriginSearch {
        self.search_origin(service, attempt).await
    }

    async fn forward(
        &self,
        endpoint: &Endpoint,
        request: Request,
        timeouts: Timeouts,
    ) -> CallResult<Response> {
        self.send_through_others(endpoint, request, timeouts).await
    }

    async fn request_adapter(&self, adapter: &Artifact) {
        let request = AdapterRequest {
            adapter: adapter.clone(),
            copies_version: self.copies_version(),
        };
        let reply: Option<AdapterReply> = if self.lead.is_leading() {
            Some(self.lead.wait_for_adapter(request).await)
        } else {
            self.call_leader(path::ADAPTER, &request, ADAPTER_TIMEOUT)
                .await
        };
        if let Some(copies) = reply.and_then(|reply| reply.copies) {
            self.apply_copies(&copies);
        }
    }
}
