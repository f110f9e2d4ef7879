//! Streams: passes on each token once, resumes a broken stream, and ends it clearly.

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
use crate::serve::call::{Call, Cause, Failure};
use crate::serve::chunk::Chunk;
use crate::serve::completion::{Admitted, PRIORITY};
use crate::serve::tries::{Opened, Tries};

/// Header that resumes a stream at a token on the engine that began it.
const RESUME: HeaderName = HeaderName::from_static("x-resume-from");

/// Priority of streams that have begun.
const PRIORITY_BEGUN: HeaderValue = HeaderValue::from_static("0");

/// Longest wait for a slow caller to take the event that ends its stream.
const LAST_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for an engine to take a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// `End` is how a stream ended.
enum End {
    /// Every token was passed on.
    Done,
    /// The stream cannot be completed.
    Refused(Refusal),
    /// The caller went away.
    Gone,
}

/// `Progress` is what the caller has got of a stream.
#[derive(Debug, Default)]
struct Progress {
    /// Number of the next token.
    next: u64,
    /// All text passed on.
    text: String,
    /// Whether an event without a token, such as the role, was passed on.
    opened: bool,
    /// Whether the event that ends the generation was passed on.
    finished: bool,
    /// Whether the token counts were passed on.
    counted: bool,
}

/// `Relay` passes an engine's stream on to the caller.
pub(crate) struct Relay<L: Log> {
    /// What the parts of the gate share.
    pub(crate) context: Arc<Context<L>>,
    /// Whose request it is.
    pub(crate) caller: Caller,
    /// The request.
    pub(crate) completion: Completion,
    /// Output tokens charged.
    pub(crate) max_output: u32,
    /// What was sent to the engine.
    pub(crate) call: Call,
    /// The charge and the place.
    pub(crate) admitted: Admitted,
    /// The history of the call.
    pub(crate) tries: Tries<L>,
    /// Where events go.
    pub(crate) events: mpsc::Sender<Bytes>,
}

/// `Running` is a relay with what the caller has got so far.
struct Running<L: Log> {
    relay: Relay<L>,
    progress: Progress,
    /// Where the stream runs.
    target: Target,
}

impl<L: Log> Relay<L> {
    /// Passes the stream on to its end, and cancels it when the caller goes away or loses its key.
    pub(crate) async fn run(self, opened: Opened) {
        let context = Arc::clone(&self.context);
        let caller = self.caller.clone();
        let events = self.events.clone();
        let mut running = Running {
            target: opened.target.clone(),
            relay: self,
            progress: Progress::default(),
        };
        let end = tokio::select! {
            refusal = revoked(&context, &caller) => End::Refused(refusal),
            () = events.closed() => End::Gone,
            end = running.relay(opened) => end,
        };
        running.close(end).await;
    }
}

/// Waits until the caller's key is withdrawn, or until it may be without this gate knowing.
async fn revoked<L: Log>(context: &Context<L>, caller: &Caller) -> Refusal {
    let mut config_status = context.config_status.clone();
    loop {
        if config_status.borrow_and_update().isolated {
            let message = "this VM was cut off from the others for too long";
            let kind = Kind::UnavailableError;
            return Refusal::with_verdict(kind, message, Verdict::MayHaveRun);
        }
        if !context.replica.read(|state| caller.holds(state)) {
            let message = "the key was withdrawn while the answer ran";
            let kind = Kind::AuthenticationError;
            return Refusal::with_verdict(kind, message, Verdict::MayHaveRun);
        }
        if config_status.changed().await.is_err() {
            // The gate stops at once, and with it this stream.
            std::future::pending::<()>().await;
        }
    }
}

impl<L: Log> Running<L> {
    /// Passes on events until the stream is complete or cannot be.
    async fn relay(&mut self, mut opened: Opened) -> End {
        loop {
            let failure = match self.pump(&mut opened).await {
                Ok(()) => {
                    let need = &self.relay.call.need;
                    let endpoint = &opened.target.endpoint;
                    self.relay.context.fleet.record_success(endpoint, need);
                    return End::Done;
                }
                Err(failure) if failure.cause == Cause::Abandoned => return End::Gone,
                Err(failure) => failure,
            };
            // The rest of this answer is not wanted any more.
            opened.body.discard();
            self.relay.tries.note(&opened.target.endpoint, &failure);
            opened = match self.go_on(failure).await {
                Ok(opened) => opened,
                Err(refusal) => return End::Refused(refusal),
            };
            self.target = opened.target.clone();
            self.relay.context.meters.resume();
        }
    }

