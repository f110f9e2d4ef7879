//! At-most-once calls, which are claimed in the log before they are sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::record::{
    CLAIM_BODY_MAX_BYTES, Claim, ClaimKey, ClaimResult, Finish, Record,
};
use quetzalpick_core::state::Reason;
use quetzalpick_core::verdict::Verdict;
use quetzalpick_node::replica::Answer;

use crate::api::body::Reply;
use crate::api::refusal::{Kind, Refusal};
use crate::claim::PendingClaim;
use crate::context::Context;
use crate::serve::access::Caller;
use crate::serve::attempts::CompleteAnswer;
use crate::serve::call::Call;
use crate::serve::service;
use crate::share::TokenCharge;

/// Header that marks an answer replayed from the record of an earlier call.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Maximum number of claims for one request: a second one is needed if the first claim holder's call did not run.
const CLAIM_ATTEMPTS_MAX: usize = 2;

/// Time that callers are asked to wait before a retry if a call could not be claimed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `OnceCall` describes a call that must run at most once.
pub(crate) struct OnceCall {
    /// Key shared by repeated calls.
    pub(crate) key: ClaimKey,
    /// Fingerprint of method, path with query, and body.
    pub(crate) fingerprint: u64,
    /// Caller; `None` on a public route.
    pub(crate) caller: Option<Caller>,
    /// Call to the instance.
    pub(crate) call: Call,
    /// Charge in tokens.
    pub(crate) tokens: u64,
}

/// `PriorCall` describes the outcome of an earlier call with the same key.
enum PriorCall {
    /// There was no earlier call, or it did not run.
    NotRun,
    /// The earlier call determines the answer.
    Answered(Result<Response<Reply>, Refusal>),
}

/// Serves a call in a task of its own, which continues if the caller disconnects, so that the claim is closed.
///
/// # Errors
///
/// A refusal with its verdict.
pub(crate) async fn serve<L: Log>(
    context: &Arc<Context<L>>,
    once: OnceCall,
) -> Result<Response<Reply>, Refusal> {
    let shared = Arc::clone(context);
    let task = context
        .tasks
        .spawn(async move { claim_and_send(&shared, once).await });
    task.await.unwrap_or_else(|_| {
        let message = "the call was broken off";
        Err(Refusal::with_verdict(
            Kind::UnavailableError,
            message,
            Verdict::MayHaveRun,
        ))
    })
}

/// Claims a call and sends it, or answers with the outcome of an earlier one.
async fn claim_and_send<L: Log>(
    context: &Arc<Context<L>>,
    once: OnceCall,
) -> Result<Response<Reply>, Refusal> {
    for _ in 0..CLAIM_ATTEMPTS_MAX {
        // An outcome that is already in the state needs no record and no charge.
        if let PriorCall::Answered(answer) = prior_call(context, &once).await {
            return answer;
        }
        let workspace = once.key.workspace.as_ref();
        let token_charge = service::charge_workspace(context, workspace, once.tokens).await?;
        let member = context.lease().await?;
        let claim = Claim {
            key: once.key.clone(),
            fingerprint: once.fingerprint,
            member: member.clone(),
        };
        match context.replica.submit(Record::Claim(claim), None).await {
            Answer::Accepted { offset, .. } => {
                return send_claimed(context, once, offset, token_charge).await;
            }
            Answer::Rejected {
                reason: Reason::Claimed { .. },
                ..
            } => {}
            Answer::Rejected { reason, .. } => {
                let message = format!("the call could not be claimed: {reason}");
                return Err(not_claimed(message, RETRY_AFTER));
            }
            Answer::NotSent { retry_after } => {
                return Err(not_claimed("the log does not take claims now", retry_after));
            }
            Answer::Unknown { command } => {
                // The claim may be accepted now or later; nothing was sent, so it is closed as not run.
                let key = once.key.clone();
                context
                    .closer
                    .add(PendingClaim::Unconfirmed { command, key });
                let message = "the log did not confirm the claim in time";
                return Err(not_claimed(message, RETRY_AFTER));
            }
        }
    }
    // The holder of the claim is still running the call.
    match prior_call(context, &once).await {
        PriorCall::Answered(answer) => answer,
        PriorCall::NotRun => Err(not_claimed("the call could not be claimed", RETRY_AFTER)),
    }
}

