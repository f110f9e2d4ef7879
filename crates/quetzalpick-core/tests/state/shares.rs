//! Parts of workspaces stay conserved while workspaces are created, transfers are lost, and gates join and depart.

use std::collections::BTreeMap;

use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::record::{Change, Declaration, Holding, PARTS_TOTAL, Record, Role};
use quetzalpick_core::state::Outcome;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::script::{Session, join, member, seeds, set_workspace, vm_name, workspace};

const STEPS: usize = 300;
const NAMES: [&str; 3] = ["lagos", "abuja", "jos"];

/// `Gate` tracks the parts that a gate holds, and the total of the grants that it has added to them.
struct Gate {
    member: Member,
    epoch: Offset,
    /// Parts by index of the workspace's name and offset of its creation.
    held: BTreeMap<(usize, Offset), u64>,
    granted: BTreeMap<(usize, Offset), u64>,
}

struct Simulation {
    random: Pcg64,
    session: Session,
    gates: Vec<Gate>,
    started: u64,
    completed_epochs: usize,
    /// Whether transfers between gates of different epochs are rejected; without this check, parts are duplicated.
    checks_epoch: bool,
    violation: Option<String>,
}

impl Simulation {
    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..4 if self.gates.len() < 40 => self.start_gate(),
            4..6 => {
                let name = self.random_name();
                self.session.change(set_workspace(name, 10));
            }
            6 if self.random.random_bool(0.2) => {
                let name = workspace(self.random_name());
                self.session.change(Change::RemoveWorkspace(name));
            }
            7 if !self.gates.is_empty() => self.retire_gate(),
            8..12 => self.transfer(),
            _ => self.declare(),
        }
        self.add_grants();
        self.check();
    }

    fn random_name(&mut self) -> &'static str {
        NAMES[self.random.random_range(0..NAMES.len())]
    }

    fn start_gate(&mut self) {
        self.started += 1;
        let member = member(&format!("ng-{}", self.started), self.started);
        self.session.accepted(&member, join(&member, Role::Gate));
        self.gates.push(Gate {
            member,
            epoch: self.session.state.shares().epoch(),
            held: BTreeMap::new(),
            granted: BTreeMap::new(),
        });
    }

    fn retire_gate(&mut self) {
        let at = self.random.random_range(0..self.gates.len());
        let gate = self.gates.remove(at);
        let vm = vm_name(gate.member.vm.as_str());
        assert!(matches!(
            self.session.change(Change::RetireVm(vm)),
            Outcome::Accepted(_)
        ));
    }

    /// Transfers parts between two gates; some transfers are lost.
    fn transfer(&mut self) {
        if self.gates.len() < 2 {
            return;
        }
        let (from, to) = (
            self.random.random_range(0..self.gates.len()),
            self.random.random_range(0..self.gates.len()),
        );
        if self.checks_epoch && self.gates[from].epoch != self.gates[to].epoch {
            return;
        }
        let lost = self.random.random_bool(0.2);
        let halve = |(key, parts): (&(usize, Offset), &mut u64)| {
            let moved = *parts / 2;
            *parts -= moved;
            (*key, moved)
        };
        let moved: Vec<_> = self.gates[from].held.iter_mut().map(halve).collect();
        for (key, parts) in moved {
            if !lost {
                *self.gates[to].held.entry(key).or_default() += parts;
            }
        }
    }

    /// A gate enters the current epoch and declares its holdings.
    fn declare(&mut self) {
        let epoch = self.session.state.shares().epoch();
        let awaiting = self.session.state.shares().awaiting().to_vec();
        let Some(gate) = self.gates.iter_mut().find(|g| awaiting.contains(&g.member)) else {
            return;
        };
        gate.epoch = epoch;
        let rows = gate.held.iter().filter(|(_, parts)| **parts > 0);
        let mut holdings: Vec<Holding> = rows
            .map(|((index, created), parts)| Holding {
                workspace: workspace(NAMES[*index]),
                created: *created,
                parts: *parts,
            })
            .collect();
        holdings.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        let declaration = Declaration {
            member: gate.member.clone(),
            epoch,
            holdings,
        };
        let member = gate.member.clone();
        let outcome = self.session.by(&member, Record::Declare(declaration));
        if !matches!(outcome, Outcome::Accepted(_)) {
            self.violation = Some(outcome.to_string());
        }
        self.completed_epochs += usize::from(awaiting.len() == 1);
    }

    /// Makes each gate add its new grants and drop parts of removed workspaces.
    fn add_grants(&mut self) {
        let state = &self.session.state;
        let created = |index: usize| {
            let found = state.catalog().workspaces().get(&workspace(NAMES[index]));
            found.map(|(created, _)| *created)
        };
        for gate in &mut self.gates {
            gate.held
                .retain(|(index, at), _| created(*index) == Some(*at));
            let grants = state.shares().grants(&gate.member).unwrap();
            for (index, name) in NAMES.iter().enumerate() {
                let Some(grant) = grants.get(&workspace(name)) else {
                    continue;
                };
                let key = (index, grant.created);
                let former = gate.granted.insert(key, grant.parts).unwrap_or(0);
                *gate.held.entry(key).or_default() += grant.parts - former;
            }
        }
    }

    /// Checks that the gates together hold no more than all parts of a workspace.
    fn check(&mut self) {
        let mut sums: BTreeMap<usize, u64> = BTreeMap::new();
        for gate in &self.gates {
            for ((index, _), parts) in &gate.held {
                *sums.entry(*index).or_default() += parts;
            }
        }
        if sums.values().any(|sum| *sum > PARTS_TOTAL) {
            self.violation = Some(format!("{sums:?}"));
        }
    }

    /// Completes the epochs of two departures without further transfers, after which all parts must be held.
    fn finish(&mut self) {
        self.start_gate();
        self.start_gate();
        for _ in 0..2 {
            self.retire_gate();
            while !self.session.state.shares().awaiting().is_empty() {
                self.declare();
                self.add_grants();
            }
        }
        for (index, name) in NAMES.iter().enumerate() {
            if !self
                .session
                .state
                .catalog()
                .workspaces()
                .contains(&workspace(name))
            {
                continue;
            }
            let held = self.gates.iter().flat_map(|gate| &gate.held);
            let held = held.filter(|((other, _), _)| *other == index);
            let sum: u64 = held.map(|(_, parts)| parts).sum();
            let no_gates = self.gates.is_empty();
            assert!(no_gates || sum == PARTS_TOTAL, "{name}: {sum}");
        }
    }
}

