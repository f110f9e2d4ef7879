//! Entry point of the `quetzalpick-standin` program.

use std::process::ExitCode;

use quetzalpick_standin::command;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match command::run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quetzalpick-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
