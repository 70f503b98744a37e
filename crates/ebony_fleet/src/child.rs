//! Starts, signals and stops a daemon process.

use std::fs::OpenOptions;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// The interval at which a process is checked for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The result of an operation on a process.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGTERM: the process stops gracefully.
    Terminate,
    /// SIGKILL: the process is killed.
    Kill,
    /// SIGSTOP: the process is paused.
    Pause,
    /// SIGCONT: the process continues.
    Resume,
}

impl StopSignal {
    fn to_signal(self) -> Signal {
        match self {
            Self::Terminate => Signal::TERM,
            Self::Kill => Signal::KILL,
            Self::Pause => Signal::STOP,
            Self::Resume => Signal::CONT,
        }
    }
}

/// A running daemon process. Dropping it kills the process.
pub struct ChildProcess {
    child: Child,
    addresses: Value,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts `program` in a role and waits until it prints its addresses. Appends its log to the log file next to
    /// `settings`, which earlier processes with the same settings also used.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or exits before it prints its addresses.
    pub fn spawn(program: &Path, role: &str, settings: &Path) -> Result<Self> {
        let log = settings.with_extension("log");
        let mut child = Command::new(program)
            .arg(role)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(OpenOptions::new().create(true).append(true).open(&log)?)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        let output = child
            .stdout
            .take()
            .context("the process has no standard output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let Ok(addresses) = serde_json::from_str(&line) else {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            bail!("the {role} process did not print its addresses: {text}");
        };
        Ok(Self {
            child,
            addresses,
            log,
        })
    }

    /// Returns an address by its name, such as `callers`.
    ///
    /// # Errors
    ///
    /// Fails if the process has no such address.
    pub fn address(&self, name: &str) -> Result<SocketAddr> {
        let text = self.addresses[name]
            .as_str()
            .with_context(|| format!("no address {name}"))?;
        Ok(text.parse()?)
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the contents of the log file; empty if it can't be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exist.
    pub fn signal(&self, signal: StopSignal) -> Result<()> {
        let pid = i32::try_from(self.child.id())
            .ok()
            .and_then(Pid::from_raw)
            .context("invalid process ID")?;
        Ok(kill_process(pid, signal.to_signal())?)
    }

    /// Returns the exit status of the process; `None` while it runs.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the status.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// Fails if it is still running after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > deadline {
                bail!("the process did not exit within {limit:?}: {}", self.log());
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
