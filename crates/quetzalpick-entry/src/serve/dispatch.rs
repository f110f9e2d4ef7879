//! The attempts of an admitted request, and the answer of the endpoint that accepts it.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use quetzalpick_core::id::Endpoint;

use crate::exchange::Via;
use crate::fleet::Pick;
use crate::serve::PeerClient;
use crate::serve::attempt::{
    Call, Failure, OBJECTIVE_MULTIPLE, OVERLAP_MAX, carrier_name, pick, pick_backup, record_failure,
};
use crate::serve::body::Body;
use crate::serve::delivery::{Delivery, EndpointAnswer};
use crate::serve::handler::Handler;
use crate::serve::hedge::Hedge;
use crate::serve::pacing::Pacing;
use crate::serve::progress::Progress;
use crate::serve::refusal::{Cause, Refusal};
use crate::serve::relay::AnswerRelay;
use crate::serve::request::Admitted;
use crate::wire::{HeadCodec, strip_connection_headers};

/// Maximum number of endpoints that a request is sent to, including those that decline it.
const SENDS_MAX: usize = 4;

/// Retry delay if no endpoint holds the required artifacts: a load takes about as long.
const RETRY_AFTER_NO_ENDPOINT: Duration = Duration::from_millis(1_000);

/// Shortest time for which an attempt is waited for before another endpoint is asked too, in ms.
const PATIENCE_MIN_MS: u64 = 50;

/// Longest time for which a request waits if its attempts have no timeout of their own.
const NO_PATIENCE_LIMIT: Duration = Duration::from_secs(3_600);

impl<E: HeadCodec, S: PeerClient> Handler<E, S> {
    /// Sends a request to endpoints until one answers it or no further attempt is allowed.
    pub(super) async fn forward(&self, mut admitted: Admitted) -> Result<Response<Body>, Refusal> {
        let mut hedge = Hedge::new();
        let start = |admitted: &mut Admitted, hedge: &mut Hedge<_>, pick: Pick| {
            hedge.push(pick.endpoint.clone(), self.attempt(admitted, pick));
        };
        // The last failed answer of an endpoint, which the caller gets if there is no better one.
        let mut failed = None;
        loop {
            if hedge.is_empty() {
                match self.pick_next(&admitted).await {
                    Ok(pick) => start(&mut admitted, &mut hedge, pick),
                    Err(refusal) => {
                        let refusal = refusal.after(&admitted);
                        return self.answer_failed(admitted, failed).ok_or(refusal);
                    }
                }
            }
            let patience = self.patience(&admitted, hedge.len());
            let outcome = tokio::select! {
                biased;
                outcome = hedge.next(patience) => outcome,
                () = self.context.stop.ending() => {
                    let refusal = self.give_up_at_stop(&mut admitted, &mut hedge);
                    return Err(refusal.after(&admitted));
                }
            };
            let Some(outcome) = outcome else {
                if is_doubled(&admitted, hedge.len()) {
                    self.give_up_oldest(&mut admitted, &mut hedge, true);
                } else if may_follow(&admitted, hedge.len())
                    && let Some(pick) = pick_backup(&self.context, &admitted)
                {
                    start(&mut admitted, &mut hedge, pick);
                }
                continue;
            };
            let (pick, result) = outcome.result;
            let (failure, answer) = match result {
                Ok(answer) if promises_no_run(answer.status()) => {
                    let reason = format!("status {} without a proof", answer.status());
                    let failure = Failure::may_have_run(reason);
                    (failure.with_carrier(answer.carrier()), None)
                }
                Ok(answer) if is_replaceable(&admitted, hedge.len(), &answer) => {
                    let reason = format!("the endpoint failed with status {}", answer.status());
                    let failure = Failure::may_have_run(reason);
                    (failure.with_carrier(answer.carrier()), Some(answer))
                }
                Ok(answer) => {
                    for index in 0..hedge.len() {
                        self.give_up_oldest(&mut admitted, &mut hedge, index < outcome.earlier);
                    }
                    return Ok(self.answer_caller(admitted, pick, answer));
                }
                Err(failure) => (failure, None),
            };
            record_failure(&self.context, &mut admitted, &pick, &failure);
            failed = answer.map(|answer| (pick, answer)).or(failed);
            if hedge.is_empty() && !self.may_retry(&admitted, &failure) {
                let refusal = self.final_refusal(&admitted, &failure).after(&admitted);
                return self.answer_failed(admitted, failed).ok_or(refusal);
            }
        }
    }

