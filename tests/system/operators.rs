//! Concurrent commands of two operators at two keepers.

use std::process::Stdio;

use serde_json::{Value, json};

use crate::harness::{CtlOutput, Settings, System};

/// Number of races of each kind.
const RACES: u64 = 5;

/// Runs two lines at two keepers at the same time.
fn race(system: &System, options: &[&str], lines: [&str; 2]) -> [CtlOutput; 2] {
    let mut keeper = 0;
    let children = lines.map(|line| {
        let mut command = system.ctl_command(Some(keeper), options, line);
        keeper += 1;
        command.stdout(Stdio::piped()).spawn().unwrap()
    });
    children.map(|child| CtlOutput::parse(&child.wait_with_output().unwrap()))
}

/// Returns the exit codes in ascending order.
fn sorted_codes(outputs: &[CtlOutput; 2]) -> [i32; 2] {
    let mut codes = [outputs[0].code, outputs[1].code];
    codes.sort_unstable();
    codes
}

/// Returns a keeper's row of a workspace.
fn workspace_row(system: &System, keeper: usize, name: &str) -> Value {
    let output = system.ctl(Some(keeper), &[], "show workspaces");
    let rows = output.reply["table"]["rows"].as_array().unwrap();
    rows.iter().find(|row| row[0] == name).unwrap().clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_conflicting_changes_is_accepted() {
    let system = System::start(Settings::default()).await;
    system
        .change("create workspace abuja rate 10 burst 20")
        .await;
    for n in 0..RACES {
        // Both create the same model: the second command is rejected.
        let line = format!("create model model-{n} version 1 memory 100");
        let created = race(&system, &[], [&line, &line]);
        assert_eq!(sorted_codes(&created), [0, 1], "{created:?}");

        // Both make a change conditional on the same revision: one is rejected, and the other one is in force.
        let read = system.ctl(None, &[], "show workspaces");
        let revision = read.reply["revision"].as_u64().unwrap();
        let rates = [100 + n, 200 + n];
        let lines = rates.map(|r| format!("set workspace abuja rate {r} if revision {revision}"));
        let set = race(&system, &[], [&lines[0], &lines[1]]);
        assert_eq!(sorted_codes(&set), [0, 1], "{set:?}");
        let winner = usize::from(set[1].code == 0);
        assert_eq!(workspace_row(&system, winner, "abuja")[1], rates[winner]);

        // Each changes a different value without a condition: every accepted change is in force, none overwrites another.
        let lines = [
            format!("set workspace abuja rate {}", 300 + n),
            format!("set workspace abuja burst {}", 400 + n),
        ];
        let before = workspace_row(&system, winner, "abuja");
        let partial = race(&system, &[], [&lines[0], &lines[1]]);
        let partial = partial.map(|output| output.code);
        assert!(matches!(partial, [0, 0 | 1] | [1, 0]), "{partial:?}");
        let accepted = usize::from(partial[1] == 0);
        let after = workspace_row(&system, accepted, "abuja");
        let rate = if partial[0] == 0 {
            json!(300 + n)
        } else {
            before[1].clone()
        };
        let burst = if partial[1] == 0 {
            json!(400 + n)
        } else {
            before[2].clone()
        };
        assert_eq!((&after[1], &after[2]), (&rate, &burst), "{partial:?}");

        // Control: `place` sets all its values and is not conditional on a revision. Both commands are accepted, and the
        // second one overwrites the first.
        let lines = ["place menu copies 1..2", "place menu copies 2..2"];
        let overwritten = race(&system, &[], lines);
        assert_eq!(sorted_codes(&overwritten), [0, 0], "{overwritten:?}");

        // Both send a command with the same id: it takes effect once.
        let id = format!("{:032x}", 1 + n);
        let line = format!("create workspace workspace-{n} rate 1 burst 1");
        let repeated = race(&system, &["--command", &id], [&line, &line]);
        assert_eq!(sorted_codes(&repeated), [0, 0], "{repeated:?}");
        let [first, second] = repeated.map(|output| output.reply["revision"].clone());
        assert_eq!(first, second);
    }
    // Invalid lines, invalid arguments and an unreachable system have different exit codes.
    assert_eq!(system.ctl(None, &[], "create nonsense").code, 1);
    assert_eq!(system.ctl(None, &["--output", "none"], "show vms").code, 2);
    let mut system = system;
    for keeper in &mut system.keepers {
        keeper.kill();
    }
    assert_eq!(
        system
            .ctl(None, &[], "create model last version 1 memory 1")
            .code,
        3
    );
}
