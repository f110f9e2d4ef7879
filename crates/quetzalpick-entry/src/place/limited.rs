//! Copies at engines that name a limit of requests.
//!
//! Such a copy counts only for a model that no other engine holds, and only for as many requests as the engine takes.

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::limit::Rate;
use quetzalpick_core::table::Table;

use crate::place::model::{ModelDemand, REQUEST_RUN_MS, find};
use crate::place::{EngineState, Work};

/// Milliseconds in one second.
const MS_PER_S: f64 = 1_000.0;

/// Adds the copies at engines with a limit to the demands, sorted by model, that have no other copy, and the work that these
/// copies refuse.
pub(super) fn add_copies(
    model_demands: &mut [ModelDemand<'_>],
    engines: &Table<Endpoint, EngineState>,
) {
    let engines = engines.values().filter(|engine| engine.is_usable());
    let limited = engines.filter_map(|engine| Some((engine, engine.limit?)));
    let limited: Vec<(Vec<usize>, Rate)> = limited
        .map(|(engine, rate)| (sole_models(model_demands, engine), rate))
        .collect();
    for index in limited.iter().flat_map(|(models, _)| models) {
        let demand = &mut model_demands[*index];
        demand.copies += 1;
        demand.refused = demand.work;
    }
    for (models, rate) in limited {
        accept_work(model_demands, &models, rate);
    }
}

/// Returns the indices of the models that only an engine with a limit holds.
fn sole_models(model_demands: &[ModelDemand<'_>], engine: &EngineState) -> Vec<usize> {
    let models = engine.models().into_iter();
    let held = models.filter(|model| engine.will_hold(model));
    held.filter_map(|model| find(model_demands, model))
        .filter(|index| model_demands[*index].copies == 0)
        .collect()
}

/// Subtracts what one engine takes from the refused work of its models.
fn accept_work(model_demands: &mut [ModelDemand<'_>], models: &[usize], rate: Rate) {
    let share = |demand: &ModelDemand<'_>| demand.work / demand.copies.max(1);
    let total: Work = models.iter().map(|i| share(&model_demands[*i])).sum();
    let accepted = work_at(rate).min(total);
    for index in models {
        let demand = &mut model_demands[*index];
        let own = share(demand) * accepted / total.max(1);
        demand.refused = demand.refused.saturating_sub(own);
    }
}

/// Returns the work of as many requests as a limit allows.
fn work_at(rate: Rate) -> Work {
    // Thousandths of a request a second, for the time that a request runs.
    (rate.per_1000_s() as f64 * REQUEST_RUN_MS / MS_PER_S) as Work
}
