//! Commands that change the system, and their parsers.

use quetzalpick_core::id::{
    Artifact, Domain, Endpoint, KeyName, Revision, Service, Version, Vm, Workspace,
};
use quetzalpick_core::record::{Digest, Place, Route};

use crate::errors::Result;
use crate::words::Words;

/// Upper limit on the memory of a copy or an engine, in MB.
const MEMORY_MAX_MB: u64 = 100_000_000;
/// Upper limit on a rate in tokens per second, and on a burst or charge in tokens.
const TOKENS_MAX: u64 = 1_000_000_000_000;
/// Upper limit on the output of one request, in tokens.
const OUTPUT_MAX_TOKENS: u32 = 10_000_000;
/// Upper limit on the accelerators of one engine.
const ACCELERATORS_MAX: u32 = 100_000;

/// `Command` holds a parsed change and the revision that it is conditional on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// The requested change.
    pub action: Action,
    /// Applies the change only if this revision is in force.
    pub revision: Option<Revision>,
}

/// `Mode` distinguishes creating an object from changing one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// The object must not exist.
    Create,
    /// The object must exist; values of omitted clauses stay unchanged.
    Set,
}

/// `Selection` restricts a clause to a list of names, or matches all names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection<T> {
    /// All names.
    All,
    /// These names, sorted and without duplicates.
    Only(Vec<T>),
}

impl<T> Selection<T> {
    /// Converts to the form stored in records, where an empty list means all.
    pub(crate) fn into_names(self) -> Vec<T> {
        match self {
            Self::All => Vec::new(),
            Self::Only(names) => names,
        }
    }
}

/// `ObjectKind` identifies the object to remove by its kind and name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectKind {
    /// A workspace with its keys.
    Workspace(Workspace),
    /// A model.
    Model(Artifact),
    /// An adapter.
    Adapter(Artifact),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A service.
    Service(Service),
}

/// `Action` lists the changes that a command can make. Optional fields are clauses that may be omitted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "the fields are the clauses of the grammar, see `HELP`"
)]
pub enum Action {
    /// `create|set workspace`
    Workspace {
        mode: Mode,
        name: Workspace,
        rate: Option<u64>,
        burst: Option<u64>,
        artifacts: Option<Selection<Artifact>>,
        services: Option<Selection<Service>>,
    },
    /// `create key`
    Key {
        name: KeyName,
        workspace: Workspace,
        digest: Digest,
    },
    /// `withdraw key`
    Withdraw(KeyName),
    /// `create|set model`
    Model {
        mode: Mode,
        name: Artifact,
        version: Option<Version>,
        memory_mb: Option<u64>,
        max_output: Option<u32>,
    },
    /// `create|set adapter`
    Adapter {
        mode: Mode,
        name: Artifact,
        base: Option<Artifact>,
        version: Option<Version>,
        memory_mb: Option<u64>,
    },
    /// `place`
    Place(Artifact, Place),
    /// `create|set engine`
    Engine {
        mode: Mode,
        name: Endpoint,
        address: Option<String>,
        domain: Option<Domain>,
        memory_mb: Option<u64>,
        accelerators: Option<u32>,
        fencing: Option<bool>,
    },
    /// `create|set instance`
    Instance {
        mode: Mode,
        name: Endpoint,
        service: Option<Service>,
        address: Option<String>,
        domain: Option<Domain>,
    },
    /// `drain|undrain endpoint`
    Drain(Endpoint, bool),
    /// `create|set service`
    Service {
        mode: Mode,
        name: Service,
        charge: Option<u64>,
    },
    /// `route`
    Route(Service, Route),
    /// `unroute`
    Unroute {
        service: Service,
        method: String,
        prefix: String,
    },
    /// `remove`
    Remove(ObjectKind),
    /// `retire vm`
    Retire(Vm),
}

/// Kinds of objects that `create` accepts.
const CREATE_KINDS: &[&str] = &[
    "workspace",
    "key",
    "model",
    "adapter",
    "engine",
    "instance",
    "service",
];
/// Kinds of objects that `set` accepts; unlike other kinds, a key can only be created.
const SET_KINDS: &[&str] = &[
    "workspace",
    "model",
    "adapter",
    "engine",
    "instance",
    "service",
];

impl Command {
    /// Parses the rest of a command after its verb.
    pub(crate) fn parse(verb: &'static str, words: &mut Words<'_>) -> Result<Self> {
        let action = Action::parse(verb, words)?;
        let revision = if words.accept("if") {
            words.keyword(&["revision"])?;
            Some(Revision(words.number("a revision", 0..=u64::MAX)?))
        } else {
            None
        };
        Ok(Self { action, revision })
    }
}

