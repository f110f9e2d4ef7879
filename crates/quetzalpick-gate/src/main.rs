//! Starts `quetzalpick-gate`.

use std::process::ExitCode;

use clap::Command;
use quetzalpick_gate::run;
use quetzalpick_node::process;

/// What the process does, for its help.
const ABOUT: &str = "Serves callers: keys, limits, routing, retries and streams";

#[tokio::main]
async fn main() -> ExitCode {
    let command = Command::new("quetzalpick-gate")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT);
    process::main(command, run).await
}
