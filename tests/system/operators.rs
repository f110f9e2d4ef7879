//! Two operators at two keepers.

use std::process::Stdio;

use serde_json::{Value, json};

use crate::harness::{Ctl, Settings, System};

/// Races of each kind.
const RACES: u64 = 5;

/// Carries out two lines at two keepers at the same time.
fn race(system: &System, options: &[&str], lines: [&str; 2]) -> [Ctl; 2] {
    let mut keeper = 0;
    let running = lines.map(|line| {
        let mut command = system.ctl_command(Some(keeper), options, line);
        keeper += 1;
        command.stdout(Stdio::piped()).spawn().unwrap()
    });
    running.map(|child| Ctl::of(&child.wait_with_output().unwrap()))
}

/// Returns the exit codes in rising order.
fn codes(outcomes: &[Ctl; 2]) -> [i32; 2] {
    let mut codes = [outcomes[0].code, outcomes[1].code];
    codes.sort_unstable();
    codes
}

/// Returns the row of a workspace as a keeper sees it.
fn workspace(system: &System, keeper: usize, name: &str) -> Value {
    let ctl = system.ctl(Some(keeper), &[], "show workspaces");
    let rows = ctl.reply["table"]["rows"].as_array().unwrap();
    rows.iter().find(|row| row[0] == name).unwrap().clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_conflicting_changes_is_accepted() {
    let system = System::start(Settings::default()).await;
    system
        .change("create workspace abuja rate 10 burst 20")
        .await;
    for n in 0..RACES {
        // Both create the same model: the second is rejected.
        let line = format!("create model model-{n} version 1 memory 100");
        let created = race(&system, &[], [&line, &line]);
        assert_eq!(codes(&created), [0, 1], "{created:?}");

        // Both change what they have read at the same revision: one is rejected, and the other is in force everywhere.
        let read = system.ctl(None, &[], "show workspaces");
        let revision = read.reply["revision"].as_u64().unwrap();
        let rates = [100 + n, 200 + n];
        let lines = rates.map(|r| format!("set workspace abuja rate {r} if revision {revision}"));
        let set = race(&system, &[], [&lines[0], &lines[1]]);
        assert_eq!(codes(&set), [0, 1], "{set:?}");
        let winner = usize::from(set[1].code == 0);
        assert_eq!(workspace(&system, winner, "abuja")[1], rates[winner]);

        // Each changes another value without a condition: what is accepted is in force, and neither is lost.
        let lines = [
            format!("set workspace abuja rate {}", 300 + n),
            format!("set workspace abuja burst {}", 400 + n),
        ];
        let before = workspace(&system, winner, "abuja");
        let partial = race(&system, &[], [&lines[0], &lines[1]]);
        let partial = partial.map(|ctl| ctl.code);
        assert!(matches!(partial, [0, 0 | 1] | [1, 0]), "{partial:?}");
        let accepted = usize::from(partial[1] == 0);
        let after = workspace(&system, accepted, "abuja");
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

        // The naive change says all it wants and names no revision: both are accepted, and the first one is lost.
        let lines = ["place menu copies 1..2", "place menu copies 2..2"];
        let lost = race(&system, &[], lines);
        assert_eq!(codes(&lost), [0, 0], "{lost:?}");

        // Both send the same command: it counts once.
        let id = format!("{:032x}", 1 + n);
        let line = format!("create workspace workspace-{n} rate 1 burst 1");
        let repeated = race(&system, &["--command", &id], [&line, &line]);
        assert_eq!(codes(&repeated), [0, 0], "{repeated:?}");
        let [first, second] = repeated.map(|ctl| ctl.reply["revision"].clone());
        assert_eq!(first, second);
    }
    // A line that does not follow the grammar, and a system that cannot be reached, have codes of their own.
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
