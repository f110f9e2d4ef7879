//! Relays an endpoint's answer to the caller as it arrives, and resumes interrupted streams.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use quetzalpick_client::http::{Body as Answer, Framing};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use crate::config::Kind;
use crate::fleet::Pick;
use crate::serve::attempt::{pick, record_failure, send};
use crate::serve::body::Interrupted;
use crate::serve::event_scanner::EventScanner;
use crate::serve::request::Admitted;
use crate::serve::sse::EventSplitter;
use crate::serve::{Context, PeerClient};
use crate::wire::HeadCodec;

/// Time after the deadline in which the last fragment of an answer may still arrive, in ms.
const LATE_MS: u64 = 120;

/// Timeout for a complete answer if neither the caller nor the operator sets one, in ms.
const DEFAULT_ANSWER_TIMEOUT_MS: u64 = 3_600_000;

/// `End` classifies how an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum End {
    /// The answer is complete.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    TimedOut,
    /// The endpoint interrupted the answer.
    Interrupted(String),
}

/// `Progress` tracks what an endpoint has sent of an answer, for the log.
#[derive(Debug)]
pub(crate) struct Progress {
    framing: Framing,
    /// Scans the bytes of a stream of events; `None` for other answers.
    events: Option<EventScanner>,
}

impl Progress {
    /// Starts at the head of an answer on a route of a kind.
    pub(crate) fn new(kind: Kind, head: &Parts) -> Self {
        let is_event_stream = kind.is_stream() && head.status.is_success();
        Self {
            framing: Framing::of(head),
            events: is_event_stream.then(EventScanner::default),
        }
    }

    /// Records the next bytes.
    fn record(&mut self, bytes: &[u8]) {
        if let Some(events) = &mut self.events {
            events.scan(bytes);
        }
    }
}

impl Display for Progress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let events = self.events.as_ref().map_or(0, EventScanner::events);
        let incomplete = self.events.as_ref();
        let incomplete = incomplete.map_or(0, EventScanner::incomplete_bytes);
        let framing = self.framing;
        write!(
            formatter,
            "framing={framing} events={events} incomplete_bytes={incomplete}"
        )
    }
}

/// `AnswerRelay` forwards one answer from an endpoint to the caller.
#[derive(Debug)]
pub(crate) struct AnswerRelay<E, S> {
    pub(crate) context: Arc<Context<E, S>>,
    pub(crate) admitted: Admitted,
    pub(crate) pick: Pick,
    pub(crate) answer: Answer,
    pub(crate) progress: Progress,
    pub(crate) caller: Sender<Result<Bytes, Interrupted>>,
}

impl<E: HeadCodec, S: PeerClient> AnswerRelay<E, S> {
    /// Relays until the answer ends.
    pub(crate) async fn run(mut self) {
        let resumable = matches!(self.admitted.route.kind, Kind::Stream { resumable: true });
        let mut splitter =
            resumable.then(|| EventSplitter::resume_after(self.admitted.metadata.last_event_id));
        loop {
            let end = self.forward(&mut splitter).await;
            let now_ms = self.context.clock.now_ms();
            let reason = match end {
                End::Complete => {
                    self.context
                        .fleet
                        .record_success(now_ms, &self.pick.endpoint);
                    self.log("complete", "");
                    return;
                }
                End::CallerGone => return self.log("caller-gone", ""),
                End::TimedOut => return self.abort("timed-out", "the deadline has passed").await,
                End::Interrupted(reason) => reason,
            };
            self.record_failure(now_ms);
            let resumed = match &splitter {
                Some(splitter) => self.resume(splitter.last_id()).await,
                None => false,
            };
            if !resumed {
                return self.abort("broken", &reason).await;
            }
            // An incomplete event of the former endpoint is dropped.
            splitter = splitter.map(|splitter| EventSplitter::resume_after(splitter.last_id()));
        }
    }

    /// Forwards fragments until the answer ends.
    async fn forward(&mut self, splitter: &mut Option<EventSplitter>) -> End {
        loop {
            let now_ms = self.context.clock.now_ms();
            let left_ms = self
                .admitted
                .left_ms(now_ms)
                .unwrap_or(DEFAULT_ANSWER_TIMEOUT_MS);
            let limit = Duration::from_millis(left_ms + LATE_MS);
            let frame = tokio::select! {
                biased;
                () = self.caller.closed() => return End::CallerGone,
                frame = timeout(limit, self.answer.frame()) => frame,
            };
            let fragment = match frame {
                Err(_) => return End::TimedOut,
                Ok(Some(Err(error))) => return End::Interrupted(error.to_string()),
                Ok(Some(Ok(frame))) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    self.progress.record(&bytes);
                    match &mut *splitter {
                        Some(splitter) => splitter.push(&bytes),
                        None => Some(bytes).filter(|bytes| !bytes.is_empty()),
                    }
                }
                Ok(None) => {
                    let rest = splitter.as_mut().and_then(EventSplitter::finish);
                    if let Some(rest) = rest
                        && self.caller.send(Ok(rest)).await.is_err()
                    {
                        return End::CallerGone;
                    }
                    return End::Complete;
                }
            };
            if let Some(fragment) = fragment
                && self.caller.send(Ok(fragment)).await.is_err()
            {
                return End::CallerGone;
            }
        }
    }

    /// Resumes an interrupted stream at another endpoint after an event; returns whether an endpoint accepted.
    async fn resume(&mut self, after: Option<u64>) -> bool {
        let context = Arc::clone(&self.context);
        while self.admitted.has_runs_left() && context.withdraw() {
            let Some(pick) = pick(&context, &self.admitted) else {
                return false;
            };
            self.admitted.attempted.push(pick.endpoint.clone());
            match send(&context, &self.admitted, &pick, after).await {
                Ok(answer) if answer.status().is_success() => {
                    self.admitted.possible_runs += 1;
                    log::info!(
                        "entry: request={} resumed endpoint={} after={after:?}",
                        self.admitted.id(),
                        pick.endpoint,
                    );
                    self.pick = pick;
                    let (head, answer) = answer.into_parts();
                    self.progress = Progress::new(self.admitted.route.kind, &head);
                    self.answer = answer;
                    return true;
                }
                Ok(answer) => {
                    answer.into_body().discard();
                    return false;
                }
                Err(failure) => record_failure(&context, &mut self.admitted, &pick, &failure),
            }
        }
        false
    }

    fn record_failure(&self, now_ms: u64) {
        let endpoint = &self.pick.endpoint;
        if self.context.fleet.record_failure(now_ms, endpoint) {
            log::warn!("entry: endpoint={endpoint} ejected");
        }
    }

    /// Ends the answer with an error.
    async fn abort(self, outcome: &'static str, reason: &str) {
        self.log(outcome, reason);
        let reason = reason.to_owned();
        // Fails only if the caller has disconnected.
        let _ = self.caller.send(Err(Interrupted { reason })).await;
    }

    /// Logs and counts the end of the answer.
    fn log(&self, outcome: &'static str, reason: &str) {
        let took_ms = self.context.clock.now_ms() - self.admitted.arrived_ms;
        let framing = self.progress.framing;
        self.context.meters.relayed(outcome, framing, took_ms);
        log::info!(
            "entry: request={} stream={outcome} endpoint={} {} took_ms={took_ms} reason=\"{reason}\"",
            self.admitted.id(),
            self.pick.endpoint,
            self.progress,
        );
    }
}
