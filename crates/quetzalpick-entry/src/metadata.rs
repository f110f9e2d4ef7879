//! Metadata decoded from the head of a caller's request.

use quetzalpick_core::id::Artifact;

/// `Metadata` holds the fields of a request's head beyond method, host and path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Id of this attempt; a caller uses a new one for each attempt.
    pub attempt: Option<String>,
    /// Longest time that the caller waits, in ms.
    pub timeout_ms: Option<u64>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Requested model.
    pub model: Option<Artifact>,
    /// Requested adapter, named `model/adapter`.
    pub adapter: Option<Artifact>,
    /// Tokens of the prompt, and the maximum for the answer.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Attempt that brought a stream's first event, if the caller takes that stream up again.
    pub resumes: Option<String>,
}

/// `Tokens` holds the size of a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of tokens of the answer.
    pub answer: u64,
}

impl Tokens {
    /// Returns the number of tokens charged to the workspace.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.answer)
    }
}

/// `Part` identifies a segment of a prompt; several prompts may share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifier of its content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl Metadata {
    /// Returns whether the caller takes up a stream that an earlier attempt began.
    pub fn takes_up_stream(&self) -> bool {
        self.resumes.is_some() || self.last_event_id.is_some()
    }

    /// Returns the parts of the prompt that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the artifacts that an endpoint must hold to answer: the model, and the adapter if one is requested.
    pub fn artifacts(&self) -> impl Iterator<Item = &Artifact> {
        self.model.iter().chain(&self.adapter)
    }
}
