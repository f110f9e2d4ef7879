//! Errors of the language: where a line is wrong, and what would have been right.

use snafu::Snafu;

/// `Result` is the result of parsing or resolving a line.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why a line cannot be carried out. Nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The line does not follow the grammar.
    #[snafu(display("column {column}: expected {}, found {found}", expected.join(" or ")))]
    Syntax {
        /// Column of the first character that does not fit, counted from 1.
        column: usize,
        /// What would have fitted.
        expected: Vec<String>,
        /// What stands there.
        found: String,
    },
    /// The line names something that does not exist.
    #[snafu(display("unknown: {what}"))]
    Unknown {
        /// What is unknown, such as `workspace lagos`.
        what: String,
    },
    /// The line creates something that exists.
    #[snafu(display("exists already: {what}; use 'set' to change it"))]
    Exists {
        /// What exists.
        what: String,
    },
    /// The line leaves out a clause that a new thing needs.
    #[snafu(display("missing clause '{clause}' for {what}"))]
    Missing {
        /// What is to be created.
        what: String,
        /// The clause.
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

/// Builds the error for something that does not exist.
pub(crate) fn unknown_error(kind: &str, name: impl AsRef<str>) -> Error {
    Error::Unknown {
        what: format!("{kind} {}", name.as_ref()),
    }
}

/// Builds the error for something that exists already.
pub(crate) fn exists_error(kind: &str, name: impl AsRef<str>) -> Error {
    Error::Exists {
        what: format!("{kind} {}", name.as_ref()),
    }
}

/// Builds the error for a clause that was left out.
pub(crate) fn missing_error(kind: &str, name: impl AsRef<str>, clause: &'static str) -> Error {
    Error::Missing {
        what: format!("{kind} {}", name.as_ref()),
        clause,
    }
}
