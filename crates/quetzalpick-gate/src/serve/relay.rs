//! Relay of streams: forwards each token exactly once, resumes interrupted streams, and marks their end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::BodyExt;
use quetzalpick_client::http::Timeouts;
use quetzalpick_client::traits::Log;
use quetzalpick_core::retry::Deadline;
use quetzalpick_core::verdict::Verdict;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::api::completion::Completion;
use crate::api::refusal::{Kind, Refusal};
use crate::api::sse;
use crate::context::Context;
use crate::fleet::Target;
use crate::serve::access::Caller;
use crate::serve::attempts::{Attempts, OpenAnswer};
use crate::serve::call::{Call, Cause, Failure};
use crate::serve::chunk::Chunk;
use crate::serve::completion::{Admitted, PRIORITY};

/// Header with the token index at which an engine resumes a stream that it ran before.
const RESUME: HeaderName = HeaderName::from_static("x-resume-from");

/// Priority of streams that have started.
const PRIORITY_STARTED: HeaderValue = HeaderValue::from_static("0");

/// Maximum wait for a slow caller to receive the event that ends its stream.
const LAST_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for connecting to an engine, and for its answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// `End` describes how a stream ended.
enum End {
    /// All tokens were forwarded.
    Done,
    /// The stream cannot be completed.
    Refused(Refusal),
    /// The caller disconnected or stopped reading.
    CallerGone,
}

/// `Progress` tracks the part of a stream that was forwarded to the caller.
#[derive(Debug, Default)]
struct Progress {
    /// Index of the next token.
    next: u64,
    /// All forwarded text.
    text: String,
    /// Whether any event was forwarded; later events without a token, such as a repeated role, are dropped.
    first_event_sent: bool,
    /// Whether the event that ends the generation was forwarded.
    finished: bool,
    /// Whether the token counts were forwarded.
    usage_sent: bool,
}

/// `Relay` holds what is needed to forward an engine's stream to the caller.
pub(crate) struct Relay<L: Log> {
    /// Shared context of the gate.
    pub(crate) context: Arc<Context<L>>,
    /// Caller that receives the stream.
    pub(crate) caller: Caller,
    /// Request of the caller.
    pub(crate) completion: Completion,
    /// Limit on output tokens that was charged.
    pub(crate) max_output: u32,
    /// Call to the engine.
    pub(crate) call: Call,
    /// Charge and admission permit.
    pub(crate) admitted: Admitted,
    /// Attempts of the call.
    pub(crate) attempts: Attempts<L>,
    /// Sends events to the caller.
    pub(crate) events: mpsc::Sender<Bytes>,
}

/// `ActiveRelay` runs a relay and tracks its progress.
struct ActiveRelay<L: Log> {
    relay: Relay<L>,
    progress: Progress,
    /// Endpoint that runs the stream.
    target: Target,
}

impl<L: Log> Relay<L> {
    /// Forwards the stream to its end, and cancels it if the caller disconnects or its key is withdrawn.
    pub(crate) async fn run(self, answer: OpenAnswer) {
        let context = Arc::clone(&self.context);
        let caller = self.caller.clone();
        let events = self.events.clone();
        let mut active = ActiveRelay {
            target: answer.target.clone(),
            relay: self,
            progress: Progress::default(),
        };
        let end = tokio::select! {
            refusal = until_revoked(&context, &caller) => End::Refused(refusal),
            () = events.closed() => End::CallerGone,
            end = active.forward(answer) => end,
        };
        active.finish(end).await;
    }
}

/// Waits until the caller's key is withdrawn, or until it may have been withdrawn without this gate's knowledge.
async fn until_revoked<L: Log>(context: &Context<L>, caller: &Caller) -> Refusal {
    let mut config_status = context.config_status.clone();
    loop {
        if config_status.borrow_and_update().isolated {
            let message = "this VM was cut off from the others for too long";
            let kind = Kind::UnavailableError;
            return Refusal::with_verdict(kind, message, Verdict::MayHaveRun);
        }
        if !context.replica.read(|state| caller.is_valid(state)) {
            let message = "the key was withdrawn while the answer ran";
            let kind = Kind::AuthenticationError;
            return Refusal::with_verdict(kind, message, Verdict::MayHaveRun);
        }
        if config_status.changed().await.is_err() {
            // The gate stops at once, which ends this stream too.
            std::future::pending::<()>().await;
        }
    }
}

