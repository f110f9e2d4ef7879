//! Events of an engine's stream.

use serde::Deserialize;
use serde_json::Value;

/// `Chunk` decodes the fields of an event that the relay needs; the event itself is forwarded unchanged.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk {
    /// Id of the request to which the event belongs.
    #[serde(default)]
    pub(crate) id: String,
    /// Index of the token, counted from 0; `None` in events without a token.
    #[serde(rename = "quetzalpick_index")]
    pub(crate) index: Option<u64>,
    /// The generated output.
    #[serde(default)]
    choices: Vec<Choice>,
    /// Token counts, in the last event of a stream if its caller asked for them.
    usage: Option<Value>,
    /// Error reported by the engine.
    error: Option<Value>,
}

/// `Choice` holds the generated output of an event.
#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// `Delta` holds the generated output of a chat event.
#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Chunk {
    /// Decodes an event's data; `None` if it is not a completion event or reports an error.
    pub(crate) fn from_data(data: &str) -> Option<Self> {
        let chunk: Self = serde_json::from_str(data).ok()?;
        chunk.error.is_none().then_some(chunk)
    }

    /// Returns the generated text.
    pub(crate) fn text(&self) -> &str {
        let choice = self.choices.first();
        let text = choice.and_then(|choice| match &choice.delta {
            Some(delta) => delta.content.as_deref(),
            None => choice.text.as_deref(),
        });
        text.unwrap_or_default()
    }

    /// Returns whether this event ends the generation.
    pub(crate) fn ends_generation(&self) -> bool {
        let mut choices = self.choices.iter();
        choices.any(|choice| choice.finish_reason.is_some())
    }

    /// Returns whether this event carries token counts.
    pub(crate) fn has_usage(&self) -> bool {
        self.usage.as_ref().is_some_and(|usage| !usage.is_null())
    }
}
