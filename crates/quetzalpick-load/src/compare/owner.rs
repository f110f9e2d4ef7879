//! One owner a workspace, which leases credits to the gates.

use quetzalpick_core::quota::MICRO;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::compare::arrivals::{GATES, RATES};
use crate::compare::gates::burst;
use crate::compare::scheme::{LOSS, Request, Scheme};

/// Part of a second's rate that is leased beyond what a request needs.
const LEASE_DIVISOR: u64 = 4;

/// Time after which a gate gives back credits that it did not spend, in ms.
const RETURN_MS: u64 = 1_000;

/// Tries of one message before a request is refused.
const TRIES: usize = 3;

/// `Owned` is the bucket of one workspace at its owner, with the credits that gates hold.
#[derive(Debug, Clone)]
struct Owned {
    level_micro: u64,
    filled_ms: u64,
    credits: [u64; GATES],
    returned_ms: u64,
}

/// `Owner` is a fleet of gates each of which owns some workspaces.
pub(crate) struct Owner {
    workspaces: Vec<Owned>,
    /// The gate that is lost and not yet replaced as an owner.
    lost: Option<usize>,
    messages: u64,
    random: Pcg64Mcg,
}

impl Owner {
    pub(crate) fn new(seed: u64) -> Self {
        let owned = |at| Owned {
            level_micro: burst(at) * MICRO,
            filled_ms: 0,
            credits: [0; GATES],
            returned_ms: 0,
        };
        Self {
            workspaces: (0..RATES.len()).map(owned).collect(),
            lost: None,
            messages: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sends a message and its answer until both arrive; `false` if none of the tries does.
    fn call(&mut self, from: usize, workspace: usize) -> bool {
        // The owner's own requests need no message.
        if from == workspace % GATES {
            return true;
        }
        let lost = self.lost == Some(workspace % GATES);
        (0..TRIES).any(|_| {
            self.messages += 2;
            !lost && !self.random.random_bool(LOSS) && !self.random.random_bool(LOSS)
        })
    }

    fn fill(&mut self, now_ms: u64, workspace: usize) {
        let owned = &mut self.workspaces[workspace];
        let added = (now_ms - owned.filled_ms) * RATES[workspace] * MICRO / 1_000;
        owned.filled_ms = now_ms;
        owned.level_micro = (owned.level_micro + added).min(burst(workspace) * MICRO);
    }

    /// Leases what a request lacks and some more, as far as the bucket has it.
    fn lease(&mut self, now_ms: u64, request: &Request, missing: u64) {
        self.fill(now_ms, request.workspace);
        let owned = &mut self.workspaces[request.workspace];
        let wanted = missing + RATES[request.workspace] / LEASE_DIVISOR;
        let granted = wanted.min(owned.level_micro / MICRO);
        if granted >= missing {
            owned.level_micro -= granted * MICRO;
            owned.credits[request.gate] += granted;
        }
    }
}

impl Scheme for Owner {
    type Receipt = ();

    fn admit(&mut self, now_ms: u64, request: &Request) -> Option<()> {
        let credits = |owner: &Self| owner.workspaces[request.workspace].credits[request.gate];
        let missing = request.tokens.saturating_sub(credits(self));
        if missing > 0 && self.call(request.gate, request.workspace) {
            self.lease(now_ms, request, missing);
        }
        let left = credits(self).checked_sub(request.tokens)?;
        self.workspaces[request.workspace].credits[request.gate] = left;
        Some(())
    }

    fn refund(&mut self, _: u64, request: &Request, (): (), unused: u64) {
        self.workspaces[request.workspace].credits[request.gate] += unused;
    }

    fn tick(&mut self, now_ms: u64) {
        for workspace in 0..self.workspaces.len() {
            if now_ms - self.workspaces[workspace].returned_ms < RETURN_MS {
                continue;
            }
            self.workspaces[workspace].returned_ms = now_ms;
            self.fill(now_ms, workspace);
            for gate in 0..GATES {
                let credits = self.workspaces[workspace].credits[gate];
                // Credits of a lost message stay at the gate until the next time.
                if credits == 0 || !self.call(gate, workspace) {
                    continue;
                }
                let owned = &mut self.workspaces[workspace];
                owned.credits[gate] = 0;
                let level = owned.level_micro + credits * MICRO;
                owned.level_micro = level.min(burst(workspace) * MICRO);
            }
        }
    }

    fn lose(&mut self, gate: usize) {
        self.lost = Some(gate);
    }

    /// Another gate becomes the owner; it does not know what was spent, so its bucket begins empty.
    fn retire(&mut self, now_ms: u64, gate: usize) {
        self.lost = None;
        for (at, owned) in self.workspaces.iter_mut().enumerate() {
            owned.credits[gate] = 0;
            if at % GATES == gate {
                owned.level_micro = 0;
                owned.filled_ms = now_ms;
            }
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
