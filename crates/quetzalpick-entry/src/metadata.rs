//! What a caller asks for, as the edge reads it from a request's head.

use quetzalpick_core::id::Artifact;

/// `Metadata` is what the head of a request says beyond method, host and path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Id of this attempt of the caller; each attempt has its own.
    pub attempt: Option<String>,
    /// How long the caller waits, in ms.
    pub timeout_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// Model that is to answer.
    pub model: Option<Artifact>,
    /// Adapter of that model, named `model/adapter`.
    pub adapter: Option<Artifact>,
    /// Tokens of the prompt and at most of the answer.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// `Tokens` is the size of a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub answer: u64,
}

impl Tokens {
    /// Returns the tokens that a workspace is charged.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.answer)
    }
}

/// `Part` is a part of a prompt; prompts share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifies its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl Metadata {
    /// Returns what an endpoint must hold to answer: the model, and its adapter if one is named.
    pub fn artifacts(&self) -> impl Iterator<Item = &Artifact> {
        self.model.iter().chain(&self.adapter)
    }
}
