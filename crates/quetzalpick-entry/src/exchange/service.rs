//! Handles calls from other VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use quetzalpick_client::errors::{Error, Result as CallResult, unanswered};
use quetzalpick_client::http::{Attempt, Pool, Request, Response, Timeouts};
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::verdict::Verdict;
use quetzalpick_node::lifecycle::{Lifecycle, Phase};
use quetzalpick_node::peer::Service;

use crate::clock::Clock;
use crate::exchange::codec::{decode, encode};
use crate::exchange::message::{DrawRequest, OriginReply, OriginReport, OriginRequest, path};
use crate::fleet::Fleet;
use crate::lead::Leadership;
use crate::link::{CONNECT_TIMEOUT, Link};
use crate::origin::Origins;
use crate::place::EngineControl;
use crate::rate::Rates;
use crate::wire::{HeadCodec, Proof};

/// Time after which a VM that reaches no endpoints, or stops, may be asked again.
const UNUSABLE_PAUSE: Duration = Duration::from_secs(1);

/// Timeouts of a request that is passed on for another VM, which gives up earlier.
const TIMEOUTS: Timeouts = Timeouts {
    connect: CONNECT_TIMEOUT,
    head: Duration::from_secs(3_600),
    body_idle: Duration::from_secs(3_600),
};

/// `PeerHandler` dispatches calls to the peer listener by path; its clones share their state.
#[derive(Debug)]
pub(crate) struct PeerHandler<N, E> {
    pub(crate) head_codec: E,
    pub(crate) lead: Arc<Leadership<N>>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) origins: Arc<Origins>,
    pub(crate) link: Arc<Link>,
    pub(crate) lifecycle: Lifecycle,
    /// Connections to endpoints.
    pub(crate) pool: Pool,
    pub(crate) clock: Clock,
}

impl<N, E: Clone> Clone for PeerHandler<N, E> {
    fn clone(&self) -> Self {
        Self {
            head_codec: self.head_codec.clone(),
            lead: Arc::clone(&self.lead),
            rates: Arc::clone(&self.rates),
            fleet: Arc::clone(&self.fleet),
            origins: Arc::clone(&self.origins),
            link: Arc::clone(&self.link),
            lifecycle: self.lifecycle.clone(),
            pool: self.pool.clone(),
            clock: self.clock,
        }
    }
}

impl<N: EngineControl, E: HeadCodec> Service for PeerHandler<N, E> {
    async fn answer(&self, path: &str, body: Bytes) -> Option<Bytes> {
        match path {
            path::STATUS => encode(&self.lead.answer_status(decode(&body)?)),
            path::DRAW => encode(&self.lead.draw(&decode(&body)?)),
            path::PERMIT | path::COLD_PERMIT => encode(&self.lead.draw_permit(&decode(&body)?)),
            path::ROOM => encode(&self.lead.apply_room_update(&decode(&body)?)),
            path::LEND => encode(&self.lend(&decode(&body)?)),
            path::ORIGINS => encode(&self.accept_origins(decode(&body)?)),
            path::ORIGIN => encode(&self.find_origin(&decode(&body)?)),
            path::ADAPTER => encode(&self.lead.wait_for_adapter(decode(&body)?).await),
            _ => None,
        }
    }

    async fn forward(&self, endpoint: &str, request: Request) -> CallResult<Response> {
        // A process that stops may end before the answer.
        if self.link.is_lost() || self.lifecycle.phase() > Phase::Serving {
            return Err(Error::Busy {
                target: endpoint.to_owned(),
                retry_after: UNUSABLE_PAUSE,
            });
        }
        let not_run = |reason: &str| unanswered(endpoint, Verdict::NotRun, reason);
        let name = Endpoint::try_new(endpoint).map_err(|_| not_run("malformed name"))?;
        let address = self.fleet.address(&name);
        let address = address.ok_or_else(|| not_run("not known here"))?;
        if !self.fleet.may_forward(self.clock.now_ms(), &name) {
            return Err(not_run("it leaves or wants no requests"));
        }
        let started_ms = self.fleet.started_ms(&name);
        let codec = &self.head_codec;
        let attempt_id = codec.attempt_id(request.headers()).map(str::to_owned);
        let attempt = Attempt::of(&request);
        let answer = self
            .pool
            .send(&address.to_string(), request, TIMEOUTS)
            .await;
        match &answer {
            Ok(answer) => {
                self.link.record_heard();
                self.fleet
                    .observe_pause(self.clock.now_ms(), codec, &name, answer);
                let (status, headers) = (answer.status(), answer.headers());
                let arrival = attempt.arrival(answer.extensions());
                let proof = codec.proof(status, headers, attempt_id.as_deref(), arrival);
                if proof == Proof::Mismatched {
                    // Passed on, it would leave a connection whose next answer is that to this request.
                    let reason = format!("status {status} is no answer to this request");
                    return Err(unanswered(endpoint, Verdict::MayHaveRun, reason));
                }
                // A misdirected request may have reached another endpoint that has the address now.
                if answer.status() != StatusCode::MISDIRECTED_REQUEST {
                    self.fleet
                        .observe_departure(codec, &name, started_ms, answer);
                }
            }
            Err(error) if error.verdict() == Verdict::NotRun => self.link.record_failure(&name),
            Err(_) => {}
        }
        answer
    }
}

impl<N, E> PeerHandler<N, E> {
    /// Lends units from this VM's bucket.
    fn lend(&self, request: &DrawRequest) -> u64 {
        let now_ms = self.clock.now_ms();
        self.rates.lend(now_ms, &request.workspace, request.units)
    }

    /// Keeps the origins of another VM's streams.
    fn accept_origins(&self, report: OriginReport) -> bool {
        let rows = report.rows.into_iter().flat_map(|(origin, attempts)| {
            let origins = attempts.into_iter();
            origins.map(move |attempt| (attempt, origin.clone()))
        });
        self.origins.accept(self.clock.now_ms(), rows);
        true
    }

    /// Looks up where a stream began.
    fn find_origin(&self, request: &OriginRequest) -> OriginReply {
        let now_ms = self.clock.now_ms();
        let attempt = request.attempt.as_deref();
        let unmarked_ms = self.origins.unmarked_ms(&request.service);
        OriginReply {
            origin: attempt.and_then(|attempt| self.origins.find(now_ms, attempt)),
            builds: self.fleet.known_builds(now_ms, &request.service),
            is_complete: self.fleet.covers_streams(now_ms, unmarked_ms),
        }
    }
}
