//! Measures the cost of a replica by the number of members: size and CPU time of an exchange over HTTP, time of a lease
//! check, and size of the state.
//!
//! `cargo run --release -p quetzalpick-node --example slopes`

use std::fs;
use std::time::{Duration, Instant};

use bytes::Bytes;
use quetzalpick_client::memory::Log;
use quetzalpick_client::traits::{Log as _, Stream};
use quetzalpick_core::id::{Command, Domain, Incarnation, Member, Offset, Vm};
use quetzalpick_core::record::{Author, Entry, Join, Record, Role, VoterChange};
use quetzalpick_core::state::State;
use quetzalpick_node::peer::{Application, Blob, Exchange, Http, Statement, Transport};
use quetzalpick_node::replica::{Options, Replica};

/// Numbers of members in the roster, one per run.
const MEMBERS: [u64; 4] = [16, 64, 256, 740];

/// Number of exchanges in each run.
const EXCHANGES: u32 = 20_000;

/// Number of lease checks in each run.
const CHECKS: u32 = 20_000;

/// Size of the application's payload in an exchange, in bytes.
const PAYLOAD_BYTES: usize = 512;

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// `NoApplication` refuses all calls.
#[derive(Debug, Clone)]
struct NoApplication;

impl Application for NoApplication {
    async fn call(&self, _: &Member, _: &str, _: Bytes) -> Option<Bytes> {
        None
    }
}

/// Returns the CPU time of this process, in seconds.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("/proc/self/stat is readable");
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

/// Creates a member id.
fn member(number: u64) -> Member {
    Member {
        vm: Vm::try_new(format!("ng-southwest-{number}/gate")).expect("short name"),
        incarnation: Incarnation(number << 40),
    }
}

/// Returns the entries with which members join and become voters.
fn entries(count: u64) -> Vec<Entry> {
    let mut state = State::default();
    let mut entries = Vec::new();
    let mut add = |record: Record, author: &Member| {
        let entry = Entry {
            command: Command(1, entries.len() as u64),
            author: Author::Member(author.clone()),
            expect: None,
            record,
        };
        state.apply(state.next(), &entry);
        entries.push(entry);
        (
            state.roster().voters_changed(),
            state.roster().voters().to_vec(),
        )
    };
    for number in 0..count {
        let member = member(number);
        let join = Join {
            member: member.clone(),
            role: Role::Gate,
            domain: Domain::try_new("a").expect("short name"),
            // Nothing listens there, so exchanges with these members fail at once.
            peer_address: format!("127.0.0.1:{}", 1 + number % 1000),
        };
        let (voters_changed, confirmed_by) = add(Record::Join(join), &member);
        let change = VoterChange {
            member: member.clone(),
            voters_changed,
            confirmed_by,
        };
        add(Record::ChangeVoters(change), &member);
    }
    entries
}

/// Measures one roster size and prints a line.
async fn measure(count: u64) {
    let log = Log::new();
    let mut folded = State::default();
    let entries = entries(count);
    let start = Instant::now();
    for entry in &entries {
        folded.apply(folded.next(), entry);
    }
    let fold_us = start.elapsed().as_secs_f64() * 1e6 / entries.len() as f64;
    let bytes = entries
        .iter()
        .map(|e| e.to_bytes().expect("entries encode").into());
    let appended = log.append(Stream::Control, bytes.collect()).await;
    appended.expect("the log accepts the entries");
    let domain = Domain::try_new("a").expect("short name");
    let mut options = Options::new(member(0), Role::Gate, domain, "127.0.0.1:0");
    options.secret = "the shared secret".to_owned();
    // The replica should send no messages of its own during the measurement.
    options.lease = Duration::from_secs(600);
    options.exchange_interval = Duration::from_secs(300);
    options.suspicion = Duration::from_secs(600);
    let http = Http::new(&options.secret);
    let (listener, address) = http.bind("127.0.0.1:0").await.expect("a free port");
    drop(listener);
    options.listen = address.clone();
    options.peer_address = address.clone();
    let replica = Replica::try_start(log, options, NoApplication)
        .await
        .expect("a free port");
    replica.set_payload(vec![7; PAYLOAD_BYTES].into());
    while replica.check_lease().await.is_err() {}

    let exchange = Exchange {
        statement: Statement {
            member: member(1),
            applied: Offset(entries.len() as u64),
            digest: folded.digest(),
        },
        role: Role::Gate,
        domain: Domain::try_new("a").expect("short name"),
        address: "127.0.0.1:1".to_owned(),
        active: true,
        payload: Blob(vec![7; PAYLOAD_BYTES].into()),
    };
    let body = Bytes::from(rmp_serde::to_vec(&exchange).expect("exchanges encode"));
    let cpu_before = cpu_seconds();
    let mut answer = Bytes::new();
    for _ in 0..EXCHANGES {
        let call = http.call(&address, "/peer/exchange", body.clone());
        answer = call.await.expect("an answer");
    }
    let exchange_us = (cpu_seconds() - cpu_before) * 1e6 / f64::from(EXCHANGES);
    let start = Instant::now();
    let held = (0..CHECKS).filter(|_| replica.is_leased()).count();
    let check_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(CHECKS);
    assert_eq!(held, CHECKS as usize, "the lease is held all the time");
    let state = folded.to_bytes().expect("states encode").len();
    println!(
        "{count:>7} {:>12} {:>12} {exchange_us:>12.1} {check_us:>12.2} {fold_us:>12.1} {state:>12}",
        body.len(),
        answer.len(),
    );
    replica.stop();
}

#[tokio::main]
async fn main() {
    println!(
        "{:>7} {:>12} {:>12} {:>12} {:>12} {:>12} {:>12}",
        "members", "request B", "answer B", "CPU us/exch", "us/check", "us/entry", "state B"
    );
    for count in MEMBERS {
        measure(count).await;
    }
    println!(
        "CPU us/exch is both sides together; request and answer are bodies without HTTP heads"
    );
}
