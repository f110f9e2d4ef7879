//! A fleet of gates that have joined, with the workspaces created.

use quetzalpick_core::id::{Command, Domain, Incarnation, Member, Vm, Workspace};
use quetzalpick_core::quota::{Options, Quota};
use quetzalpick_core::record::{Author, Change, Entry, Join, Record, Role, WorkspaceSpec};
use quetzalpick_core::state::State;

use crate::compare::arrivals::{BURST_S, RATES};

/// Returns the burst of a workspace, in tokens.
pub(crate) fn burst(workspace: usize) -> u64 {
    RATES[workspace] * BURST_S
}

/// Returns the name of a workspace.
pub(crate) fn workspace(at: usize) -> Workspace {
    Workspace::try_new(format!("w{at}")).expect("a letter and digits are a name")
}

fn member(at: usize) -> Member {
    Member {
        vm: Vm::try_new(format!("vm{at}")).expect("letters and digits are a name"),
        incarnation: Incarnation(1),
    }
}

/// Applies a record to a state.
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

/// Returns the state, the members and the shares of a fleet with all workspaces.
pub(crate) fn gates(count: usize) -> (State, Vec<Member>, Vec<Quota>) {
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
    for (at, rate) in RATES.iter().enumerate() {
        let spec = WorkspaceSpec {
            rate: *rate,
            burst: burst(at),
            artifacts: Vec::new(),
            services: Vec::new(),
        };
        let change = Change::SetWorkspace(workspace(at), spec);
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
