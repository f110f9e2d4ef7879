//! Permits for requests to endpoints that name a limit or may fall over.

use std::sync::atomic::Ordering;

use http::HeaderMap;
use quetzalpick_core::limit::{Need, Statement};
use rand::random;
use strum::Display;

use crate::exchange::PermitResult;
use crate::fleet::limited::Said;
use crate::fleet::{Draw, Notice, Pick};
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

/// Obtains a permit for a request to the picked endpoint if that needs one; returns false if the endpoint must not get the request
/// now.
pub(crate) async fn obtain<E, S: PeerClient>(context: &Context<E, S>, pick: &mut Pick) -> bool {
    let fleet = &context.fleet;
    let notice = fleet.limit_notice(context.clock.now_ms(), &pick.endpoint);
    let (Some(need), Some(notice)) = (pick.permit, notice) else {
        fleet.confirm(pick);
        return true;
    };
    let draw = fleet.begin_draw(pick);
    let is_granted = draw_permit(context, pick, need, notice, draw.as_ref()).await;
    if is_granted {
        fleet.confirm(pick);
    }
    // The draw ends after its request counts as in flight.
    drop(draw);
    is_granted
}

/// Draws a permit from the leader, or decides without one.
async fn draw_permit<E, S: PeerClient>(
    context: &Context<E, S>,
    pick: &Pick,
    need: Need,
    notice: Notice,
    draw: Option<&Draw>,
) -> bool {
    let now_ms = context.clock.now_ms();
    let is_cold = notice.cold.is_some();
    if now_ms < context.leaderless_until_ms.load(Ordering::Relaxed) {
        return take_share(context, pick, need, is_cold);
    }
    let report = draw.map(|draw| draw.report);
    let result = context
        .peer_client
        .request_permit(notice, need, report)
        .await;
    let answered_ms = context.clock.now_ms();
    if result != PermitResult::NotLeading {
        context.fleet.record_room_leader(&pick.endpoint);
    }
    match result {
        // This process may have stood still in between.
        PermitResult::Granted => {
            let is_valid = answered_ms < now_ms + PERMIT_TTL_MS;
            let outcome = if is_valid { "granted" } else { "expired" };
            context.meters.permit(outcome, is_cold);
            is_valid
        }
        PermitResult::Unavailable(wait_ms) => {
            context.meters.permit("unavailable", is_cold);
            pause(context, pick, need, wait_ms, Source::Leader);
            false
        }
        PermitResult::NotLeading => {
            let until_ms = answered_ms + LEADERLESS_PAUSE_MS;
            context
                .leaderless_until_ms
                .store(until_ms, Ordering::Relaxed);
            take_share(context, pick, need, is_cold)
        }
    }
}

/// Takes the request from this VM's own share of the limit and of the room; returns whether that suffices.
fn take_share<E, S>(context: &Context<E, S>, pick: &Pick, need: Need, is_cold: bool) -> bool {
    let now_ms = context.clock.now_ms();
    let endpoint = &pick.endpoint;
    let fleet = &context.fleet;
    // The share is small: it is kept for requests that no other endpoint can take.
    let members = context.rates.known_member_count(now_ms);
    let members = members.filter(|_| need == Need::Required);
    let members = members.map(|members| members as u64);
    let taken = match members {
        Some(members) if fleet.has_own_room(now_ms, endpoint, members) => {
            fleet.take_share(now_ms, endpoint, members, random())
        }
        _ => Err(LEADERLESS_PAUSE_MS),
    };
    match taken {
        Ok(()) => context.meters.permit("own-share", is_cold),
        Err(wait_ms) => {
            context.meters.permit("unavailable", is_cold);
            pause(context, pick, need, wait_ms, Source::OwnShare);
        }
    }
    taken.is_ok()
}

/// Sends the endpoint no further requests for a while.
fn pause<E, S>(context: &Context<E, S>, pick: &Pick, need: Need, wait_ms: u64, source: Source) {
    let wait_ms = wait_ms.max(PAUSE_MIN_MS);
    let until_ms = context.clock.now_ms() + wait_ms;
    context.fleet.pause(until_ms, &pick.endpoint, need);
    log::info!(
        "entry: endpoint={} at its limit need={need} wait_ms={wait_ms} source={source}",
        pick.endpoint
    );
}

/// Applies what the head of an answer says of the requests that the endpoint takes; `is_own` tells whether it is certainly from the picked
/// incarnation.
pub(crate) fn observe<E: HeadCodec, S>(
    context: &Context<E, S>,
    pick: &Pick,
    sent_ms: u64,
    headers: &HeaderMap,
    is_own: bool,
) {
    let fleet = &context.fleet;
    let codec = &context.head_codec;
    if let Some(left_ms) = codec.cold_ms(headers) {
        fleet.observe_cold(context.clock.now_ms(), pick, left_ms);
    }
    let said = codec
        .limit(headers)
        .and_then(|rate| Ok((rate, codec.tolerance(headers)?)));
    let (rate, tolerance) = match said {
        Ok(said) => said,
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
    if rate.is_none() && tolerance.is_none() && !is_own {
        return;
    }
    let now_ms = context.clock.now_ms();
    let said = Said {
        rate: statement(rate, sent_ms, now_ms),
        tolerance: Some(statement(tolerance, sent_ms, now_ms)),
    };
    fleet.observe_limit(now_ms, pick, said);
}

fn statement<T>(value: Option<T>, sent_ms: u64, received_ms: u64) -> Statement<T> {
    Statement {
        value,
        sent_ms,
        received_ms,
    }
}
