//! Options of the replica.

use std::time::Duration;

use quetzalpick_core::id::{Domain, Member};
use quetzalpick_core::record::Role;

use crate::errors::{Result, invalid};

/// Default of `Options::voters`.
pub const DEFAULT_MAX_VOTERS: usize = 21;

/// `Options` configures a replica: identity, addresses and timing.
#[derive(Debug, Clone)]
pub struct Options {
    /// Member id of this process at its start.
    pub member: Member,
    /// Role of this process.
    pub role: Role,
    /// Failure domain of this process.
    pub domain: Domain,
    /// IP address and port to listen on for peers.
    pub listen: String,
    /// IP address and port at which peers reach the listener.
    pub peer_address: String,
    /// Shared secret that authenticates calls between peers.
    pub secret: String,
    /// Addresses of peers from which the state is loaded while the log is unavailable.
    pub seeds: Vec<String>,
    /// Duration of a lease.
    pub lease: Duration,
    /// Interval between exchanges with peers.
    pub exchange_interval: Duration,
    /// Number of peers called in each exchange; `None` for all.
    pub exchange_sample: Option<usize>,
    /// Maximum number of voters, spread over the failure domains.
    pub voters: usize,
    /// Time without contact after which a peer is suspected.
    pub suspicion: Duration,
    /// Time for which the log service keeps records.
    pub log_retention: Duration,
    /// Time for which claims and command ids are kept in the state.
    pub claim_retention: Duration,
    /// Time for which a write is retried while nothing was appended; then it is answered `NotSent`.
    pub not_sent_after: Duration,
    /// Time after which a write that may have been appended is answered `Unknown`.
    pub unknown_after: Duration,
    /// Random seed of delays and command ids.
    pub seed: u64,
}

impl Options {
    /// Creates options with the default timing.
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
            voters: DEFAULT_MAX_VOTERS,
            suspicion: Duration::from_secs(3),
            log_retention: Duration::from_secs(3600),
            claim_retention: Duration::from_secs(24 * 3600),
            not_sent_after: Duration::from_secs(1),
            unknown_after: Duration::from_secs(5),
            seed: rand::random(),
        }
    }

    /// Checks that the times are consistent with each other.
    ///
    /// # Errors
    ///
    /// `Error::Invalid` names the option that is out of range.
    pub(crate) fn validate(&self) -> Result<()> {
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
