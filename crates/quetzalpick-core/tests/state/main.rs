//! Proofs of the fold, the lease and the ledger.
//!
//! A longer run takes `QUETZALPICK_FUZZ_CASES` seeds from `QUETZALPICK_FUZZ_SEED` on and prints them:
//! `QUETZALPICK_FUZZ_CASES=1000 cargo test --release -p quetzalpick-core --test state -- --nocapture`

mod claims;
mod golden;
mod lease;
mod ledger;
mod paths;
mod replica_index;
mod replicas;
mod script;
mod shares;
