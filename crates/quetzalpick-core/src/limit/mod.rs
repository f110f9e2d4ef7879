//! Request limits that endpoints name: how many requests a second an endpoint takes from all VMs together.

mod rate;

pub use rate::Rate;
