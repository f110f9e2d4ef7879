//! Settings of a simulated run: what crashes endpoints, how often, and when VMs report.

use quetzalpick_core::quarantine::Feature;

/// Time without bad requests at the beginning, in ms.
pub(crate) const WARM_UP_MS: u64 = 12_000;

/// `Kind` determines which parts crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A middle part that no sound request has.
    Extra,
    /// A first part that was sound before.
    Turned,
    /// Two middle parts.
    Two,
    /// One request, again and again, which crashes endpoints before its first event or, with odd seeds, some time after it.
    Repeated,
    /// A middle part, and one request with other parts.
    PartAndRequest,
    /// A middle part, while a third of the endpoints crash at once for another reason.
    Mixed,
    /// None; endpoints crash for other reasons, one by one and a third of them at once.
    Ordinary,
}

/// `Protocol` determines when VMs send a status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// At intervals.
    Periodic,
    /// Also at once after a crash, and after a reply that names a new suspect that the VM has seen answered.
    Prompt,
}

/// `Scenario` holds the settings of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) kind: Kind,
    pub(crate) protocol: Protocol,
    pub(crate) vms: usize,
    /// Requests a second with each bad part.
    pub(crate) bad_per_s: f64,
    pub(crate) seed: u64,
}

impl Scenario {
    pub(crate) fn endpoints(&self) -> usize {
        if self.vms < 20 { 16 } else { 48 }
    }

    pub(crate) fn interval_ms(&self) -> u64 {
        (5 * self.vms as u64).max(250)
    }

    pub(crate) fn bad_features(&self) -> Vec<Feature> {
        match self.kind {
            Kind::Extra | Kind::Mixed => vec![Feature::Part(0xbad)],
            Kind::Turned => vec![first_part(0)],
            Kind::Two => vec![Feature::Part(0xbad), Feature::Part(0xbadd)],
            Kind::Repeated => vec![Feature::Request(0xbad)],
            Kind::PartAndRequest => vec![Feature::Part(0xbad), Feature::Request(0xbad)],
            Kind::Ordinary => Vec::new(),
        }
    }

    /// Returns whether a third of the endpoints crash at this time for another reason.
    pub(crate) fn has_outage(&self, now_ms: u64) -> bool {
        match self.kind {
            Kind::Ordinary => now_ms >= WARM_UP_MS && now_ms.is_multiple_of(6_000),
            Kind::Mixed => now_ms == WARM_UP_MS + 500,
            _ => false,
        }
    }
}

pub(crate) fn first_part(number: u64) -> Feature {
    Feature::Part(0xf0 + number)
}

pub(crate) fn second_part(number: u64) -> Feature {
    Feature::Part(0x5000 + number)
}
