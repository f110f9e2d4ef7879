//! Prompt parts that crash endpoints are found in time, and sound parts are not quarantined.

mod investigation;
mod leader;
mod requests;
mod scenario;
mod simulation;
mod witness;
mod world;
