//! Messages between VMs, in MessagePack.

use quetzalpick_core::election::Heartbeat;
use quetzalpick_core::id::{Artifact, Endpoint, Vm, Workspace};
use quetzalpick_node::peer::Blob;
use serde::{Deserialize, Serialize};

use crate::fleet::Spec;
use crate::place::Work;

/// Paths of the peer listener.
pub(crate) mod path {
    /// Takes a `Status` and answers a `Reply`.
    pub(crate) const STATUS: &str = "/entry/status";
    /// Takes a `Draw` and answers a `Drawn`.
    pub(crate) const DRAW: &str = "/entry/draw";
    /// Takes a `Draw` and answers the units that are lent.
    pub(crate) const LEND: &str = "/entry/lend";
    /// Takes a `Want` and answers a `Wanted`.
    pub(crate) const WANT: &str = "/entry/want";
}

/// `Draw` asks for units of a workspace's rate that the leader keeps, or that another VM has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Draw {
    pub(crate) workspace: Workspace,
    pub(crate) units: u64,
}

/// `Drawn` answers a `Draw`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Drawn {
    /// The units are the asker's, to be spent once.
    Taken,
    /// They may be there after this time, in ms.
    Short(u64),
    /// The VM asked does not lead, or may not act yet.
    NotLeading,
}

/// `Status` is what a VM tells the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) vm: Vm,
    /// IP address and port at which the other VMs reach it.
    pub(crate) address: String,
    /// Fencing number of the leader that it last took word from.
    pub(crate) fence: u64,
    /// Version of the copies that it knows from that leader.
    pub(crate) copies: u64,
    /// Version of the endpoints that it knows from that leader.
    pub(crate) endpoints: u64,
    /// Version of the configuration that it knows.
    pub(crate) config: u64,
    /// Requests under way, by endpoint.
    pub(crate) loads: Vec<(Endpoint, u32)>,
    /// Endpoints that may be gone, or have started anew, by what it met a short time ago.
    #[serde(default, rename = "doubted")]
    pub(crate) suspected: Vec<Endpoint>,
    /// Demand, by model and adapter.
    pub(crate) work: Vec<(Artifact, Work)>,
}

/// `Known` is what a VM knows of the copies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Known {
    /// Fencing number of the leader that it knows them from.
    pub(crate) fence: u64,
    /// Their version.
    pub(crate) version: u64,
}

/// `Copies` is what engines hold, by the leader's account, of those where that changed since the version that the asker knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Copies {
    pub(crate) known: Known,
    /// What serves at each engine.
    pub(crate) rows: Vec<(Endpoint, Vec<Artifact>)>,
}

/// `ViewRelay` passes on what the leader has read of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ViewRelay {
    /// The record that holds the configuration, if the asker's is older.
    pub(crate) record: Option<Blob>,
    /// Time since the send of the leader's last read that reached the end, in ms.
    pub(crate) age_ms: u64,
}

/// `EndpointsRelay` passes on the entries of endpoints that the leader has read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndpointsRelay {
    pub(crate) version: u64,
    /// Whether those that are not named are gone; otherwise they are as they were at the version that the asker knows.
    pub(crate) whole: bool,
    /// Endpoints, and what they say of themselves; `None` for those that are gone.
    pub(crate) rows: Vec<(Endpoint, Option<Spec>)>,
}

/// `Reply` is what the leader answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Reply {
    /// What the leader says of its term; `None` if the VM asked does not lead.
    #[serde(rename = "word")]
    pub(crate) heartbeat: Option<Heartbeat>,
    /// Its fencing number.
    pub(crate) fence: u64,
    /// Requests of the other VMs under way, by endpoint.
    pub(crate) loads: Vec<(Endpoint, u32)>,
    /// What engines hold, if that changed.
    pub(crate) copies: Option<Copies>,
    pub(crate) view: Option<ViewRelay>,
    /// Entries of endpoints, if they changed.
    pub(crate) endpoints: Option<EndpointsRelay>,
    /// Number of VMs.
    pub(crate) members: u64,
    /// IP addresses and ports of some other VMs.
    pub(crate) peers: Vec<String>,
    /// Whether the asker is in the list of members; `None` if the leader does not know.
    pub(crate) listed: Option<bool>,
}

/// `Want` asks for an adapter that no engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Want {
    pub(crate) adapter: Artifact,
    /// What the asker knows of the copies.
    pub(crate) known: Known,
}

/// `Wanted` answers once an engine holds the adapter, or none will soon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Wanted {
    /// What engines hold now, if that changed.
    pub(crate) copies: Option<Copies>,
}
