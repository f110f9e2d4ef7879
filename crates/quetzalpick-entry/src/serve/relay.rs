//! Relays an endpoint's answer to the caller as it arrives, and resumes interrupted streams.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use quetzalpick_client::http::Body as Answer;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep, timeout};

use crate::fleet::Pick;
use crate::serve::attempt::{
    Call, Failure, OBJECTIVE_MULTIPLE, OVERLAP_MAX, pick, pick_backup, record_failure,
};
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

/// Result of an attempt to resume a stream.
type Answered = Result<Response<Answer>, Failure>;

/// `First` tells what came first after another endpoint was asked to go on with a stalled stream.
#[derive(Debug)]
enum First {
    /// The other endpoint's answer, and how the present one ended if it did.
    Other(Box<Answered>, Option<End>),
    /// An event of the present endpoint, to be forwarded.
    Event(Option<Bytes>),
    /// Neither in the time for which both may be asked.
    Neither,
    /// The end of the stream.
    Ended(End),
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
            match self.resume(reason).await {
                None => {}
                Some(End::Interrupted(reason)) => return self.abort("broken", &reason).await,
                Some(_) => return self.log("caller-gone", ""),
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

    /// Forwards bytes of the answer.
    async fn pass_on(&mut self, bytes: Bytes) -> Result<(), End> {
        let (fragment, has_event) = self.push(bytes);
        self.deliver(fragment, has_event).await
    }

    /// Adds bytes of the answer; returns what can be forwarded, and whether it completes an event.
    fn push(&mut self, bytes: Bytes) -> (Option<Bytes>, bool) {
        let events = self.progress.events();
        let fragment = self.progress.push(bytes);
        let has_event = self.progress.events() > events;
        if has_event {
            self.record_origin();
        }
        if has_event && events == 0 {
            let now_ms = self.context.clock.now_ms();
            let parts = self.admitted.metadata.shared_parts();
            self.context.quarantine.record_answer(now_ms, parts);
        }
        (fragment, has_event)
    }

    /// Forwards a fragment of the answer.
    async fn deliver(&mut self, fragment: Option<Bytes>, has_event: bool) -> Result<(), End> {
        let Some(fragment) = fragment else {
            return Ok(());
        };
        if self.caller.send(Ok(fragment)).await.is_err() {
            return Err(End::CallerGone);
        }
        if has_event {
            // The time for which the caller did not read is no pause of the endpoint.
            self.pause_from_ms = self.context.clock.now_ms();
        }
        Ok(())
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
            crash::record(&self.context, &self.admitted, &self.pick);
        }
        End::Interrupted(reason)
    }

    /// Asks another endpoint to go on with a stalled stream, and keeps the present one until that has accepted; returns how the
    /// stream ended, if it did.
    async fn ask_another(&mut self) -> Option<End> {
        let context = Arc::clone(&self.context);
        self.pause_from_ms = context.clock.now_ms();
        let Some(pick) = pick_backup(&context, &self.admitted) else {
            let (request, endpoint) = (self.admitted.id(), &self.pick.endpoint);
            log::info!("entry: request={request} slow endpoint={endpoint} replaced=false");
            return None;
        };
        let after = self.progress.last_event_id();
        let call = match self.prepare(&pick, after) {
            Ok(call) => call,
            Err(failure) => {
                record_failure(&context, &mut self.admitted, &pick, &failure);
                return None;
            }
        };
        let first = self.race(call.send(&context, &pick)).await;
        match first {
            First::Other(answer, end) => {
                if self.accept(pick, *answer, after) {
                    return None;
                }
                end
            }
            First::Event(fragment) => {
                self.give_up(&pick);
                self.deliver(fragment, true).await.err()
            }
            First::Neither => {
                self.give_up(&pick);
                None
            }
            First::Ended(end) => Some(end),
        }
    }

