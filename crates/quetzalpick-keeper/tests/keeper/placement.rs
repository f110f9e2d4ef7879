//! Placement against engines that lose, delay and double orders, restart and die, and leaders that die.

use quetzalpick_client::memory;
use quetzalpick_core::id::{Artifact, Version};
use quetzalpick_core::state::State;
use quetzalpick_standin::engine::Server;
use quetzalpick_standin::fault::Fault;

use crate::world::{Keeper, create_engine, start_engine};

/// Models and adapters that are placed; two engines of 1,000 MB have room for each of them twice.
const ARTIFACTS: [&str; 4] = ["menu", "stock", "kashrut", "whatsapp"];

/// Returns the lines that create models and adapters.
fn configuration() -> Vec<String> {
    [
        "create model menu version 1 memory 300",
        "create model stock version 1 memory 300",
        "create adapter kashrut on menu version 1 memory 20",
        "create adapter whatsapp on stock version 1 memory 20",
    ]
    .map(str::to_owned)
    .to_vec()
}

/// Tells whether each artifact has a confirmed copy at an engine other than these.
fn all_reachable(state: &State, version: u32, without: &[&str]) -> bool {
    ARTIFACTS.iter().all(|name| {
        let artifact = Artifact::try_new(name).unwrap();
        let wanted = Version(if *name == "menu" { version } else { 1 });
        state
            .ledger()
            .copies(&artifact, wanted)
            .any(|endpoint| !without.contains(&endpoint.as_str()))
    })
}

/// Tells whether nothing is open.
fn is_settled(state: &State) -> bool {
    state
        .ledger()
        .accounts()
        .values()
        .all(|account| account.open.is_empty())
}

fn assert_never_overcommitted(engines: &[&Server]) {
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
async fn orders_lost_delayed_and_doubled_end_in_the_wanted_copies() {
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
            .accept(&[
                create_engine("e1", &engines[0], fencing),
                create_engine("e2", &engines[1], fencing),
            ])
            .await;
        keeper.accept(&configuration()).await;
        keeper
            .until("reachable", |state| {
                all_reachable(state, 1, &[]) && is_settled(state)
            })
            .await;
        // A new version is loaded before the former one goes.
        keeper
            .accept(&["set model menu version 2".to_owned()])
            .await;
        keeper
            .until("replaced", |state| all_reachable(state, 2, &[]))
            .await;
        assert_never_overcommitted(&[&engines[0], &engines[1]]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_of_a_dead_engine_are_placed_elsewhere() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let engines = [start_engine(true).await, start_engine(true).await];
    keeper
        .accept(&[
            create_engine("e1", &engines[0], true),
            create_engine("e2", &engines[1], true),
        ])
        .await;
    keeper.accept(&configuration()).await;
    keeper
        .until("reachable", |state| all_reachable(state, 1, &[]))
        .await;
    let [first, second] = engines;
    first.stop().await;
    keeper
        .until("reachable at the other", |state| {
            all_reachable(state, 1, &["e1"])
        })
        .await;
    assert_never_overcommitted(&[&second]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_engine_is_noticed_and_filled_again() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let engine = start_engine(false).await;
    keeper.accept(&[create_engine("e1", &engine, false)]).await;
    keeper.accept(&configuration()).await;
    keeper
        .until("reachable", |state| {
            all_reachable(state, 1, &[]) && is_settled(state)
        })
        .await;
    engine.restart();
    let incarnation = engine.report().incarnation;
    let noticed = |state: &State| {
        state
            .ledger()
            .accounts()
            .values()
            .any(|account| account.incarnation.0 == incarnation)
    };
    keeper.until("noticed", noticed).await;
    keeper
        .until("filled again", |state| all_reachable(state, 1, &[]))
        .await;
    assert_never_overcommitted(&[&engine]);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_keeper_takes_over_from_a_dead_leader() {
    let log = memory::Log::new();
    let mut keepers = vec![
        Keeper::start(&log, "vm-1").await,
        Keeper::start(&log, "vm-2").await,
        Keeper::start(&log, "vm-3").await,
    ];
    let engine = start_engine(true).await;
    keepers[0]
        .accept(&[create_engine("e1", &engine, true)])
        .await;
    let leads = |state: &State| {
        state
            .leadership()
            .map(|leadership| leadership.member.clone())
    };
    keepers[0]
        .until("led", |state| leads(state).is_some())
        .await;
    // Three voters, so that two are a majority that retires the third.
    keepers[0]
        .until("three voters", |state| state.roster().voters().len() == 3)
        .await;
    let leader = keepers[0].replica.read(leads).unwrap();
    let at = keepers
        .iter()
        .position(|keeper| keeper.replica.member() == leader)
        .unwrap();
    keepers.remove(at).kill();
    keepers[0].accept(&configuration()).await;
    keepers[0]
        .until("led by another", |state| {
            leads(state).is_some_and(|member| member != leader)
        })
        .await;
    keepers[0]
        .until("reachable", |state| all_reachable(state, 1, &[]))
        .await;
    assert_never_overcommitted(&[&engine]);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_that_reach_a_fencing_engine_out_of_turn_do_not_stall_it() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let engine = start_engine(true).await;
    // Some orders of a row arrive after the next ones, whose numbers are newer.
    for _ in 0..4 {
        engine.faults().set(Fault::OrderLost, Some(1));
        engine
            .faults()
            .set(Fault::OrderDelayed { ms: 400 }, Some(1));
    }
    keeper.accept(&[create_engine("e1", &engine, true)]).await;
    keeper.accept(&configuration()).await;
    let more: Vec<String> = (0..12)
        .map(|n| format!("create adapter more-{n} on menu version 1 memory 10"))
        .collect();
    keeper.accept(&more).await;
    let loaded = |state: &State| {
        (0..12).all(|n| {
            let artifact = Artifact::try_new(format!("more-{n}")).unwrap();
            state
                .ledger()
                .copies(&artifact, Version(1))
                .next()
                .is_some()
        })
    };
    keeper
        .until("filled", |state| {
            loaded(state) && all_reachable(state, 1, &[]) && is_settled(state)
        })
        .await;
    assert_never_overcommitted(&[&engine]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_restarts_under_an_open_order_is_filled_again() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let engine = start_engine(false).await;
    keeper.accept(&[create_engine("e1", &engine, false)]).await;
    keeper.accept(&configuration()).await;
    keeper
        .until("reachable", |state| {
            all_reachable(state, 1, &[]) && is_settled(state)
        })
        .await;
    // The engine gets none of the orders for another model, and restarts before it does.
    engine.faults().set(Fault::OrderLost, None);
    let more = "create model more version 1 memory 50".to_owned();
    keeper.accept(&[more]).await;
    keeper.until("open", |state| !is_settled(state)).await;
    engine.restart();
    engine.faults().clear();
    let incarnation = engine.report().incarnation;
    let noticed = |state: &State| {
        let mut accounts = state.ledger().accounts().values();
        accounts.any(|account| account.incarnation.0 == incarnation)
    };
    keeper.until("noticed", noticed).await;
    keeper
        .until("filled again", |state| {
            all_reachable(state, 1, &[]) && is_settled(state)
        })
        .await;
    assert_never_overcommitted(&[&engine]);
}
