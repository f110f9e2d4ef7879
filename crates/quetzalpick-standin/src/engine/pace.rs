//! The time that tokens take.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::server::App;

/// `Pace` spaces the tokens of one request; a late token does not delay those after it.
#[derive(Debug)]
pub(crate) struct Pace {
    app: Arc<App>,
    next: Instant,
}

impl Pace {
    /// Begins now.
    pub(crate) fn new(app: &Arc<App>) -> Self {
        Self {
            app: Arc::clone(app),
            next: Instant::now(),
        }
    }

    /// Waits as long as a prompt takes, of which some bytes are cached.
    pub(crate) async fn prompt(&mut self, tokens: u32, cached_tokens: u32) {
        let tokens = tokens.saturating_sub(cached_tokens);
        self.wait(self.app.options.prompt_token * tokens).await;
    }

    /// Waits as long as the next token takes with what runs now.
    pub(crate) async fn token(&mut self) {
        let options = &self.app.options;
        let (running, _) = self.app.batch.load();
        let others = running.saturating_sub(1);
        self.wait(options.token + options.token_per_running * others)
            .await;
    }

    /// Waits for the given time after the end of the last wait.
    async fn wait(&mut self, time: Duration) {
        self.next += time;
        sleep_until(self.next).await;
    }
}