/// Builds the refusal of a call that was not sent because it could not be claimed.
fn not_claimed(message: impl Into<String>, retry_after: Duration) -> Refusal {
    Refusal::not_run(Kind::UnavailableError, message).with_retry_after(retry_after)
}

/// Sends a claimed call and queues the record of its outcome, for which the caller does not wait.
async fn send_claimed<L: Log>(
    context: &Arc<Context<L>>,
    once: OnceCall,
    claim: Offset,
    token_charge: Option<TokenCharge>,
) -> Result<Response<Reply>, Refusal> {
    log::info!("claim: request={} claimed at {claim}", once.call.id);
    let sent = service::send(context, once.caller.as_ref(), &once.call, token_charge).await;
    let result = match &sent {
        Ok(answer) => claim_result(answer),
        Err(refusal) if refusal.verdict == Verdict::NotRun => ClaimResult::NotRun,
        Err(_) => ClaimResult::MayHaveRun,
    };
    context.closer.add(PendingClaim::Finish(Finish {
        key: once.key,
        claim,
        result,
    }));
    sent.map(service::into_response)
}

/// Builds the record of an answer; a body that is too long is omitted.
fn claim_result(answer: &CompleteAnswer) -> ClaimResult {
    let content_type = answer.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let fits = answer.body.len() <= CLAIM_BODY_MAX_BYTES;
    ClaimResult::Ran {
        status: answer.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: fits.then(|| answer.body.to_vec()),
    }
}

/// Returns the outcome of an earlier call with the same key, after a limited wait for one that is still running.
async fn prior_call<L: Log>(context: &Context<L>, once: &OnceCall) -> PriorCall {
    let mut changed = context.replica.changed();
    let deadline = tokio::time::Instant::now() + context.options.repeat_wait;
    loop {
        changed.borrow_and_update();
        let active = context.replica.read(|state| {
            let active = state.claims().active().get(&once.key);
            active.map(|active| {
                (
                    active.fingerprint,
                    active.result.clone(),
                    has_departed(state, &active.member),
                )
            })
        });
        let (fingerprint, result, holder_departed) = match active {
            None | Some((_, Some(ClaimResult::NotRun), _)) => return PriorCall::NotRun,
            Some(active) => active,
        };
        if fingerprint != once.fingerprint {
            return PriorCall::Answered(Err(key_reused()));
        }
        if let Some(result) = result {
            return PriorCall::Answered(answer_from_record(result));
        }
        let next = tokio::time::timeout_at(deadline, changed.changed());
        if holder_departed || !matches!(next.await, Ok(Ok(()))) {
            return PriorCall::Answered(Err(may_have_run()));
        }
    }
}

/// Returns whether the holder of a claim has departed, so that the claim will not be closed.
fn has_departed(state: &quetzalpick_core::state::State, holder: &Member) -> bool {
    !state.roster().is_active(holder)
}

/// Builds the refusal of a different call with a used key.
fn key_reused() -> Refusal {
    let message = "the Idempotency-Key was used for another call";
    Refusal::not_run(Kind::IdempotencyError, message)
}

/// Builds the refusal of a repeated call whose first call may have run.
fn may_have_run() -> Refusal {
    let message = "a call with this Idempotency-Key may have run: ask the service";
    Refusal::with_verdict(Kind::ConflictError, message, Verdict::MayHaveRun)
}

/// Answers a repeated call from the record of the first.
fn answer_from_record(result: ClaimResult) -> Result<Response<Reply>, Refusal> {
    match result {
        ClaimResult::Ran {
            status,
            content_type,
            body: Some(body),
        } => Ok(replay(status, &content_type, body)),
        ClaimResult::Ran { body: None, .. } => {
            let message = "the call ran, and its answer was too long to keep: ask the service";
            Err(Refusal::with_verdict(
                Kind::ConflictError,
                message,
                Verdict::Ran,
            ))
        }
        ClaimResult::MayHaveRun | ClaimResult::NotRun => Err(may_have_run()),
    }
}

/// Builds the recorded answer of the first call.
fn replay(status: u16, content_type: &str, body: Vec<u8>) -> Response<Reply> {
    let mut response = Response::new(Reply::full(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(content_type) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
