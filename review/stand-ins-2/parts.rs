//! One part of prompts crashes each runner that begins to write an answer on it, while all prompts have many parts.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{format_answer, format_request, listen, read_request, send};
use crate::program::{Machine, Program};
use crate::record::Record;
use crate::runner;
use crate::store::Store;
use crate::watch::{KEY, STABLE};

const RUNNERS: u64 = 6;

/// Time that a runner reads a prompt, with what is before it.
const READING: Duration = Duration::from_millis(500);

/// Time until a crashed runner is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// Time in which requests come; requests that crash runners come from the given time on.
const SPAN: Duration = Duration::from_secs(30);
const TROUBLE_FROM: Duration = Duration::from_secs(4);

/// Pauses between two sound requests, and between two that crash runners.
const SOUND_EVERY: Duration = Duration::from_millis(7);
const DEADLY_EVERY: Duration = Duration::from_millis(1_000);

/// The part that crashes runners, and the number of other parts that requests share.
const DEADLY: u64 = 0xdead;
const POOL: u64 = 4_000;

/// Requests with the part that may reach runners after the fifth crash and `stable_window_ms`.
const ALLOWED: usize = 3;

/// What was seen at all runners.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// Arrivals of requests with the part.
    arrivals: Vec<Instant>,
}

/// State of one runner.
struct Boot {
    number: u64,
    down_until: Option<Instant>,
}

struct PartRunner {
    n: u64,
    store: Store,
    boot: Mutex<Boot>,
    address: Mutex<Option<SocketAddr>>,
    seen: Arc<Mutex<Seen>>,
    record: Record,
}

impl PartRunner {
    fn name(&self, boot: u64) -> String {
        format!("i-{}-{boot}", self.n)
    }

    /// Writes its entry, and removes that of its former boot.
    fn register(&self, boot: u64) {
        let Some(address) = *self.address.lock().unwrap() else {
            return;
        };
        if boot > 0 {
            self.store.put("keyed.servers", &self.name(boot - 1), "");
        }
        let entry = runner::entry("menu-models", address, 64, self.n + 100 * boot);
        self.store.put("keyed.servers", &self.name(boot), &entry);
    }

    /// Returns the present boot; `None` while the runner is down.
    fn boot(&self) -> Option<u64> {
        let boot = self.boot.lock().unwrap();
        boot.down_until.is_none().then_some(boot.number)
    }

