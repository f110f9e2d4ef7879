//! An oracle of spending: one exact token bucket for the admissions of all gates.

use quetzalpick_core::quota::MICRO;

/// `Event` is a change of the limits or an admission, to be replayed by the oracle.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Greatest rate and burst that any gate may still use.
    Spec { rate: u64, burst: u64 },
    /// An admission, by its number.
    Spend { number: usize },
}

/// `Oracle` replays admissions against one token bucket for all gates.
///
/// The bucket admits a sequence if and only if every window spends at most burst + rate x window.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    events: Vec<(u64, Event)>,
    /// Tokens used by each admission: those charged less those refunded as unused.
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

    /// Returns the greatest excess of admitted tokens over the bucket, in micro-tokens.
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
                    rate: new_rate,
                    burst: new_burst,
                } => {
                    level += i128::from(new_burst.saturating_sub(burst)) * micro;
                    level = level.min(i128::from(*new_burst) * micro);
                    (rate, burst) = (*new_rate, *new_burst);
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
