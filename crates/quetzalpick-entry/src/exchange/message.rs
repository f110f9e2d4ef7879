//! Messages between VMs.
//!
//! A new field has a default (`#[serde(default)]`) with which a receiver is safe if the sender does not know the field. A field is not
//! renamed, and a new variant of an enum is sent only once all VMs can decode it.

use quetzalpick_core::election::Heartbeat;
use quetzalpick_core::id::{
    Artifact, Domain, Endpoint, Era, Offset, Position, Service, Vm, Workspace,
};
use quetzalpick_core::limit::Need;
use quetzalpick_core::quarantine::{Answered, Crash, Feature};
use quetzalpick_core::room::{Key, Report};
use quetzalpick_core::route::pace::Sums;
use quetzalpick_node::peer::Blob;
use serde::{Deserialize, Serialize};

use crate::fleet::{Build, BuildAge, Departure, Notice, Spec};
use crate::origin::Origin;
use crate::place::Work;
use crate::quarantine::Update;
use crate::view::Change;

/// Paths of the peer listener.
pub(crate) mod path {
    /// Takes a `Status` and returns a `StatusReply`.
    pub(crate) const STATUS: &str = "/entry/status";
    /// Takes a `DrawRequest` and returns a `DrawResult`.
    pub(crate) const DRAW: &str = "/entry/draw";
    /// Takes a `DrawRequest` and returns the number of units lent.
    pub(crate) const LEND: &str = "/entry/lend";
    /// Takes an `OriginReport` and returns whether it was applied.
    pub(crate) const ORIGINS: &str = "/entry/origins";
    /// Takes an `OriginRequest` and returns an `OriginReply`.
    pub(crate) const ORIGIN: &str = "/entry/origin";
    /// Takes a `PermitRequest` and returns a `PermitResult`.
    pub(crate) const PERMIT: &str = "/entry/permit";
    /// Takes a `PermitRequest` for an endpoint that is cold; VMs of former versions would grant any number.
    pub(crate) const COLD_PERMIT: &str = "/entry/cold-permit";
    /// Takes a `RoomUpdate` and returns whether the receiver leads.
    pub(crate) const ROOM: &str = "/entry/room";
    /// Takes an `AdapterRequest` and returns an `AdapterReply`.
    pub(crate) const ADAPTER: &str = "/entry/want";
}

/// `DrawRequest` requests units of a workspace's rate from the leader or from another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DrawRequest {
    pub(crate) workspace: Workspace,
    pub(crate) units: u64,
}

/// `DrawResult` states whether the leader granted a `DrawRequest`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DrawResult {
    /// The units belong to the sender, to be spent once.
    #[serde(rename = "Taken")]
    Granted,
    /// The units may be available after this time, in ms.
    #[serde(rename = "Short")]
    Insufficient(u64),
    /// The receiver does not lead, is not ready to act as leader yet, or has no rate limit for the workspace.
    NotLeading,
}

/// `PermitRequest` requests the permit for one request to an endpoint that names a limit or may fall over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// The limit as known to the sender.
    pub(crate) limit: Notice,
    /// What becomes of the request without a permit.
    pub(crate) need: Need,
    /// Set if the endpoint may fall over, so that the request needs room there.
    #[serde(default)]
    pub(crate) room: Option<RoomDraw>,
}

/// `RoomDraw` draws room for a request at an endpoint that may fall over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoomDraw {
    /// The sender.
    pub(crate) vm: Vm,
    /// What it has in flight there.
    pub(crate) report: Report,
}

/// `RoomUpdate` tells the leader what changed at endpoints that may fall over, before the next status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoomUpdate {
    /// The sender.
    pub(crate) vm: Vm,
    /// What it has in flight at these endpoints; sorted.
    pub(crate) reports: Vec<(Key, Report)>,
    /// What endpoints said recently.
    pub(crate) limits: Vec<Notice>,
}

/// `PermitResult` states whether the leader granted a `PermitRequest`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PermitResult {
    /// The request may be sent now.
    Granted,
    /// A permit may be available after this time, in ms.
    Unavailable(u64),
    /// The receiver does not lead.
    NotLeading,
}

