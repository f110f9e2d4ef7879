//! One request sent to one endpoint, and what that proves.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use quetzalpick_client::http::{Body, Timeouts};
use quetzalpick_core::verdict::Verdict;
use rand::random;

use crate::config::Kind;
use crate::fleet::{Pick, Wanted};
use crate::serve::Context;
use crate::serve::request::Admitted;
use crate::wire::{Forwarding, HeadCodec, Proof};

/// Longest time to connect to an endpoint.
const CONNECT_MAX: Duration = Duration::from_millis(300);

/// Longest time for an answer if neither the caller nor the operator sets one.
const ANSWER_MAX_MS: u64 = 60_000;

/// Time by which an endpoint's own answer at the deadline may arrive later than that, in ms.
const LATE_MS: u64 = 120;

/// Objectives after which a request that may be repeated is given up at a silent endpoint.
const OBJECTIVES_MAX: u64 = 3;

/// Longest pause between a resumable stream's events before it goes on elsewhere, if the route names none, in ms.
const PAUSE_DEFAULT_MS: u64 = 500;

/// Pauses of the route's own after which a resumable stream goes on elsewhere.
const PAUSES_MAX: u64 = 5;

/// `Failure` is an attempt that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// Whether the endpoint lacks what the request needs, or is another one.
    pub(crate) misdirected: bool,
    /// Whether it is the endpoint's own word that it did not run the request.
    pub(crate) declined: bool,
    /// What happened.
    pub(crate) reason: String,
}

impl Failure {
    /// Tells whether nothing was sent as the endpoint could not be reached.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.verdict == Verdict::NotRun && !self.misdirected && !self.declined
    }

    /// Makes the failure of a request that may have run.
    pub(crate) fn may_have_run(reason: impl ToString) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            misdirected: false,
            declined: false,
            reason: reason.to_string(),
        }
    }
}

/// Picks an endpoint that was not tried yet, or one of the others if there is no such.
pub(crate) fn pick<E, S>(context: &Context<E, S>, admitted: &Admitted) -> Option<Pick> {
    let artifacts = admitted.artifacts();
    let wanted = Wanted {
        service: &admitted.service,
        artifacts: &artifacts,
        tried: &admitted.tried,
    };
    let now_ms = context.clock.now_ms();
    context.fleet.pick(now_ms, &wanted, random())
}

/// Notes what a failure says of the endpoint, and whether the request may have run there.
pub(crate) fn note<E, S>(
    context: &Context<E, S>,
    admitted: &mut Admitted,
    pick: &Pick,
    failure: &Failure,
) {
    let fleet = &context.fleet;
    let now_ms = context.clock.now_ms();
    if failure.misdirected {
        fleet.misses(now_ms, &pick.endpoint, &admitted.artifacts());
    } else if failure.is_unreachable() {
        fleet.lose(now_ms, &pick.endpoint);
        log::warn!("entry: endpoint={} unreachable", pick.endpoint);
    } else if !failure.declined && fleet.fail(now_ms, &pick.endpoint) {
        log::warn!("entry: endpoint={} ejected", pick.endpoint);
    }
    if failure.verdict != Verdict::NotRun {
        admitted.runs += 1;
    }
    log::info!(
        "entry: request={} failed endpoint={} verdict={} reason=\"{}\"",
        admitted.id(),
        pick.endpoint,
        failure.verdict,
        failure.reason
    );
}

/// Sends a request to a picked endpoint and returns the answer once its head is there.
///
/// # Errors
///
/// `Failure` if there is no answer of the endpoint to this request.
pub(crate) async fn send<E: HeadCodec, S>(
    context: &Context<E, S>,
    admitted: &Admitted,
    pick: &Pick,
    last_event_id: Option<u64>,
) -> Result<Response<Body>, Failure> {
    let now_ms = context.clock.now_ms();
    let left_ms = admitted.left_ms(now_ms);
    let request = request(context, admitted, pick, left_ms, last_event_id)?;
    let timeouts = timeouts(admitted, left_ms.unwrap_or(ANSWER_MAX_MS));
    let address = pick.address.to_string();
    context.meters.sent();
    let answer = context.pool.send(&address, request, timeouts).await;
    let answer = answer.map_err(|error| Failure {
        verdict: error.verdict(),
        misdirected: false,
        declined: false,
        reason: error.to_string(),
    })?;
    let attempt = admitted.metadata.attempt.as_deref();
    match context
        .head_codec
        .proof(answer.status(), answer.headers(), attempt)
    {
        Proof::Answer => Ok(answer),
        Proof::NotRun { misdirected } => Err(declined(answer, misdirected).await),
        Proof::Mismatched => {
            let reason = format!("status {} is no answer to this request", answer.status());
            answer.into_body().discard();
            Err(Failure::may_have_run(reason))
        }
    }
}

/// Builds the request that goes to the endpoint.
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
        urgency: Some(admitted.priority),
        last_event_id,
    };
    let not_run = |reason: String| Failure {
        verdict: Verdict::NotRun,
        misdirected: false,
        declined: false,
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

/// Returns how long an endpoint is waited for.
fn timeouts(admitted: &Admitted, left_ms: u64) -> Timeouts {
    let route = &admitted.route;
    let whole_ms = left_ms + LATE_MS;
    let another_may_follow = route.kind.may_repeat() && admitted.runs + 1 < route.attempts;
    let head_ms = match route.objective_ms {
        Some(objective_ms) if another_may_follow => {
            (objective_ms * OBJECTIVES_MAX).min(left_ms / 2)
        }
        _ => whole_ms,
    };
    let part_ms = match route.kind {
        Kind::Stream { resumable: true } if another_may_follow => {
            let pause_ms = route.pause_ms.unwrap_or(PAUSE_DEFAULT_MS);
            (pause_ms * PAUSES_MAX).min(whole_ms)
        }
        _ => whole_ms,
    };
    Timeouts {
        connect: CONNECT_MAX.min(Duration::from_millis(whole_ms)),
        head: Duration::from_millis(head_ms),
        part: Duration::from_millis(part_ms),
    }
}

/// Makes the failure of a request that the endpoint declined, and keeps its connection if it can.
async fn declined(answer: Response<Body>, misdirected: bool) -> Failure {
    /// Longest body of such an answer that is read, in bytes.
    const BODY_MAX_BYTES: usize = 4096;
    let status = answer.status();
    let mut body = answer.into_body();
    // What the body says changes nothing; it is read so that the connection serves further requests.
    if body.collect_up_to(BODY_MAX_BYTES).await.is_err() {
        body.discard();
    }
    Failure {
        verdict: Verdict::NotRun,
        misdirected,
        declined: status != StatusCode::MISDIRECTED_REQUEST,
        reason: format!("the endpoint declined with status {status}"),
    }
}
