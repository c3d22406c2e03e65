//! Shutdown: the first signal lets running work end, the second one cuts it.

use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::error::{Error, SignalSnafu};

/// The two steps of a shutdown.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Take nothing new and finish what runs.
    pub drain: CancellationToken,
    /// Stop at once.
    pub cut: CancellationToken,
}

impl Shutdown {
    /// A shutdown that has not begun.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins the shutdown on SIGTERM or SIGINT, and cuts on the second one.
    ///
    /// # Errors
    ///
    /// If the signals could not be caught.
    pub fn on_signals(&self) -> Result<(), Error> {
        let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
        let shutdown = self.clone();
        tokio::spawn(async move {
            for token in [shutdown.drain, shutdown.cut] {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                token.cancel();
            }
        });
        Ok(())
    }
}
