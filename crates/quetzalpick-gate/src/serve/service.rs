//! Calls to plain services, whose paths start with `/services/{name}/`.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Response};
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Service, Workspace};
use quetzalpick_core::record::ClaimKey;
use quetzalpick_core::retry::Deadline;
use quetzalpick_core::state::State;
use quetzalpick_core::verdict::Verdict;

use crate::api::body::Reply;
use crate::api::refusal::{Kind, Refusal};
use crate::api::{header, identity, query};
use crate::context::Context;
use crate::fleet::Requirement;
use crate::serve::access::Caller;
use crate::serve::attempts::{Attempts, CompleteAnswer};
use crate::serve::call::Call;
use crate::serve::once::{self, OnceCall};
use crate::share::TokenCharge;

/// Path prefix of services.
pub(crate) const PREFIX: &str = "/services/";

/// `ServicePath` holds the service named in the path of a request, and the rest of the path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServicePath {
    service: Service,
    subpath: String,
}

/// `RouteRule` holds the configuration of a call: access, idempotence and charge in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RouteRule {
    /// Whether the route is public, so that calls need no key.
    open: bool,
    idempotent: bool,
    charge: u64,
}

impl ServicePath {
    /// Parses a path below `/services/`; `None` if it names no service.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        let rest = path.strip_prefix(PREFIX)?;
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        Some(Self {
            service: Service::try_new(name).ok()?,
            subpath: match &rest[name.len()..] {
                "" => "/".to_owned(),
                path => path.to_owned(),
            },
        })
    }
}

impl RouteRule {
    /// Looks up the rule of a call; `None` if the service does not exist.
    fn find(state: &State, service_path: &ServicePath, method: &Method) -> Option<Self> {
        let catalog = state.catalog();
        let spec = catalog.services().get(&service_path.service)?;
        let route = catalog.route(
            &service_path.service,
            method.as_str(),
            &service_path.subpath,
        );
        Some(Self {
            open: route.is_some_and(|route| route.open),
            idempotent: route.is_some_and(|route| route.idempotent),
            charge: spec.charge,
        })
    }
}

/// `ServiceRequest` holds a complete request to a service.
pub(crate) struct ServiceRequest {
    /// Service and path.
    pub(crate) service_path: ServicePath,
    /// Head.
    pub(crate) head: Parts,
    /// Body.
    pub(crate) body: Bytes,
    /// All keys in the head.
    pub(crate) keys: Vec<String>,
    /// Generated request id.
    pub(crate) id: String,
}

/// Builds the refusal of a call to a service that does not exist or is not open to the key.
fn unknown_service(service_path: &ServicePath) -> Refusal {
    let message = format!(
        "service '{}' does not exist or is not open to the key",
        service_path.service
    );
    Refusal::not_run(Kind::NotFoundError, message)
}

/// Authenticates and authorizes the caller of a service; `None` on a public route.
pub(crate) fn authorize<L: Log>(
    context: &Context<L>,
    service_path: &ServicePath,
    method: &Method,
    headers: &HeaderMap,
) -> Result<Option<Caller>, Refusal> {
    context.replica.read(|state| {
        let rule = RouteRule::find(state, service_path, method);
        if rule.is_some_and(|rule| rule.open) {
            return Ok(None);
        }
        // The key is checked first, so that callers without one cannot find out which services exist.
        let caller = Caller::try_new(headers, state)?;
        let catalog = state.catalog();
        if rule.is_none() || !catalog.allows_service(&caller.workspace, &service_path.service) {
            return Err(unknown_service(service_path));
        }
        Ok(Some(caller))
    })
}

