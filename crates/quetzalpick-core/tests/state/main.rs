//! Proofs of the fold, the lease and the ledger.

mod claims;
mod golden;
mod lease;
mod ledger;
mod paths;
mod replicas;
mod script;
mod shares;
