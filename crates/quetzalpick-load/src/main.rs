//! Entry point of `quetzalpick-load`.

use std::process::ExitCode;

use clap::Command;
use quetzalpick_load::command::{run, run_command, summary, summary_command};
use quetzalpick_load::compare::{compare, compare_command};

#[tokio::main]
async fn main() -> ExitCode {
    let command = Command::new("quetzalpick-load")
        .version(clap::crate_version!())
        .about("Sends load to gates and compares policies")
        .subcommand_required(true)
        .subcommand(run_command())
        .subcommand(summary_command())
        .subcommand(compare_command());
    match command.get_matches().subcommand() {
        Some(("run", matches)) => run(matches).await,
        Some(("summary", matches)) => summary(matches),
        Some(("compare", matches)) => compare(matches),
        _ => ExitCode::FAILURE,
    }
}