    /// Waits for the answer of another endpoint or the next event of the present one, and forwards comments meanwhile. Both may be at
    /// work on the stream, so that this does not last.
    async fn race(&mut self, sending: impl Future<Output = Answered>) -> First {
        let mut sending = pin!(sending);
        let mut overlap = pin!(sleep(OVERLAP_MAX));
        loop {
            let bytes = tokio::select! {
                biased;
                bytes = self.next_bytes() => bytes,
                answer = &mut sending => return First::Other(Box::new(answer), None),
                () = &mut overlap => return First::Neither,
            };
            let delivered = match bytes {
                Ok(bytes) => match self.push(bytes) {
                    (fragment, true) => return First::Event(fragment),
                    (fragment, false) => self.deliver(fragment, false).await,
                },
                Err(end) => Err(end),
            };
            match delivered {
                Ok(()) => {}
                Err(End::Stalled) => self.pause_from_ms = self.context.clock.now_ms(),
                Err(End::Interrupted(reason)) => {
                    let left = self.time_for_head();
                    return tokio::select! {
                        biased;
                        () = self.caller.closed() => First::Ended(End::CallerGone),
                        answer = &mut sending => {
                            First::Other(Box::new(answer), Some(End::Interrupted(reason)))
                        },
                        () = sleep(left) => First::Ended(End::Interrupted(reason)),
                    };
                }
                Err(end) => return First::Ended(end),
            }
        }
    }

    /// Prepares an attempt to resume the stream at a picked endpoint.
    fn prepare(&mut self, pick: &Pick, after: Option<u64>) -> Result<Call, Failure> {
        self.admitted.attempted.push(pick.endpoint.clone());
        Call::try_new(&self.context, &self.admitted, pick, after)
    }

    /// Returns how long an endpoint that was asked to resume an interrupted stream has for the head of its answer.
    fn time_for_head(&self) -> Duration {
        let left_ms = self.admitted.left_ms(self.context.clock.now_ms());
        let left_ms = left_ms.unwrap_or(DEFAULT_ANSWER_TIMEOUT_MS);
        let objective_ms = self.admitted.route.objective_ms;
        let patience_ms = objective_ms.map_or(left_ms, |objective_ms| {
            (objective_ms * OBJECTIVE_MULTIPLE).min(left_ms / 2)
        });
        Duration::from_millis(patience_ms)
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
        admitted.is_resumable()
            && self.progress.can_continue()
            && admitted.has_runs_left()
            && self.context.block(admitted).is_none()
    }

    /// Resumes an interrupted stream at another endpoint after its last event; returns how it ended if none accepted.
    async fn resume(&mut self, reason: String) -> Option<End> {
        while self.may_go_on_elsewhere() && self.has_time_left() && self.context.withdraw() {
            let Some(pick) = pick(&self.context, &self.admitted).await else {
                break;
            };
            match self.resume_at(pick).await {
                Ok(true) => return None,
                Ok(false) => {}
                Err(end) => return Some(end),
            }
        }
        Some(End::Interrupted(reason))
    }

    fn has_time_left(&self) -> bool {
        self.admitted.left_ms(self.context.clock.now_ms()) != Some(0)
    }

    /// Resumes a stream at a picked endpoint; returns whether that accepted.
    ///
    /// # Errors
    ///
    /// `End::CallerGone` if the caller disconnects.
    async fn resume_at(&mut self, pick: Pick) -> Result<bool, End> {
        let context = Arc::clone(&self.context);
        let after = self.progress.last_event_id();
        let call = self.prepare(&pick, after);
        let time_for_head = self.time_for_head();
        let sending = async {
            let answer = timeout(time_for_head, call?.send(&context, &pick)).await;
            answer.unwrap_or_else(|_| {
                let limit_ms = time_for_head.as_millis();
                let reason = format!("no answer within {limit_ms} ms");
                Err(Failure::may_have_run(reason))
            })
        };
        let answer = tokio::select! {
            biased;
            () = self.caller.closed() => return Err(End::CallerGone),
            answer = sending => answer,
        };
        Ok(self.accept(pick, answer, after))
    }

    /// Goes on with the answer of another endpoint, if that accepted and the caller has no more than the events up to `after`;
    /// returns whether it does.
    fn accept(&mut self, pick: Pick, answer: Answered, after: Option<u64>) -> bool {
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => {
                record_failure(&self.context, &mut self.admitted, &pick, &failure);
                return false;
            }
        };
        let (head, answer) = answer.into_parts();
        let build = self.admitted.build.as_ref();
        let is_other_build = build.is_some_and(|build| *build != pick.build);
        if !head.status.is_success() || !self.progress.can_continue() || is_other_build {
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
