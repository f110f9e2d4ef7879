//! Completion requests, from the request to the first token.

use std::sync::Arc;

use hyper::StatusCode;
use quetzalpick_client::wire::completion::Request;
use serde_json::{Value, json as value};

use super::pace::Pace;
use super::server::App;
use super::session::Session;
use super::usage::Usage;
use super::{stream, token};
use crate::fault::Fault;
use crate::server::{Call, REQUEST_ID, Reply, error, invalid, json};

/// Header with the reason for which nothing ran.
const NOT_RUN: &str = "x-not-run";

/// Priority of a request that states none.
const PRIORITY_DEFAULT: u64 = 8;

/// `Kind` is the form of request and answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Messages and a message.
    Chat,
    /// Prompt and text.
    Text,
}

/// `Job` is a request that is about to generate.
#[derive(Debug)]
pub(crate) struct Job {
    /// Form of the answer.
    pub(crate) kind: Kind,
    /// Id, prompt and length of the answer; of another request if answers are crossed.
    pub(crate) session: Session,
    /// Index of the first token to generate.
    pub(crate) start: u32,
    /// Whether a stream ends with usage counts.
    pub(crate) include_usage: bool,
    /// Tokens of the prompt that were cached.
    pub(crate) cached_tokens: u32,
    /// The copy and the slot.
    pub(crate) usage: Usage,
    /// The times that tokens take.
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
    let id = id.unwrap_or_else(|| app.draw_id());
    admit(app, call, kind, request, prompt, &id).await
}

/// Checks that a request can run here, waits for its turn and lets it run.
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
    let Some(mut usage) = Usage::begin(app, &request.model) else {
        return not_run(StatusCode::NOT_FOUND, "model");
    };
    let resume = call.header("x-resume-from").map(str::parse::<u32>);
    let session = match resume {
        None => new_session(app, &request, prompt, id),
        Some(_) => {
            let known = app.lock().sessions.get(id).cloned();
            match known {
                Some(session) if session.artifact == request.model => app.renewed(session),
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
    if !usage.enter(priority).await {
        return not_run(StatusCode::TOO_MANY_REQUESTS, "overloaded")
            .with_header("retry-after", "1");
    }
    let cached_tokens = note(app, &session, &request, resume.is_some());
    let mut job = Job {
        kind,
        session,
        start,
        include_usage: request.stream_options.include_usage,
        cached_tokens,
        usage,
        pace: Pace::new(app),
    };
    if app.faults.meets(call.path(), Fault::Crossed) {
        cross(app, &mut job);
    }
    if request.stream {
        let crash = app.faults.take(call.path(), |fault| match fault {
            Fault::StreamCrash { tokens } => Some(tokens),
            _ => None,
        });
        return stream::start(job, crash);
    }
    whole(job).await
}

/// Makes the session of a new request.
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
        cancel: app.life().child_token(),
    }
}

/// Records that a request begins, and returns how many tokens of its prompt are cached.
fn note(app: &App, session: &Session, request: &Request, resumed: bool) -> u32 {
    let (running, _) = app.batch.load();
    let mut state = app.lock();
    state.sessions.insert(session.clone());
    state.tally.execute(&session.id, running);
    let record = &mut state.tally.record;
    record.resumed += u64::from(resumed);
    let prefix = &request.quetzalpick_prefix;
    let expected = token::text(&session.prompt, 0..token::count(prefix).min(session.end));
    record.bad_prefixes += u64::from(*prefix != expected);
    let cached = state.cache.admit(&session.artifact, &session.prompt);
    token::count_prompt(&session.prompt.as_bytes()[..cached])
}

/// Puts the request before this one, or nobody's, in its place.
fn cross(app: &App, job: &mut Job) {
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

/// Generates a whole answer.
async fn whole(mut job: Job) -> Reply {
    let cancel = job.session.cancel.clone();
    if cancel
        .run_until_cancelled(generate(&mut job))
        .await
        .is_none()
    {
        return match job.usage.is_current() {
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

/// Waits as long as prompt and answer take.
async fn generate(job: &mut Job) {
    job.prompt().await;
    for _ in job.start..job.session.end {
        job.pace.token().await;
    }
}

impl Job {
    /// Waits as long as the prompt takes.
    pub(crate) async fn prompt(&mut self) {
        let tokens = token::count_prompt(self.session.prompt.as_bytes());
        self.pace.prompt(tokens, self.cached_tokens).await;
    }
}

/// Makes what all answers and chunks have in common.
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
        "system_fingerprint": format!("v{}", job.usage.version),
    })
}

/// Makes the usage counts of an answer of `generated` tokens.
pub(crate) fn usage(job: &Job, generated: u32) -> Value {
    let prompt_tokens = token::count_prompt(job.session.prompt.as_bytes());
    value!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": generated,
        "total_tokens": prompt_tokens + generated,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    })
}

/// Makes the answer to a request that did not run.
fn not_run(status: StatusCode, reason: &'static str) -> Reply {
    error(status, reason, format!("not run: {reason}")).with_header(NOT_RUN, reason)
}
