//! Options of an entry.

use std::time::Duration;

use quetzalpick_core::id::{Domain, Vm};
use quetzalpick_core::rate::Overdraft;
use quetzalpick_core::{election, retry, route};

/// `Options` holds the identity of a VM and the tuning parameters of its entry.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the VM.
    pub vm: Vm,
    /// Its failure domain.
    pub domain: Domain,
    /// Longest time for which a revoked key is still accepted.
    pub revocation: Duration,
    /// Time after which an evacuated failure domain must get no requests.
    pub evacuation: Duration,
    /// Time for which a read of the configuration waits for new records; it bounds the age of a current view.
    pub config_wait: Duration,
    /// Pause between two reads of the endpoints topic.
    pub endpoints_interval: Duration,
    /// Time after an outage of the log service in which endpoints may renew expired entries.
    pub expiry_grace: Duration,
    /// Time between becoming unready and refusing new connections.
    pub unready_delay: Duration,
    /// Longest time that a stop waits for requests in flight, measured from its start.
    pub stop_timeout: Duration,
    /// Time after which all other VMs count a VM that joined.
    pub join_delay: Duration,
    /// Time without a status at the leader after which a VM is removed from the members.
    pub member_timeout: Duration,
    /// Units that all VMs together may overdraw for a workspace.
    pub overdraft: Overdraft,
    /// Share of each rate that is divided evenly among the VMs and needs no leader, in thousandths.
    pub floor_permille: u64,
    /// Options of the leader election.
    pub election: election::Options,
    /// Options of endpoint selection.
    pub route: route::Options,
    /// Retry budget that all VMs share.
    pub retry: Retries,
}

/// `Retries` limits the requests that all VMs together send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retries {
    /// Retries for each thousand requests.
    pub ratio_permille: u64,
    /// Additional retries in each window.
    pub slack: u64,
    /// Length of a window.
    pub window: Duration,
}

impl Retries {
    /// Returns the share of one of `members` VMs.
    pub(crate) fn share(&self, members: usize) -> retry::Options {
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        retry::Options::share(self.ratio_permille, self.slack, window_ms, members)
    }
}

impl Options {
    /// Returns the default options for a VM.
    pub fn new(vm: Vm, domain: Domain) -> Self {
        Self {
            vm,
            domain,
            revocation: Duration::from_secs(5),
            evacuation: Duration::ZERO,
            config_wait: Duration::from_millis(500),
            endpoints_interval: Duration::from_millis(700),
            expiry_grace: Duration::from_secs(2),
            unready_delay: Duration::from_millis(2_500),
            stop_timeout: Duration::from_secs(7),
            join_delay: Duration::from_secs(5),
            member_timeout: Duration::from_secs(60),
            overdraft: Overdraft::default(),
            floor_permille: 500,
            election: election::Options::default(),
            route: route::Options {
                slack_permille: 100,
                // The loads of the other VMs arrive a few times a second, and their requests take about a second.
                report_age_ms: 4_000,
                ..route::Options::default()
            },
            retry: Retries {
                ratio_permille: 170,
                slack: 50,
                window: Duration::from_secs(10),
            },
        }
    }

    /// Returns the age up to which a view of the configuration may be used to check keys, in ms.
    pub fn key_age_max_ms(&self) -> u64 {
        // A tenth is reserved for the time from reading a request to forwarding it.
        u64::try_from(self.revocation.as_millis() * 9 / 10).unwrap_or(u64::MAX)
    }
}
