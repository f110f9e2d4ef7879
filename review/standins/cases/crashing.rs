//! BUDGET: a request that crashes all runners that run it is sent again and again, as it was answered before.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, LEAD, Outcome, Setting, Traffic, config, wait_until};
use crate::client::Call;
use crate::cluster::Cluster;
use crate::runner::{Run, Runner, Spec};
use crate::store::Store;

/// Number of runners.
const RUNNERS: usize = 6;

/// Time after which a runner that has crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(3_000);

/// Path of the request that crashes runners.
const PATH: &str = "/status/order-4711";

/// Time after the third crash from which retries count: `stable_window_ms`.
const STABLE: Duration = Duration::from_millis(3_000);

/// Retries that may reach runners after that.
const RETRIES_MAX: usize = 3;

/// Pause between two requests for the order's status.
const REPEAT: Duration = Duration::from_millis(1_000);

/// Time for which the request is repeated once it crashes runners.
const WATCHED: Duration = Duration::from_secs(40);

/// `Fleet` holds the runners, and those that have crashed.
struct Fleet {
    runners: Mutex<Vec<Runner>>,
    former: Mutex<Vec<Runner>>,
}

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::new(record);
    let server = store.serve();
    store.put_until_taken("keyed.op", "config", &config(1, &[KEY]));
    let begun = Arc::new(AtomicBool::new(false));
    let start = {
        let (store, record, begun) = (store.clone(), record.clone(), Arc::clone(&begun));
        move |number: usize, start: usize| {
            let spec = Spec {
                id: format!("i-desk-{number}-{start}"),
                service: "desk",
                version: "v1",
                models: &[],
                crashes_on: Some((PATH, Arc::clone(&begun))),
                rests_from: None,
            };
            Runner::start(spec, &store, &record)
        }
    };
    let fleet = Arc::new(Fleet {
        runners: Mutex::new((0..RUNNERS).map(|number| start(number, 1)).collect()),
        former: Mutex::default(),
    });
    let cluster = Cluster::start(server.address, &setting.temporary, record)?;
    thread::sleep(LEAD);
    let traffic = send_others(&cluster, setting);
    let status = repeat(&cluster, setting);
    if !wait_until(Duration::from_secs(30), || runs(&fleet, PATH).len() >= 12) {
        return Err("the request was not answered at first".to_owned());
    }
    if setting.trouble {
        begun.store(true, Ordering::SeqCst);
        record.line(&format!("from now on path={PATH} crashes each runner that begins to run it"));
    }
    let replaced = {
        let fleet = Arc::clone(&fleet);
        let act = move |_, _| replace_crashed(&fleet, &start, &store);
        Traffic::start(1, Duration::from_millis(50), act)
    };
    thread::sleep(WATCHED);
    status.stop();
    traffic.stop();
    replaced.stop();
    Ok(find_retries(&fleet))
}

/// Starts runners again some seconds after they have crashed.
fn replace_crashed(fleet: &Fleet, start: &impl Fn(usize, usize) -> Runner, store: &Store) {
    for number in 0..RUNNERS {
        let runner = fleet.runners.lock().unwrap()[number].clone();
        let crashed = *runner.crashed.lock().unwrap();
        if !crashed.is_some_and(|at| at.elapsed() >= BACK_AFTER) {
            continue;
        }
        // The entry of the former start expires.
        store.put_until_taken("keyed.servers", runner.id(), "");
        let starts = fleet.former.lock().unwrap().len() + 2;
        let new = start(number, starts);
        let old = std::mem::replace(&mut fleet.runners.lock().unwrap()[number], new);
        fleet.former.lock().unwrap().push(old);
    }
}

/// Sends sound requests to all machines.
fn send_others(cluster: &Cluster, setting: &Setting) -> Traffic {
    let (machines, record) = (Arc::clone(&cluster.machines), setting.record.clone());
    Traffic::start(machines.len(), Duration::from_millis(300), move |client, turn| {
        let path = format!("/booking/{client}-{turn}");
        let call = Call {
            method: "POST",
            path: &path,
            key: KEY,
            deadline_ms: 1_500,
            lines: String::new(),
            body: "booking",
        };
        let answer = call.send(machines[client].front);
        record.line(&format!(
            "answer machine={} attempt={} path={path} status={:?}",
            machines[client].name, answer.attempt, answer.status
        ));
    })
}

/// Asks for the status of one order again and again, at one machine after the other.
fn repeat(cluster: &Cluster, setting: &Setting) -> Traffic {
    let (machines, record) = (Arc::clone(&cluster.machines), setting.record.clone());
    Traffic::start(1, REPEAT, move |_, turn| {
        let machine = &machines[turn as usize % machines.len()];
        let call = Call {
            method: "GET",
            path: PATH,
            key: KEY,
            deadline_ms: 1_500,
            lines: String::new(),
            body: "",
        };
        let answer = call.send(machine.front);
        record.line(&format!(
            "answer machine={} attempt={} path={PATH} status={:?}",
            machine.name, answer.attempt, answer.status
        ));
    })
}

/// Returns all runners, those too that have crashed.
fn all(fleet: &Fleet) -> Vec<Runner> {
    let mut runners = fleet.runners.lock().unwrap().clone();
    runners.extend(fleet.former.lock().unwrap().clone());
    runners
}

/// Returns the runs of requests with a path, oldest first.
fn runs(fleet: &Fleet, path: &str) -> Vec<Run> {
    let runners = all(fleet);
    let runs = runners.iter().flat_map(|runner| runner.runs.lock().unwrap().clone());
    let mut runs: Vec<Run> = runs.filter(|run| run.path == path).collect();
    runs.sort_by_key(|run| run.at);
    runs
}

/// Returns how often the request reached runners after its third crash, if too often. A retry counts once, even if it reaches two
/// runners.
fn find_retries(fleet: &Fleet) -> Option<String> {
    let runners = all(fleet);
    let crashed = runners.iter().filter_map(|runner| *runner.crashed.lock().unwrap());
    let mut crashes: Vec<Instant> = crashed.collect();
    crashes.sort_unstable();
    let third = *crashes.get(2)?;
    let runs = runs(fleet, PATH);
    let late = runs.iter().filter(|run| run.at > third + STABLE);
    let mut attempts: Vec<&str> = late.map(|run| run.attempt.as_str()).collect();
    attempts.sort_unstable();
    attempts.dedup();
    (attempts.len() > RETRIES_MAX).then(|| {
        format!(
            "{} retries reached runners later than 3 s after the third crash, {} runners crashed in all",
            attempts.len(),
            crashes.len()
        )
    })
}
