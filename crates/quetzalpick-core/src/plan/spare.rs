//! Second copies in otherwise unused memory, so that all items stay reachable when one engine fails.

use std::cmp::Reverse;

use crate::plan::Reason;
use crate::plan::builder::PlanBuilder;
use crate::plan::fleet::{Fleet, signed};

impl Fleet<'_> {
    /// Returns whether some engine still has memory for the largest item after a spare copy is loaded, in case demand
    /// changes.
    fn leaves_space_for_largest(&self, engine: usize, needed_mb: i64) -> bool {
        let largest = self.items.iter().map(|item| signed(item.memory_mb)).max();
        let fits_largest = |(index, here): (usize, &crate::plan::fleet::EngineState<'_>)| {
            let taken_mb = if index == engine { needed_mb } else { 0 };
            here.is_usable() && Some(here.available_mb() - taken_mb) >= largest
        };
        self.engines.iter().enumerate().any(fits_largest)
    }
}

impl PlanBuilder<'_, '_> {
    /// Loads a second copy of each item that has only one, highest demand first, as long as memory is free.
    ///
    /// Spare copies serve little demand and are therefore evicted first when memory is needed. `may_change` returns
    /// whether the copies of an item may change now, so that an evicted copy is not reloaded at once.
    pub(crate) fn add_spare_copies(
        &mut self,
        engine_rate: u64,
        may_change: impl Fn(usize) -> bool,
    ) {
        // Spare copies take no memory while engines are overloaded.
        let overloads = self.fleet.overloads(engine_rate);
        if overloads.iter().any(|overload| *overload > 0) {
            return;
        }
        let items = 0..self.fleet.items.len();
        let is_single = |item: &usize| {
            let allows_more = self.fleet.items[*item].max > 1;
            allows_more && self.fleet.expected_copies(*item) == 1 && may_change(*item)
        };
        let mut single: Vec<usize> = items.filter(is_single).collect();
        single.sort_by_key(|item| Reverse(self.fleet.items[*item].demand));
        for item in single {
            let needed_mb = signed(self.fleet.items[item].memory_mb);
            let engines = self.fleet.engines_for(item);
            // The engines are sorted by copies in the failure domain, fewest first.
            let fits = |engine: &&usize| {
                let fits_now = self.fleet.engines[**engine].available_mb() >= needed_mb;
                fits_now && self.fleet.leaves_space_for_largest(**engine, needed_mb)
            };
            if let Some(engine) = engines.iter().find(fits) {
                self.load(*engine, item, Reason::Spare);
            }
        }
    }
}
