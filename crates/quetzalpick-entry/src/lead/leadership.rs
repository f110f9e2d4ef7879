//! The leader's state, and its answers to the other VMs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use quetzalpick_core::election::{Candidate, Election, Heartbeat};
use quetzalpick_core::id::{Endpoint, Vm, Workspace};
use quetzalpick_core::limit::Permits;
use quetzalpick_core::rate::{Bucket, leader_part};
use quetzalpick_core::room::Rooms;
use quetzalpick_core::table::Table;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::clock::Clock;
use crate::config::{Config, Quota};
use crate::exchange::{AdapterReply, AdapterRequest, DrawRequest, DrawResult};
use crate::fleet::Fleet;
use crate::lead::changes::Changes;
use crate::lead::copy_index::CopyIndex;
use crate::lead::paces::PaceIndex;
use crate::lead::quarantine::Findings;
use crate::lead::statuses::Statuses;
use crate::options::Options;
use crate::place::{Planner, SETTLE_MS};
use crate::quarantine::Quarantine;
use crate::sync::lock;
use crate::view::View;

/// Longest time for which a request for an adapter waits.
const ADAPTER_WAIT: Duration = Duration::from_millis(200);

/// `LeaderState` holds what a leader needs during its term: the planner, rate buckets and copies.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) fence: u64,
    pub(crate) planner: Planner,
    /// The leader's part of each workspace's rate.
    buckets: Table<Workspace, Bucket>,
    /// Permits of the endpoints that name a limit or are cold.
    pub(super) permits: Table<Endpoint, Permits>,
    /// What is in flight at the endpoints that may fall over.
    pub(super) rooms: Rooms,
    /// Number of VMs that have reported to this leader lately.
    pub(super) heard: u64,
    pub(super) findings: Findings,
    /// When the state was created, in ms.
    pub(super) since_ms: u64,
    pub(super) copy_index: CopyIndex,
    pub(super) paces: PaceIndex,
    pub(super) changes: Changes,
}

/// `Leadership` combines this VM's election state with the state that it holds while it leads.
#[derive(Debug)]
pub(crate) struct Leadership<N> {
    pub(super) me: Candidate,
    pub(super) clock: Clock,
    /// When this process started, in ms.
    started_ms: u64,
    pub(super) view: Arc<View>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) quarantine: Arc<Quarantine>,
    /// Number of VMs; `None` until this VM has read the list of members or was told by a former leader.
    member_count: Mutex<Option<usize>>,
    /// The list of members; `None` unless this VM has read it while it leads.
    pub(super) member_list: Mutex<Option<Table<Vm, ()>>>,
    floor_permille: u64,
    pub(crate) engines: N,
    election: Mutex<Election>,
    statuses: Mutex<Statuses>,
    leader_state: Mutex<Option<LeaderState>>,
    /// Wakes the plan executor.
    pub(crate) wake: Notify,
    /// Signals that this VM begins to lead or that it has quarantined a feature.
    pub(crate) quarantine_changed: Notify,
    /// Signals that this VM begins or ceases to lead, for the follower of origins.
    pub(crate) origin_term_changed: Notify,
    /// Signals that another VM leads.
    pub(crate) leader_changed: Notify,
    /// Version of the copies, for requests that wait for a change.
    copies_version: watch::Sender<u64>,
}

impl<N> Leadership<N> {
    /// Creates the leadership of a VM that doesn't lead yet.
    pub(crate) fn new(
        me: Candidate,
        options: &Options,
        clock: Clock,
        view: Arc<View>,
        fleet: Arc<Fleet>,
        quarantine: Arc<Quarantine>,
        engines: N,
    ) -> Self {
        let election = Election::new(me.clone(), options.election.clone());
        Self {
            me,
            clock,
            started_ms: clock.now_ms(),
            view,
            fleet,
            quarantine,
            member_count: Mutex::default(),
            member_list: Mutex::default(),
            floor_permille: options.floor_permille,
            engines,
            election: Mutex::new(election),
            statuses: Mutex::default(),
            leader_state: Mutex::default(),
            wake: Notify::new(),
            quarantine_changed: Notify::new(),
            origin_term_changed: Notify::new(),
            leader_changed: Notify::new(),
            copies_version: watch::Sender::new(0),
        }
    }

