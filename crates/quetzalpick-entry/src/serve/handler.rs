//! The callers' listener: admission, tries, and the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use quetzalpick_client::http::Body as Answer;
use quetzalpick_core::retry::Deadline;
use quetzalpick_core::verdict::Verdict;
use quetzalpick_node::http::body::{self, collect};
use quetzalpick_node::http::server;
use rand::random;

use crate::config::Config;
use crate::fleet::Pick;
use crate::metadata::{Metadata, Tokens};
use crate::serve::attempt::{Failure, note, pick, send};
use crate::serve::body::Body;
use crate::serve::refusal::{Cause, Refusal};
use crate::serve::relay::Relay;
use crate::serve::request::Admitted;
use crate::serve::{Context, Supply};
use crate::wire::{HeadCodec, strip_connection_headers};

/// Longest time in which a body must arrive.
const BODY_TIME_MAX: Duration = Duration::from_secs(10);

/// Longest answer that is read as a whole before it is passed on, in bytes, so that one that breaks off can be replaced.
const WHOLE_MAX_BYTES: u64 = 64 * 1024;

/// Most endpoints that a request is sent to, those that decline it included.
const SENDS_MAX: usize = 4;

/// When to come back if an endpoint may be there soon.
const SOON: Duration = Duration::from_millis(250);

/// When to come back if no endpoint holds what a request needs: a load takes about as long.
const AFTER_NO_ENDPOINT: Duration = Duration::from_millis(1_000);

/// When to come back after this VM lost the log service.
const AFTER_STALE: Duration = Duration::from_millis(600);

/// `Handler` answers callers; its clones share one entry.
#[derive(Debug)]
pub(crate) struct Handler<E, S> {
    pub(super) context: Arc<Context<E, S>>,
}

impl<E, S> Clone for Handler<E, S> {
    fn clone(&self) -> Self {
        let context = Arc::clone(&self.context);
        Self { context }
    }
}

impl<E: HeadCodec, S: Supply> server::Handler for Handler<E, S> {
    type Body = Body;

    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let arrived_ms = self.context.clock.now_ms();
        let (head, incoming) = request.into_parts();
        let metadata = self.context.head_codec.metadata(&head);
        let attempt = metadata
            .as_ref()
            .ok()
            .and_then(|metadata| metadata.attempt.clone());
        let served = match metadata {
            Ok(metadata) => self.serve(head, incoming, metadata, arrived_ms).await,
            Err(error) => Err(Refusal::new(Cause::Malformed, error)),
        };
        let mut response =
            served.unwrap_or_else(|refusal| self.refuse(attempt.as_deref(), &refusal));
        if self.context.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        let took_ms = self.context.clock.now_ms() - arrived_ms;
        self.context.meters.answered(response.status(), took_ms);
        response
    }
}

impl<E: HeadCodec, S: Supply> Handler<E, S> {
    /// Makes a handler.
    pub(crate) fn new(context: Arc<Context<E, S>>) -> Self {
        Self { context }
    }

    /// Reads, admits and forwards a request.
    async fn serve(
        &self,
        head: Parts,
        incoming: Incoming,
        metadata: Metadata,
        arrived_ms: u64,
    ) -> Result<Response<Body>, Refusal> {
        let config = self.context.view.config();
        let limits = config.as_ref().map(|config| config.limits());
        let body_max = limits.map_or(0, |limits| limits.body_bytes);
        // The body is read whatever becomes of the request, so that the connection serves further ones.
        let body = collect(incoming, body_max, BODY_TIME_MAX).await;
        let Some(config) = config else {
            return Err(Refusal::new(Cause::NoConfig, "").after(SOON));
        };
        let body = body.map_err(|error| unread(&error))?;
        let head_bytes = head_bytes(&head);
        if head_bytes > config.limits().head_bytes {
            return Err(Refusal::new(
                Cause::HeadTooLarge,
                format!("bytes={head_bytes}"),
            ));
        }
        let admitted = self.admit(&config, head, body, metadata, arrived_ms)?;
        let artifacts = admitted.artifacts();
        let tokens = admitted.metadata.tokens.unwrap_or_default();
        self.context.fleet.ask(&artifacts, tokens.answer);
        self.charge(&config, &admitted).await?;
        let charged = (admitted.workspace.clone(), admitted.units);
        let served = self.forward(admitted).await;
        if let (Err(refusal), (Some(workspace), units)) = (&served, charged)
            && refusal.cause.verdict() == Verdict::NotRun
        {
            let now_ms = self.context.clock.now_ms();
            self.context.rates.refund(now_ms, &workspace, units);
        }
        served
    }

