//! Serving of validated completion requests, with a complete answer or a stream.

use std::sync::Arc;

use http::header::{ACCEPT, CACHE_CONTROL, CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use quetzalpick_client::traits::Log;
use quetzalpick_core::retry::Deadline;
use quetzalpick_core::verdict::Verdict;
use serde::Deserialize;

use crate::admission::{AdmissionRequest, Permit};
use crate::api::body::Reply;
use crate::api::completion::Completion;
use crate::api::header;
use crate::api::refusal::{Kind, Refusal};
use crate::context::Context;
use crate::fleet::Requirement;
use crate::serve::access::Caller;
use crate::serve::attempts::{Attempts, CompleteAnswer};
use crate::serve::call::{Call, Cause, Failure};
use crate::serve::relay::Relay;
use crate::share::TokenCharge;

/// Header with the priority of a request at an engine; 0 is the highest.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Priority of requests that have not generated any output.
const PRIORITY_NEW: HeaderValue = HeaderValue::from_static("1");

/// Lowest status of an answer that is an error of the engine and not of the caller.
const ENGINE_ERROR: StatusCode = StatusCode::INTERNAL_SERVER_ERROR;

/// `Admitted` holds the charge and the admission permit of a request while it runs.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// Charge of the request.
    pub(crate) token_charge: TokenCharge,
    permit: Permit,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.permit.settle(self.token_charge.unused());
    }
}

/// `ResolvedRequest` holds what the agreed state determines for a request: its model, output limit and copies.
struct ResolvedRequest {
    requirement: Requirement,
    model: quetzalpick_core::id::Artifact,
    max_output: u32,
    copies: usize,
}

/// `Usage` decodes an engine's token counts.
#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// `AnswerBody` decodes the fields of an engine's answer that the gate needs.
#[derive(Deserialize)]
struct AnswerBody {
    id: String,
    usage: Option<Usage>,
}

/// Serves a completion.
///
/// # Errors
///
/// A refusal with its verdict.
pub(crate) async fn serve<L: Log>(
    context: &Arc<Context<L>>,
    caller: Caller,
    completion: Completion,
    id: String,
) -> Result<Response<Reply>, Refusal> {
    let now_ms = context.clock.now_ms();
    let timeout_ms = context.options.request_timeout.as_millis() as u64;
    let deadline = Deadline::after(now_ms, timeout_ms);
    let resolved = resolve(context, &caller, &completion)?;
    let tokens = completion.prompt_tokens + u64::from(resolved.max_output);
    context.demand.record(&completion.artifact, tokens);
    let token_charge = context.charge(&caller.workspace, tokens).await?;
    let request = AdmissionRequest {
        model: resolved.model,
        workspace: caller.workspace.clone(),
        tokens,
        limit: resolved.copies.max(1) * context.options.in_flight_per_copy,
        wait: context.options.queue_timeout,
    };
    let permit = context.admission.admit(request).await?;
    let admitted = Admitted {
        token_charge,
        permit,
    };
    // The request may have been queued, so its key and this gate's lease are checked again before it is sent.
    context.lease().await?;
    context.replica.read(|state| caller.recheck(state))?;
    let call = Call {
        id,
        method: Method::POST,
        path_and_query: completion.kind.path().to_owned(),
        headers: headers(completion.stream),
        body: completion.to_body(resolved.max_output, ""),
        requirement: resolved.requirement,
        idempotent: true,
        deadline,
    };
    if completion.stream {
        serve_stream(
            context,
            caller,
            completion,
            resolved.max_output,
            call,
            admitted,
        )
        .await
    } else {
        serve_complete(context, &completion, &call, admitted).await
    }
}

/// Resolves the model of a request, and checks that the workspace may use it.
fn resolve<L: Log>(
    context: &Context<L>,
    caller: &Caller,
    completion: &Completion,
) -> Result<ResolvedRequest, Refusal> {
    let artifact = &completion.artifact;
    context.replica.read(|state| {
        let catalog = state.catalog();
        // A model that the workspace may not use is reported like one that does not exist.
        let resolved = catalog
            .resolve(artifact)
            .filter(|_| catalog.allows(&caller.workspace, artifact))
            .ok_or_else(|| {
                let message =
                    format!("model '{artifact}' does not exist or is not open to the key");
                Refusal::not_run(Kind::NotFoundError, message)
            })?;
        let requirement = Requirement::copies(artifact, &resolved, &completion.prompt);
        let requested = completion.max_output;
        Ok(ResolvedRequest {
            copies: context.fleet.count_copies(state, &requirement),
            model: resolved.model.clone(),
            max_output: requested.unwrap_or(resolved.max_output),
            requirement,
        })
    })
}

