//! Keeping shares in step with the fold and with demand, and handing them over at a planned stop.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_client::traits::Log;
use quetzalpick_core::payload::Payload;
use quetzalpick_core::quota::{Peer, Transfer};
use quetzalpick_core::record::{Record, Role};
use quetzalpick_node::replica::{Answer, Replica};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::demand::DemandTracker;
use crate::share::{Peers, Shares};

/// Pause between two rounds of delivering transfers at a planned stop.
const DELIVERY_PAUSE: Duration = Duration::from_millis(50);

/// Longest time that a gate which has just started waits to hear the others, so that it can gather tokens.
const INTRODUCTION: Duration = Duration::from_secs(3);

/// Keeps the shares in step for ever.
pub(crate) async fn keep<L: Log>(
    replica: Replica<L>,
    shares: Arc<Shares>,
    demand: Arc<DemandTracker>,
    every: Duration,
) {
    let mut changed = replica.changed();
    let mut tick = interval(every);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut declaring = tokio::task::JoinSet::new();
    loop {
        let ticked = tokio::select! {
            _ = tick.tick() => true,
            changed = changed.changed() => {
                if changed.is_err() {
                    return;
                }
                false
            }
            // A finished declaration makes room for the next one.
            Some(_) = declaring.join_next() => false,
        };
        // The offset is marked as seen before the state is read, so that no later one is missed.
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
        if ticked {
            rebalance(&replica, &shares, &demand);
        }
    }
}

/// Logs what became of a declaration.
fn log_declaration(answer: &Answer) {
    match answer {
        Answer::Accepted { offset, .. } => log::info!("quota: declared at {offset}"),
        other => log::warn!("quota: declaration not accepted: {other}"),
    }
}

/// Publishes hints, and lets shares follow the demand.
fn rebalance<L: Log>(replica: &Replica<L>, shares: &Arc<Shares>, demand: &DemandTracker) {
    let peers = gates(replica);
    if replica.is_leased() {
        let all = peers.len() >= expected(replica);
        shares.introduce(all, INTRODUCTION);
    }
    shares.set_peers(peers);
    let payload = Payload {
        hints: shares.with(|quota, now_ms| quota.hints(now_ms)),
        demand: demand.rates(),
    };
    // Names and numbers always encode.
    replica.set_payload(payload.to_bytes().unwrap_or_default().into());
    // Without a lease the shares may belong to others already.
    if !replica.is_leased_as(&shares.member()) {
        return;
    }
    let known = shares.peers();
    let pending: Vec<Transfer> = shares.with(|quota, now_ms| {
        let repeated = quota.unacknowledged().to_vec();
        let fresh = quota.rebalance(now_ms, &known);
        repeated.into_iter().chain(fresh).collect()
    });
    for transfer in pending {
        let (replica, shares) = (replica.clone(), Arc::clone(shares));
        tokio::spawn(async move { deliver(&replica, &shares, &transfer).await });
    }
}

/// Counts the other active gates; nobody waits for one that is suspected to be dead.
fn expected<L: Log>(replica: &Replica<L>) -> usize {
    let own = replica.member();
    replica.read(|state| {
        let members = state.roster().members().iter();
        let gates = members.filter(|(member, row)| row.role == Role::Gate && **member != own);
        gates.filter(|(_, row)| row.suspected.is_none()).count()
    })
}

/// Returns the other gates whose hints were heard.
fn gates<L: Log>(replica: &Replica<L>) -> Vec<Peer> {
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

/// Delivers one transfer and notes the answer.
async fn deliver(peers: &impl Peers, shares: &Shares, transfer: &Transfer) {
    if let Some(ack) = peers.transfer(transfer).await {
        shares.with(|quota, now_ms| quota.settle(now_ms, &ack));
    }
}

/// Hands everything over to the other gates; tells whether all of it was acknowledged in time.
pub(crate) async fn hand_over<L: Log>(
    replica: &Replica<L>,
    shares: &Arc<Shares>,
    within: Duration,
) -> bool {
    let gates = gates(replica).into_iter();
    let members: Vec<_> = gates.map(|gate| gate.member).collect();
    if members.is_empty() || !replica.is_leased_as(&shares.member()) {
        log::info!("quota: nobody to hand shares over to");
        return false;
    }
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        // What a gate refused is taken back, and offered to another.
        let open = shares.with(|quota, now_ms| {
            quota.hand_over(now_ms, &members);
            quota.unacknowledged().to_vec()
        });
        if open.is_empty() {
            log::info!("quota: handed over to {} gates", members.len());
            return true;
        }
        let deliveries = open.iter().map(|open| deliver(replica, shares, open));
        let all = futures::future::join_all(deliveries);
        if tokio::time::timeout_at(deadline, all).await.is_ok() {
            tokio::time::sleep(DELIVERY_PAUSE).await;
        }
    }
    log::warn!("quota: shares were not all handed over");
    false
}