    /// Decides whether a request may go on, and to which service.
    fn admit(
        &self,
        config: &Config,
        head: Parts,
        body: Bytes,
        metadata: Metadata,
        arrived_ms: u64,
    ) -> Result<Admitted, Refusal> {
        let host = host(&head);
        let route = config.route(host, head.uri.path());
        let route = route.ok_or_else(|| {
            let detail = format!("host={host} version={}", config.version());
            Refusal::new(Cause::NoRoute, detail)
        })?;
        let mut priority = route.priority;
        let mut workspace = None;
        let mut units = 0;
        if config.needs_keys() && !route.open {
            self.check_freshness(arrived_ms)?;
            let key = metadata.key.as_deref().unwrap_or_default();
            let holder = config.workspace_of(key).ok_or_else(|| {
                let detail = format!("version={}", config.version());
                Refusal::new(Cause::UnknownKey, detail)
            })?;
            priority = holder.priority.unwrap_or(priority);
            workspace = Some(holder.name.clone());
            units = holder.units(metadata.tokens.map(Tokens::total));
        }
        let service = route
            .service(random())
            .ok_or_else(|| Refusal::new(Cause::NoEndpoint, "the route has no service"))?
            .clone();
        self.context.deposit();
        Ok(Admitted {
            caller_timeout: metadata
                .timeout_ms
                .map(|ms| Deadline::after(arrived_ms, ms)),
            timeout: route.timeout_ms.map(|ms| Deadline::after(arrived_ms, ms)),
            route: route.clone(),
            version: config.version(),
            tried: Vec::new(),
            runs: 0,
            head,
            body,
            metadata,
            service,
            workspace,
            units,
            priority,
            arrived_ms,
        })
    }

    /// Checks that this VM's view is fresh enough to vouch for keys.
    fn check_freshness(&self, now_ms: u64) -> Result<(), Refusal> {
        let age_ms = self.context.view.age_ms(now_ms);
        let max_ms = self.context.options().key_age_max_ms();
        if age_ms.is_some_and(|age_ms| age_ms <= max_ms) {
            return Ok(());
        }
        let detail = format!("view_age_ms={age_ms:?} max_ms={max_ms}");
        Err(Refusal::new(Cause::StaleView, detail).after(AFTER_STALE))
    }

    /// Sends a request to endpoints until one answers it or no other may be tried.
    async fn forward(&self, mut admitted: Admitted) -> Result<Response<Body>, Refusal> {
        loop {
            let pick = match pick(&self.context, &admitted) {
                Some(pick) => pick,
                None => self.pick_supplied(&admitted).await?,
            };
            admitted.tried.push(pick.endpoint.clone());
            let failure = match self.attempt(&admitted, &pick).await {
                Ok(answer) => {
                    self.context.note_place(&admitted.service);
                    return Ok(self.finish(admitted, pick, answer));
                }
                Err(failure) => failure,
            };
            note(&self.context, &mut admitted, &pick, &failure);
            if !self.may_try_again(&admitted, &failure) {
                return Err(self.give_up(&admitted, &failure));
            }
        }
    }

    /// Picks an endpoint once the adapter that a request needs was asked for.
    async fn pick_supplied(&self, admitted: &Admitted) -> Result<Pick, Refusal> {
        if let Some(adapter) = &admitted.metadata.adapter {
            self.context.supply.want(adapter).await;
            if let Some(pick) = pick(&self.context, admitted) {
                return Ok(pick);
            }
        }
        let cause = if admitted.runs > 0 {
            Cause::EndpointFailed
        } else {
            Cause::NoEndpoint
        };
        let artifacts = admitted.artifacts();
        let detail = format!("service={} artifacts={artifacts:?}", admitted.service);
        Err(Refusal::new(cause, detail).after(AFTER_NO_ENDPOINT))
    }

    /// Sends a request to an endpoint; a short plain answer is read to its end.
    async fn attempt(&self, admitted: &Admitted, pick: &Pick) -> Result<Received, Failure> {
        let last_event_id = admitted.metadata.last_event_id;
        let answer = send(&self.context, admitted, pick, last_event_id).await?;
        let (head, mut body) = answer.into_parts();
        let length = hyper::body::Body::size_hint(&body).exact();
        let is_short = length.is_some_and(|length| length <= WHOLE_MAX_BYTES);
        if admitted.route.kind.is_stream() || !is_short {
            let length = length.filter(|_| !admitted.route.kind.is_stream());
            return Ok(Received::Parts(head, body, length));
        }
        let bytes = body.collect_up_to(WHOLE_MAX_BYTES as usize).await;
        let bytes = bytes.map_err(Failure::may_have_run)?;
        if head.status.is_server_error() && self.prefers_another(admitted) {
            let reason = format!("the endpoint failed with status {}", head.status);
            return Err(Failure::may_have_run(reason));
        }
        Ok(Received::Whole(head, bytes))
    }

    /// Tells whether a failed answer is better replaced by that of another endpoint.
    fn prefers_another(&self, admitted: &Admitted) -> bool {
        admitted.route.kind.may_repeat() && admitted.runs + 1 < admitted.route.attempts
    }

