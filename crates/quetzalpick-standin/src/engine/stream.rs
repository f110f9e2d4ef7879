//! Answers as server-sent events.

use bytes::Bytes;
use serde_json::{Value, json as value};

use super::completion::{Job, Kind, envelope, usage};
use super::token;
use crate::server::{Broken, REQUEST_ID, Reply, Sender, parts};

/// Chunks that may wait for a slow reader before generation waits too.
const CHUNKS_BUFFERED: usize = 16;

/// Starts to stream an answer, which breaks off after `crash` tokens.
pub(crate) fn start(job: Job, crash: Option<u32>) -> Reply {
    let (sender, reply) = parts("text/event-stream", CHUNKS_BUFFERED);
    let reply = reply.with_header(REQUEST_ID, &job.session.id);
    tokio::spawn(run(job, sender, crash));
    reply
}

/// Streams an answer to its end, unless it is cancelled or its reader goes away.
async fn run(mut job: Job, mut sender: Sender, crash: Option<u32>) {
    let cancel = job.session.cancel.clone();
    let sending = send(&mut job, &mut sender, crash);
    let sent = cancel.run_until_cancelled(sending).await;
    let ended = match sent {
        Some(Ok(finish)) => end(&job, &mut sender, finish).await,
        Some(Err(broken)) => Err(broken),
        None if job.usage.is_current() => end(&job, &mut sender, "cancelled").await,
        None => Err(Broken),
    };
    if let Err(broken) = ended {
        sender.abort(broken);
    }
}

/// Sends the tokens and returns why there are no more.
async fn send(
    job: &mut Job,
    sender: &mut Sender,
    crash: Option<u32>,
) -> Result<&'static str, Broken> {
    job.prompt().await;
    for index in job.start..job.session.end {
        if crash == Some(index - job.start) {
            return Err(Broken);
        }
        job.pace.token().await;
        let text = token::token(&job.session.prompt, index);
        let mut chunk = envelope(job, true);
        chunk["choices"] = value!([choice(job.kind, Some(text), None)]);
        chunk["quetzalpick_index"] = value!(index);
        event(sender, &chunk.to_string()).await?;
    }
    Ok(job.session.finish)
}

/// Sends what follows the last token.
async fn end(job: &Job, sender: &mut Sender, finish: &str) -> Result<(), Broken> {
    let mut chunk = envelope(job, true);
    chunk["choices"] = value!([choice(job.kind, None, Some(finish))]);
    event(sender, &chunk.to_string()).await?;
    if job.include_usage {
        chunk["choices"] = value!([]);
        chunk["usage"] = usage(job, job.session.end);
        event(sender, &chunk.to_string()).await?;
    }
    event(sender, "[DONE]").await
}

/// Makes a chunk's choice.
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

/// Sends an event; a reader that has gone away breaks the stream.
async fn event(sender: &mut Sender, data: &str) -> Result<(), Broken> {
    let event = Bytes::from(format!("data: {data}\n\n"));
    sender.send_data(event).await.map_err(|_| Broken)
}
