//! The oracle: one exact token bucket over all admissions of the fleet.

use quetzalpick_core::quota::MICRO;

/// `Event` is something that the oracle replays.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Greatest rate and burst that any gate may still go by.
    Spec { rate: u64, burst: u64 },
    /// An admission, by its number.
    Spend { number: usize },
}

/// `Oracle` replays what was admitted against one bucket that holds for the whole fleet.
///
/// The bucket admits a sequence exactly if every window spends at most burst + rate x window.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    events: Vec<(u64, Event)>,
    /// Tokens really used by each admission: charged less unused.
    used: Vec<u64>,
    spec: Option<(u64, u64)>,
}

impl Oracle {
    pub(crate) fn set_spec(&mut self, now_ms: u64, rate: u64, burst: u64) {
        if self.spec != Some((rate, burst)) {
            self.spec = Some((rate, burst));
            self.events.push((now_ms, Event::Spec { rate, burst }));
        }
    }

    pub(crate) fn spend(&mut self, now_ms: u64, tokens: u64) -> usize {
        let number = self.used.len();
        self.used.push(tokens);
        self.events.push((now_ms, Event::Spend { number }));
        number
    }

    pub(crate) fn refund(&mut self, number: usize, unused: u64) {
        self.used[number] -= unused;
    }

    /// Returns the tokens admitted beyond the bucket at the worst moment, in micro-tokens.
    pub(crate) fn excess_micro(&self) -> i128 {
        let micro = i128::from(MICRO);
        let (mut rate, mut burst, mut level, mut at_ms) = (0, 0, 0, 0);
        let mut worst = 0;
        for (now_ms, event) in &self.events {
            level = (level + i128::from(rate) * 1_000 * i128::from(now_ms - at_ms))
                .min(i128::from(burst) * micro);
            at_ms = *now_ms;
            match event {
                Event::Spec {
                    rate: new,
                    burst: most,
                } => {
                    level += i128::from(most.saturating_sub(burst)) * micro;
                    level = level.min(i128::from(*most) * micro);
                    (rate, burst) = (*new, *most);
                }
                Event::Spend { number } => level -= i128::from(self.used[*number]) * micro,
            }
            worst = worst.max(-level);
        }
        worst
    }

    pub(crate) fn admissions(&self) -> usize {
        self.used.len()
    }
}
