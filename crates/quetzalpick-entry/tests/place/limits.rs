//! Memory and adapter places are never overcommitted.

use rand::RngExt;

use crate::world::{World, artifact, model};

/// Demand moves this often, in ms.
const DEMAND_MS: u64 = 2_000;

/// Plays demand that moves and adapters that are wanted at random.
fn play(seed: u64, ms: u64) -> World {
    let mut world = World::new(seed, true);
    while world.now_ms < ms {
        world.step();
        if world.now_ms.is_multiple_of(DEMAND_MS) {
            world.work = (0..9)
                .map(|n| (model(n), world.random.random_range(0..40_000)))
                .collect();
        }
        if world.random.random_range(0..4) == 0 {
            let (m, a) = (
                world.random.random_range(0..9),
                world.random.random_range(1..=12),
            );
            let now_ms = world.now_ms;
            world.planner.want(now_ms, artifact(format!("m{m}/a{a}")));
        }
    }
    world
}

#[test]
fn no_engine_is_overfilled_though_orders_are_lost_and_late() {
    for seed in 0..12 {
        let world = play(seed, 60_000);
        for (n, engine) in world.engines.iter().enumerate() {
            let overfilled = &engine.overfilled;
            assert!(
                overfilled.is_empty(),
                "seed {seed} engine {n}: {overfilled:?}"
            );
        }
        let orders: u64 = world.engines.iter().map(|engine| engine.orders).sum();
        assert!(orders > 50, "seed {seed}: orders: {orders}");
    }
}

/// Loads from the weight store that the configuration of these tests allows in a second.
const LOADS_PER_S: u64 = 2;

/// Length of the window in which loads are counted, in seconds.
const WINDOW_S: u64 = 5;

#[test]
fn loads_from_the_weight_store_keep_its_rate_though_leaders_change() {
    // A tenth and three loads more may begin, as the users allow.
    let most = (LOADS_PER_S * WINDOW_S * 11 / 10 + 3) as usize;
    for seed in 100..104 {
        let times = play(seed, 90_000).load_times;
        let count = most_in_window(&times);
        assert!(count <= most, "seed {seed}: {count} loads in a window");
        assert!(times.len() > 10, "seed {seed}: {} loads", times.len());
    }
}

/// Returns the most loads that began within a window.
fn most_in_window(times: &[u64]) -> usize {
    let from = |from: &u64| {
        let window = *from..*from + WINDOW_S * 1_000;
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(from).max().unwrap_or_default()
}

#[test]
fn loads_keep_the_rate_though_entries_name_models_that_left_the_disk() {
    // One load in five seconds, and three more.
    let most = 4;
    for seed in 0..6 {
        let mut world = World::with_loads(seed, false, 200);
        while world.now_ms < 90_000 {
            world.step();
            // The demand moves before an entry shows what the last loads left on the disks.
            if world.now_ms.is_multiple_of(1_500) {
                let mut draw = || world.random.random_range(0..9) < 3;
                world.work = (0..9)
                    .map(|n| (model(n), if draw() { 90_000 } else { 0 }))
                    .collect();
            }
        }
        let count = most_in_window(&world.load_times);
        assert!(count <= most, "seed {seed}: {count} loads in a window");
        assert!(world.loads > 10, "seed {seed}: {} loads", world.loads);
    }
}
