//! This VM's slices of the workspaces' rates.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quetzalpick_core::id;
use quetzalpick_core::rate::{Loan, Options, Parts, Slice, floor};
use quetzalpick_core::table::Table;

use crate::config::{Allowance, Config, Workspace};
use crate::exchange::Spending;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Time constant of the smoothing of what is asked for, in ms.
const SMOOTHING_MS: u64 = 1_000;

/// `Row` is one workspace.
#[derive(Debug)]
struct Row {
    slice: Slice,
    loan: Loan,
    loan_until_ms: u64,
    /// Units a second asked for, smoothed.
    wanted: u64,
    /// Units asked for since the last turn.
    asked: u64,
    turned_ms: u64,
}

/// `Short` says that units are not there now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Short {
    /// When they may be there.
    pub(crate) after: Duration,
    /// Parts of the rate that this VM may use.
    pub(crate) parts: Parts,
    /// Those of them that are lent.
    pub(crate) lent: Parts,
}

/// `State` is what the rates share.
#[derive(Debug)]
struct State {
    rows: Table<id::Workspace, Row>,
    members: usize,
    /// Before this time the floors are not used, in ms, as other VMs may not know of this one.
    floors_from_ms: u64,
}

/// `Rates` charges requests to workspaces.
#[derive(Debug)]
pub(crate) struct Rates {
    options: Options,
    /// Units that this VM may overdraw of a workspace that its slice cannot hold.
    overdraft: u64,
    state: Mutex<State>,
}

impl Rates {
    /// Makes empty slices; floors are not used before `admit_floors`.
    pub(crate) fn new(options: Options, overdraft: u64) -> Self {
        let state = State {
            rows: Table::default(),
            members: 1,
            floors_from_ms: u64::MAX,
        };
        Self {
            options,
            overdraft,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes from when on the other VMs leave this one its floor.
    pub(crate) fn admit_floors(&self, from_ms: u64) {
        self.state().floors_from_ms = from_ms;
    }

    /// Notes how many VMs divide the floors.
    pub(crate) fn divide(&self, members: usize) {
        self.state().members = members.max(1);
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
        let Some(allowance) = workspace.allowance else {
            return Ok(());
        };
        let mut state = self.state();
        let floor = self.floor(&state, now_ms);
        let overdraft = self.overdraft / state.members as u64;
        let row = state
            .rows
            .get_or_insert_with(workspace.name.clone(), || Row::new(now_ms));
        row.asked = row.asked.saturating_add(units);
        row.set(now_ms, allowance, floor);
        let charged = row.slice.charge(now_ms, units, overdraft);
        charged.map_err(|wait_ms| Short {
            after: Duration::from_millis(wait_ms),
            parts: row.slice.parts(),
            lent: row.lent(now_ms),
        })
    }

    /// Takes in which workspaces there are: their slices fill from now on.
    pub(crate) fn refresh(&self, now_ms: u64, config: &Config) {
        let mut state = self.state();
        let floor = self.floor(&state, now_ms);
        let workspaces = config.workspaces();
        state.rows.retain(|name, _| workspaces.contains(name));
        for (name, workspace) in workspaces.iter() {
            if let Some(allowance) = workspace.allowance {
                let row = state
                    .rows
                    .get_or_insert_with(name.clone(), || Row::new(now_ms));
                row.set(now_ms, allowance, floor);
            }
        }
    }

    /// Returns the floor of this VM.
    fn floor(&self, state: &State, now_ms: u64) -> Parts {
        if now_ms >= state.floors_from_ms {
            floor(state.members, self.options.floor_permille)
        } else {
            0
        }
    }

    /// Gives back the units of a request that did not run.
    pub(crate) fn refund(&self, now_ms: u64, workspace: &id::Workspace, units: u64) {
        if let Some(row) = self.state().rows.get_mut(workspace) {
            row.slice.refund(now_ms, units);
        }
    }

    /// Returns what is asked for of each workspace, for the leader.
    pub(crate) fn spending(&self, now_ms: u64) -> Vec<Spending> {
        let mut state = self.state();
        let rows = state.rows.iter_mut();
        rows.map(|(workspace, row)| Spending {
            workspace: workspace.clone(),
            wanted: row.turn(now_ms),
            received: row.loan.number,
            held: row.lent(now_ms),
        })
        .collect()
    }

    /// Takes in loans of the leader that a question sent at `sent_ms` brought.
    pub(crate) fn lent(&self, sent_ms: u64, same_leader: bool, loans: &[(id::Workspace, Loan)]) {
        let mut state = self.state();
        let until_ms = sent_ms + self.options.loan_ms;
        for (workspace, loan) in loans {
            let Some(row) = state.rows.get_mut(workspace) else {
                continue;
            };
            if !same_leader || loan.number > row.loan.number {
                row.loan = *loan;
                row.loan_until_ms = until_ms;
            }
        }
    }

    /// Forgets the numbers of loans of a former leader.
    pub(crate) fn forget_numbers(&self) {
        let mut state = self.state();
        let rows = state.rows.iter_mut();
        rows.for_each(|(_, row)| row.loan.number = 0);
    }
}

impl Row {
    fn new(now_ms: u64) -> Self {
        Self {
            slice: Slice::new(now_ms),
            loan: Loan::default(),
            loan_until_ms: 0,
            wanted: 0,
            asked: 0,
            turned_ms: now_ms,
        }
    }

    /// Returns the parts that are lent now.
    fn lent(&self, now_ms: u64) -> Parts {
        if now_ms < self.loan_until_ms {
            self.loan.parts
        } else {
            0
        }
    }

    /// Sets the slice to what may be used now.
    fn set(&mut self, now_ms: u64, allowance: Allowance, floor: Parts) {
        let lent = self.lent(now_ms);
        let Allowance { rate, burst } = allowance;
        self.slice.set(now_ms, rate, burst, floor + lent);
    }

    /// Smooths what was asked for since the last turn, and returns it in units a second.
    fn turn(&mut self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.turned_ms).clamp(1, SMOOTHING_MS);
        self.turned_ms = now_ms;
        let seen = std::mem::take(&mut self.asked).saturating_mul(MS_PER_S) / elapsed_ms;
        let kept = self.wanted.saturating_mul(SMOOTHING_MS - elapsed_ms);
        self.wanted = (kept.saturating_add(seen.saturating_mul(elapsed_ms))) / SMOOTHING_MS;
        self.wanted
    }
}
