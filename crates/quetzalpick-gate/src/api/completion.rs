//! Requests to models: chat and text completions.

use bytes::Bytes;
use quetzalpick_client::wire::completion::Request;
use quetzalpick_core::id::Artifact;
use serde_json::{Map, Value};

use crate::api::refusal::{Kind, Refusal};

/// Bytes of prompt text that are counted as one token; every started one counts.
const BYTES_PER_TOKEN: usize = 4;

/// Field that hands text generated elsewhere to an engine.
const PREFIX_FIELD: &str = "quetzalpick_prefix";

/// `CompletionKind` tells the two completion calls apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl CompletionKind {
    /// Returns the path of the call, at callers and at engines.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// `Completion` is a checked request to a model.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Completion {
    /// Which call it is.
    pub(crate) kind: CompletionKind,
    /// Model or adapter.
    pub(crate) artifact: Artifact,
    /// Whether the answer is a stream.
    pub(crate) stream: bool,
    /// Limit of output tokens that the caller states.
    pub(crate) max_output: Option<u32>,
    /// Prompt text, which prefix affinity and the charge are worked out from.
    pub(crate) prompt: String,
    /// Tokens counted for the prompt.
    pub(crate) prompt_tokens: u64,
    fields: Map<String, Value>,
}

/// Builds the refusal of a request that is not well-formed.
fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Kind::InvalidRequestError, message)
}

impl Completion {
    /// Checks a body.
    ///
    /// # Errors
    ///
    /// A refusal that names the field which is missing or wrong.
    pub(crate) fn try_new(kind: CompletionKind, body: &[u8]) -> Result<Self, Refusal> {
        let value = serde_json::from_slice(body)
            .map_err(|e| invalid(format!("the body is not JSON: {e}")))?;
        let Value::Object(mut fields) = value else {
            return Err(invalid("the body is not a JSON object"));
        };
        // Only the system itself may hand over generated text.
        fields.remove(PREFIX_FIELD);
        let artifact = artifact(&fields)?;
        let stream = bool_field(&fields, "stream")?;
        let max_output = max_output(&fields)?;
        single_choice(&fields)?;
        let prompt = prompt(kind, &fields)?;
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        Ok(Self {
            kind,
            artifact,
            stream,
            max_output,
            prompt,
            prompt_tokens,
            fields,
        })
    }

    /// Tells whether the caller asked for token counts at the end of the stream.
    pub(crate) fn wants_usage(&self) -> bool {
        let options = self.fields.get("stream_options");
        let include = options.and_then(|options| options.get("include_usage"));
        include == Some(&Value::Bool(true))
    }

    /// Returns the body for an engine: the output limit that was charged, and text generated elsewhere if any.
    pub(crate) fn to_body(&self, max_output: u32, prefix: &str) -> Bytes {
        let mut fields = self.fields.clone();
        // One field states the limit, so that engines cannot pick the larger of two.
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), Value::from(max_output));
        if !prefix.is_empty() {
            fields.insert(PREFIX_FIELD.to_owned(), Value::from(prefix));
        }
        // A JSON object always encodes.
        Bytes::from(serde_json::to_vec(&Value::Object(fields)).unwrap_or_default())
    }
}

/// Reads the name of the model or adapter.
fn artifact(fields: &Map<String, Value>) -> Result<Artifact, Refusal> {
    let name = fields
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| invalid("field 'model' is missing or not a string"))?;
    Artifact::try_new(name).map_err(|e| invalid(format!("field 'model': {e}")))
}

/// Reads a field that is true, false or missing.
fn bool_field(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid(format!("field '{name}' is not true or false"))),
    }
}

/// Reads the limit of output tokens, under either of its names.
fn max_output(fields: &Map<String, Value>) -> Result<Option<u32>, Refusal> {
    let mut lowest = None;
    for name in ["max_tokens", "max_completion_tokens"] {
        let value = match fields.get(name) {
            None | Some(Value::Null) => continue,
            Some(value) => value,
        };
        let limit = value
            .as_u64()
            .and_then(|n| u32::try_from(n).ok())
            .filter(|n| *n > 0)
            .ok_or_else(|| invalid(format!("field '{name}' is not a positive whole number")))?;
        lowest = Some(lowest.map_or(limit, |other: u32| other.min(limit)));
    }
    Ok(lowest)
}

/// Checks that one choice is asked for, as a stream has one token index.
fn single_choice(fields: &Map<String, Value>) -> Result<(), Refusal> {
    match fields.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(n) if n.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(invalid("field 'n' is not 1")),
    }
}

/// Reads the prompt as one text, over which engines hash prefixes as well.
fn prompt(kind: CompletionKind, fields: &Map<String, Value>) -> Result<String, Refusal> {
    let field = match kind {
        CompletionKind::Chat => "messages",
        CompletionKind::Text => "prompt",
    };
    let value = Value::Object(fields.clone());
    let request: Request = serde_json::from_value(value)
        .map_err(|e| invalid(format!("the body is not usable: {e}")))?;
    let prompt = request.prompt_text();
    if prompt.is_empty() || !fields.contains_key(field) {
        return Err(invalid(format!("field '{field}' is missing or empty")));
    }
    Ok(prompt)
}
