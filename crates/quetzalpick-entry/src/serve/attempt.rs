//! One attempt: a request sent to one endpoint, and the classification of its result.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use quetzalpick_client::errors::{Error, Result as CallResult};
use quetzalpick_client::http::{Attempt, Body, Carrier, Request as HttpRequest, Timeouts};
use quetzalpick_core::verdict::Verdict;
use rand::random;
use tokio::time::timeout;

use crate::fleet::{Pick, Requirements};
use crate::link::CONNECT_TIMEOUT;
use crate::serve::request::Admitted;
use crate::serve::{Context, PeerClient, crash, permit};
use crate::wire::{Forwarding, HeadCodec, Proof};

/// Timeout for the head of an answer and for each pause in its body if neither the caller nor the operator sets one, in ms.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// Time after the deadline in which an endpoint's own timeout answer may still arrive, in ms.
const LATE_MS: u64 = 120;

/// Multiple of the latency objective after which another endpoint is asked too, if the request may be repeated.
pub(crate) const OBJECTIVE_MULTIPLE: u64 = 3;

/// Longest time for which two endpoints are asked for one stream: both may be at work on it.
pub(crate) const OVERLAP_MAX: Duration = Duration::from_millis(300);

/// Maximum number of permits that are requested for one attempt; then only endpoints that need none are picked.
const DRAWS_MAX: usize = 8;

/// `Failure` describes an attempt without an answer of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// Whether the endpoint lacks a required artifact or is another incarnation.
    pub(crate) misdirected: bool,
    /// Whether the endpoint answered that it did not run the request, other than as misdirected.
    pub(crate) declined: bool,
    /// Whether the connection ended after the request was sent, before the end of an answer and before its time was over.
    pub(crate) broken_off: bool,
    /// Connection that carried the answer, if one came.
    pub(crate) carrier: Option<Carrier>,
    /// Description for the log.
    pub(crate) reason: String,
}

impl Failure {
    /// Returns whether nothing was sent because the endpoint could not be reached.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.verdict == Verdict::NotRun && !self.misdirected && !self.declined
    }

    /// Creates the failure of a request that may have run.
    pub(crate) fn may_have_run(reason: impl ToString) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            misdirected: false,
            declined: false,
            broken_off: false,
            carrier: None,
            reason: reason.to_string(),
        }
    }

    /// Adds the connection that carried the answer.
    pub(crate) fn with_carrier(self, carrier: Option<Carrier>) -> Self {
        Self { carrier, ..self }
    }
}

/// Picks an endpoint that was not attempted yet, or else any, and obtains a permit if it needs one.
pub(crate) async fn pick<E, S: PeerClient>(
    context: &Context<E, S>,
    admitted: &Admitted,
) -> Option<Pick> {
    let artifacts = admitted.artifacts();
    for draws in 0.. {
        let requirements = Requirements {
            allows_limited: draws < DRAWS_MAX,
            ..admitted.requirements(&artifacts)
        };
        let now_ms = context.clock.now_ms();
        let mut pick = context.fleet.pick(now_ms, &requirements, random())?;
        if permit::obtain(context, &mut pick).await {
            context.meters.chosen(pick.reason);
            return Some(pick);
        }
    }
    None
}

/// Picks an endpoint that has not got the request yet and needs no permit, and withdraws a retry for it; `None` if there is none,
/// no retry is left or the time is over.
pub(crate) fn pick_backup<E, S>(context: &Context<E, S>, admitted: &Admitted) -> Option<Pick> {
    let now_ms = context.clock.now_ms();
    if admitted.left_ms(now_ms) == Some(0) || context.block(admitted).is_some() {
        return None;
    }
    let artifacts = admitted.artifacts();
    let requirements = Requirements {
        allows_limited: false,
        ..admitted.requirements(&artifacts)
    };
    let pick = context.fleet.pick(now_ms, &requirements, random())?;
    let is_new = !admitted.attempted.contains(&pick.endpoint);
    (is_new && context.withdraw(&admitted.service)).then_some(pick)
}

/// Records a failure in the endpoint's health, and whether the request may have run there.
pub(crate) fn record_failure<E, S>(
    context: &Context<E, S>,
    admitted: &mut Admitted,
    pick: &Pick,
    failure: &Failure,
) {
    let fleet = &context.fleet;
    let now_ms = context.clock.now_ms();
    if failure.declined {
        fleet.record_decline(now_ms, &pick.endpoint);
    }
    if failure.misdirected {
        fleet.record_missing(now_ms, &pick.endpoint, &admitted.artifacts());
    } else if failure.is_unreachable() {
        fleet.mark_unreachable(now_ms, &pick.endpoint);
        log::warn!("entry: endpoint={} unreachable", pick.endpoint);
    } else if !failure.declined && fleet.record_failure(now_ms, &pick.endpoint) {
        log::warn!("entry: endpoint={} ejected", pick.endpoint);
    }
    if failure.verdict != Verdict::NotRun {
        admitted.possible_runs += 1;
    }
    if failure.broken_off {
        crash::record(context, admitted, pick, false);
    }
    log::info!(
        "entry: request={} failed endpoint={} verdict={} connection={} send={} digest={:016x} reason=\"{}\"",
        admitted.id(),
        pick.endpoint,
        failure.verdict,
        carrier_name(failure.carrier),
        admitted.attempted.len(),
        admitted.digest,
        failure.reason
    );
}

