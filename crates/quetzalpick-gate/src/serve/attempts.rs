//! Attempts of one call: choice of an endpoint, sending, validation of the answer, and retries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, HeaderValue, StatusCode};
use hyper::body::Body as _;
use quetzalpick_client::errors::Error;
use quetzalpick_client::http::{Attempt, Body, Carrier, Owner, Response, Timeouts, Trail};
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::retry::{self, FailedAttempt, Step};
use quetzalpick_core::verdict::Verdict;

use crate::api::header::REQUEST_ID;
use crate::api::refusal::{Kind, Refusal};
use crate::context::Context;
use crate::fleet::{InFlight, Target};
use crate::serve::call::{Call, Cause, Failure};

/// Header by which an endpoint confirms that a request did not run.
const NOT_RUN: &str = "x-not-run";

/// Maximum size of the body of an endpoint's refusal that is read so that its connection can be reused, in bytes.
const REFUSAL_MAX_BYTES: usize = 64 * 1024;

/// Longest time for which it is read.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// Time that callers are asked to wait before a retry if the endpoint states none.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `OpenAnswer` holds an answer whose head has arrived, with this request's id, and whose body is not read yet.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body, still to be read.
    pub(crate) body: Body,
    /// The endpoint that sent it.
    pub(crate) target: Target,
    /// Counts the request as in flight.
    in_flight: InFlight,
}

/// `CompleteAnswer` holds an answer that was read to its end.
#[derive(Debug)]
pub(crate) struct CompleteAnswer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

/// `Attempts` sends one call and tracks its attempts.
#[derive(Debug)]
pub(crate) struct Attempts<L: Log> {
    context: Arc<Context<L>>,
    /// Endpoints that were chosen so far.
    attempted: Vec<Endpoint>,
    /// Endpoints and addresses to which the call was sent.
    trail: Trail,
    retries: u32,
    /// The worst verdict of all attempts.
    verdict: Verdict,
}

impl<L: Log> Attempts<L> {
    /// Starts a call without attempts, and credits it to the retry budget.
    pub(crate) fn new(context: &Arc<Context<L>>) -> Self {
        context.with_budget(retry::Budget::deposit);
        Self {
            context: Arc::clone(context),
            attempted: Vec::new(),
            trail: Trail::default(),
            retries: 0,
            verdict: Verdict::NotRun,
        }
    }

    /// Chooses an endpoint and sends the call to it.
    pub(crate) async fn send(&mut self, call: &Call) -> Result<OpenAnswer, Failure> {
        let context = Arc::clone(&self.context);
        let target = context.replica.read(|state| {
            let fleet = &context.fleet;
            fleet.choose(state, &call.requirement, &self.attempted, rand::random())
        });
        let Some(target) = target else {
            log::warn!(
                "route: request={} need={} no endpoint",
                call.id,
                call.requirement.name()
            );
            return Err(Failure::new(Verdict::NotRun, Cause::NoEndpoint));
        };
        self.attempted.push(target.endpoint.clone());
        self.send_to(call, target).await
    }

    /// Sends the call to an endpoint, and records a failure.
    pub(crate) async fn send_to(
        &mut self,
        call: &Call,
        target: Target,
    ) -> Result<OpenAnswer, Failure> {
        log::info!(
            "route: request={} need={} endpoint={} reason={} retry={}",
            call.id,
            call.requirement.name(),
            target.endpoint,
            target.reason,
            self.retries
        );
        let endpoint = target.endpoint.clone();
        let result = self.send_once(call, target).await;
        if let Err(failure) = &result {
            self.record_failure(&endpoint, failure);
        }
        result
    }

    /// Records a failure of an endpoint.
    pub(crate) fn record_failure(&mut self, endpoint: &Endpoint, failure: &Failure) {
        let cause = failure.cause;
        log::info!(
            "route: endpoint={endpoint} failed cause={cause} verdict={}",
            failure.verdict
        );
        if cause == Cause::Leaving {
            self.context.fleet.mark_leaving(endpoint);
        }
        if cause.is_fault() {
            self.context.fleet.record_failure(endpoint);
        }
        if failure.verdict != Verdict::NotRun {
            self.verdict = failure.verdict;
        }
    }