    /// Ends the present boot, and starts the next one after some seconds.
    fn crash(self: &Arc<Self>, id: &str) {
        {
            let mut boot = self.boot.lock().unwrap();
            if boot.down_until.is_some() {
                return;
            }
            boot.down_until = Some(Instant::now() + BACK_AFTER);
            self.record.line(&format!(
                "runner={} crashes on id={id}",
                self.name(boot.number)
            ));
        }
        self.seen.lock().unwrap().crashes.push(Instant::now());
        let runner = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(BACK_AFTER);
            let number = {
                let mut boot = runner.boot.lock().unwrap();
                boot.number += 1;
                boot.down_until = None;
                boot.number
            };
            runner.register(number);
        });
    }

    fn serve(self: &Arc<Self>, stream: &mut TcpStream) -> io::Result<()> {
        let Some(boot) = self.boot() else {
            return Ok(());
        };
        let mut buffer = Vec::new();
        while let Some(request) = read_request(stream, &mut buffer)? {
            if self.boot() != Some(boot) {
                return Ok(());
            }
            let id = request
                .header("x-quetzalpick-attempt-id")
                .unwrap_or("")
                .to_owned();
            if request.header("x-quetzalpick-expect-instance") != Some(&self.name(boot)) {
                let headers = [
                    ("x-quetzalpick-not-executed", "1"),
                    ("x-quetzalpick-attempt-id", &id),
                ];
                stream.write_all(&format_answer(421, &headers, b""))?;
                continue;
            }
            let prompt = request.header("x-quetzalpick-prompt-prefix").unwrap_or("");
            let mut parts: Vec<&str> = prompt
                .split(',')
                .filter_map(|part| part.split(':').next())
                .collect();
            parts.pop();
            let is_deadly = parts.contains(&format!("{DEADLY:x}").as_str());
            if is_deadly {
                self.record
                    .line(&format!("runner={} gets id={id}", self.name(boot)));
                self.seen.lock().unwrap().arrivals.push(Instant::now());
            }
            let began = Instant::now();
            while began.elapsed() < READING {
                thread::sleep(Duration::from_millis(5));
                if self.boot() != Some(boot) {
                    return Ok(());
                }
            }
            if is_deadly {
                self.crash(&id);
                // Connections of a process that ends are closed in no order that the requests know of.
                thread::sleep(Duration::from_micros(
                    began.elapsed().as_nanos() as u64 % 5_000,
                ));
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
    }
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"ficu95.example\",\"path_prefix\":\"/draft/\",\
         \"kind\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":300,\"priority\":1,\
         \"service\":\"menu-models\",\"max_attempts\":1,\"resumable\":false,\"gap_aim_ms\":150}}],\
         \"services\":[{{\"name\":\"menu-models\",\"health_path\":\"/healthz\",\"max_conns\":370}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// Returns a request whose prompt has this many shared parts, the part that crashes runners among them if it is deadly.
fn request(id: &str, seed: u64, parts: u64, is_deadly: bool) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut prompt = String::from("1:92");
    for n in 1..parts {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        let part = if is_deadly && n == parts / 2 {
            DEADLY
        } else {
            0x10_0000 + state % POOL
        };
        prompt += &format!(",{part:x}:8");
    }
    prompt += &format!(",{:x}:40", 0x20_0000 + seed);
    let body = format!("a menu, please: {id}");
    let headers = [
        ("host", "ficu95.example"),
        ("x-quetzalpick-attempt-id", id),
        ("x-quetzalpick-deadline-ms", "12000"),
        ("x-quetzalpick-credential", KEY),
        ("x-quetzalpick-token-count", "1750,80"),
        ("x-quetzalpick-prompt-prefix", &prompt),
    ];
    format_request("POST", "/draft/2f", &headers, body.as_bytes())
}

/// Returns whether the rule was kept.
pub fn run(
    record: &Record,
    folder: &Path,
    machine: &Machine,
    parts: u64,
    has_trouble: bool,
) -> io::Result<bool> {
    let store = Store::default();
    let store_address = store.start()?;
    store.put("keyed.op", "config", &config());
    let seen = Arc::new(Mutex::new(Seen::default()));
    for n in 1..=RUNNERS {
        let runner = Arc::new(PartRunner {
            n,
            store: store.clone(),
            boot: Mutex::new(Boot {
                number: 0,
                down_until: None,
            }),
            address: Mutex::new(None),
            seen: Arc::clone(&seen),
            record: record.clone(),
        });
        let server = Arc::clone(&runner);
        let address = listen(move |mut stream| drop(server.serve(&mut stream)))?;
        *runner.address.lock().unwrap() = Some(address);
        runner.register(0);
    }
    let mut program = Program::start(folder, machine, store_address)?;
    let callers = program.callers;
    let limit = Duration::from_secs(12);
    let until = Instant::now() + Duration::from_secs(20);
    while !send(callers, &request("warm", 7, parts, false), limit)
        .is_ok_and(|answer| answer.status == 200)
    {
        if Instant::now() >= until {
            return Err(io::Error::other("the machine does not serve"));
        }
        thread::sleep(Duration::from_millis(200));
    }
    // The machine leads after some seconds.
    thread::sleep(Duration::from_secs(6));
    let began = Instant::now();
    let served = Mutex::new((0, 0));
    thread::scope(|scope| {
        let ask = |at: Duration, id: String, seed: u64, is_deadly: bool| {
            let served = &served;
            let record = &record;
            scope.spawn(move || {
                thread::sleep((began + at).saturating_duration_since(Instant::now()));
                let answer = send(callers, &request(&id, seed, parts, is_deadly), limit);
                let status = answer.ok().map(|answer| answer.status);
                if is_deadly {
                    record.line(&format!("consumer id={id} status={status:?}"));
                } else {
                    let mut served = served.lock().unwrap();
                    served.0 += 1;
                    served.1 += u32::from(status == Some(200));
                }
            });
        };
        let mut at = Duration::ZERO;
        let mut next_deadly = TROUBLE_FROM;
        let mut n = 0;
        while at < SPAN {
            // Threads are started a second ahead.
            thread::sleep(
                (began + at).saturating_duration_since(Instant::now() + Duration::from_secs(1)),
            );
            ask(at, format!("draft{n:011}"), n, false);
            if has_trouble && at >= next_deadly {
                ask(at, format!("deadly{n:010}"), 1_000_000 + n, true);
                next_deadly += DEADLY_EVERY;
            }
            at += SOUND_EVERY;
            n += 1;
        }
    });
    let seen = seen.lock().unwrap();
    let from = seen.crashes.get(4).map(|fifth| *fifth + STABLE);
    let late = seen
        .arrivals
        .iter()
        .filter(|at| from.is_some_and(|from| **at > from))
        .count();
    let (asked, answered) = *served.lock().unwrap();
    let log = program.log();
    for line in log
        .lines()
        .filter(|line| line.contains("quarantine: feature"))
    {
        record.line(&format!("log of the system: {line}"));
    }
    let summary = format!(
        "parts={parts} sound_requests={asked} served={answered} crashes={} requests_with_the_part_that_reached_runners={} too_late={late} allowed={ALLOWED} ended={:?}",
        seen.crashes.len(),
        seen.arrivals.len(),
        program.ended()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(late <= ALLOWED)
}
