//! Streams that callers take up again: they go on at the build that began them.

use crate::fleet::Pick;
use crate::origin::Origin;
use crate::serve::refusal::{Cause, RETRY_AFTER_UNANSWERED, Refusal};
use crate::serve::request::Admitted;
use crate::serve::{Context, OriginAnswer, PeerClient};

/// Determines the service and the build at which a stream goes on that the caller takes up; does nothing for others.
///
/// # Errors
///
/// `Refusal` if it is not known where the stream began.
pub(crate) async fn resolve<E, S: PeerClient>(
    context: &Context<E, S>,
    admitted: &mut Admitted,
) -> Result<(), Refusal> {
    if !admitted.is_resumable() || !admitted.metadata.takes_up_stream() {
        return Ok(());
    }
    let (answer, source) = find(context, admitted).await;
    match answer {
        OriginAnswer::Known(origin) if admitted.route.leads_to(&origin.service) => {
            log::info!(
                "entry: request={} takes up attempt={} build={} source={source}",
                admitted.id(),
                admitted.metadata.resumes.as_deref().unwrap_or("-"),
                origin.build.as_str(),
            );
            admitted.service = origin.service;
            admitted.build = Some(origin.build);
            Ok(())
        }
        OriginAnswer::Known(origin) => {
            let detail = format!("the route no longer leads to service={}", origin.service);
            Err(Refusal::new(Cause::UnknownBuild, detail))
        }
        OriginAnswer::Unknown => Err(Refusal::new(Cause::UnknownBuild, "no VM knows the stream")),
        OriginAnswer::Unanswered => {
            let refusal = Refusal::new(Cause::UnknownBuild, "VMs that may know did not answer");
            Err(refusal.with_retry_after(RETRY_AFTER_UNANSWERED))
        }
    }
}

/// Finds out where a stream began, and names the source for the log.
async fn find<E, S: PeerClient>(
    context: &Context<E, S>,
    admitted: &Admitted,
) -> (OriginAnswer, &'static str) {
    let now_ms = context.clock.now_ms();
    let attempt = admitted.metadata.resumes.as_deref();
    if let Some(origin) = attempt.and_then(|attempt| context.origins.find(now_ms, attempt)) {
        return (OriginAnswer::Known(origin), "memory");
    }
    let service = &admitted.service;
    if let Some(build) = context.fleet.sole_build(now_ms, service) {
        let service = service.clone();
        let origin = Origin { service, build };
        return (OriginAnswer::Known(origin), "only-build");
    }
    let answer = context.peer_client.find_origin(service, attempt).await;
    (answer, "other-vms")
}

/// Records at which build a resumable stream runs, once its endpoint has accepted it.
pub(crate) fn record<E, S>(context: &Context<E, S>, admitted: &mut Admitted, pick: &Pick) {
    if !admitted.is_resumable() {
        return;
    }
    admitted.build = Some(pick.build.clone());
    let metadata = &admitted.metadata;
    // A stream keeps the name of the attempt that began it, however often it is taken up.
    let Some(attempt) = metadata.resumes.as_ref().or(metadata.attempt.as_ref()) else {
        return;
    };
    let origin = Origin {
        service: admitted.service.clone(),
        build: pick.build.clone(),
    };
    let now_ms = context.clock.now_ms();
    let shared = context.fleet.sole_build(now_ms, &origin.service).is_none();
    context.origins.record(now_ms, attempt, &origin, shared);
}
