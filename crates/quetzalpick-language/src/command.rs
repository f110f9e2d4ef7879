//! Commands: what operators can change.

use quetzalpick_core::id::{
    Artifact, Domain, Endpoint, KeyName, Revision, Service, Version, Vm, Workspace,
};
use quetzalpick_core::record::{Digest, Place, Route};

use crate::errors::Result;
use crate::words::Words;

/// Largest memory of a copy or an engine, in MB.
const MEMORY_MAX_MB: u64 = 100_000_000;
/// Largest rate or burst, in tokens.
const TOKENS_MAX: u64 = 1_000_000_000_000;
/// Largest output of one request, in tokens.
const OUTPUT_MAX_TOKENS: u32 = 10_000_000;
/// Most accelerators behind one endpoint.
const ACCELERATORS_MAX: u32 = 100_000;

/// `Command` is a change with the revision that it depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// What to change.
    pub action: Action,
    /// Only if this revision is in force.
    pub revision: Option<Revision>,
}

/// `Mode` tells creating from changing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// The thing must not exist.
    Create,
    /// The thing must exist; clauses left out stay as they are.
    Set,
}

/// `Selection` lists names or allows all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection<T> {
    /// Every name.
    All,
    /// These names, sorted.
    Only(Vec<T>),
}

impl<T> Selection<T> {
    /// Returns the names as records hold them: none stands for all.
    pub(crate) fn into_names(self) -> Vec<T> {
        match self {
            Self::All => Vec::new(),
            Self::Only(names) => names,
        }
    }
}

/// `Named` is the kind of a thing that can be removed by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Named {
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

/// `Action` is what a command does. Optional fields are clauses that may be left out.
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
    Remove(Named),
    /// `retire vm`
    Retire(Vm),
}

/// Kinds that `create` and `set` know; `key` can only be created.
const CREATE_KINDS: &[&str] = &[
    "workspace",
    "key",
    "model",
    "adapter",
    "engine",
    "instance",
    "service",
];
const SET_KINDS: &[&str] = &[
    "workspace",
    "model",
    "adapter",
    "engine",
    "instance",
    "service",
];

