//! Snapshots of parsed lines and of syntax errors with their columns.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use quetzalpick_language::{Error, Statement};

const VALID_LINES: &[&str] = &[
    "show loaded of menu-7b on lagos-e1",
    "show spending",
    "  SHOW  revisions ",
    "show command 00000000000000010000000000000002",
    "create workspace lagos rate 500 burst 8000 models menu-7b,menu-7b-pesach services bookings if revision 12",
    "set workspace lagos models all",
    "create key planner-1 for lagos digest 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
    "withdraw key planner-1",
    "create model menu-7b version 3 memory 14000 max-output 512",
    "create adapter menu-7b-pesach on menu-7b version 1 memory 120",
    "place menu-7b copies 2..4 on lagos-e1,abuja-e2",
    "place menu-7b copies 1",
    "create engine lagos-e1 at 127.0.0.1:9000 domain ng-a memory 80000 accelerators 4 fencing yes",
    "create instance desk-1 of bookings at 127.0.0.1:9100 domain ng-b",
    "drain endpoint lagos-e1",
    "route bookings POST /bookings closed once",
    "unroute bookings * /",
    "remove adapter menu-7b-pesach if revision 3",
    "retire vm ng-1/gate",
];

const INVALID_LINES: &[&str] = &[
    "",
    "   ",
    "shw loaded",
    "show",
    "show loaded off menu",
    "show command 12",
    "create workspace",
    "create workspace lagos rate 0",
    "create workspace lagos rate ten",
    "create workspace läg rate 10",
    "create key k for lagos",
    "create key k for lagos digest ff",
    "create engine e at localhost:1",
    "place menu copies 4..2",
    "route bookings post /bookings closed once",
    "route bookings POST bookings closed once",
    "drain endpoint e extra",
    "remove key k",
    "withdraw key k if revision",
    "set model m version 4294967296",
];

/// Formats a line with its statement, or with a caret below the column of the error.
fn format_line(line: &str) -> String {
    match Statement::parse(line) {
        Ok(statement) => format!("{line}\n  {statement:?}\n"),
        Err(error @ Error::Syntax { column, .. }) => {
            format!("{line}\n{}^\n  {error}\n", " ".repeat(column - 1))
        }
        Err(error) => format!("{line}\n  {error}\n"),
    }
}

#[test]
fn valid_lines_parse_into_statements() {
    insta::assert_snapshot!(
        VALID_LINES
            .iter()
            .map(|line| format_line(line))
            .collect::<Vec<_>>()
            .join("\n")
    );
}

#[test]
fn invalid_lines_report_column_and_expected_input() {
    insta::assert_snapshot!(
        INVALID_LINES
            .iter()
            .map(|line| format_line(line))
            .collect::<Vec<_>>()
            .join("\n")
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any text is parsed, or rejected with a column inside the line or just after its end.
    #[test]
    fn any_text_parses_or_reports_a_valid_column(line in "\\PC{0,80}|(show|create|set|place|route|if|revision|key|workspace|[a-z0-9/.*,]{1,6}| ){0,12}") {
        if let Err(Error::Syntax { column, expected, .. }) = Statement::parse(&line) {
            prop_assert!((1..=line.chars().count() + 1).contains(&column));
            prop_assert!(!expected.is_empty());
        }
    }
}
