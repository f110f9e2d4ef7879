//! Wire types of the VM list: `GET /vms` answers `List`.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// `Status` is the latest state of a VM that the platform has observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// `Vm` describes an entry VM or an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the entry VM or of the endpoint.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// IP address of the entry VM, or IP address and port of the endpoint.
    pub address: String,
    /// Latest status that the platform has observed.
    pub status: Status,
}

/// `List` holds the VM list, which lags behind changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Entry VMs and endpoints.
    pub vms: Vec<Vm>,
}
