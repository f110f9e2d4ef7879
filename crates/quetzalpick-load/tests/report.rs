//! Checks that arrivals depend only on the seed, and that the report checks refusals against the workspace's rate.

use quetzalpick_core::verdict::Verdict;
use quetzalpick_load::report::{
    Experiment, Records, render, render_comparison, summarize, verdict_line,
};
use quetzalpick_load::run::{Outcome, OutcomeKind, RequestKind, Scenario, schedule};

const SCENARIO: &str = r#"
name = "catering"
seed = 11
seconds = 20
requests_per_s = 10
shape = "lunch"
gates = ["127.0.0.1:1", "127.0.0.1:2"]
service = "bookings"
bookings_percent = 20
prompt_bytes = [40, 400]
output_tokens = [8, 32]
patience_ms = 5000
accelerators = 4

[[workspaces]]
name = "lagos"
key = "qp_a"
rate = 100
burst = 400
weight = 3

[[workspaces]]
name = "abuja"
key = "qp_b"
rate = 1000
burst = 8000
weight = 1

[[artifacts]]
name = "menu"
weight = 3
later_weight = 0

[[artifacts]]
name = "kashrut"
weight = 1
"#;

fn scenario() -> Scenario {
    Scenario::try_from_toml(SCENARIO).expect("the scenario is valid")
}

#[test]
fn arrivals_depend_only_on_scenario_and_seed() {
    let first = schedule(&scenario());
    assert_eq!(first, schedule(&scenario()));
    assert_ne!(
        first,
        schedule(&Scenario {
            seed: 12,
            ..scenario()
        })
    );
    assert!(first.windows(2).all(|pair| pair[0].at_us <= pair[1].at_us));
    // An artifact without weight in the second half is not requested there.
    let names_menu = |kind: &RequestKind| matches!(kind, RequestKind::Chat { artifact, .. } if artifact == "menu");
    assert!(
        first
            .iter()
            .filter(|arrival| arrival.at_us > 10_000_000)
            .all(|arrival| !names_menu(&arrival.kind))
    );
    insta::assert_json_snapshot!(&first[..6]);
}

#[test]
fn report_counts_refusals_within_rate_doubled_and_lost_orders() {
    let scenario = scenario();
    let arrivals = schedule(&scenario);
    let outcomes: Vec<Outcome> = arrivals
        .iter()
        .map(|arrival| outcome(arrival.number))
        .collect();
    let mut orders: Vec<(String, u32)> = arrivals
        .iter()
        .filter_map(|arrival| execution(&arrival.kind))
        .collect();
    orders.sort();
    // One order was executed twice, and one that was answered was never executed.
    orders[0].1 = 2;
    orders.remove(1);
    let records = Records {
        orders,
        moves: 5,
        ..Records::default()
    };
    let report = summarize(&scenario, &arrivals, &outcomes, records, Vec::new());
    let (line, passed) = verdict_line("demo", &report);
    assert!(!passed);
    insta::assert_snapshot!(format!("{}\n\n{line}", render(&report)));
    // Three runs that differ in one metric are shown with its median, least and greatest value.
    let run = |worst_workspace: f64| {
        let mut run = report.clone();
        run.worst_workspace = worst_workspace;
        serde_json::to_value(run).expect("the report serializes")
    };
    let experiment = Experiment {
        name: "lunch".to_owned(),
        reports: vec![run(0.5), run(0.9), run(0.7)],
    };
    insta::assert_snapshot!("side_by_side", render_comparison(&[experiment]));
}

/// Returns a refusal for every seventh request and an answer for the others.
fn outcome(number: u32) -> Outcome {
    let refused = number % 7 == 3;
    Outcome {
        number,
        kind: if refused {
            OutcomeKind::Limited
        } else {
            OutcomeKind::Answered
        },
        verdict: if refused {
            Verdict::NotRun
        } else {
            Verdict::Ran
        },
        status: if refused { 429 } else { 200 },
        tokens: 60,
        first_us: 40_000 + u64::from(number) * 100,
        between_us: Some(9_000),
        total_us: 300_000,
        detail: String::new(),
    }
}

fn execution(kind: &RequestKind) -> Option<(String, u32)> {
    match kind {
        RequestKind::Booking { order } => Some((order.clone(), 1)),
        RequestKind::Chat { .. } => None,
    }
}
