//! Options of the replica.

use std::time::Duration;

use quetzalpick_core::id::{Domain, Member};
use quetzalpick_core::record::Role;

use crate::errors::{Result, invalid};

/// Most members that vote, unless set otherwise.
pub const VOTERS_MAX: usize = 21;

/// `Options` are the settings of a replica.
#[derive(Debug, Clone)]
pub struct Options {
    /// This process.
    pub member: Member,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: Domain,
    /// IP address and port to listen on for peers.
    pub listen: String,
    /// IP address and port at which peers reach the listener.
    pub peer_address: String,
    /// Secret that all processes share.
    pub secret: String,
    /// Addresses of peers to ask for a state while the log is out.
    pub seeds: Vec<String>,
    /// How long a lease lasts.
    pub lease: Duration,
    /// Interval of the exchange with peers.
    pub exchange_interval: Duration,
    /// Peers called in each exchange; `None` for all.
    pub exchange_sample: Option<usize>,
    /// Most members that vote, spread over the failure domains.
    pub voters: usize,
    /// Silence after which a peer is suspected.
    pub suspicion: Duration,
    /// How long the log service keeps records.
    pub log_retention: Duration,
    /// How long claims and command ids are remembered.
    pub claim_retention: Duration,
    /// How long a write is tried while nothing was appended.
    pub not_sent_after: Duration,
    /// How long a write that may have been appended is awaited.
    pub unknown_after: Duration,
    /// Seed of delays and command ids.
    pub seed: u64,
}

impl Options {
    /// Makes options for a process with default times.
    pub fn new(
        member: Member,
        role: Role,
        domain: Domain,
        peer_address: impl Into<String>,
    ) -> Self {
        let peer_address = peer_address.into();
        Self {
            member,
            role,
            domain,
            listen: peer_address.clone(),
            peer_address,
            secret: String::new(),
            seeds: Vec::new(),
            lease: Duration::from_secs(5),
            exchange_interval: Duration::from_secs(1),
            exchange_sample: None,
            voters: VOTERS_MAX,
            suspicion: Duration::from_secs(3),
            log_retention: Duration::from_secs(3600),
            claim_retention: Duration::from_secs(24 * 3600),
            not_sent_after: Duration::from_secs(1),
            unknown_after: Duration::from_secs(5),
            seed: rand::random(),
        }
    }

    /// Checks that the times fit together.
    ///
    /// # Errors
    ///
    /// `Error::Invalid` names the option that does not.
    pub(crate) fn check(&self) -> Result<()> {
        if self.exchange_interval.is_zero() || self.exchange_interval * 2 > self.lease {
            return Err(invalid(
                "exchange interval",
                "must be 0 < interval <= lease / 2",
            ));
        }
        if self.exchange_interval * 2 > self.suspicion {
            return Err(invalid(
                "suspicion",
                "must be twice the exchange interval or more",
            ));
        }
        Ok(())
    }
}
