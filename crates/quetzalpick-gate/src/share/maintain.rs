//! Periodic maintenance of shares by the fold and by demand, and their handover at a planned stop.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::traits::Log;
use quetzalpick_core::payload::Payload;
use quetzalpick_core::quota::{Peer, Transfer};
use quetzalpick_core::record::{Record, Role};
use quetzalpick_node::replica::{Answer, Replica};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::demand::DemandTracker;
use crate::share::{PeerTransport, Shares};

/// Pause between two rounds of transfers at a planned stop.
const DELIVERY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum time for which a newly started gate waits for the hints of the others, which it needs to gather tokens.
const PEER_HINTS_TIMEOUT: Duration = Duration::from_secs(3);

/// Updates the shares from the fold and rebalances them with demand, until cancelled.
pub(crate) async fn maintain<L: Log>(
    replica: Replica<L>,
    shares: Arc<Shares>,
    demand: Arc<DemandTracker>,
    share_interval: Duration,
) {
    let mut changed = replica.changed();
    let mut tick = interval(share_interval);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut declaring = tokio::task::JoinSet::new();
    loop {
        let interval_elapsed = tokio::select! {
            _ = tick.tick() => true,
            changed = changed.changed() => {
                if changed.is_err() {
                    return;
                }
                false
            }
            // The next declaration can be sent once the last one has finished.
            Some(_) = declaring.join_next() => false,
        };
        // The change is marked as seen before the state is read, so that no later one is missed.
        changed.borrow_and_update();
        let member = replica.member();
        replica.read(|state| shares.sync(&member, state));
        if declaring.is_empty()
            && let Some(declaration) = shares.with(|quota, _| quota.declaration().cloned())
        {
            let replica = replica.clone();
            declaring.spawn(async move {
                let answer = replica.submit(Record::Declare(declaration), None).await;
                log_declaration(&answer);
            });
        }
        if interval_elapsed {
            rebalance(&replica, &shares, &demand);
        }
    }
}

/// Logs the outcome of a declaration.
fn log_declaration(answer: &Answer) {
    match answer {
        Answer::Accepted { offset, .. } => log::info!("quota: declared at {offset}"),
        other => log::warn!("quota: declaration not accepted: {other}"),
    }
}

/// Publishes hints and demand to the peers, and sends the transfers that rebalance the shares.
fn rebalance<L: Log>(replica: &Replica<L>, shares: &Arc<Shares>, demand: &DemandTracker) {
    let peers = peer_gates(replica);
    // Peers wait for the hints of a gate that has joined, and would take earlier ones for them.
    if !shares.include_grants() {
        replica.set_payload(Bytes::new());
        return;
    }
    if replica.is_leased() {
        let all_reported = peers.len() >= count_awaited_gates(replica);
        shares.update_can_gather(all_reported, PEER_HINTS_TIMEOUT);
    }
    shares.set_peers(peers);
    let payload = Payload {
        hints: shares.with(|quota, now_ms| quota.hints(now_ms)),
        demand: demand.rates(),
    };
    // Names and numbers always encode.
    replica.set_payload(payload.to_bytes().unwrap_or_default().into());
    // Without a lease the shares may already belong to other gates.
    if !replica.is_leased_as(&shares.member()) {
        return;
    }
    let known_peers = shares.peers();
    let pending: Vec<Transfer> = shares.with(|quota, now_ms| {
        let repeated = quota.unacknowledged().to_vec();
        let fresh = quota.rebalance(now_ms, &known_peers);
        repeated.into_iter().chain(fresh).collect()
    });
    for transfer in pending {
        let (replica, shares) = (replica.clone(), Arc::clone(shares));
        tokio::spawn(async move { deliver(&replica, &shares, &transfer).await });
    }
}

/// Counts the other active gates, except those suspected to be dead, which are not waited for.
fn count_awaited_gates<L: Log>(replica: &Replica<L>) -> usize {
    let own = replica.member();
    replica.read(|state| {
        let members = state.roster().members().iter();
        let gates = members.filter(|(member, row)| row.role == Role::Gate && **member != own);
        gates.filter(|(_, row)| row.suspected.is_none()).count()
    })
}

/// Returns the other gates whose hints were received.
fn peer_gates<L: Log>(replica: &Replica<L>) -> Vec<Peer> {
    let gates = replica.peers().into_iter();
    let gates = gates.filter(|peer| peer.role == Role::Gate);
    gates
        .filter_map(|peer| {
            let hints = Payload::from_bytes(&peer.payload).ok()?.hints;
            let member = peer.member;
            Some(Peer { member, hints })
        })
        .collect()
}

/// Delivers a transfer and applies its acknowledgement.
async fn deliver(peers: &impl PeerTransport, shares: &Shares, transfer: &Transfer) {
    if let Some(ack) = peers.send_transfer(transfer).await {
        shares.with(|quota, now_ms| quota.settle(now_ms, &ack));
    }
}

/// Hands all shares over to the other gates; returns whether all transfers were acknowledged in time.
pub(crate) async fn hand_over<L: Log>(
    replica: &Replica<L>,
    shares: &Arc<Shares>,
    time_limit: Duration,
) -> bool {
    let gates = peer_gates(replica).into_iter();
    let members: Vec<_> = gates.map(|gate| gate.member).collect();
    if members.is_empty() || !replica.is_leased_as(&shares.member()) {
        log::info!("quota: no gate to hand shares over to");
        return false;
    }
    let deadline = Instant::now() + time_limit;
    while Instant::now() < deadline {
        // Refused transfers are taken back and offered to another gate.
        let pending = shares.with(|quota, now_ms| {
            quota.hand_over(now_ms, &members);
            quota.unacknowledged().to_vec()
        });
        if pending.is_empty() {
            log::info!("quota: handed over to {} gates", members.len());
            return true;
        }
        let deliveries = pending
            .iter()
            .map(|transfer| deliver(replica, shares, transfer));
        let all = futures::future::join_all(deliveries);
        if tokio::time::timeout_at(deadline, all).await.is_ok() {
            tokio::time::sleep(DELIVERY_PAUSE).await;
        }
    }
    log::warn!("quota: not all shares were handed over");
    false
}
