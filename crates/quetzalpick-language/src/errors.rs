//! Errors of parsing and resolving a line.

use snafu::Snafu;

/// `Result` is returned by functions that parse or resolve a line.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` lists the reasons why a line cannot be parsed or resolved. Such a line has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The line does not follow the grammar.
    #[snafu(display("column {column}: expected {}, found {found}", expected.join(" or ")))]
    Syntax {
        /// Column of the first unexpected character, counted from 1.
        column: usize,
        /// Descriptions of the accepted input at this column.
        expected: Vec<String>,
        /// The word found there, in quotes, or a description of the end of the line.
        found: String,
    },
    /// The line refers to an object that does not exist.
    #[snafu(display("unknown: {object}"))]
    Unknown {
        /// Kind and name of the object, such as `workspace lagos`.
        object: String,
    },
    /// The line creates an object that exists already.
    #[snafu(display("exists already: {object}; use 'set' to change it"))]
    Exists {
        /// Kind and name of the object.
        object: String,
    },
    /// The line omits a clause that a new object requires.
    #[snafu(display("missing clause '{clause}' for {object}"))]
    Missing {
        /// Kind and name of the new object.
        object: String,
        /// Keyword of the missing clause.
        clause: &'static str,
    },
}

/// Builds a syntax error.
pub(crate) fn syntax_error<T>(
    column: usize,
    expected: Vec<String>,
    found: impl Into<String>,
) -> Result<T> {
    Err(Error::Syntax {
        column,
        expected,
        found: found.into(),
    })
}

/// Builds the error for an object that does not exist.
pub(crate) fn unknown_error(kind: &str, name: impl AsRef<str>) -> Error {
    Error::Unknown {
        object: format!("{kind} {}", name.as_ref()),
    }
}

/// Builds the error for an object that exists already.
pub(crate) fn exists_error(kind: &str, name: impl AsRef<str>) -> Error {
    Error::Exists {
        object: format!("{kind} {}", name.as_ref()),
    }
}

/// Builds the error for a missing clause.
pub(crate) fn missing_error(kind: &str, name: impl AsRef<str>, clause: &'static str) -> Error {
    Error::Missing {
        object: format!("{kind} {}", name.as_ref()),
        clause,
    }
}
