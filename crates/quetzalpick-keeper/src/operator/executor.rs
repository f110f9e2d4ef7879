//! Executes lines of the operators' language.

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Command, Offset};
use quetzalpick_core::record::{Author, Record};
use quetzalpick_core::state::{Outcome, State};
use quetzalpick_language::{Command as Change, Error, Query, Reply, Statement, resolve};
use quetzalpick_node::peer::Transport;
use quetzalpick_node::replica::{Answer, Replica};

use crate::operator::query;

/// `Executor` answers queries from this VM's replica and submits commands through it.
#[derive(Debug, Clone)]
pub struct Executor<L: Log, T: Transport> {
    replica: Replica<L, T>,
}

impl<L: Log, T: Transport> Executor<L, T> {
    /// Creates an executor that uses a replica.
    pub fn new(replica: Replica<L, T>) -> Self {
        Self { replica }
    }

    /// Executes a line for an operator; a command is submitted with the given id, or with a new one.
    pub async fn execute(&self, operator: &str, text: &str, command: Option<Command>) -> Reply {
        match Statement::parse(text) {
            Err(error) => invalid_reply(&error),
            Ok(Statement::Query(Query::Command(command))) => self.command_outcome(command),
            Ok(Statement::Query(query)) => self.query(&query),
            Ok(Statement::Command(change)) => {
                let command = command.unwrap_or_else(|| self.replica.draw_command());
                let reply = self.submit_change(operator, &change, command).await;
                log::info!(
                    "operator: {operator} sent '{}': {}",
                    redact(text),
                    describe(&reply)
                );
                reply
            }
        }
    }

    /// Returns the reply that describes the outcome of a command.
    fn command_outcome(&self, command: Command) -> Reply {
        match self.replica.command_outcome(command) {
            Some((offset, outcome)) => outcome_reply(command, offset, &outcome),
            None => Reply::Unknown {
                command: command.to_string(),
            },
        }
    }

    /// Answers a query from the state and the peers as observed on this VM.
    fn query(&self, query: &Query) -> Reply {
        let peers = self.replica.peers();
        let own = self.replica.member();
        let answer = |state: &State| Reply::Table {
            revision: state.revision(),
            table: query::answer(query, state, &own, &peers),
        };
        self.replica.read(answer)
    }

    /// Appends a change and waits until it is applied on this VM.
    async fn submit_change(&self, operator: &str, change: &Change, command: Command) -> Reply {
        // A command that was applied before is not resolved again: what it creates already exists because of it.
        if let Some((offset, outcome)) = self.replica.command_outcome(command) {
            return outcome_reply(command, offset, &outcome);
        }
        // What another keeper has accepted before counts as well. Without it, a change that uses current values may be refused.
        if !self.replica.reach_head().await {
            log::warn!("operator: command {command} is resolved with a state that may be outdated");
        }
        let resolution = match self.replica.read(|state| resolve(change, state)) {
            Ok(resolution) => resolution,
            // The command may have been applied in the meantime and then conflicts with its own effect.
            Err(error) => {
                let outcome = self.replica.command_outcome(command);
                let reply = |(offset, outcome)| outcome_reply(command, offset, &outcome);
                return outcome.map_or_else(|| invalid_reply(&error), reply);
            }
        };
        let author = Author::Operator(operator.to_owned());
        let record = Record::Change(resolution.change);
        let answer = self
            .replica
            .submit_as(author, command, record, resolution.expect)
            .await;
        answer_reply(command, answer)
    }
}

/// Builds the reply to a line that cannot be parsed or resolved.
fn invalid_reply(error: &Error) -> Reply {
    let column = match error {
        Error::Syntax { column, .. } => *column,
        _ => 0,
    };
    Reply::Invalid {
        column,
        message: error.to_string(),
    }
}

/// Builds the reply for a command that the fold accepted or rejected.
fn outcome_reply(command: Command, offset: Offset, outcome: &Outcome) -> Reply {
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

/// Builds the reply for the replica's answer to a submitted command.
fn answer_reply(command: Command, answer: Answer) -> Reply {
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

/// Removes the digest of a key, and all that follows it, from a line before it is logged.
fn redact(text: &str) -> &str {
    text.split(" digest ").next().unwrap_or_default()
}

/// Describes a reply for a log line.
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