impl<L: Log> ActiveRelay<L> {
    /// Forwards events, across interruptions, until the stream is complete or cannot be completed.
    async fn forward(&mut self, mut answer: OpenAnswer) -> End {
        loop {
            let failure = match self.forward_answer(&mut answer).await {
                Ok(()) => {
                    let requirement = &self.relay.call.requirement;
                    let endpoint = &answer.target.endpoint;
                    self.relay
                        .context
                        .fleet
                        .record_success(endpoint, requirement);
                    return End::Done;
                }
                Err(failure) if failure.cause == Cause::CallerGone => return End::CallerGone,
                Err(failure) => failure,
            };
            // The rest of this answer is no longer needed.
            answer.body.discard();
            self.relay
                .attempts
                .record_failure(&answer.target.endpoint, &failure);
            answer = match self.continue_stream(failure).await {
                Ok(answer) => answer,
                Err(refusal) => return End::Refused(refusal),
            };
            self.target = answer.target.clone();
            self.relay.context.meters.resume();
        }
    }

    /// Forwards the events of one answer.
    async fn forward_answer(&mut self, answer: &mut OpenAnswer) -> Result<(), Failure> {
        let broken = || Failure::new(Verdict::MayHaveRun, Cause::Broken);
        let mut reader = sse::EventReader::default();
        loop {
            while let Some(data) = reader.next_data() {
                if data == sse::DONE {
                    let complete = self.is_complete();
                    return if complete { Ok(()) } else { Err(broken()) };
                }
                self.forward_event(&data).await?;
            }
            match answer.body.frame().await {
                Some(Ok(frame)) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    reader.push(&bytes).map_err(|_| broken())?;
                }
                // Only the terminal marker is missing, which this gate writes itself.
                _ if self.is_complete() => return Ok(()),
                _ => return Err(broken()),
            }
        }
    }

    /// Returns whether everything except the terminal marker was forwarded.
    fn is_complete(&self) -> bool {
        let progress = &self.progress;
        progress.finished && (progress.usage_sent || !self.relay.completion.wants_usage())
    }

    /// Forwards an event, unless it was forwarded before.
    async fn forward_event(&mut self, data: &str) -> Result<(), Failure> {
        let chunk = Chunk::from_data(data)
            .ok_or_else(|| Failure::new(Verdict::MayHaveRun, Cause::Error))?;
        if chunk.id != self.relay.call.id {
            log::warn!(
                "route: request={} received an event of another request",
                self.relay.call.id
            );
            return Err(Failure::new(Verdict::MayHaveRun, Cause::Mismatched));
        }
        if !self.progress.advance(&chunk)? {
            return Ok(());
        }
        let used = self.relay.completion.prompt_tokens + self.progress.next;
        self.relay.admitted.token_charge.set_used(used);
        let event = self.relay.events.send(sse::event(data));
        let sent = timeout(self.relay.context.options.caller_timeout, event).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            _ => Err(Failure::new(Verdict::MayHaveRun, Cause::CallerGone)),
        }
    }

    /// Continues an interrupted stream with another answer, from the same engine if possible.
    async fn continue_stream(&mut self, failure: Failure) -> Result<OpenAnswer, Refusal> {
        let relay = &mut self.relay;
        // Each interruption gets the same time limit as a new request has to its first token.
        let now_ms = relay.context.clock.now_ms();
        let timeout_ms = relay.context.options.request_timeout.as_millis() as u64;
        relay.call.deadline = Deadline::after(now_ms, timeout_ms);
        relay.call.headers.insert(PRIORITY, PRIORITY_STARTED);
        relay.attempts.prepare_retry(&relay.call, failure).await?;
        if let Some(answer) = self.resume().await {
            return Ok(answer);
        }
        self.continue_elsewhere().await
    }

    /// Asks the engine that ran the stream last to resume it.
    async fn resume(&mut self) -> Option<OpenAnswer> {
        let mut call = self.relay.call.clone();
        let next = HeaderValue::from(self.progress.next);
        call.headers.insert(RESUME, next);
        let target = self.target.clone();
        let answer = self.relay.attempts.send_to(&call, target).await.ok()?;
        answer.status.is_success().then_some(answer)
    }

    /// Continues the stream on another engine, after the text forwarded so far.
    async fn continue_elsewhere(&mut self) -> Result<OpenAnswer, Refusal> {
        let relay = &mut self.relay;
        let prefix = &self.progress.text;
        relay.call.body = relay.completion.to_body(relay.max_output, prefix);
        loop {
            let failure = match relay.attempts.send(&relay.call).await {
                Ok(answer) if answer.status.is_success() => return Ok(answer),
                Ok(answer) => {
                    let failure = Failure::new(Verdict::MayHaveRun, Cause::Error);
                    relay
                        .attempts
                        .record_failure(&answer.target.endpoint, &failure);
                    failure
                }
                Err(failure) => failure,
            };
            relay.attempts.prepare_retry(&relay.call, failure).await?;
        }
    }

    /// Writes the end of the stream, and cancels the call if it is still running.
    async fn finish(self, end: End) {
        let id = &self.relay.call.id;
        self.relay.context.meters.tokens(self.progress.next);
        match end {
            End::Done => {
                log::info!("stream: request={id} done tokens={}", self.progress.next);
                let last = self.relay.events.send(sse::event(sse::DONE));
                let _ = timeout(self.relay.context.options.caller_timeout, last).await;
            }
            End::Refused(refusal) => {
                log::warn!("stream: request={id} ended: {}", refusal.message);
                self.relay.count_refusal(&refusal);
                let event = sse::error_event(&refusal.to_json());
                let last = timeout(LAST_EVENT_TIMEOUT, self.relay.events.send(event));
                // The caller gets the error at once, whether or not the engine accepts the cancellation.
                let _ = futures::join!(last, self.relay.cancel(&self.target));
            }
            End::CallerGone => {
                log::info!("stream: request={id} abandoned by its caller");
                self.relay.cancel(&self.target).await;
            }
        }
    }
}

