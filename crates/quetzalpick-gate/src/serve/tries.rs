//! Tries of one call: choice of the endpoint, sending, checks of the answer, and the decision after a failure.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, StatusCode};
use hyper::body::Body as _;
use quetzalpick_client::errors::Error;
use quetzalpick_client::http::{Body, Response, Timeouts};
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::retry::{self, FailedAttempt, Step};
use quetzalpick_core::verdict::Verdict;

use crate::api::header::REQUEST_ID;
use crate::api::refusal::{Kind, Refusal};
use crate::context::Context;
use crate::fleet::{InFlight, Target};
use crate::serve::call::{Call, Cause, Failure};

/// Header by which an endpoint vouches that a request did not run.
const NOT_RUN: &str = "x-not-run";

/// Largest body of an endpoint's refusal that is read to keep its connection, in bytes.
const REFUSAL_MAX_BYTES: usize = 64 * 1024;

/// When to come back after a failure that states no time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Opened` is an answer whose head has arrived and carries this request's id.
#[derive(Debug)]
pub(crate) struct Opened {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// The rest of the answer.
    pub(crate) body: Body,
    /// Where it comes from.
    pub(crate) target: Target,
    /// Counts the request as under way.
    in_flight: InFlight,
}

/// `Whole` is a whole answer.
#[derive(Debug)]
pub(crate) struct Whole {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

/// `Tries` is the history of one call.
#[derive(Debug)]
pub(crate) struct Tries<L: Log> {
    context: Arc<Context<L>>,
    tried: Vec<Endpoint>,
    retries: u32,
    /// The worst verdict of all tries.
    verdict: Verdict,
}

impl<L: Log> Tries<L> {
    /// Starts the history of a call.
    pub(crate) fn new(context: &Arc<Context<L>>) -> Self {
        context.with_budget(retry::Budget::deposit);
        Self {
            context: Arc::clone(context),
            tried: Vec::new(),
            retries: 0,
            verdict: Verdict::NotRun,
        }
    }

    /// Chooses an endpoint and sends the call there.
    pub(crate) async fn open(&mut self, call: &Call) -> Result<Opened, Failure> {
        let context = Arc::clone(&self.context);
        let target = context.replica.read(|state| {
            let fleet = &context.fleet;
            fleet.choose(state, &call.need, &self.tried, rand::random())
        });
        let Some(target) = target else {
            log::warn!(
                "route: request={} need={} nowhere",
                call.id,
                call.need.name()
            );
            return Err(Failure::new(Verdict::NotRun, Cause::Nowhere));
        };
        self.tried.push(target.endpoint.clone());
        self.open_at(call, target).await
    }

    /// Sends the call to an endpoint.
    pub(crate) async fn open_at(&mut self, call: &Call, target: Target) -> Result<Opened, Failure> {
        log::info!(
            "route: request={} need={} endpoint={} reason={} retry={}",
            call.id,
            call.need.name(),
            target.endpoint,
            target.reason,
            self.retries
        );
        let endpoint = target.endpoint.clone();
        let opened = self.exchange(call, target).await;
        if let Err(failure) = &opened {
            self.note(&endpoint, failure);
        }
        opened
    }

