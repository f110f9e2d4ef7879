//! Timing of generated tokens.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::server::App;

/// `Pace` schedules the tokens of one request; a late token does not delay later ones.
#[derive(Debug)]
pub(crate) struct Pace {
    app: Arc<App>,
    next: Instant,
}

impl Pace {
    /// Starts the schedule at the current time.
    pub(crate) fn new(app: &Arc<App>) -> Self {
        Self {
            app: Arc::clone(app),
            next: Instant::now(),
        }
    }

    /// Waits for the time that a prompt takes; its cached tokens take none.
    pub(crate) async fn wait_for_prompt(&mut self, tokens: u32, cached_tokens: u32) {
        let tokens = tokens.saturating_sub(cached_tokens);
        self.wait(self.app.options.prompt_token * tokens).await;
    }

    /// Waits for the time that the next token takes with the current number of running requests.
    pub(crate) async fn wait_for_token(&mut self) {
        let options = &self.app.options;
        let (running, _) = self.app.batch.load();
        let others = running.saturating_sub(1);
        self.wait(options.token + options.token_per_running * others)
            .await;
    }

    /// Waits until the given time after the scheduled end of the previous wait.
    async fn wait(&mut self, time: Duration) {
        self.next += time;
        sleep_until(self.next).await;
    }
}
