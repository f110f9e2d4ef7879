//! The endpoints: their published specs, the state observed by this VM, and the selection for requests.

mod pick;
mod row;
mod spec;
mod table;

pub use pick::Pick;
pub use spec::{Spec, State};
pub use table::{Fleet, Requirements};
