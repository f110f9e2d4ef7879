//! Relays an endpoint's answer to the caller as it arrives, and resumes interrupted streams.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use quetzalpick_client::http::Body as Answer;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use crate::fleet::Pick;
use crate::serve::attempt::{Call, Failure, pick, record_failure};
use crate::serve::body::Interrupted;
use crate::serve::progress::Progress;
use crate::serve::request::Admitted;
use crate::serve::{Context, PeerClient, crash, take_up};
use crate::wire::HeadCodec;

/// Time after the deadline in which the last fragment of an answer may still arrive, in ms.
const LATE_MS: u64 = 120;

/// Timeout for a complete answer if neither the caller nor the operator sets one, in ms.
const DEFAULT_ANSWER_TIMEOUT_MS: u64 = 3_600_000;

/// Objective for the pause between a resumable stream's events if the route sets none, in ms.
const PAUSE_DEFAULT_MS: u64 = 500;

/// Multiple of the pause objective after which a resumable stream goes on at another endpoint.
const PAUSE_MULTIPLE: u64 = 5;

/// Delay of a timer from which on this process is assumed to have stood still.
const STANDSTILL: Duration = Duration::from_millis(100);

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
    /// The stream has brought no event for longer than its route allows.
    Stalled,
}

/// `AnswerRelay` forwards one answer from an endpoint to the caller.
#[derive(Debug)]
pub(crate) struct AnswerRelay<E, S> {
    pub(crate) context: Arc<Context<E, S>>,
    pub(crate) admitted: Admitted,
    pub(crate) pick: Pick,
    /// The answer; `None` once it was given up.
    pub(crate) answer: Option<Answer>,
    pub(crate) progress: Progress,
    /// Time from which the pause before the next event is measured, in ms: the last event, or the last search for another endpoint.
    pub(crate) pause_from_ms: u64,
    /// Whether it is recorded where the stream began.
    pub(crate) origin_recorded: bool,
    pub(crate) caller: Sender<Result<Bytes, Interrupted>>,
}

impl<E: HeadCodec, S: PeerClient> AnswerRelay<E, S> {
    /// Relays until the answer ends.
    pub(crate) async fn run(mut self) {
        loop {
            let end = match self.forward().await {
                End::Stalled => self.ask_another().await,
                end => Some(end),
            };
            let reason = match end {
                None | Some(End::Stalled) => continue,
                Some(End::Complete) => {
                    let now_ms = self.context.clock.now_ms();
                    self.context
                        .fleet
                        .record_success(now_ms, &self.pick.endpoint);
                    return self.log("complete", "");
                }
                Some(End::CallerGone) => return self.log("caller-gone", ""),
                Some(End::TimedOut) => {
                    return self.abort("timed-out", "the deadline has passed").await;
                }
                Some(End::Interrupted(reason)) => reason,
            };
            self.record_failure();
            // An incomplete event of the former endpoint is dropped.
            if !self.resume().await {
                return self.abort("broken", &reason).await;
            }
        }
    }

    /// Forwards fragments until the answer ends.
    async fn forward(&mut self) -> End {
        loop {
            let passed_on = match self.next_bytes().await {
                Ok(bytes) => self.pass_on(bytes).await,
                Err(end) => Err(end),
            };
            if let Err(end) = passed_on {
                return end;
            }
        }
    }

    /// Forwards bytes of the answer; returns whether they completed an event.
    async fn pass_on(&mut self, bytes: Bytes) -> Result<bool, End> {
        let events = self.progress.events();
        let Some(fragment) = self.progress.push(bytes) else {
            return Ok(false);
        };
        self.record_origin();
        if self.caller.send(Ok(fragment)).await.is_err() {
            return Err(End::CallerGone);
        }
        let has_event = self.progress.events() > events;
        if has_event {
            // The time for which the caller did not read is no pause of the endpoint.
            self.pause_from_ms = self.context.clock.now_ms();
        }
        Ok(has_event)
    }

    /// Waits for the next bytes of the answer.
    ///
    /// # Errors
    ///
    /// How the answer ended, if no more are to be expected.
    async fn next_bytes(&mut self) -> Result<Bytes, End> {
        loop {
            let now_ms = self.context.clock.now_ms();
            let left_ms = self.admitted.left_ms(now_ms);
            let left_ms = left_ms.unwrap_or(DEFAULT_ANSWER_TIMEOUT_MS);
            let end_ms = now_ms.saturating_add(left_ms).saturating_add(LATE_MS);
            let pause_end_ms = self.pause_end_ms().unwrap_or(u64::MAX);
            let limit = Duration::from_millis(end_ms.min(pause_end_ms).saturating_sub(now_ms));
            let Some(answer) = &mut self.answer else {
                return Err(End::Interrupted("the answer was given up".to_owned()));
            };
            let frame = tokio::select! {
                biased;
                () = self.caller.closed() => return Err(End::CallerGone),
                frame = timeout(limit, answer.frame()) => frame,
            };
            let waited_ms = self.context.clock.now_ms().saturating_sub(now_ms);
            let stood_still = Duration::from_millis(waited_ms) > limit + STANDSTILL;
            if stood_still {
                self.pause_from_ms = now_ms + waited_ms;
            }
            return match frame {
                // The answer may have gone on while this process stood still.
                Err(_) if stood_still && pause_end_ms < end_ms => continue,
                Err(_) if pause_end_ms < end_ms => Err(End::Stalled),
                Err(_) => Err(End::TimedOut),
                Ok(Some(Err(error))) => Err(self.interrupted(error.to_string())),
                Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
                Ok(None) => Err(self.end()),
            };
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
            Some(reason) => self.interrupted(reason.to_owned()),
            None => End::Complete,
        }
    }

