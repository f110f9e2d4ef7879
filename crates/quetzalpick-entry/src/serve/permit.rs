//! Permits for requests to endpoints that name a limit.

use std::sync::atomic::Ordering;

use http::HeaderMap;
use quetzalpick_core::limit::{Need, Statement};
use rand::random;
use strum::Display;

use crate::exchange::PermitResult;
use crate::fleet::Pick;
use crate::serve::{Context, PeerClient};
use crate::wire::HeadCodec;

/// Time after the request for a permit in which the permit may be used, in ms.
const PERMIT_TTL_MS: u64 = 250;

/// Shortest pause after a permit was not available, in ms.
const PAUSE_MIN_MS: u64 = 10;

/// Time before the leader is asked again after it did not answer, in ms.
const LEADERLESS_PAUSE_MS: u64 = 200;

/// `Source` tells who decides on a permit.
#[derive(Debug, Clone, Copy, Display)]
#[strum(serialize_all = "kebab-case")]
enum Source {
    Leader,
    /// This VM, as no leader answers.
    OwnShare,
}

/// Obtains a permit for a request to the picked endpoint if that names a limit; returns false if the endpoint must not get the
/// request now.
pub(crate) async fn obtain<E, S: PeerClient>(context: &Context<E, S>, pick: &Pick) -> bool {
    let fleet = &context.fleet;
    let now_ms = context.clock.now_ms();
    let notice = fleet.limit_notice(now_ms, &pick.endpoint);
    let (Some(need), Some(notice)) = (pick.permit, notice) else {
        return true;
    };
    if now_ms >= context.leaderless_until_ms.load(Ordering::Relaxed) {
        let result = context.peer_client.request_permit(notice, need).await;
        let answered_ms = context.clock.now_ms();
        match result {
            // This process may have stood still in between.
            PermitResult::Granted => {
                let is_valid = answered_ms < now_ms + PERMIT_TTL_MS;
                context
                    .meters
                    .permit(if is_valid { "granted" } else { "expired" });
                return is_valid;
            }
            PermitResult::Unavailable(wait_ms) => {
                pause(context, pick, need, wait_ms, Source::Leader);
                return false;
            }
            PermitResult::NotLeading => {
                let until_ms = answered_ms + LEADERLESS_PAUSE_MS;
                context
                    .leaderless_until_ms
                    .store(until_ms, Ordering::Relaxed);
            }
        }
    }
    take_share(context, pick, need)
}

/// Takes the request from this VM's own share of the limit; returns whether that suffices.
fn take_share<E, S>(context: &Context<E, S>, pick: &Pick, need: Need) -> bool {
    let now_ms = context.clock.now_ms();
    let endpoint = &pick.endpoint;
    let fleet = &context.fleet;
    // The share is small: it is kept for requests that no other endpoint can take.
    let members = context.rates.known_member_count(now_ms);
    let taken = match members.filter(|_| need == Need::Required) {
        Some(members) => fleet.take_share(now_ms, endpoint, members as u64, random()),
        None => Err(LEADERLESS_PAUSE_MS),
    };
    match taken {
        Ok(()) => context.meters.permit("own-share"),
        Err(wait_ms) => pause(context, pick, need, wait_ms, Source::OwnShare),
    }
    taken.is_ok()
}

/// Sends the endpoint no further requests for a while.
fn pause<E, S>(context: &Context<E, S>, pick: &Pick, need: Need, wait_ms: u64, source: Source) {
    let wait_ms = wait_ms.max(PAUSE_MIN_MS);
    let until_ms = context.clock.now_ms() + wait_ms;
    context.fleet.pause(until_ms, &pick.endpoint, need);
    context.meters.permit("unavailable");
    log::info!(
        "entry: endpoint={} at its limit need={need} wait_ms={wait_ms} source={source}",
        pick.endpoint
    );
}

/// Applies what the head of an answer says about the endpoint's limit; `is_own` tells whether it is certainly from the picked
/// incarnation.
pub(crate) fn observe<E: HeadCodec, S>(
    context: &Context<E, S>,
    pick: &Pick,
    sent_ms: u64,
    headers: &HeaderMap,
    is_own: bool,
) {
    let fleet = &context.fleet;
    let rate = match context.head_codec.limit(headers) {
        Ok(rate) => rate,
        Err(error) => {
            if fleet.record_malformed_limit(&pick.endpoint) {
                log::warn!(
                    "entry: endpoint={} limit ignored reason=\"{error}\"",
                    pick.endpoint
                );
            }
            return;
        }
    };
    if rate.is_none() && !is_own {
        return;
    }
    let now_ms = context.clock.now_ms();
    let statement = Statement {
        rate,
        sent_ms,
        received_ms: now_ms,
    };
    fleet.observe_limit(now_ms, pick, statement);
}
