//! The headroom of a bucket, capacity less level, since an earlier point in its history.
//!
//! A refund must not raise the level above what it would be if the tokens had never been charged. Without the charge
//! the level would have been higher by the refund all along, and would have reached the capacity sooner. So a refund
//! is limited by the least headroom since the charge.

/// Maximum number of minima stored; beyond it, the two closest are merged, which can only make refunds smaller.
const MINIMA_MAX: usize = 64;

/// `Minimum` is a recorded headroom that is smaller than all later ones, with its sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Minimum {
    sequence: u64,
    headroom: u128,
}

/// `HeadroomHistory` stores the suffix minima of the headroom, oldest first; sequence number and headroom increase.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct HeadroomHistory {
    minima: Vec<Minimum>,
    next_sequence: u64,
}

impl HeadroomHistory {
    /// Records the current headroom.
    pub(crate) fn record(&mut self, headroom: u128) {
        while self
            .minima
            .last()
            .is_some_and(|minimum| minimum.headroom >= headroom)
        {
            self.minima.pop();
        }
        let sequence = self.next_sequence;
        self.minima.push(Minimum { sequence, headroom });
        self.next_sequence += 1;
        if self.minima.len() > MINIMA_MAX {
            self.merge_closest();
        }
    }

    /// Returns the sequence number of the next record.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the least headroom recorded at or after a sequence number.
    pub(crate) fn min_since(&self, sequence: u64) -> u128 {
        let index = self.first_since(sequence);
        self.minima.get(index).map_or(0, |minimum| minimum.headroom)
    }

    /// Accounts for a refund: the headroom since the sequence number is reduced by the amount.
    pub(crate) fn lower_since(&mut self, sequence: u64, amount: u128) {
        let index = self.first_since(sequence);
        for minimum in &mut self.minima[index..] {
            minimum.headroom = minimum.headroom.saturating_sub(amount);
        }
        // Older records that are no longer smaller than the lowered ones are no suffix minima any more.
        let Some(lowest) = self.minima.get(index).map(|minimum| minimum.headroom) else {
            return;
        };
        let keep = self.minima[..index].partition_point(|minimum| minimum.headroom < lowest);
        self.minima.drain(keep..index);
    }

    /// Returns the index of the first minimum at or after a sequence number.
    fn first_since(&self, sequence: u64) -> usize {
        self.minima
            .partition_point(|minimum| minimum.sequence < sequence)
    }

    /// Merges the two adjacent minima with the smallest difference, keeping the smaller headroom for both.
    fn merge_closest(&mut self) {
        let gaps = self
            .minima
            .windows(2)
            .map(|pair| pair[1].headroom - pair[0].headroom);
        let closest = gaps.enumerate().min_by_key(|(_, gap)| *gap);
        let Some((index, _)) = closest else {
            return;
        };
        self.minima[index].sequence = self.minima[index + 1].sequence;
        self.minima.remove(index + 1);
    }
}
