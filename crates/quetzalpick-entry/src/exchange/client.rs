//! Sends this VM's status and requests to the leader and to other VMs, and applies their replies.

use std::fmt::Debug;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quetzalpick_client::errors::{Result as CallResult, malformed, unanswered};
use quetzalpick_core::table::Table;
use quetzalpick_core::verdict::Verdict;
use quetzalpick_node::peer::Transport;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::exchange::codec::{decode, encode};
use crate::exchange::message::{CopiesUpdate, CopiesVersion, Status, StatusReply, path};
use crate::exchange::registrars::Registrars;
use crate::fleet::Fleet;
use crate::lead::Leadership;
use crate::link::Link;
use crate::origin::Origins;
use crate::place::EngineControl;
use crate::quarantine::Quarantine;
use crate::rate::Rates;
use crate::sync::lock;
use crate::view::{Content, DependencyStatus, Relay, View};

/// Minimum pause between two statuses.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Pause between two statuses per member, used with many VMs so that the leader's work stays constant.
const MEMBER_INTERVAL: Duration = Duration::from_millis(5);

/// Time in which urgent news are collected for one status.
const NEWS_PAUSE: Duration = Duration::from_millis(20);

/// Longest time for the leader's answer to a status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// `Client` calls the leader and other VMs.
#[derive(Debug)]
pub(crate) struct Client<N, P> {
    pub(crate) lead: Arc<Leadership<N>>,
    pub(crate) transport: P,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    /// Fencing number of the leader that answered last.
    pub(crate) leader_fence: AtomicU64,
    /// Version of the copies received from it.
    pub(crate) copies_version: AtomicU64,
    /// Version of the endpoints received from it.
    pub(crate) endpoints_version: AtomicU64,
    /// Version of the paces received from it.
    pub(crate) paces_version: AtomicU64,
    /// Addresses of some other VMs, from the leader's last reply.
    pub(crate) peers: Mutex<Vec<String>>,
    /// VMs that keep the origins of streams.
    pub(crate) registrars: Mutex<Registrars>,
    pub(crate) origins: Arc<Origins>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) link: Arc<Link>,
    /// VMs that could not pass requests on recently, and until when they are avoided, in ms.
    pub(crate) avoided: Mutex<Table<String, u64>>,
}

