//! Log lines on standard output.

use std::io::IsTerminal;

use serde::Deserialize;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Lowest severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Faults that need an operator.
    Error,
    /// Faults that the system handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl Level {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }
}

/// Settings of log lines. Operators see the `expecting` text in the fault of a `log`
/// field whose value has another type; `rename` would not set that text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Log")]
pub struct Settings {
    /// Format of log lines.
    pub format: Format,
    /// Lowest severity that is written.
    pub level: Level,
}

/// Lines that are buffered for a slow reader; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 1_000;

/// Starts to write log lines to standard output, until the returned guard is
/// dropped. A reader that does not read cannot block a request: lines that do not
/// fit into the buffer are dropped. A second call has no effect.
pub fn init(settings: Settings) -> WorkerGuard {
    let filter = EnvFilter::new(settings.level.as_str());
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(writer);
    let _ = match settings.format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().try_init(),
    };
    guard
}
