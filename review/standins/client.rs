//! A client that sends one request on a connection of its own.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{header, read_headers};

/// Number of the next attempt.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

#[derive(Clone)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// Further lines of the head.
    pub lines: String,
    pub body: &'a str,
}

/// `Received` is what a client received of a stream of events.
pub struct Received {
    pub attempt: String,
    /// Status of the answer, if one came.
    pub status: Option<u16>,
    /// Time after which the client may come back, as the answer names it.
    pub retry_after: Duration,
    /// Ids of the events.
    pub events: Vec<u64>,
    /// Software versions of the runners that made them.
    pub versions: Vec<String>,
    pub is_complete: bool,
}

pub struct Answer {
    pub attempt: String,
    /// Status of the answer, or why there is no complete one.
    pub status: Result<u16, String>,
}

impl Call<'_> {
    /// Sends the request as a new attempt.
    pub fn send(&self, address: SocketAddr) -> Answer {
        let attempt = format!("{:016x}", NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst));
        let status = self.exchange(address, &attempt);
        let status = status.map_err(|error| error.to_string());
        Answer { attempt, status }
    }

    /// Sends the request as a new attempt and receives a stream; `began` is called at its first event.
    pub fn receive(&self, address: SocketAddr, began: impl FnMut(&str)) -> Received {
        self.receive_as("", address, began)
    }

    /// The same with an attempt whose id begins with a prefix.
    pub fn receive_as(
        &self,
        prefix: &str,
        address: SocketAddr,
        mut began: impl FnMut(&str),
    ) -> Received {
        let number = NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("{prefix}{number:016x}");
        let mut received = Received {
            attempt: attempt.clone(),
            status: None,
            retry_after: Duration::ZERO,
            events: Vec::new(),
            versions: Vec::new(),
            is_complete: false,
        };
        // What was received before an error counts.
        let _ = self.receive_into(address, &attempt, &mut received, &mut began);
        received
    }

    fn receive_into(
        &self,
        address: SocketAddr,
        attempt: &str,
        received: &mut Received,
        began: &mut impl FnMut(&str),
    ) -> std::io::Result<()> {
        let mut reader = self.send_head(address, attempt)?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        received.status = line.split_whitespace().nth(1).and_then(|text| text.parse().ok());
        let headers = read_headers(&mut reader)?;
        let seconds = header(&headers, "retry-after").and_then(|text| text.parse().ok());
        received.retry_after = Duration::from_secs_f64(seconds.unwrap_or(0.0));
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let text = line.trim_end();
            if let Some(id) = text.strip_prefix("id: ").and_then(|id| id.parse().ok()) {
                if received.events.is_empty() {
                    began(attempt);
                }
                received.events.push(id);
            } else if let Some(data) = text.strip_prefix("data: ") {
                let version = data.split(' ').next().unwrap_or_default().to_owned();
                if !received.versions.contains(&version) {
                    received.versions.push(version);
                }
            } else if text == "0" {
                received.is_complete = true;
            }
        }
    }

    /// Sends the request on a new connection.
    fn send_head(
        &self,
        address: SocketAddr,
        attempt: &str,
    ) -> std::io::Result<BufReader<TcpStream>> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        // A little longer than the deadline, so that an answer at the deadline is seen.
        stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 1_000)))?;
        let Self {
            method,
            path,
            key,
            deadline_ms,
            lines,
            body,
        } = self;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Quetzalpick-Attempt-Id: {attempt}\r\n\
             X-Quetzalpick-Deadline-Ms: {deadline_ms}\r\nX-Quetzalpick-Credential: {key}\r\n{lines}\
             Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes())?;
        Ok(BufReader::new(stream))
    }

    fn exchange(&self, address: SocketAddr, attempt: &str) -> std::io::Result<u16> {
        let mut reader = self.send_head(address, attempt)?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split_whitespace().nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let headers = read_headers(&mut reader)?;
        let mut body = Vec::new();
        reader.read_to_end(&mut body)?;
        let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
        let is_chunked = header(&headers, "transfer-encoding").is_some();
        let is_complete = match length {
            Some(length) => body.len() == length,
            None => !is_chunked || body.ends_with(b"0\r\n\r\n"),
        };
        if is_complete {
            Ok(status)
        } else {
            Err(std::io::ErrorKind::UnexpectedEof.into())
        }
    }
}
