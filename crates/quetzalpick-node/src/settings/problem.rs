//! What is wrong with a settings file.

use std::fmt;

/// `Problem` is one fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line, counted from 1.
    pub line: usize,
    /// Full key, such as `peers.secret`.
    pub key: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

/// `Problems` lists every fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems {
    /// Name of the file.
    pub file: String,
    /// The faults, by line.
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, problem) in self.list.iter().enumerate() {
            let end = if at == 0 { "" } else { "\n" };
            let Problem { line, key, message } = problem;
            write!(f, "{end}{}:{line}: {key}: {message}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
