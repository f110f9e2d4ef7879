//! A whole process with settings: command line, logger, work, exit code.

use std::ffi::OsString;
use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;

use clap::Command;

use crate::settings::command::{EXIT_FAILURE, Start, start};
use crate::settings::sections::Log;
use crate::settings::{Section, Source};
use crate::telemetry::logs;

/// `Settings` is the whole settings file of a process.
pub trait Settings: Section {
    /// Returns how the process logs.
    fn log(&self) -> &Log;
}

/// Reads the command line and the settings, starts the logger, and does the work until it ends.
pub async fn main<S, E, W>(command: Command, work: impl FnOnce(S) -> W) -> ExitCode
where
    S: Settings,
    E: Display,
    W: Future<Output = Result<(), E>>,
{
    main_with(command, std::env::args_os(), |settings, _| work(settings)).await
}

/// Does the same with a command line that the caller gives, and work that follows changes of the settings file.
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
    let (settings, source) = match start::<S>(command, arguments) {
        Start::Run(settings, source) => (settings, source),
        Start::Exit(code) => return ExitCode::from(code),
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
    // Lines wait in a queue.
    log::logger().flush();
    code
}
