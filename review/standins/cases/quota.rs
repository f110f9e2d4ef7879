//! QUOTA: a leader that has just started, and cannot read the list of machines, lets each machine use the share of all.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, LEAD, Outcome, Setting, Traffic, config_with_limit};
use crate::client::Call;
use crate::cluster::Cluster;
use crate::runner::{Runner, Spec};
use crate::store::Store;

/// Number of runners.
const RUNNERS: usize = 4;

/// Allowance of the tenant, in tokens.
const RATE: u64 = 20_000;
const BURST: u64 = 20_000;

/// Tokens of a request.
const TOKENS: u64 = 1_000;

/// Bounds of the rule: `quota_window_s`, `quota_over` and `quota_slack`.
const WINDOW: Duration = Duration::from_secs(8);
const OVER: f64 = 0.1;
const SLACK: f64 = 7_500.0;

/// Topic whose partition is down.
const MEMBERS: &str = "keyed.quetzalpick-members";

/// Time for which the partition is down.
const DOWN: Duration = Duration::from_millis(4_500);

/// Time from the outage to the kill of the leader, and then to the start of its process.
const KILLED_AFTER: Duration = Duration::from_millis(300);
const STARTED_AFTER: Duration = Duration::from_millis(500);

/// `Sent` is a request of the tenant.
struct Sent {
    at: Instant,
    attempt: String,
}

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::new(record);
    let server = store.serve();
    store.put_until_taken("keyed.op", "config", &config_with_limit(1, &[KEY], RATE, BURST));
    let spec = |number| Spec {
        id: format!("i-desk-{number}"),
        service: "desk",
        version: "v1",
        models: &[],
        crashes_on: None,
        rests_from: None,
    };
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|number| Runner::start(spec(number), &store, record))
        .collect();
    let cluster = Cluster::start(server.address, &setting.temporary, record)?;
    thread::sleep(LEAD);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let traffic = send(&cluster, setting, Arc::clone(&sent));
    thread::sleep(Duration::from_secs(12));
    if setting.trouble {
        store.set_down(&[MEMBERS]);
        thread::sleep(KILLED_AFTER);
        let name = store.leader().ok_or("no machine leads")?;
        let leader = cluster.machine(&name).ok_or("the leader is unknown")?;
        leader.kill();
        record.line(&format!("machine={name} killed"));
        thread::sleep(STARTED_AFTER);
        leader.start();
        record.line(&format!("machine={name} starts again"));
        thread::sleep(DOWN - KILLED_AFTER - STARTED_AFTER);
        store.set_down(&[]);
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(Duration::from_secs(8));
    traffic.stop();
    Ok(find_excess(setting, &sent.lock().unwrap(), &runners))
}

/// Sends requests of the tenant to all machines, several times as many as its allowance.
fn send(cluster: &Cluster, setting: &Setting, sent: Arc<Mutex<Vec<Sent>>>) -> Traffic {
    let (machines, record) = (Arc::clone(&cluster.machines), setting.record.clone());
    Traffic::start(machines.len() * 2, Duration::from_millis(80), move |client, _| {
        let machine = &machines[client % machines.len()];
        if !machine.is_up() {
            return;
        }
        let call = Call {
            method: "POST",
            path: "/booking/a",
            key: KEY,
            deadline_ms: 1_500,
            lines: format!("X-Quetzalpick-Token-Count: {},100\r\n", TOKENS - 100),
            body: "booking",
        };
        let at = Instant::now();
        let answer = call.send(machine.front);
        record.line(&format!(
            "answer machine={} attempt={} status={:?}",
            machine.name, answer.attempt, answer.status
        ));
        sent.lock().unwrap().push(Sent {
            at,
            attempt: answer.attempt,
        });
    })
}

/// Returns by how much the tenant exceeded its allowance in some window, if it did.
fn find_excess(setting: &Setting, sent: &[Sent], runners: &[Runner]) -> Option<String> {
    let runs: Vec<_> = runners.iter().flat_map(|r| r.runs.lock().unwrap().clone()).collect();
    // When each request that ran was sent, and when it arrived.
    let mut ran: Vec<(Instant, Instant)> = Vec::new();
    for request in sent {
        if let Some(run) = runs.iter().find(|run| run.attempt == request.attempt) {
            ran.push((request.at, run.at));
        }
    }
    ran.sort_unstable();
    let in_window = |from: Instant| {
        let within = |(sent, run): &&(Instant, Instant)| *sent >= from && *run <= from + WINDOW;
        ran.iter().filter(within).count() as u64 * TOKENS
    };
    let (from, most) = ran
        .iter()
        .map(|(sent, _)| (*sent, in_window(*sent)))
        .max_by_key(|(_, tokens)| *tokens)?;
    let allowed = (RATE as f64 * WINDOW.as_secs_f64() + BURST as f64) * (1.0 + OVER) + SLACK;
    let from_s = from.duration_since(setting.record.start).as_secs_f64();
    let text = format!("{most} tokens ran in the 8 s from {from_s:.1} s on, {allowed:.0} are allowed");
    setting.record.line(&text);
    (most as f64 > allowed).then_some(text)
}
