//! Structured logs: one line per event, as JSON or for a terminal.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::{Drain, FilterLevel, Level as SlogLevel, Logger, o};

/// Lines beyond this many are dropped and counted, so that a slow reader never stops the daemon.
const QUEUE_LINES: usize = 4_096;

/// The form of the lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Coloured text.
    Terminal,
}

/// The least important events that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// A promise is at risk.
    Error,
    /// Something failed and was handled.
    Warning,
    /// Changes that operators follow.
    #[default]
    Info,
    /// Steps of each call.
    Debug,
}

impl Level {
    fn filter(self) -> FilterLevel {
        match self {
            Self::Error => FilterLevel::Error,
            Self::Warning => FilterLevel::Warning,
            Self::Info => FilterLevel::Info,
            Self::Debug => FilterLevel::Debug,
        }
    }
}

/// A switch for the level of a running daemon.
#[derive(Clone, Debug)]
pub struct Switch(Arc<AtomicUsize>);

impl Switch {
    /// Sets the level from now on.
    pub fn set(&self, level: Level) {
        self.0.store(level.filter().as_usize(), Ordering::Relaxed);
    }

    fn is_enabled(&self, level: SlogLevel) -> bool {
        level.as_usize() <= self.0.load(Ordering::Relaxed)
    }
}

/// The root logger of a daemon. Keep the guard until the daemon ends, or the last lines are lost.
pub struct Root {
    /// The logger.
    pub logger: Logger,
    /// The switch of its level.
    pub switch: Switch,
    /// Writes out what is queued when it is dropped.
    pub guard: slog_async::AsyncGuard,
}

impl Root {
    /// A logger that writes to standard output, with the daemon's and the VM's name on each line.
    pub fn new(daemon: &'static str, vm: impl AsRef<str>, format: Format, level: Level) -> Self {
        let switch = Switch(Arc::new(AtomicUsize::new(level.filter().as_usize())));
        let (drain, guard) = match format {
            Format::Json => {
                let json = slog_json::Json::default(std::io::stdout()).fuse();
                slog_async::Async::new(json)
                    .chan_size(QUEUE_LINES)
                    .build_with_guard()
            }
            Format::Terminal => {
                let decorator = slog_term::TermDecorator::new().stdout().build();
                let term = slog_term::FullFormat::new(decorator).build().fuse();
                slog_async::Async::new(term)
                    .chan_size(QUEUE_LINES)
                    .build_with_guard()
            }
        };
        let gate = switch.clone();
        let drain = drain
            .filter(move |record| gate.is_enabled(record.level()))
            .fuse();
        let values = o!("daemon" => daemon, "vm" => vm.as_ref().to_owned());
        Self {
            logger: Logger::root(drain, values),
            switch,
            guard,
        }
    }
}

/// A logger that drops everything, for tests and the bench.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
