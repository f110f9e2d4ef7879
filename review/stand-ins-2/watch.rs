//! Ordinary consumers at one machine, and what they and the platform see of it.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread::{self, Scope};
use std::time::{Duration, Instant};

use crate::http::{format_request, send};
use crate::program::Program;
use crate::record::Record;

/// `stable_window_ms` of the sheets.
pub const STABLE: Duration = Duration::from_millis(3_000);

/// Key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Consumers that send a request every quarter of a second, each on a new connection.
const CONSUMERS: usize = 8;

/// Time after which a consumer gives up a node that has not read an idempotent request.
const UNREAD: Duration = Duration::from_secs(1);

/// What an ordinary consumer saw of one try.
struct Try {
    consumer: usize,
    began: Instant,
    ended: Instant,
    status: Option<u16>,
}

/// What was seen of a machine.
#[derive(Default)]
pub struct Watch {
    tries: Mutex<Vec<Try>>,
    /// Statuses of the answers to the platform's question whether it is ready.
    ready: Mutex<Vec<(Instant, Option<u16>)>>,
}

/// The verdict on what was seen.
pub struct Seen {
    pub tries: usize,
    pub unserved: usize,
    /// Longest time in which no try was answered, while seven consumers or more tried.
    pub longest: Duration,
    /// The same, of the times in which the machine always said that it was ready.
    pub longest_ready: Duration,
}

/// Returns an idempotent request with the deadline of the sheet.
pub fn status_request(id: &str) -> Vec<u8> {
    let headers = [
        ("host", "ficu95.example"),
        ("x-quetzalpick-attempt-id", id),
        ("x-quetzalpick-deadline-ms", "1500"),
        ("x-quetzalpick-credential", KEY),
    ];
    format_request("GET", "/status/2f", &headers, b"")
}

/// Waits until a machine serves.
pub fn wait_until_served(callers: SocketAddr) -> std::io::Result<()> {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let answer = send(callers, &status_request("warm"), UNREAD);
        if answer.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(std::io::Error::other("the machine does not serve"));
        }
        thread::sleep(Duration::from_millis(100));
    }
}

impl Watch {
    /// Starts the consumers, and the platform's questions, until `end`.
    pub fn start<'scope>(
        &'scope self,
        scope: &'scope Scope<'scope, '_>,
        record: &'scope Record,
        (callers, ready): (SocketAddr, SocketAddr),
        end: Instant,
    ) {
        for consumer in 0..CONSUMERS {
            scope.spawn(move || {
                for n in 0.. {
                    let began = Instant::now();
                    if began >= end {
                        return;
                    }
                    let id = format!("c{consumer}-{n}");
                    let answer = send(callers, &status_request(&id), UNREAD);
                    let ended = Instant::now();
                    let status = answer.as_ref().ok().map(|answer| answer.status);
                    let took_ms = (ended - began).as_millis();
                    record.line(&format!(
                        "consumer={consumer} id={id} status={status:?} took_ms={took_ms}"
                    ));
                    let one = Try {
                        consumer,
                        began,
                        ended,
                        status,
                    };
                    self.tries.lock().unwrap().push(one);
                    thread::sleep(Duration::from_millis(250).saturating_sub(ended - began));
                }
            });
        }
        scope.spawn(move || {
            while Instant::now() < end {
                let request = format_request("GET", "/readyz", &[("host", "x")], b"");
                let asked = Instant::now();
                let status = send(ready, &request, UNREAD)
                    .ok()
                    .map(|answer| answer.status);
                record.line(&format!("ready={status:?}"));
                self.ready.lock().unwrap().push((asked, status));
                thread::sleep(Duration::from_secs(1).saturating_sub(asked.elapsed()));
            }
        });
    }

    /// Records the memory of the process, and whether it ended, until `end`.
    pub fn follow(record: &Record, program: &mut Program, end: Instant) {
        while Instant::now() < end {
            let (memory, ended) = (program.memory_kb(), program.ended());
            record.line(&format!("memory_kb={memory:?} ended={ended:?}"));
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Returns the verdict, up to `end`.
    pub fn seen(self, record: &Record, end: Instant) -> Seen {
        let tries = self.tries.into_inner().unwrap();
        let ready = self.ready.into_inner().unwrap();
        let answered = tries.iter().filter(|one| one.status.is_some());
        let mut times: Vec<Instant> = answered.map(|one| one.ended).collect();
        times.sort_unstable();
        times.push(end);
        let mut seen = Seen {
            tries: tries.len(),
            unserved: tries.iter().filter(|one| one.status != Some(200)).count(),
            longest: Duration::ZERO,
            longest_ready: Duration::ZERO,
        };
        for pair in times.windows(2) {
            let (from, to) = (pair[0], pair[1]);
            let gap = to.saturating_duration_since(from);
            let tried = |consumer: &usize| {
                let mut own = tries.iter().filter(|one| one.consumer == *consumer);
                own.any(|one| one.began >= from && one.began + Duration::from_millis(500) <= to)
            };
            if gap < Duration::from_secs(1) || (0..CONSUMERS).filter(tried).count() < 7 {
                continue;
            }
            let mut asked = ready
                .iter()
                .filter(|(at, _)| *at >= from && *at <= to)
                .peekable();
            let says_ready =
                asked.peek().is_some() && asked.all(|(_, status)| *status == Some(200));
            record.line(&format!(
                "no try was answered from {} to {} ms, says_ready={says_ready}",
                record.ms(from),
                record.ms(to)
            ));
            seen.longest = seen.longest.max(gap);
            if says_ready {
                seen.longest_ready = seen.longest_ready.max(gap);
            }
        }
        seen
    }
}