    /// Notes a failure of an endpoint.
    pub(crate) fn note(&mut self, endpoint: &Endpoint, failure: &Failure) {
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

    /// Sends the call and checks the head of the answer.
    async fn exchange(&self, call: &Call, target: Target) -> Result<Opened, Failure> {
        let context = &self.context;
        let left = call.deadline.left_ms(context.clock.now_ms());
        let timeouts = Timeouts {
            connect: context.options.connect_timeout,
            head: Duration::from_millis(left),
            part: context.options.silence_timeout,
        };
        let request = call
            .to_request()
            .ok_or(Failure::new(Verdict::NotRun, Cause::Error))?;
        let in_flight = InFlight::new(&context.fleet, &target.endpoint);
        context.meters.attempt();
        let sent = context.pool.send(&target.address, request, timeouts).await;
        let response = sent.map_err(|error| broken(&error))?;
        let response = own(response, &call.id)?;
        let (head, body) = refused(response).await?.into_parts();
        Ok(Opened {
            status: head.status,
            headers: head.headers,
            body,
            target,
            in_flight,
        })
    }

    /// Decides what follows a failure, and makes the pause before a retry.
    ///
    /// # Errors
    ///
    /// The refusal for the caller if the call is given up.
    pub(crate) async fn again(&mut self, call: &Call, failure: Failure) -> Result<(), Refusal> {
        let context = Arc::clone(&self.context);
        if failure.cause == Cause::Nowhere || self.retries + 1 >= context.options.attempts_max {
            return Err(self.give_up(&failure));
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
            Step::Late => return Err(self.late()),
            Step::Settled | Step::Exhausted => return Err(self.give_up(&failure)),
        };
        self.retries += 1;
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        Ok(())
    }

    /// Builds the refusal of a call whose deadline passes.
    fn late(&self) -> Refusal {
        let message = "no whole answer came before the deadline";
        Refusal::with_verdict(Kind::DeadlineError, message, self.verdict).after(RETRY_AFTER)
    }

    /// Builds the refusal of a call that is given up.
    fn give_up(&self, failure: &Failure) -> Refusal {
        let (kind, message) = match (failure.cause, self.verdict) {
            (Cause::Nowhere, _) => (Kind::UnavailableError, "no endpoint serves this now"),
            (Cause::Overloaded, _) => (Kind::OverloadedError, "the endpoints are overloaded"),
            (Cause::Leaving | Cause::Missing, _) => {
                (Kind::UnavailableError, "no endpoint serves this now")
            }
            (_, Verdict::NotRun) => (Kind::UpstreamError, "no endpoint could be reached"),
            (_, _) => (Kind::UpstreamError, "the endpoint gave no whole answer"),
        };
        let after = failure.retry_after.unwrap_or(RETRY_AFTER);
        Refusal::with_verdict(kind, message, self.verdict).after(after)
    }

    /// Sends a call until a whole answer is there or the call is given up.
    pub(crate) async fn whole(
        &mut self,
        call: &Call,
        accept: impl Fn(&Whole) -> Result<(), Failure>,
    ) -> Result<Whole, Refusal> {
        loop {
            let failure = match self.open(call).await {
                Ok(opened) => {
                    let target = opened.target.clone();
                    match self.collect(call, opened, &accept).await {
                        Ok(whole) => return Ok(whole),
                        Err(failure) => {
                            self.note(&target.endpoint, &failure);
                            failure
                        }
                    }
                }
                Err(failure) => failure,
            };
            self.again(call, failure).await?;
        }
    }

    /// Reads an answer that is not tried again.
    pub(crate) async fn finish(&mut self, call: &Call, opened: Opened) -> Result<Whole, Refusal> {
        let endpoint = opened.target.endpoint.clone();
        let collected = self.collect(call, opened, |_| Ok(())).await;
        collected.map_err(|failure| {
            self.note(&endpoint, &failure);
            self.give_up(&failure)
        })
    }

    /// Reads an answer to its end and checks that it is whole and meant for this call.
    async fn collect(
        &self,
        call: &Call,
        mut opened: Opened,
        accept: impl Fn(&Whole) -> Result<(), Failure>,
    ) -> Result<Whole, Failure> {
        let context = &self.context;
        if !is_framed(&opened) {
            return Err(Failure::new(Verdict::MayHaveRun, Cause::Unframed));
        }
        let left = call.deadline.left_ms(context.clock.now_ms());
        let reading = opened.body.collect_up_to(context.options.answer_max_bytes);
        let body = tokio::time::timeout(Duration::from_millis(left), reading)
            .await
            .map_err(|_| Failure::new(Verdict::MayHaveRun, Cause::Broken))?
            .map_err(|_| Failure::new(Verdict::MayHaveRun, Cause::Broken))?;
        let whole = Whole {
            status: opened.status,
            headers: opened.headers,
            body,
        };
        if let Err(failure) = accept(&whole) {
            // What else comes over this connection cannot be trusted either.
            opened.body.discard();
            return Err(failure);
        }
        context
            .fleet
            .record_success(&opened.target.endpoint, &call.need);
        drop(opened.in_flight);
        Ok(whole)
    }
}

/// Tells whether the end of an answer can be told from a connection that broke off.
fn is_framed(opened: &Opened) -> bool {
    let chunked = opened.headers.contains_key(TRANSFER_ENCODING);
    chunked || opened.body.size_hint().exact().is_some()
}

/// Turns an unanswered call into a failure.
fn broken(error: &Error) -> Failure {
    log::debug!("route: {error}");
    Failure::new(error.verdict(), Cause::Broken)
}

/// Checks that an answer carries this request's id; another one closes its connection.
fn own(response: Response, id: &str) -> Result<Response, Failure> {
    let echoed = response.headers().get(REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed.as_bytes() == id.as_bytes()) {
        return Ok(response);
    }
    log::warn!("route: request={id} got an answer that does not carry its id");
    response.into_body().discard();
    Err(Failure::new(Verdict::MayHaveRun, Cause::Crossed))
}

/// Tells refusals that prove that nothing ran, and errors of engines, from answers.
async fn refused(response: Response) -> Result<Response, Failure> {
    let Some(reason) = response.headers().get(NOT_RUN) else {
        return Ok(response);
    };
    let cause = Cause::from_header(reason.to_str().unwrap_or_default());
    let retry_after = response
        .headers()
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    // Reading the rest keeps the connection; without it the connection is closed, which does no harm.
    let _ = response.into_body().collect_up_to(REFUSAL_MAX_BYTES).await;
    Err(Failure {
        retry_after,
        ..Failure::new(Verdict::NotRun, cause)
    })
}
