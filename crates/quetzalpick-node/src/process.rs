//! Entry points of processes with settings: command line, logger, run and exit code.

use std::ffi::OsString;
use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;

use clap::Command;

use crate::settings::command::{EXIT_FAILURE, Invocation, read_command_line};
use crate::settings::sections::Log;
use crate::settings::{Section, Source};
use crate::telemetry::logs;

/// `Settings` is implemented by the root section of a process's settings file.
pub trait Settings: Section {
    /// Returns the log settings of the process.
    fn log(&self) -> &Log;
}

/// Reads the command line and the settings, starts the logger, and runs `work` to completion.
pub async fn main<S, E, W>(command: Command, work: impl FnOnce(S) -> W) -> ExitCode
where
    S: Settings,
    E: Display,
    W: Future<Output = Result<(), E>>,
{
    main_with(command, std::env::args_os(), |settings, _| work(settings)).await
}

/// Does the same as `main`, with the given command line; `work` also gets the settings file, to follow its changes.
pub async fn main_with<S, E, W>(
    command: Command,
    arguments: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    work: impl FnOnce(S, Source<S>) -> W,
) -> ExitCode
where
    S: Settings,
    E: Display,
    W: Future<Output = Result<(), E>>,
{
    let name = command.get_name().to_owned();
    let (settings, source) = match read_command_line::<S>(command, arguments) {
        Invocation::Run(settings, source) => (settings, source),
        Invocation::Exit(code) => return ExitCode::from(code),
    };
    if let Err(error) = logs::try_start(settings.log()) {
        eprintln!("{name}: {error}");
        return ExitCode::from(EXIT_FAILURE);
    }
    let code = match work(settings, source).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{name}: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    };
    // Log lines may still be queued.
    log::logger().flush();
    code
}
