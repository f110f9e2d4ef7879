//! Handler of the callers' listener: admission and refusals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use quetzalpick_client::http::Trail;
use quetzalpick_core::retry::Deadline;
use quetzalpick_core::verdict::Verdict;
use quetzalpick_node::http::body::{self, collect, discard};
use quetzalpick_node::http::server;
use rand::random;

use crate::clock::Clock;
use crate::config::Config;
use crate::metadata::{Metadata, Tokens};
use crate::quarantine::{Block, Reason};
use crate::serve::body::Body;
use crate::serve::digest::host;
use crate::serve::refusal::{Cause, RETRY_AFTER_LEADERLESS, Refusal};
use crate::serve::request::Admitted;
use crate::serve::{Context, PeerClient, take_up};
use crate::wire::HeadCodec;

/// Timeout for the arrival of a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest body that is read and dropped before the first configuration names a limit, in bytes.
const BODY_UNKNOWN_BYTES: usize = 4 << 20;

/// Retry delay of a long body while memory is short: transfers that stall lose theirs within about this time.
const RETRY_AFTER_MEMORY_SHORT: Duration = Duration::from_secs(1);

/// Retry delay until the first configuration has been read, which takes little time.
const RETRY_AFTER_NO_CONFIG: Duration = Duration::from_millis(250);

/// Retry delay if the view is stale because this VM cannot reach the log service.
const RETRY_AFTER_STALE_VIEW: Duration = Duration::from_millis(600);

/// Retry delay of a request that no endpoint gets until an operator releases it or a part of its prompt.
const RETRY_AFTER_QUARANTINED: Duration = Duration::from_secs(60);

/// Retry delay if this VM stops: other VMs serve at once.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(100);

/// `Handler` serves callers' requests; its clones share one context.
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

/// `Pending` is a request that is being served; dropped before it is answered, it logs that its caller has left.
#[derive(Debug)]
struct Pending<'a> {
    attempt_id: Option<&'a str>,
    arrived_ms: u64,
    clock: Clock,
    is_answered: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let took_ms = self.clock.now_ms().saturating_sub(self.arrived_ms);
        let request = self.attempt_id.unwrap_or("-");
        log::info!("entry: request={request} caller-gone before an answer took_ms={took_ms}");
    }
}

impl<E: HeadCodec, S: PeerClient> server::Handler for Handler<E, S> {
    type Body = Body;

    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let arrived_ms = self.context.clock.now_ms();
        let (head, mut incoming) = request.into_parts();
        let metadata = self.context.head_codec.metadata(&head);
        let attempt_id = metadata
            .as_ref()
            .ok()
            .and_then(|metadata| metadata.attempt.clone());
        let mut pending = Pending {
            attempt_id: attempt_id.as_deref(),
            arrived_ms,
            clock: self.context.clock,
            is_answered: false,
        };
        let served = match metadata {
            Ok(metadata) => self.serve(head, &mut incoming, metadata, arrived_ms).await,
            Err(error) => Err(Refusal::new(Cause::Malformed, error)),
        };
        pending.is_answered = true;
        let mut response =
            served.unwrap_or_else(|refusal| self.refuse(attempt_id.as_deref(), &refusal));
        // A refused request whose body is left unread ends its connection.
        let is_failed = response.status().is_client_error() || response.status().is_server_error();
        if self.context.is_stopping() || (is_failed && !is_read(&mut incoming)) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        let took_ms = self.context.clock.now_ms() - arrived_ms;
        self.context.meters.answered(response.status(), took_ms);
        response
    }
}

impl<E: HeadCodec, S: PeerClient> Handler<E, S> {
    /// Creates a handler.
    pub(crate) fn new(context: Arc<Context<E, S>>) -> Self {
        Self { context }
    }

