//! Token buckets that enforce this VM's part of the workspaces' rates.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use quetzalpick_core::id;
use quetzalpick_core::rate::{Bucket, Overdraft, Parts, floor};
use quetzalpick_core::table::Table;

use crate::config::{Config, Workspace};
use crate::sync::lock;

/// `Shortage` describes a charge that the bucket couldn't cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shortage {
    /// Units that are missing.
    pub(crate) missing: u64,
    /// Time after which they may be available.
    pub(crate) retry_after: Duration,
    /// Whether the leader may have them; false if it recently had none or did not answer.
    pub(crate) may_draw: bool,
    /// Whether no leader answered recently.
    pub(crate) leaderless: bool,
}

/// `Row` tracks the bucket of one workspace, and pauses of draws and loans.
#[derive(Debug)]
struct Row {
    bucket: Bucket,
    /// No units are drawn from the leader before this time, in ms.
    draws_paused_until_ms: u64,
    /// Whether draws are paused because no leader answered; otherwise the leader had no units.
    leaderless: bool,
    /// No units are borrowed before this time, in ms, because the other VMs had none.
    borrowing_paused_until_ms: u64,
}

/// `State` holds the buckets and what their refill depends on.
#[derive(Debug)]
struct State {
    rows: Table<id::Workspace, Row>,
    /// Number of VMs; `None` until the list of members was read, here or by the leader.
    member_count: Option<usize>,
    /// This VM's floor is not used before this time, in ms, because other VMs may not count this one yet.
    floor_from_ms: u64,
    /// Whether this VM is in the list of members, according to the leader.
    listed: bool,
    overdraft: Overdraft,
}

impl State {
    /// Returns whether all other VMs count this one.
    fn counts_here(&self, now_ms: u64) -> bool {
        self.listed && now_ms >= self.floor_from_ms
    }
}

/// `Rates` charges requests to workspaces, whose buckets refill at this VM's floor: the part of a rate that it may use without
/// a leader.
#[derive(Debug)]
pub(crate) struct Rates {
    floor_permille: u64,
    state: Mutex<State>,
}

impl Rates {
    /// Creates rates without buckets; the floor is not used before `enable_floor_from` allows it.
    pub(crate) fn new(floor_permille: u64, overdraft: Overdraft) -> Self {
        let state = State {
            rows: Table::default(),
            member_count: None,
            floor_from_ms: u64::MAX,
            listed: true,
            overdraft,
        };
        Self {
            floor_permille,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Sets the limit of what all VMs together may overdraw of a workspace's rate.
    pub(crate) fn set_overdraft(&self, overdraft: Overdraft) {
        self.state().overdraft = overdraft;
    }

    /// Sets the time from which on the other VMs reserve this VM's floor, in ms.
    pub(crate) fn enable_floor_from(&self, from_ms: u64) {
        self.state().floor_from_ms = from_ms;
    }

    /// Sets the number of VMs among which the floors are divided.
    pub(crate) fn set_member_count(&self, count: usize) {
        self.state().member_count = Some(count.max(1));
    }

    /// Sets whether this VM is in the list of members; otherwise the others do not reserve a floor for it.
    pub(crate) fn set_listed(&self, listed: bool) {
        self.state().listed = listed;
    }

    /// Returns whether this VM is in the list of members, as far as is known.
    pub(crate) fn is_listed(&self) -> bool {
        self.state().listed
    }

    /// Returns the number of VMs among which the floors are divided, if it is known.
    pub(crate) fn member_count(&self) -> Option<usize> {
        self.state().member_count
    }

    /// Returns the number of VMs that share what is divided without a leader; `None` while other VMs may not count this one.
    pub(crate) fn known_member_count(&self, now_ms: u64) -> Option<usize> {
        let state = self.state();
        state.member_count.filter(|_| state.counts_here(now_ms))
    }

    /// Replaces the configured workspaces: creates and refills their buckets, and removes those of others.
    pub(crate) fn update_workspaces(&self, now_ms: u64, config: &Config) {
        let mut state = self.state();
        let workspaces = config.workspaces();
        state.rows.retain(|name, _| workspaces.contains(name));
        for workspace in workspaces.values() {
            self.row(&mut state, now_ms, workspace);
        }
    }

    /// Charges units to a workspace.
    ///
    /// # Errors
    ///
    /// `Shortage` if the bucket doesn't have them.
    pub(crate) fn charge(
        &self,
        now_ms: u64,
        workspace: &Workspace,
        units: u64,
    ) -> Result<(), Shortage> {
        let mut state = self.state();
        let (overdraft, members) = (state.overdraft, state.member_count);
        let Some(row) = self.row(&mut state, now_ms, workspace) else {
            return Ok(());
        };
        let missing = row.bucket.missing(now_ms, units);
        // The leader's part of the rate is used before a bucket is overdrawn.
        let may_draw = now_ms >= row.draws_paused_until_ms;
        let leaderless = !may_draw && row.leaderless;
        let overdraft = match (workspace.quota, members) {
            (Some(quota), Some(members)) if !may_draw => {
                overdraft.share(quota.rate, quota.burst, members as u64, leaderless)
            }
            _ => 0,
        };
        let charged = row.bucket.charge(now_ms, units, overdraft);
        charged.map_err(|after_ms| Shortage {
            missing,
            retry_after: Duration::from_millis(after_ms),
            may_draw,
            leaderless,
        })
    }

    /// Spends the remaining units of a request whose other units were drawn from the leader or borrowed.
    pub(crate) fn spend(&self, now_ms: u64, workspace: &id::Workspace, units: u64) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.bucket.spend(now_ms, units);
        }
    }