    /// Tells whether a request may be sent once more, and takes that from the retry budget if it was sent before.
    fn may_try_again(&self, admitted: &Admitted, failure: &Failure) -> bool {
        let left_ms = admitted.left_ms(self.context.clock.now_ms());
        let allowed = failure
            .verdict
            .allows_retry(admitted.route.kind.may_repeat());
        allowed
            && admitted.has_runs_left()
            && admitted.tried.len() < SENDS_MAX
            && left_ms.is_none_or(|left_ms| left_ms > 0)
            // What reached no endpoint adds nothing to their load.
            && (failure.is_unreachable() || self.context.withdraw())
    }

    /// Makes the refusal of a request that is not sent any more.
    fn give_up(&self, admitted: &Admitted, failure: &Failure) -> Refusal {
        let left_ms = admitted.left_ms(self.context.clock.now_ms());
        let cause = if admitted.runs == 0 {
            Cause::EndpointsRefused
        } else if left_ms == Some(0) {
            Cause::TimedOut
        } else {
            Cause::EndpointFailed
        };
        let refusal = Refusal::new(cause, &failure.reason);
        match cause {
            Cause::EndpointsRefused => {
                let after = self.context.note_refusal(&admitted.service);
                refusal.after(after)
            }
            _ => refusal,
        }
    }

    /// Makes the answer to the caller of that of the endpoint.
    fn finish(&self, mut admitted: Admitted, pick: Pick, received: Received) -> Response<Body> {
        match received {
            Received::Whole(head, bytes) => {
                let now_ms = self.context.clock.now_ms();
                self.context.fleet.succeed(now_ms, &pick.endpoint);
                self.log_answer(&admitted, &pick, &head);
                respond(head, Body::whole(bytes))
            }
            Received::Parts(head, answer, length) => {
                // It runs there, whether its answer ends well or not.
                admitted.runs += 1;
                let (caller, body) = Body::parts(length);
                self.log_answer(&admitted, &pick, &head);
                let relay = Relay {
                    context: Arc::clone(&self.context),
                    admitted,
                    pick,
                    answer,
                    caller,
                };
                tokio::spawn(relay.run());
                respond(head, body)
            }
        }
    }

    /// Logs the choice of an endpoint and what it was decided by.
    fn log_answer(&self, admitted: &Admitted, pick: &Pick, head: &http::response::Parts) {
        let took_ms = self.context.clock.now_ms() - admitted.arrived_ms;
        log::info!(
            "entry: request={} status={} route={} workspace={} units={} endpoint={} reason={} load={} tries={} version={} took_ms={took_ms}",
            admitted.id(),
            head.status.as_u16(),
            admitted.route.name,
            admitted
                .workspace
                .as_ref()
                .map_or("-", |name| name.as_str()),
            admitted.units,
            pick.endpoint,
            pick.reason,
            pick.load,
            admitted.tried.len(),
            admitted.version,
        );
    }

    /// Logs and counts a refusal, and makes its answer.
    fn refuse(&self, attempt: Option<&str>, refusal: &Refusal) -> Response<Body> {
        let Refusal {
            cause,
            retry_after,
            detail,
        } = refusal;
        let verdict = cause.verdict();
        log::info!(
            "entry: request={} refused cause={cause} verdict={verdict} retry_after={retry_after:?} {detail}",
            attempt.unwrap_or("-")
        );
        self.context.meters.refused(*cause);
        let mut response = Response::new(Body::whole(format!("{cause}\n")));
        *response.status_mut() = cause.status();
        let headers = response.headers_mut();
        self.context
            .head_codec
            .add_answer_headers(headers, attempt, *retry_after);
        response
    }
}

/// `Received` is an endpoint's answer.
enum Received {
    /// It is there as a whole.
    Whole(http::response::Parts, Bytes),
    /// Its body is to be relayed; the length is known for some.
    Parts(http::response::Parts, Answer, Option<u64>),
}

/// Makes an answer of its head and body.
fn respond(mut head: http::response::Parts, body: Body) -> Response<Body> {
    strip_connection_headers(&mut head.headers);
    Response::from_parts(head, body)
}

/// Returns the host that a request names, without a port.
fn host(head: &Parts) -> &str {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or(head.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Makes the refusal of a request whose body could not be read.
fn unread(error: &body::Error) -> Refusal {
    let cause = match error {
        body::Error::TooLong { .. } => Cause::TooLarge,
        body::Error::TooSlow { .. } => Cause::TooSlow,
        body::Error::Broken { .. } => Cause::Malformed,
    };
    Refusal::new(cause, error)
}

/// Returns the bytes that the path and the headers of a request take.
fn head_bytes(head: &Parts) -> usize {
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let fields = head.headers.iter();
    fields.fold(path, |sum, (name, value)| {
        sum + name.as_str().len() + value.len()
    })
}
