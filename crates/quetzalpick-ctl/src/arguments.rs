//! Definition and parsing of the command-line arguments.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, value_parser};
use snafu::ResultExt;
use strum::{EnumString, IntoStaticStr};

use quetzalpick_core::id::Command as CommandId;
use quetzalpick_language::HELP;

use crate::errors::{InvalidCommandIdSnafu, NoTokenSnafu, ReadTokenSnafu, Result};

/// Environment variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "QUETZALPICK_TOKEN";
/// Default keeper address, on the same VM.
const DEFAULT_SERVER: &str = "127.0.0.1:7100";
/// Description of the exit codes, printed after the help.
const EXIT_CODES: &str = "\
Exit codes:
  0  answered or accepted      1  rejected or wrong, without effect
  2  wrong usage               3  not sent, without effect
  4  not known: ask with 'show command ID', or send again with --command ID";

/// `Output` selects the output format of replies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Output {
    /// Aligned tables and plain sentences.
    #[default]
    Table,
    /// One JSON object per line.
    Json,
}

/// `Arguments` holds the parsed command-line arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Addresses of keepers, as IP address and port, tried in order.
    pub servers: Vec<String>,
    /// Token that authenticates the operator.
    pub token: String,
    /// Output format of replies.
    pub output: Output,
    /// Id to send the command under, to resend one whose outcome is unknown.
    pub command_id: Option<CommandId>,
    /// Line to send; without one the session is interactive.
    pub line: Option<String>,
}

/// Builds the definition of the command-line arguments.
pub fn command() -> clap::Command {
    let server = Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .help("Keepers to try in order, separated by commas")
        .value_delimiter(',')
        .default_value(DEFAULT_SERVER);
    let token = Arg::new("token-file")
        .long("token-file")
        .value_name("FILE")
        .help("File with the operator's token; otherwise QUETZALPICK_TOKEN")
        .value_parser(value_parser!(PathBuf));
    let output = Arg::new("output")
        .long("output")
        .help("Form of answers")
        .value_parser(["table", "json"])
        .default_value("table");
    let command_id = Arg::new("command")
        .long("command")
        .value_name("ID")
        .help("Sends the command under this id, to repeat one whose outcome is unknown");
    let line = Arg::new("line")
        .value_name("LINE")
        .help("The line, as one or several words; without it the session is interactive")
        .num_args(0..)
        .trailing_var_arg(true);
    clap::Command::new("quetzalpick-ctl")
        .version(clap::crate_version!())
        .about("Asks a quetzalpick system what it does, and changes it")
        .after_help(format!("{HELP}\n{EXIT_CODES}"))
        .args([server, token, output, command_id, line])
}

impl Arguments {
    /// Extracts the arguments from the matches of `command`, and reads the token.
    ///
    /// # Errors
    ///
    /// `Error::ReadToken`, `Error::NoToken` or `Error::InvalidCommandId`.
    pub fn try_from_matches(matches: &ArgMatches) -> Result<Self> {
        let servers = matches
            .get_many::<String>("server")
            .into_iter()
            .flatten()
            .cloned()
            .collect();
        let output = matches
            .get_one::<String>("output")
            .and_then(|name| name.parse().ok());
        let command_id = matches
            .get_one::<String>("command")
            .map(|text| parse_command_id(text))
            .transpose()?;
        let words: Vec<&str> = matches
            .get_many::<String>("line")
            .into_iter()
            .flatten()
            .map(String::as_str)
            .collect();
        Ok(Self {
            servers,
            token: read_token(
                matches
                    .get_one::<PathBuf>("token-file")
                    .map(PathBuf::as_path),
            )?,
            output: output.unwrap_or_default(),
            command_id,
            line: (!words.is_empty()).then(|| words.join(" ")),
        })
    }
}

/// Parses a command id of 32 hexadecimal digits.
fn parse_command_id(text: &str) -> Result<CommandId> {
    CommandId::parse(text).ok_or_else(|| InvalidCommandIdSnafu { text }.build())
}

/// Reads the token from the given file, or from the environment without one.
fn read_token(path: Option<&Path>) -> Result<String> {
    match path {
        Some(path) => {
            let text = std::fs::read_to_string(path).context(ReadTokenSnafu { path })?;
            Ok(text.trim().to_owned())
        }
        None => std::env::var(TOKEN_VARIABLE).map_err(|_| NoTokenSnafu.build()),
    }
}
