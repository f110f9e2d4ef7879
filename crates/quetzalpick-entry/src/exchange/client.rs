//! Tells the leader what this VM sees, and takes in its answer.

use std::fmt::Debug;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use quetzalpick_core::id::{Artifact, Workspace};
use quetzalpick_node::peer::Transport;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::exchange::message::{Copies, Draw, Drawn, Known, Reply, Status, Want, Wanted, path};
use crate::exchange::service::{decode, encode};
use crate::fleet::Fleet;
use crate::lead::Lead;
use crate::place::EngineControl;
use crate::rate::Rates;
use crate::serve::PeerClient;
use crate::view::View;

/// Pause between two statuses.
const INTERVAL: Duration = Duration::from_millis(250);

/// With many VMs the pause is this long for each, so that the leader's work stays the same.
const MEMBER_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time for the leader's answer to a status.
const STATUS_TIME: Duration = Duration::from_millis(500);

/// Longest time for the leader's answer to a want.
const WANT_TIME: Duration = Duration::from_millis(250);

/// Longest time for another VM's answer to a request to lend.
const LEND_TIME: Duration = Duration::from_millis(40);

/// Longest time for the leader's answer to a draw.
const DRAW_TIME: Duration = Duration::from_millis(60);

/// `Client` exchanges with the leader.
#[derive(Debug)]
pub(crate) struct Client<N, P> {
    pub(crate) lead: Arc<Lead<N>>,
    pub(crate) transport: P,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    /// Fencing number of the leader that was last heard.
    pub(crate) fence: AtomicU64,
    /// Version of the copies known from it.
    pub(crate) copies: AtomicU64,
    /// Version of the endpoints known from it.
    pub(crate) endpoints: AtomicU64,
    /// Addresses of some other VMs, as the leader said last.
    pub(crate) peers: Mutex<Vec<String>>,
}

