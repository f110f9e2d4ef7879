//! ORDER: streams that began at a runner of a new software version go on at one of the old version, at a machine that stood still.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, Outcome, Setting, config, wait_until};
use crate::client::Call;
use crate::cluster::Cluster;
use crate::runner::{Runner, Spec};
use crate::store::Store;

/// Number of runners of the first version; the first one alone holds the model that is asked for.
const RUNNERS: usize = 5;

/// Number of streams, of which two may hold events of two versions.
const STREAMS: usize = 6;
const STREAMS_MAX: usize = 2;

/// Time for which the system has run with one version.
const SETTLED: Duration = Duration::from_secs(40);

/// Deadline of a client.
const DEADLINE: Duration = Duration::from_millis(12_000);

/// Prefix of the attempts that are sent to the leader, by which the runner knows that machine.
const LEADER_PREFIX: &str = "a";

/// Time for which the runner wants nothing from that machine, in seconds.
const REST_S: u64 = 8;

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::new(record);
    let server = store.serve();
    store.put_until_taken("keyed.op", "config", &config(1, &[KEY]));
    let start = |id: String, version, models, rests_from| {
        let spec = Spec {
            id,
            service: "menu",
            version,
            models,
            crashes_on: None,
            rests_from,
        };
        Runner::start(spec, &store, record)
    };
    let rest = Some((LEADER_PREFIX, REST_S));
    let _first = start("i-menu-0".to_owned(), "v1", &["m0", "m1"], rest);
    let _others: Vec<Runner> = (1..RUNNERS)
        .map(|n| start(format!("i-menu-{n}"), "v1", &["m1"], None))
        .collect();
    let cluster = Cluster::start(server.address, &setting.temporary, record)?;
    thread::sleep(SETTLED);
    let leader = store.leader().ok_or("no machine leads")?;
    let leading = cluster.machine(&leader).ok_or("the leader is unknown")?;
    let still = cluster.machines.iter().find(|machine| machine.name != leader);
    let still = still.ok_or("no other machine")?;

    // The only runner with the model turns a request away and asks the leader's machine for a rest.
    let refused = call(Instant::now() + DEADLINE, String::new()).receive_as(LEADER_PREFIX, leading.front, |_| {});
    record.line(&format!("first request at machine={leader} status={:?}", refused.status));
    if setting.trouble {
        still.signal("STOP");
        record.line(&format!("machine={} stands still", still.name));
    }
    let stopped = Instant::now();
    let new = start("i-menu-new".to_owned(), "v2", &["m0", "m1"], None);
    record.line("a runner with version v2 starts");
    let (began, mixed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let taken_up_at = still.front;
    let went_wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..STREAMS)
        .map(|_| {
            let (began, mixed, record) = (Arc::clone(&began), Arc::clone(&mixed), record.clone());
            let (front, over, went_wrong) = (leading.front, Arc::clone(&over), Arc::clone(&went_wrong));
            thread::spawn(move || {
                let until = Instant::now() + DEADLINE;
                // Until the leader knows the new runner, it has none for this model.
                let first = loop {
                    let first = call(until, String::new()).receive_as(LEADER_PREFIX, front, |_| {
                        began.fetch_add(1, Ordering::SeqCst);
                    });
                    if !first.events.is_empty() || over.load(Ordering::SeqCst) {
                        break first;
                    }
                    thread::sleep(Duration::from_millis(20));
                };
                record.line(&format!(
                    "stream attempt={} versions={:?} last_event={:?} complete={}",
                    first.attempt,
                    first.versions,
                    first.events.last(),
                    first.is_complete
                ));
                let Some(last) = first.events.last().filter(|_| !first.is_complete) else {
                    return;
                };
                let lines = format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", first.attempt);
                let again = call(until, lines).receive(taken_up_at, |_| {});
                record.line(&format!(
                    "taken up attempt={} resumes={} status={:?} events={} versions={:?}",
                    again.attempt,
                    first.attempt,
                    again.status,
                    again.events.len(),
                    again.versions
                ));
                if again.versions.iter().any(|version| !first.versions.contains(version)) {
                    mixed.fetch_add(1, Ordering::SeqCst);
                    went_wrong.lock().unwrap().push(first.attempt);
                }
            })
        })
        .collect();
    let all_began = || began.load(Ordering::SeqCst) == STREAMS;
    let have_begun = wait_until(Duration::from_secs(6), all_began);
    over.store(true, Ordering::SeqCst);
    if setting.trouble {
        new.crash();
        // The clients have time to take their streams up, at the machine that stands still.
        thread::sleep(Duration::from_millis(50));
        still.signal("CONT");
        let stood_s = stopped.elapsed().as_secs_f64();
        record.line(&format!("machine={} goes on after {stood_s:.2} s", still.name));
    }
    for client in clients {
        let _ = client.join();
    }
    if !have_begun {
        return Err("the streams did not begin".to_owned());
    }
    let mixed = mixed.load(Ordering::SeqCst);
    let text = format!("{mixed} of {STREAMS} streams hold events from runners of two versions");
    record.line(&text);
    Ok((mixed > STREAMS_MAX).then_some(text))
}

/// Returns the request for a stream.
fn call(until: Instant, lines: String) -> Call<'static> {
    let left = until.saturating_duration_since(Instant::now());
    Call {
        method: "POST",
        path: "/batch/a",
        key: KEY,
        deadline_ms: left.as_millis() as u64,
        lines: format!("X-Quetzalpick-Model: m0\r\nX-Quetzalpick-Token-Count: 700,540\r\n{lines}"),
        body: "batch",
    }
}
