//! Relays an endpoint's answer to the caller as it arrives, and resumes interrupted streams.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use quetzalpick_client::http::{Body as Answer, Framing};
use tokio::time::timeout;

use crate::fleet::Pick;
use crate::serve::body::Interrupted;
use crate::serve::fragments::{CallerGone, Sender};
use crate::serve::pacing::Pacing;
use crate::serve::progress::Progress;
use crate::serve::request::Admitted;
use crate::serve::sse::{Loss, Violation};
use crate::serve::{Context, PeerClient, crash, take_up};
use crate::wire::HeadCodec;

/// Time after the deadline in which the last fragment of an answer may still arrive, in ms.
const LATE_MS: u64 = 120;

/// Timeout for a complete answer if neither the caller nor the operator sets one, in ms.
pub(super) const DEFAULT_ANSWER_TIMEOUT_MS: u64 = 3_600_000;

/// Objective for the pause between a resumable stream's events if the route sets none, in ms.
const PAUSE_DEFAULT_MS: u64 = 500;

/// Multiple of the pause objective after which a resumable stream goes on at another endpoint.
const PAUSE_MULTIPLE: u64 = 5;

/// Delay of a timer from which on this process is assumed to have stood still.
const STANDSTILL: Duration = Duration::from_millis(100);

/// Time without room for a fragment after which the answer counts as left unread, in ms.
const UNREAD_MS: u64 = 1_000;

/// Time after that in which an interruption is put down to the caller, in ms.
const CUT_OFF_MS: u64 = 5_000;

/// Time that a caller has at least to make room for a fragment, in ms.
const TAKE_LIMIT_MS: u64 = 5_000;

