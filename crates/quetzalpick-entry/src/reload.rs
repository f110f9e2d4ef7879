//! Reload of options while the process runs.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_node::settings::Source;
use tokio::signal::unix::Signal;

use crate::errors::Result;
use crate::options::Options;
use crate::serve::{Context, PeerClient};
use crate::settings::Settings;
use crate::wire::HeadCodec;

/// Pause between two checks of the settings, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// `Changes` provides options that changed while the process runs.
pub trait Changes: Send + 'static {
    /// Returns the options if they changed since they were last read.
    ///
    /// # Errors
    ///
    /// The reason why the options are unusable; the current ones stay in effect.
    fn try_next(&mut self) -> Result<Option<Options>>;
}

impl Changes for Source<Settings> {
    fn try_next(&mut self) -> Result<Option<Options>> {
        let settings = self.try_reload()?;
        Ok(settings.map(|settings| settings.options()))
    }
}

/// Applies changed options on each hangup signal and periodically.
pub(crate) async fn reload<E: HeadCodec, S: PeerClient>(
    context: Arc<Context<E, S>>,
    mut changes: impl Changes,
    mut hangup: Signal,
) {
    loop {
        let signalled = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        match changes.try_next() {
            Ok(Some(options)) => {
                context.update_options(&options);
                log::info!(
                    "entry: reload signal={signalled} changed=true revocation={:?} stop={:?} overdraft={:?} retries={:?}",
                    options.revocation,
                    options.stop_timeout,
                    options.overdraft,
                    options.retry
                );
            }
            Ok(None) if signalled => log::info!("entry: reload signal=true changed=false"),
            Ok(None) => {}
            Err(error) => log::warn!("entry: reload signal={signalled} reason=\"{error}\""),
        }
    }
}
