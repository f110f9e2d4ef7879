//! LOST: streams that their clients take up again do not go on, as a second software version began to serve meanwhile.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, Outcome, Setting, Traffic, config, wait_until};
use crate::client::Call;
use crate::cluster::{Cluster, Machine};
use crate::runner::{Runner, Spec};
use crate::store::Store;

/// Number of runners of the first version.
const RUNNERS: usize = 4;

/// Streams of the batch, all at one machine, as the platform leads a client to.
const STREAMS: usize = 20;

/// Least number of streams that are taken up again for the rule to apply.
const STREAMS_MIN: usize = 12;

/// Time for which the system has run before the batch.
const SETTLED: Duration = Duration::from_secs(40);

/// Time from the start of the batch to that of the runner with the new version, and then to the loss of the machine.
const VERSION_AFTER: Duration = Duration::from_millis(1_500);
const LOST_AFTER: Duration = Duration::from_millis(2_500);

/// Time for which the machine has no power.
const DARK: Duration = Duration::from_millis(3_500);

/// Deadline of a client.
const DEADLINE: Duration = Duration::from_millis(15_000);

/// `Counts` counts streams.
#[derive(Default)]
struct Counts {
    /// Streams of the batch that have begun, that were taken up again, and of these the ones that went on.
    began: AtomicUsize,
    taken_up: AtomicUsize,
    went_on: AtomicUsize,
    /// New streams at the other machines, and those that began.
    new: AtomicUsize,
    new_began: AtomicUsize,
}

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::new(record);
    let server = store.serve();
    store.put_until_taken("keyed.op", "config", &config(1, &[KEY]));
    let start = |id: String, version| {
        let spec = Spec {
            id,
            service: "menu",
            version,
            models: &["m0", "m1"],
            crashes_on: None,
            rests_from: None,
        };
        Runner::start(spec, &store, record)
    };
    let _runners: Vec<Runner> = (0..RUNNERS).map(|n| start(format!("i-menu-{n}"), "v1")).collect();
    let cluster = Cluster::start(server.address, &setting.temporary, record)?;
    thread::sleep(SETTLED);
    // A machine that does not lead: the leader knows its own streams.
    let leader = store.leader().ok_or("no machine leads")?;
    let chosen = cluster.machines.iter().position(|machine| machine.name != leader);
    let chosen = chosen.ok_or("no machine to lose")?;

    let counts: Arc<Counts> = Arc::default();
    let batch: Vec<_> = (0..STREAMS)
        .map(|_| {
            let (machines, counts) = (Arc::clone(&cluster.machines), Arc::clone(&counts));
            let record = record.clone();
            thread::spawn(move || follow(&machines, chosen, &counts, &record))
        })
        .collect();
    let all_began = || counts.began.load(Ordering::SeqCst) == STREAMS;
    if !wait_until(Duration::from_secs(5), all_began) {
        return Err("the batch did not begin".to_owned());
    }
    thread::sleep(VERSION_AFTER);
    let _new_runner = start("i-menu-new".to_owned(), "v2");
    record.line("a runner with version v2 starts");
    thread::sleep(LOST_AFTER);
    let others = send_new(&cluster, chosen, Arc::clone(&counts));
    if setting.trouble {
        cluster.machines[chosen].kill();
        record.line(&format!("machine={} loses power", cluster.machines[chosen].name));
        thread::sleep(DARK);
        cluster.machines[chosen].start();
        record.line(&format!("machine={} starts again", cluster.machines[chosen].name));
    }
    for stream in batch {
        let _ = stream.join();
    }
    others.stop();
    judge(&counts, setting)
}

/// Receives a stream of the batch; if it breaks off, the client takes it up at the other machines, one after the other.
fn follow(machines: &[Machine], chosen: usize, counts: &Counts, record: &crate::record::Record) {
    let until = Instant::now() + DEADLINE;
    let first = call(until, String::new()).receive(machines[chosen].front, |_| {
        counts.began.fetch_add(1, Ordering::SeqCst);
    });
    let (attempt, last) = (first.attempt, first.events.last().copied());
    record.line(&format!(
        "stream attempt={attempt} machine={} status={:?} last_event={last:?} complete={}",
        machines[chosen].name, first.status, first.is_complete
    ));
    let (Some(last), false) = (last, first.is_complete) else {
        return;
    };
    counts.taken_up.fetch_add(1, Ordering::SeqCst);
    for turn in 1.. {
        if Instant::now() + Duration::from_millis(200) > until {
            return;
        }
        let other = (chosen + turn) % machines.len();
        if other == chosen {
            continue;
        }
        let machine = &machines[other];
        let lines = format!("Last-Event-Id: {last}\r\nResumes: {attempt}\r\n");
        let again = call(until, lines).receive(machine.front, |_| {});
        record.line(&format!(
            "taken up attempt={} resumes={attempt} machine={} status={:?} events={} versions={:?} complete={}",
            again.attempt,
            machine.name,
            again.status,
            again.events.len(),
            again.versions,
            again.is_complete
        ));
        if !again.events.is_empty() {
            counts.went_on.fetch_add(1, Ordering::SeqCst);
            return;
        }
        thread::sleep(again.retry_after.max(Duration::from_millis(100)));
    }
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

/// Begins new streams at the other machines; clients leave at the first event.
fn send_new(cluster: &Cluster, chosen: usize, counts: Arc<Counts>) -> Traffic {
    let machines = Arc::clone(&cluster.machines);
    Traffic::start(machines.len(), Duration::from_millis(1_000), move |client, _| {
        if client == chosen {
            return;
        }
        counts.new.fetch_add(1, Ordering::SeqCst);
        let until = Instant::now() + Duration::from_millis(2_000);
        let received = call(until, String::new()).receive(machines[client].front, |_| {
            counts.new_began.fetch_add(1, Ordering::SeqCst);
        });
        drop(received);
    })
}

/// Applies the rule.
fn judge(counts: &Counts, setting: &Setting) -> Outcome {
    let read = |count: &AtomicUsize| count.load(Ordering::SeqCst);
    let (taken_up, went_on) = (read(&counts.taken_up), read(&counts.went_on));
    let (new, new_began) = (read(&counts.new), read(&counts.new_began));
    let text = format!(
        "{went_on} of {taken_up} streams that were taken up again went on, {new_began} of {new} new streams began"
    );
    setting.record.line(&text);
    if setting.trouble && taken_up < STREAMS_MIN {
        return Err("too few streams were taken up".to_owned());
    }
    let is_broken = taken_up >= STREAMS_MIN && went_on * new * 2 < new_began * taken_up;
    Ok(is_broken.then_some(text))
}
