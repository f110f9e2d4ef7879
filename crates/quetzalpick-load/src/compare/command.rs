//! The `compare` subcommand.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::compare::report::{compare_all, render_table};

/// Maximum number of runs of a comparison.
const RUNS_MAX: u64 = 100;

/// Returns the `compare` subcommand, which compares schemes that limit a workspace's rate.
pub fn compare_command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        let arg = Arg::new(name).long(name).help(help);
        arg.value_name("N").default_value(default)
    };
    Command::new("compare")
        .about("Compares ways to keep a workspace's rate across gates, in virtual time")
        .arg(number("seed", "First seed", "1").value_parser(value_parser!(u64)))
        .arg(
            number("runs", "Runs, each with the next seed", "5")
                .value_parser(value_parser!(u64).range(1..=RUNS_MAX)),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .help("Form of the result")
                .value_parser(["json", "table"])
                .default_value("table"),
        )
}

/// Runs the comparison with the seeds given in the arguments and prints the result.
pub fn compare(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let rows = compare_all(number("seed"), number("runs"));
    let as_json = matches
        .get_one::<String>("output")
        .is_some_and(|o| o == "json");
    let text = if as_json {
        serde_json::to_string_pretty(&rows)
    } else {
        Ok(render_table(&rows))
    };
    match text {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("quetzalpick-load: {e}");
            ExitCode::FAILURE
        }
    }
}
