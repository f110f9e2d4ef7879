//! Executing the plan never overcommits memory or makes an artifact unreachable, and converges under constant demand.

mod fleet;

use fleet::{Fleet, artifact, endpoint};
use insta::assert_snapshot;
use quetzalpick_core::id::{Artifact, Version};
use quetzalpick_core::plan::{Options, Policy};
use quetzalpick_core::record::{Adapter, Change, Model, Place};
use quetzalpick_core::table::Table;
use rand::RngExt;

const ENGINES: usize = 7;
const MODELS: usize = 9;
const ADAPTERS: usize = 20;
const MEMORY_MB: u64 = 60_000;

fn model_name(at: usize) -> Artifact {
    artifact(&format!("m{at}"))
}

fn adapter_name(at: usize) -> Artifact {
    artifact(&format!("a{at}"))
}

fn options(policy: Policy) -> Options {
    Options {
        policy,
        hold_ms: 5_000,
        ..Options::default()
    }
}

fn set_model(fleet: &mut Fleet, at: usize, version: u32) {
    let memory_mb = 8_000 + 2_000 * (at as u64 % 5);
    let model = Model {
        version: Version(version),
        memory_mb,
        max_output: 100,
    };
    fleet.change(Change::SetModel(model_name(at), model));
}

fn set_adapter(fleet: &mut Fleet, at: usize, version: u32) {
    let adapter = Adapter {
        base: model_name(at % MODELS),
        version: Version(version),
        memory_mb: 300,
    };
    fleet.change(Change::SetAdapter(adapter_name(at), adapter));
}

fn fleet(seed: u64, policy: Policy) -> Fleet {
    let mut fleet = Fleet::new(seed, ENGINES, MEMORY_MB, options(policy));
    (0..MODELS).for_each(|at| set_model(&mut fleet, at, 1));
    (0..ADAPTERS).for_each(|at| set_adapter(&mut fleet, at, 1));
    fleet
}

/// Sets new demand, most of it for a few hot artifacts, and lets the former demand decay.
fn shift_demand(fleet: &mut Fleet) {
    let mut rates = Table::default();
    for at in 0..MODELS {
        let hot = fleet.random.random_bool(0.3);
        let most = if hot { 3_000 } else { 200 };
        rates.insert(model_name(at), fleet.random.random_range(0..most));
    }
    for at in 0..ADAPTERS {
        rates.insert(adapter_name(at), fleet.random.random_range(0..150));
    }
    // Ten minutes at a constant rate.
    for _ in 0..600 {
        fleet.demand.observe(1_000, &rates);
    }
}

/// Returns the seeds to run: 8, or the number set in `QUETZALPICK_SEEDS`.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("QUETZALPICK_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(8)
}

#[test]
fn plan_keeps_invariants_and_converges() {
    for seed in seeds() {
        let mut fleet = fleet(seed, Policy::Gain);
        fleet.converge("start");
        assert_eq!(fleet.unreachable(), [], "seed {seed}: start");
        shift_demand(&mut fleet);
        fleet.converge("demand");
        let (model, adapter) = (
            fleet.random.random_range(0..MODELS),
            seed as usize % ADAPTERS,
        );
        set_model(&mut fleet, model, 2);
        set_adapter(&mut fleet, adapter, 2);
        fleet.converge("version");
        assert_eq!(fleet.unreachable(), [], "seed {seed}: version");
        let drained = fleet.random.random_range(0..ENGINES);
        fleet.change(Change::Drain(endpoint(drained), true));
        fleet.converge("drain");
        let account = fleet.state.ledger().accounts().get(&endpoint(drained));
        assert!(
            account.is_none_or(|a| a.loaded.is_empty()),
            "seed {seed}: drain"
        );
        fleet.change(Change::Drain(endpoint(drained), false));
        let place = Place {
            min: 2,
            max: 3,
            pinned: vec![endpoint(drained)],
        };
        fleet.change(Change::SetPlace(model_name(model), place));
        fleet.converge("pin");
        let accounts = fleet.state.ledger().accounts();
        let pinned = accounts.get(&endpoint(drained));
        assert!(
            pinned.is_some_and(|a| a.serves(&model_name(model), Version(2))),
            "seed {seed}: pin"
        );
        let crashed = (drained + 1) % ENGINES;
        fleet.restart(crashed, 2);
        shift_demand(&mut fleet);
        fleet.converge("crash");
        assert_eq!(fleet.unreachable(), [], "seed {seed}: crash");
        // The planner proposes nothing that the fold rejects.
        assert_eq!(fleet.rejected, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn gain_policy_converges_where_least_recently_used_does_not() {
    let mut diverging = Vec::new();
    for seed in 0..6 {
        for policy in [Policy::Gain, Policy::LeastRecentlyUsed] {
            // Half of the memory, so that every further copy evicts another.
            let mut fleet = Fleet::new(seed, ENGINES, MEMORY_MB / 2, options(policy));
            (0..MODELS).for_each(|at| set_model(&mut fleet, at, 1));
            let hot = (0..4).map(|at| (model_name(at), 6_000)).collect();
            (0..600).for_each(|_| fleet.demand.observe(1_000, &hot));
            let converges = fleet.run_until_idle().is_some();
            assert!(converges || policy != Policy::Gain, "seed {seed}");
            if !converges {
                diverging.push(seed);
            }
        }
    }
    assert!(
        !diverging.is_empty(),
        "the least-recently-used policy converges with every seed"
    );
}

/// Returns the fraction of demand that the engines can serve, in thousandths, if it spreads evenly over the copies.
fn served_permille(fleet: &Fleet) -> u64 {
    let accounts = fleet.state.ledger().accounts();
    let catalog = fleet.state.catalog();
    let names = || catalog.models().keys().chain(catalog.adapters().keys());
    let copies = |name: &Artifact| {
        let wanted = catalog.wanted(name).map(|wanted| wanted.0);
        let version = wanted.expect("the artifact is configured");
        accounts
            .values()
            .filter(|a| a.serves(name, version))
            .count() as u64
    };
    let rate = fleet.planner.options().engine_rate;
    let served = accounts.values().map(|account| {
        let here = names().filter(|name| account.serves_any(name));
        let load: u64 = here
            .map(|name| fleet.demand.rate(name) / copies(name).max(1))
            .sum();
        load.min(rate)
    });
    let total: u64 = names().map(|name| fleet.demand.rate(name)).sum();
    served.sum::<u64>() * 1_000 / total.max(1)
}

#[test]
fn policies_on_the_same_demand() {
    let policies = [Policy::Static, Policy::LeastRecentlyUsed, Policy::Gain];
    let mut lines = Vec::new();
    for policy in policies {
        for seed in [1, 2, 3] {
            let mut fleet = fleet(seed, policy);
            fleet.converge("start");
            let (mut served, before) = (0, fleet.moves);
            for _ in 0..5 {
                shift_demand(&mut fleet);
                (0..200).for_each(|_| drop(fleet.round()));
                served += served_permille(&fleet) / 5;
            }
            let moves = fleet.moves - before;
            lines.push(format!(
                "{policy}, seed {seed}: {served} permille served, {moves} moves"
            ));
        }
    }
    assert_snapshot!(lines.join("\n"));
}
