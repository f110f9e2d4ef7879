//! Starts `quetzalpick-keeper`.

use std::process::ExitCode;

use clap::Command;
use quetzalpick_keeper::{Settings, run};
use quetzalpick_node::settings::command::{Start, start};
use quetzalpick_node::telemetry::logs;

/// What the process does, for its help.
const ABOUT: &str = "Answers operators and places models and adapters on engines";

#[tokio::main]
async fn main() -> ExitCode {
    let command = Command::new("quetzalpick-keeper")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT);
    let settings: Settings = match start(command, std::env::args_os()) {
        Start::Run(settings) => settings,
        Start::Exit(code) => return ExitCode::from(code),
    };
    if let Err(error) = logs::try_start(&settings.log) {
        eprintln!("quetzalpick-keeper: {error}");
        return ExitCode::FAILURE;
    }
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("keeper: {error}");
            ExitCode::FAILURE
        }
    }
}
