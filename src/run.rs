//! Runs the roles of the daemon and checks settings files.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use anyhow::Context;
use ebony_adapter::{PlatformDialect, PlatformStore};
use ebony_entry::EntryProcess;
use ebony_gateway::GatewayProcess;
use ebony_platform::RequestLimits;
use ebony_settings::{
    GatewaySettings, LogSettings, ProcessRole, ProcessSettings, SettingsReport, is_gateway_file,
};
use ebony_side::SideProcess;
use ebony_telemetry::{LogFormat, LogLevel, open_logger, open_stdout_logger};
use slog::{Logger, error, info, warn};

use crate::reload::SettingsWatcher;
use crate::signals::ProcessSignals;

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// The result of a run.
type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Checks settings files. Prints the role of each valid file and the errors of each invalid one.
pub fn check(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match validate_settings(file) {
            Ok(role) => println!("{}: ok ({role})", file.display()),
            Err(report) => {
                eprint!("{report}");
                code = ExitCode::from(EXIT_INVALID_SETTINGS);
            }
        }
    }
    code
}

/// Validates a settings file and returns its role.
fn validate_settings(file: &Path) -> Result<String, SettingsReport> {
    if is_gateway_file(file)? {
        return GatewaySettings::open(file).map(|settings| settings.role);
    }
    ProcessSettings::open(file).map(|settings| settings.role.role().to_string())
}

/// Runs a gateway until it is stopped.
pub fn gateway(file: &Path) -> ExitCode {
    let settings = match GatewaySettings::open(file) {
        Ok(settings) => settings,
        Err(report) => return report_invalid_settings(&report),
    };
    let (format, level) = log_options(settings.log);
    let (logger, guard) = open_stdout_logger(&settings.process, "gateway", format, level);
    let code = run_system(&logger, async |signals| {
        let limits = RequestLimits::for_platform().with_answer_timeout(settings.store.timeout);
        let store = PlatformStore::open(&settings.store.url.to_string(), limits)?;
        let dialect = Rc::new(PlatformDialect);
        let process = GatewayProcess::bind(&settings, dialect, Rc::new(store), logger.clone())?;
        print_addresses(&logger, &process.addresses().to_json());
        let mut serving = process.serve().await?;
        let mut watcher = SettingsWatcher::open(file);
        while let Some(settings) = watcher.next_settings(signals, &logger).await {
            serving.apply(settings);
        }
        stop_or_abort(&logger, signals, serving.drain()).await
    });
    drop(guard);
    code
}

/// Runs an entry process until it is stopped.
pub fn entry(file: &Path) -> ExitCode {
    run_role(file, ProcessRole::Entry, async |settings, logger, signals| {
        let process = EntryProcess::spawn(settings, logger.clone()).await?;
        let process = process.serve();
        print_addresses(&logger, &process.addresses().to_json());
        signals.next_stop().await;
        let drained = process.drain();
        stop_or_abort(&logger, signals, drained).await
    })
}

/// Runs a side process until it is stopped.
pub fn side(file: &Path) -> ExitCode {
    run_role(file, ProcessRole::Side, async |settings, logger, signals| {
        let process = SideProcess::spawn(settings, logger.clone()).await?;
        print_addresses(&logger, &process.addresses().to_json());
        signals.next_stop().await;
        let drained = process.drain();
        stop_or_abort(&logger, signals, drained).await
    })
}

/// Prints the bound addresses as one line of JSON, so that the parent process learns which ports were assigned for
/// port 0 in the settings.
fn print_addresses(logger: &Logger, addresses: &str) {
    println!("{addresses}");
    info!(logger, "process serves"; "addresses" => addresses);
}

/// Waits until the process has drained. A second SIGTERM or SIGINT ends the wait.
async fn stop_or_abort<T>(
    logger: &Logger,
    signals: &mut ProcessSignals,
    drained: impl Future<Output = T>,
) -> Result<()> {
    info!(logger, "graceful stop began");
    tokio::select! {
        _ = drained => info!(logger, "graceful stop is complete"),
        () = signals.next_stop() => warn!(logger, "second signal; stopping at once"),
    }
    Ok(())
}

fn log_options(settings: LogSettings) -> (LogFormat, LogLevel) {
    let format = match settings.format {
        ebony_settings::LogFormat::Json => LogFormat::Json,
        ebony_settings::LogFormat::Terminal => LogFormat::Terminal,
    };
    let level = match settings.level {
        ebony_settings::LogLevel::Critical => LogLevel::Critical,
        ebony_settings::LogLevel::Error => LogLevel::Error,
        ebony_settings::LogLevel::Warning => LogLevel::Warning,
        ebony_settings::LogLevel::Info => LogLevel::Info,
        ebony_settings::LogLevel::Debug => LogLevel::Debug,
        ebony_settings::LogLevel::Trace => LogLevel::Trace,
    };
    (format, level)
}

/// Runs an entry or side process with the settings in `file`, which must be of the given role.
fn run_role(
    file: &Path,
    role: ProcessRole,
    body: impl AsyncFnOnce(ProcessSettings, Logger, &mut ProcessSignals) -> Result<()>,
) -> ExitCode {
    let settings = match ProcessSettings::open(file) {
        Ok(settings) => settings,
        Err(report) => return report_invalid_settings(&report),
    };
    if settings.role.role() != role {
        eprintln!(
            "{}: these are the settings of a {}, not of a {role}",
            file.display(),
            settings.role.role()
        );
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    }
    let (format, level) = log_options(settings.log);
    let (logger, guard) = open_logger(&settings.process, role.as_str(), format, level);
    let code = run_system(&logger, async |signals| {
        body(settings, logger.clone(), signals).await
    });
    drop(guard);
    code
}

/// Runs a process in a new actix system and returns its exit code.
fn run_system(logger: &Logger, body: impl AsyncFnOnce(&mut ProcessSignals) -> Result<()>) -> ExitCode {
    let result = actix_rt::System::new().block_on(async {
        let mut signals = ProcessSignals::install().context("cannot install signal handlers")?;
        body(&mut signals).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(logger, "process failed"; "error" => format!("{failure:#}"));
            eprintln!("ebonyswitch: {failure:#}");
            ExitCode::FAILURE
        }
    }
}

fn report_invalid_settings(report: &SettingsReport) -> ExitCode {
    eprint!("{report}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}
