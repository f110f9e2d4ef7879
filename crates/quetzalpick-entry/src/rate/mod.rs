//! This VM's buckets of the workspaces' rates.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quetzalpick_core::id;
use quetzalpick_core::rate::{Bucket, Overdraft, Parts, floor};
use quetzalpick_core::table::Table;

use crate::config::{Config, Workspace};

/// `Short` says that units are not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Short {
    /// Units that are missing.
    pub(crate) missing: u64,
    /// When they may be there.
    pub(crate) after: Duration,
    /// Whether the leader may have them; it had none of late otherwise, or did not answer.
    pub(crate) may_draw: bool,
    /// Whether no leader answered of late.
    pub(crate) leaderless: bool,
}

/// `Row` is one workspace.
#[derive(Debug)]
struct Row {
    bucket: Bucket,
    /// Until this time the leader is not asked, in ms.
    dry_until_ms: u64,
    /// Whether that is as no leader answered; otherwise it had nothing.
    leaderless: bool,
    /// Until this time other VMs are not asked to lend, in ms, as they had nothing.
    alone_until_ms: u64,
}

/// `State` is what the rates share.
#[derive(Debug)]
struct State {
    rows: Table<id::Workspace, Row>,
    members: usize,
    /// Before this time the floors are not used, in ms, as other VMs may not know of this one.
    floors_from_ms: u64,
    /// Whether this VM is in the list of members, by the leader's word.
    listed: bool,
    overdraft: Overdraft,
}

/// `Rates` charges requests to workspaces.
#[derive(Debug)]
pub(crate) struct Rates {
    floor_permille: u64,
    state: Mutex<State>,
}

impl Rates {
    /// Makes empty buckets; floors are not used before `admit_floors`.
    pub(crate) fn new(floor_permille: u64, overdraft: Overdraft) -> Self {
        let state = State {
            rows: Table::default(),
            members: 1,
            floors_from_ms: u64::MAX,
            listed: true,
            overdraft,
        };
        Self {
            floor_permille,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what all VMs together may overdraw of a workspace.
    pub(crate) fn allow_overdraft(&self, overdraft: Overdraft) {
        self.state().overdraft = overdraft;
    }

    /// Notes from when on the other VMs leave this one its floor.
    pub(crate) fn admit_floors(&self, from_ms: u64) {
        self.state().floors_from_ms = from_ms;
    }

    /// Notes how many VMs divide the floors.
    pub(crate) fn divide(&self, members: usize) {
        self.state().members = members.max(1);
    }

    /// Notes whether this VM is in the list of members; otherwise the others do not leave it a floor.
    pub(crate) fn list(&self, listed: bool) {
        self.state().listed = listed;
    }

    /// Tells whether this VM is in the list of members, as far as is known.
    pub(crate) fn is_listed(&self) -> bool {
        self.state().listed
    }

    /// Returns how many VMs divide the floors.
    pub(crate) fn members(&self) -> usize {
        self.state().members
    }

    /// Takes in which workspaces there are: their buckets fill from now on.
    pub(crate) fn refresh(&self, now_ms: u64, config: &Config) {
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
    /// `Short` if they are not there.
    pub(crate) fn charge(
        &self,
        now_ms: u64,
        workspace: &Workspace,
        units: u64,
    ) -> Result<(), Short> {
        let mut state = self.state();
        let (overdraft, members) = (state.overdraft, state.members as u64);
        let Some(row) = self.row(&mut state, now_ms, workspace) else {
            return Ok(());
        };
        let missing = row.bucket.missing(now_ms, units);
        // What the leader keeps is used before a bucket is overdrawn.
        let may_draw = now_ms >= row.dry_until_ms;
        let leaderless = !may_draw && row.leaderless;
        let overdraft = match workspace.quota {
            Some(quota) if !may_draw => {
                overdraft.share(quota.rate, quota.burst, members, leaderless)
            }
            _ => 0,
        };
        let charged = row.bucket.charge(now_ms, units, overdraft);
        charged.map_err(|after_ms| Short {
            missing,
            after: Duration::from_millis(after_ms),
            may_draw,
            leaderless,
        })
    }

    /// Takes the rest of a request's units, of which a part was drawn from the leader.
    pub(crate) fn spend(&self, now_ms: u64, workspace: &id::Workspace, units: u64) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.bucket.spend(now_ms, units);
        }
    }

    /// Lends units to another VM that no leader answers: as many of those asked for as are there.
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

    /// Tells whether other VMs may be asked to lend units of a workspace.
    pub(crate) fn may_borrow(&self, now_ms: u64, workspace: &id::Workspace) -> bool {
        let state = self.state();
        let row = state.rows.get(workspace);
        row.is_some_and(|row| now_ms >= row.alone_until_ms)
    }

    /// Notes that other VMs had nothing to lend, so that they are not asked for a time.
    pub(crate) fn alone(&self, until_ms: u64, workspace: &id::Workspace) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.alone_until_ms = until_ms;
        }
    }

    /// Notes that the leader is not asked for a time, as it has nothing, or as there is none that answers.
    pub(crate) fn dry(&self, until_ms: u64, workspace: &id::Workspace, leaderless: bool) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.dry_until_ms = until_ms;
            row.leaderless = leaderless;
        }
    }

    /// Gives back the units of a request that did not run.
    pub(crate) fn refund(&self, now_ms: u64, workspace: &id::Workspace, units: u64) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.bucket.refund(now_ms, units);
        }
    }

    /// Returns a workspace's row, set to what may be used now; `None` if the workspace has no limit.
    fn row<'a>(
        &self,
        state: &'a mut State,
        now_ms: u64,
        workspace: &Workspace,
    ) -> Option<&'a mut Row> {
        let quota = workspace.quota?;
        let parts = self.floor(state, now_ms);
        let begin = || Row {
            bucket: Bucket::new(now_ms),
            dry_until_ms: 0,
            leaderless: false,
            alone_until_ms: 0,
        };
        let row = state.rows.get_or_insert_with(workspace.name.clone(), begin);
        row.bucket.set(now_ms, quota.rate, quota.burst, parts);
        Some(row)
    }

    /// Returns the floor of this VM.
    fn floor(&self, state: &State, now_ms: u64) -> Parts {
        if state.listed && now_ms >= state.floors_from_ms {
            floor(state.members, self.floor_permille)
        } else {
            0
        }
    }
}
