//! Artifacts become reachable and no engine is overcommitted, although orders are lost, delayed or duplicated, and
//! engines or leaders fail.

use quetzalpick_client::memory;
use quetzalpick_core::id::{Artifact, Version};
use quetzalpick_core::state::State;
use quetzalpick_standin::engine::Server;
use quetzalpick_standin::fault::Fault;

use crate::environment::{Keeper, create_engine, start_engine};

/// Models and adapters to place; two engines of 1,000 MB have enough memory for two copies of each.
const ARTIFACTS: [&str; 4] = ["menu", "stock", "kashrut", "whatsapp"];

/// Returns the operator's lines that create the models and adapters.
fn create_artifacts() -> Vec<String> {
    [
        "create model menu version 1 memory 300",
        "create model stock version 1 memory 300",
        "create adapter kashrut on menu version 1 memory 20",
        "create adapter whatsapp on stock version 1 memory 20",
    ]
    .map(str::to_owned)
    .to_vec()
}

/// Returns whether each artifact has a confirmed copy at an engine that is not excluded.
///
/// `menu_version` is the required version of the model `menu`; the other artifacts have version 1.
fn all_reachable(state: &State, menu_version: u32, excluded: &[&str]) -> bool {
    ARTIFACTS.iter().all(|name| {
        let artifact = Artifact::try_new(name).unwrap();
        let version = Version(if *name == "menu" { menu_version } else { 1 });
        state
            .ledger()
            .copies(&artifact, version)
            .any(|endpoint| !excluded.contains(&endpoint.as_str()))
    })
}

/// Returns whether no order is open.
fn has_no_open_orders(state: &State) -> bool {
    state
        .ledger()
        .accounts()
        .values()
        .all(|account| account.open.is_empty())
}