impl Progress {
    /// Records an event and returns whether to forward it.
    fn advance(&mut self, chunk: &Chunk) -> Result<bool, Failure> {
        if self.finished && !chunk.has_usage() {
            return Ok(false);
        }
        let should_forward = match chunk.index {
            Some(index) if index > self.next => {
                // A gap cannot be filled from this answer, so the stream is resumed at the missing token.
                return Err(Failure::new(Verdict::MayHaveRun, Cause::Broken));
            }
            Some(index) if index == self.next => {
                self.next += 1;
                self.text.push_str(chunk.text());
                true
            }
            // The caller already has this token; if its event also ends the generation, the terminal marker shows that.
            Some(_) => false,
            None => chunk.ends_generation() || chunk.has_usage() || !self.first_event_sent,
        };
        self.first_event_sent = true;
        self.finished |= chunk.ends_generation();
        self.usage_sent |= chunk.has_usage();
        Ok(should_forward)
    }
}

impl<L: Log> Relay<L> {
    /// Counts a refusal in the metrics.
    fn count_refusal(&self, refusal: &Refusal) {
        let meters = &self.context.meters;
        meters.refusal(refusal.kind.into(), refusal.verdict.into());
    }

    /// Cancels the request at an engine.
    async fn cancel(&self, target: &Target) {
        let call = Call {
            method: Method::DELETE,
            path_and_query: format!("/v1/requests/{}", self.call.id),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            ..self.call.clone()
        };
        let Some(request) = call.to_request() else {
            return;
        };
        let timeouts = Timeouts {
            connect: self.context.options.connect_timeout,
            head: CANCEL_TIMEOUT,
            body_idle: CANCEL_TIMEOUT,
        };
        // Closing the connection also cancels the request, but more slowly.
        let sent = self.context.pool.send(&target.address, request, timeouts);
        if let Err(error) = sent.await {
            log::debug!("stream: cancellation failed: {error}");
        }
    }
}
