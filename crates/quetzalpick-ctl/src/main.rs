//! Entry point of the command-line client `quetzalpick-ctl`.

use std::process::ExitCode;

use quetzalpick_ctl::{Arguments, command, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = match Arguments::try_from_matches(&command().get_matches()) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("quetzalpick-ctl: {error}");
            return ExitCode::from(2);
        }
    };
    ExitCode::from(run(&arguments).await.code())
}
