//! Contact with a dependency: lost and regained once each.

/// `Contact` tells when a dependency is lost and when it is back, so that each is logged once.
#[derive(Debug)]
pub(crate) struct Contact {
    what: &'static str,
    /// Since when it has not answered, in ms.
    lost_ms: Option<u64>,
}

impl Contact {
    /// Starts in contact.
    pub(crate) fn new(what: &'static str) -> Self {
        let lost_ms = None;
        Self { what, lost_ms }
    }

    /// Notes an answer; returns how long the dependency was away, in ms, if it was.
    pub(crate) fn answered(&mut self, now_ms: u64) -> Option<u64> {
        let away_ms = now_ms.saturating_sub(self.lost_ms.take()?);
        log::info!("view: dependency={} regained away_ms={away_ms}", self.what);
        Some(away_ms)
    }

    /// Notes a call without an answer.
    pub(crate) fn failed(&mut self, now_ms: u64, error: &impl std::fmt::Display) {
        if self.lost_ms.is_none() {
            log::warn!("view: dependency={} lost reason=\"{error}\"", self.what);
            self.lost_ms = Some(now_ms);
        }
    }
}
