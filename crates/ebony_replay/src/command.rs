//! Implementation of `ebonyctl replay`.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use ebony_trace::{OutcomeVerdict, ReplayReport, read_trace, render_html, render_json, render_text};

use crate::check::AnswerCheck;
use crate::driver::replay;
use crate::options::{CallerKeys, ReplayOptions};
use crate::standin_hooks::StandinHooks;

/// Exit code if a stated outcome was not reached or the replay hit its time limit.
pub const EXIT_BREACH: u8 = 1;

/// The result of the command.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Format of the printed report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text tables.
    #[default]
    Table,
    /// JSON.
    Json,
    /// One HTML page.
    Html,
}

/// The arguments of the command.
#[derive(Clone, Debug)]
pub struct ReplayCommand {
    /// The file of the trace.
    pub trace: PathBuf,
    /// Base URLs of entries, such as `http://127.0.0.1:17000`.
    pub entries: Vec<String>,
    /// The bearer keys.
    pub keys: CallerKeys,
    /// The name of the run in reports.
    pub run: String,
    /// How answers are checked.
    pub check: AnswerCheck,
    /// Addresses of the control ports of engine stand-ins, from which runs and cache counters are read. Empty for other
    /// engines.
    pub engines: Vec<SocketAddr>,
    /// Addresses of the control ports of service stand-ins, from which runs are read.
    pub services: Vec<SocketAddr>,
    /// The format of the report on standard output.
    pub format: OutputFormat,
    /// A file to write the HTML page to, regardless of `format`.
    pub html: Option<PathBuf>,
    /// Whether an outcome that could not be measured counts as a breach.
    pub is_strict: bool,
    /// The maximum duration of the replay, if it differs from the default.
    pub time_limit: Option<Duration>,
}

impl ReplayCommand {
    /// Returns a command with defaults: text tables, answers checked as those of stand-ins, and no control ports.
    pub fn open(trace: impl Into<PathBuf>, entries: Vec<String>, keys: CallerKeys) -> Self {
        Self {
            trace: trace.into(),
            entries,
            keys,
            run: "replay".to_owned(),
            check: AnswerCheck::default(),
            engines: Vec::new(),
            services: Vec::new(),
            format: OutputFormat::default(),
            html: None,
            is_strict: false,
            time_limit: None,
        }
    }

    fn options(&self) -> ReplayOptions {
        let entries = self
            .entries
            .iter()
            .map(|url| url.trim_end_matches('/').to_owned());
        let mut options = ReplayOptions::open(&self.run, entries.collect(), self.keys.clone());
        // A second replay against the same targets must not reuse the idempotency keys of the first.
        options.nonce = format!("{}-{:x}", options.nonce, nonce());
        options.check = self.check;
        options.shows_progress = true;
        options.time_limit = self.time_limit.unwrap_or(options.time_limit);
        options
    }
}

/// Returns a number that differs between runs of the command.
fn nonce() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_micros() as u64)
}

/// Reads a trace file.
///
/// # Errors
///
/// Fails if the file can't be read or is not a valid trace.
pub fn open_trace(path: &Path) -> Result<ebony_trace::TraceDocument> {
    let file = File::open(path).with_context(|| format!("cannot open {}", path.display()))?;
    read_trace(BufReader::new(file)).with_context(|| path.display().to_string())
}

/// Replays a trace, writes the report to `output`, and returns the exit code: 0, or [`EXIT_BREACH`] if a stated outcome
/// was not reached or the replay ended at its time limit. Must be called in an actix system.
///
/// # Errors
///
/// Fails if the trace can't be read, a stand-in does not answer, or the report can't be written.
pub async fn run_command(command: &ReplayCommand, output: &mut dyn Write) -> Result<ExitCode> {
    let document = Arc::new(open_trace(&command.trace)?);
    let mut hooks = StandinHooks::open(&command.engines, &command.services).await?;
    let run = replay(document, command.options(), &mut hooks).await?;
    let is_breached = has_breach(&run.report, command.is_strict);
    let reports = [run.report];
    let text = match command.format {
        OutputFormat::Table => render_text(&reports),
        OutputFormat::Json => render_json(&reports)?,
        OutputFormat::Html => render_html(&reports),
    };
    writeln!(output, "{}", text.trim_end())?;
    if let Some(path) = &command.html {
        std::fs::write(path, render_html(&reports))
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    if run.is_timed_out {
        eprintln!("the replay ended at its time limit after {:?}", run.elapsed);
    }
    Ok(match is_breached || run.is_timed_out {
        true => ExitCode::from(EXIT_BREACH),
        false => ExitCode::SUCCESS,
    })
}

/// Returns `true` if a stated outcome was not reached or, with `is_strict`, not measured.
pub fn has_breach(report: &ReplayReport, is_strict: bool) -> bool {
    let mut breaches = report.breaches();
    breaches.any(|outcome| is_strict || outcome.verdict == OutcomeVerdict::Breached)
}
