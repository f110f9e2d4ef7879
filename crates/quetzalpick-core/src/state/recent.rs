//! Recently applied commands, kept so that a repeated command takes effect once.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

use crate::id::{Command, Offset};
use crate::state::outcome::Outcome;
use crate::table::Table;

/// Number of tables that commands are distributed over by their first byte, to keep insertions short.
const TABLES: usize = 256;

/// `Applied` records where a command was applied and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Applied {
    /// Offset at which the command was first applied.
    pub(crate) offset: Offset,
    /// Outcome of the first application.
    pub(crate) outcome: Outcome,
}

/// `Recent` maps recently applied commands to their outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Recent {
    #[serde(deserialize_with = "deserialize_tables")]
    tables: Vec<Table<Command, Applied>>,
}

/// Deserialises the tables and checks their number, because lookups index them by a command's first byte.
fn deserialize_tables<'de, D: Deserializer<'de>>(
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

/// Returns the index of the table that a command belongs to.
fn table_index(command: Command) -> usize {
    usize::from(command.0.to_be_bytes()[0])
}

impl Recent {
    /// Returns offset and outcome of a command that was applied before.
    pub(crate) fn get(&self, command: Command) -> Option<&Applied> {
        self.tables[table_index(command)].get(&command)
    }

    /// Remembers a command.
    pub(crate) fn insert(&mut self, command: Command, applied: Applied) {
        self.tables[table_index(command)].insert(command, applied);
    }

    /// Drops commands applied before an offset.
    pub(crate) fn expire(&mut self, before: Offset) {
        for table in &mut self.tables {
            table.retain(|_, applied| applied.offset >= before);
        }
    }

    /// Returns the number of remembered commands.
    pub(crate) fn len(&self) -> usize {
        self.tables.iter().map(Table::len).sum()
    }
}
