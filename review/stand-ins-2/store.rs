//! Stand-in for the platform's store: topics with one partition, held in memory.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use crate::http::{Request, format_answer, listen, read_request};

/// Clones share the topics.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    logs: Mutex<Logs>,
    appended: Condvar,
}

#[derive(Default)]
struct Logs {
    /// Contents of the records of each topic; none is deleted.
    topics: BTreeMap<String, Vec<Vec<u8>>>,
}

impl Store {
    pub fn start(&self) -> io::Result<SocketAddr> {
        let store = self.clone();
        listen(move |stream| drop(store.serve(stream)))
    }

    fn logs(&self) -> MutexGuard<'_, Logs> {
        self.shared.logs.lock().unwrap()
    }

    /// Writes a record with a key, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut logs = self.logs();
        let log = logs.topics.entry(topic.to_owned()).or_default();
        log.push(content);
        self.shared.appended.notify_all();
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
        match request.path() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            _ => self.format(404, b"{}"),
        }
    }

    fn format(&self, status: u16, body: &[u8]) -> Vec<u8> {
        format_answer(status, &[("store-era", "0")], body)
    }

    fn append(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or("");
        let at = request.query("at").and_then(|at| at.parse::<usize>().ok());
        let mut rest = &request.body[..];
        let mut records = Vec::new();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let mut logs = self.logs();
        let log = logs.topics.entry(topic.to_owned()).or_default();
        let first = log.len();
        if at.is_some_and(|at| at != first) {
            drop(logs);
            return self.format(412, format!("{{\"end\":{first}}}").as_bytes());
        }
        log.extend(records);
        let end = log.len();
        drop(logs);
        self.shared.appended.notify_all();
        self.format(
            200,
            format!("{{\"offset\":{first},\"end\":{end}}}").as_bytes(),
        )
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let end = |logs: &Logs| logs.topics.get(&topic).map_or(0, Vec::len);
        let logs = self.logs();
        let waiting = |logs: &mut Logs| end(logs) == from;
        let waited = self.shared.appended.wait_timeout_while(logs, wait, waiting);
        let logs = waited.unwrap().0;
        if from > end(&logs) {
            drop(logs);
            return self.format(410, b"{\"first\":0}");
        }
        let mut body = (end(&logs) as u64).to_be_bytes().to_vec();
        body.extend(0u64.to_be_bytes());
        let log = logs.topics.get(&topic).map_or(&[][..], |log| &log[from..]);
        for content in log {
            body.extend((content.len() as u32).to_be_bytes());
            body.extend(content);
        }
        drop(logs);
        self.format(200, &body)
    }

    fn newest(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or("");
        let logs = self.logs();
        let log = logs.topics.get(topic).map_or(&[][..], |log| &log[..]);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, content) in log.iter().enumerate() {
            let length = usize::from(content[0]);
            let key = String::from_utf8_lossy(&content[1..=length]).into_owned();
            newest.insert(key, (offset, &content[1 + length..]));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), log.len());
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
        drop(logs);
        self.format(200, body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    text
}