impl Action {
    /// Parses the part of a command between its verb and `if revision`.
    fn parse(verb: &'static str, words: &mut Words<'_>) -> Result<Self> {
        match verb {
            "create" => Self::parse_kind(Mode::Create, words.keyword(CREATE_KINDS)?, words),
            "set" => Self::parse_kind(Mode::Set, words.keyword(SET_KINDS)?, words),
            "withdraw" => {
                words.keyword(&["key"])?;
                words.name("a key").map(Self::Withdraw)
            }
            "place" => Self::parse_place(words),
            "drain" | "undrain" => {
                words.keyword(&["endpoint"])?;
                Ok(Self::Drain(words.name("an endpoint")?, verb == "drain"))
            }
            "route" => Self::parse_route(words),
            "unroute" => Self::parse_unroute(words),
            "retire" => {
                words.keyword(&["vm"])?;
                words.name("a VM").map(Self::Retire)
            }
            _ => Self::parse_remove(words),
        }
    }

    /// Parses the name and clauses that follow `create` or `set` and the kind.
    fn parse_kind(mode: Mode, kind: &'static str, words: &mut Words<'_>) -> Result<Self> {
        match kind {
            "workspace" => Self::parse_workspace(mode, words),
            "key" => Self::parse_key(words),
            "model" => Self::parse_model(mode, words),
            "adapter" => Self::parse_adapter(mode, words),
            "engine" => Self::parse_engine(mode, words),
            "instance" => Self::parse_instance(mode, words),
            _ => Self::parse_service(mode, words),
        }
    }

    fn parse_workspace(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a workspace")?;
        let (mut rate, mut burst, mut artifacts, mut services) = (None, None, None, None);
        while let Some(clause) = next_clause(words, &["rate", "burst", "models", "services"])? {
            match clause {
                "rate" => rate = Some(words.number("tokens per second", 1..=TOKENS_MAX)?),
                "burst" => burst = Some(words.number("tokens", 1..=TOKENS_MAX)?),
                "models" => artifacts = Some(parse_selection(words, "models or adapters")?),
                _ => services = Some(parse_selection(words, "services")?),
            }
        }
        Ok(Self::Workspace {
            mode,
            name,
            rate,
            burst,
            artifacts,
            services,
        })
    }

    fn parse_key(words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a key")?;
        words.keyword(&["for"])?;
        let workspace = words.name("a workspace")?;
        words.keyword(&["digest"])?;
        let digest = words.value("a SHA-256 digest of 64 hexadecimal digits", parse_digest)?;
        Ok(Self::Key {
            name,
            workspace,
            digest,
        })
    }

    fn parse_model(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a model")?;
        let (mut version, mut memory_mb, mut max_output) = (None, None, None);
        while let Some(clause) = next_clause(words, &["version", "memory", "max-output"])? {
            match clause {
                "version" => version = Some(parse_version(words)?),
                "memory" => memory_mb = Some(words.number("MB", 1..=MEMORY_MAX_MB)?),
                _ => max_output = Some(words.number("tokens", 1..=OUTPUT_MAX_TOKENS)?),
            }
        }
        Ok(Self::Model {
            mode,
            name,
            version,
            memory_mb,
            max_output,
        })
    }

    fn parse_adapter(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("an adapter")?;
        let (mut base, mut version, mut memory_mb) = (None, None, None);
        while let Some(clause) = next_clause(words, &["on", "version", "memory"])? {
            match clause {
                "on" => base = Some(words.name("a model")?),
                "version" => version = Some(parse_version(words)?),
                _ => memory_mb = Some(words.number("MB", 1..=MEMORY_MAX_MB)?),
            }
        }
        Ok(Self::Adapter {
            mode,
            name,
            base,
            version,
            memory_mb,
        })
    }

    fn parse_engine(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("an endpoint")?;
        let (mut address, mut domain, mut memory_mb, mut accelerators, mut fencing) =
            (None, None, None, None, None);
        while let Some(clause) = next_clause(
            words,
            &["at", "domain", "memory", "accelerators", "fencing"],
        )? {
            match clause {
                "at" => address = Some(parse_address(words)?),
                "domain" => domain = Some(words.name("a failure domain")?),
                "memory" => memory_mb = Some(words.number("MB", 1..=MEMORY_MAX_MB)?),
                "accelerators" => {
                    accelerators = Some(words.number("accelerators", 1..=ACCELERATORS_MAX)?)
                }
                _ => fencing = Some(words.yes_or_no()?),
            }
        }
        Ok(Self::Engine {
            mode,
            name,
            address,
            domain,
            memory_mb,
            accelerators,
            fencing,
        })
    }