fn assert_no_overcommit(engines: &[&Server]) {
    for engine in engines {
        assert_eq!(
            engine.record().overcommit_count,
            0,
            "{:?}",
            engine.record().overcommits
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_delayed_and_duplicated_orders_still_load_all_artifacts() {
    for fencing in [true, false] {
        let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
        let engines = [start_engine(fencing).await, start_engine(fencing).await];
        for engine in &engines {
            engine.faults().set(Fault::OrderLost, Some(2));
            engine
                .faults()
                .set(Fault::OrderDelayed { ms: 300 }, Some(1));
            engine
                .faults()
                .set(Fault::OrderDoubled { ms: 400 }, Some(2));
        }
        keeper
            .send_accepted(&[
                create_engine("e1", &engines[0], fencing),
                create_engine("e2", &engines[1], fencing),
            ])
            .await;
        keeper.send_accepted(&create_artifacts()).await;
        keeper
            .wait_until("reachable", |state| {
                all_reachable(state, 1, &[]) && has_no_open_orders(state)
            })
            .await;
        // A new version is loaded before the old one is unloaded.
        keeper
            .send_accepted(&["set model menu version 2".to_owned()])
            .await;
        keeper
            .wait_until("replaced", |state| all_reachable(state, 2, &[]))
            .await;
        assert_no_overcommit(&[&engines[0], &engines[1]]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_of_a_stopped_engine_are_loaded_on_another() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let engines = [start_engine(true).await, start_engine(true).await];
    keeper
        .send_accepted(&[
            create_engine("e1", &engines[0], true),
            create_engine("e2", &engines[1], true),
        ])
        .await;
    keeper.send_accepted(&create_artifacts()).await;
    keeper
        .wait_until("reachable", |state| all_reachable(state, 1, &[]))
        .await;
    let [first, second] = engines;
    first.stop().await;
    keeper
        .wait_until("reachable at the other engine", |state| {
            all_reachable(state, 1, &["e1"])
        })
        .await;
    assert_no_overcommit(&[&second]);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_engine_is_detected_and_loaded_again() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let engine = start_engine(false).await;
    keeper
        .send_accepted(&[create_engine("e1", &engine, false)])
        .await;
    keeper.send_accepted(&create_artifacts()).await;
    keeper
        .wait_until("reachable", |state| {
            all_reachable(state, 1, &[]) && has_no_open_orders(state)
        })
        .await;
    engine.restart();
    let incarnation = engine.report().incarnation;
    let incarnation_recorded = |state: &State| {
        state
            .ledger()
            .accounts()
            .values()
            .any(|account| account.incarnation.0 == incarnation)
    };
    keeper
        .wait_until("recorded with its new incarnation", incarnation_recorded)
        .await;
    keeper
        .wait_until("loaded again", |state| all_reachable(state, 1, &[]))
        .await;
    assert_no_overcommit(&[&engine]);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_keeper_becomes_leader_after_the_leader_fails() {
    let log = memory::Log::new();
    let mut keepers = vec![
        Keeper::start(&log, "vm-1").await,
        Keeper::start(&log, "vm-2").await,
        Keeper::start(&log, "vm-3").await,
    ];
    let engine = start_engine(true).await;
    keepers[0]
        .send_accepted(&[create_engine("e1", &engine, true)])
        .await;
    let leader = |state: &State| {
        state
            .leadership()
            .map(|leadership| leadership.member.clone())
    };
    keepers[0]
        .wait_until("led by a keeper", |state| leader(state).is_some())
        .await;
    // With three voters, two are a majority that can retire the third.
    keepers[0]
        .wait_until("three voters", |state| state.roster().voters().len() == 3)
        .await;
    let failed_leader = keepers[0].replica.read(leader).unwrap();
    let index = keepers
        .iter()
        .position(|keeper| keeper.replica.member() == failed_leader)
        .unwrap();
    keepers.remove(index).kill();
    keepers[0].send_accepted(&create_artifacts()).await;
    keepers[0]
        .wait_until("led by another keeper", |state| {
            leader(state).is_some_and(|member| member != failed_leader)
        })
        .await;
    keepers[0]
        .wait_until("reachable", |state| all_reachable(state, 1, &[]))
        .await;
    assert_no_overcommit(&[&engine]);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_arriving_out_of_sequence_do_not_stall_a_fencing_engine() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let engine = start_engine(true).await;
    // Lost and delayed orders make some orders arrive after later ones with newer fencing numbers.
    for _ in 0..4 {
        engine.faults().set(Fault::OrderLost, Some(1));
        engine
            .faults()
            .set(Fault::OrderDelayed { ms: 400 }, Some(1));
    }
    keeper
        .send_accepted(&[create_engine("e1", &engine, true)])
        .await;
    keeper.send_accepted(&create_artifacts()).await;
    let more_lines: Vec<String> = (0..12)
        .map(|number| format!("create adapter more-{number} on menu version 1 memory 10"))
        .collect();
    keeper.send_accepted(&more_lines).await;
    let loaded = |state: &State| {
        (0..12).all(|number| {
            let artifact = Artifact::try_new(format!("more-{number}")).unwrap();
            state
                .ledger()
                .copies(&artifact, Version(1))
                .next()
                .is_some()
        })
    };
    keeper
        .wait_until("loaded", |state| {
            loaded(state) && all_reachable(state, 1, &[]) && has_no_open_orders(state)
        })
        .await;
    assert_no_overcommit(&[&engine]);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_restarted_with_an_open_order_is_loaded_again() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let engine = start_engine(false).await;
    keeper
        .send_accepted(&[create_engine("e1", &engine, false)])
        .await;
    keeper.send_accepted(&create_artifacts()).await;
    keeper
        .wait_until("reachable", |state| {
            all_reachable(state, 1, &[]) && has_no_open_orders(state)
        })
        .await;
    // All orders to load another model are lost until the engine restarts.
    engine.faults().set(Fault::OrderLost, None);
    let more_line = "create model more version 1 memory 50".to_owned();
    keeper.send_accepted(&[more_line]).await;
    keeper
        .wait_until("open", |state| !has_no_open_orders(state))
        .await;
    engine.restart();
    engine.faults().clear();
    let incarnation = engine.report().incarnation;
    let incarnation_recorded = |state: &State| {
        let mut accounts = state.ledger().accounts().values();
        accounts.any(|account| account.incarnation.0 == incarnation)
    };
    keeper
        .wait_until("recorded with its new incarnation", incarnation_recorded)
        .await;
    keeper
        .wait_until("loaded again", |state| {
            all_reachable(state, 1, &[]) && has_no_open_orders(state)
        })
        .await;
    assert_no_overcommit(&[&engine]);
}
