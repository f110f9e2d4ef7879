//! Command line shared by all processes that have a settings file.

use std::ffi::OsString;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::settings::{Section, Source, print_default};

/// Exit code of a process that stopped as planned or only printed output.
pub const EXIT_SUCCESS: u8 = 0;

/// Exit code of a process that failed while running.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 3;

/// `Invocation` is the result of reading the command line: run or exit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invocation<S> {
    /// Run with these settings, which were read from this file.
    Run(S, Source<S>),
    /// Exit with this code; any output has been printed.
    Exit(u8),
}

/// Parses the command line and reads the settings file that it names.
///
/// `--settings FILE` names the file, `--check` only checks it, and `--print-default` prints one with default values.
pub fn read_command_line<S: Section>(
    command: Command,
    arguments: impl IntoIterator<Item = impl Into<OsString> + Clone>,
) -> Invocation<S> {
    let matches = match with_arguments(command).try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // The exit code stays the same if the message cannot be printed.
            let _ = error.print();
            let code = u8::try_from(error.exit_code()).unwrap_or(EXIT_USAGE);
            return Invocation::Exit(code);
        }
    };
    if matches.get_flag("print-default") {
        print!("{}", print_default::<S>());
        return Invocation::Exit(EXIT_SUCCESS);
    }
    let file: &String = matches.get_one("settings").expect("clap requires it");
    match Source::try_open(file) {
        Err(error) => {
            eprintln!("{error}");
            Invocation::Exit(EXIT_SETTINGS)
        }
        Ok(_) if matches.get_flag("check") => {
            println!("{file}: settings are usable");
            Invocation::Exit(EXIT_SUCCESS)
        }
        Ok((source, settings)) => Invocation::Run(settings, source),
    }
}

/// Adds the arguments that all processes share.
fn with_arguments(command: Command) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(String))
        .required_unless_present("print-default")
        .help("Settings in TOML");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit");
    let print = Arg::new("print-default")
        .long("print-default")
        .action(ArgAction::SetTrue)
        .help("Print settings to begin with and exit");
    let codes = format!(
        "Exit codes: {EXIT_SUCCESS} stopped as planned, {EXIT_FAILURE} failed, {EXIT_USAGE} command line not understood, \
         {EXIT_SETTINGS} settings not usable"
    );
    command.args([settings, check, print]).after_help(codes)
}
