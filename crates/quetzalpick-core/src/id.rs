//! Identifiers: names given by operators, and numbers given by processes or by the log.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

/// Longest name, in characters.
pub const NAME_MAX_CHARS: usize = 128;

/// Returns whether names may contain a character.
fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '/' | '@' | '-')
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates a text and converts it to a name.
            ///
            /// # Errors
            ///
            /// `Error::Name` if the text is empty, too long or contains a character that names may not contain.
            pub fn try_new(text: impl AsRef<str>) -> Result<Self> {
                let text = text.as_ref();
                let valid_length = !text.is_empty() && text.len() <= NAME_MAX_CHARS;
                if valid_length && text.chars().all(is_name_char) {
                    Ok(Self(Arc::from(text)))
                } else {
                    Err(Error::Name { text: text.chars().take(NAME_MAX_CHARS).collect(), max: NAME_MAX_CHARS })
                }
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                Self::try_new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    )*};
}

names! {
    /// `Vm` identifies a process on an entry VM, such as `ng-1/gate`.
    Vm;
    /// `Domain` identifies a failure domain.
    Domain;
    /// `Workspace` identifies the tenant that requests are charged to.
    Workspace;
    /// `KeyName` identifies a caller's key; the key itself is never stored.
    KeyName;
    /// `Artifact` identifies a model or an adapter; the two share one namespace.
    Artifact;
    /// `Endpoint` identifies a model engine or an instance of a plain service.
    Endpoint;
    /// `Service` identifies a plain service, which is served beside the model engines.
    Service;
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

numbers! {
    /// `Offset` locates a record in the control stream, counted from 0.
    Offset(u64);
    /// `Revision` counts accepted configuration changes.
    Revision(u64);
    /// `Incarnation` distinguishes the starts of one process; it is drawn at random at each start.
    Incarnation(u64);
    /// `Version` numbers the versions of a model or adapter.
    Version(u32);
    /// `EngineIncarnation` distinguishes the starts of one engine; the engine reports it.
    EngineIncarnation(u64);
    /// `Sequence` numbers the intents of one endpoint.
    Sequence(u64);
    /// `Era` counts the restores of the log service from an older copy of itself, after which it gives out offsets again.
    Era(u64);
}

/// `Position` locates a record of a topic. Its offset is valid in one era only: in a later one it may be given out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Era in which the offset was given out.
    pub era: Era,
    /// Offset in the topic.
    pub offset: Offset,
}

impl Position {
    /// Returns the position that lies `count` records further.
    pub fn after(self, count: u64) -> Self {
        Self {
            offset: Offset(self.offset.0 + count),
            ..self
        }
    }
}

/// `Command` uniquely identifies an entry; its writer draws it, and an entry that is appended twice takes effect once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Command(pub u64, pub u64);

impl Command {
    /// Parses the `Display` form: 32 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let (high, low) = text.split_at_checked(16)?;
        let high = u64::from_str_radix(high, 16).ok()?;
        let low = u64::from_str_radix(low, 16).ok()?;
        (text.len() == 32).then_some(Self(high, low))
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl fmt::Debug for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// `Member` identifies one start of one process, the holder of leases, shares and leadership.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub vm: Vm,
    /// The start of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.incarnation.0)
    }
}

impl fmt::Debug for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
