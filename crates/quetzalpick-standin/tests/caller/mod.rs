//! HTTP caller that records each exchange for snapshot tests.

use std::fmt::Write;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use quetzalpick_client::http::{Pool, Timeouts};

/// Headers included in a session; the HTTP library sets the others.
const SHOWN: [&str; 4] = ["x-request-id", "x-not-run", "retry-after", "content-type"];

/// Sends requests to one stand-in and records them in `session`.
#[derive(Debug, Default)]
pub(crate) struct Caller {
    pub(crate) session: String,
    pool: Pool,
    address: String,
}

impl Caller {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let address = address.to_string();
        Self {
            address,
            ..Self::default()
        }
    }

    /// Sends `METHOD /path header=value ...` with a body, records the exchange and returns the body of the answer.
    pub(crate) async fn send(&mut self, line: &str, body: &str) -> String {
        let mut words = line.split(' ');
        let method = words.next().unwrap();
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(words.next().unwrap());
        for header in words {
            let (name, value) = header.split_once('=').unwrap();
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())));
        writeln!(self.session, "> {line} {body}").unwrap();
        let sent = self
            .pool
            .send(&self.address, request.unwrap(), Timeouts::default());
        let response = match sent.await {
            Ok(response) => response,
            Err(failure) => {
                writeln!(self.session, "< {}\n", failure.verdict()).unwrap();
                return String::new();
            }
        };
        write!(self.session, "< {}", response.status().as_u16()).unwrap();
        for name in SHOWN {
            if let Some(value) = response.headers().get(name) {
                write!(self.session, " {name}={}", value.to_str().unwrap()).unwrap();
            }
        }
        let mut body = response.into_body();
        let mut text = String::new();
        let mut broken = "";
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => text += std::str::from_utf8(&frame.into_data().unwrap()).unwrap(),
                Err(_) => broken = "(broken off)\n",
            }
        }
        let shown = text.trim_end();
        writeln!(self.session, "\n{shown}\n{broken}").unwrap();
        text
    }
}
