//! The VMs that keep the origins of streams: the leader and its deputy.

/// Most addresses that are remembered.
const RECENT_MAX: usize = 6;

/// `Registrars` holds the addresses of the leader and its deputy, and of those before them.
#[derive(Debug, Default)]
pub(crate) struct Registrars {
    leader: Option<String>,
    deputy: Option<String>,
    /// Newest last; includes the present registrars.
    recent: Vec<String>,
}

impl Registrars {
    /// Replaces the leader, `None` if this VM leads, and the deputy; a leader without a deputy leaves the former one.
    pub(crate) fn update(&mut self, leader: Option<String>, deputy: Option<String>) {
        for address in [&leader, &deputy].into_iter().flatten() {
            self.recent.retain(|recent| recent != address);
            self.recent.push(address.clone());
        }
        let surplus = self.recent.len().saturating_sub(RECENT_MAX);
        self.recent.drain(..surplus);
        self.leader = leader;
        self.deputy = deputy.or(self.deputy.take());
    }

    /// Returns the addresses of the present registrars.
    pub(crate) fn present(&self) -> Vec<String> {
        let mut present: Vec<String> = self.leader.iter().chain(&self.deputy).cloned().collect();
        present.dedup();
        present
    }

    /// Returns the addresses of the present registrars and those before them.
    pub(crate) fn recent(&self) -> &[String] {
        &self.recent
    }
}
