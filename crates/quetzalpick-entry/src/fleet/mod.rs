//! The endpoints: what they say of themselves, what this VM sees of them, and the choice among them.

mod pick;
mod row;
mod spec;
mod table;

pub use pick::Pick;
pub use spec::{Spec, State};
pub use table::{Fleet, Wanted};
