//! Copies follow demand, and no model loses its last copy.

use quetzalpick_core::id::Artifact;
use quetzalpick_core::table::Table;

use crate::engine::Engine;
use crate::world::{World, artifact, endpoint, model};

fn copies(world: &World, n: usize) -> usize {
    let name = model(n);
    let engines = world.engines.iter();
    engines
        .filter(|engine| engine.copies.contains(&name))
        .count()
}

/// Returns an engine and a model that it holds while VMs are told to use other copies.
fn being_left(world: &World) -> Option<(usize, Artifact)> {
    let engines = world.engines.iter().enumerate();
    let left = |(n, engine): (usize, &Engine)| {
        let held = world.planner.engines().get(&endpoint(n))?.held();
        let left = engine.copies.iter().find(|copy| !held.contains(copy))?;
        Some((n, left.clone()))
    };
    engines.into_iter().find_map(left)
}

#[test]
fn nothing_moves_without_demand() {
    let mut world = World::new(1, false);
    (0..1_000).for_each(|_| world.step());
    assert_eq!(world.loads, 0);
}

#[test]
fn a_model_in_demand_gets_more_copies_within_seconds_and_others_stay_reachable() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    world.work = Table::from_iter([(model(8), 60_000)]);
    (0..600).for_each(|_| world.step());
    assert!(copies(&world, 8) >= 3, "copies: {}", copies(&world, 8));
    for n in 0..9 {
        assert!(copies(&world, n) >= 1, "model {n} has no copy");
    }
}

#[test]
fn copies_follow_demand_evenly() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    // Four copies of the one and one of the other have 30 requests each under way.
    world.work = Table::from_iter([(model(8), 120_000), (model(5), 30_000)]);
    (0..1_200).for_each(|_| world.step());
    assert_eq!((copies(&world, 8), copies(&world, 5)), (4, 1));
}

#[test]
fn a_copy_that_is_being_left_stays_if_the_others_are_lost() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    world.work = Table::from_iter([(model(8), 60_000)]);
    let (at, left) = (0..600)
        .find_map(|_| {
            world.step();
            being_left(&world)
        })
        .expect("a copy makes room");
    let holds = |n: &usize| *n != at && world.engines[*n].copies.contains(&left);
    world.down = (0..world.engines.len()).filter(holds).collect();
    assert!(!world.down.is_empty());
    for _ in 0..300 {
        world.step();
        assert!(world.engines[at].copies.contains(&left), "{left} is away");
    }
    assert!(world.planner.is_held(&left));
}

#[test]
fn a_model_in_demand_keeps_its_copies_while_engines_with_idle_models_are_lost() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    world.work = Table::from_iter([(model(0), 60_000)]);
    // The other two engines hold all copies of six models that nobody asks for.
    world.down = vec![1, 2];
    let held = |world: &World| {
        let up = [&world.engines[0], &world.engines[3]];
        up.iter().filter(|e| e.copies.contains(&model(0))).count()
    };
    assert_eq!(held(&world), 2);
    for _ in 0..400 {
        world.step();
        assert_eq!(held(&world), 2);
    }
    // One of them is loaded as soon as it is asked for, though not at the cost of the model in demand.
    world.work = Table::from_iter([(model(0), 60_000), (model(7), 400)]);
    (0..600).for_each(|_| world.step());
    assert_eq!(held(&world), 2);
    assert!(world.planner.is_held(&model(7)));
}

#[test]
fn a_model_in_demand_without_a_copy_does_not_wait_for_runs_of_others_to_end() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    // The models with two copies have ten requests at each, the last copies at engine 2 none.
    let busy = (0..3).map(|n| (model(n), 20_000));
    world.work = busy.chain([(model(5), 40_000)]).collect();
    world.down = vec![1];
    (0..400).for_each(|_| world.step());
    assert!(world.engines[2].copies.contains(&model(5)));
}

#[test]
fn an_engine_that_is_down_serves_nobody_unless_half_of_them_seem_to_be() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    let empty = |world: &World| {
        let holdings = world.planner.holdings();
        let empty = holdings.iter().filter(|(_, held)| held.is_empty());
        empty.map(|(name, _)| name.clone()).collect::<Vec<_>>()
    };
    assert_eq!(empty(&world), []);
    world.down = vec![1];
    (0..10).for_each(|_| world.step());
    assert_eq!(empty(&world), [endpoint(1)]);
    // The leader may be cut off from them.
    world.down = vec![1, 2];
    (0..10).for_each(|_| world.step());
    assert_eq!(empty(&world), []);
    world.down = Vec::new();
    (0..100).for_each(|_| world.step());
    assert_eq!(empty(&world), []);
}

#[test]
fn a_wanted_adapter_is_there_within_a_few_steps() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    let now_ms = world.now_ms;
    world.planner.want(now_ms, artifact("m3/a7"));
    (0..5).for_each(|_| world.step());
    assert!(world.planner.is_held(&artifact("m3/a7")));
}

#[test]
fn an_engine_that_unloads_an_adapter_in_use_gets_no_further_orders_meanwhile() {
    let mut world = World::new(1, false);
    world
        .engines
        .iter_mut()
        .for_each(|e| e.adapter_in_use_ms = 1_500);
    (0..500).for_each(|_| world.step());
    for a in 1..=12 {
        let now_ms = world.now_ms;
        world.planner.want(now_ms, artifact(format!("m3/a{a}")));
        (0..90).for_each(|_| world.step());
    }
    let in_vain: usize = world.engines.iter().map(|engine| engine.in_vain).sum();
    // One of each unload may come before a report says that the engine is busy.
    assert!(in_vain <= 8, "orders in vain: {in_vain}");
}

#[test]
fn adapters_that_were_used_least_recently_yield() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    for a in 1..=12 {
        let now_ms = world.now_ms;
        let name = artifact(format!("m3/a{a}"));
        world.planner.want(now_ms, name.clone());
        (0..30).for_each(|_| world.step());
        assert!(world.planner.is_held(&name), "adapter {a}");
    }
    assert!(
        world
            .engines
            .iter()
            .all(|engine| engine.overfilled.is_empty())
    );
}
