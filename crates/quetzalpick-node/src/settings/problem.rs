//! Problems found in a settings file.

use std::fmt;

/// `Problem` describes one invalid, missing or unknown setting, or a syntax error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line number, from 1.
    pub line: usize,
    /// Full key, such as `peers.secret`.
    pub key: String,
    /// What is wrong, and which values are allowed.
    pub message: String,
}

/// `Problems` lists every problem in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems {
    /// Name of the file.
    pub file: String,
    /// The problems, sorted by line.
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            let Problem { line, key, message } = problem;
            write!(f, "{separator}{}:{line}: {key}: {message}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