    /// Returns the end of an answer that the endpoint interrupted.
    fn interrupted(&self, reason: String) -> End {
        if self.progress.is_event_stream() && self.progress.events() == 0 {
            crash::record(&self.admitted, &self.pick);
        }
        End::Interrupted(reason)
    }

    /// Asks another endpoint to go on with a stalled stream, and keeps the present one until that has accepted; returns how the
    /// stream ended, if it did.
    async fn ask_another(&mut self) -> Option<End> {
        let pick = self.other_endpoint().await;
        self.pause_from_ms = self.context.clock.now_ms();
        let Some(pick) = pick else {
            let (request, endpoint) = (self.admitted.id(), &self.pick.endpoint);
            log::info!("entry: request={request} slow endpoint={endpoint} replaced=false");
            return None;
        };
        let context = Arc::clone(&self.context);
        let after = self.progress.last_event_id();
        self.admitted.attempted.push(pick.endpoint.clone());
        let call = match Call::try_new(&context, &self.admitted, &pick, after) {
            Ok(call) => call,
            Err(failure) => {
                record_failure(&context, &mut self.admitted, &pick, &failure);
                return None;
            }
        };
        let mut end = None;
        let answer = {
            let mut sending = pin!(call.send(&context, &pick));
            loop {
                let bytes = tokio::select! {
                    biased;
                    bytes = self.next_bytes() => bytes,
                    answer = &mut sending => break answer,
                };
                let passed_on = match bytes {
                    Ok(bytes) => self.pass_on(bytes).await,
                    Err(end) => Err(end),
                };
                match passed_on {
                    Ok(true) => {
                        self.give_up(&pick);
                        return None;
                    }
                    Ok(false) => {}
                    Err(End::Stalled) => self.pause_from_ms = context.clock.now_ms(),
                    Err(End::Interrupted(reason)) => {
                        end = Some(End::Interrupted(reason));
                        break tokio::select! {
                            biased;
                            () = self.caller.closed() => return Some(End::CallerGone),
                            answer = &mut sending => answer,
                        };
                    }
                    Err(end) => return Some(end),
                }
            }
        };
        if self.accept(pick, answer, after) {
            return None;
        }
        end
    }

    /// Records that an endpoint was asked to go on with the stream, but is not needed.
    fn give_up(&mut self, pick: &Pick) {
        self.admitted.possible_runs += 1;
        log::info!(
            "entry: request={} given up endpoint={} slow=false",
            self.admitted.id(),
            pick.endpoint
        );
    }

    /// Returns the time at which the present pause is too long, in ms; `None` if the stream cannot go on elsewhere.
    fn pause_end_ms(&self) -> Option<u64> {
        if !self.may_go_on_elsewhere() {
            return None;
        }
        let pause_ms = self.admitted.route.pause_ms.unwrap_or(PAUSE_DEFAULT_MS);
        Some(self.pause_from_ms + pause_ms * PAUSE_MULTIPLE)
    }

    /// Returns whether the stream may go on at another endpoint, after the events that its caller has.
    fn may_go_on_elsewhere(&self) -> bool {
        let admitted = &self.admitted;
        admitted.is_resumable() && self.progress.can_continue() && admitted.has_runs_left()
    }

    /// Picks an endpoint, other than the present one, at which the stream may go on, and withdraws a retry for it.
    async fn other_endpoint(&mut self) -> Option<Pick> {
        let pick = pick(&self.context, &self.admitted).await?;
        let is_other = pick.endpoint != self.pick.endpoint;
        (is_other && self.context.withdraw()).then_some(pick)
    }

    /// Resumes an interrupted stream at another endpoint after its last event; returns whether an endpoint accepted.
    async fn resume(&mut self) -> bool {
        while self.may_go_on_elsewhere() && self.context.withdraw() {
            let Some(pick) = pick(&self.context, &self.admitted).await else {
                return false;
            };
            if self.resume_at(pick).await {
                return true;
            }
        }
        false
    }

    /// Resumes a stream at a picked endpoint; returns whether that accepted.
    async fn resume_at(&mut self, pick: Pick) -> bool {
        let context = Arc::clone(&self.context);
        let after = self.progress.last_event_id();
        self.admitted.attempted.push(pick.endpoint.clone());
        let answer = match Call::try_new(&context, &self.admitted, &pick, after) {
            Ok(call) => call.send(&context, &pick).await,
            Err(failure) => Err(failure),
        };
        self.accept(pick, answer, after)
    }

    /// Goes on with the answer of another endpoint, if that accepted and the caller has no more than the events up to `after`;
    /// returns whether it does.
    fn accept(
        &mut self,
        pick: Pick,
        answer: Result<Response<Answer>, Failure>,
        after: Option<u64>,
    ) -> bool {
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => {
                record_failure(&self.context, &mut self.admitted, &pick, &failure);
                return false;
            }
        };
        let (head, answer) = answer.into_parts();
        if !head.status.is_success() || !self.progress.can_continue() {
            self.give_up(&pick);
            answer.discard();
            return false;
        }
        self.admitted.possible_runs += 1;
        log::info!(
            "entry: request={} resumed endpoint={} build={} former_build={} after={after:?}",
            self.admitted.id(),
            pick.endpoint,
            pick.build.as_str(),
            self.pick.build.as_str(),
        );
        if self.answer.is_some() {
            self.record_failure();
        }
        self.pick = pick;
        self.progress = Progress::new(self.admitted.route.kind, &head, after);
        self.pause_from_ms = self.context.clock.now_ms();
        // The former endpoint stops as its connection is closed.
        self.answer = Some(answer);
        true
    }

    fn record_failure(&self) {
        let now_ms = self.context.clock.now_ms();
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
