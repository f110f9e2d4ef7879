//! Load times of the weight store, measured on a paused clock.

use std::fmt::Write;
use std::time::Duration;

use futures::future::join_all;
use quetzalpick_standin::platform::weights::{Options, WeightStore};
use tokio::time::Instant;

/// Starts `count` concurrent loads and returns the time at which each ended, in ms.
async fn times<F: Future>(count: usize, load: impl Fn() -> F) -> Vec<u128> {
    let start = Instant::now();
    let loads = (0..count).map(|_| async {
        load().await;
        start.elapsed().as_millis()
    });
    join_all(loads).await
}

#[tokio::test(start_paused = true)]
async fn loads_keep_the_rate_and_slow_each_other() {
    let options = Options {
        loads_per_second: 4,
        loads_at_full_speed: 2,
        load: Duration::from_millis(600),
        adapters_at_full_speed: 2,
        adapter: Duration::from_millis(10),
    };
    let weights = WeightStore::new(options);
    let mut session = String::new();
    let models = times(4, || weights.load_model()).await;
    writeln!(session, "models {models:?} ms").unwrap();
    let adapters = times(5, || weights.load_adapter()).await;
    writeln!(session, "adapters {adapters:?} ms").unwrap();
    writeln!(session, "{:?}", weights.counts()).unwrap();
    insta::assert_snapshot!(session);
}