    /// Lends units to another VM that can't reach a leader: up to `units`, as many as are available.
    pub(crate) fn lend(&self, now_ms: u64, workspace: &id::Workspace, units: u64) -> u64 {
        let mut state = self.state();
        let row = state.rows.get_mut(workspace);
        row.map_or(0, |row| row.bucket.lend(now_ms, units))
    }

    /// Returns the units that are missing for a charge.
    pub(crate) fn missing(&self, now_ms: u64, workspace: &id::Workspace, units: u64) -> u64 {
        let mut state = self.state();
        let row = state.rows.get_mut(workspace);
        row.map_or(units, |row| row.bucket.missing(now_ms, units))
    }

    /// Returns whether units of a workspace may be borrowed from other VMs now.
    pub(crate) fn may_borrow(&self, now_ms: u64, workspace: &id::Workspace) -> bool {
        let state = self.state();
        let row = state.rows.get(workspace);
        row.is_some_and(|row| now_ms >= row.borrowing_paused_until_ms)
    }

    /// Pauses borrowing for a workspace, because the other VMs had nothing to lend.
    pub(crate) fn pause_borrowing(&self, until_ms: u64, workspace: &id::Workspace) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.borrowing_paused_until_ms = until_ms;
        }
    }

    /// Pauses draws for a workspace, because the leader has no units or no leader answers.
    pub(crate) fn pause_draws(&self, until_ms: u64, workspace: &id::Workspace, leaderless: bool) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.draws_paused_until_ms = until_ms;
            row.leaderless = leaderless;
        }
    }

    /// Returns the units of a request that did not run to the bucket.
    pub(crate) fn refund(&self, now_ms: u64, workspace: &id::Workspace, units: u64) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.bucket.refund(now_ms, units);
        }
    }

    /// Returns a workspace's row, refilled up to now; `None` if the workspace has no limit.
    fn row<'a>(
        &self,
        state: &'a mut State,
        now_ms: u64,
        workspace: &Workspace,
    ) -> Option<&'a mut Row> {
        let quota = workspace.quota?;
        let parts = self.floor_parts(state, now_ms);
        let new_row = || Row {
            bucket: Bucket::new(now_ms),
            draws_paused_until_ms: 0,
            leaderless: false,
            borrowing_paused_until_ms: 0,
        };
        let row = state
            .rows
            .get_or_insert_with(workspace.name.clone(), new_row);
        row.bucket.set(now_ms, quota.rate, quota.burst, parts);
        Some(row)
    }

    /// Returns the part of each rate that is reserved for this VM.
    fn floor_parts(&self, state: &State, now_ms: u64) -> Parts {
        match state.member_count {
            Some(members) if state.counts_here(now_ms) => floor(members, self.floor_permille),
            _ => 0,
        }
    }
}
