//! Streams that stall or are interrupted, and go on at another endpoint.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use quetzalpick_client::http::Body as Answer;
use tokio::time::{sleep, timeout};

use crate::fleet::Pick;
use crate::serve::PeerClient;
use crate::serve::attempt::{
    Call, Failure, OBJECTIVE_MULTIPLE, OVERLAP_MAX, pick, pick_backup, record_failure,
};
use crate::serve::progress::Progress;
use crate::serve::relay::{AnswerRelay, DEFAULT_ANSWER_TIMEOUT_MS, End};
use crate::wire::HeadCodec;

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

impl<E: HeadCodec, S: PeerClient> AnswerRelay<E, S> {
    /// Asks another endpoint to go on with a stalled stream, and keeps the present one until that has accepted; returns how the
    /// stream ended, if it did.
    pub(super) async fn ask_another(&mut self) -> Option<End> {
        let context = Arc::clone(&self.context);
        self.pause_from_ms = context.clock.now_ms();
        self.pacing.stop();
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
            First::Ended(end) => {
                self.give_up(&pick);
                Some(end)
            }
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
        Call::try_new(&self.context, &mut self.admitted, pick, after)
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

    /// Returns whether the stream may go on at another endpoint, after the events that its caller has, unless it is quarantined.
    pub(super) fn may_go_on_elsewhere(&self) -> bool {
        let admitted = &self.admitted;
        admitted.is_resumable() && self.progress.can_continue() && admitted.has_runs_left()
    }

    /// Returns whether an interrupted stream may be resumed now, and withdraws a retry for it.
    fn may_resume(&self) -> bool {
        self.may_go_on_elsewhere()
            && self.has_time_left()
            && self.context.block(&self.admitted).is_none()
            && self.context.withdraw(&self.admitted.service)
    }

    /// Resumes an interrupted stream at another endpoint after its last event; returns how it ended if none accepted.
    pub(super) async fn resume(&mut self, reason: String) -> Option<End> {
        while self.may_resume() {
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
        self.pacing.stop();
        self.progress =
            Progress::resumed(self.admitted.route.kind, &head, after, &self.context.memory);
        self.pause_from_ms = self.context.clock.now_ms();
        // The former endpoint stops as its connection is closed.
        self.answer = Some(answer);
        true
    }
}
