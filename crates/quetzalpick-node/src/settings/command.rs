//! The command line that all processes with settings share.

use std::ffi::OsString;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::settings::{Section, Source, print_default};

/// Exit code of a process that stopped as planned or only printed something.
pub const EXIT_SUCCESS: u8 = 0;

/// Exit code of a process that failed while it ran.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for a command line that is not understood.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for settings that are not usable.
pub const EXIT_SETTINGS: u8 = 3;

/// `Start` is what the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start<S> {
    /// Run with these settings, which come from this file.
    Run(S, Source<S>),
    /// End at once with this code; whatever there was to say was printed.
    Exit(u8),
}

/// Reads the command line and the settings file that it names.
///
/// `--settings FILE` names the file, `--check` only checks it, and `--print-default` prints one to begin with.
pub fn start<S: Section>(
    command: Command,
    arguments: impl IntoIterator<Item = impl Into<OsString> + Clone>,
) -> Start<S> {
    let matches = match with_arguments(command).try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // A closed output is no reason to fail in another way.
            let _ = error.print();
            let code = u8::try_from(error.exit_code()).unwrap_or(EXIT_USAGE);
            return Start::Exit(code);
        }
    };
    if matches.get_flag("print-default") {
        print!("{}", print_default::<S>());
        return Start::Exit(EXIT_SUCCESS);
    }
    let file: &String = matches.get_one("settings").expect("clap requires it");
    match Source::try_open(file) {
        Err(error) => {
            eprintln!("{error}");
            Start::Exit(EXIT_SETTINGS)
        }
        Ok(_) if matches.get_flag("check") => {
            println!("{file}: settings are usable");
            Start::Exit(EXIT_SUCCESS)
        }
        Ok((source, settings)) => Start::Run(settings, source),
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
