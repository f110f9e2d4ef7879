//! ROUTE: an entry of another writer, with fields missing, brings requests of one service to a runner of another.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, LEAD, Outcome, Setting, Traffic, config, wait_until};
use crate::client::Call;
use crate::cluster::Cluster;
use crate::runner::{Runner, Spec};
use crate::store::Store;

/// Number of runners of the desk, to which the only route of the requests leads.
const RUNNERS: usize = 4;

/// Time for which requests are sent.
const SENT: Duration = Duration::from_secs(10);

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::new(record);
    let server = store.serve();
    store.put_until_taken("keyed.op", "config", &config(1, &[KEY]));
    let start = |id: String, service| {
        let spec = Spec {
            id,
            service,
            version: "v1",
            models: if service == "menu" { &["m0", "m1"] } else { &[] },
            crashes_on: None,
            rests_from: None,
        };
        Runner::start(spec, &store, record)
    };
    let desk: Vec<Runner> = (0..RUNNERS).map(|n| start(format!("i-desk-{n}"), "desk")).collect();
    let menu = start("i-menu-0".to_owned(), "menu");
    let cluster = Cluster::start(server.address, &setting.temporary, record)?;
    thread::sleep(LEAD);
    let traffic = send(&cluster, setting);
    if !wait_until(Duration::from_secs(10), || desk[0].runs.lock().unwrap().len() >= 10) {
        traffic.stop();
        return Err("no requests ran".to_owned());
    }
    if setting.trouble {
        let entry = incomplete_entry(&menu);
        store.put_until_taken("keyed.servers", menu.id(), &entry);
        record.line(&format!("another writer writes servers/{} {entry}", menu.id()));
    }
    let written = Instant::now();
    thread::sleep(SENT);
    traffic.stop();
    Ok(find_foreign_runs(&menu, written))
}

/// Returns an entry under the id of a runner that lacks `cold_left_ms`, `seq` and `born`.
fn incomplete_entry(runner: &Runner) -> String {
    let address = runner.server.address;
    format!(
        "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\"}}"
    )
}

/// Sends bookings, which may run at the desk only, to all machines.
fn send(cluster: &Cluster, setting: &Setting) -> Traffic {
    let (machines, record) = (Arc::clone(&cluster.machines), setting.record.clone());
    Traffic::start(machines.len() * 2, Duration::from_millis(50), move |client, _| {
        let machine = &machines[client % machines.len()];
        let call = Call {
            method: "POST",
            path: "/booking/a",
            key: KEY,
            deadline_ms: 1_500,
            lines: String::new(),
            body: "booking",
        };
        let answer = call.send(machine.front);
        record.line(&format!(
            "answer machine={} attempt={} status={:?}",
            machine.name, answer.attempt, answer.status
        ));
    })
}

/// Returns how many bookings ran at the runner of the other service, if any did.
fn find_foreign_runs(menu: &Runner, written: Instant) -> Option<String> {
    let runs = menu.runs.lock().unwrap();
    let bookings: Vec<_> = runs.iter().filter(|run| run.path.starts_with("/booking/")).collect();
    let last = bookings.last()?;
    let after_s = last.at.duration_since(written).as_secs_f64();
    Some(format!(
        "{} bookings ran at runner={} of service menu, the last one {after_s:.1} s after the incomplete entry was written",
        bookings.len(),
        menu.id()
    ))
}
