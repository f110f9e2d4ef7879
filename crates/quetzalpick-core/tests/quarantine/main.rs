//! Prompt parts that crash endpoints are found in time, and sound parts are not quarantined.

mod investigation;
mod leader;
mod requests;
mod simulation;
mod witness;
mod world;
