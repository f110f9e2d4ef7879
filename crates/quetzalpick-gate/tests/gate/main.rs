//! Tests of a running gate, with stand-ins of the platform, the engines and the services in the same process.

mod client;
mod copies;
mod deployment;
mod fuzz;
mod golden;
mod keys;
mod load;
mod once;
mod outage;
mod process;
mod rate;
mod relay;
mod stop;
mod verdict;
