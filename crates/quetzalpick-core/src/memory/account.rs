//! The number of bytes that are taken, which counts what was handed out and nothing else.

/// `Taken` holds bytes of an account. Only an account hands it out, and giving it back consumes it, so that nothing comes back twice
/// or without having been taken.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "bytes that are dropped stay taken"]
pub struct Taken {
    bytes: u64,
}

/// `Account` counts the bytes that are taken.
#[derive(Debug, Default)]
pub(super) struct Account {
    held_bytes: u64,
    peak_bytes: u64,
}

impl Taken {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds other bytes of the same account.
    pub(super) fn merge(&mut self, other: Self) {
        self.bytes += other.bytes;
    }

    /// Splits off what is above a number of bytes.
    pub(super) fn split_above(&mut self, bytes: u64) -> Self {
        let kept = self.bytes.min(bytes);
        let above = self.bytes - kept;
        self.bytes = kept;
        Self { bytes: above }
    }
}

impl Account {
    /// Returns the bytes that are taken now.
    pub(super) fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the largest number of bytes that were taken at once.
    pub(super) fn peak_bytes(&self) -> u64 {
        self.peak_bytes
    }

    /// Takes bytes.
    pub(super) fn take(&mut self, bytes: u64) -> Taken {
        self.held_bytes += bytes;
        self.peak_bytes = self.peak_bytes.max(self.held_bytes);
        Taken { bytes }
    }

    /// Takes bytes back.
    pub(super) fn give_back(&mut self, taken: Taken) {
        self.held_bytes -= taken.bytes;
    }
}
