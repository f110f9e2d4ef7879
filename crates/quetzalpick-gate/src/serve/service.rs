//! Plain services: calls below `/services/{name}/`.

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
use crate::serve::call::Call;
use crate::serve::once::{self, Once};
use crate::serve::tries::{Tries, Whole};
use crate::share::Charged;

/// Path below which services are reached.
pub(crate) const PREFIX: &str = "/services/";

/// `Address` is the service and the path that a request names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Address {
    service: Service,
    path: String,
}

/// `Rule` is what the configuration says of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Rule {
    open: bool,
    idempotent: bool,
    charge: u64,
}

impl Address {
    /// Reads a path below `/services/`; `None` if it names no service.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        let rest = path.strip_prefix(PREFIX)?;
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        Some(Self {
            service: Service::try_new(name).ok()?,
            path: match &rest[name.len()..] {
                "" => "/".to_owned(),
                path => path.to_owned(),
            },
        })
    }
}

impl Rule {
    /// Looks up the rule of a call; `None` if there is no such service.
    fn find(state: &State, address: &Address, method: &Method) -> Option<Self> {
        let catalog = state.catalog();
        let spec = catalog.services().get(&address.service)?;
        let route = catalog.route(&address.service, method.as_str(), &address.path);
        Some(Self {
            open: route.is_some_and(|route| route.open),
            idempotent: route.is_some_and(|route| route.idempotent),
            charge: spec.charge,
        })
    }
}

/// `Incoming` is a request to a service, with its whole body.
pub(crate) struct Incoming {
    /// Where it goes.
    pub(crate) address: Address,
    /// Its head.
    pub(crate) head: Parts,
    /// Its body.
    pub(crate) body: Bytes,
    /// Every key in its head.
    pub(crate) keys: Vec<String>,
    /// The id drawn for it.
    pub(crate) id: String,
}

/// Builds the refusal of a call to a service that does not exist or is not open to the key.
fn unknown(address: &Address) -> Refusal {
    let message = format!(
        "service '{}' does not exist or is not open to the key",
        address.service
    );
    Refusal::not_run(Kind::NotFoundError, message)
}

/// Checks who calls a service; `None` on a route open to all.
pub(crate) fn authorize<L: Log>(
    context: &Context<L>,
    address: &Address,
    method: &Method,
    headers: &HeaderMap,
) -> Result<Option<Caller>, Refusal> {
    context.replica.read(|state| {
        let rule = Rule::find(state, address, method);
        if rule.is_some_and(|rule| rule.open) {
            return Ok(None);
        }
        // Without a key nobody learns which services exist.
        let caller = Caller::try_new(headers, state)?;
        let catalog = state.catalog();
        if rule.is_none() || !catalog.allows_service(&caller.workspace, &address.service) {
            return Err(unknown(address));
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
    incoming: Incoming,
) -> Result<Response<Reply>, Refusal> {
    let Incoming { address, head, .. } = &incoming;
    let rule = context
        .replica
        .read(|state| Rule::find(state, address, &head.method))
        .ok_or_else(|| unknown(address))?;
    let key = idempotency_key(&head.headers)?;
    let workspace = caller.as_ref().map(|caller| caller.workspace.clone());
    let call = call(context, &incoming, rule.idempotent);
    if let (Some(key), false) = (key, rule.idempotent) {
        let method = incoming.head.method.as_str();
        let once = Once {
            key: ClaimKey {
                workspace,
                service: incoming.address.service.clone(),
                key,
            },
            fingerprint: identity::fingerprint(method, &call.target, &incoming.body),
            caller,
            call,
            tokens: rule.charge,
        };
        return once::serve(context, once).await;
    }
    let charged = charge(context, workspace.as_ref(), rule.charge).await?;
    let sent = send(context, caller.as_ref(), &call, charged).await;
    sent.map(answer)
}

/// Reads the `Idempotency-Key` header.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    if !headers.contains_key(header::IDEMPOTENCY_KEY) {
        return Ok(None);
    }
    let key = header::text(headers, &header::IDEMPOTENCY_KEY);
    key.map(|key| Some(key.to_owned())).ok_or_else(|| {
        let most = header::ID_MAX_CHARS;
        let message = format!("'Idempotency-Key' must be 1 to {most} printable characters");
        Refusal::not_run(Kind::InvalidRequestError, message)
    })
}

/// Charges a call; a call on a route open to all, or to a service without a charge, costs nothing.
pub(crate) async fn charge<L: Log>(
    context: &Context<L>,
    workspace: Option<&Workspace>,
    tokens: u64,
) -> Result<Option<Charged>, Refusal> {
    match workspace {
        Some(workspace) if tokens > 0 => context.charge(workspace, tokens).await.map(Some),
        _ => Ok(None),
    }
}

/// Builds the call to an instance, without any key.
fn call<L: Log>(context: &Context<L>, incoming: &Incoming, idempotent: bool) -> Call {
    let head = &incoming.head;
    let query = head.uri.query().unwrap_or_default();
    let query = query::strip(query, &incoming.keys);
    let path = &incoming.address.path;
    let now_ms = context.clock.now_ms();
    let timeout_ms = context.options.request_timeout.as_millis() as u64;
    Call {
        id: incoming.id.clone(),
        method: head.method.clone(),
        target: if query.is_empty() {
            path.clone()
        } else {
            format!("{path}?{query}")
        },
        headers: header::upstream(&head.headers, &incoming.keys),
        body: incoming.body.clone(),
        need: Requirement::Service(incoming.address.service.clone()),
        idempotent,
        deadline: Deadline::after(now_ms, timeout_ms),
    }
}

/// Sends a call and accounts for its charge.
pub(crate) async fn send<L: Log>(
    context: &Arc<Context<L>>,
    caller: Option<&Caller>,
    call: &Call,
    mut charged: Option<Charged>,
) -> Result<Whole, Refusal> {
    // The call may have waited for its claim; the key and the lease must hold at the time of sending.
    context.lease().await?;
    if let Some(caller) = caller {
        context.replica.read(|state| caller.recheck(state))?;
    }
    // If the caller goes away from here on, the call counts.
    if let Some(charged) = &mut charged {
        charged.use_all();
    }
    let sent = Tries::new(context).whole(call, |_| Ok(())).await;
    if let (Err(refusal), Some(charged)) = (&sent, &mut charged)
        && refusal.verdict == Verdict::NotRun
    {
        charged.set_used(0);
    }
    sent
}

/// Builds the caller's answer from that of an instance.
pub(crate) fn answer(whole: Whole) -> Response<Reply> {
    let mut response = Response::new(Reply::whole(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = header::downstream(&whole.headers);
    response
}
