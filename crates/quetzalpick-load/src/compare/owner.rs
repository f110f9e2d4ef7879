//! The scheme in which one gate owns the bucket of a workspace and leases credits to the other gates.

use quetzalpick_core::quota::MICRO;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::compare::arrivals::{GATES, RATES};
use crate::compare::gates::burst;
use crate::compare::scheme::{MESSAGE_LOSS, Request, Scheme};

/// A lease exceeds what the request needs by one second's rate divided by this.
const LEASE_DIVISOR: u64 = 4;

/// Interval at which gates return unused credits to the owner, in ms.
const RETURN_INTERVAL_MS: u64 = 1_000;

/// Attempts to send a message before the request is refused.
const MAX_ATTEMPTS: usize = 3;

/// `OwnedBucket` holds the token bucket of one workspace and the credits that its owner has leased to each gate.
#[derive(Debug, Clone)]
struct OwnedBucket {
    level_micro: u64,
    refilled_ms: u64,
    credits: [u64; GATES],
    returned_ms: u64,
}

/// `SingleOwner` simulates gates each of which owns the buckets of some workspaces.
pub(crate) struct SingleOwner {
    workspaces: Vec<OwnedBucket>,
    /// Gate that is unreachable and not yet replaced as an owner.
    unreachable: Option<usize>,
    messages: u64,
    random: Pcg64Mcg,
}

impl SingleOwner {
    pub(crate) fn new(seed: u64) -> Self {
        let bucket = |index| OwnedBucket {
            level_micro: burst(index) * MICRO,
            refilled_ms: 0,
            credits: [0; GATES],
            returned_ms: 0,
        };
        Self {
            workspaces: (0..RATES.len()).map(bucket).collect(),
            unreachable: None,
            messages: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sends a message to the owner until both it and its answer arrive; returns false if all attempts fail.
    fn exchange(&mut self, from: usize, workspace: usize) -> bool {
        // The owner's own requests need no message.
        if from == workspace % GATES {
            return true;
        }
        let unreachable = self.unreachable == Some(workspace % GATES);
        (0..MAX_ATTEMPTS).any(|_| {
            self.messages += 2;
            !unreachable
                && !self.random.random_bool(MESSAGE_LOSS)
                && !self.random.random_bool(MESSAGE_LOSS)
        })
    }

    fn refill(&mut self, now_ms: u64, workspace: usize) {
        let bucket = &mut self.workspaces[workspace];
        let added = (now_ms - bucket.refilled_ms) * RATES[workspace] * MICRO / 1_000;
        bucket.refilled_ms = now_ms;
        bucket.level_micro = (bucket.level_micro + added).min(burst(workspace) * MICRO);
    }

    /// Leases the missing tokens and some more, if the bucket has at least the missing tokens.
    fn lease(&mut self, now_ms: u64, request: &Request, missing: u64) {
        self.refill(now_ms, request.workspace);
        let bucket = &mut self.workspaces[request.workspace];
        let wanted = missing + RATES[request.workspace] / LEASE_DIVISOR;
        let granted = wanted.min(bucket.level_micro / MICRO);
        if granted >= missing {
            bucket.level_micro -= granted * MICRO;
            bucket.credits[request.gate] += granted;
        }
    }
}

impl Scheme for SingleOwner {
    type Debit = ();

    fn admit(&mut self, now_ms: u64, request: &Request) -> Option<()> {
        let credits = |owner: &Self| owner.workspaces[request.workspace].credits[request.gate];
        let missing = request.tokens.saturating_sub(credits(self));
        if missing > 0 && self.exchange(request.gate, request.workspace) {
            self.lease(now_ms, request, missing);
        }
        let remaining = credits(self).checked_sub(request.tokens)?;
        self.workspaces[request.workspace].credits[request.gate] = remaining;
        Some(())
    }

    fn refund(&mut self, _: u64, request: &Request, (): (), unused: u64) {
        self.workspaces[request.workspace].credits[request.gate] += unused;
    }

    fn tick(&mut self, now_ms: u64) {
        for workspace in 0..self.workspaces.len() {
            if now_ms - self.workspaces[workspace].returned_ms < RETURN_INTERVAL_MS {
                continue;
            }
            self.workspaces[workspace].returned_ms = now_ms;
            self.refill(now_ms, workspace);
            for gate in 0..GATES {
                let credits = self.workspaces[workspace].credits[gate];
                // If the exchange fails, the credits stay at the gate until the next interval.
                if credits == 0 || !self.exchange(gate, workspace) {
                    continue;
                }
                let bucket = &mut self.workspaces[workspace];
                bucket.credits[gate] = 0;
                let level = bucket.level_micro + credits * MICRO;
                bucket.level_micro = level.min(burst(workspace) * MICRO);
            }
        }
    }

    fn mark_unreachable(&mut self, gate: usize) {
        self.unreachable = Some(gate);
    }

    /// Replaces an owner; the new owner has no record of what was spent, so its buckets start empty.
    fn retire(&mut self, now_ms: u64, gate: usize) {
        self.unreachable = None;
        for (index, bucket) in self.workspaces.iter_mut().enumerate() {
            bucket.credits[gate] = 0;
            if index % GATES == gate {
                bucket.level_micro = 0;
                bucket.refilled_ms = now_ms;
            }
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
