//! The ledger: what each engine holds and has been promised.

mod account;
mod book;
mod copies;

pub use account::{Account, OpenIntent};
pub use book::Ledger;
