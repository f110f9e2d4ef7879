//! Streams that callers take up again: they go on at the build that began them.

use crate::fleet::{Build, Pick};
use crate::origin::{Origin, StoredOrigin};
use crate::serve::refusal::{Cause, RETRY_AFTER_UNANSWERED, Refusal};
use crate::serve::request::Admitted;
use crate::serve::{Context, OriginSearch, PeerClient};

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
    let (origin, source) = find(context, admitted).await?;
    if !admitted.route.leads_to(&origin.service) {
        let detail = format!("the route no longer leads to service={}", origin.service);
        return Err(Refusal::new(Cause::UnknownBuild, detail));
    }
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

/// Finds out where a stream began, and names the source for the log.
async fn find<E, S: PeerClient>(
    context: &Context<E, S>,
    admitted: &Admitted,
) -> Result<(Origin, &'static str), Refusal> {
    let now_ms = context.clock.now_ms();
    let attempt = admitted.metadata.resumes.as_deref();
    if let Some(origin) = attempt.and_then(|attempt| context.origins.find(now_ms, attempt)) {
        return Ok((origin, "memory"));
    }
    let service = &admitted.service;
    let at = |build| Origin {
        service: service.clone(),
        build,
    };
    if let Some(build) = context.fleet.sole_build(now_ms, service) {
        return Ok((at(build), "only-build"));
    }
    let search = context.peer_client.find_origin(service, attempt).await;
    if let Some(origin) = search.origin {
        return Ok((origin, "other-vms"));
    }
    let mut builds = search.builds.clone();
    builds.extend(context.fleet.known_builds(now_ms, service));
    builds.sort_unstable();
    builds.dedup();
    // A VM that reaches neither the log service nor other VMs may have missed a build.
    let is_informed = context.fleet.is_current(now_ms) || search.answered > 0;
    let sole = <[Build; 1]>::try_from(builds).ok().filter(|_| is_informed);
    let unmarked_ms = context.origins.unmarked_ms(service);
    let is_complete = search.is_complete || context.fleet.covers_streams(now_ms, unmarked_ms);
    if let Some([build]) = sole.clone().filter(|_| is_complete) {
        return Ok((at(build), "known-builds"));
    }
    let stored = context.origins.find_stored(now_ms, service, attempt).await;
    match (stored, sole) {
        (StoredOrigin::Known(origin), _) => Ok((origin, "topic")),
        (StoredOrigin::OneBuild, Some([build])) => Ok((at(build), "sole-build")),
        (stored, _) => Err(unknown(&search, attempt.is_some(), &stored)),
    }
}

/// Returns the refusal of a stream of which it is not known where it began.
fn unknown(search: &OriginSearch, is_named: bool, stored: &StoredOrigin) -> Refusal {
    let (asked, answered) = (search.asked, search.answered);
    let detail = format!("asked={asked} answered={answered} topic={stored:?}");
    let refusal = Refusal::new(Cause::UnknownBuild, detail);
    let may_become_known = *stored == StoredOrigin::Unread || answered < asked;
    if is_named && may_become_known {
        refusal.with_retry_after(RETRY_AFTER_UNANSWERED)
    } else {
        refusal
    }
}

/// Records at which build a resumable stream runs, when it brings its caller the first event.
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
