//! The `run` and `summary` subcommands.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::report::{
    Experiment, Report, UsageMeter, plot, read_records, render, render_comparison, summarize,
    verdict_line,
};
use crate::run::{Scenario, drive, schedule};

/// Exit code for wrong usage, and for a scenario or report that cannot be read.
const EXIT_BAD_INPUT: u8 = 2;

/// Returns the `run` subcommand, which runs a scenario against gates.
pub fn run_command() -> Command {
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .help(help)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("run")
        .about("Sends a scenario's requests to gates and reports per workspace")
        .arg(path("scenario", "Scenario in TOML").required(true))
        .arg(path("report", "Writes the report as JSON"))
        .arg(path("plot", "Writes the distributions as SVG"))
        .arg(Arg::new("seed").long("seed").help("Seed in place of the scenario's").value_parser(value_parser!(u64)))
        .arg(Arg::new("quiet").long("quiet").help("Shows no progress").action(ArgAction::SetTrue))
        .after_help("Exit codes:\n  0  nothing lost, doubled or overcommitted\n  1  otherwise\n  2  bad scenario")
}

/// Runs the scenario named in the arguments, prints its report and writes the files asked for.
pub async fn run(matches: &ArgMatches) -> ExitCode {
    let mut scenario = match read_scenario(matches) {
        Ok(scenario) => scenario,
        Err(message) => {
            eprintln!("quetzalpick-load: {message}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    scenario.seed = matches.get_one("seed").copied().unwrap_or(scenario.seed);
    let report = measure(&scenario, matches.get_flag("quiet")).await;
    println!("{}", render(&report));
    if let Err(message) = write_files(matches, &report) {
        eprintln!("quetzalpick-load: {message}");
        return ExitCode::FAILURE;
    }
    let (line, passed) = verdict_line(&report.name, &report);
    println!("\n{line}");
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Reads and validates the scenario file.
fn read_scenario(matches: &ArgMatches) -> Result<Scenario, String> {
    // The argument is required, so the default is never used.
    let path = matches
        .get_one::<PathBuf>("scenario")
        .map(PathBuf::as_path)
        .unwrap_or(Path::new(""));
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    Scenario::try_from_toml(&text).map_err(|error| format!("{name}: {error}"))
}

/// Runs a scenario and returns its report; progress goes to stderr unless `quiet` is set.
async fn measure(scenario: &Scenario, quiet: bool) -> Report {
    let arrivals = schedule(scenario);
    let progress = |sent: usize, completed: usize| {
        if !quiet {
            eprintln!(
                "{}: {sent} of {} sent, {completed} ended",
                scenario.name,
                arrivals.len()
            );
        }
    };
    let usage_meter = UsageMeter::begin(&scenario.processes);
    let outcomes = drive(scenario, &arrivals, progress).await;
    let usage = usage_meter.end();
    let records = read_records(scenario).await;
    summarize(scenario, &arrivals, &outcomes, records, usage)
}

/// Writes the report and the plot to the files named in the arguments, if any.
fn write_files(matches: &ArgMatches, report: &Report) -> Result<(), String> {
    let write = |path: &PathBuf, text: String| {
        std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
    };
    if let Some(path) = matches.get_one::<PathBuf>("report") {
        write(
            path,
            serde_json::to_string_pretty(report).map_err(|error| error.to_string())?,
        )?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        write(path, plot(report)?)?;
    }
    Ok(())
}

/// Returns the `summary` subcommand, which compares reports.
pub fn summary_command() -> Command {
    let files = Arg::new("files")
        .value_name("NAME=FILE")
        .help(
            "Reports as `run --report` writes them; those with one name are runs of one experiment",
        )
        .num_args(1..)
        .required(true);
    Command::new("summary")
        .about("Puts reports side by side: median, least and greatest")
        .arg(files)
}

/// Prints a table that compares the reports named in the arguments.
pub fn summary(matches: &ArgMatches) -> ExitCode {
    let mut experiments: Vec<Experiment> = Vec::new();
    for argument in matches.get_many::<String>("files").into_iter().flatten() {
        if let Err(message) = add_report(&mut experiments, argument) {
            eprintln!("quetzalpick-load: {message}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    }
    println!("{}", render_comparison(&experiments));
    ExitCode::SUCCESS
}

/// Reads the report of a `NAME=FILE` argument and adds it to the experiment of that name.
fn add_report(experiments: &mut Vec<Experiment>, argument: &str) -> Result<(), String> {
    let (name, path) = argument
        .split_once('=')
        .ok_or_else(|| format!("{argument}: must be NAME=FILE"))?;
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let report = serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))?;
    match experiments
        .iter_mut()
        .find(|experiment| experiment.name == name)
    {
        Some(experiment) => experiment.reports.push(report),
        None => experiments.push(Experiment {
            name: name.to_owned(),
            reports: vec![report],
        }),
    }
    Ok(())
}
