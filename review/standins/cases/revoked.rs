//! CONFIG: after a drill, a key that was taken away is accepted until the next change of the config.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, LEAD, OTHER_KEY, Outcome, Setting, Traffic, config, wait_until};
use crate::client::Call;
use crate::cluster::Cluster;
use crate::runner::{Runner, Spec};
use crate::store::Store;

/// Number of runners.
const RUNNERS: usize = 3;

/// Bound on the time for which a key that was taken away is accepted.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Pause between two changes of the config.
const CHANGE_PAUSE: Duration = Duration::from_millis(1_000);

/// Time from the last change to the drill.
const DRILL_AFTER: Duration = Duration::from_millis(2_000);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_500);

/// Time for which requests with the key are sent after the bound.
const WATCHED: Duration = Duration::from_secs(10);

/// `Sent` is a request with the key.
struct Sent {
    at: Instant,
    attempt: String,
    machine: String,
}

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::new(record);
    let server = store.serve();
    let put = |version, keys: &[&str]| {
        let offset = store.put_until_taken("keyed.op", "config", &config(version, keys));
        record.line(&format!("operator writes version={version} keys={keys:?} offset={offset}"));
    };
    put(1, &[KEY, OTHER_KEY]);
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
    let runs = || runners.iter().map(|r| r.runs.lock().unwrap().len()).sum::<usize>();
    if !wait_until(Duration::from_secs(10), || runs() >= 10) {
        traffic.stop();
        return Err("no requests ran".to_owned());
    }
    let copied = Instant::now();
    thread::sleep(CHANGE_PAUSE);
    put(2, &[KEY, OTHER_KEY]);
    thread::sleep(CHANGE_PAUSE);
    put(3, &[KEY, OTHER_KEY]);
    thread::sleep(DRILL_AFTER);
    if setting.trouble {
        store.drill(AWAY, copied);
        // The store has lost versions 2 and 3: the operator writes its newest config again, then the change that waited.
        put(3, &[KEY, OTHER_KEY]);
    } else {
        thread::sleep(AWAY);
    }
    put(4, &[OTHER_KEY]);
    let acknowledged = Instant::now();
    thread::sleep(REVOKE + WATCHED);
    traffic.stop();
    Ok(find_late_runs(&sent.lock().unwrap(), &runners, acknowledged))
}

/// Sends requests with the key to all machines.
fn send(cluster: &Cluster, setting: &Setting, sent: Arc<Mutex<Vec<Sent>>>) -> Traffic {
    let (machines, record) = (Arc::clone(&cluster.machines), setting.record.clone());
    Traffic::start(machines.len(), Duration::from_millis(250), move |client, _| {
        let machine = &machines[client];
        let call = Call {
            method: "POST",
            path: "/booking/a",
            key: KEY,
            deadline_ms: 1_500,
            lines: String::new(),
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
            machine: machine.name.clone(),
        });
    })
}

/// Returns how many requests ran that were sent with the key after the bound, if any did.
fn find_late_runs(sent: &[Sent], runners: &[Runner], acknowledged: Instant) -> Option<String> {
    let late = sent.iter().filter(|request| request.at > acknowledged + REVOKE);
    let late: Vec<&Sent> = late.collect();
    let ran = |request: &&&Sent| {
        let mut runs = runners.iter().flat_map(|runner| runner.runs.lock().unwrap().clone());
        runs.any(|run| run.attempt == request.attempt)
    };
    let ran: Vec<&&Sent> = late.iter().filter(ran).collect();
    let last = ran.last()?;
    let after_s = last.at.duration_since(acknowledged).as_secs_f64();
    let mut machines: Vec<&str> = ran.iter().map(|request| request.machine.as_str()).collect();
    machines.sort_unstable();
    machines.dedup();
    Some(format!(
        "{} of {} requests with the key ran that were sent later than 5 s after the ack, the last one {after_s:.1} s after it, \
         at {machines:?}",
        ran.len(),
        late.len()
    ))
}