/// Runs one seed and returns a violation, if any, and the number of completed epochs.
fn run(seed: u64, checks_epoch: bool) -> (Option<String>, usize) {
    let mut simulation = Simulation {
        random: Pcg64::seed_from_u64(seed),
        session: Session::default(),
        gates: Vec::new(),
        started: 0,
        completed_epochs: 0,
        checks_epoch,
        violation: None,
    };
    for _ in 0..STEPS {
        simulation.step();
        if simulation.violation.is_some() {
            return (simulation.violation, simulation.completed_epochs);
        }
    }
    simulation.finish();
    (simulation.violation, simulation.completed_epochs)
}

#[test]
fn parts_are_conserved() {
    let mut total = 0;
    for seed in seeds(60) {
        let (violation, completed) = run(seed, true);
        assert_eq!(violation, None, "seed {seed}");
        total += completed;
    }
    println!("{total} epochs completed");
    assert!(total > 60);
}

#[test]
fn transfers_between_epochs_duplicate_parts() {
    let found = (0..60).find_map(|seed| Some((seed, run(seed, false).0?)));
    println!("{found:?}");
    assert!(found.is_some_and(|(seed, _)| seed == 4));
}

#[test]
fn at_most_16_gates_get_the_parts_of_a_new_workspace() {
    let mut session = Session::default();
    let gates: Vec<Member> = (0..40).map(|n| member(&format!("ng-{n}"), n)).collect();
    for gate in &gates {
        session.accepted(gate, join(gate, Role::Gate));
    }
    session.changes([set_workspace("lagos", 10), set_workspace("abuja", 10)]);
    let holders = |name: &str| {
        let parts = |gate: &Member| {
            let grants = session.state.shares().grants(gate)?;
            Some(grants.get(&workspace(name))?.parts)
        };
        let parts: Vec<u64> = gates.iter().filter_map(parts).collect();
        (parts.len(), parts.iter().sum::<u64>())
    };
    assert_eq!(holders("lagos"), (16, PARTS_TOTAL));
    assert_eq!(holders("abuja"), (16, PARTS_TOTAL));
}
