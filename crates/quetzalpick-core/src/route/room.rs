//! Whether an endpoint has room for one more request.
//!
//! The load that this answers: more requests than endpoints take for some seconds, as when a burst meets crashed engines, or a
//! model with too few copies. An engine reads prompts one after the other and works on a batch; once many requests wait for
//! that, every answer is late, though the engine gives as many as before. Of the requests that are offered to an engine, so many
//! are sent that few wait there. As VMs know of each other with a delay, each sends a part that is drawn at random, in place of
//! all or none.

/// Runs after which an older one counts for little.
const MEMORY: f64 = 100.0;

/// Time in which an endpoint is to come to the requests that may wait there, in ms: longer than the delay with which VMs know
/// of each other.
const HORIZON_MS: f64 = 500.0;

const MS_PER_S: f64 = 1_000.0;

/// Part by which the time to the first token that few are below moves with each that is above; those below move it so much
/// more that one of ten is.
const STEP: f64 = 0.01;

/// Times that a prompt takes to be read, against the time to the first token that few are below.
const TYPICAL: f64 = 1.5;

/// Requests that wait, from which on it shows how long each prompt is read.
const QUEUED_MIN: u64 = 3;

/// Shortest time in which a prompt is read, in ms.
const READ_MIN_MS: f64 = 5.0;

/// `Pace` is how fast the endpoints of a service take requests, by those that were answered.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pace {
    run_ms: f64,
    runs: f64,
    /// Time to the first token that one of ten is below, in ms: these waited for nobody.
    first_ms: Option<f64>,
    /// Time to the first token for each request that waited before, in ms, where some did.
    read_ms: Option<f64>,
}

impl Pace {
    /// Notes that a request ran for `took_ms` after its first token.
    pub fn ran(&mut self, took_ms: u64) {
        self.runs = (self.runs + 1.0).min(MEMORY);
        self.run_ms += (took_ms as f64 - self.run_ms) / self.runs;
    }

    /// Notes that the first token came `took_ms` after the request was sent, when the endpoint was thought to have this crowd.
    pub fn began(&mut self, took_ms: u64, crowd: &Crowd) {
        let took_ms = took_ms.max(1) as f64;
        // With places free, requests wait for the prompts before their own only.
        if crowd.waiting >= QUEUED_MIN && crowd.free_slots() > 0 {
            let each_ms = took_ms / (crowd.waiting + 1) as f64;
            let read_ms = self.read_ms.get_or_insert(each_ms);
            *read_ms += (each_ms - *read_ms) / MEMORY;
        }
        let first_ms = self.first_ms.unwrap_or(took_ms);
        let moved = if took_ms < first_ms {
            first_ms * (1.0 - 9.0 * STEP)
        } else {
            first_ms * (1.0 + STEP)
        };
        self.first_ms = Some(moved.max(1.0));
    }

    /// Returns the time in which a prompt is read, in ms, as far as is known.
    fn read_ms(&self) -> Option<f64> {
        let guess = self.first_ms.map(|first_ms| first_ms * TYPICAL);
        Some(self.read_ms.or(guess)?.max(READ_MIN_MS))
    }
}

/// `Offers` is how often an endpoint was the choice for a request, whether that was sent there or not.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Offers {
    count: u32,
    per_s: f64,
    turned_ms: u64,
}

impl Offers {
    /// Makes a count that begins now.
    pub fn since(now_ms: u64) -> Self {
        Self {
            turned_ms: now_ms,
            ..Self::default()
        }
    }

    /// Notes an offer.
    pub fn note(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Takes in the offers since the last turn; returns how many there are a second.
    pub fn turn(&mut self, now_ms: u64) -> u32 {
        let elapsed_ms = now_ms.saturating_sub(self.turned_ms) as f64;
        if elapsed_ms >= 1.0 {
            let seen = f64::from(std::mem::take(&mut self.count)) * MS_PER_S / elapsed_ms;
            let part = (elapsed_ms / HORIZON_MS).min(1.0);
            self.per_s += (seen - self.per_s) * part;
            self.turned_ms = now_ms;
        }
        self.per_s()
    }

    /// Returns how many there were a second at the last turn.
    pub fn per_s(&self) -> u32 {
        self.per_s.round() as u32
    }
}

/// `Crowd` is what is known of the requests for an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Crowd {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it has.
    pub requests: u64,
    /// Of these, the streams that have no first token yet.
    pub waiting: u64,
    /// Requests that are offered to it each second.
    pub offered_per_s: u64,
}

impl Crowd {
    fn free_slots(&self) -> u64 {
        u64::from(self.slots).saturating_sub(self.requests)
    }
}

/// Tells whether a request that may wait for `wait_max_ms` is sent to an endpoint that it is offered to; `random` is drawn anew
/// for each.
pub fn has_room(pace: &Pace, wait_max_ms: u64, crowd: &Crowd, random: u64) -> bool {
    let part = sent_part(pace, wait_max_ms, crowd);
    part >= 1.0 || (random as f64) < part * u64::MAX as f64
}

/// Returns the part of the offered requests that is sent.
fn sent_part(pace: &Pace, wait_max_ms: u64, crowd: &Crowd) -> f64 {
    let Some(read_ms) = pace.read_ms().filter(|_| pace.runs > 0.0) else {
        return 1.0;
    };
    if crowd.slots == 0 {
        return 1.0;
    }
    let place_ms = (pace.run_ms / f64::from(crowd.slots)).max(1.0);
    let may_wait = wait_max_ms as f64 / read_ms.max(place_ms) - crowd.waiting as f64;
    let read_per_ms = 1.0 / read_ms + may_wait / HORIZON_MS;
    let placed_per_ms = 1.0 / place_ms + (may_wait + crowd.free_slots() as f64) / HORIZON_MS;
    let wanted_per_s = read_per_ms.min(placed_per_ms) * MS_PER_S;
    (wanted_per_s / crowd.offered_per_s.max(1) as f64).max(0.0)
}
