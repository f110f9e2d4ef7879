//! Answers streamed as server-sent events.

use bytes::Bytes;
use serde_json::{Value, json as value};

use super::completion::{Job, Kind, envelope, usage};
use super::token;
use crate::server::{BodyAborted, REQUEST_ID, Reply, Sender, streamed};

/// Chunks buffered for a slow reader before generation blocks.
const CHUNKS_BUFFERED: usize = 16;

/// Starts streaming an answer; with `abort_after`, the stream is aborted after that many tokens.
pub(crate) fn start(job: Job, abort_after: Option<u32>) -> Reply {
    let (sender, reply) = streamed("text/event-stream", CHUNKS_BUFFERED);
    let reply = reply.with_header(REQUEST_ID, &job.session.id);
    tokio::spawn(run(job, sender, abort_after));
    reply
}

/// Streams an answer to its end, unless it is cancelled or the reader disconnects.
async fn run(mut job: Job, mut sender: Sender, abort_after: Option<u32>) {
    let cancel = job.session.cancel.clone();
    let sending = send_tokens(&mut job, &mut sender, abort_after);
    let sent = cancel.run_until_cancelled(sending).await;
    let ended = match sent {
        Some(Ok(finish)) => send_end(&job, &mut sender, finish).await,
        Some(Err(aborted)) => Err(aborted),
        None if job.copy_use.is_current() => send_end(&job, &mut sender, "cancelled").await,
        None => Err(BodyAborted),
    };
    if let Err(aborted) = ended {
        sender.abort(aborted);
    }
}

/// Sends the tokens and returns the finish reason.
async fn send_tokens(
    job: &mut Job,
    sender: &mut Sender,
    abort_after: Option<u32>,
) -> Result<&'static str, BodyAborted> {
    job.wait_for_prompt().await;
    for index in job.start..job.session.end {
        if abort_after == Some(index - job.start) {
            return Err(BodyAborted);
        }
        job.pace.wait_for_token().await;
        let text = token::token(&job.session.prompt, index);
        let mut chunk = envelope(job, true);
        chunk["choices"] = value!([choice(job.kind, Some(text), None)]);
        chunk["quetzalpick_index"] = value!(index);
        send_event(sender, &chunk.to_string()).await?;
    }
    Ok(job.session.finish)
}

/// Sends the finish reason, the token counts if requested, and the end marker.
async fn send_end(job: &Job, sender: &mut Sender, finish: &str) -> Result<(), BodyAborted> {
    let mut chunk = envelope(job, true);
    chunk["choices"] = value!([choice(job.kind, None, Some(finish))]);
    send_event(sender, &chunk.to_string()).await?;
    if job.include_usage {
        chunk["choices"] = value!([]);
        chunk["usage"] = usage(job, job.session.end);
        send_event(sender, &chunk.to_string()).await?;
    }
    send_event(sender, "[DONE]").await
}

/// Builds the choice of a chunk.
fn choice(kind: Kind, text: Option<String>, finish: Option<&str>) -> Value {
    match (kind, text) {
        (Kind::Chat, Some(text)) => value!({
            "index": 0,
            "delta": {"role": "assistant", "content": text},
            "finish_reason": finish,
        }),
        (Kind::Chat, None) => value!({"index": 0, "delta": {}, "finish_reason": finish}),
        (Kind::Text, text) => {
            value!({"index": 0, "text": text.unwrap_or_default(), "finish_reason": finish})
        }
    }
}

/// Sends an event; fails if the reader has disconnected.
async fn send_event(sender: &mut Sender, data: &str) -> Result<(), BodyAborted> {
    let event = Bytes::from(format!("data: {data}\n\n"));
    sender.send_data(event).await.map_err(|_| BodyAborted)
}
