//! Completion requests: validation, admission and complete answers.

use std::sync::Arc;

use hyper::StatusCode;
use quetzalpick_client::wire::completion::Request;
use serde_json::{Value, json as value};

use super::copy_use::CopyUse;
use super::pace::Pace;
use super::server::App;
use super::session::Session;
use super::{stream, token};
use crate::fault::Fault;
use crate::server::{Call, REQUEST_ID, Reply, error, invalid, json};

/// Header with the reason why a request did not run.
const NOT_RUN: &str = "x-not-run";

/// Priority of a request without an `x-priority` header.
const PRIORITY_DEFAULT: u64 = 8;

/// `Kind` selects the API format of request and answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Messages in, a message out.
    Chat,
    /// Prompt in, text out.
    Text,
}

/// `Job` holds an admitted request until its answer has been generated.
#[derive(Debug)]
pub(crate) struct Job {
    /// API format of the answer.
    pub(crate) kind: Kind,
    /// Id, prompt and length of the answer; those of the previous request under the `Crossed` fault.
    pub(crate) session: Session,
    /// Index of the first token to generate.
    pub(crate) start: u32,
    /// Whether a stream ends with token counts.
    pub(crate) include_usage: bool,
    /// Number of prompt tokens that were cached.
    pub(crate) cached_tokens: u32,
    /// Copy and batch slot in use.
    pub(crate) copy_use: CopyUse,
    /// Timing of the tokens.
    pub(crate) pace: Pace,
}

/// Answers a completion request.
pub(crate) async fn complete(app: &Arc<App>, call: &Call, kind: Kind) -> Reply {
    let request: Request = match call.json() {
        Ok(request) => request,
        Err(reply) => return reply,
    };
    let prompt = request.prompt_text();
    if prompt.is_empty() || request.max_tokens == Some(0) {
        let message = "a prompt or messages, and `max_tokens` of at least 1, are needed";
        return invalid(message);
    }
    let id = call.header(REQUEST_ID).map(str::to_owned);
    let id = id.unwrap_or_else(|| app.next_id());
    admit(app, call, kind, request, prompt, &id).await
}

