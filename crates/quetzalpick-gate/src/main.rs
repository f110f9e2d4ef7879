//! Entry point of the `quetzalpick-gate` process.

use std::process::ExitCode;

use clap::Command;
use quetzalpick_gate::run;
use quetzalpick_node::process;

/// Description of the process in its help text.
const ABOUT: &str = "Serves callers: keys, limits, routing, retries and streams";

#[tokio::main]
async fn main() -> ExitCode {
    let command = Command::new("quetzalpick-gate")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT);
    process::main(command, run).await
}