    /// Passes on the events of one answer.
    async fn pump(&mut self, opened: &mut Opened) -> Result<(), Failure> {
        let broken = || Failure::new(Verdict::MayHaveRun, Cause::Broken);
        let mut reader = sse::Reader::default();
        loop {
            while let Some(data) = reader.next_data() {
                if data == sse::DONE {
                    let complete = self.is_complete();
                    return if complete { Ok(()) } else { Err(broken()) };
                }
                self.pass(&data).await?;
            }
            match opened.body.frame().await {
                Some(Ok(frame)) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    reader.push(&bytes).map_err(|_| broken())?;
                }
                // Only the marker is missing, which this gate writes itself.
                _ if self.is_complete() => return Ok(()),
                _ => return Err(broken()),
            }
        }
    }

    /// Tells whether the caller has got everything but the terminal marker.
    fn is_complete(&self) -> bool {
        let progress = &self.progress;
        progress.finished && (progress.counted || !self.relay.completion.wants_usage())
    }

    /// Passes on one event, unless the caller has got it already.
    async fn pass(&mut self, data: &str) -> Result<(), Failure> {
        let chunk = Chunk::from_data(data)
            .ok_or_else(|| Failure::new(Verdict::MayHaveRun, Cause::Error))?;
        if chunk.id != self.relay.call.id {
            log::warn!(
                "route: request={} got an event of another",
                self.relay.call.id
            );
            return Err(Failure::new(Verdict::MayHaveRun, Cause::Crossed));
        }
        if !self.progress.take(&chunk)? {
            return Ok(());
        }
        let used = self.relay.completion.prompt_tokens + self.progress.next;
        self.relay.admitted.charged.set_used(used);
        let event = self.relay.events.send(sse::event(data));
        let taken = timeout(self.relay.context.options.caller_timeout, event).await;
        match taken {
            Ok(Ok(())) => Ok(()),
            _ => Err(Failure::new(Verdict::MayHaveRun, Cause::Abandoned)),
        }
    }

    /// Finds another answer that goes on where the last one broke off.
    async fn go_on(&mut self, failure: Failure) -> Result<Opened, Refusal> {
        let relay = &mut self.relay;
        // Each break gets the time that a new request has to its first token.
        let now_ms = relay.context.clock.now_ms();
        let timeout_ms = relay.context.options.request_timeout.as_millis() as u64;
        relay.call.deadline = Deadline::after(now_ms, timeout_ms);
        relay.call.headers.insert(PRIORITY, PRIORITY_BEGUN);
        relay.tries.again(&relay.call, failure).await?;
        if let Some(opened) = self.resume().await {
            return Ok(opened);
        }
        self.go_elsewhere().await
    }

    /// Asks the engine that began the stream to resume it.
    async fn resume(&mut self) -> Option<Opened> {
        let mut call = self.relay.call.clone();
        let next = HeaderValue::from(self.progress.next);
        call.headers.insert(RESUME, next);
        let target = self.target.clone();
        let opened = self.relay.tries.open_at(&call, target).await.ok()?;
        opened.status.is_success().then_some(opened)
    }

    /// Continues the stream on another engine from the text that the caller has got.
    async fn go_elsewhere(&mut self) -> Result<Opened, Refusal> {
        let relay = &mut self.relay;
        let prefix = &self.progress.text;
        relay.call.body = relay.completion.to_body(relay.max_output, prefix);
        loop {
            let failure = match relay.tries.open(&relay.call).await {
                Ok(opened) if opened.status.is_success() => return Ok(opened),
                Ok(opened) => {
                    let failure = Failure::new(Verdict::MayHaveRun, Cause::Error);
                    relay.tries.note(&opened.target.endpoint, &failure);
                    failure
                }
                Err(failure) => failure,
            };
            relay.tries.again(&relay.call, failure).await?;
        }
    }

    /// Writes the end of the stream, and cancels what still runs.
    async fn close(self, end: End) {
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
                self.relay.meter(&refusal);
                let event = sse::error_event(&refusal.to_json());
                let last = timeout(LAST_EVENT_TIMEOUT, self.relay.events.send(event));
                // The caller is told at once, whether or not the engine takes the cancellation.
                let _ = futures::join!(last, self.relay.cancel(&self.target));
            }
            End::Gone => {
                log::info!("stream: request={id} left by its caller");
                self.relay.cancel(&self.target).await;
            }
        }
    }
}

impl Progress {
    /// Takes in an event and tells whether it is to be passed on.
    fn take(&mut self, chunk: &Chunk) -> Result<bool, Failure> {
        if self.finished && !chunk.has_usage() {
            return Ok(false);
        }
        let fresh = match chunk.index {
            Some(index) if index > self.next => {
                // A gap cannot be filled from here; the stream is taken up again at the missing token.
                return Err(Failure::new(Verdict::MayHaveRun, Cause::Broken));
            }
            Some(index) if index == self.next => {
                self.next += 1;
                self.text.push_str(chunk.text());
                true
            }
            // The caller has this token; an end that comes with it once more is told by the terminal marker.
            Some(_) => false,
            None => chunk.finishes() || chunk.has_usage() || !self.opened,
        };
        self.opened = true;
        self.finished |= chunk.finishes();
        self.counted |= chunk.has_usage();
        Ok(fresh)
    }
}

impl<L: Log> Relay<L> {
    /// Counts a refusal.
    fn meter(&self, refusal: &Refusal) {
        let meters = &self.context.meters;
        meters.refusal(refusal.kind.into(), refusal.verdict.into());
    }

    /// Tells an engine that nobody waits for the stream any more.
    async fn cancel(&self, target: &Target) {
        let call = Call {
            method: Method::DELETE,
            target: format!("/v1/requests/{}", self.call.id),
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
            part: CANCEL_TIMEOUT,
        };
        // The closed connection cancels too; this only hastens it.
        let sent = self.context.pool.send(&target.address, request, timeouts);
        if let Err(error) = sent.await {
            log::debug!("stream: cancellation not taken: {error}");
        }
    }
}
