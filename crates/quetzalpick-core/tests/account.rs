//! What a budget holds is the sum of what lives, whatever is refused, lost or given back.

use quetzalpick_core::memory::{Budget, Grant, Holder, Kind, Taken};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LIMIT_BYTES: u64 = 1 << 20;
const SEEDS: u64 = 200;
const STEPS: u64 = 500;
const STEP_MS: u64 = 100;

/// `Model` lists what lives.
#[derive(Default)]
struct Model {
    holdings: Vec<(Holder, u64)>,
    /// Holders that lost their bytes and have not closed.
    lost: Vec<Holder>,
    buffered: Vec<Taken>,
}

impl Model {
    fn held_bytes(&self) -> u64 {
        let holdings = self.holdings.iter().map(|(_, bytes)| bytes);
        let buffered = self.buffered.iter().map(Taken::bytes);
        holdings.sum::<u64>() + buffered.sum::<u64>()
    }

    fn evict(&mut self, grant: &Grant) {
        self.holdings
            .retain(|(holder, _)| !grant.evicted.contains(holder));
        self.lost.extend(&grant.evicted);
    }
}

/// Plays random steps; returns whether the bytes held were the sum of what lives after each, and how often bytes were refused or lost.
fn play(seed: u64, forgets: bool) -> (bool, usize, usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (mut budget, mut model) = (Budget::new(LIMIT_BYTES), Model::default());
    let (mut is_equal, mut refused, mut lost) = (true, 0, 0);
    for now_ms in (0..STEPS).map(|step| step * STEP_MS) {
        let bytes = 1 << random.random_range(8..19);
        let some = random.random_range(0..=usize::MAX);
        let any = (!model.holdings.is_empty()).then(|| some % model.holdings.len());
        let before = (model.lost.len(), budget.usage());
        let mut was_refused = false;
        let kind = [Kind::Body, Kind::Answer, Kind::Control][some % 3];
        match (random.random_range(0..9), any) {
            (0 | 1, _) => match budget.open_as(now_ms, kind, bytes) {
                Some(grant) => {
                    model.evict(&grant);
                    model.holdings.push((grant.holder, bytes));
                }
                None => was_refused = true,
            },
            (2, Some(index)) => match budget.grow(now_ms, model.holdings[index].0, bytes) {
                Some(grant) => {
                    model.holdings[index].1 += bytes;
                    model.evict(&grant);
                }
                None => was_refused = true,
            },
            (3, Some(index)) => {
                let (holder, held) = &mut model.holdings[index];
                budget.shrink_to(*holder, bytes);
                *held = bytes.min(*held);
            }
            (4, Some(index)) => budget.record(now_ms, model.holdings[index].0, bytes),
            (5, Some(index)) => assert!(budget.complete(model.holdings[index].0)),
            (6, Some(index)) => budget.close(model.holdings.swap_remove(index).0),
            (7, _) => match budget.buffer(bytes / 8) {
                Some(taken) => model.buffered.push(taken),
                None => was_refused = true,
            },
            (8, _) if !model.buffered.is_empty() => {
                let taken = model.buffered.swap_remove(some % model.buffered.len());
                // A naive shell drops what was taken.
                if !forgets {
                    budget.unbuffer(taken);
                }
            }
            _ => {
                // What is lost is given back once more by its holder, and changes nothing.
                model.lost.iter().for_each(|holder| {
                    budget.shrink_to(*holder, 0);
                    budget.close(*holder);
                    assert!(!budget.complete(*holder));
                });
            }
        }
        let held = budget.usage().held_bytes;
        assert!(!was_refused || held == before.1.held_bytes);
        is_equal &= held == model.held_bytes();
        refused += usize::from(was_refused);
        lost += model.lost.len() - before.0;
    }
    let Model {
        holdings, buffered, ..
    } = model;
    holdings
        .into_iter()
        .for_each(|(holder, _)| budget.close(holder));
    buffered
        .into_iter()
        .for_each(|taken| budget.unbuffer(taken));
    is_equal &= budget.usage().held_bytes == 0;
    (is_equal, refused, lost)
}

#[test]
fn held_bytes_are_the_sum_of_what_lives_after_each_step() {
    let (mut refused, mut lost) = (0, 0);
    for seed in 0..SEEDS {
        let (is_equal, of_seed, lost_of_seed) = play(seed, false);
        assert!(is_equal, "seed {seed}");
        refused += of_seed;
        lost += lost_of_seed;
    }
    // The plays are about these.
    assert!(refused > 1_000 && lost > 100, "{refused} {lost}");
}

#[test]
fn bytes_that_are_not_given_back_are_noticed() {
    assert!((0..SEEDS).all(|seed| !play(seed, true).0));
}
