//! Changes of endpoints.

use std::net::SocketAddr;

use crate::id::Endpoint;
use crate::record::{EndpointKind, EndpointSpec};
use crate::state::catalog::Catalog;
use crate::state::catalog::artifact::MEMORY_MAX_MB;
use crate::state::catalog::change::check_range;
use crate::state::ledger::Ledger;
use crate::state::outcome::{Reason, conflict, invalid, unknown};

/// Most accelerators of one endpoint.
const ACCELERATORS_MAX: u32 = 1 << 16;

/// Checks that a text is an IP address with a port other than 0.
pub(crate) fn check_address(address: &str) -> Result<(), Reason> {
    let parsed = address.parse::<SocketAddr>();
    let usable = parsed.is_ok_and(|address| address.port() != 0);
    if usable {
        return Ok(());
    }
    let shown: String = address.chars().take(64).collect();
    Err(invalid(format!("'{shown}' is not an IP address and port")))
}

impl Catalog {
    /// Creates or changes an endpoint.
    pub(super) fn set_endpoint(
        &mut self,
        name: &Endpoint,
        spec: &EndpointSpec,
        ledger: &Ledger,
    ) -> Result<(), Reason> {
        check_address(&spec.address)?;
        self.check_address_unused(name, &spec.address)?;
        if let Some(former) = self.endpoints.get(name) {
            self.check_kind(name, &former.kind, &spec.kind)?;
        }
        // A new address means another engine, so the copies of the former one are removed.
        let moved = self.changes_address(name, spec);
        if moved {
            ledger.check_removal(self, name)?;
        }
        match &spec.kind {
            EndpointKind::Engine {
                accelerators,
                memory_mb,
                ..
            } => {
                check_range("accelerators", *accelerators, 1..=ACCELERATORS_MAX)?;
                check_range("memory_mb", *memory_mb, 1..=MEMORY_MAX_MB)?;
                // Memory of loaded copies and open loads stays committed.
                let used_mb = ledger.used_mb(name);
                if !moved && *memory_mb < used_mb {
                    return Err(conflict(format!(
                        "{used_mb} MB are loaded or promised at endpoint {name}"
                    )));
                }
            }
            EndpointKind::Service { service } => {
                if !self.services.contains(service) {
                    return Err(unknown("service", service));
                }
            }
        }
        self.endpoints.insert(name.clone(), spec.clone());
        Ok(())
    }

    /// Returns whether a change gives an existing endpoint another address.
    pub(crate) fn changes_address(&self, name: &Endpoint, spec: &EndpointSpec) -> bool {
        let former = self.endpoints.get(name);
        former.is_some_and(|former| former.address != spec.address)
    }

    /// Checks that no other endpoint has the address.
    fn check_address_unused(&self, name: &Endpoint, address: &str) -> Result<(), Reason> {
        let mut others = self.endpoints.iter().filter(|(other, _)| *other != name);
        match others.find(|(_, other)| other.address == address) {
            Some((other, _)) => Err(conflict(format!("endpoint {other} has this address"))),
            None => Ok(()),
        }
    }

    /// Checks that an endpoint keeps its kind; to change the kind, it has to be removed and created again.
    fn check_kind(
        &self,
        name: &Endpoint,
        former: &EndpointKind,
        kind: &EndpointKind,
    ) -> Result<(), Reason> {
        let same = std::mem::discriminant(former) == std::mem::discriminant(kind);
        if same {
            return Ok(());
        }
        Err(conflict(format!("endpoint {name} is of kind {former}")))
    }

    /// Removes an endpoint that no copy is pinned to and that holds no last copy.
    pub(super) fn remove_endpoint(
        &mut self,
        name: &Endpoint,
        ledger: &Ledger,
    ) -> Result<(), Reason> {
        if !self.endpoints.contains(name) {
            return Err(unknown("endpoint", name));
        }
        let is_pinned = |pinned: &[Endpoint]| pinned.binary_search(name).is_ok();
        let mut places = self.places.iter();
        if let Some((artifact, _)) = places.find(|(_, place)| is_pinned(&place.pinned)) {
            return Err(conflict(format!("{artifact} is pinned to {name}")));
        }
        ledger.check_removal(self, name)?;
        self.endpoints.remove(name);
        Ok(())
    }

    /// Sets whether an endpoint is draining.
    pub(super) fn drain(&mut self, name: &Endpoint, draining: bool) -> Result<(), Reason> {
        let spec = self.endpoints.get_mut(name);
        let spec = spec.ok_or_else(|| unknown("endpoint", name))?;
        spec.draining = draining;
        Ok(())
    }
}