    /// Picks the endpoint of the next attempt.
    async fn pick_next(&self, admitted: &Admitted) -> Result<Pick, Refusal> {
        self.check_quarantine(admitted)?;
        match pick(&self.context, admitted).await {
            Some(pick) => Ok(pick),
            None => self.pick_after_load(admitted).await,
        }
    }

    /// Returns how long the attempts under way are waited for before anything else is done.
    fn patience(&self, admitted: &Admitted, under_way: usize) -> Duration {
        if is_doubled(admitted, under_way) {
            return OVERLAP_MAX;
        }
        let route = &admitted.route;
        let another_may_follow =
            may_follow(admitted, under_way) && admitted.attempted.len() < SENDS_MAX;
        let Some(objective_ms) = route.objective_ms.filter(|_| another_may_follow) else {
            return NO_PATIENCE_LIMIT;
        };
        let left_ms = admitted.left_ms(self.context.clock.now_ms());
        let half_ms = left_ms.map_or(u64::MAX, |left_ms| left_ms / 2);
        let patience_ms = (objective_ms * OBJECTIVE_MULTIPLE).min(half_ms);
        Duration::from_millis(patience_ms.max(PATIENCE_MIN_MS))
    }

    /// Gives up the attempt that was started first; `is_slow` tells whether its endpoint was slower than another one.
    fn give_up_oldest<F, T>(&self, admitted: &mut Admitted, hedge: &mut Hedge<F>, is_slow: bool)
    where
        F: Future<Output = (Endpoint, T)>,
    {
        let Some(endpoint) = hedge.give_up_oldest() else {
            return;
        };
        let now_ms = self.context.clock.now_ms();
        if is_slow && self.context.fleet.record_failure(now_ms, &endpoint) {
            log::warn!("entry: endpoint={endpoint} ejected");
        }
        admitted.possible_runs += 1;
        log::info!(
            "entry: request={} given up endpoint={endpoint} slow={is_slow}",
            admitted.id()
        );
    }

    /// Gives all attempts up, because this VM stops; their request may run.
    fn give_up_at_stop<F, T>(&self, admitted: &mut Admitted, hedge: &mut Hedge<F>) -> Refusal
    where
        F: Future<Output = (Endpoint, T)>,
    {
        for _ in 0..hedge.len() {
            self.give_up_oldest(admitted, hedge, false);
        }
        let cause = if admitted.possible_runs > 0 {
            Cause::EndpointFailed
        } else {
            Cause::Stopping
        };
        Refusal::new(cause, "this VM stops")
    }

    /// Picks an endpoint after requesting the adapter that no endpoint holds, or only endpoints at their limits.
    async fn pick_after_load(&self, admitted: &Admitted) -> Result<Pick, Refusal> {
        if let Some(adapter) = &admitted.metadata.adapter {
            self.context.peer_client.request_adapter(adapter).await;
            if let Some(pick) = pick(&self.context, admitted).await {
                return Ok(pick);
            }
        }
        if let Some(refusal) = self.wait_refusal(admitted) {
            return Err(refusal);
        }
        let cause = if admitted.possible_runs > 0 {
            Cause::EndpointFailed
        } else {
            Cause::NoEndpoint
        };
        let artifacts = admitted.artifacts();
        let (service, build) = (&admitted.service, &admitted.build);
        let detail = format!("service={service} build={build:?} artifacts={artifacts:?}");
        Err(Refusal::new(cause, detail).with_retry_after(RETRY_AFTER_NO_ENDPOINT))
    }

