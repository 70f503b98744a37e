//! Reading a settings file.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::gateway_settings::GatewaySettings;
use crate::issue::{IssueKind, Result, SettingsIssue, SettingsReport};
use crate::key_source::load_key_file;
use crate::position::TextPosition;
use crate::reader::{CheckedFile, CheckedLeaf};
use crate::rules;
use crate::schema::{GATEWAY_ROOT, ROOT, ValueKind};
use crate::settings::ProcessSettings;

/// The largest settings file in bytes. It bounds what a wrong path can read into memory.
const MAX_SETTINGS_BYTES: u64 = 1 << 20;

impl ProcessSettings {
    /// Reads and checks the settings file of a process, with the files that it names.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsReport`] with everything that is wrong.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        let path = path.as_ref();
        let (name, text) = read_named(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let mut file = check(&text, &name)?;
        let issues = file
            .leaves
            .iter()
            .filter_map(|leaf| check_file(leaf, folder))
            .collect::<Vec<_>>();
        file.issues.extend(issues);
        let mut settings = finish(file, &name)?;
        settings.resolve_paths(folder);
        Ok(settings)
    }

    /// Checks the text of a settings file. Files that it names are not read, and relative paths stay as they are.
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
    /// Returns a [`SettingsReport`] with everything that is wrong.
    pub fn parse(text: &str, file_name: &str) -> Result<Self> {
        finish(check(text, file_name)?, file_name)
    }
}

impl GatewaySettings {
    /// Reads and checks the settings file of a gateway.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsReport`] with everything that is wrong.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        let (name, text) = read_named(path.as_ref())?;
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
    /// Returns a [`SettingsReport`] with everything that is wrong.
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

/// Returns whether a settings file names the role of a gateway. A file that is no object names none.
///
/// # Errors
///
/// Returns a [`SettingsReport`] if the file cannot be read.
pub fn is_gateway_file(path: impl AsRef<Path>) -> Result<bool> {
    let (_, text) = read_named(path.as_ref())?;
    let file = CheckedFile::read(&text, &GATEWAY_ROOT);
    let is_gateway = |file: CheckedFile| file.leaf("role").and_then(CheckedLeaf::text) == Some("gateway");
    Ok(file.is_ok_and(is_gateway))
}

fn read_named(path: &Path) -> Result<(String, String)> {
    let name = path.display().to_string();
    let text = read_text(path).map_err(|error| {
        let message = format!("the file cannot be read: {error}");
        SettingsReport::new(&name, vec![file_issue(message)])
    })?;
    Ok((name, text))
}

fn check(text: &str, file_name: &str) -> Result<CheckedFile> {
    let mut file =
        CheckedFile::read(text, &ROOT).map_err(|issue| SettingsReport::new(file_name, vec![issue]))?;
    let issues = rules::check_all(&file);
    file.issues.extend(issues);
    Ok(file)
}

fn finish(file: CheckedFile, file_name: &str) -> Result<ProcessSettings> {
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

/// Reads the first byte of a file; a folder can be opened but not read.
fn probe_file(path: &Path) -> io::Result<()> {
    let mut byte = Vec::new();
    File::open(path)?.take(1).read_to_end(&mut byte)?;
    Ok(())
}

/// Checks that a file that the settings name can be read, and that the cluster key is long enough.
fn check_file(leaf: &CheckedLeaf, folder: &Path) -> Option<SettingsIssue> {
    let path = match (leaf.kind, leaf.text()) {
        (ValueKind::File, Some(text)) => folder.join(text),
        _ => return None,
    };
    let result = if leaf.path == "links.cluster_key.file" {
        load_key_file(&path)
            .map(|_| ())
            .map_err(|error| error.to_string())
    } else {
        probe_file(&path).map_err(|error| format!("the file cannot be read: {error}"))
    };
    result.err().map(|message| leaf.broken(message))
}
