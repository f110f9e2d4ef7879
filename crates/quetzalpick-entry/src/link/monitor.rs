//! Probes the link while it is lost, or while all endpoints are silent.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use quetzalpick_core::id::Endpoint;
use rand::random;
use tokio::time::sleep;

use crate::fleet::Spec;
use crate::link::{CONNECT_TIMEOUT, Link};

/// Pause between two looks at the link.
const INTERVAL: Duration = Duration::from_millis(200);

/// Endpoints that are connected to in one probe.
const PROBED: usize = 2;

/// `Monitor` probes the link of this VM.
#[derive(Debug)]
pub(crate) struct Monitor {
    pub(crate) link: Arc<Link>,
}

impl Monitor {
    /// Probes until cancelled.
    pub(crate) async fn run(self) {
        loop {
            tokio::select! {
                () = sleep(INTERVAL) => {}
                () = self.link.lost.notified() => {}
            }
            if self.link.begin_probe() {
                self.probe().await;
            }
        }
    }

    /// Connects to some endpoints at a time, and records whether one of them can be reached.
    async fn probe(&self) {
        let probes = self
            .choose()
            .into_iter()
            .map(|(endpoint, spec)| async move {
                let is_connected = self.link.pool.probe(spec.address, CONNECT_TIMEOUT).await;
                (endpoint, is_connected)
            });
        let mut probes: FuturesUnordered<_> = probes.collect();
        let mut failed = Vec::new();
        while let Some((endpoint, is_connected)) = probes.next().await {
            if is_connected {
                return self.link.record_connection();
            }
            failed.push(endpoint);
        }
        // Open connections may hang.
        self.link.pool.close_idle();
        for endpoint in failed {
            self.link.record_failure(&endpoint);
        }
    }

    /// Chooses endpoints at random.
    fn choose(&self) -> Vec<(Endpoint, Spec)> {
        let mut specs = self.link.fleet.specs();
        let count = PROBED.min(specs.len());
        for index in 0..count {
            let rest = (specs.len() - index) as u64;
            let offset = usize::try_from(random::<u64>() % rest).unwrap_or_default();
            specs.swap(index, index + offset);
        }
        specs.truncate(count);
        specs
    }
}
