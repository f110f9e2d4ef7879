//! How an entry works.

use std::time::Duration;

use quetzalpick_core::id::{Domain, Vm};
use quetzalpick_core::rate::Overdraft;
use quetzalpick_core::{election, retry, route};

/// `Options` set how an entry works.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the VM.
    pub vm: Vm,
    /// Its failure domain.
    pub domain: Domain,
    /// Longest time between the withdrawal of a key and its end.
    pub revocation: Duration,
    /// Time in which a read of the configuration waits for news; it bounds how old a fresh view is.
    pub config_wait: Duration,
    /// Pause between two reads of the endpoints.
    pub endpoints_interval: Duration,
    /// Time after an outage in which lapsed endpoints may come back.
    pub lapse_grace: Duration,
    /// Time between becoming unready and refusing new connections.
    pub unready: Duration,
    /// Longest time that a stop waits for requests under way, from its begin.
    pub stop: Duration,
    /// Time after which other VMs know of one that has joined.
    pub known: Duration,
    /// Time after which a VM that the leader has not heard is no member any more.
    pub forget: Duration,
    /// What all VMs together may overdraw of a workspace.
    pub overdraft: Overdraft,
    /// Part of each rate that is divided evenly over VMs and needs no leader, in thousandths.
    pub floor_permille: u64,
    /// The election of the leader.
    pub election: election::Options,
    /// Routing.
    pub route: route::Options,
    /// Retries that all VMs share.
    pub retry: Retries,
}

/// `Retries` bounds the requests that all VMs send once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retries {
    /// Retries for each thousand requests.
    pub ratio_permille: u64,
    /// Retries beyond that in each window.
    pub slack: u64,
    /// Length of a window.
    pub window: Duration,
}

impl Retries {
    /// Returns the part of one of `members` VMs.
    pub(crate) fn share(&self, members: usize) -> retry::Options {
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        retry::Options::share(self.ratio_permille, self.slack, window_ms, members)
    }
}

impl Options {
    /// Returns the options of a VM with everything else at its default.
    pub fn new(vm: Vm, domain: Domain) -> Self {
        Self {
            vm,
            domain,
            revocation: Duration::from_secs(5),
            config_wait: Duration::from_millis(500),
            endpoints_interval: Duration::from_millis(700),
            lapse_grace: Duration::from_secs(2),
            unready: Duration::from_millis(2_500),
            stop: Duration::from_secs(7),
            known: Duration::from_secs(5),
            forget: Duration::from_secs(60),
            overdraft: Overdraft::default(),
            floor_permille: 500,
            election: election::Options::default(),
            route: route::Options {
                slack_permille: 100,
                // The others' requests are known a few times a second, and last for about a second.
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

    /// Returns the age up to which a view of the configuration vouches for keys, in ms.
    pub fn key_age_max_ms(&self) -> u64 {
        // A tenth is left for the time from reading a request to sending it on.
        u64::try_from(self.revocation.as_millis() * 9 / 10).unwrap_or(u64::MAX)
    }
}
