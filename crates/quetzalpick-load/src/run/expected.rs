//! The answer that an engine stand-in gives to a request.

use quetzalpick_client::wire::completion::Request;
use quetzalpick_standin::engine::token::text;

/// Bytes of prompt text that an engine stand-in counts as one token.
const PROMPT_TOKEN_BYTES: usize = 4;

/// `Expected` is what a whole answer to a request holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Expected {
    /// The text.
    pub(crate) text: String,
    /// Tokens of prompt and answer.
    pub(crate) tokens: u64,
}

/// Returns the whole answer to the request in a body.
pub(crate) fn expected(body: &[u8], tokens: u32) -> Expected {
    let prompt = serde_json::from_slice::<Request>(body)
        .map(|request| request.prompt_text())
        .unwrap_or_default();
    let prompt_tokens = prompt.len().div_ceil(PROMPT_TOKEN_BYTES) as u64;
    Expected {
        text: text(&prompt, 0..tokens),
        tokens: prompt_tokens + u64::from(tokens),
    }
}