/// `End` classifies how an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum End {
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
    /// Whether the endpoint answered with a server error, which does not show that it survives the request.
    pub(crate) is_server_error: bool,
    /// Time from which the pause before the next event is measured, in ms: the last event, or the last search for another endpoint.
    pub(crate) pause_from_ms: u64,
    /// Time until which the endpoint may cut the answer off because the caller left it unread, in ms.
    pub(crate) unread_until_ms: u64,
    /// Whether it is recorded where the stream began.
    pub(crate) origin_recorded: bool,
    /// What its pauses tell about its endpoint.
    pub(crate) pacing: Pacing,
    pub(crate) caller: Sender,
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
                    let route = &self.admitted.route.name;
                    self.pacing.end(&self.context, route, &self.pick);
                    if !self.is_server_error {
                        let request = [self.admitted.repeat_feature()].into_iter();
                        self.context.quarantine.record_answer(now_ms, request);
                    }
                    return self.log("complete", "");
                }
                Some(End::CallerGone) => return self.log("caller-gone", ""),
                Some(End::TimedOut) => {
                    return self.abort("timed-out", "the deadline has passed");
                }
                Some(End::Interrupted(reason)) => reason,
            };
            self.record_failure();
            // An incomplete event of the former endpoint is dropped.
            match self.resume(reason).await {
                None => {}
                Some(End::Interrupted(reason)) => return self.abort("broken", &reason),
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
    pub(super) fn push(&mut self, bytes: Bytes) -> (Option<Bytes>, bool) {
        let events = self.progress.events();
        let fragment = self.progress.push(bytes);
        let has_event = self.progress.events() > events;
        if has_event {
            self.record_origin();
            self.record_pause(events);
        }
        if has_event && events == 0 {
            let now_ms = self.context.clock.now_ms();
            let parts = self.admitted.part_features();
            self.context.quarantine.record_answer(now_ms, parts);
        }
        (fragment, has_event)
    }

    /// Forwards a fragment of the answer.
    pub(super) async fn deliver(
        &mut self,
        fragment: Option<Bytes>,
        has_event: bool,
    ) -> Result<(), End> {
        let Some(fragment) = fragment else {
            return Ok(());
        };
        match self.caller.try_send(fragment) {
            Err(CallerGone) => return Err(End::CallerGone),
            Ok(Some(fragment)) => self.wait_for_caller(fragment).await?,
            Ok(None) => {}
        }
        if has_event {
            // The time for which the caller did not read is no pause of the endpoint.
            self.pause_from_ms = self.context.clock.now_ms();
        }
        Ok(())
    }

    /// Forwards a fragment as the caller makes room for it.
    async fn wait_for_caller(&mut self, fragment: Bytes) -> Result<(), End> {
        let from_ms = self.context.clock.now_ms();
        // What has arrived is also delivered late.
        let limit_ms = self.end_ms(from_ms).saturating_sub(from_ms);
        let limit = Duration::from_millis(limit_ms.max(TAKE_LIMIT_MS));
        let mut sending = pin!(timeout(limit, self.caller.send(fragment)));
        let sent = tokio::select! {
            biased;
            sent = &mut sending => sent,
            () = self.progress.lost() => {
                self.progress.lose(Loss::Stalled);
                // The events before the dropped one are delivered.
                sending.await
            }
        };
        let now_ms = self.context.clock.now_ms();
        self.pacing.record_delivery(now_ms.saturating_sub(from_ms));
        if now_ms.saturating_sub(from_ms) >= UNREAD_MS {
            self.unread_until_ms = now_ms + CUT_OFF_MS;
        }
        match sent {
            Err(_) => Err(End::TimedOut),
            Ok(Err(CallerGone)) => Err(End::CallerGone),
            Ok(Ok(())) => Ok(()),
        }
    }

    /// Waits for the next bytes of the answer.
    ///
    /// # Errors
    ///
    /// How the answer ended, if no more are to be expected.
    pub(super) async fn next_bytes(&mut self) -> Result<Bytes, End> {
        let bytes = self.read().await;
        if matches!(bytes, Err(End::Interrupted(_))) {
            // No other endpoint completes it.
            self.progress.drop_event();
        }
        bytes
    }

    /// Reads the next bytes of the answer.
    async fn read(&mut self) -> Result<Bytes, End> {
        loop {
            if let Some(violation) = self.progress.violation() {
                return Err(self.break_off(violation));
            }
            let now_ms = self.context.clock.now_ms();
            let end_ms = self.end_ms(now_ms);
            let pause_end_ms = self.pause_end_ms().unwrap_or(u64::MAX);
            let limit = Duration::from_millis(end_ms.min(pause_end_ms).saturating_sub(now_ms));
            let Some(answer) = &mut self.answer else {
                return Err(End::Interrupted("the answer was given up".to_owned()));
            };
            let frame = tokio::select! {
                biased;
                () = self.caller.closed() => return Err(End::CallerGone),
                () = self.progress.lost() => {
                    self.progress.lose(Loss::Stalled);
                    continue;
                }
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
                Ok(Some(Err(error))) => {
                    self.record_crash();
                    Err(End::Interrupted(error.to_string()))
                }
                Ok(Some(Ok(frame))) => {
                    self.context.link.record_heard();
                    Ok(frame.into_data().unwrap_or_default())
                }
                Ok(None) => Err(self.end()),
            };
        }
    }

    /// Ends an answer whose further bytes do not belong to the stream.
    fn break_off(&self, violation: Violation) -> End {
        if let Violation::Memory(loss) = violation {
            self.context.meters.dropped(loss);
            let (request, endpoint) = (self.admitted.id(), &self.pick.endpoint);
            log::warn!(
                "entry: request={request} event dropped endpoint={endpoint} cause={loss} {}",
                self.progress
            );
        }
        End::Interrupted(violation.to_string())
    }

    /// Returns the time up to which bytes may arrive and be taken by the caller, in ms.
    fn end_ms(&self, now_ms: u64) -> u64 {
        let left_ms = self.admitted.left_ms(now_ms);
        let left_ms = left_ms.unwrap_or(DEFAULT_ANSWER_TIMEOUT_MS);
        now_ms.saturating_add(left_ms).saturating_add(LATE_MS)
    }

    /// Records the pause before new events; `former_events` is the number of events before them.
    fn record_pause(&mut self, former_events: u64) {
        if former_events == 0 {
            self.context.fleet.end_reading(&mut self.pick);
            return;
        }
        let now_ms = self.context.clock.now_ms();
        let events = self.progress.events() - former_events;
        let pause = (events, now_ms.saturating_sub(self.pause_from_ms));
        let route = &self.admitted.route.name;
        self.pacing
            .record_events(&self.context, route, &self.pick, pause);
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
        let Some(reason) = self.progress.missing_end() else {
            return End::Complete;
        };
        // Otherwise the endpoint has ended the answer itself, and goes on.
        if self.progress.framing() == Framing::ConnectionEnd {
            self.record_crash();
        }
        End::Interrupted(reason.to_owned())
    }

    /// Records that the endpoint may have crashed, unless the deadline has passed, at which endpoints stop, or the answer was left
    /// unread, which endpoints cut off.
    fn record_crash(&self) {
        let now_ms = self.context.clock.now_ms();
        if now_ms < self.unread_until_ms || self.admitted.left_ms(now_ms) == Some(0) {
            return;
        }
        let has_event = !self.progress.is_event_stream() || self.progress.events() > 0;
        crash::record(&self.context, &self.admitted, &self.pick, has_event);
    }

    /// Returns the time at which the present pause is too long, in ms; `None` if the stream cannot go on elsewhere.
    fn pause_end_ms(&self) -> Option<u64> {
        if !self.may_go_on_elsewhere() {
            return None;
        }
        let pause_ms = self.admitted.route.pause_ms.unwrap_or(PAUSE_DEFAULT_MS);
        Some(self.pause_from_ms + pause_ms * PAUSE_MULTIPLE)
    }

    pub(super) fn record_failure(&self) {
        let now_ms = self.context.clock.now_ms();
        if now_ms < self.unread_until_ms {
            return;
        }
        let endpoint = &self.pick.endpoint;
        if self.context.fleet.record_failure(now_ms, endpoint) {
            log::warn!("entry: endpoint={endpoint} ejected");
        }
    }

    /// Ends the answer with an error.
    fn abort(self, outcome: &'static str, reason: &str) {
        self.log(outcome, reason);
        let reason = reason.to_owned();
        // Fails only if the caller has disconnected.
        let _ = self.caller.interrupt(Interrupted { reason });
    }

    /// Logs and counts the end of the answer.
    fn log(&self, outcome: &'static str, reason: &str) {
        let took_ms = self.context.clock.now_ms() - self.admitted.arrived_ms;
        let framing = self.progress.framing();
        self.context.meters.relayed(outcome, framing, took_ms);
        log::info!(
            "entry: request={} stream={outcome} endpoint={} {} digest={:016x} took_ms={took_ms} pause_ms={} reason=\"{reason}\"",
            self.admitted.id(),
            self.pick.endpoint,
            self.progress,
            self.admitted.digest,
            self.pacing.longest_ms(),
        );
    }
}
