//! The replica: this process's copy of the agreed state, its lease and its writes.

mod answer;
mod handle;
mod options;

pub use answer::{Answer, Peer, Unleased};
pub use handle::Replica;
pub use options::Options;
