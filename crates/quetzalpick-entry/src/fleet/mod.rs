//! The endpoints: what they say of themselves, what this VM sees of them, and the choice among them.

mod pick;
mod row;
mod share;
mod shortage;
mod spec;
mod table;

pub use pick::Pick;
pub use share::Share;
pub use spec::{Spec, State};
pub use table::{Fleet, Lack, Wanted};
