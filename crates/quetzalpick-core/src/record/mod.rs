//! Records of the control stream, from which all VMs derive the same state.

pub mod byte_string;
mod claim;
mod config;
mod entry;
mod placement;
mod roster;
mod share;

pub use claim::{
    CLAIM_BODY_MAX_BYTES, CLAIM_KEY_MAX_CHARS, Claim, ClaimKey, Finish, Result as ClaimResult,
};
pub use config::{
    Adapter, Change, Digest, EndpointKind, EndpointSpec, Key, Model, Place, Route, ServiceSpec,
    WorkspaceSpec,
};
pub use entry::{Author, Entry, Record};
pub use placement::{Intent, ORDER_LATENESS_MS, Operation, Report, Settled, Settlement};
pub use roster::{Join, Retire, Role, VoterChange};
pub use share::{Declaration, Holding, PARTS_TOTAL};
