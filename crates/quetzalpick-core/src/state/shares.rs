//! Shares that the fold grants to gates; transfers between gates are not recorded here.

use serde::{Deserialize, Serialize};

use crate::id::{Member, Offset, Workspace};
use crate::record::{Declaration, Holding, PARTS_TOTAL, WorkspaceSpec};
use crate::state::outcome::{Reason, conflict, invalid};
use crate::table::Table;

/// `Workspaces` maps each workspace to the offset of its creation and its configuration.
type Workspaces = Table<Workspace, (Offset, WorkspaceSpec)>;

/// Most gates that the parts of one workspace are granted to at once; the others get theirs by transfers.
const RECIPIENTS_MAX: usize = 16;

/// Selects the gates that parts are granted to; the offset determines the first one.
fn recipients(gates: &[Member], offset: Offset) -> Vec<Member> {
    if gates.len() <= RECIPIENTS_MAX {
        return gates.to_vec();
    }
    let start = offset.0 as usize % gates.len();
    let rotated = gates.iter().cycle().skip(start);
    rotated.take(RECIPIENTS_MAX).cloned().collect()
}

/// Divides parts among members as equally as integers allow.
fn divide<'a>(
    parts: u64,
    members: &'a [Member],
) -> impl Iterator<Item = (&'a Member, u64)> + use<'a> {
    let count = (members.len() as u64).max(1);
    let (each, rest) = (parts / count, parts % count);
    let numbered = members.iter().zip(0..);
    numbered.map(move |(member, index)| (member, each + u64::from(index < rest)))
}

/// `Grant` accumulates the parts of one workspace that the fold has granted to one member.
///
/// A member adds only the difference to the total it last added, so each part counts once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Offset at which the workspace was created.
    pub created: Offset,
    /// Parts granted so far.
    pub parts: u64,
    /// Those of `parts` that were granted with a full bucket; the others were granted with an empty one.
    #[serde(rename = "full")]
    pub full_parts: u64,
}

/// `Shares` tracks the grants of all gates and the declarations of the current share epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Offset of the record that started the current epoch.
    pub(crate) epoch: Offset,
    /// Active gates that have not declared in the current epoch, sorted; empty once the epoch is complete.
    pub(crate) awaiting: Vec<Member>,
    /// Gates that have declared in the current epoch, sorted; emptied once the epoch is complete.
    pub(crate) declarers: Vec<Member>,
    /// Sum of the declared parts by workspace and the offset of its creation.
    pub(crate) declared: Table<(Workspace, Offset), u64>,
    /// Grants by active gate.
    pub(crate) grants: Table<Member, Table<Workspace, Grant>>,
    /// Parts that no gate holds, by workspace; they are granted to the next gate that joins.
    pub(crate) unclaimed: Table<Workspace, Grant>,
}

impl Shares {
    /// Returns the offset of the record that started the current epoch.
    pub fn epoch(&self) -> Offset {
        self.epoch
    }

    /// Returns the gates that have not declared in the current epoch.
    pub fn awaiting(&self) -> &[Member] {
        &self.awaiting
    }

    /// Returns the grants of a member by workspace.
    pub fn grants(&self, member: &Member) -> Option<&Table<Workspace, Grant>> {
        self.grants.get(member)
    }

    /// Grants the parts of a new workspace with full buckets to at most `RECIPIENTS_MAX` gates.
    pub(crate) fn add_workspace(
        &mut self,
        workspace: &Workspace,
        created: Offset,
        gates: &[Member],
    ) {
        let grant = |parts| Grant {
            created,
            parts,
            full_parts: parts,
        };
        if gates.is_empty() {
            self.unclaimed.insert(workspace.clone(), grant(PARTS_TOTAL));
        }
        let recipients = recipients(gates, created);
        for (gate, parts) in divide(PARTS_TOTAL, &recipients) {
            let grants = self.grants.get_or_insert_with(gate.clone(), Table::default);
            grants.insert(workspace.clone(), grant(parts));
        }
    }

    /// Removes all grants of a workspace.
    pub(crate) fn remove_workspace(&mut self, workspace: &Workspace) {
        self.unclaimed.remove(workspace);
        for (_, grants) in self.grants.iter_mut() {
            grants.remove(workspace);
        }
    }

