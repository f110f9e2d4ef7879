//! Commands applied lately, so that a repeat counts once.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

use crate::id::{Command, Offset};
use crate::state::outcome::Outcome;
use crate::table::Table;

/// Number of tables that commands are spread over by their first byte, to keep insertions short.
const TABLES: usize = 256;

/// `Applied` is a command's place and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Applied {
    /// Where it was first applied.
    pub(crate) offset: Offset,
    /// What became of it.
    pub(crate) outcome: Outcome,
}

/// `Recent` is the memory of commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Recent {
    #[serde(deserialize_with = "tables")]
    tables: Vec<Table<Command, Applied>>,
}

/// Reads the tables, which have to be as many as this program looks commands up in.
fn tables<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Table<Command, Applied>>, D::Error> {
    let tables = Vec::<Table<Command, Applied>>::deserialize(deserializer)?;
    if tables.len() != TABLES {
        return Err(D::Error::invalid_length(tables.len(), &"256 tables"));
    }
    Ok(tables)
}

impl Default for Recent {
    fn default() -> Self {
        Self {
            tables: vec![Table::default(); TABLES],
        }
    }
}

/// Returns the number of the table that a command belongs to.
fn table_of(command: Command) -> usize {
    usize::from(command.0.to_be_bytes()[0])
}

impl Recent {
    /// Returns what became of a command that was applied before.
    pub(crate) fn get(&self, command: Command) -> Option<&Applied> {
        self.tables[table_of(command)].get(&command)
    }

    /// Remembers a command.
    pub(crate) fn insert(&mut self, command: Command, applied: Applied) {
        self.tables[table_of(command)].insert(command, applied);
    }

    /// Drops commands applied before an offset.
    pub(crate) fn expire(&mut self, before: Offset) {
        for table in &mut self.tables {
            table.retain(|_, applied| applied.offset >= before);
        }
    }

    /// Returns the number of commands remembered.
    pub(crate) fn len(&self) -> usize {
        self.tables.iter().map(Table::len).sum()
    }
}
