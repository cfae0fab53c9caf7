//! Logs: human-readable on a terminal, JSON lines otherwise, unless the settings say which.

use std::{
    env,
    io::{self, IsTerminal},
};

use cat::settings::{Format, Level, Log};
use slog::{Drain, Logger, o, warn};

/// Records that wait for the writer; when it falls behind, further ones are dropped and counted.
const QUEUE_RECORDS: usize = 4096;

/// Running logs; what is queued is written when this is dropped.
pub struct Logs {
    logger: Logger,
    _guard: slog_async::AsyncGuard,
}

impl Logs {
    /// Returns a logger that writes here.
    pub fn logger(&self) -> Logger {
        self.logger.clone()
    }
}

/// Starts logs to the standard error stream.
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
        queued(drain.fuse(), level)
    } else {
        queued(slog_json::Json::default(io::stderr()).fuse(), level)
    }
}

/// Variable of the environment with the least level that is written: `error`, `warning`, `info`
/// or `debug`.
const LEVEL_VARIABLE: &str = "BRIARCOVE_LOG";

/// Starts logs as JSON lines to the standard output stream.
pub fn start_stdout() -> Logs {
    let wanted = env::var(LEVEL_VARIABLE).ok();
    let level = wanted.as_deref().map(str::parse);
    let logs = queued(
        slog_json::Json::default(io::stdout()).fuse(),
        level.and_then(Result::ok).unwrap_or(slog::Level::Info),
    );
    if let Some(Err(())) = level {
        warn!(logs.logger, "the level of the log is not known; using info"; "level" => wanted);
    }
    logs
}

fn queued<D>(drain: D, level: slog::Level) -> Logs
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
