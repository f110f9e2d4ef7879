//! A settings file that may change while the process runs.

use std::fs;
use std::marker::PhantomData;

use snafu::ResultExt;

use crate::errors::{Result, UnreadableSnafu, UnusableSnafu};
use crate::settings::{Section, load};

/// `Source` is a settings file, and what it said when it was last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source<S> {
    file: String,
    text: String,
    settings: PhantomData<fn() -> S>,
}

impl<S: Section> Source<S> {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// `Error::Unreadable` if it cannot be read, `Error::Unusable` if what it says is not usable.
    pub fn try_open(file: impl Into<String>) -> Result<(Self, S)> {
        let file = file.into();
        let text = read(&file)?;
        let settings = load(&file, &text).context(UnusableSnafu)?;
        let source = Self {
            file,
            text,
            settings: PhantomData,
        };
        Ok((source, settings))
    }

    /// Reads the file again; `None` if it says what it said when it was last read.
    ///
    /// # Errors
    ///
    /// As for `try_open`; what is not usable is told once.
    pub fn try_reload(&mut self) -> Result<Option<S>> {
        let text = read(&self.file)?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        let settings = load(&self.file, &self.text).context(UnusableSnafu)?;
        Ok(Some(settings))
    }
}

fn read(file: &str) -> Result<String> {
    fs::read_to_string(file).context(UnreadableSnafu { file })
}
