//! Placement of models and adapters on endpoints: demand, planning, and orders to engines.

mod balance;
mod capacity;
mod copy;
mod demand;
mod engine_state;
mod estimate;
mod limited;
mod model;
mod order;
mod planner;

pub use copy::{Copy, Phase};
pub(crate) use demand::SETTLE_MS;
pub use demand::{Demand, Work};
pub use engine_state::EngineState;
pub use order::{Action, EngineControl, Order, OrderResult, Report};
pub use planner::{Hysteresis, Options, PlannedOrder, Planner};