impl Command {
    /// Parses a command whose verb was taken.
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
            "create" => Self::write(Mode::Create, words.keyword(CREATE_KINDS)?, words),
            "set" => Self::write(Mode::Set, words.keyword(SET_KINDS)?, words),
            "withdraw" => {
                words.keyword(&["key"])?;
                words.name("a key").map(Self::Withdraw)
            }
            "place" => Self::place(words),
            "drain" | "undrain" => {
                words.keyword(&["endpoint"])?;
                Ok(Self::Drain(words.name("an endpoint")?, verb == "drain"))
            }
            "route" => Self::route(words),
            "unroute" => Self::unroute(words),
            "retire" => {
                words.keyword(&["vm"])?;
                words.name("a VM").map(Self::Retire)
            }
            _ => Self::remove(words),
        }
    }

    /// Parses what follows `create` or `set` and the kind.
    fn write(mode: Mode, kind: &'static str, words: &mut Words<'_>) -> Result<Self> {
        match kind {
            "workspace" => Self::workspace(mode, words),
            "key" => Self::key(words),
            "model" => Self::model(mode, words),
            "adapter" => Self::adapter(mode, words),
            "engine" => Self::engine(mode, words),
            "instance" => Self::instance(mode, words),
            _ => Self::service(mode, words),
        }
    }

    fn workspace(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a workspace")?;
        let (mut rate, mut burst, mut artifacts, mut services) = (None, None, None, None);
        while let Some(clause) = clause(words, &["rate", "burst", "models", "services"])? {
            match clause {
                "rate" => rate = Some(words.number("tokens per second", 1..=TOKENS_MAX)?),
                "burst" => burst = Some(words.number("tokens", 1..=TOKENS_MAX)?),
                "models" => artifacts = Some(selection(words, "models or adapters")?),
                _ => services = Some(selection(words, "services")?),
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

    fn key(words: &mut Words<'_>) -> Result<Self> {
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

    fn model(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a model")?;
        let (mut version, mut memory_mb, mut max_output) = (None, None, None);
        while let Some(clause) = clause(words, &["version", "memory", "max-output"])? {
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

    fn adapter(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("an adapter")?;
        let (mut base, mut version, mut memory_mb) = (None, None, None);
        while let Some(clause) = clause(words, &["on", "version", "memory"])? {
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

    fn engine(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("an endpoint")?;
        let (mut address, mut domain, mut memory_mb, mut accelerators, mut fencing) =
            (None, None, None, None, None);
        while let Some(clause) = clause(
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
                _ => fencing = Some(words.yes()?),
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

    fn instance(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("an endpoint")?;
        let (mut service, mut address, mut domain) = (None, None, None);
        while let Some(clause) = clause(words, &["of", "at", "domain"])? {
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

    fn service(mode: Mode, words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a service")?;
        let mut charge = None;
        while clause(words, &["charge"])?.is_some() {
            charge = Some(words.number("tokens", 0..=TOKENS_MAX)?);
        }
        Ok(Self::Service { mode, name, charge })
    }

    fn place(words: &mut Words<'_>) -> Result<Self> {
        let name = words.name("a model or adapter")?;
        words.keyword(&["copies"])?;
        let (min, max) = words.span("copies")?;
        let pinned = if words.accept("on") {
            selection(words, "endpoints")?.into_names()
        } else {
            Vec::new()
        };
        Ok(Self::Place(name, Place { min, max, pinned }))
    }

    fn route(words: &mut Words<'_>) -> Result<Self> {
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

    fn unroute(words: &mut Words<'_>) -> Result<Self> {
        let service = words.name("a service")?;
        let method = words.value("an HTTP method or '*'", parse_method)?;
        let prefix = words.value("a path prefix beginning with '/'", parse_prefix)?;
        Ok(Self::Unroute {
            service,
            method,
            prefix,
        })
    }

    fn remove(words: &mut Words<'_>) -> Result<Self> {
        let named =
            match words.keyword(&["workspace", "model", "adapter", "endpoint", "service"])? {
                "workspace" => Named::Workspace(words.name("a workspace")?),
                "model" => Named::Model(words.name("a model")?),
                "adapter" => Named::Adapter(words.name("an adapter")?),
                "endpoint" => Named::Endpoint(words.name("an endpoint")?),
                _ => Named::Service(words.name("a service")?),
            };
        Ok(Self::Remove(named))
    }
}

/// Takes the keyword of the next clause; `None` at the end of the clauses.
fn clause(words: &mut Words<'_>, keywords: &[&'static str]) -> Result<Option<&'static str>> {
    for keyword in keywords {
        if words.accept(keyword) {
            return Ok(Some(keyword));
        }
    }
    if words.is_done() || words.at_condition() {
        return Ok(None);
    }
    let mut expected = keywords.to_vec();
    expected.extend(["if revision", "the end of the line"]);
    words.fail(&expected)
}

/// Takes a list of names or `all`.
fn selection<T: TryFrom<String> + Ord>(words: &mut Words<'_>, what: &str) -> Result<Selection<T>> {
    Ok(words.names(what)?.map_or(Selection::All, Selection::Only))
}

/// Takes a version.
fn parse_version(words: &mut Words<'_>) -> Result<Version> {
    words.number("a version", 1..=u32::MAX).map(Version)
}

/// Takes an IP address with its port.
fn parse_address(words: &mut Words<'_>) -> Result<String> {
    let parse = |text: &str| {
        text.parse::<std::net::SocketAddr>()
            .ok()
            .map(|address| address.to_string())
    };
    words.value("an IP address and port", parse)
}

/// Parses 64 hexadecimal digits.
fn parse_digest(text: &str) -> Option<Digest> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (at, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(Digest(bytes))
}

/// Parses an HTTP method in capitals, or `*`.
fn parse_method(text: &str) -> Option<String> {
    let is_method =
        text == "*" || (!text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase()));
    is_method.then(|| text.to_owned())
}

/// Parses a path prefix.
fn parse_prefix(text: &str) -> Option<String> {
    text.starts_with('/').then(|| text.to_owned())
}
