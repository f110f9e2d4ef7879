//! Carries out lines of the operators' language.

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Command, Offset};
use quetzalpick_core::record::{Author, Record};
use quetzalpick_core::state::{Outcome, State};
use quetzalpick_language::{Command as Change, Error, Query, Reply, Statement, resolve};
use quetzalpick_node::peer::Transport;
use quetzalpick_node::replica::{Answer, Replica};

use crate::operator::query;

/// `Executor` carries out lines on this VM's replica.
#[derive(Debug, Clone)]
pub struct Executor<L: Log, T: Transport> {
    replica: Replica<L, T>,
}

impl<L: Log, T: Transport> Executor<L, T> {
    /// Makes an executor on a replica.
    pub fn new(replica: Replica<L, T>) -> Self {
        Self { replica }
    }

    /// Carries out a line for an operator; a command goes under the given id, or under a new one.
    pub async fn carry_out(&self, operator: &str, text: &str, command: Option<Command>) -> Reply {
        match Statement::parse(text) {
            Err(error) => invalid(&error),
            Ok(Statement::Query(Query::Command(command))) => self.command_outcome(command),
            Ok(Statement::Query(query)) => self.query(&query),
            Ok(Statement::Command(change)) => {
                let command = command.unwrap_or_else(|| self.replica.draw_command());
                let reply = self.change(operator, &change, command).await;
                log::info!(
                    "operator: {operator} sent '{}': {}",
                    redact(text),
                    describe(&reply)
                );
                reply
            }
        }
    }

    /// Tells what became of a command.
    fn command_outcome(&self, command: Command) -> Reply {
        match self.replica.command_outcome(command) {
            Some((offset, outcome)) => settled(command, offset, &outcome),
            None => Reply::Unknown {
                command: command.to_string(),
            },
        }
    }

    /// Answers a query from this VM's view.
    fn query(&self, query: &Query) -> Reply {
        let peers = self.replica.peers();
        let own = self.replica.member();
        let answer = |state: &State| Reply::Table {
            revision: state.revision(),
            table: query::answer(query, state, &own, &peers),
        };
        self.replica.read(answer)
    }

    /// Appends a change and waits until it is in force here.
    async fn change(&self, operator: &str, change: &Change, command: Command) -> Reply {
        // A command that was carried out before is not resolved again: it may exist by now because of itself.
        if let Some((offset, outcome)) = self.replica.command_outcome(command) {
            return settled(command, offset, &outcome);
        }
        let resolution = match self.replica.read(|state| resolve(change, state)) {
            Ok(resolution) => resolution,
            // The command may have been applied a moment ago, and then it stands against itself.
            Err(error) => {
                let asked = self.replica.command_outcome(command);
                let reply = |(offset, outcome)| settled(command, offset, &outcome);
                return asked.map_or_else(|| invalid(&error), reply);
            }
        };
        let author = Author::Operator(operator.to_owned());
        let record = Record::Change(resolution.change);
        let answer = self
            .replica
            .submit_as(author, command, record, resolution.expect)
            .await;
        answered(command, answer)
    }
}

/// Builds the reply for a line that is wrong.
fn invalid(error: &Error) -> Reply {
    let column = match error {
        Error::Syntax { column, .. } => *column,
        _ => 0,
    };
    Reply::Invalid {
        column,
        message: error.to_string(),
    }
}

/// Builds the reply for a command that was folded.
fn settled(command: Command, offset: Offset, outcome: &Outcome) -> Reply {
    let command = command.to_string();
    match outcome.first() {
        Outcome::Accepted(revision) => Reply::Accepted {
            command,
            revision: *revision,
            offset,
        },
        Outcome::Rejected(reason) => Reply::Rejected {
            command,
            reason: reason.to_string(),
        },
        Outcome::Repeated(..) => Reply::Unknown { command },
    }
}

/// Builds the reply for an answer of the replica.
fn answered(command: Command, answer: Answer) -> Reply {
    let command = command.to_string();
    match answer {
        Answer::Accepted { offset, revision } => Reply::Accepted {
            command,
            revision,
            offset,
        },
        Answer::Rejected { reason, .. } => Reply::Rejected {
            command,
            reason: reason.to_string(),
        },
        Answer::NotSent { retry_after } => {
            let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            Reply::NotSent { retry_after_ms }
        }
        Answer::Unknown { .. } => Reply::Unknown { command },
    }
}

/// Leaves the digest of a key out of a line for the log.
fn redact(text: &str) -> &str {
    text.split(" digest ").next().unwrap_or_default()
}

/// Describes a reply in a log line.
fn describe(reply: &Reply) -> String {
    match reply {
        Reply::Table { .. } => "answered".to_owned(),
        Reply::Accepted { revision, .. } => format!("accepted as revision {revision}"),
        Reply::Rejected { reason, .. } => format!("rejected, {reason}"),
        Reply::NotSent { .. } => "not sent".to_owned(),
        Reply::Unknown { .. } => "outcome unknown".to_owned(),
        Reply::Invalid { message, .. } => format!("invalid, {message}"),
    }
}