/// Serves a call to a service.
///
/// # Errors
///
/// A refusal with its verdict.
pub(crate) async fn serve<L: Log>(
    context: &Arc<Context<L>>,
    caller: Option<Caller>,
    request: ServiceRequest,
) -> Result<Response<Reply>, Refusal> {
    let ServiceRequest {
        service_path, head, ..
    } = &request;
    let rule = context
        .replica
        .read(|state| RouteRule::find(state, service_path, &head.method))
        .ok_or_else(|| unknown_service(service_path))?;
    let key = idempotency_key(&head.headers)?;
    let workspace = caller.as_ref().map(|caller| caller.workspace.clone());
    let call = build_call(context, &request, rule.idempotent);
    if let (Some(key), false) = (key, rule.idempotent) {
        let method = request.head.method.as_str();
        let once = OnceCall {
            key: ClaimKey {
                workspace,
                service: request.service_path.service.clone(),
                key,
            },
            fingerprint: identity::fingerprint(method, &call.path_and_query, &request.body),
            caller,
            call,
            tokens: rule.charge,
        };
        return once::serve(context, once).await;
    }
    let token_charge = charge_workspace(context, workspace.as_ref(), rule.charge).await?;
    let sent = send(context, caller.as_ref(), &call, token_charge).await;
    sent.map(into_response)
}

/// Parses the `Idempotency-Key` header.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    if !headers.contains_key(header::IDEMPOTENCY_KEY) {
        return Ok(None);
    }
    let key = header::printable(headers, &header::IDEMPOTENCY_KEY);
    key.map(|key| Some(key.to_owned())).ok_or_else(|| {
        let most = header::ID_MAX_CHARS;
        let message = format!("'Idempotency-Key' must be 1 to {most} printable characters");
        Refusal::not_run(Kind::InvalidRequestError, message)
    })
}

/// Charges a call to a workspace; calls on public routes and to services without a charge are free.
pub(crate) async fn charge_workspace<L: Log>(
    context: &Context<L>,
    workspace: Option<&Workspace>,
    tokens: u64,
) -> Result<Option<TokenCharge>, Refusal> {
    match workspace {
        Some(workspace) if tokens > 0 => context.charge(workspace, tokens).await.map(Some),
        _ => Ok(None),
    }
}

/// Builds the call to an instance, with all keys removed from query and headers.
fn build_call<L: Log>(context: &Context<L>, request: &ServiceRequest, idempotent: bool) -> Call {
    let head = &request.head;
    let query = head.uri.query().unwrap_or_default();
    let query = query::without_keys(query, &request.keys);
    let path = &request.service_path.subpath;
    let now_ms = context.clock.now_ms();
    let timeout_ms = context.options.request_timeout.as_millis() as u64;
    Call {
        id: request.id.clone(),
        method: head.method.clone(),
        path_and_query: if query.is_empty() {
            path.clone()
        } else {
            format!("{path}?{query}")
        },
        headers: header::upstream(&head.headers, &request.keys),
        body: request.body.clone(),
        requirement: Requirement::Service(request.service_path.service.clone()),
        idempotent,
        deadline: Deadline::after(now_ms, timeout_ms),
    }
}

/// Sends a call and settles its charge.
pub(crate) async fn send<L: Log>(
    context: &Arc<Context<L>>,
    caller: Option<&Caller>,
    call: &Call,
    mut token_charge: Option<TokenCharge>,
) -> Result<CompleteAnswer, Refusal> {
    // The call may have waited for its claim, so the key and the lease are checked again before it is sent.
    context.lease().await?;
    if let Some(caller) = caller {
        context.replica.read(|state| caller.recheck(state))?;
    }
    // If the caller disconnects from here on, the call is charged.
    if let Some(token_charge) = &mut token_charge {
        token_charge.use_all();
    }
    let sent = Attempts::new(context)
        .send_until_complete(call, |_| Ok(()))
        .await;
    if let (Err(refusal), Some(token_charge)) = (&sent, &mut token_charge)
        && refusal.verdict == Verdict::NotRun
    {
        token_charge.set_used(0);
    }
    sent
}

/// Converts an instance's answer into the caller's.
pub(crate) fn into_response(answer: CompleteAnswer) -> Response<Reply> {
    let mut response = Response::new(Reply::full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = header::downstream(&answer.headers);
    response
}