impl<N: EngineControl, P: Transport> Client<N, P> {
    /// Sends statuses until cancelled.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut leader = DependencyStatus::new("leader");
        loop {
            let interval = self.status_interval();
            let round = async {
                self.report_status(&mut leader).await;
                tokio::select! {
                    () = sleep(interval) => {}
                    () = self.quarantine.changed() => sleep(NEWS_PAUSE).await,
                }
            };
            // A new leader receives a status immediately, even while a call to the former one is still waiting.
            tokio::select! {
                () = round => {}
                () = self.lead.leader_changed.notified() => {}
            }
        }
    }

    /// Returns the pause between two statuses.
    fn status_interval(&self) -> Duration {
        STATUS_INTERVAL.max(MEMBER_INTERVAL * self.member_count())
    }

    fn status_interval_ms(&self) -> u64 {
        u64::try_from(self.status_interval().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the number of VMs by which calls are paced.
    pub(super) fn member_count(&self) -> u32 {
        let count = self.rates.member_count().unwrap_or(1);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Sends this VM's status to the leader and applies the reply.
    async fn report_status(&self, leader: &mut DependencyStatus) {
        let now_ms = self.clock.now_ms();
        if let Some(config) = self.view.config() {
            self.rates.update_workspaces(now_ms, &config);
        }
        let (status, revision) = self.status(now_ms);
        if self.lead.is_leading() {
            let reply = self.lead.answer_status(status);
            self.apply_reply(&reply, revision);
            return;
        }
        match self.send_status(&status).await {
            Ok(reply) => {
                leader.record_answer(self.clock.now_ms());
                self.apply_reply(&reply, revision);
                self.apply_relay(now_ms, reply);
            }
            Err(error) => {
                leader.record_failure(self.clock.now_ms(), &error);
                self.lead.record_no_answer();
                self.quarantine.record_no_answer();
            }
        }
    }

    /// Sends a status to the assumed leader and returns the reply of a VM that does lead.
    async fn send_status(&self, status: &Status) -> CallResult<StatusReply> {
        let not_sent = |reason| unanswered("leader", Verdict::NotRun, reason);
        let address = self.lead.leader_address();
        let address = address.ok_or_else(|| not_sent("no leader is known"))?;
        let reply: StatusReply = self
            .try_call_vm(&address, path::STATUS, status, STATUS_TIMEOUT)
            .await?;
        if reply.heartbeat.is_none() {
            return Err(malformed(address, "the VM does not lead"));
        }
        Ok(reply)
    }

    /// Returns this VM's status, and the revision of the evidence on crashes in it.
    fn status(&self, now_ms: u64) -> (Status, u64) {
        let config = self.view.config();
        let copies_version = self.copies_version();
        let report = self.quarantine.report(now_ms, copies_version.fence);
        let (loads, prompts) = self.fleet.load_report();
        let status = Status {
            vm: self.lead.vm().clone(),
            address: self.lead.address().to_owned(),
            fence: copies_version.fence,
            copies_version: copies_version.version,
            endpoints_version: self.endpoints_version.load(Ordering::Relaxed),
            config_version: config.map_or(0, |config| config.version()),
            loads,
            prompts,
            observed: self.fleet.take_observed(),
            paces_version: self.paces_version.load(Ordering::Relaxed),
            suspected: self.fleet.suspected(now_ms),
            work: self.fleet.work(now_ms),
            limits: self.fleet.limits_to_tell(now_ms),
            crashes: report.crashes,
            answered: report.answered,
            quarantine_version: report.version,
            is_disconnected: self.link.is_lost(),
            accepts_changes: true,
            departures: self.fleet.departures(),
            rooms: self.fleet.room_reports(),
        };
        (status, report.revision)
    }

    /// Applies what a leader also applies to itself: its heartbeat, the loads of other VMs and the copies.
    fn apply_reply(&self, reply: &StatusReply, revision: u64) {
        let now_ms = self.clock.now_ms();
        let interval_ms = self.status_interval_ms();
        self.lead
            .record_heartbeat(now_ms, reply.heartbeat.clone(), interval_ms);
        self.fleet.record_leader_contact(now_ms);
        self.fleet.set_other_loads(now_ms, &reply.loads);
        self.fleet.set_other_prompts(&reply.loads, &reply.prompts);
        let former = self.leader_fence.swap(reply.fence, Ordering::Relaxed);
        if former != reply.fence {
            self.copies_version.store(0, Ordering::Relaxed);
            self.endpoints_version.store(0, Ordering::Relaxed);
            self.paces_version.store(0, Ordering::Relaxed);
            log::info!("exchange: leader fence={} former={former}", reply.fence);
        }
        if let Some(paces) = &reply.paces {
            self.paces_version.store(paces.version, Ordering::Relaxed);
            self.fleet.set_paces(now_ms, &paces.rows);
        }
        self.quarantine.apply(
            reply.fence,
            revision,
            &reply.suspects,
            reply.quarantine.as_ref(),
        );
        self.update_registrars(reply.deputy.clone());
        if !reply.peers.is_empty() {
            *lock(&self.peers) = reply.peers.clone();
        }
        if let Some(copies) = &reply.copies {
            self.apply_copies(copies);
        }
    }

    /// Applies the configuration, endpoints and members that the leader has read.
    fn apply_relay(&self, sent_ms: u64, reply: StatusReply) {
        let now_ms = self.clock.now_ms();
        let member_count = reply.member_count();
        let Some(view) = reply.view else { return };
        let relay = Relay {
            as_of_ms: sent_ms.saturating_sub(view.age_ms),
            interval_ms: self.status_interval_ms(),
            next: view.position(),
            evacuated: view.evacuated,
            content: match (view.record, view.change) {
                _ if view.needs_read => Content::Unavailable,
                (Some(record), _) => Content::Record(record.0),
                (None, Some(change)) => Content::Change(change),
                (None, None) => Content::Unchanged,
            },
        };
        if let Err(error) = self.view.accept_relay(now_ms, relay) {
            log::warn!("exchange: configuration of the leader not used reason=\"{error}\"");
        }
        if let Some(endpoints) = reply.endpoints {
            self.endpoints_version
                .store(endpoints.version, Ordering::Relaxed);
            self.fleet.apply_relay(now_ms, endpoints);
        }
        if let Some(age_ms) = reply.endpoints_age_ms {
            self.fleet.record_read(sent_ms.saturating_sub(age_ms));
        }
        if let Some(listed) = reply.listed {
            self.rates.set_listed(listed);
        }
        if let Some(member_count) = member_count {
            self.rates.set_member_count(member_count);
            self.fleet.set_member_count(member_count);
            // If this VM leads later, it starts with this leader's member count.
            self.lead.set_member_count(member_count);
        }
    }

    /// Applies an update of the copies, unless it is outdated or from a former leader.
    pub(super) fn apply_copies(&self, copies: &CopiesUpdate) {
        let CopiesVersion { fence, version } = copies.version;
        let is_current_leader = fence == self.leader_fence.load(Ordering::Relaxed);
        if !is_current_leader || version <= self.copies_version.load(Ordering::Relaxed) {
            return;
        }
        let now_ms = self.clock.now_ms();
        self.copies_version.store(version, Ordering::Relaxed);
        for (endpoint, held) in &copies.rows {
            self.fleet.set_copies(now_ms, endpoint, held);
        }
    }

    /// Applies the addresses of the leader and its deputy; new registrars of origins are told this VM's streams.
    fn update_registrars(&self, deputy: Option<String>) {
        let others = |address: &String| address != self.lead.address();
        let leader = self.lead.leader_address().filter(others);
        let changed = {
            let mut registrars = lock(&self.registrars);
            let former = registrars.present();
            registrars.update(leader, deputy.filter(others));
            registrars.present() != former
        };
        if changed {
            self.origins.registrars_changed(self.clock.now_ms());
        }
    }

    pub(super) fn peer_addresses(&self) -> Vec<String> {
        lock(&self.peers).clone()
    }

    /// Returns the version of the copies that this VM has.
    pub(super) fn copies_version(&self) -> CopiesVersion {
        CopiesVersion {
            fence: self.leader_fence.load(Ordering::Relaxed),
            version: self.copies_version.load(Ordering::Relaxed),
        }
    }

    /// Calls the assumed leader; `None` if there is none or it does not answer in time.
    pub(super) async fn call_leader<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
        time_limit: Duration,
    ) -> Option<T> {
        let address = self.lead.leader_address()?;
        self.call_vm(&address, path, message, time_limit).await
    }

    /// Calls a VM; `None` if it does not answer in time.
    pub(super) async fn call_vm<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &impl Serialize,
        time_limit: Duration,
    ) -> Option<T> {
        let answer = self.try_call_vm(address, path, message, time_limit).await;
        answer
            .inspect_err(|error| {
                log::debug!("exchange: vm={address} path={path} reason=\"{error}\"");
            })
            .ok()
    }

    /// Calls a VM.
    async fn try_call_vm<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &impl Serialize,
        time_limit: Duration,
    ) -> CallResult<T> {
        let not_sent = || unanswered(address, Verdict::NotRun, "the message was not encoded");
        let body = encode(message).ok_or_else(not_sent)?;
        let answer = timeout(time_limit, self.transport.call(address, path, body)).await;
        let answer = answer.map_err(|_| {
            let reason = format!("no answer within {} ms", time_limit.as_millis());
            unanswered(address, Verdict::MayHaveRun, reason)
        })??;
        decode(&answer).ok_or_else(|| malformed(address, "the answer was not decoded"))
    }
}
