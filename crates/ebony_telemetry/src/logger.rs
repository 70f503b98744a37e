//! The process's logger.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Records that wait for the writer thread. Further ones are dropped and counted, so that a blocked terminal never
/// blocks a call.
const QUEUE_RECORDS: usize = 4_096;

/// How log records are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line, on standard error.
    Json,
    /// Text for people, on standard error.
    Terminal,
}

/// The least severe level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// The process cannot go on.
    Critical,
    /// An operation failed.
    Error,
    /// Something needs attention.
    Warning,
    /// Ordinary events.
    #[default]
    Info,
    /// Details for finding faults.
    Debug,
    /// Every step.
    Trace,
}

impl LogLevel {
    fn to_slog(self) -> Level {
        match self {
            Self::Critical => Level::Critical,
            Self::Error => Level::Error,
            Self::Warning => Level::Warning,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
            Self::Trace => Level::Trace,
        }
    }
}

/// How long the end of a process waits for the remaining records. A terminal or collector that reads takes a few
/// milliseconds; one that does not must not hold up the end.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Writes the remaining records when it is dropped, unless nobody reads them.
pub struct LoggerGuard {
    guard: Option<AsyncGuard>,
}

impl Drop for LoggerGuard {
    fn drop(&mut self) {
        let (flushed, is_flushed) = mpsc::channel();
        let guard = self.guard.take();
        thread::spawn(move || {
            drop(guard);
            // Nobody listens any more if the limit has passed.
            flushed.send(()).ok();
        });
        // What is not written by then is lost with the process.
        is_flushed.recv_timeout(FLUSH_LIMIT).ok();
    }
}

/// Opens the process's logger. Every record names the process and its role.
///
/// ```
/// use ebony_telemetry::{LogFormat, LogLevel, open_logger};
///
/// let (logger, _guard) = open_logger("entry-1", "entry", LogFormat::Json, LogLevel::default());
/// slog::info!(logger, "process started");
/// ```
pub fn open_logger(
    process: &str,
    role: &'static str,
    format: LogFormat,
    level: LogLevel,
) -> (Logger, LoggerGuard) {
    open_logger_to(io::stderr(), process, role, format, level)
}

/// Opens the logger of a process whose records are collected from its standard output.
///
/// ```
/// use ebony_telemetry::{LogFormat, LogLevel, open_output_logger};
///
/// let (logger, _guard) = open_output_logger("gateway-1", "gateway", LogFormat::Json, LogLevel::default());
/// slog::info!(logger, "process started");
/// ```
pub fn open_output_logger(
    process: &str,
    role: &'static str,
    format: LogFormat,
    level: LogLevel,
) -> (Logger, LoggerGuard) {
    open_logger_to(io::stdout(), process, role, format, level)
}

fn open_logger_to<W: io::Write + Send + 'static>(
    output: W,
    process: &str,
    role: &'static str,
    format: LogFormat,
    level: LogLevel,
) -> (Logger, LoggerGuard) {
    let (drain, guard) = match format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(output).add_default_keys().build();
            open_async(LevelFilter::new(drain, level.to_slog()).fuse())
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(output);
            let drain = slog_term::FullFormat::new(decorator).build();
            open_async(LevelFilter::new(drain, level.to_slog()).fuse())
        }
    };
    let logger = Logger::root(drain.fuse(), o!("process" => process.to_owned(), "role" => role));
    (logger, LoggerGuard { guard: Some(guard) })
}

fn open_async<D>(drain: D) -> (Async, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}
