//! Where streams began, so that a stream that its caller takes up goes on at the build that began it.
//!
//! Each VM remembers the streams that it began. While a service runs several builds, it also tells the leader and the
//! leader's deputy, so that the knowledge outlives the VM. The leader stores it in a topic, so that it outlives all VMs.

mod attempt;
mod origins;
mod recent;
mod stored;
mod unstored;

use quetzalpick_core::id::Service;
use serde::{Deserialize, Serialize};

use crate::fleet::Build;

pub use origins::Origins;
pub(crate) use origins::StoredOrigin;
pub(crate) use stored::{Stored, StoredRow};

/// `Origin` names the service and the build at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the endpoint.
    pub service: Service,
    /// Version of the endpoint's software.
    pub build: Build,
}