    /// Reads, admits and forwards a request.
    async fn serve(
        &self,
        head: Parts,
        incoming: &mut Incoming,
        metadata: Metadata,
        arrived_ms: u64,
    ) -> Result<Response<Body>, Refusal> {
        let Some(config) = self.context.view.config() else {
            discard(incoming, BODY_UNKNOWN_BYTES).await;
            return Err(Refusal::new(Cause::NoConfig, "").with_retry_after(RETRY_AFTER_NO_CONFIG));
        };
        let body_max = config.limits().body_bytes;
        // What needs no body is checked before it takes memory; it is read nevertheless, so that the connection can be reused.
        let mut admitted = match self.admit(&config, head, metadata, arrived_ms) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                discard(incoming, body_max).await;
                return Err(refusal);
            }
        };
        let body = collect(incoming, &self.context.memory, body_max, BODY_TIMEOUT).await;
        admitted.set_body(body.map_err(|error| body_refusal(&error))?);
        self.context.deposit(&admitted.service);
        if admitted.route.kind.is_stream() && !admitted.supports_chunks() {
            let detail = format!("version={:?}", admitted.head.version);
            return Err(Refusal::new(Cause::HttpVersion, detail));
        }
        check_stop(&admitted, self.context.clock.now_ms())?;
        self.check_quarantine(&admitted)?;
        take_up::resolve(&self.context, &mut admitted).await?;
        self.charge(&config, &admitted).await?;
        // What a workspace asks beyond its rate needs no copies.
        let artifacts = admitted.artifacts();
        let tokens = admitted.metadata.tokens.unwrap_or_default();
        let fleet = &self.context.fleet;
        fleet.record_demand(&artifacts, tokens.answer);
        fleet.record_prompt(&admitted.service, tokens.prompt);
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

    /// Checks the head of a request, its route and key and the view, and selects its service; its body comes later.
    fn admit(
        &self,
        config: &Config,
        head: Parts,
        metadata: Metadata,
        arrived_ms: u64,
    ) -> Result<Admitted, Refusal> {
        let head_bytes = head_bytes(&head);
        if head_bytes > config.limits().head_bytes {
            return Err(Refusal::new(
                Cause::HeadTooLarge,
                format!("bytes={head_bytes}"),
            ));
        }
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
            let owner = config.workspace_of(key).ok_or_else(|| {
                let detail = format!("version={}", config.version());
                Refusal::new(Cause::UnknownKey, detail)
            })?;
            priority = owner.priority.unwrap_or(priority);
            workspace = Some(owner.name.clone());
            units = owner.units(metadata.tokens.map(Tokens::total));
        }
        let service = route
            .service(random())
            .ok_or_else(|| Refusal::new(Cause::NoEndpoint, "the route has no service"))?
            .clone();
        Ok(Admitted {
            digest: 0,
            caller_deadline: metadata
                .timeout_ms
                .map(|ms| Deadline::after(arrived_ms, ms)),
            stop_deadline: self.context.stop.deadline(),
            route_deadline: route.timeout_ms.map(|ms| Deadline::after(arrived_ms, ms)),
            route: route.clone(),
            config_version: config.version(),
            attempted: Vec::new(),
            trail: Trail::default(),
            possible_runs: 0,
            head,
            body: Bytes::new(),
            metadata,
            service,
            build: None,
            workspace,
            units,
            priority,
            arrived_ms,
        })
    }

    /// Checks that this VM's view is fresh enough to accept keys.
    fn check_freshness(&self, now_ms: u64) -> Result<(), Refusal> {
        let age_ms = self.context.view.age_ms(now_ms);
        let max_ms = self.context.options().key_age_max_ms();
        if age_ms.is_some_and(|age_ms| age_ms <= max_ms) {
            return Ok(());
        }
        let detail = format!("view_age_ms={age_ms:?} max_ms={max_ms}");
        Err(Refusal::new(Cause::StaleView, detail).with_retry_after(RETRY_AFTER_STALE_VIEW))
    }

    /// Checks that the request is not known to crash endpoints.
    pub(super) fn check_quarantine(&self, admitted: &Admitted) -> Result<(), Refusal> {
        let Some(Block { feature, reason }) = self.context.block(admitted) else {
            return Ok(());
        };
        let retry_after = match reason {
            Reason::Quarantined => RETRY_AFTER_QUARANTINED,
            Reason::Suspected => RETRY_AFTER_LEADERLESS,
        };
        let cause = if admitted.possible_runs > 0 {
            Cause::EndpointFailed
        } else {
            Cause::Quarantined
        };
        let detail = format!("feature={feature} reason={reason}");
        Err(Refusal::new(cause, detail).with_retry_after(retry_after))
    }

    /// Logs and counts a refusal, and builds its response.
    fn refuse(&self, attempt_id: Option<&str>, refusal: &Refusal) -> Response<Body> {
        let Refusal {
            cause,
            retry_after,
            detail,
        } = refusal;
        let verdict = cause.verdict();
        log::info!(
            "entry: request={} refused cause={cause} verdict={verdict} retry_after={retry_after:?} {detail}",
            attempt_id.unwrap_or("-")
        );
        self.context.meters.refused(*cause);
        let mut response = Response::new(Body::full(format!("{cause}\n")));
        *response.status_mut() = cause.status();
        let headers = response.headers_mut();
        self.context
            .head_codec
            .add_answer_headers(headers, attempt_id, *retry_after);
        response
    }
}

/// Returns whether a body has been read to its end; one in chunks does not say so before it is asked for more.
fn is_read(body: &mut Incoming) -> bool {
    body.is_end_stream() || matches!(body.frame().now_or_never(), Some(None))
}

/// Checks that the process lives long enough for an answer, if it stops; another VM has more time.
fn check_stop(admitted: &Admitted, now_ms: u64) -> Result<(), Refusal> {
    let Some(deadline) = admitted.stop_deadline else {
        return Ok(());
    };
    let left_ms = deadline.left_ms(now_ms);
    let needed_ms = admitted.route.objective_ms.unwrap_or_default();
    if left_ms > needed_ms {
        return Ok(());
    }
    let detail = format!("left_ms={left_ms} needed_ms={needed_ms}");
    Err(Refusal::new(Cause::Stopping, detail).with_retry_after(RETRY_AFTER_STOPPING))
}

/// Creates the refusal of a request whose body could not be read.
fn body_refusal(error: &body::Error) -> Refusal {
    let cause = match error {
        body::Error::MemoryShort => {
            let refusal = Refusal::new(Cause::MemoryShort, error);
            return refusal.with_retry_after(RETRY_AFTER_MEMORY_SHORT);
        }
        body::Error::TooLong { .. } => Cause::TooLarge,
        body::Error::TooSlow { .. } => Cause::TooSlow,
        body::Error::Broken { .. } => Cause::Malformed,
    };
    Refusal::new(cause, error)
}

/// Returns the size of a request's path, query and headers, in bytes.
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
