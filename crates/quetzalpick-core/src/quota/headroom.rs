//! The room that a bucket had since an earlier point in its history.
//!
//! A refund must not bring the bucket above where it would be if the tokens had never been charged. Without the charge
//! the level would have been higher by the refund all along, and the fill would have overflowed sooner. So a refund
//! is limited by the least room between cap and level since the charge.

/// Most points remembered; the closest ones are merged beyond it, which can only make refunds smaller.
const POINTS_MAX: usize = 64;

/// `Point` is a moment at which the room was smaller than at any later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Point {
    sequence: u64,
    room: u128,
}

/// `Headroom` remembers the suffix minima of the room, oldest first, so both fields grow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Headroom {
    points: Vec<Point>,
    next: u64,
}

impl Headroom {
    /// Notes the present room.
    pub(crate) fn note(&mut self, room: u128) {
        while self.points.last().is_some_and(|point| point.room >= room) {
            self.points.pop();
        }
        let sequence = self.next;
        self.points.push(Point { sequence, room });
        self.next += 1;
        if self.points.len() > POINTS_MAX {
            self.merge_closest();
        }
    }

    /// Returns the sequence that the next noted point gets.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Returns the least room noted at or after a sequence.
    pub(crate) fn least_since(&self, sequence: u64) -> u128 {
        let at = self.first_since(sequence);
        self.points.get(at).map_or(0, |point| point.room)
    }

    /// Takes a refund into account: the level counts as higher ever since the sequence.
    pub(crate) fn lower_since(&mut self, sequence: u64, amount: u128) {
        let at = self.first_since(sequence);
        for point in &mut self.points[at..] {
            point.room = point.room.saturating_sub(amount);
        }
        // Older points that are no longer smaller than the lowered ones are not minima any more.
        let Some(lowest) = self.points.get(at).map(|point| point.room) else {
            return;
        };
        let keep = self.points[..at].partition_point(|point| point.room < lowest);
        self.points.drain(keep..at);
    }

    fn first_since(&self, sequence: u64) -> usize {
        self.points
            .partition_point(|point| point.sequence < sequence)
    }

    /// Lets one point stand for its successor too, where that loses the least room.
    fn merge_closest(&mut self) {
        let gaps = self
            .points
            .windows(2)
            .map(|pair| pair[1].room - pair[0].room);
        let closest = gaps.enumerate().min_by_key(|(_, gap)| *gap);
        let Some((at, _)) = closest else {
            return;
        };
        self.points[at].sequence = self.points[at + 1].sequence;
        self.points.remove(at + 1);
    }
}
