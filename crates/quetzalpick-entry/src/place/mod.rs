//! Which endpoint holds which models and adapters: demand, the plan, and orders.

mod copy;
mod demand;
mod model;
mod order;
mod planner;
mod room;
mod site;

pub use copy::{Copy, Phase};
pub use demand::{Demand, Work};
pub use order::{Action, Engines, Order, Ordered, Report};
pub use planner::{Options, Planner, Send};
pub use site::Site;
