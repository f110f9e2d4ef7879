//! Runners in trouble: instead of an answer they send heads of interim answers (1xx) without end, until the caller closes.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{format_answer, format_request, listen, read_request, send};
use crate::program::{Machine, Program};
use crate::record::Record;
use crate::runner::{self, Runner};
use crate::store::Store;
use crate::watch::{KEY, STABLE, Watch, wait_until_served};

const INTERIM: &[u8] = b"HTTP/1.1 103 Early Hints\r\n\r\n";

/// Time for which each caller waits for its stream, as on the sheet, in ms.
const DEADLINE_MS: u64 = 12_000;

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str, (timeout_ms, aim_ms): (u64, u64)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{aim_ms},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":1,\"gap_aim_ms\":150}}"
        )
    };
    let status = route("status", "safe", "order-desk", (800, 100));
    let draft = route("draft", "streaming", "menu-models", (DEADLINE_MS, 300));
    format!(
        "{{\"version\":1,\"routes\":[{status},{draft}],\
         \"services\":[{{\"name\":\"order-desk\",\"health_path\":\"/healthz\",\"max_conns\":110}},\
         {{\"name\":\"menu-models\",\"health_path\":\"/healthz\",\"max_conns\":370}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// Starts a runner of streams; in trouble, it sends bytes that are no answer until its caller closes.
fn start_runner(in_trouble: Arc<AtomicBool>, flooding: Arc<AtomicUsize>) -> io::Result<SocketAddr> {
    let bytes = INTERIM.repeat(2_000);
    let serve = move |stream: &mut TcpStream| -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(stream, &mut buffer)? {
            let id = request
                .header("x-quetzalpick-attempt-id")
                .unwrap_or("")
                .to_owned();
            if in_trouble.load(Ordering::SeqCst) {
                flooding.fetch_add(1, Ordering::SeqCst);
                while in_trouble.load(Ordering::SeqCst) {
                    stream.write_all(&bytes)?;
                }
                return Ok(());
            }
            let headers = [
                ("content-type", "text/event-stream"),
                ("x-quetzalpick-attempt-id", id.as_str()),
                ("x-quetzalpick-response-seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            stream.write_all(&format_answer(200, &headers, b"id: 1\ndata: a menu\n\n"))?;
        }
        Ok(())
    };
    listen(move |mut stream| drop(serve(&mut stream)))
}

/// Returns whether the rules were kept: ordinary consumers of another service get answers.
pub fn run(
    record: &Record,
    folder: &Path,
    machine: &Machine,
    streams: usize,
    has_trouble: bool,
) -> io::Result<bool> {
    let store = Store::default();
    let store_address = store.start()?;
    store.put("keyed.op", "config", &config());
    for n in 1..=4 {
        let name = format!("i-{n}");
        let (_, address) = Runner::start(&name, Duration::from_millis(15))?;
        store.put(
            "keyed.servers",
            &name,
            &runner::entry("order-desk", address, 6, n),
        );
    }
    let in_trouble = Arc::new(AtomicBool::new(false));
    let flooding = Arc::new(AtomicUsize::new(0));
    for n in 5..=13 {
        let address = start_runner(Arc::clone(&in_trouble), Arc::clone(&flooding))?;
        store.put(
            "keyed.servers",
            &format!("i-{n}"),
            &runner::entry("menu-models", address, 64, n),
        );
    }
    let mut program = Program::start(folder, machine, store_address)?;
    let (callers, ready) = (program.callers, program.ready);
    wait_until_served(callers)?;
    record.line(&format!("the machine serves callers={callers}"));
    let began = Instant::now();
    let (trouble_at, end) = (
        began + Duration::from_secs(4),
        began + Duration::from_secs(14),
    );
    let watch = Watch::default();
    thread::scope(|scope| {
        watch.start(scope, record, (callers, ready), end);
        let (in_trouble, flooding) = (&in_trouble, &flooding);
        scope.spawn(move || {
            thread::sleep(trouble_at.saturating_duration_since(Instant::now()));
            in_trouble.store(has_trouble, Ordering::SeqCst);
            thread::sleep(Duration::from_secs(5));
            let requests = flooding.load(Ordering::SeqCst);
            record.line(&format!(
                "runners in trouble have got {requests} requests, and send heads to each"
            ));
            thread::sleep(end.saturating_duration_since(Instant::now()));
            in_trouble.store(false, Ordering::SeqCst);
        });
        for n in 0..streams {
            scope.spawn(move || {
                // They come within half a second.
                let pause = Duration::from_millis(50 + (n * 500 / streams) as u64);
                thread::sleep(trouble_at.saturating_duration_since(Instant::now()) + pause);
                let id = format!("draft{n:011}");
                let deadline = DEADLINE_MS.to_string();
                let headers = [
                    ("host", "ficu95.example"),
                    ("x-quetzalpick-attempt-id", id.as_str()),
                    ("x-quetzalpick-deadline-ms", deadline.as_str()),
                    ("x-quetzalpick-credential", KEY),
                ];
                let request = format_request("POST", "/draft/2f", &headers, b"a menu, please");
                let began = Instant::now();
                let answer = send(callers, &request, Duration::from_millis(DEADLINE_MS + 500));
                let status = answer.ok().map(|answer| answer.status);
                let took_ms = began.elapsed().as_millis();
                record.line(&format!(
                    "stream id={id} status={status:?} took_ms={took_ms}"
                ));
            });
        }
        Watch::follow(record, &mut program, end);
    });
    let ended = program.ended();
    let seen = watch.seen(record, end);
    let summary = format!(
        "tries={} unserved={} longest_ms_without_answer={} of_it_said_ready={} flooded_requests={} ended={ended:?}",
        seen.tries,
        seen.unserved,
        seen.longest.as_millis(),
        seen.longest_ready.as_millis(),
        flooding.load(Ordering::SeqCst)
    );
    record.line(&summary);
    println!("{summary}");
    Ok(seen.longest < STABLE && ended.is_none())
}
