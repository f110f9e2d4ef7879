//! Builds a fleet of gates that have joined, with all workspaces.

use quetzalpick_core::id::{Command, Domain, Incarnation, Member, Vm, Workspace};
use quetzalpick_core::quota::{Options, Quota};
use quetzalpick_core::record::{Author, Change, Entry, Join, Record, Role, WorkspaceSpec};
use quetzalpick_core::state::State;

use crate::compare::arrivals::{BURST_S, RATES};

/// Returns the burst of a workspace, in tokens.
pub(crate) fn burst(workspace: usize) -> u64 {
    RATES[workspace] * BURST_S
}

/// Returns the id of a workspace.
pub(crate) fn workspace_id(index: usize) -> Workspace {
    Workspace::try_new(format!("w{index}")).expect("a letter and digits are a name")
}

fn member(index: usize) -> Member {
    Member {
        vm: Vm::try_new(format!("vm{index}")).expect("letters and digits are a name"),
        incarnation: Incarnation(1),
    }
}

/// Applies a record to a state at the next offset.
pub(crate) fn apply(state: &mut State, author: Author, record: Record) {
    let offset = state.next();
    let entry = Entry {
        command: Command(1, offset.0),
        author,
        expect: None,
        record,
    };
    state.apply(offset, &entry);
}

/// Returns the state of a fleet with all workspaces, its members, and the quota of each member.
pub(crate) fn build_fleet(count: usize) -> (State, Vec<Member>, Vec<Quota>) {
    let mut state = State::default();
    let members: Vec<Member> = (0..count).map(member).collect();
    for member in &members {
        let join = Join {
            member: member.clone(),
            role: Role::Gate,
            domain: Domain::try_new("d").expect("a letter is a name"),
            peer_address: "127.0.0.1:1".to_owned(),
        };
        apply(
            &mut state,
            Author::Member(member.clone()),
            Record::Join(join),
        );
    }
    for (index, rate) in RATES.iter().enumerate() {
        let spec = WorkspaceSpec {
            rate: *rate,
            burst: burst(index),
            artifacts: Vec::new(),
            services: Vec::new(),
        };
        let change = Change::SetWorkspace(workspace_id(index), spec);
        let author = Author::Operator("compare".to_owned());
        apply(&mut state, author, Record::Change(change));
    }
    let quota = |member: &Member| {
        let mut quota = Quota::new(member.clone(), Options::default());
        quota.sync(0, &state);
        quota
    };
    let quotas = members.iter().map(quota).collect();
    (state, members, quotas)
}
