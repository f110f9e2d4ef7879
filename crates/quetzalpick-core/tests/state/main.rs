//! Tests of the fold, the lease and the ledger.
//!
//! For longer runs, `QUETZALPICK_FUZZ_CASES` sets the number of seeds and `QUETZALPICK_FUZZ_SEED` the first one;
//! `--nocapture` shows the seeds:
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