/// Checks that a request can run on this engine, waits for a batch slot and generates the answer.
async fn admit(
    app: &Arc<App>,
    call: &Call,
    kind: Kind,
    request: Request,
    prompt: String,
    id: &str,
) -> Reply {
    if app.is_leaving() {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    let Some(mut copy_use) = CopyUse::begin(app, &request.model) else {
        return not_run(StatusCode::NOT_FOUND, "model");
    };
    let resume = call.header("x-resume-from").map(str::parse::<u32>);
    let session = match resume {
        None => new_session(app, &request, prompt, id),
        Some(_) => {
            let session = app.lock().sessions.get(id).cloned();
            match session {
                Some(session) if session.artifact == request.model => {
                    app.with_new_cancellation(session)
                }
                _ => return not_run(StatusCode::NOT_FOUND, "resume"),
            }
        }
    };
    let start = match resume {
        None => token::count(&request.quetzalpick_prefix),
        Some(Ok(start)) if start <= session.end => start,
        Some(_) => {
            let message = "`x-resume-from` is beyond the answer";
            return invalid(message);
        }
    };
    let priority = call.header("x-priority").and_then(|text| text.parse().ok());
    let priority = u32::try_from(priority.unwrap_or(PRIORITY_DEFAULT)).unwrap_or(u32::MAX);
    if !copy_use.enter(priority).await {
        return not_run(StatusCode::TOO_MANY_REQUESTS, "overloaded")
            .with_header("retry-after", "1");
    }
    let cached_tokens = record_start(app, &session, &request, resume.is_some());
    let mut job = Job {
        kind,
        session,
        start,
        include_usage: request.stream_options.include_usage,
        cached_tokens,
        copy_use,
        pace: Pace::new(app),
    };
    if app.faults.take_exact(call.path(), Fault::Crossed) {
        swap_answer(app, &mut job);
    }
    if request.stream {
        let abort_after = app.faults.take(call.path(), |fault| match fault {
            Fault::StreamCrash { tokens } => Some(tokens),
            _ => None,
        });
        return stream::start(job, abort_after);
    }
    complete_answer(job).await
}

/// Creates the session of a new request.
fn new_session(app: &App, request: &Request, prompt: String, id: &str) -> Session {
    let stop = app.options.stop_after;
    let end = request.max_tokens.unwrap_or(stop).min(stop);
    let finish = if end < stop { "length" } else { "stop" };
    Session {
        id: id.to_owned(),
        artifact: request.model.clone(),
        prompt,
        end,
        finish,
        cancel: app.restart_token().child_token(),
    }
}

/// Records the start of a request and returns the number of its prompt tokens that are cached.
fn record_start(app: &App, session: &Session, request: &Request, resumed: bool) -> u32 {
    let (running, _) = app.batch.load();
    let mut state = app.lock();
    state.sessions.insert(session.clone());
    state.tally.record_execution(&session.id, running);
    let record = &mut state.tally.record;
    record.resumed += u64::from(resumed);
    let prefix = &request.quetzalpick_prefix;
    let expected = token::text(&session.prompt, 0..token::count(prefix).min(session.end));
    record.bad_prefixes += u64::from(*prefix != expected);
    let cached = state
        .cache
        .insert_prompt(&session.artifact, &session.prompt);
    token::count_prompt(&session.prompt.as_bytes()[..cached])
}

/// Replaces the job's session by that of the previous request, or by a placeholder if there is none.
fn swap_answer(app: &App, job: &mut Job) {
    let previous = app.lock().sessions.previous().cloned();
    let cancel = job.session.cancel.clone();
    let mut other = previous.unwrap_or_else(|| Session {
        id: "nobody".to_owned(),
        prompt: "nobody".to_owned(),
        ..job.session.clone()
    });
    other.cancel = cancel;
    job.start = job.start.min(other.end);
    job.session = other;
}

/// Generates a complete answer without streaming.
async fn complete_answer(mut job: Job) -> Reply {
    let cancel = job.session.cancel.clone();
    if cancel
        .run_until_cancelled(generate(&mut job))
        .await
        .is_none()
    {
        return match job.copy_use.is_current() {
            true => error(StatusCode::CONFLICT, "cancelled", "cancelled by a call"),
            false => Reply::Close,
        };
    }
    let Session {
        id,
        prompt,
        end,
        finish,
        ..
    } = &job.session;
    let text = token::text(prompt, job.start..(*end).max(job.start));
    let choice = match job.kind {
        Kind::Chat => value!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
        }),
        Kind::Text => value!({"index": 0, "text": text, "finish_reason": finish}),
    };
    let mut body = envelope(&job, false);
    body["choices"] = value!([choice]);
    body["usage"] = usage(&job, *end);
    json(StatusCode::OK, &body).with_header(REQUEST_ID, id)
}

/// Waits for the time that prompt and answer take.
async fn generate(job: &mut Job) {
    job.wait_for_prompt().await;
    for _ in job.start..job.session.end {
        job.pace.wait_for_token().await;
    }
}

impl Job {
    /// Waits for the time that the prompt takes.
    pub(crate) async fn wait_for_prompt(&mut self) {
        let tokens = token::count_prompt(self.session.prompt.as_bytes());
        self.pace.wait_for_prompt(tokens, self.cached_tokens).await;
    }
}

/// Builds the JSON fields common to complete answers and chunks.
pub(crate) fn envelope(job: &Job, chunk: bool) -> Value {
    let object = match (job.kind, chunk) {
        (Kind::Chat, false) => "chat.completion",
        (Kind::Chat, true) => "chat.completion.chunk",
        (Kind::Text, _) => "text_completion",
    };
    value!({
        "id": job.session.id,
        "object": object,
        "created": 0,
        "model": job.session.artifact,
        "system_fingerprint": format!("v{}", job.copy_use.version),
    })
}

/// Builds the token counts of an answer with `generated` tokens.
pub(crate) fn usage(job: &Job, generated: u32) -> Value {
    let prompt_tokens = token::count_prompt(job.session.prompt.as_bytes());
    value!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": generated,
        "total_tokens": prompt_tokens + generated,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    })
}

/// Builds the answer to a request that did not run.
fn not_run(status: StatusCode, reason: &'static str) -> Reply {
    error(status, reason, format!("not run: {reason}")).with_header(NOT_RUN, reason)
}
