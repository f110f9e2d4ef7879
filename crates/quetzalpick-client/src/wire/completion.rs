//! Completion requests in the common form, as far as quetzalpick reads them.

use serde::{Deserialize, Serialize};

/// `Request` is the body of `POST /v1/chat/completions` and of `POST /v1/completions`; unknown fields are passed over.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Model or adapter.
    pub model: String,
    /// Messages of a chat; empty for a plain completion.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a plain completion; empty for a chat.
    #[serde(default)]
    pub prompt: Text,
    /// Most tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// What a stream carries besides tokens.
    #[serde(default)]
    pub stream_options: StreamOptions,
    /// Text already generated elsewhere, which counts as generated.
    #[serde(default)]
    pub quetzalpick_prefix: String,
}

/// `Message` is one message of a chat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    #[serde(default)]
    pub content: Text,
}

/// `Text` is text, whole or in parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Text {
    /// The whole text.
    Whole(String),
    /// Its parts.
    Parts(Vec<Part>),
    /// No text, such as in a message that only calls a tool.
    None(()),
}

impl Default for Text {
    fn default() -> Self {
        Self::None(())
    }
}

/// `Part` is one part of a text; parts of other kinds hold no text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The text.
    #[serde(default)]
    pub text: String,
}

/// `StreamOptions` says what a stream carries besides tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the last chunk before the end marker carries usage counts.
    #[serde(default)]
    pub include_usage: bool,
}

impl Request {
    /// Returns the prompt as one text, over which prefixes are hashed.
    ///
    /// Each message of a chat is written as its role, a colon, a space, its content and a line feed.
    pub fn prompt_text(&self) -> String {
        let mut text = self.prompt.to_text();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&message.content.to_text());
            text.push('\n');
        }
        text
    }
}

impl Text {
    /// Returns the text as one string.
    pub fn to_text(&self) -> String {
        match self {
            Self::Whole(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
            Self::None(()) => String::new(),
        }
    }
}
