//! The VM list: `GET /vms` answers `List`.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// `Status` is what the platform last knew of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// It runs.
    Live,
    /// It is to be stopped.
    Leaving,
}

/// `Vm` is one row of the list: an entry VM or the VM of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM, for an endpoint that of the endpoint.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// IP address, for an endpoint with its port.
    pub address: String,
    /// What the platform last knew.
    pub status: Status,
}

/// `List` is the VM list, which lags.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The VMs.
    pub vms: Vec<Vm>,
}
