//! HTTP handler of the callers' listener: dispatches requests by path.

use std::net::SocketAddr;
use std::sync::Arc;

use http::request::Parts;
use http::{HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use quetzalpick_client::traits::Log;
use quetzalpick_node::http::body::discard;
use quetzalpick_node::http::server;
use tokio::time::Instant;

use crate::api::body::{self, Reply};
use crate::api::completion::{Completion, CompletionKind};
use crate::api::header::{self, REQUEST_ID};
use crate::api::query;
use crate::api::refusal::{Kind, Refusal};
use crate::context::Context;
use crate::serve::access::{self, Caller};
use crate::serve::service::{self, ServicePath};
use crate::serve::{completion, models};

/// `Handler` answers the requests of callers; its clones share one gate.
#[derive(Debug)]
pub(crate) struct Handler<L: Log> {
    context: Arc<Context<L>>,
}

impl<L: Log> Clone for Handler<L> {
    fn clone(&self) -> Self {
        let context = Arc::clone(&self.context);
        Self { context }
    }
}

/// Generates a random request id.
fn generate_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

impl<L: Log> server::Handler for Handler<L> {
    type Body = Reply;

    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Reply> {
        let started = Instant::now();
        let id = generate_id();
        let caller_request_id =
            header::printable(request.headers(), &REQUEST_ID).map(str::to_owned);
        let (head, mut body) = request.into_parts();
        let mut response = match self.answer(head, &mut body, id.clone()).await {
            Ok(response) => response,
            Err(refusal) => {
                // A caller that sent too slowly is not waited for again.
                if refusal.kind != Kind::TimeoutError {
                    discard(&mut body, self.context.options.body_max_bytes).await;
                }
                self.refuse(&id, refusal)
            }
        };
        // The caller gets its own request id back; endpoints see only the generated one.
        let answer_id = HeaderValue::from_str(&caller_request_id.unwrap_or(id));
        if let Ok(answer_id) = answer_id {
            response.headers_mut().insert(REQUEST_ID, answer_id);
        }
        let status = response.status().as_u16();
        self.context.meters.answer(status, started.elapsed());
        response
    }
}

impl<L: Log> Handler<L> {
    /// Creates a handler.
    pub(crate) fn new(context: Arc<Context<L>>) -> Self {
        Self { context }
    }

    /// Logs and counts a refusal, and converts it into an answer.
    fn refuse(&self, id: &str, refusal: Refusal) -> Response<Reply> {
        log::info!(
            "gate: request={id} refused type={} verdict={}",
            refusal.kind,
            refusal.verdict
        );
        let meters = &self.context.meters;
        meters.refusal(refusal.kind.into(), refusal.verdict.into());
        refusal.into_response()
    }

    /// Dispatches a request by its path.
    async fn answer(
        &self,
        head: Parts,
        body: &mut Incoming,
        id: String,
    ) -> Result<Response<Reply>, Refusal> {
        match head.uri.path() {
            "/v1/chat/completions" => {
                self.answer_completion(CompletionKind::Chat, head, body, id)
                    .await
            }
            "/v1/completions" => {
                self.answer_completion(CompletionKind::Text, head, body, id)
                    .await
            }
            "/v1/models" => self.answer_models(&head).await,
            path => match ServicePath::from_path(path) {
                Some(service_path) => self.answer_service(service_path, head, body, id).await,
                None => Err(Refusal::not_run(Kind::NotFoundError, "unknown path")),
            },
        }
    }

    /// Checks the lease and authenticates the caller.
    async fn authenticate(&self, head: &Parts) -> Result<Caller, Refusal> {
        self.context.lease().await?;
        let replica = &self.context.replica;
        replica.read(|state| Caller::try_new(&head.headers, state))
    }

    /// Answers a completion request.
    async fn answer_completion(
        &self,
        kind: CompletionKind,
        head: Parts,
        body: &mut Incoming,
        id: String,
    ) -> Result<Response<Reply>, Refusal> {
        check_method(&head, &Method::POST)?;
        // An invalid key is refused before the body is read.
        let caller = self.authenticate(&head).await?;
        let body = self.read_body(&head, body).await?;
        let completion = Completion::try_new(kind, &body)?;
        // The parsed fields have no JSON escapes, which could hide a key.
        check_no_key(&head, &self.keys(&head), &completion.to_body(1, ""))?;
        completion::serve(&self.context, caller, completion, id).await
    }

    /// Answers a request for the list of models.
    async fn answer_models(&self, head: &Parts) -> Result<Response<Reply>, Refusal> {
        check_method(head, &Method::GET)?;
        let caller = self.authenticate(head).await?;
        let replica = &self.context.replica;
        Ok(replica.read(|state| models::list(state, &caller)))
    }

    /// Answers a call to a service.
    async fn answer_service(
        &self,
        service_path: ServicePath,
        head: Parts,
        body: &mut Incoming,
        id: String,
    ) -> Result<Response<Reply>, Refusal> {
        self.context.lease().await?;
        let context = &self.context;
        let caller = service::authorize(context, &service_path, &head.method, &head.headers)?;
        let body = self.read_body(&head, body).await?;
        let request = service::ServiceRequest {
            keys: self.keys(&head),
            service_path,
            head,
            body,
            id,
        };
        service::serve(context, caller, request).await
    }

    /// Reads a request's body; neither the body nor the path may contain a key.
    async fn read_body(&self, head: &Parts, body: &mut Incoming) -> Result<bytes::Bytes, Refusal> {
        let options = &self.context.options;
        let body = body::read(
            body,
            &self.context.memory,
            options.body_max_bytes,
            options.body_timeout,
        )
        .await?;
        check_no_key(head, &self.keys(head), &body)?;
        Ok(body)
    }

    /// Returns all keys in a request's head.
    fn keys(&self, head: &Parts) -> Vec<String> {
        let replica = &self.context.replica;
        replica.read(|state| access::keys(head, state))
    }
}

/// Checks that neither the path nor the body contains one of the keys.
fn check_no_key(head: &Parts, keys: &[String], body: &[u8]) -> Result<(), Refusal> {
    let in_body = |key: &String| {
        body.windows(key.len())
            .any(|window| window == key.as_bytes())
    };
    if query::contains_key(head.uri.path(), keys) || keys.iter().any(in_body) {
        let message = "the path or the body holds the key, which no endpoint may see";
        return Err(Refusal::not_run(Kind::InvalidRequestError, message));
    }
    Ok(())
}

/// Checks the method of a path that supports only one.
fn check_method(head: &Parts, method: &Method) -> Result<(), Refusal> {
    if head.method == method {
        return Ok(());
    }
    let message = format!("this path takes {method} only");
    Err(Refusal::not_run(Kind::MethodError, message))
}
