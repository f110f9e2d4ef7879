//! Passes an endpoint's answer on to the caller as it arrives.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use quetzalpick_client::http::Body as Answer;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use crate::config::Kind;
use crate::fleet::Pick;
use crate::serve::attempt::{note, pick, send};
use crate::serve::body::Broken;
use crate::serve::request::Admitted;
use crate::serve::sse::Events;
use crate::serve::{Context, Supply};
use crate::wire::HeadCodec;

/// Time by which the last part of an answer may arrive after the deadline, in ms.
const LATE_MS: u64 = 120;

/// Longest time to the end of an answer if neither the caller nor the operator sets one, in ms.
const ANSWER_MAX_MS: u64 = 3_600_000;

/// `End` is how an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum End {
    /// It is complete.
    Complete,
    /// The caller left.
    CallerGone,
    /// The time for it is over.
    TimedOut,
    /// The endpoint broke it off.
    Broken(String),
}

/// `Relay` is an answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct Relay<E, S> {
    pub(crate) context: Arc<Context<E, S>>,
    pub(crate) admitted: Admitted,
    pub(crate) pick: Pick,
    pub(crate) answer: Answer,
    pub(crate) caller: Sender<Result<Bytes, Broken>>,
}

impl<E: HeadCodec, S: Supply> Relay<E, S> {
    /// Relays until the answer ends.
    pub(crate) async fn run(mut self) {
        let resumable = matches!(self.admitted.route.kind, Kind::Stream { resumable: true });
        let mut events = resumable.then(|| Events::after(self.admitted.metadata.last_event_id));
        loop {
            let end = self.pass_on(&mut events).await;
            let now_ms = self.context.clock.now_ms();
            let reason = match end {
                End::Complete => {
                    self.context.fleet.succeed(now_ms, &self.pick.endpoint);
                    self.log("complete", "");
                    return;
                }
                End::CallerGone => return self.log("caller-gone", ""),
                End::TimedOut => return self.break_off("timed-out", "the time is over").await,
                End::Broken(reason) => reason,
            };
            self.note_failure(now_ms);
            let resumed = match &events {
                Some(events) => self.resume(events.last()).await,
                None => false,
            };
            if !resumed {
                return self.break_off("broken", &reason).await;
            }
            // The part of an event that the former endpoint left is dropped.
            events = events.map(|events| Events::after(events.last()));
        }
    }

    /// Passes parts on until the answer ends one way or another.
    async fn pass_on(&mut self, events: &mut Option<Events>) -> End {
        loop {
            let now_ms = self.context.clock.now_ms();
            let left_ms = self.admitted.left_ms(now_ms).unwrap_or(ANSWER_MAX_MS);
            let limit = Duration::from_millis(left_ms + LATE_MS);
            let frame = tokio::select! {
                biased;
                () = self.caller.closed() => return End::CallerGone,
                frame = timeout(limit, self.answer.frame()) => frame,
            };
            let part = match frame {
                Err(_) => return End::TimedOut,
                Ok(Some(Err(error))) => return End::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => match (frame.into_data(), &mut *events) {
                    (Ok(bytes), Some(events)) => events.push(&bytes),
                    (Ok(bytes), None) => Some(bytes),
                    (Err(_), _) => None,
                },
                Ok(None) => {
                    let rest = events.as_mut().and_then(Events::finish);
                    if let Some(rest) = rest
                        && self.caller.send(Ok(rest)).await.is_err()
                    {
                        return End::CallerGone;
                    }
                    return End::Complete;
                }
            };
            if let Some(part) = part
                && self.caller.send(Ok(part)).await.is_err()
            {
                return End::CallerGone;
            }
        }
    }

    /// Goes on with a broken stream at another endpoint after an event; tells whether that began.
    async fn resume(&mut self, after: Option<u64>) -> bool {
        let context = Arc::clone(&self.context);
        while self.admitted.has_runs_left() && context.withdraw() {
            let Some(pick) = pick(&context, &self.admitted) else {
                return false;
            };
            self.admitted.tried.push(pick.endpoint.clone());
            match send(&context, &self.admitted, &pick, after).await {
                Ok(answer) if answer.status().is_success() => {
                    self.admitted.runs += 1;
                    log::info!(
                        "entry: request={} resumed endpoint={} after={after:?}",
                        self.admitted.id(),
                        pick.endpoint,
                    );
                    self.pick = pick;
                    self.answer = answer.into_body();
                    return true;
                }
                Ok(answer) => {
                    answer.into_body().discard();
                    return false;
                }
                Err(failure) => note(&context, &mut self.admitted, &pick, &failure),
            }
        }
        false
    }

    fn note_failure(&self, now_ms: u64) {
        let endpoint = &self.pick.endpoint;
        if self.context.fleet.fail(now_ms, endpoint) {
            log::warn!("entry: endpoint={endpoint} ejected");
        }
    }

    /// Ends the answer as broken.
    async fn break_off(self, outcome: &'static str, reason: &str) {
        self.log(outcome, reason);
        let reason = reason.to_owned();
        // A caller that is gone needs no word of it.
        let _ = self.caller.send(Err(Broken { reason })).await;
    }

    /// Logs how the answer ended, and counts it.
    fn log(&self, outcome: &'static str, reason: &str) {
        let took_ms = self.context.clock.now_ms() - self.admitted.arrived_ms;
        self.context.meters.relayed(outcome, took_ms);
        log::info!(
            "entry: request={} stream={outcome} endpoint={} took_ms={took_ms} reason=\"{reason}\"",
            self.admitted.id(),
            self.pick.endpoint,
        );
    }
}