    fn parse_instance(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("an endpoint")?;
        let (mut service, mut address, mut domain) = (None, None, None);
        while let Some(clause) = next_clause(words, &["of", "at", "domain"])? {
            match clause {
                "of" => service = Some(words.name("a service")?),
                "at" => address = Some(parse_address(words)?),
                _ => domain = Some(words.name("a failure domain")?),
            }
        }
        Ok(Self::Instance {
            mode,
            name,
            service,
            address,
            domain,
        })
    }

    fn parse_service(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a service")?;
        let mut charge = None;
        while next_clause(words, &["charge"])?.is_some() {
            charge = Some(words.number("tokens", 0..=TOKENS_MAX)?);
        }
        Ok(Self::Service { mode, name, charge })
    }

    fn parse_place(words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a model or adapter")?;
        words.keyword(&["copies"])?;
        let (min, max) = words.range("copies")?;
        let pinned = if words.accept("on") {
            parse_selection(words, "endpoints")?.into_names()
        } else {
            Vec::new()
        };
        Ok(Self::Place(name, Place { min, max, pinned }))
    }

    fn parse_route(words: &mut Words<'_>) -> Result<Self> {
        let service = words.name("a service")?;
        let method = words.value("an HTTP method or '*'", parse_method)?;
        let prefix = words.value("a path prefix beginning with '/'", parse_prefix)?;
        let open = words.keyword(&["open", "closed"])? == "open";
        let idempotent = words.keyword(&["idempotent", "once"])? == "idempotent";
        Ok(Self::Route(
            service,
            Route {
                method,
                prefix,
                open,
                idempotent,
            },
        ))
    }

    fn parse_unroute(words: &mut Words<'_>) -> Result<Self> {
        let service = words.name("a service")?;
        let method = words.value("an HTTP method or '*'", parse_method)?;
        let prefix = words.value("a path prefix beginning with '/'", parse_prefix)?;
        Ok(Self::Unroute {
            service,
            method,
            prefix,
        })
    }

    fn parse_remove(words: &mut Words<'_>) -> Result<Self> {
        let object =
            match words.keyword(&["workspace", "model", "adapter", "endpoint", "service"])? {
                "workspace" => ObjectKind::Workspace(words.name("a workspace")?),
                "model" => ObjectKind::Model(words.name("a model")?),
                "adapter" => ObjectKind::Adapter(words.name("an adapter")?),
                "endpoint" => ObjectKind::Endpoint(words.name("an endpoint")?),
                _ => ObjectKind::Service(words.name("a service")?),
            };
        Ok(Self::Remove(object))
    }
}

/// Consumes the keyword of the next clause; returns `None` after the last clause.
fn next_clause(words: &mut Words<'_>, keywords: &[&'static str]) -> Result<Option<&'static str>> {
    for keyword in keywords {
        if words.accept(keyword) {
            return Ok(Some(keyword));
        }
    }
    if words.is_at_end() || words.at_condition() {
        return Ok(None);
    }
    let mut expected = keywords.to_vec();
    expected.extend(["if revision", "the end of the line"]);
    words.fail(&expected)
}

/// Parses a list of names or `all`.
fn parse_selection<T: TryFrom<String> + Ord>(
    words: &mut Words<'_>,
    objects: &str,
) -> Result<Selection<T>> {
    Ok(words
        .names(objects)?
        .map_or(Selection::All, Selection::Only))
}

/// Parses a version.
fn parse_version(words: &mut Words<'_>) -> Result<Version> {
    words.number("a version", 1..=u32::MAX).map(Version)
}

/// Parses an IP address with a port.
fn parse_address(words: &mut Words<'_>) -> Result<String> {
    let parse = |text: &str| {
        text.parse::<std::net::SocketAddr>()
            .ok()
            .map(|address| address.to_string())
    };
    words.value("an IP address and port", parse)
}

/// Parses a SHA-256 digest of 64 hexadecimal digits.
fn parse_digest(text: &str) -> Option<Digest> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(Digest(bytes))
}

/// Parses an upper-case HTTP method or `*`.
fn parse_method(text: &str) -> Option<String> {
    let is_method =
        text == "*" || (!text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase()));
    is_method.then(|| text.to_owned())
}

/// Parses a path prefix, which begins with `/`.
fn parse_prefix(text: &str) -> Option<String> {
    text.starts_with('/').then(|| text.to_owned())
}
