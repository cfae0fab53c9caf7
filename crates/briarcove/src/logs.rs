//! Logging: human-readable on a terminal and JSON lines otherwise, unless the settings choose a
//! format.

use std::{
    env,
    io::{self, IsTerminal},
};

use cat::settings::{Format, Level, Log};
use slog::{Drain, Logger, o, warn};

/// Maximum number of records queued for the writer thread; further records are dropped and counted.
const QUEUE_RECORDS: usize = 4096;

/// Running loggers; dropping this writes the queued records.
pub struct Logs {
    logger: Logger,
    _guard: slog_async::AsyncGuard,
}

impl Logs {
    /// Returns a logger that writes to these logs.
    pub fn logger(&self) -> Logger {
        self.logger.clone()
    }
}

/// Starts logging to standard error.
pub fn start(cfg: &Log) -> Logs {
    let human = match cfg.format {
        Format::Auto => io::stderr().is_terminal(),
        Format::Human => true,
        Format::Json => false,
    };
    let level = slog_level(cfg.level);
    if human {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let drain = slog_term::FullFormat::new(decorator)
            .use_utc_timestamp()
            .build();
        build_logs(drain.fuse(), level)
    } else {
        build_logs(slog_json::Json::default(io::stderr()).fuse(), level)
    }
}

/// Environment variable with the log level: `error`, `warning`, `info` or `debug`.
const LEVEL_VARIABLE: &str = "BRIARCOVE_LOG";

/// Starts logging JSON lines to standard output.
pub fn start_stdout() -> Logs {
    let requested = env::var(LEVEL_VARIABLE).ok();
    let level = requested.as_deref().map(str::parse);
    let logs = build_logs(
        slog_json::Json::default(io::stdout()).fuse(),
        level.and_then(Result::ok).unwrap_or(slog::Level::Info),
    );
    if let Some(Err(())) = level {
        warn!(logs.logger, "unknown log level; using info"; "level" => requested);
    }
    logs
}

fn build_logs<D>(drain: D, level: slog::Level) -> Logs
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (queue, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .build_with_guard();
    let logger = Logger::root(queue.filter_level(level).fuse(), o!());
    Logs {
        logger,
        _guard: guard,
    }
}

fn slog_level(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
        Level::Trace => slog::Level::Trace,
    }
}
