//! The limit in force of an endpoint, and over what time it is kept.

use crate::limit::Rate;

/// Time whose permits may be saved where a limit is kept over some seconds, in ms.
const AVERAGED_BURST_MS: u64 = 1_000;

/// Time whose permits may be saved where a limit is kept in every second, in ms: requests that were granted apart may arrive
/// together.
const EVEN_BURST_MS: u64 = 125;

/// Fraction of a limit that all VMs without a leader use together, in thousandths: a leader that they cannot reach may go on
/// granting the whole of it to the others.
const AVERAGED_LEADERLESS_PERMILLE: u64 = 500;

/// The same fraction where the limit is kept in every second, as shares are rounded at random and many
/// may fall into one second.
const EVEN_LEADERLESS_PERMILLE: u64 = 125;

/// `Spacing` tells over what time a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spacing {
    /// Over some seconds; the permits of one second may be saved.
    Averaged,
    /// In every second.
    Even,
}

impl Spacing {
    /// Returns the time whose permits may be saved, in ms.
    pub(crate) fn burst_ms(self) -> u64 {
        match self {
            Self::Averaged => AVERAGED_BURST_MS,
            Self::Even => EVEN_BURST_MS,
        }
    }

    /// Returns the fraction of a limit that all VMs without a leader use together, in thousandths.
    pub(crate) fn leaderless_permille(self) -> u64 {
        match self {
            Self::Averaged => AVERAGED_LEADERLESS_PERMILLE,
            Self::Even => EVEN_LEADERLESS_PERMILLE,
        }
    }
}

/// `Limit` is the limit in force of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests that it takes from all VMs together.
    pub rate: Rate,
    /// Over what time that is kept.
    pub spacing: Spacing,
}

impl Limit {
    /// Creates the limit of an endpoint that is cold.
    pub fn even(rate: Rate) -> Self {
        Self {
            rate,
            spacing: Spacing::Even,
        }
    }

    /// Combines a limit that an endpoint names and the one in force while it is cold.
    pub fn combined(named: Option<Rate>, cold: Option<Rate>) -> Option<Self> {
        match (named, cold) {
            (Some(named), Some(cold)) => Some(Self::even(named.min(cold))),
            (None, Some(cold)) => Some(Self::even(cold)),
            (Some(named), None) => Some(named.into()),
            (None, None) => None,
        }
    }
}

/// A rate that an endpoint names is kept over some seconds.
impl From<Rate> for Limit {
    fn from(rate: Rate) -> Self {
        Self {
            rate,
            spacing: Spacing::Averaged,
        }
    }
}