/// `Status` reports a VM's load, demand and known versions to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) vm: Vm,
    /// IP address and port for calls from other VMs.
    pub(crate) address: String,
    /// Fencing number of the leader whose reply it applied last.
    pub(crate) fence: u64,
    /// Version of the copies that it has from that leader.
    #[serde(rename = "copies")]
    pub(crate) copies_version: u64,
    /// Version of the endpoints that it has from that leader.
    #[serde(rename = "endpoints")]
    pub(crate) endpoints_version: u64,
    /// Version of the configuration that it has.
    #[serde(rename = "config")]
    pub(crate) config_version: u64,
    /// Requests in flight, by endpoint.
    pub(crate) loads: Vec<(Endpoint, u32)>,
    /// Endpoints that may be gone or restarted, judging by recent failures.
    #[serde(default, rename = "doubted")]
    pub(crate) suspected: Vec<Endpoint>,
    /// Demand, by model and adapter.
    pub(crate) work: Vec<(Artifact, Work)>,
    /// Limits of endpoints that changed recently.
    pub(crate) limits: Vec<Notice>,
    /// Endpoints that ended while they ran requests, unless the leader was told.
    pub(crate) crashes: Vec<Crash>,
    /// Answers to requests with the features about which the leader asks.
    pub(crate) answered: Vec<Answered>,
    /// Version of the quarantined features that it has from that leader.
    pub(crate) quarantine_version: u64,
    /// Whether it reaches no endpoints itself.
    pub(crate) is_disconnected: bool,
    /// Whether it understands a `ViewRelay` with a change in place of a record.
    #[serde(default)]
    pub(crate) accepts_changes: bool,
    /// Endpoints that said in answers that they leave, unless their entries say so too.
    #[serde(default)]
    pub(crate) departures: Vec<Departure>,
    /// Requests in flight at endpoints that may fall over; sorted.
    #[serde(default)]
    pub(crate) rooms: Vec<(Key, Report)>,
    /// Prompt tokens of the requests without a first event, in the order of `loads`; empty if they are not counted.
    #[serde(default)]
    pub(crate) prompts: Vec<u64>,
    /// How long endpoints took since the last status, relative to what is usual.
    #[serde(default)]
    pub(crate) observed: Vec<(Endpoint, Sums)>,
    /// Version of the paces that it has from that leader.
    #[serde(default)]
    pub(crate) paces_version: u64,
}

/// `PacesUpdate` lists the paces of endpoints where they changed since the receiver's version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PacesUpdate {
    pub(crate) version: u64,
    /// Paces in thousandths of the usual one of the endpoint's service, with the wall-clock time of its start, in ms since 1970.
    pub(crate) rows: Vec<(Endpoint, Option<u64>, u64)>,
}

/// `CopiesVersion` identifies the version of the copies that a VM has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CopiesVersion {
    /// Fencing number of the leader that it received them from.
    pub(crate) fence: u64,
    /// Version under that leader.
    pub(crate) version: u64,
}

/// `CopiesUpdate` lists the copies of the engines where they changed since the receiver's version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CopiesUpdate {
    #[serde(rename = "known")]
    pub(crate) version: CopiesVersion,
    /// Copies that serve at each of these engines.
    pub(crate) rows: Vec<(Endpoint, Vec<Artifact>)>,
}

/// `ViewRelay` passes on the configuration that the leader has read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ViewRelay {
    /// The record that holds the configuration, if the receiver's is older and it does not accept changes.
    pub(crate) record: Option<Blob>,
    /// Time since the leader sent its last read that reached the end of the topic, in ms.
    pub(crate) age_ms: u64,
    /// The change to the configuration, if the receiver's is older and it accepts changes.
    #[serde(default)]
    pub(crate) change: Option<Change>,
    /// Whether the receiver must read the configuration itself, as its version is older and the change is too large.
    #[serde(default)]
    pub(crate) needs_read: bool,
    /// Offset in the topic after that read.
    #[serde(default)]
    pub(crate) next: Option<Offset>,
    /// Era of that offset; without it the offset is not used.
    #[serde(default)]
    pub(crate) era: Option<Era>,
    /// The evacuated failure domains as of that read; `None` if the sender does not know of evacuations.
    #[serde(default)]
    pub(crate) evacuated: Option<Vec<Domain>>,
}

impl ViewRelay {
    /// Returns the position in the topic after the leader's read, if it named one.
    pub(crate) fn position(&self) -> Option<Position> {
        let (offset, era) = self.next.zip(self.era)?;
        Some(Position { era, offset })
    }
}

