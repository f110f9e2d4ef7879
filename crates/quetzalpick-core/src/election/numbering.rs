//! Fencing numbers that go on rising after the log was restored from an older copy.

use serde::{Deserialize, Serialize};

use crate::id::{Era, Offset};

/// Distance between the numbers of two eras. It exceeds all offsets and refusals of one era, so that a number is above those of claims
/// that a restore has lost; 8,192 eras fit into the integers that a JSON number holds exactly.
const ERA_STEP: u64 = 1 << 40;

/// Distance to the numbers that a leader uses after one of its own was refused; it exceeds all offsets of one era.
const REFUSAL_STEP: u64 = 1 << 32;

/// `Numbering` states how the fencing numbers of a term follow from offsets of the log, which are given out again after a restore.
///
/// A number is the sum of a base and an offset. The base rises with each era, by the number of eras that lie between a claim and the
/// newest one before it that the log still holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Numbering {
    /// Era of the claim.
    pub era: Era,
    /// Number that is added to offsets.
    pub base: u64,
}

impl Numbering {
    /// Returns the numbering of the first claim in a log that holds none: it may have lost claims of all former eras.
    pub(crate) fn first(era: Era) -> Self {
        let base = era.0.saturating_mul(ERA_STEP);
        Self { era, base }
    }

    /// Returns the numbering of claims of former versions of the program, which name none.
    pub(crate) fn unnamed(era: Era) -> Self {
        Self { era, base: 0 }
    }

    /// Returns the numbering of a claim in an era, the same one or a later one.
    pub(crate) fn in_era(self, era: Era) -> Self {
        let eras = era.0.saturating_sub(self.era.0);
        Self {
            era: era.max(self.era),
            base: self.base.saturating_add(eras.saturating_mul(ERA_STEP)),
        }
    }

    /// Returns the numbering after a number was refused though no other claim is known.
    pub(crate) fn after_refusal(self) -> Self {
        let base = self.base.saturating_add(REFUSAL_STEP);
        Self { base, ..self }
    }

    /// Returns the fencing number of the term that begins at an offset.
    pub(crate) fn fence(self, first: Offset) -> u64 {
        self.base.saturating_add(first.0).saturating_add(1)
    }
}