    /// Sends the call and validates the head of the answer.
    async fn send_once(&mut self, call: &Call, target: Target) -> Result<OpenAnswer, Failure> {
        let context = Arc::clone(&self.context);
        let remaining_ms = call.deadline.left_ms(context.clock.now_ms());
        let timeouts = Timeouts {
            connect: context.options.connect_timeout,
            head: Duration::from_millis(remaining_ms),
            body_idle: context.options.silence_timeout,
        };
        let mut request = call
            .to_request()
            .ok_or(Failure::new(Verdict::NotRun, Cause::Error))?;
        let (endpoint, address) = (&target.endpoint, &target.address);
        let attempt = self.trail.begin(endpoint, address, &mut request);
        let in_flight = InFlight::new(&context.fleet, &target.endpoint);
        context.meters.attempt();
        let sent = context.pool.send(&target.address, request, timeouts).await;
        let response = sent.map_err(|error| transport_failure(&error))?;
        log_refusal(call, &target, &response);
        let response = check_owner(response, attempt, &call.id)?;
        let (head, body) = check_not_run(response).await?.into_parts();
        Ok(OpenAnswer {
            status: head.status,
            headers: head.headers,
            body,
            target,
            in_flight,
        })
    }

    /// Decides whether to retry after a failure, and waits for the backoff.
    ///
    /// # Errors
    ///
    /// The refusal for the caller if the call is not retried.
    pub(crate) async fn prepare_retry(
        &mut self,
        call: &Call,
        failure: Failure,
    ) -> Result<(), Refusal> {
        let context = Arc::clone(&self.context);
        if failure.cause == Cause::NoEndpoint || self.retries + 1 >= context.options.attempts_max {
            return Err(self.failure_refusal(&failure));
        }
        let attempt = FailedAttempt {
            verdict: self.verdict,
            idempotent: call.idempotent,
            retries: self.retries,
            deadline: call.deadline,
        };
        let now_ms = context.clock.now_ms();
        let backoff = &context.options.backoff;
        let step = context.with_budget(|budget| {
            retry::next_step(now_ms, attempt, budget, backoff, rand::random())
        });
        let after_ms = match step {
            Step::Retry { after_ms } => after_ms,
            Step::Late => return Err(self.deadline_refusal()),
            Step::Settled | Step::Exhausted => return Err(self.failure_refusal(&failure)),
        };
        self.retries += 1;
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        Ok(())
    }

    /// Builds the refusal of a call that cannot be completed before its deadline.
    fn deadline_refusal(&self) -> Refusal {
        let message = "no whole answer came before the deadline";
        Refusal::with_verdict(Kind::DeadlineError, message, self.verdict)
            .with_retry_after(RETRY_AFTER)
    }

    /// Builds the refusal of a call that failed and is not retried.
    fn failure_refusal(&self, failure: &Failure) -> Refusal {
        let (kind, message) = match (failure.cause, self.verdict) {
            (Cause::NoEndpoint, _) => (Kind::UnavailableError, "no endpoint serves this now"),
            (Cause::Overloaded, _) => (Kind::OverloadedError, "the endpoints are overloaded"),
            (Cause::Leaving | Cause::NotLoaded, _) => {
                (Kind::UnavailableError, "no endpoint serves this now")
            }
            (_, Verdict::NotRun) => (Kind::UpstreamError, "no endpoint could be reached"),
            (_, _) => (Kind::UpstreamError, "the endpoint gave no whole answer"),
        };
        let retry_after = failure.retry_after.unwrap_or(RETRY_AFTER);
        Refusal::with_verdict(kind, message, self.verdict).with_retry_after(retry_after)
    }

    /// Sends a call, with retries, until an answer is complete and passes `check`.
    ///
    /// # Errors
    ///
    /// The refusal for the caller if the call is not retried any more.
    pub(crate) async fn send_until_complete(
        &mut self,
        call: &Call,
        check: impl Fn(&CompleteAnswer) -> Result<(), Failure>,
    ) -> Result<CompleteAnswer, Refusal> {
        loop {
            let failure = match self.send(call).await {
                Ok(answer) => {
                    let target = answer.target.clone();
                    match self.collect(call, answer, &check).await {
                        Ok(complete) => return Ok(complete),
                        Err(failure) => {
                            self.record_failure(&target.endpoint, &failure);
                            failure
                        }
                    }
                }
                Err(failure) => failure,
            };
            self.prepare_retry(call, failure).await?;
        }
    }

