//! ONE: after a drill, a leader gives orders with the epoch number of another machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, LEAD, Outcome, Setting, Traffic, config, sleep_until, wait_until};
use crate::client::Call;
use crate::cluster::Cluster;
use crate::runner::{Order, Runner, Spec};
use crate::store::Store;

/// Number of runners of the models.
const RUNNERS: usize = 4;

/// Adapters that are asked for: more than the runners hold, so that orders are given all the time.
const ADAPTERS: u64 = 60;

/// Time for which the leader's machine has no power.
const DARK: Duration = Duration::from_millis(3_500);

/// Time after the loss of the leader to which the drill's copy goes back.
const COPIED_AFTER: Duration = Duration::from_millis(600);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time from the loss of the leader to the drill.
const DRILL_AFTER: Duration = Duration::from_millis(7_000);

/// Time for which orders are watched after the drill.
const WATCHED: Duration = Duration::from_secs(12);

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::new(record);
    let server = store.serve();
    store.put_until_taken("keyed.op", "config", &config(1, &[KEY]));
    let spec = |number| Spec {
        id: format!("i-menu-{number}"),
        service: "menu",
        version: "v1",
        models: &["m0", "m1"],
        crashes_on: None,
        rests_from: None,
    };
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|number| Runner::start(spec(number), &store, record))
        .collect();
    let cluster = Cluster::start(server.address, &setting.temporary, record)?;
    thread::sleep(LEAD);
    let traffic = send(&cluster, setting);
    let outcome = watch(setting, &store, &cluster, &runners);
    traffic.stop();
    outcome
}

/// Sends drafts with many adapters to all machines.
fn send(cluster: &Cluster, setting: &Setting) -> Traffic {
    let (machines, record) = (Arc::clone(&cluster.machines), setting.record.clone());
    Traffic::start(machines.len(), Duration::from_millis(200), move |client, turn| {
        let machine = &machines[client];
        if !machine.is_up() {
            return;
        }
        let adapter = (turn * machines.len() as u64 + client as u64) * 7 % ADAPTERS + 1;
        let call = Call {
            method: "POST",
            path: "/draft/a",
            key: KEY,
            deadline_ms: 2_000,
            lines: format!(
                "X-Quetzalpick-Model: m0/a{adapter}\r\nX-Quetzalpick-Token-Count: 700,40\r\n"
            ),
            body: "draft",
        };
        let answer = call.send(machine.front);
        record.line(&format!(
            "answer machine={} attempt={} status={:?}",
            machine.name, answer.attempt, answer.status
        ));
    })
}

fn watch(setting: &Setting, store: &Store, cluster: &Cluster, runners: &[Runner]) -> Outcome {
    let record = &setting.record;
    if !wait_until(Duration::from_secs(20), || orders(runners).len() >= 10) {
        return Err("no orders were given".to_owned());
    }
    let lost = Instant::now();
    if setting.trouble {
        let name = orders(runners).last().expect("an order").machine.clone();
        let leader = cluster.machine(&name).ok_or("the leader is unknown")?;
        leader.kill();
        record.line(&format!("machine={name} loses power"));
        sleep_until(lost + DARK);
        leader.start();
        record.line(&format!("machine={name} starts again"));
        sleep_until(lost + DRILL_AFTER);
        if !orders(runners).iter().any(|order| order.machine != name && order.status < 400) {
            return Err("no other machine gave orders before the drill".to_owned());
        }
        store.drill(AWAY, lost + COPIED_AFTER);
    } else {
        sleep_until(lost + DRILL_AFTER + AWAY);
    }
    thread::sleep(WATCHED);
    Ok(find_two_holders(runners))
}

/// Returns all orders that reached runners, oldest first.
fn orders(runners: &[Runner]) -> Vec<Order> {
    let of_runner = |runner: &Runner| runner.orders.lock().unwrap().clone();
    let mut orders: Vec<Order> = runners.iter().flat_map(of_runner).collect();
    orders.sort_by_key(|order| order.at);
    orders
}

/// Returns how two holders gave orders with one epoch number to one runner, if any did.
fn find_two_holders(runners: &[Runner]) -> Option<String> {
    for runner in runners {
        let mut machines: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        for order in runner.orders.lock().unwrap().iter() {
            machines.entry(order.fence).or_default().insert(order.machine.clone());
        }
        for (fence, machines) in machines {
            if machines.len() > 1 {
                let id = runner.id();
                return Some(format!("runner={id} epoch number={fence} holders={machines:?}"));
            }
        }
    }
    None
}
