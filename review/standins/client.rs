//! A client that sends one request on a connection of its own.

use std::io::{BufReader, Read, Write};
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

    fn exchange(&self, address: SocketAddr, attempt: &str) -> std::io::Result<u16> {
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
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        std::io::BufRead::read_line(&mut reader, &mut line)?;
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
