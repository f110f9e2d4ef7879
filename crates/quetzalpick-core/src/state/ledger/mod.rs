//! Ledger of engine memory: loaded copies and open intents of each engine.

mod account;
mod accounts;
mod copies;

pub use account::{Account, OpenIntent};
pub use accounts::Ledger;
