//! The command line that all processes with a settings file have in common.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::settings::{Section, load, print_default};

/// Exit code for bad settings or wrong usage.
const BAD_SETTINGS: u8 = 2;
/// What the exit codes mean.
const EXIT_CODES: &str = "\
Exit codes:
  0  stopped as planned, or the settings are good
  1  could not start or go on
  2  wrong usage or bad settings";

/// `Launch` is what the command line asks for.
#[derive(Debug)]
pub enum Launch<S> {
    /// Run with these settings.
    Run(S),
    /// End at once with this exit code; everything was printed.
    Exit(ExitCode),
}

/// Returns the definition of the command line.
pub fn command(name: &'static str, version: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings file in TOML")
        .value_parser(value_parser!(PathBuf))
        .required_unless_present("print-default");
    let check = Arg::new("check")
        .long("check")
        .help("Checks the settings, lists every problem, and ends")
        .action(ArgAction::SetTrue);
    let print = Arg::new("print-default")
        .long("print-default")
        .help("Prints a settings file with every key, its default and its range, and ends")
        .action(ArgAction::SetTrue);
    Command::new(name)
        .version(version)
        .about(about)
        .after_help(EXIT_CODES)
        .args([settings, check, print])
}

/// Reads the command line and the settings file.
pub fn launch<S: Section>(command: Command) -> Launch<S> {
    let matches = command.get_matches();
    if matches.get_flag("print-default") {
        print!("{}", print_default::<S>());
        return Launch::Exit(ExitCode::SUCCESS);
    }
    // The argument is required unless the defaults are to be printed.
    let path = matches
        .get_one::<PathBuf>("settings")
        .map(PathBuf::as_path)
        .unwrap_or(Path::new(""));
    match read::<S>(path) {
        Err(message) => {
            eprintln!("{message}");
            Launch::Exit(ExitCode::from(BAD_SETTINGS))
        }
        Ok(_) if matches.get_flag("check") => {
            println!("{}: good", path.display());
            Launch::Exit(ExitCode::SUCCESS)
        }
        Ok(settings) => Launch::Run(settings),
    }
}

/// Reads a settings file, or says everything that is wrong with it.
fn read<S: Section>(path: &Path) -> Result<S, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    load(&name, &text).map_err(|problems| problems.to_string())
}
