//! Failures by signal and by fault switch against the programs as separate processes.

mod crash;
mod harness;
mod leader;
mod operators;
mod outage;
mod pause;
mod stop;
