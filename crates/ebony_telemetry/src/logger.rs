//! Structured logging of a process.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Capacity of the queue to the writer thread, in records. When it is full, records are dropped and counted, so that a
/// blocked terminal never blocks a call.
const QUEUE_CAPACITY_RECORDS: usize = 4_096;

/// The output format of log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Terminal,
}

/// The lowest severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// The process cannot continue.
    Critical,
    /// An operation failed.
    Error,
    /// Something needs attention.
    Warning,
    /// Normal events.
    #[default]
    Info,
    /// Details for debugging.
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

/// How long process exit waits until queued records are written. A terminal or collector that reads its input takes a
/// few milliseconds; one that does not read must not delay the exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes the queued records when it is dropped. Gives up after 500 ms if the output is not read.
pub struct LoggerGuard {
    guard: Option<AsyncGuard>,
}

impl Drop for LoggerGuard {
    fn drop(&mut self) {
        let (flush_sender, flush_receiver) = mpsc::channel();
        let guard = self.guard.take();
        thread::spawn(move || {
            drop(guard);
            // The receiver is gone if the timeout has passed.
            flush_sender.send(()).ok();
        });
        // Records that are still queued after the timeout are lost when the process exits.
        flush_receiver.recv_timeout(FLUSH_TIMEOUT).ok();
    }
}

/// Opens a logger that writes to standard error. Every record names the process and its role.
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

/// Opens a logger that writes to standard output, for deployments that collect logs from there. Every record names the
/// process and its role.
///
/// ```
/// use ebony_telemetry::{LogFormat, LogLevel, open_stdout_logger};
///
/// let (logger, _guard) = open_stdout_logger("gateway-1", "gateway", LogFormat::Json, LogLevel::default());
/// slog::info!(logger, "process started");
/// ```
pub fn open_stdout_logger(
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
        .chan_size(QUEUE_CAPACITY_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}
