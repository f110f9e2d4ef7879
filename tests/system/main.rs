//! Tests of failures, with the programs as separate processes. Failures are caused by signals and by faults that the
//! stand-ins inject.

mod crash;
mod harness;
mod leader;
mod operators;
mod outage;
mod pause;
mod stop;