impl<N: EngineControl, P: Transport> Client<N, P> {
    /// Exchanges for as long as it is polled.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let members = u32::try_from(self.rates.members()).unwrap_or(u32::MAX);
            let interval = INTERVAL.max(MEMBER_INTERVAL * members);
            let turn = async {
                self.exchange().await;
                sleep(interval).await;
            };
            // The next leader is asked at once, also while the former one does not answer.
            tokio::select! {
                () = turn => {}
                () = self.lead.succession.notified() => {}
            }
        }
    }

    /// Tells the leader this VM's status, and takes in the answer.
    async fn exchange(&self) {
        let now_ms = self.clock.now_ms();
        if let Some(config) = self.view.config() {
            self.rates.refresh(now_ms, &config);
        }
        let status = self.status(now_ms);
        if self.lead.is_leading() {
            let reply = self.lead.status(status);
            self.take_term(&reply);
            return;
        }
        let reply: Option<Reply> = self.call(path::STATUS, &status, STATUS_TIME).await;
        match reply {
            Some(reply) if reply.heartbeat.is_some() => {
                self.take_term(&reply);
                self.take_relay(now_ms, reply);
            }
            _ => self.lead.record_no_answer(),
        }
    }

    fn status(&self, now_ms: u64) -> Status {
        let config = self.view.config();
        let known = self.known();
        Status {
            vm: self.lead.vm().clone(),
            address: self.lead.address().to_owned(),
            fence: known.fence,
            copies: known.version,
            endpoints: self.endpoints.load(Ordering::Relaxed),
            config: config.map_or(0, |config| config.version()),
            loads: self.fleet.loads(),
            suspected: self.fleet.suspected(now_ms),
            work: self.fleet.work(now_ms),
        }
    }

    /// Takes in what the leader says of its term, of loads and of copies.
    fn take_term(&self, reply: &Reply) {
        let now_ms = self.clock.now_ms();
        self.lead.record_heartbeat(now_ms, reply.heartbeat.clone());
        self.fleet.record_leader_contact(now_ms);
        self.fleet.set_other_loads(now_ms, &reply.loads);
        let former = self.fence.swap(reply.fence, Ordering::Relaxed);
        if former != reply.fence {
            self.copies.store(0, Ordering::Relaxed);
            self.endpoints.store(0, Ordering::Relaxed);
            log::info!("exchange: leader fence={} former={former}", reply.fence);
        }
        if let Some(copies) = &reply.copies {
            self.learn(copies);
        }
    }

    /// Takes in what the leader has read of the topics.
    fn take_relay(&self, sent_ms: u64, reply: Reply) {
        let now_ms = self.clock.now_ms();
        let Some(view) = reply.view else { return };
        let fresh_ms = sent_ms.saturating_sub(view.age_ms);
        self.view
            .accept_relay(now_ms, fresh_ms, view.record.map(|record| record.0));
        if let Some(endpoints) = reply.endpoints {
            self.endpoints.store(endpoints.version, Ordering::Relaxed);
            self.fleet.apply_relay(now_ms, endpoints);
        }
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) = reply.peers;
        let members = usize::try_from(reply.members).unwrap_or(usize::MAX);
        self.rates.divide(members);
        if let Some(listed) = reply.listed {
            self.rates.list(listed);
        }
        self.fleet.set_members(members);
        // A VM that leads later begins with what this leader knows.
        self.lead.divide(members);
    }

    /// Takes in what engines hold, unless newer word of it was taken in.
    fn learn(&self, copies: &Copies) {
        let Known { fence, version } = copies.known;
        let is_of_leader = fence == self.fence.load(Ordering::Relaxed);
        if !is_of_leader || version <= self.copies.load(Ordering::Relaxed) {
            return;
        }
        let now_ms = self.clock.now_ms();
        self.copies.store(version, Ordering::Relaxed);
        for (endpoint, held) in &copies.rows {
            self.fleet.set_copies(now_ms, endpoint, held);
        }
    }

    fn known_peers(&self) -> Vec<String> {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.clone()
    }

    /// Returns what this VM knows of the copies.
    fn known(&self) -> Known {
        Known {
            fence: self.fence.load(Ordering::Relaxed),
            version: self.copies.load(Ordering::Relaxed),
        }
    }

    /// Calls the VM that is thought to lead; `None` if there is none or it does not answer in time.
    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Option<T> {
        let address = self.lead.leader_address()?;
        self.call_at(&address, path, message, limit).await
    }

    /// Calls a VM; `None` if it does not answer in time.
    async fn call_at<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Option<T> {
        let body = encode(message)?;
        let answer = timeout(limit, self.transport.call(address, path, body)).await;
        match answer {
            Ok(Ok(body)) => decode(&body),
            Ok(Err(error)) => {
                log::debug!("exchange: vm={address} path={path} reason=\"{error}\"");
                None
            }
            Err(_) => {
                log::debug!("exchange: vm={address} path={path} reason=\"no answer in time\"");
                None
            }
        }
    }
}

impl<N: EngineControl, P: Transport + Debug> PeerClient for Client<N, P> {
    async fn draw(&self, workspace: &Workspace, units: u64) -> Drawn {
        let draw = Draw {
            workspace: workspace.clone(),
            units,
        };
        if self.lead.is_leading() {
            return self.lead.draw(&draw);
        }
        let drawn = self.call(path::DRAW, &draw, DRAW_TIME).await;
        drawn.unwrap_or(Drawn::NotLeading)
    }

    async fn borrow(&self, workspace: &Workspace, units: u64) -> u64 {
        let peers = self.known_peers();
        // Half of those that are asked suffice.
        let lenders = (peers.len() as u64 / 2).max(1);
        let draw = Draw {
            workspace: workspace.clone(),
            units: units.div_ceil(lenders),
        };
        let ask = |peer: String| {
            let draw = draw.clone();
            async move { self.call_at(&peer, path::LEND, &draw, LEND_TIME).await }
        };
        let lent: Vec<Option<u64>> = join_all(peers.into_iter().map(ask)).await;
        lent.into_iter().flatten().sum()
    }

    async fn request_adapter(&self, adapter: &Artifact) {
        let want = Want {
            adapter: adapter.clone(),
            known: self.known(),
        };
        let wanted: Option<Wanted> = if self.lead.is_leading() {
            Some(self.lead.want(want).await)
        } else {
            self.call(path::WANT, &want, WANT_TIME).await
        };
        if let Some(copies) = wanted.and_then(|wanted| wanted.copies) {
            self.learn(&copies);
        }
    }
}
