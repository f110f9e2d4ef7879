//! Which endpoint holds which models and adapters: demand, the plan, and orders.

mod copy;
mod demand;
mod engine_state;
mod model;
mod order;
mod planner;
mod room;

pub use copy::{Copy, Phase};
pub use demand::{Demand, Work};
pub use engine_state::EngineState;
pub use order::{Action, EngineControl, Order, OrderResult, Report};
pub use planner::{Options, Planner, Send};
