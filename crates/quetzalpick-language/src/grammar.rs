//! Parses a line into a statement.

use crate::command::Command;
use crate::errors::Result;
use crate::query::Query;
use crate::words::Words;

/// Verbs that a line can begin with: `show` begins a query, all others a command.
const VERBS: &[&str] = &[
    "show", "create", "set", "remove", "withdraw", "place", "drain", "undrain", "route", "unroute",
    "retire",
];

/// Summary of the grammar, printed by `--help` and by `help` in the interactive mode.
pub const HELP: &str = "\
Queries:
  show loaded [of ARTIFACT] [on ENDPOINT]      copies that engines hold
  show moving                                  orders not yet finished
  show spending [of WORKSPACE]                 spending against rate and burst
  show revisions                               the revision in force on each VM
  show leaving                                 endpoints and VMs that take no new work
  show workspaces | keys [of WORKSPACE] | models | adapters | places | endpoints | services | vms | leader
  show command ID                              what became of a command
Commands (each may end with 'if revision N'):
  create|set workspace NAME [rate TOKENS_PER_S] [burst TOKENS] [models A,B|all] [services S,T|all]
  create key NAME for WORKSPACE digest HEX
  withdraw key NAME
  create|set model NAME [version N] [memory MB] [max-output TOKENS]
  create|set adapter NAME [on MODEL] [version N] [memory MB]
  place ARTIFACT copies N|MIN..MAX [on ENDPOINT,ENDPOINT]
  create|set engine NAME [at IP:PORT] [domain D] [memory MB] [accelerators N] [fencing yes|no]
  create|set instance NAME [of SERVICE] [at IP:PORT] [domain D]
  drain|undrain endpoint NAME
  create|set service NAME [charge TOKENS]
  route SERVICE METHOD|* PREFIX open|closed idempotent|once
  unroute SERVICE METHOD|* PREFIX
  remove workspace|model|adapter|endpoint|service NAME
  retire vm NAME                               only for a VM that is certainly dead
";

/// `Statement` holds the parsed form of one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A query, which changes nothing.
    Query(Query),
    /// A command, which changes the system.
    Command(Command),
}

impl Statement {
    /// Parses a line.
    ///
    /// # Errors
    ///
    /// `Error::Syntax` with the column of the error and the input expected there.
    pub fn parse(line: &str) -> Result<Self> {
        let mut words = Words::new(line);
        let statement = match words.keyword(VERBS)? {
            "show" => Self::Query(Query::parse(&mut words)?),
            verb => Self::Command(Command::parse(verb, &mut words)?),
        };
        words.expect_end()?;
        Ok(statement)
    }
}
