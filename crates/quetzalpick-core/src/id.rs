//! Identifiers: names given by operators, and numbers given by processes or by the log.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

/// Longest name, in characters.
pub const NAME_MAX_CHARS: usize = 128;

/// Tells whether a character may stand in a name.
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
            /// Checks a text and makes a name of it.
            ///
            /// # Errors
            ///
            /// `Error::Name` if the text is empty, too long or holds a character that names may not hold.
            pub fn try_new(text: impl AsRef<str>) -> Result<Self> {
                let text = text.as_ref();
                let fits = !text.is_empty() && text.len() <= NAME_MAX_CHARS;
                if fits && text.chars().all(is_name_char) {
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
    /// `Vm` names a process of an entry VM, such as `ng-1/gate`.
    Vm;
    /// `Domain` names a failure domain.
    Domain;
    /// `Workspace` names a workspace, the tenant that requests are charged to.
    Workspace;
    /// `KeyName` names a key; the key itself is never stored.
    KeyName;
    /// `Artifact` names a model or an adapter; the two share one name space.
    Artifact;
    /// `Endpoint` names an endpoint: a model engine or a plain service instance.
    Endpoint;
    /// `Service` names a plain service that stands beside the model engines.
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
    /// `Offset` is a record's place in the control stream, counted from 0.
    Offset(u64);
    /// `Revision` counts accepted configuration changes.
    Revision(u64);
    /// `Incarnation` tells starts of one process apart; it is drawn at random at each start.
    Incarnation(u64);
    /// `Version` is the version of a model or adapter.
    Version(u32);
    /// `EngineIncarnation` tells starts of one engine apart; the engine reports it.
    EngineIncarnation(u64);
    /// `Sequence` counts the intents of one endpoint.
    Sequence(u64);
}

/// `Command` is the unique id of an entry, drawn by its writer; appending the same command twice counts once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Command(pub u64, pub u64);

impl Command {
    /// Parses the form that `Display` writes: 32 hexadecimal digits.
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

/// `Member` is one start of one process: it holds leases, shares and leadership.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub vm: Vm,
    /// Its start.
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
