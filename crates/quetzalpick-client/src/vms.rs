//! HTTP client of the VM list.

use std::sync::Arc;

use hyper::Method;

use crate::call::{request, send};
use crate::errors::Result;
use crate::http::{Pool, Timeouts};
use crate::wire::vms::List;

/// Largest answer body, in bytes.
const LIST_MAX_BYTES: usize = 4 * 1024 * 1024;

/// `Client` fetches the VM list over HTTP.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
    address: Arc<str>,
    timeouts: Timeouts,
}

impl Client {
    /// Creates a client of the VM list at an IP address and port.
    pub fn new(pool: Pool, address: impl AsRef<str>, timeouts: Timeouts) -> Self {
        Self {
            pool,
            address: Arc::from(address.as_ref()),
            timeouts,
        }
    }
}

impl crate::traits::Vms for Client {
    async fn list(&self) -> Result<List> {
        let json = "application/json";
        let request = request(&self.address, Method::GET, "/vms", json, Vec::new())?;
        let answer = send(
            &self.pool,
            &self.address,
            request,
            self.timeouts,
            LIST_MAX_BYTES,
        );
        answer.await?.success()?.json()
    }
}
