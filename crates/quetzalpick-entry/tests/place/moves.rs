//! Copies follow demand, and no model loses its last copy.

use quetzalpick_core::table::Table;

use crate::world::{World, artifact, model};

fn copies(world: &World, n: usize) -> usize {
    let name = model(n);
    let engines = world.engines.iter();
    engines
        .filter(|engine| engine.copies.contains(&name))
        .count()
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
fn a_wanted_adapter_is_there_within_a_few_steps() {
    let mut world = World::new(1, false);
    (0..500).for_each(|_| world.step());
    let now_ms = world.now_ms;
    world.planner.want(now_ms, artifact("m3/a7"));
    (0..5).for_each(|_| world.step());
    assert!(world.planner.is_held(&artifact("m3/a7")));
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