/// `EndpointsRelay` passes on the entries of endpoints that the leader has read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndpointsRelay {
    pub(crate) version: u64,
    /// Whether `rows` lists all endpoints; otherwise those it omits haven't changed since the receiver's version.
    #[serde(rename = "whole")]
    pub(crate) complete: bool,
    /// Endpoints with their entries; `None` for those that are gone.
    pub(crate) rows: Vec<(Endpoint, Option<Spec>)>,
    /// Limits of these endpoints.
    pub(crate) limits: Vec<Notice>,
    /// For how long the leader has known the builds of all services, if `rows` lists all endpoints.
    #[serde(default)]
    pub(crate) builds: Vec<BuildAge>,
}

/// `StatusReply` answers a `Status` with the leader's state, as far as it changed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StatusReply {
    /// Heartbeat of the leader's term; `None` if the receiver of the status does not lead.
    #[serde(rename = "word")]
    pub(crate) heartbeat: Option<Heartbeat>,
    /// The leader's fencing number.
    pub(crate) fence: u64,
    /// Requests in flight of the other VMs, by endpoint.
    pub(crate) loads: Vec<(Endpoint, u32)>,
    /// Prompt tokens of those of them without a first event, in the order of `loads`; empty if there are none.
    #[serde(default)]
    pub(crate) prompts: Vec<u64>,
    /// Paces that changed; without rows it confirms those that the receiver has. `None` while the leader knows none.
    #[serde(default)]
    pub(crate) paces: Option<PacesUpdate>,
    /// Copies of engines, if they changed.
    pub(crate) copies: Option<CopiesUpdate>,
    pub(crate) view: Option<ViewRelay>,
    /// Entries of endpoints, if they changed.
    pub(crate) endpoints: Option<EndpointsRelay>,
    /// Number of VMs; a lower bound if `members_unread` is set.
    pub(crate) members: u64,
    /// Whether the leader has not read the list of members yet, nor was told their number.
    #[serde(default)]
    pub(crate) members_unread: bool,
    /// IP addresses and ports of some other VMs.
    pub(crate) peers: Vec<String>,
    /// Whether the status's sender is in the list of members; `None` if the leader hasn't read the list.
    pub(crate) listed: Option<bool>,
    /// IP address and port of the VM that keeps what the leader knows of streams, if the leader is lost.
    pub(crate) deputy: Option<String>,
    /// Time since the leader sent its last read of all entries, in ms.
    pub(crate) endpoints_age_ms: Option<u64>,
    /// Features of requests that may crash endpoints: the leader asks whether requests with them were answered.
    pub(crate) suspects: Vec<Feature>,
    /// The quarantined features, if they changed.
    pub(crate) quarantine: Option<Update>,
}

impl StatusReply {
    /// Returns the number of VMs, if the leader knows it.
    pub(crate) fn member_count(&self) -> Option<usize> {
        let count = usize::try_from(self.members).unwrap_or(usize::MAX);
        (!self.members_unread).then_some(count)
    }
}

/// `OriginReport` tells a registrar where streams of the sender began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginReport {
    /// Origins, each with the attempts that began a stream there.
    pub(crate) rows: Vec<(Origin, Vec<String>)>,
}

/// `OriginRequest` asks where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginRequest {
    pub(crate) service: Service,
    /// Attempt that began the stream, if the caller named it.
    pub(crate) attempt: Option<String>,
}

/// `OriginReply` answers an `OriginRequest`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginReply {
    /// Where the stream began, if the receiver knows it.
    pub(crate) origin: Option<Origin>,
    /// Builds at which recent streams of the service may have begun, as far as the receiver knows.
    pub(crate) builds: Vec<Build>,
    /// Whether it knows all of them.
    #[serde(default)]
    pub(crate) is_complete: bool,
}

/// `AdapterRequest` requests an adapter that no engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdapterRequest {
    pub(crate) adapter: Artifact,
    /// Version of the copies that the sender has.
    #[serde(rename = "known")]
    pub(crate) copies_version: CopiesVersion,
}

/// `AdapterReply` is sent once an engine holds the adapter, or after a time limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdapterReply {
    /// Current copies of engines, if they changed.
    pub(crate) copies: Option<CopiesUpdate>,
}
