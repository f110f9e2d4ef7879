//! Many clients that send a body of legal size in small chunks, stop short of its end and stay open, at one machine.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::program::{Machine, Program};
use crate::record::Record;
use crate::runner::{self, Runner};
use crate::store::Store;
use crate::watch::{KEY, STABLE, Watch, wait_until_served};

pub struct Flood {
    pub clients: usize,
    /// Bytes of the head of each client's request; the limit is `max_header_bytes`.
    pub head_bytes: usize,
    pub chunk_bytes: usize,
    /// Bytes of the body that each client sends; the limit is `max_body_bytes`.
    pub body_bytes: usize,
    pub machine: Machine<'static>,
}

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"order-desk\",\
             \"max_attempts\":{attempts}}}"
        )
    };
    let (safe, once) = (route("status", "safe", 2), route("confirm", "unsafe", 1));
    format!(
        "{{\"version\":1,\"routes\":[{safe},{once}],\
         \"services\":[{{\"name\":\"order-desk\",\"health_path\":\"/healthz\",\"max_conns\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// Sends what one client of the flood sends, and returns the open connection.
fn join(flood: &Flood, address: SocketAddr, n: usize) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_write_timeout(Some(Duration::from_millis(200)))?;
    let mut head = format!(
        "POST /confirm/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-quetzalpick-attempt-id: flood{n:011}\r\n\
         x-quetzalpick-deadline-ms: 1500\r\nx-quetzalpick-credential: {KEY}\r\ntransfer-encoding: chunked\r\n"
    );
    let fill = flood.head_bytes.saturating_sub(head.len());
    if fill > 0 {
        // The parts of a prompt, ID:TOKENS.
        let parts = (0..fill / 4).map(|n| format!("{:x}:{},", n % 16, 1 + n % 9));
        let parts: String = parts.collect();
        head += &format!(
            "x-quetzalpick-prompt-prefix: {}\r\n",
            parts.trim_end_matches(',')
        );
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    for _ in 0..flood.body_bytes / flood.chunk_bytes {
        bytes.extend(format!("{:x}\r\n", flood.chunk_bytes).into_bytes());
        bytes.extend(std::iter::repeat_n(b'x', flood.chunk_bytes));
        bytes.extend(b"\r\n");
    }
    // To be refused or closed is allowed.
    let _ = stream.write_all(&bytes);
    Ok(stream)
}

/// Returns whether the rules were kept: the machine takes new connections, and its process stays within its memory.
pub fn run(record: &Record, folder: &Path, flood: &Flood, has_trouble: bool) -> io::Result<bool> {
    let store = Store::default();
    let store_address = store.start()?;
    store.put("keyed.op", "config", &config());
    let mut runners = Vec::new();
    for n in 1..=4 {
        let name = format!("i-{n}");
        let (runner, address) = Runner::start(&name, Duration::from_millis(15))?;
        store.put(
            "keyed.servers",
            &name,
            &runner::entry("order-desk", address, 6, n),
        );
        runners.push(runner);
    }
    let mut program = Program::start(folder, &flood.machine, store_address)?;
    let (callers, ready) = (program.callers, program.ready);
    wait_until_served(callers)?;
    record.line(&format!("the machine serves callers={callers}"));
    let began = Instant::now();
    let (flood_at, end) = (
        began + Duration::from_secs(4),
        began + Duration::from_secs(20),
    );
    let watch = Watch::default();
    thread::scope(|scope| {
        watch.start(scope, record, (callers, ready), end);
        if has_trouble {
            scope.spawn(move || {
                thread::sleep(flood_at.saturating_duration_since(Instant::now()));
                let mut open = Vec::new();
                for n in 0..flood.clients {
                    open.extend(join(flood, callers, n));
                    if n + 1 == flood.clients || (n + 1) % 500 == 0 {
                        record.line(&format!(
                            "flood: {} clients have sent and stay open",
                            open.len()
                        ));
                    }
                }
                thread::sleep(end.saturating_duration_since(Instant::now()));
            });
        }
        Watch::follow(record, &mut program, end);
    });
    let ended = program.ended();
    let peak_kb = program.memory_kb().map_or(0, |(_, peak)| peak);
    let limit_kb = flood.machine.memory_mb * 1024;
    let seen = watch.seen(record, end);
    let runs: usize = runners.iter().map(|runner| runner.runs().len()).sum();
    let summary = format!(
        "tries={} unserved={} runs={runs} longest_ms_without_answer={} of_it_said_ready={} peak_kb={peak_kb} limit_kb={limit_kb} ended={ended:?}",
        seen.tries,
        seen.unserved,
        seen.longest.as_millis(),
        seen.longest_ready.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(seen.longest_ready < STABLE && ended.is_none() && peak_kb <= limit_kb)
}
