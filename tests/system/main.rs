//! Tests of failures, with the programs as separate processes. Failures are caused by signals and by faults that the
//! stand-ins inject.

mod crash;
#[path = "../../platform/tests/crowd/crowd.rs"]
#[allow(dead_code, reason = "the crowd tests of entries use more of it")]
mod crowd;
mod floods;
mod harness;
mod leader;
mod operators;
mod outage;
mod pause;
mod stop;
#[path = "../../platform/tests/crowd/valve.rs"]
#[allow(dead_code, reason = "the crowd tests of entries use more of it")]
mod valve;
