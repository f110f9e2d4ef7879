//! A runner crashes in the middle of its streams, whose heads name a length; other runners go on with them.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{format_request, listen, read_request};
use crate::program::{Machine, Program};
use crate::record::Record;
use crate::runner;
use crate::store::Store;
use crate::watch::KEY;

const RUNNERS: u64 = 9;

/// Pause between two events, below the sheet's objective of 150 ms.
const PAUSE: Duration = Duration::from_millis(100);

/// Streams that consumers ask for, one after the other.
const STREAMS: usize = 160;

/// Time in which they come, and the time of the crash after the first.
const SPAN: Duration = Duration::from_secs(8);
const CRASH_AFTER: Duration = Duration::from_secs(5);

/// A runner of streams. Its answers to one request differ from those of other runners in their length, as generated texts do.
struct StreamRunner {
    name: String,
    events: u64,
    is_crashed: AtomicBool,
    /// Runner of the last run of each request, and the last event of that run, by the request's id.
    ends: Arc<Mutex<BTreeMap<String, (String, u64)>>>,
}

fn event(id: u64, name: &str) -> String {
    format!("id: {id:03}\ndata: words of {name}\n\n")
}

impl StreamRunner {
    fn serve(&self, stream: &mut TcpStream, record: &Record) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(stream, &mut buffer)? {
            if self.is_crashed.load(Ordering::SeqCst) {
                return Ok(());
            }
            let id = request
                .header("x-quetzalpick-attempt-id")
                .unwrap_or("")
                .to_owned();
            let after = request
                .header("last-event-id")
                .and_then(|text| text.parse::<u64>().ok());
            let first = after.unwrap_or(0) + 1;
            record.line(&format!(
                "runner={} begins id={id} after={after:?} events={}",
                self.name, self.events
            ));
            self.ends
                .lock()
                .unwrap()
                .insert(id.clone(), (self.name.clone(), self.events));
            let length: usize = (first..=self.events)
                .map(|n| event(n, &self.name).len())
                .sum();
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\
                 x-quetzalpick-attempt-id: {id}\r\nx-quetzalpick-response-seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for n in first..=self.events {
                stream.write_all(event(n, &self.name).as_bytes())?;
                thread::sleep(PAUSE);
                if self.is_crashed.load(Ordering::SeqCst) {
                    record.line(&format!(
                        "runner={} crashes id={id} after event {n}",
                        self.name
                    ));
                    return Ok(());
                }
            }
            record.line(&format!(
                "runner={} ends id={id} with event {}",
                self.name, self.events
            ));
        }
        Ok(())
    }
}

/// What a consumer got of a stream.
struct Got {
    /// Whether the answer is complete in the protocol.
    is_complete: bool,
    body: String,
}

/// Asks for a stream and reads its answer to the end.
fn ask(address: SocketAddr, id: &str) -> io::Result<Got> {
    let headers = [
        ("host", "ficu95.example"),
        ("x-quetzalpick-attempt-id", id),
        ("x-quetzalpick-deadline-ms", "15000"),
        ("x-quetzalpick-credential", KEY),
    ];
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    stream.write_all(&format_request(
        "POST",
        "/draft/2f",
        &headers,
        b"a menu, please",
    ))?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Some((is_complete, body)) = parse(&bytes) {
            if is_complete {
                return Ok(Got { is_complete, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => {
                let body = parse(&bytes).map_or_else(String::new, |(_, body)| body);
                return Ok(Got {
                    is_complete: false,
                    body,
                });
            }
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
        }
    }
}

/// Returns the body as far as it has arrived, and whether that is all of it.
fn parse(bytes: &[u8]) -> Option<(bool, String)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    if let Some(length) = length.and_then(|length| length.trim().parse::<usize>().ok()) {
        return Some((
            rest.len() >= length,
            rest[..rest.len().min(length)].to_owned(),
        ));
    }
    let (mut body, mut rest) = (String::new(), rest);
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some((true, body));
        }
        let Some(data) = after.get(..size) else { break };
        body += data;
        rest = after[size..].strip_prefix("\r\n").unwrap_or("");
    }
    Some((false, body))
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"ficu95.example\",\"path_prefix\":\"/draft/\",\
         \"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1200,\"priority\":1,\
         \"service\":\"menu-models\",\"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":150}}],\
         \"services\":[{{\"name\":\"menu-models\",\"health_path\":\"/healthz\",\"max_conns\":370}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// Returns whether the rule was kept: no stream ends as complete before the last piece of the run that goes on with it.
pub fn run(
    record: &Record,
    folder: &Path,
    machine: &Machine,
    has_trouble: bool,
) -> io::Result<bool> {
    let store = Store::default();
    let store_address = store.start()?;
    store.put("keyed.op", "config", &config());
    let ends = Arc::new(Mutex::new(BTreeMap::new()));
    let record = Arc::new(Record::clone(record));
    let mut runners = Vec::new();
    for n in 1..=RUNNERS {
        let runner = Arc::new(StreamRunner {
            name: format!("i-{n}"),
            events: 20 + n,
            is_crashed: AtomicBool::new(false),
            ends: Arc::clone(&ends),
        });
        let (server, log) = (Arc::clone(&runner), Arc::clone(&record));
        let address = listen(move |mut stream| drop(server.serve(&mut stream, &log)))?;
        store.put(
            "keyed.servers",
            &runner.name,
            &runner::entry("menu-models", address, 64, n),
        );
        runners.push(runner);
    }
    let mut program = Program::start(folder, machine, store_address)?;
    let callers = program.callers;
    let until = Instant::now() + Duration::from_secs(20);
    while !ask(callers, "warm").is_ok_and(|got| got.is_complete) {
        if Instant::now() >= until {
            return Err(io::Error::other("the machine does not serve"));
        }
        thread::sleep(Duration::from_millis(200));
    }
    let began = Instant::now();
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let (results, runners) = (&results, &runners);
        for n in 0..STREAMS {
            scope.spawn(move || {
                thread::sleep(SPAN * n as u32 / STREAMS as u32);
                let id = format!("draft{n:011}");
                if let Ok(got) = ask(callers, &id) {
                    results.lock().unwrap().push((id, got));
                }
            });
        }
        scope.spawn(move || {
            thread::sleep((began + CRASH_AFTER).saturating_duration_since(Instant::now()));
            runners[0].is_crashed.store(has_trouble, Ordering::SeqCst);
        });
    });
    let ends = ends.lock().unwrap();
    let (mut cut_short, mut broken_off) = (0, 0);
    let mut results = results.into_inner().unwrap();
    results.sort_by(|a, b| a.0.cmp(&b.0));
    for (id, Got { is_complete, body }) in &results {
        let ids: Vec<u64> = body
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let last = ids.last().copied().unwrap_or(0);
        let ends_at_event = body.ends_with("\n\n");
        let end = ends.get(id);
        let lacks = *is_complete && ends_at_event && end.is_some_and(|(_, end)| last < *end);
        cut_short += u32::from(lacks);
        broken_off += u32::from(!is_complete);
        record.line(&format!(
            "consumer id={id} complete={is_complete} last_event={last} last_run={end:?}{}",
            if lacks {
                " LOOKS COMPLETE AND IS NOT"
            } else {
                ""
            }
        ));
    }
    let summary = format!(
        "streams={} look_complete_before_their_last_piece={cut_short} broken_off={broken_off} ended={:?}",
        results.len(),
        program.ended()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(cut_short == 0)
}
