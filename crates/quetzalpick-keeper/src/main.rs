//! Entry point of the `quetzalpick-keeper` binary.

use std::process::ExitCode;

use clap::Command;
use quetzalpick_keeper::run;
use quetzalpick_node::process;

/// Description in the command line help.
const ABOUT: &str = "Answers operators and places models and adapters on engines";

#[tokio::main]
async fn main() -> ExitCode {
    let command = Command::new("quetzalpick-keeper")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT);
    process::main(command, run).await
}
