//! Completions: from a checked body to a whole answer or a running stream.

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
use crate::serve::call::{Call, Cause, Failure};
use crate::serve::relay::Relay;
use crate::serve::tries::{Tries, Whole};
use crate::share::Charged;

/// Header that orders requests at an engine; 0 is most urgent.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Priority of requests that have not begun.
const PRIORITY_NEW: HeaderValue = HeaderValue::from_static("1");

/// Status from which an engine's answer is its own error and not the caller's.
const ENGINE_ERROR: StatusCode = StatusCode::INTERNAL_SERVER_ERROR;

/// `Admitted` is what a request holds while it runs: its charge and its place.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// Its charge.
    pub(crate) charged: Charged,
    permit: Permit,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.permit.settle(self.charged.unused());
    }
}

/// `Plan` is what the agreed state says of a request.
struct Plan {
    need: Requirement,
    model: quetzalpick_core::id::Artifact,
    max_output: u32,
    copies: usize,
}

/// `Usage` is an engine's count of tokens.
#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// `Answer` is what is looked at in an engine's whole answer.
#[derive(Deserialize)]
struct Answer {
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
    let plan = plan(context, &caller, &completion)?;
    let tokens = completion.prompt_tokens + u64::from(plan.max_output);
    context.demand.record(&completion.artifact, tokens);
    let charged = context.charge(&caller.workspace, tokens).await?;
    let demand = AdmissionRequest {
        model: plan.model,
        workspace: caller.workspace.clone(),
        tokens,
        limit: plan.copies.max(1) * context.options.in_flight_per_copy,
        wait: context.options.queue_timeout,
    };
    let permit = context.admission.admit(demand).await?;
    let admitted = Admitted { charged, permit };
    // The request may have waited; its key and this gate's lease must hold at the time of sending.
    context.lease().await?;
    context.replica.read(|state| caller.recheck(state))?;
    let call = Call {
        id,
        method: Method::POST,
        target: completion.form.path().to_owned(),
        headers: headers(completion.stream),
        body: completion.to_body(plan.max_output, ""),
        need: plan.need,
        idempotent: true,
        deadline,
    };
    if completion.stream {
        stream(context, caller, completion, plan.max_output, call, admitted).await
    } else {
        whole(context, &completion, &call, admitted).await
    }
}

/// Looks up what a request needs and what its workspace allows.
fn plan<L: Log>(
    context: &Context<L>,
    caller: &Caller,
    completion: &Completion,
) -> Result<Plan, Refusal> {
    let artifact = &completion.artifact;
    context.replica.read(|state| {
        let catalog = state.catalog();
        // A model that the key does not open looks like one that does not exist.
        let target = catalog
            .resolve(artifact)
            .filter(|_| catalog.allows(&caller.workspace, artifact))
            .ok_or_else(|| {
                let message =
                    format!("model '{artifact}' does not exist or is not open to the key");
                Refusal::not_run(Kind::NotFoundError, message)
            })?;
        let need = Requirement::copies(artifact, &target, &completion.prompt);
        let stated = completion.max_output;
        Ok(Plan {
            copies: context.fleet.count_copies(state, &need),
            model: target.model.clone(),
            max_output: stated.unwrap_or(target.max_output),
            need,
        })
    })
}

/// Builds the headers of a request to an engine; nothing of the caller's headers is passed on.
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

/// Checks that an engine's whole answer belongs to a call.
fn accept(whole: &Whole, id: &str) -> Result<(), Failure> {
    if whole.status >= ENGINE_ERROR {
        return Err(Failure::new(Verdict::MayHaveRun, Cause::Error));
    }
    if !whole.status.is_success() {
        return Ok(());
    }
    let answer: Answer = serde_json::from_slice(&whole.body)
        .map_err(|_| Failure::new(Verdict::MayHaveRun, Cause::Broken))?;
    if answer.id == id {
        Ok(())
    } else {
        Err(Failure::new(Verdict::MayHaveRun, Cause::Crossed))
    }
}

/// Serves a completion with a whole answer.
async fn whole<L: Log>(
    context: &Arc<Context<L>>,
    completion: &Completion,
    call: &Call,
    mut admitted: Admitted,
) -> Result<Response<Reply>, Refusal> {
    let mut tries = Tries::new(context);
    // If the caller goes away from here on, nobody counts the tokens.
    admitted.charged.use_all();
    let answered = tries.whole(call, |whole| accept(whole, &call.id)).await;
    let whole = match answered {
        Ok(whole) => whole,
        Err(refusal) => {
            if refusal.verdict == Verdict::NotRun {
                admitted.charged.set_used(0);
            }
            return Err(refusal);
        }
    };
    let generated = generated(&whole);
    if let Some(generated) = generated {
        context.meters.tokens(generated);
        let used = completion.prompt_tokens + generated;
        admitted.charged.set_used(used);
    }
    let mut response = Response::new(Reply::whole(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = header::downstream(&whole.headers);
    Ok(response)
}

/// Returns the output tokens of an engine's whole answer, 0 if it refused the request.
fn generated(whole: &Whole) -> Option<u64> {
    if !whole.status.is_success() {
        return Some(0);
    }
    let answer: Answer = serde_json::from_slice(&whole.body).ok()?;
    answer.usage.map(|usage| usage.completion_tokens)
}

/// Opens a stream and leaves the rest of it to the relay.
async fn stream<L: Log>(
    context: &Arc<Context<L>>,
    caller: Caller,
    completion: Completion,
    max_output: u32,
    call: Call,
    admitted: Admitted,
) -> Result<Response<Reply>, Refusal> {
    let mut tries = Tries::new(context);
    let opened = loop {
        let opened = tries.open(&call).await;
        let failure = match opened {
            Ok(opened) if opened.status >= ENGINE_ERROR => {
                let failure = Failure::new(Verdict::MayHaveRun, Cause::Error);
                tries.note(&opened.target.endpoint, &failure);
                failure
            }
            Ok(opened) => break opened,
            Err(failure) => failure,
        };
        tries.again(&call, failure).await?;
    };
    if !opened.status.is_success() {
        // The engine refused the caller's request; its answer is a whole one.
        let whole = tries.finish(&call, opened).await?;
        let mut response = Response::new(Reply::whole(whole.body));
        *response.status_mut() = whole.status;
        *response.headers_mut() = header::downstream(&whole.headers);
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
        tries,
        events,
    };
    context.tasks.spawn(relay.run(opened));
    let mut response = Response::new(reply);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}
