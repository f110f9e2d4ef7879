//! The stand-in of a plain service that takes bookings.
//!
//! `POST /bookings` with a field `order` books once more each time it runs; `GET /bookings/{order}` and
//! `GET /availability` change nothing. `x-request-id` is echoed. `POST /admin/leaving` with `{"leaving": true}` refuses
//! new calls as not run, and `GET /admin/record` answers `Record`.

mod bookings;
mod server;

pub use bookings::Record;
pub use server::{Options, Server};