    /// Returns the name of this VM.
    pub(crate) fn vm(&self) -> &Vm {
        &self.me.vm
    }

    /// Returns the address at which the other VMs reach this one.
    pub(crate) fn address(&self) -> &str {
        &self.me.address
    }

    /// Returns the name that identifies this incarnation of this VM in orders.
    pub(crate) fn holder(&self) -> String {
        format!("{}.{:016x}", self.me.vm, self.me.incarnation.0)
    }

    /// Calls `act` with the election and the current time, in ms.
    pub(crate) fn with_election<T>(&self, act: impl FnOnce(&mut Election, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        act(&mut lock(&self.election), now_ms)
    }

    /// Returns the number of this VM's term while no other VM can lead.
    fn own_term(&self) -> Option<u64> {
        self.with_election(|election, now_ms| election.leads(now_ms))
    }

    /// Returns this VM's fencing number if it may give orders now.
    pub(crate) fn fence(&self) -> Option<u64> {
        self.with_election(|election, now_ms| election.fence(now_ms))
    }

    /// Returns whether this VM leads; it may not be allowed to give orders yet.
    pub(crate) fn is_leading(&self) -> bool {
        self.own_term().is_some()
    }

    /// Returns the address of the assumed leader, if that is another VM.
    pub(crate) fn leader_address(&self) -> Option<String> {
        let election = lock(&self.election);
        let leader = election.leader().filter(|leader| **leader != self.me)?;
        Some(leader.address.clone())
    }

    /// Records an answer of the leader, which is asked again after `interval_ms`.
    pub(crate) fn record_heartbeat(
        &self,
        now_ms: u64,
        heartbeat: Option<Heartbeat>,
        interval_ms: u64,
    ) {
        lock(&self.election).record_heartbeat(now_ms, heartbeat, interval_ms);
    }

    /// Records that no leader answered.
    pub(crate) fn record_no_answer(&self) {
        lock(&self.election).record_no_answer();
    }

    /// Creates the leader state when this VM starts to lead, and drops it when the term ends.
    pub(crate) fn update_leader_state(&self) {
        let now_ms = self.clock.now_ms();
        let fence = self.own_term();
        let mut state = lock(&self.leader_state);
        let former = state.as_ref().map(|state| state.fence);
        if former == fence {
            return;
        }
        log::info!("lead: fence={fence:?} former={former:?}");
        *lock(&self.member_list) = None;
        let new_planner = || {
            let mut planner = Planner::new(now_ms, crate::place::Options::default());
            planner.set_demand_known_ms(self.started_ms + SETTLE_MS);
            planner
        };
        *state = fence.map(|fence| LeaderState {
            fence,
            planner: new_planner(),
            buckets: Table::default(),
            permits: Table::default(),
            rooms: Rooms::default(),
            heard: 0,
            findings: Findings::new(now_ms, &self.quarantine.features()),
            since_ms: now_ms,
            copy_index: CopyIndex::new(fence, now_ms),
            paces: PaceIndex::new(now_ms, &self.fleet),
            changes: Changes::default(),
        });
        self.wake.notify_one();
        self.quarantine_changed.notify_one();
        self.origin_term_changed.notify_one();
    }

    /// Calls `act` with the leader state and the current time, in ms, if this VM leads now.
    pub(crate) fn with_leader_state<T>(
        &self,
        act: impl FnOnce(&mut LeaderState, u64) -> T,
    ) -> Option<T> {
        let fence = self.own_term()?;
        let now_ms = self.clock.now_ms();
        let mut state = lock(&self.leader_state);
        let state = state.as_mut().filter(|state| state.fence == fence)?;
        Some(act(state, now_ms))
    }

    /// Calls `act` with the statuses of the VMs and the current time, in ms.
    pub(crate) fn with_statuses<T>(&self, act: impl FnOnce(&mut Statuses, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        act(&mut lock(&self.statuses), now_ms)
    }

    /// Sets the number of VMs.
    pub(crate) fn set_member_count(&self, count: usize) {
        *lock(&self.member_count) = Some(count);
    }

    /// Returns the number of VMs, if this VM knows it.
    pub(super) fn member_count(&self) -> Option<usize> {
        *lock(&self.member_count)
    }

    /// Replaces the list of members, if this VM leads, and returns those without contact for `timeout_ms` or longer.
    pub(crate) fn update_member_list(&self, members: &Table<Vm, ()>, timeout_ms: u64) -> Vec<Vm> {
        let since_ms = self.with_leader_state(|state, now_ms| (state.since_ms, now_ms));
        let Some((since_ms, now_ms)) = since_ms else {
            return Vec::new();
        };
        *lock(&self.member_list) = Some(members.clone());
        let statuses = lock(&self.statuses);
        let silent = |vm: &&Vm| {
            let last_contact_ms = statuses
                .last_contact_ms(vm)
                .unwrap_or(since_ms)
                .max(since_ms);
            **vm != self.me.vm && now_ms >= last_contact_ms + timeout_ms
        };
        members.keys().filter(silent).cloned().collect()
    }

    /// Draws units from the leader's part of a workspace's rate.
    pub(crate) fn draw(&self, request: &DrawRequest) -> DrawResult {
        let config = self.view.config();
        let workspaces = config.as_ref().map(|config| config.workspaces());
        let workspace = workspaces.and_then(|all| all.get(&request.workspace));
        let Some(quota) = workspace.and_then(|workspace| workspace.quota) else {
            return DrawResult::NotLeading;
        };
        let result = self.with_leader_state(|state, now_ms| {
            let bucket = state.bucket(now_ms, &request.workspace, quota, self.floor_permille);
            match bucket.charge(now_ms, request.units, 0) {
                Ok(()) => DrawResult::Granted,
                Err(after_ms) => DrawResult::Insufficient(after_ms),
            }
        });
        result.unwrap_or(DrawResult::NotLeading)
    }

    /// Refills the leader's buckets, and creates those that haven't been drawn from yet.
    pub(crate) fn refill_buckets(&self, config: &Config) {
        self.with_leader_state(|state, now_ms| {
            for (name, workspace) in config.workspaces().iter() {
                if let Some(quota) = workspace.quota {
                    state.bucket(now_ms, name, quota, self.floor_permille);
                }
            }
        });
    }

    /// Requests an adapter from the planner, and returns once an engine holds it or the time limit has passed.
    pub(crate) async fn wait_for_adapter(&self, request: AdapterRequest) -> AdapterReply {
        let mut changes = self.copies_version.subscribe();
        if self.fence().is_none() {
            return AdapterReply::default();
        }
        let requested = self.with_leader_state(|state, now_ms| {
            if !state.planner.is_held(&request.adapter) {
                state
                    .planner
                    .request_adapter(now_ms, request.adapter.clone());
            }
        });
        if requested.is_none() {
            return AdapterReply::default();
        }
        self.wake.notify_one();
        let held = || self.with_leader_state(|state, _| state.planner.is_held(&request.adapter));
        let wait = changes.wait_for(|_| held() != Some(false));
        // The reply contains the current copies, whatever the outcome.
        let _ = timeout(ADAPTER_WAIT, wait).await;
        let copies = self
            .with_leader_state(|state, _| state.copy_index.changes_since(request.copies_version));
        AdapterReply {
            copies: copies.flatten(),
        }
    }

    /// Publishes the copies that engines hold, if they changed.
    pub(crate) fn publish_copies(&self) {
        let version = self.with_leader_state(|state, _| state.publish());
        if let Some(Some(version)) = version {
            self.copies_version.send_replace(version);
        }
    }
}

impl LeaderState {
    /// Returns the leader's bucket of a workspace, refilled up to now.
    fn bucket(
        &mut self,
        now_ms: u64,
        workspace: &Workspace,
        quota: Quota,
        floor_permille: u64,
    ) -> &mut Bucket {
        let Quota { rate, burst } = quota;
        let new_bucket = || Bucket::new(now_ms);
        let bucket = self
            .buckets
            .get_or_insert_with(workspace.clone(), new_bucket);
        bucket.set(now_ms, rate, burst, leader_part(floor_permille));
        bucket
    }

    /// Updates the index with the planner's copies; returns the new version if they changed.
    fn publish(&mut self) -> Option<u64> {
        let held = self.planner.held_copies();
        self.copy_index.retain(|endpoint| {
            let index = held.binary_search_by_key(&endpoint, |(known, _)| known);
            index.is_ok()
        });
        let changed = self.copy_index.update(held);
        changed.then(|| self.copy_index.version())
    }
}