    /// Creates the refusal of a request that endpoints may take later: they are at their limits, or run a build that is too new; `None`
    /// if that is not why none was picked.
    fn wait_refusal(&self, admitted: &Admitted) -> Option<Refusal> {
        let context = &self.context;
        let artifacts = admitted.artifacts();
        let now_ms = context.clock.now_ms();
        let requirements = admitted.requirements(&artifacts);
        let limited_ms = context.fleet.limit_wait_ms(now_ms, &requirements);
        let unsettled_ms = context.fleet.settle_wait_ms(now_ms, &requirements);
        let limited = limited_ms.map(|wait_ms| (wait_ms, Cause::EndpointsLimited));
        let unsettled = unsettled_ms.map(|wait_ms| (wait_ms, Cause::UnsettledBuild));
        let waits = limited.into_iter().chain(unsettled);
        let (wait_ms, cause) = waits.min_by_key(|(wait_ms, _)| *wait_ms)?;
        let cause = if admitted.possible_runs > 0 {
            Cause::EndpointFailed
        } else {
            cause
        };
        let detail = format!("service={} wait_ms={wait_ms}", admitted.service);
        let spread = context.record_refusal(&admitted.service);
        // Callers that returned at the end of the wait, all at once, would find no room.
        let retry_after = spread + Duration::from_millis(wait_ms);
        Some(Refusal::new(cause, detail).with_retry_after(retry_after))
    }

    /// Sends a request to a picked endpoint; a short answer that is no stream is buffered in full.
    fn attempt(
        &self,
        admitted: &mut Admitted,
        pick: Pick,
    ) -> impl Future<Output = (Endpoint, (Pick, Result<EndpointAnswer, Failure>))> + use<E, S> {
        let context = Arc::clone(&self.context);
        let call = Call::try_new(&context, admitted, &pick, admitted.metadata.last_event_id);
        let delivery = Delivery::of(admitted);
        async move {
            let answer = match call {
                Ok(call) => delivery.fetch(&context, call, &pick).await,
                Err(failure) => Err(failure),
            };
            (pick.endpoint.clone(), (pick, answer))
        }
    }

    /// Returns whether a request may be sent again; unless the endpoint was unreachable, that costs a retry of the budget.
    fn may_retry(&self, admitted: &Admitted, failure: &Failure) -> bool {
        let left_ms = admitted.left_ms(self.context.clock.now_ms());
        let allowed = failure
            .verdict
            .allows_retry(admitted.route.kind.may_repeat());
        allowed
            && admitted.has_runs_left()
            && admitted.attempted.len() < SENDS_MAX
            && left_ms.is_none_or(|left_ms| left_ms > 0)
            // An attempt that reached no endpoint added no load.
            && (failure.is_unreachable() || self.context.withdraw(&admitted.service))
    }

    /// Creates the refusal of a request that is not sent again.
    fn final_refusal(&self, admitted: &Admitted, failure: &Failure) -> Refusal {
        let left_ms = admitted.left_ms(self.context.clock.now_ms());
        let cause = if admitted.possible_runs == 0 {
            Cause::EndpointsRefused
        } else if left_ms == Some(0) {
            Cause::TimedOut
        } else {
            Cause::EndpointFailed
        };
        let refusal = Refusal::new(cause, &failure.reason);
        match cause {
            Cause::EndpointsRefused => {
                let retry_after = self.context.record_refusal(&admitted.service);
                refusal.with_retry_after(retry_after)
            }
            _ => refusal,
        }
    }

    /// Turns the failed answer of an endpoint, if any, into the response to the caller.
    fn answer_failed(
        &self,
        admitted: Admitted,
        failed: Option<(Pick, EndpointAnswer)>,
    ) -> Option<Response<Body>> {
        let (pick, answer) = failed?;
        Some(self.answer_caller(admitted, pick, answer))
    }

