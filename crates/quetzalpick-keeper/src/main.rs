//! Starts `quetzalpick-keeper`.

use std::process::ExitCode;

use quetzalpick_keeper::{Settings, run};
use quetzalpick_node::launch::{Launch, command, launch};
use quetzalpick_node::telemetry::logs;

/// What the process does, for its help.
const ABOUT: &str = "Answers operators and places models and adapters on engines";

#[tokio::main]
async fn main() -> ExitCode {
    let settings: Settings = match launch(command(
        "quetzalpick-keeper",
        env!("CARGO_PKG_VERSION"),
        ABOUT,
    )) {
        Launch::Run(settings) => settings,
        Launch::Exit(code) => return code,
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
