//! Second copies in memory that nothing else wants, so that the loss of one engine leaves everything reachable.

use std::cmp::Reverse;

use crate::plan::Reason;
use crate::plan::builder::Draft;
use crate::plan::fleet::{Fleet, signed};

impl Fleet<'_> {
    /// Tells whether a spare copy at an engine leaves room for the largest item somewhere, for the next change of demand.
    fn leaves_room(&self, engine: usize, needed_mb: i64) -> bool {
        let largest = self.items.iter().map(|item| signed(item.memory_mb)).max();
        let available = |(at, here): (usize, &crate::plan::fleet::EngineState<'_>)| {
            let taken = if at == engine { needed_mb } else { 0 };
            here.is_usable() && Some(here.available_mb() - taken) >= largest
        };
        self.engines.iter().enumerate().any(available)
    }
}

impl Draft<'_, '_> {
    /// Loads a second copy of each item that has only one, those in demand first, as long as memory is free.
    ///
    /// Such copies carry little demand, so that they are the first to go where room is needed. `may_change` tells whose
    /// copies may change now: what went for room does not come back at once.
    pub(crate) fn spare(&mut self, engine_rate: u64, may_change: impl Fn(usize) -> bool) {
        // Memory is not spent on spare copies while engines are overloaded.
        let overloads = self.fleet.overloads(engine_rate);
        if overloads.iter().any(|overload| *overload > 0) {
            return;
        }
        let items = 0..self.fleet.items.len();
        let is_single = |item: &usize| {
            let more = self.fleet.items[*item].max > 1;
            more && self.fleet.expected(*item) == 1 && may_change(*item)
        };
        let mut single: Vec<usize> = items.filter(is_single).collect();
        single.sort_by_key(|item| Reverse(self.fleet.items[*item].demand));
        for item in single {
            let needed = signed(self.fleet.items[item].memory_mb);
            let engines = self.fleet.engines_for(item);
            // The first engine has the fewest copies in its failure domain.
            let fits = |at: &&usize| {
                let free = self.fleet.engines[**at].available_mb() >= needed;
                free && self.fleet.leaves_room(**at, needed)
            };
            if let Some(engine) = engines.iter().find(fits) {
                self.load(*engine, item, Reason::Spare);
            }
        }
    }
}
