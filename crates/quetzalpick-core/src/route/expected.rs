//! The choice by when the first event of a request would come.

use crate::id::Endpoint;
use crate::route::choose::{Chooser, draw};
use crate::route::health::WEIGHT_FULL;
use crate::route::pace::USUAL_PERMILLE;
use crate::route::prompts::TOKENS_PER_REQUEST;

/// Thousandths of a whole.
const PERMILLE: u64 = 1_000;

/// Excess of the fastest pace over the slowest from which paces differ notably, in thousandths.
const UNEVEN_PERMILLE: u64 = 250;

/// Share of long prompts in the work from which they are kept apart, in thousandths.
const LONG_NOTABLE_PERMILLE: u64 = 50;

/// Additional cost of a candidate that is preferred for the other kind of prompts, in thousandths of its expected time: it counts as
/// half as fast, so that it is used only if the others have about twice its load.
const OTHER_KIND_PERMILLE: u64 = 1_000;

/// Work of a step that does not depend on the requests of the batch, in thousandths of its slots: reading the weights.
const BATCH_PERMILLE: u64 = 1_000;

/// Occupied slots from which a request may have to wait for one, in thousandths: reports lag.
const FULL_PERMILLE: u64 = 700;

/// What a request that waits for a slot costs, in requests of the batch: it waits for the end of another one, not for a step.
const WAITING_FACTOR: u64 = 8;

/// Start and factor of the FNV-1a hash.
const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_FACTOR: u64 = 0x0100_0000_01b3;

/// Most prompt tokens to read that are told apart, so that sums stay far from their bounds.
const READING_MAX: u64 = 1 << 32;

/// Candidates drawn in the caller's failure domain, and in others.
const NEAR_DRAWS: u32 = 2;
const FAR_DRAWS: u32 = 2;

/// Additional cost of a candidate in another failure domain, in thousandths of its expected time: the traffic between domains is avoided
/// at the price of a moderate wait, but not of one behind a full batch.
const FAR_PERMILLE: u64 = 400;

impl Chooser<'_> {
    /// Returns whether the request has a prompt, and the paces of the candidates or the prompts of the service differ notably.
    pub(super) fn is_uneven(&self, usable: &[usize]) -> bool {
        if self.prompt.tokens == 0 {
            return false;
        }
        if self.splits_prompts() {
            return true;
        }
        let paces = || usable.iter().map(|i| self.candidates[*i].pace_permille);
        let (slowest, fastest) = (paces().min(), paces().max());
        let spread = slowest.zip(fastest);
        spread.is_some_and(|(slowest, fastest)| {
            fastest * PERMILLE > slowest * (PERMILLE + UNEVEN_PERMILLE)
        })
    }

    /// Returns the candidate with the earliest expected first event among a few drawn ones.
    ///
    /// All VMs have the same reports, so that the best candidate of all would get what all of them send until the next report.
    pub(super) fn earliest(&self, usable: &[usize], random: u64) -> usize {
        let (near, far): (Vec<usize>, Vec<usize>) = usable
            .iter()
            .copied()
            .partition(|index| self.is_near(*index));
        let groups = [(near, NEAR_DRAWS, 0), (far, FAR_DRAWS, FAR_PERMILLE)];
        let mut bits = random;
        let mut best = None;
        for (among, draws, extra) in groups.iter().filter(|(among, ..)| !among.is_empty()) {
            for _ in 0..*draws {
                let index = draw(among, bits);
                bits = bits.rotate_right(16);
                let expected = self.expected(index);
                let cost = (expected + expected * extra / PERMILLE, index);
                best = Some(best.map_or(cost, |best| cost.min(best)));
            }
        }
        best.map_or(usable[0], |(_, index)| index)
    }

    /// Returns the expected time until the first event, in thousandths of what one request of a batch adds at the usual pace.
    ///
    /// A step of a batch takes longer the more requests it has, and a prompt is read in pieces between steps. Requests beyond the
    /// slots wait until others end. Own requests in flight are known exactly; others as of the last report.
    fn expected(&self, index: usize) -> u64 {
        let candidate = &self.candidates[index];
        let load = candidate.load;
        let slots = u64::from(candidate.slots.max(1));
        let requests = u64::from(load.in_flight) * PERMILLE
            + self.aged(load, u64::from(load.reported) * PERMILLE);
        let reading = load
            .own_prompt
            .saturating_add(self.aged(load, load.reported_prompt))
            .saturating_add(self.prompt.tokens)
            .min(READING_MAX);
        let waiting = (requests + PERMILLE).saturating_sub(slots * FULL_PERMILLE);
        let work = slots * BATCH_PERMILLE
            + requests
            + PERMILLE
            + waiting * WAITING_FACTOR
            + reading * PERMILLE / TOKENS_PER_REQUEST;
        let weight = candidate.health.weight(self.now_ms, &self.options.health);
        let pace = candidate.pace_permille * weight / WEIGHT_FULL;
        let time = work * USUAL_PERMILLE / pace.max(1);
        if self.splits_prompts() && self.prompt.is_long != self.draws_long(candidate.endpoint) {
            time + time * OTHER_KIND_PERMILLE / PERMILLE
        } else {
            time
        }
    }

    /// Returns whether different endpoints are preferred for long and for short prompts.
    fn splits_prompts(&self) -> bool {
        self.prompt.long_permille >= LONG_NOTABLE_PERMILLE
    }

    /// Returns whether an endpoint is preferred for long prompts, by a hash of its name, so that all VMs agree without a message.
    ///
    /// The part of the endpoints that is preferred for them is about their share of the work. A report is too old to show where a prompt is
    /// being read.
    fn draws_long(&self, endpoint: &Endpoint) -> bool {
        let name = endpoint.as_str().bytes();
        let hash = name.fold(HASH_START, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(HASH_FACTOR)
        });
        (hash >> 20) % PERMILLE < self.prompt.long_permille
    }
}
