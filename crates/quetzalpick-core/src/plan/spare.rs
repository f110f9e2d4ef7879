//! Second copies in memory that nothing else wants, so that the loss of one engine leaves everything reachable.

use std::cmp::Reverse;

use crate::plan::Reason;
use crate::plan::draft::Draft;
use crate::plan::fleet::signed;

impl Draft<'_, '_> {
    /// Loads a second copy of each item that has only one, those in demand first, as long as memory is free.
    ///
    /// Such copies carry little demand, so that they are the first to go where room is needed.
    pub(crate) fn spare(&mut self) {
        let items = 0..self.fleet.items.len();
        let is_single =
            |item: &usize| self.fleet.expected(*item) == 1 && self.fleet.items[*item].max > 1;
        let mut single: Vec<usize> = items.filter(is_single).collect();
        single.sort_by_key(|item| Reverse(self.fleet.items[*item].demand));
        for item in single {
            let needed = signed(self.fleet.items[item].memory_mb);
            let sites = self.fleet.sites_for(item);
            // The first site has the fewest copies in its failure domain.
            let fits = |at: &&usize| self.fleet.sites[**at].available_mb() >= needed;
            if let Some(site) = sites.iter().find(fits) {
                self.load(*site, item, Reason::Spare);
            }
        }
    }
}
