//! Computes the answer that an engine stand-in gives to a request.

use quetzalpick_client::wire::completion::Request;
use quetzalpick_standin::engine::token::text;

/// Bytes of prompt text that an engine stand-in counts as one token.
const PROMPT_TOKEN_BYTES: usize = 4;

/// `ExpectedAnswer` holds the complete answer to a request and the tokens that it uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ExpectedAnswer {
    /// Text of the answer.
    pub(crate) text: String,
    /// Tokens of the prompt and the answer.
    pub(crate) tokens: u64,
}

/// Returns the complete answer to the request in `body`; a body that does not parse counts as an empty prompt.
pub(crate) fn expected_answer(body: &[u8], tokens: u32) -> ExpectedAnswer {
    let prompt = serde_json::from_slice::<Request>(body)
        .map(|request| request.prompt_text())
        .unwrap_or_default();
    let prompt_tokens = prompt.len().div_ceil(PROMPT_TOKEN_BYTES) as u64;
    ExpectedAnswer {
        text: text(&prompt, 0..tokens),
        tokens: prompt_tokens + u64::from(tokens),
    }
}
