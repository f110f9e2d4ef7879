//! Relays an endpoint's answer to the caller as it arrives, and resumes interrupted streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use quetzalpick_client::http::Body as Answer;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use crate::fleet::Pick;
use crate::serve::attempt::{pick, record_failure, send};
use crate::serve::body::Interrupted;
use crate::serve::progress::Progress;
use crate::serve::request::Admitted;
use crate::serve::{Context, PeerClient, take_up};
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

/// `AnswerRelay` forwards one answer from an endpoint to the caller.
#[derive(Debug)]
pub(crate) struct AnswerRelay<E, S> {
    pub(crate) context: Arc<Context<E, S>>,
    pub(crate) admitted: Admitted,
    pub(crate) pick: Pick,
    pub(crate) answer: Answer,
    pub(crate) progress: Progress,
    /// Whether it is recorded where the stream began.
    pub(crate) origin_recorded: bool,
    pub(crate) caller: Sender<Result<Bytes, Interrupted>>,
}

impl<E: HeadCodec, S: PeerClient> AnswerRelay<E, S> {
    /// Relays until the answer ends.
    pub(crate) async fn run(mut self) {
        loop {
            let end = self.forward().await;
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
            // An incomplete event of the former endpoint is dropped.
            let resumable = self.admitted.is_resumable();
            if !(resumable && self.progress.can_continue() && self.resume().await) {
                return self.abort("broken", &reason).await;
            }
        }
    }

    /// Forwards fragments until the answer ends.
    async fn forward(&mut self) -> End {
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
                    self.progress.push(bytes)
                }
                Ok(None) => return self.end(),
            };
            let Some(fragment) = fragment else {
                continue;
            };
            self.record_origin();
            if self.caller.send(Ok(fragment)).await.is_err() {
                return End::CallerGone;
            }
        }
    }

    /// Records where the stream began, once its caller receives an event; before that, any build may begin it anew.
    fn record_origin(&mut self) {
        if !self.origin_recorded && self.progress.is_event_stream() {
            self.origin_recorded = true;
            take_up::record(&self.context, &mut self.admitted, &self.pick);
        }
    }

    /// Classifies the end of the answer's bytes: an interrupted answer may look like a complete one.
    fn end(&self) -> End {
        match self.progress.missing_end() {
            Some(reason) => End::Interrupted(reason.to_owned()),
            None => End::Complete,
        }
    }

    /// Resumes an interrupted stream at another endpoint after its last event; returns whether an endpoint accepted.
    async fn resume(&mut self) -> bool {
        let after = self.progress.last_event_id();
        let context = Arc::clone(&self.context);
        while self.admitted.has_runs_left() && context.withdraw() {
            let Some(pick) = pick(&context, &self.admitted).await else {
                return false;
            };
            self.admitted.attempted.push(pick.endpoint.clone());
            match send(&context, &self.admitted, &pick, after).await {
                Ok(answer) if answer.status().is_success() => {
                    self.admitted.possible_runs += 1;
                    log::info!(
                        "entry: request={} resumed endpoint={} build={} former_build={} after={after:?}",
                        self.admitted.id(),
                        pick.endpoint,
                        pick.build.as_str(),
                        self.pick.build.as_str(),
                    );
                    self.pick = pick;
                    let (head, answer) = answer.into_parts();
                    self.progress = Progress::new(self.admitted.route.kind, &head, after);
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
        let framing = self.progress.framing();
        self.context.meters.relayed(outcome, framing, took_ms);
        log::info!(
            "entry: request={} stream={outcome} endpoint={} {} took_ms={took_ms} reason=\"{reason}\"",
            self.admitted.id(),
            self.pick.endpoint,
            self.progress,
        );
    }
}
