//! Stand-in for a plain service that accepts bookings.
//!
//! `POST /bookings` with a field `order` is not idempotent: each execution adds a booking. `GET /bookings/{order}` and
//! `GET /availability` change nothing. `x-request-id` is echoed. After `POST /admin/leaving` with `{"leaving": true}`
//! new calls are refused as not run, and `GET /admin/record` returns `Record`.

mod bookings;
mod server;

pub use bookings::Record;
pub use server::{Options, Server};
