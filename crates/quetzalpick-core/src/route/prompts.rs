//! Long and short prompts of a service.

/// Requests over which the prompts of a service are learned.
const SPAN: f64 = 500.0;

/// Requests without which nothing is told about a service.
const KNOWN_MIN: f64 = 50.0;

/// Multiple of the mean prompt from which a prompt is long, and the fewest tokens of one: shorter ones are soon read.
const LONG_MULTIPLE: f64 = 4.0;
const LONG_MIN_TOKENS: u64 = 4_000;

/// Most tokens that are assumed of a prompt, whatever its caller says.
const TOKENS_MAX: u64 = 1 << 20;

/// Prompt tokens to read that delay a request as much as one more request in the batch does.
pub(crate) const TOKENS_PER_REQUEST: u64 = 500;

/// `Prompt` is the prompt of a request among those of its service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its length in tokens.
    pub tokens: u64,
    /// Whether it is much longer than usual.
    pub is_long: bool,
    /// Share of requests with long prompts in the work of the service, in thousandths.
    pub long_permille: u64,
}

/// `Prompts` learns how long the prompts of a service are.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Prompts {
    weight: f64,
    tokens: f64,
    work: f64,
    long_work: f64,
}

impl Prompts {
    /// Records the prompt of a request.
    pub fn record(&mut self, tokens: u64) {
        let tokens = bounded(tokens);
        let is_long = self.is_long(tokens);
        let work = 1.0 + tokens as f64 / TOKENS_PER_REQUEST as f64;
        let keep = 1.0 - 1.0 / SPAN;
        self.weight = self.weight * keep + 1.0;
        self.tokens = self.tokens * keep + tokens as f64;
        self.work = self.work * keep + work;
        self.long_work = self.long_work * keep + if is_long { work } else { 0.0 };
    }

    /// Returns a prompt among those recorded.
    pub fn classify(&self, tokens: u64) -> Prompt {
        let tokens = bounded(tokens);
        if self.weight < KNOWN_MIN {
            return Prompt {
                tokens,
                ..Prompt::default()
            };
        }
        Prompt {
            tokens,
            is_long: self.is_long(tokens),
            long_permille: (self.long_work * 1_000.0 / self.work) as u64,
        }
    }

    fn is_long(&self, tokens: u64) -> bool {
        tokens >= LONG_MIN_TOKENS && tokens as f64 * self.weight >= self.tokens * LONG_MULTIPLE
    }
}

/// Returns the tokens of a prompt as far as they are believed.
fn bounded(tokens: u64) -> u64 {
    tokens.min(TOKENS_MAX)
}
