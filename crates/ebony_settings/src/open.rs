//! Reads and checks a settings file.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::gateway_settings::GatewaySettings;
use crate::issue::{IssueKind, Result, SettingsIssue, SettingsReport};
use crate::key_source::load_key_file;
use crate::position::TextPosition;
use crate::reader::{CheckedFile, CheckedValue};
use crate::rules;
use crate::schema::{GATEWAY_ROOT, ROOT, ValueKind};
use crate::settings::ProcessSettings;

/// The largest settings file in bytes. It limits how much memory a wrong path can take.
const MAX_SETTINGS_BYTES: u64 = 1 << 20;

impl ProcessSettings {
    /// Reads and checks the settings file of a process. Also checks that the files named in it can be read.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsReport`] with all errors.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        let path = path.as_ref();
        let (name, text) = read_settings_file(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let mut file = check_text(&text, &name)?;
        let issues = file
            .values
            .iter()
            .filter_map(|value| check_named_file(value, folder))
            .collect::<Vec<_>>();
        file.issues.extend(issues);
        let mut settings = decode_settings(file, &name)?;
        settings.resolve_paths(folder);
        Ok(settings)
    }

    /// Checks the text of a settings file. Files named in it are not read, and relative paths are not resolved.
    ///
    /// ```
    /// use ebony_settings::ProcessSettings;
    ///
    /// let report = ProcessSettings::parse("{ \"role\": \"entri\" }", "entry.jsonc").unwrap_err();
    /// assert!(report.to_string().contains("did you mean `entry`?"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsReport`] with all errors.
    pub fn parse(text: &str, file_name: &str) -> Result<Self> {
        decode_settings(check_text(text, file_name)?, file_name)
    }
}

impl GatewaySettings {
    /// Reads and checks the settings file of a gateway.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsReport`] with all errors.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        let (name, text) = read_settings_file(path.as_ref())?;
        Self::parse(&text, &name)
    }

    /// Checks the text of a gateway's settings file.
    ///
    /// ```
    /// use ebony_settings::GatewaySettings;
    ///
    /// let report = GatewaySettings::parse("{ \"role\": \"gatewy\" }", "gateway.jsonc").unwrap_err();
    /// assert!(report.to_string().contains("did you mean `gateway`?"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsReport`] with all errors.
    pub fn parse(text: &str, file_name: &str) -> Result<Self> {
        let report = |issues| SettingsReport::new(file_name, issues);
        let mut file = CheckedFile::read(text, &GATEWAY_ROOT).map_err(|issue| report(vec![issue]))?;
        let issues = rules::check_gateway(&file);
        file.issues.extend(issues);
        if !file.issues.is_empty() {
            return Err(report(file.issues));
        }
        serde_json::from_value(file.into_root()).map_err(|error| {
            let message = format!("the schema and the settings' types disagree: {error}");
            report(vec![file_issue(message)])
        })
    }
}

/// Returns `true` if a settings file sets the role `gateway`. A file that is not a valid object yields `false`.
///
/// # Errors
///
/// Returns a [`SettingsReport`] if the file cannot be read.
pub fn is_gateway_file(path: impl AsRef<Path>) -> Result<bool> {
    let (_, text) = read_settings_file(path.as_ref())?;
    let file = CheckedFile::read(&text, &GATEWAY_ROOT);
    let is_gateway = |file: CheckedFile| file.value("role").and_then(CheckedValue::text) == Some("gateway");
    Ok(file.is_ok_and(is_gateway))
}

fn read_settings_file(path: &Path) -> Result<(String, String)> {
    let name = path.display().to_string();
    let text = read_text(path).map_err(|error| {
        let message = format!("the file cannot be read: {error}");
        SettingsReport::new(&name, vec![file_issue(message)])
    })?;
    Ok((name, text))
}

fn check_text(text: &str, file_name: &str) -> Result<CheckedFile> {
    let mut file =
        CheckedFile::read(text, &ROOT).map_err(|issue| SettingsReport::new(file_name, vec![issue]))?;
    let issues = rules::check_all(&file);
    file.issues.extend(issues);
    Ok(file)
}

fn decode_settings(file: CheckedFile, file_name: &str) -> Result<ProcessSettings> {
    if !file.issues.is_empty() {
        return Err(SettingsReport::new(file_name, file.issues));
    }
    serde_json::from_value(file.into_value()).map_err(|error| {
        let message = format!("the schema and the settings' types disagree: {error}");
        SettingsReport::new(file_name, vec![file_issue(message)])
    })
}

fn read_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?
        .take(MAX_SETTINGS_BYTES + 1)
        .read_to_string(&mut text)?;
    if text.len() as u64 > MAX_SETTINGS_BYTES {
        return Err(io::Error::other(format!(
            "it has more than {MAX_SETTINGS_BYTES} bytes"
        )));
    }
    Ok(text)
}

fn file_issue(message: String) -> SettingsIssue {
    SettingsIssue {
        position: TextPosition::START,
        path: String::new(),
        kind: IssueKind::BrokenRule(message),
    }
}

/// Checks that a file can be read. Opening it is not enough, because a folder can be opened but not read.
fn probe_file(path: &Path) -> io::Result<()> {
    let mut byte = Vec::new();
    File::open(path)?.take(1).read_to_end(&mut byte)?;
    Ok(())
}

/// Checks that a file named in the settings can be read and, for the cluster key, that the key is long enough.
fn check_named_file(value: &CheckedValue, folder: &Path) -> Option<SettingsIssue> {
    let path = match (value.kind, value.text()) {
        (ValueKind::File, Some(text)) => folder.join(text),
        _ => return None,
    };
    let result = if value.path == "links.cluster_key.file" {
        load_key_file(&path)
            .map(|_| ())
            .map_err(|error| error.to_string())
    } else {
        probe_file(&path).map_err(|error| format!("the file cannot be read: {error}"))
    };
    result.err().map(|message| value.violation(message))
}
