//! A settings file that is reloaded when it changes.

use std::fs;
use std::marker::PhantomData;

use snafu::ResultExt;

use crate::errors::{Result, UnreadableSnafu, UnusableSnafu};
use crate::settings::{Section, load};

/// `Source` holds the name of a settings file and its content when it was last read.
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
    /// `Error::Unreadable` if the file cannot be read, `Error::Unusable` if its settings are invalid.
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

    /// Reads the file again; `None` if its content is unchanged since it was last read.
    ///
    /// # Errors
    ///
    /// As for `try_open`; invalid settings are reported only once, until the content changes again.
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
