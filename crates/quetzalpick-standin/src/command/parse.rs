//! Parsers for option values with several comma-separated fields.

use std::net::SocketAddr;

use quetzalpick_client::wire::engine::{Action, Copy, Order};
use quetzalpick_client::wire::vms::{Status, Vm};

/// Parses `NAME,DOMAIN,ADDRESS`.
pub(crate) fn parse_vm(text: &str, status: Status) -> Result<Vm, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let [name, domain, address] = parts[..] else {
        return Err("expected NAME,DOMAIN,ADDRESS".to_owned());
    };
    if [name, domain, address].iter().any(|part| part.is_empty()) {
        return Err("no part may be empty".to_owned());
    }
    Ok(Vm {
        name: name.to_owned(),
        domain: domain.to_owned(),
        address: address.to_owned(),
        status,
    })
}

/// Parses `ARTIFACT,VERSION,MB[,BASE]` into an order that loads the copy.
pub(crate) fn parse_copy(text: &str) -> Result<Order, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let (artifact, version, memory_mb, base) = match parts[..] {
        [artifact, version, memory_mb] => (artifact, version, memory_mb, None),
        [artifact, version, memory_mb, base] => (artifact, version, memory_mb, Some(base)),
        _ => return Err("expected ARTIFACT,VERSION,MB or ARTIFACT,VERSION,MB,BASE".to_owned()),
    };
    let copy = Copy {
        artifact: artifact.to_owned(),
        version: version.parse().map_err(|e| format!("version: {e}"))?,
        memory_mb: memory_mb.parse().map_err(|e| format!("memory: {e}"))?,
    };
    Ok(Order {
        fencing: 0,
        action: Action::Load,
        copy,
        base: base.map(str::to_owned),
    })
}

/// Returns the value of an address option, which has a default.
pub(crate) fn address(matches: &clap::ArgMatches, name: &str) -> SocketAddr {
    *matches
        .get_one(name)
        .expect("the option has a default value")
}
