//! Stand-in for a runner: runs each request for a while, answers it with a receipt, and remembers what it ran.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Request, format_answer, listen, read_request};

/// Clones share what was run.
#[derive(Clone)]
pub struct Runner {
    name: String,
    work: Duration,
    runs: Arc<Mutex<Vec<String>>>,
}

impl Runner {
    pub fn start(name: &str, work: Duration) -> io::Result<(Self, SocketAddr)> {
        let runner = Self {
            name: name.to_owned(),
            work,
            runs: Arc::default(),
        };
        let server = runner.clone();
        let address = listen(move |stream| drop(server.serve(stream)))?;
        Ok((runner, address))
    }

    /// Returns the ids of the requests that it has run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer)? {
            let answer = self.answer(&request);
            stream.write_all(&answer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let expected = request.header("x-quetzalpick-expect-instance");
        if expected.is_some_and(|expected| expected != self.name) {
            return format_answer(421, &[("x-quetzalpick-not-executed", "1")], b"");
        }
        if request.path() == "/api/report" {
            let body = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0}";
            return format_answer(
                200,
                &[("content-type", "application/json")],
                body.as_bytes(),
            );
        }
        let id = request
            .header("x-quetzalpick-attempt-id")
            .unwrap_or("")
            .to_owned();
        self.runs.lock().unwrap().push(id.clone());
        thread::sleep(self.work);
        let body = format!("done by {}", self.name);
        let headers = [
            ("x-quetzalpick-attempt-id", id.as_str()),
            ("x-quetzalpick-response-seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        format_answer(200, &headers, body.as_bytes())
    }
}

/// Returns the entry that a runner writes into the store; `n` tells runners apart.
pub fn entry(service: &str, address: SocketAddr, slots: u32, n: u64) -> String {
    let born = 1_700_000_000_000 + n;
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{born},\"models\":[]}}"
    )
}