/// Builds the headers of a request to an engine; none of the caller's headers are forwarded.
fn headers(stream: bool) -> HeaderMap {
    let accept = if stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(CONTENT_TYPE, json);
    headers.insert(ACCEPT, HeaderValue::from_static(accept));
    headers.insert(PRIORITY, PRIORITY_NEW);
    headers
}

/// Checks that an engine's answer is not a server error and belongs to the call.
fn check_answer(answer: &CompleteAnswer, id: &str) -> Result<(), Failure> {
    if answer.status >= ENGINE_ERROR {
        return Err(Failure::new(Verdict::MayHaveRun, Cause::Error));
    }
    if !answer.status.is_success() {
        return Ok(());
    }
    let body: AnswerBody = serde_json::from_slice(&answer.body)
        .map_err(|_| Failure::new(Verdict::MayHaveRun, Cause::Broken))?;
    if body.id == id {
        Ok(())
    } else {
        Err(Failure::new(Verdict::MayHaveRun, Cause::Mismatched))
    }
}

/// Serves a completion that is not streamed.
async fn serve_complete<L: Log>(
    context: &Arc<Context<L>>,
    completion: &Completion,
    call: &Call,
    mut admitted: Admitted,
) -> Result<Response<Reply>, Refusal> {
    let mut attempts = Attempts::new(context);
    // If the caller disconnects from here on, the usage stays unknown and all tokens count as used.
    admitted.token_charge.use_all();
    let answered = attempts
        .send_until_complete(call, |answer| check_answer(answer, &call.id))
        .await;
    let answer = match answered {
        Ok(answer) => answer,
        Err(refusal) => {
            if refusal.verdict == Verdict::NotRun {
                admitted.token_charge.set_used(0);
            }
            return Err(refusal);
        }
    };
    let output_tokens = output_tokens(&answer);
    if let Some(output_tokens) = output_tokens {
        context.meters.tokens(output_tokens);
        let used = completion.prompt_tokens + output_tokens;
        admitted.token_charge.set_used(used);
    }
    let mut response = Response::new(Reply::full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = header::downstream(&answer.headers);
    Ok(response)
}

/// Returns the output tokens reported in an engine's answer, 0 if it refused the request.
fn output_tokens(answer: &CompleteAnswer) -> Option<u64> {
    if !answer.status.is_success() {
        return Some(0);
    }
    let body: AnswerBody = serde_json::from_slice(&answer.body).ok()?;
    body.usage.map(|usage| usage.completion_tokens)
}

/// Opens a stream, and spawns the relay that forwards it.
async fn serve_stream<L: Log>(
    context: &Arc<Context<L>>,
    caller: Caller,
    completion: Completion,
    max_output: u32,
    call: Call,
    admitted: Admitted,
) -> Result<Response<Reply>, Refusal> {
    let mut attempts = Attempts::new(context);
    let open_answer = loop {
        let open_answer = attempts.send(&call).await;
        let failure = match open_answer {
            Ok(open_answer) if open_answer.status >= ENGINE_ERROR => {
                let failure = Failure::new(Verdict::MayHaveRun, Cause::Error);
                attempts.record_failure(&open_answer.target.endpoint, &failure);
                failure
            }
            Ok(open_answer) => break open_answer,
            Err(failure) => failure,
        };
        attempts.prepare_retry(&call, failure).await?;
    };
    if !open_answer.status.is_success() {
        // The engine refused the caller's request, and its answer is not a stream.
        let answer = attempts.collect_without_retry(&call, open_answer).await?;
        let mut response = Response::new(Reply::full(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = header::downstream(&answer.headers);
        return Ok(response);
    }
    let (events, reply) = Reply::stream();
    let relay = Relay {
        context: Arc::clone(context),
        caller,
        completion,
        max_output,
        call,
        admitted,
        attempts,
        events,
    };
    context.tasks.spawn(relay.run(open_answer));
    let mut response = Response::new(reply);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}