    /// Reads an answer to its end; a failure is not retried.
    ///
    /// # Errors
    ///
    /// The refusal for the caller if the answer is incomplete.
    pub(crate) async fn collect_without_retry(
        &mut self,
        call: &Call,
        answer: OpenAnswer,
    ) -> Result<CompleteAnswer, Refusal> {
        let endpoint = answer.target.endpoint.clone();
        let collected = self.collect(call, answer, |_| Ok(())).await;
        collected.map_err(|failure| {
            self.record_failure(&endpoint, &failure);
            self.failure_refusal(&failure)
        })
    }

    /// Reads an answer to its end, and checks that it is complete and passes `check`.
    async fn collect(
        &self,
        call: &Call,
        mut answer: OpenAnswer,
        check: impl Fn(&CompleteAnswer) -> Result<(), Failure>,
    ) -> Result<CompleteAnswer, Failure> {
        let context = &self.context;
        if !is_framed(&answer) {
            return Err(Failure::new(Verdict::MayHaveRun, Cause::Unframed));
        }
        let remaining_ms = call.deadline.left_ms(context.clock.now_ms());
        let reading = answer.body.collect_up_to(context.options.answer_max_bytes);
        let body = tokio::time::timeout(Duration::from_millis(remaining_ms), reading)
            .await
            .map_err(|_| Failure::new(Verdict::MayHaveRun, Cause::Broken))?
            .map_err(|_| Failure::new(Verdict::MayHaveRun, Cause::Broken))?;
        let complete = CompleteAnswer {
            status: answer.status,
            headers: answer.headers,
            body,
        };
        if let Err(failure) = check(&complete) {
            // Later data of this connection cannot be trusted either.
            answer.body.discard();
            return Err(failure);
        }
        context
            .fleet
            .record_success(&answer.target.endpoint, &call.requirement);
        drop(answer.in_flight);
        Ok(complete)
    }
}

/// Returns whether the framing of an answer distinguishes its end from an interrupted connection.
fn is_framed(answer: &OpenAnswer) -> bool {
    let chunked = answer.headers.contains_key(TRANSFER_ENCODING);
    chunked || answer.body.size_hint().exact().is_some()
}

/// Converts a transport error into a failure.
fn transport_failure(error: &Error) -> Failure {
    log::debug!("route: {error}");
    Failure::new(error.verdict(), Cause::Broken)
}

/// Logs an answer that says that its request did not run, with the connection that carried it.
fn log_refusal(call: &Call, target: &Target, response: &Response) {
    let Some(reason) = response.headers().get(NOT_RUN) else {
        return;
    };
    let carrier = response.extensions().get::<Carrier>();
    let carrier = carrier.map_or_else(|| "-".to_owned(), Carrier::to_string);
    log::info!(
        "route: request={} endpoint={} answered status={} not_run={reason:?} connection={carrier}",
        call.id,
        target.endpoint,
        response.status().as_u16(),
    );
}

/// Checks that an answer carries this request's id and is not that of an earlier attempt; the connection is closed otherwise.
fn check_owner(response: Response, attempt: Attempt, id: &str) -> Result<Response, Failure> {
    let borne = response
        .headers()
        .get(REQUEST_ID)
        .map(HeaderValue::as_bytes);
    let arrival = attempt.arrival(response.extensions());
    let owner = arrival.owner(borne, Some(id.as_bytes()));
    if borne.is_some() && owner == Owner::Present {
        return Ok(response);
    }
    log::warn!("route: request={id} received an answer of owner={owner}");
    response.into_body().discard();
    Err(Failure::new(Verdict::MayHaveRun, Cause::Mismatched))
}

/// Converts an answer into a failure if its endpoint confirms that the request did not run.
async fn check_not_run(response: Response) -> Result<Response, Failure> {
    let Some(reason) = response.headers().get(NOT_RUN) else {
        return Ok(response);
    };
    let cause = Cause::from_header(reason.to_str().unwrap_or_default());
    let retry_after = response
        .headers()
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    // Reading the body lets the connection be reused; if that fails, the connection is closed, which does no harm.
    let mut body = response.into_body();
    body.reuse_last();
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, body.collect_up_to(REFUSAL_MAX_BYTES)).await;
    Err(Failure {
        retry_after,
        ..Failure::new(Verdict::NotRun, cause)
    })
}
