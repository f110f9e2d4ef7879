//! Starts `quetzalpick-gate`.

use std::process::ExitCode;

use quetzalpick_gate::{Settings, run};
use quetzalpick_node::launch::{Launch, command, launch};
use quetzalpick_node::telemetry::logs;

/// What the process does, for its help.
const ABOUT: &str = "Serves callers: keys, limits, routing, retries and streams";

#[tokio::main]
async fn main() -> ExitCode {
    let settings: Settings = match launch(command(
        "quetzalpick-gate",
        env!("CARGO_PKG_VERSION"),
        ABOUT,
    )) {
        Launch::Run(settings) => settings,
        Launch::Exit(code) => return code,
    };
    if let Err(error) = logs::try_start(&settings.log) {
        eprintln!("quetzalpick-gate: {error}");
        return ExitCode::FAILURE;
    }
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("gate: {error}");
            ExitCode::FAILURE
        }
    }
}