    /// Grants the unclaimed parts to a new gate.
    pub(crate) fn add_gate(&mut self, gate: &Member) {
        let unclaimed = std::mem::take(&mut self.unclaimed);
        self.grants.insert(gate.clone(), unclaimed);
    }

    /// Starts an epoch after the departure of gates; `gates` are the remaining ones.
    pub(crate) fn start_epoch(
        &mut self,
        offset: Offset,
        departed: &[Member],
        gates: Vec<Member>,
        workspaces: &Workspaces,
    ) {
        for member in departed {
            self.grants.remove(member);
        }
        self.epoch = offset;
        self.declarers.clear();
        self.declared = Table::default();
        self.awaiting = gates;
        self.complete_epoch(workspaces);
    }

    /// Records the declaration of a gate; the last one completes the epoch.
    pub(crate) fn declare(
        &mut self,
        declaration: &Declaration,
        workspaces: &Workspaces,
    ) -> Result<(), Reason> {
        if declaration.epoch != self.epoch {
            return Err(conflict(format!("the share epoch is {}", self.epoch)));
        }
        let index = self.awaiting.binary_search(&declaration.member);
        let index = index.map_err(|_| {
            conflict(format!(
                "no declaration of {} is awaited",
                declaration.member
            ))
        })?;
        self.check_holdings(&declaration.holdings)?;
        let member = self.awaiting.remove(index);
        let index = self.declarers.partition_point(|other| *other < member);
        self.declarers.insert(index, member);
        for holding in &declaration.holdings {
            let key = (holding.workspace.clone(), holding.created);
            *self.declared.get_or_insert_with(key, || 0) += holding.parts;
        }
        self.complete_epoch(workspaces);
        Ok(())
    }

    /// Checks that holdings are sorted and, together with those already declared, do not exceed all parts.
    fn check_holdings(&self, holdings: &[Holding]) -> Result<(), Reason> {
        let ordered = holdings.is_sorted_by(|a, b| a.workspace < b.workspace);
        if !ordered {
            return Err(invalid("holdings are not sorted by workspace"));
        }
        for holding in holdings {
            let declared = self.declared_parts(&holding.workspace, holding.created);
            if holding.parts > PARTS_TOTAL.saturating_sub(declared) {
                let workspace = &holding.workspace;
                return Err(invalid(format!("more than all parts of {workspace}")));
            }
        }
        Ok(())
    }

    /// Returns the sum of the declared parts of a workspace.
    fn declared_parts(&self, workspace: &Workspace, created: Offset) -> u64 {
        let key = (workspace.clone(), created);
        self.declared.get(&key).copied().unwrap_or(0)
    }

    /// Grants the undeclared parts with empty buckets once all gates have declared.
    fn complete_epoch(&mut self, workspaces: &Workspaces) {
        if !self.awaiting.is_empty() {
            return;
        }
        let declarers = std::mem::take(&mut self.declarers);
        let recipients = recipients(&declarers, self.epoch);
        for (workspace, (created, _)) in workspaces.iter() {
            // A departed gate never held parts of a workspace that was created after its departure.
            if *created > self.epoch {
                continue;
            }
            let undeclared = PARTS_TOTAL - self.declared_parts(workspace, *created);
            self.grant_empty(workspace, *created, undeclared, &recipients);
        }
        self.declared = Table::default();
    }

    /// Grants parts of a workspace with empty buckets.
    fn grant_empty(
        &mut self,
        workspace: &Workspace,
        created: Offset,
        parts: u64,
        gates: &[Member],
    ) {
        let no_parts = || Grant {
            created,
            ..Grant::default()
        };
        if gates.is_empty() {
            let grant = Grant {
                parts,
                ..no_parts()
            };
            self.unclaimed.insert(workspace.clone(), grant);
        }
        for (gate, parts) in divide(parts, gates) {
            let grants = self.grants.get_or_insert_with(gate.clone(), Table::default);
            let grant = grants.get_or_insert_with(workspace.clone(), no_parts);
            grant.parts += parts;
        }
    }
}