/// Returns how the connection that carried an answer, and the number of the answer there, stand in the log.
pub(crate) fn carrier_name(carrier: Option<Carrier>) -> String {
    carrier.map_or_else(|| "-".to_owned(), |carrier| carrier.to_string())
}

/// `Call` is a request that is ready to be sent to a picked endpoint. It owns what it needs, so that several attempts of one
/// request can be under way at once.
#[derive(Debug)]
pub(crate) struct Call {
    request: Request<Full<Bytes>>,
    timeouts: Timeouts,
    /// Time in which the answer has to arrive, in ms.
    time_limit_ms: u64,
    attempt_id: Option<String>,
    attempt: Attempt,
}

impl Call {
    /// Prepares an attempt and adds it to those of the request; a stream is resumed after the given event.
    ///
    /// # Errors
    ///
    /// `Failure` if a header cannot be encoded.
    pub(crate) fn try_new<E: HeadCodec, S>(
        context: &Context<E, S>,
        admitted: &mut Admitted,
        pick: &Pick,
        last_event_id: Option<u64>,
    ) -> Result<Self, Failure> {
        admitted.attempted.push(pick.endpoint.clone());
        let left_ms = admitted.left_ms(context.clock.now_ms());
        let time_limit_ms = left_ms.unwrap_or(DEFAULT_TIMEOUT_MS) + LATE_MS;
        let mut request = request(context, admitted, pick, left_ms, last_event_id)?;
        let address = pick.address.to_string();
        let attempt = admitted.trail.begin(&pick.endpoint, &address, &mut request);
        Ok(Self {
            request,
            attempt,
            timeouts: timeouts(time_limit_ms),
            time_limit_ms,
            attempt_id: admitted.metadata.attempt.clone(),
        })
    }

    /// Sends the request and returns the answer once its head has arrived.
    ///
    /// # Errors
    ///
    /// `Failure` if the endpoint does not answer this request.
    pub(crate) async fn send<E: HeadCodec, S: PeerClient>(
        self,
        context: &Context<E, S>,
        pick: &Pick,
    ) -> Result<Response<Body>, Failure> {
        let now_ms = context.clock.now_ms();
        context.meters.sent();
        let answer = transmit(context, pick, self.request, self.timeouts).await;
        let in_time = context.clock.now_ms() < now_ms + self.time_limit_ms;
        let answer = answer.map_err(|error| Failure {
            verdict: error.verdict(),
            misdirected: false,
            declined: false,
            broken_off: in_time && error.verdict() == Verdict::MayHaveRun,
            carrier: None,
            reason: error.to_string(),
        })?;
        let attempt_id = self.attempt_id.as_deref();
        let carrier = answer.extensions().get::<Carrier>().copied();
        let arrival = self.attempt.arrival(answer.extensions());
        let proof =
            context
                .head_codec
                .proof(answer.status(), answer.headers(), attempt_id, arrival);
        let (fleet, codec) = (&context.fleet, &context.head_codec);
        fleet.observe_pause(context.clock.now_ms(), codec, &pick.endpoint, &answer);
        if proof != Proof::Mismatched {
            let is_own = proof != Proof::NotRun { misdirected: true };
            permit::observe(context, pick, now_ms, answer.headers(), is_own);
            if is_own {
                fleet.observe_departure(codec, &pick.endpoint, pick.started_ms, &answer);
            }
        }
        match proof {
            Proof::Answer => Ok(answer),
            Proof::NotRun { misdirected } => {
                let failure = declined(answer, misdirected).await;
                Err(failure.with_carrier(carrier))
            }
            Proof::Mismatched => {
                let reason = format!("status {} is no answer to this request", answer.status());
                answer.into_body().discard();
                Err(Failure::may_have_run(reason).with_carrier(carrier))
            }
        }
    }

    /// Returns the time in which the answer has to arrive.
    pub(crate) fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }
}

