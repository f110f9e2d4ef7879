//! The cases of the review.

pub mod crashing;
pub mod incomplete;
pub mod one;
pub mod out_of_step;
pub mod quota;
pub mod revoked;
pub mod taken_up;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::record::Record;

/// API keys of the tenant.
pub const KEY: &str = "key-one-of-lagos";
pub const OTHER_KEY: &str = "key-two-of-lagos";

/// Time from the start of the machines to that of the traffic.
pub const LEAD: Duration = Duration::from_secs(10);

pub struct Setting {
    pub record: Record,
    /// Folder for settings and logs.
    pub temporary: String,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// `Outcome` holds how the rule was broken, `None` if it held, or why the case could not run.
pub type Outcome = Result<Option<String>, String>;

/// Returns a version of the config. `keys` are those of the only tenant, which has no limit.
pub fn config(version: u64, keys: &[&str]) -> String {
    config_with_limit(version, keys, 0, 0)
}

/// Returns a version of the config whose tenant has an allowance of `rate` tokens a second and `burst` tokens.
pub fn config_with_limit(version: u64, keys: &[&str], rate: u64, burst: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":false,\"gap_aim_ms\":150}}"
        )
    };
    let routes = [
        route("status", "safe", "desk", 2),
        route("booking", "unsafe", "desk", 1),
        route("draft", "streaming", "menu", 1),
        batch_route(),
        // Each version adds a route, as the operator's changes do.
        route(&format!("added-{version}"), "safe", "desk", 2),
    ];
    let models = "[{\"name\":\"m0\",\"weights_mb\":65100.0,\"load_s\":1.2,\"adapters\":60,\"adapter_mb\":12.0,\
                  \"warm_s\":0.38,\"disk_s\":0.49},{\"name\":\"m1\",\"weights_mb\":72700.0,\"load_s\":1.2,\
                  \"adapters\":0,\"adapter_mb\":66.0,\"warm_s\":0.4,\"disk_s\":0.52}]";
    let engine = format!(
        "{{\"slots\":64,\"kv_capacity\":148336,\"models\":{models},\"weights_mb\":220000.0,\"adapter_slots\":8,\
         \"loads_per_s\":1.7}}"
    );
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_conns\":110}},{{\"name\":\"menu\",\"health_path\":\"/healthz\",\"max_conns\":370,\"engine\":{engine}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"lagos\",\"api_keys\":[{}],\"priority\":1,\
         \"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":{rate},\"burst\":{burst}}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// Returns the route of long streams that may be resumed, like the batch of the sheets.
fn batch_route() -> String {
    "{\"name\":\"batch\",\"host\":\"a.example\",\"path_prefix\":\"/batch/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
     \"target_latency_ms\":1200,\"priority\":1,\"service\":\"menu\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\
     \"resumable\":true,\"gap_aim_ms\":150}"
        .to_owned()
}

/// `Traffic` runs clients in threads until it is stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts clients, of which each calls `act` with its number and that of the turn, and then pauses.
    pub fn start(
        clients: usize,
        pause: Duration,
        act: impl Fn(usize, u64) + Send + Sync + 'static,
    ) -> Self {
        let (stop, act) = (Arc::new(AtomicBool::new(false)), Arc::new(act));
        let client = |number| {
            let (stop, act) = (Arc::clone(&stop), Arc::clone(&act));
            thread::spawn(move || {
                for turn in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    act(number, turn);
                    thread::sleep(pause);
                }
            })
        };
        let threads = (0..clients).map(client).collect();
        Self { stop, threads }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Waits until a condition holds; returns whether it did within the limit.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Sleeps until a moment.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