    /// Turns the endpoint's answer into the response to the caller, and starts the relay of a streamed one.
    fn answer_caller(
        &self,
        mut admitted: Admitted,
        pick: Pick,
        answer: EndpointAnswer,
    ) -> Response<Body> {
        self.context.record_acceptance(&admitted.service);
        match answer {
            EndpointAnswer::Buffered(head, bytes) => {
                if !head.status.is_server_error() {
                    let now_ms = self.context.clock.now_ms();
                    self.context.fleet.record_success(now_ms, &pick.endpoint);
                    let features = admitted.features();
                    self.context.quarantine.record_answer(now_ms, features);
                }
                self.log_answer(&admitted, &pick, &head);
                respond(head, Body::full(bytes))
            }
            EndpointAnswer::Streamed(head, answer, length) => {
                // The request runs there even if its answer is interrupted.
                admitted.possible_runs += 1;
                let (caller, body) = Body::streamed(length, self.context.memory.clone());
                self.log_answer(&admitted, &pick, &head);
                let relay = AnswerRelay {
                    context: Arc::clone(&self.context),
                    progress: Progress::new(
                        admitted.route.kind,
                        &head,
                        admitted.metadata.last_event_id,
                        &self.context.memory,
                    ),
                    is_server_error: head.status.is_server_error(),
                    unread_until_ms: 0,
                    origin_recorded: false,
                    pacing: Pacing::new(&admitted),
                    admitted,
                    pick,
                    answer: Some(answer),
                    pause_from_ms: self.context.clock.now_ms(),
                    caller,
                };
                tokio::spawn(relay.run());
                respond(head, body)
            }
        }
    }

    /// Logs an answered request with its endpoint and the reason of the selection.
    fn log_answer(&self, admitted: &Admitted, pick: &Pick, head: &http::response::Parts) {
        let took_ms = self.context.clock.now_ms() - admitted.arrived_ms;
        let resumes = admitted.metadata.resumes.as_ref();
        let resumes = resumes.map_or_else(String::new, |id| format!(" resumes={id}"));
        // A limit that cannot be decoded is logged once.
        let limit = self.context.head_codec.limit(&head.headers).ok().flatten();
        let limit = limit.map_or_else(String::new, |limit| format!(" limit={limit}"));
        let carrier = carrier_name(head.extensions.get().copied());
        let via = head.extensions.get::<Via>();
        let via = via.map_or_else(String::new, |Via(vm)| format!(" via={vm}"));
        log::info!(
            "entry: request={} status={} route={} workspace={} units={} endpoint={} build={} reason={} load={} pace={} tries={} connection={carrier} version={} digest={:016x} took_ms={took_ms}{resumes}{limit}{via}",
            admitted.id(),
            head.status.as_u16(),
            admitted.route.name,
            admitted
                .workspace
                .as_ref()
                .map_or("-", |name| name.as_str()),
            admitted.units,
            pick.endpoint,
            pick.build.as_str(),
            pick.reason,
            pick.load,
            pick.pace_permille,
            admitted.attempted.len(),
            admitted.config_version,
            admitted.digest,
        );
    }
}

/// Returns whether one more endpoint may run a request beside those where it is under way.
fn may_follow(admitted: &Admitted, under_way: usize) -> bool {
    let runs = admitted.possible_runs as usize + under_way;
    admitted.route.kind.may_repeat() && runs < admitted.route.attempts as usize
}

/// Returns whether a stream is under way at two endpoints, which must not last.
fn is_doubled(admitted: &Admitted, under_way: usize) -> bool {
    admitted.route.kind.is_stream() && under_way > 1
}

/// Returns whether a status tells callers that their request did not run; only a proof of the endpoint says so.
fn promises_no_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether a failed answer should be replaced by that of another endpoint, under way or to follow.
fn is_replaceable(admitted: &Admitted, under_way: usize, answer: &EndpointAnswer) -> bool {
    let is_failed =
        matches!(answer, EndpointAnswer::Buffered(head, _) if head.status.is_server_error());
    let may_repeat = admitted.route.kind.may_repeat();
    is_failed && may_repeat && (under_way > 0 || may_follow(admitted, 1))
}

/// Builds the response to the caller without hop-by-hop headers.
fn respond(mut head: http::response::Parts, body: Body) -> Response<Body> {
    strip_connection_headers(&mut head.headers);
    Response::from_parts(head, body)
}