/// Sends a request to an endpoint: through another VM if this VM's link to the endpoints is lost, and directly otherwise or if no other
/// VM can be used.
async fn transmit<E, S: PeerClient>(
    context: &Context<E, S>,
    pick: &Pick,
    request: HttpRequest,
    timeouts: Timeouts,
) -> CallResult<Response<Body>> {
    if context.link.is_lost()
        && let Some(answer) = forward(context, pick, request.clone(), timeouts).await
    {
        return answer;
    }
    let address = pick.address.to_string();
    let answer = context.pool.send(&address, request.clone(), timeouts).await;
    let error = match answer {
        Ok(answer) => {
            context.link.record_heard();
            return Ok(answer);
        }
        Err(error) => error,
    };
    let was_lost = context.link.is_lost();
    if error.verdict() == Verdict::NotRun {
        context.link.record_failure(&pick.endpoint);
    }
    // Nothing was sent, and this failure may be the one that shows that the link is lost.
    if error.verdict() == Verdict::NotRun && !was_lost && context.link.is_lost() {
        let forwarded = forward(context, pick, request, timeouts).await;
        return forwarded.unwrap_or(Err(error));
    }
    Err(error)
}

/// Sends a request to an endpoint through another VM; `None` if none can be used.
async fn forward<E, S: PeerClient>(
    context: &Context<E, S>,
    pick: &Pick,
    request: HttpRequest,
    timeouts: Timeouts,
) -> Option<CallResult<Response<Body>>> {
    let forwarded = context
        .peer_client
        .forward(&pick.endpoint, request, timeouts);
    let answer = forwarded.await;
    if matches!(answer, Err(Error::Busy { .. })) {
        return None;
    }
    context.meters.forwarded(answer.is_ok());
    Some(answer)
}

/// Builds the request for the endpoint.
fn request<E: HeadCodec, S>(
    context: &Context<E, S>,
    admitted: &Admitted,
    pick: &Pick,
    left_ms: Option<u64>,
    last_event_id: Option<u64>,
) -> Result<Request<Full<Bytes>>, Failure> {
    let forwarding = Forwarding {
        endpoint: &pick.endpoint,
        workspace: admitted.workspace.as_ref(),
        left_ms,
        priority: Some(admitted.priority),
        last_event_id,
    };
    let not_run = |reason: String| Failure {
        verdict: Verdict::NotRun,
        misdirected: false,
        declined: false,
        broken_off: false,
        carrier: None,
        reason,
    };
    let headers = context
        .head_codec
        .forward_headers(&admitted.head.headers, forwarding);
    let headers = headers.map_err(|error| not_run(error.to_string()))?;
    let mut request = Request::new(Full::new(admitted.body.clone()));
    *request.method_mut() = admitted.head.method.clone();
    *request.uri_mut() = admitted.head.uri.clone();
    *request.headers_mut() = headers;
    Ok(request)
}

/// Returns the timeouts of an attempt, which lasts as long as its request may.
fn timeouts(time_limit_ms: u64) -> Timeouts {
    let total = Duration::from_millis(time_limit_ms);
    Timeouts {
        connect: CONNECT_TIMEOUT.min(total),
        head: total,
        body_idle: total,
    }
}

/// Reads a short answer to its end.
///
/// # Errors
///
/// `Failure` if the answer is interrupted, is too long or takes longer than `limit`.
pub(crate) async fn collect(
    mut body: Body,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, Failure> {
    // Each byte of a body that trickles in would extend the timeout for pauses.
    let collected = timeout(limit, body.collect_up_to(max_bytes)).await;
    let bytes = collected.map_err(|_| {
        let limit_ms = limit.as_millis();
        Failure::may_have_run(format!("the answer did not end within {limit_ms} ms"))
    })?;
    bytes.map_err(|error| Failure {
        broken_off: matches!(error, Error::Unanswered { .. }),
        ..Failure::may_have_run(error)
    })
}

/// Creates the failure of a request that the endpoint declined, and keeps the connection if possible.
async fn declined(answer: Response<Body>, misdirected: bool) -> Failure {
    /// Longest body that is read, in bytes.
    const BODY_MAX_BYTES: usize = 4096;
    /// Longest time for which it is read.
    const BODY_TIMEOUT: Duration = Duration::from_millis(50);
    let status = answer.status();
    let mut body = answer.into_body();
    body.reuse_last();
    // The body is read only so that the connection can be reused.
    let collected = timeout(BODY_TIMEOUT, body.collect_up_to(BODY_MAX_BYTES)).await;
    if !matches!(collected, Ok(Ok(_))) {
        body.discard();
    }
    Failure {
        verdict: Verdict::NotRun,
        misdirected,
        declined: status != StatusCode::MISDIRECTED_REQUEST,
        broken_off: false,
        carrier: None,
        reason: format!("the endpoint declined with status {status}"),
    }
}
