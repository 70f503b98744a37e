//! The `explain` command, which collects the log lines of gateways on a call or a program.

use std::collections::BTreeSet;
use std::fmt::{self, Write as _};
use std::fs;

use serde_json::{Map, Value};

use crate::command::ExplainArguments;
use crate::error::{ControlError, Result};

/// Members of a log line that identify its call or program, the turn that the call continues, the stream that it resumes,
/// or the digest by which a repeated request is recognized.
const ID_MEMBERS: [&str; 6] = ["call", "program", "previous", "resumed", "turn", "request"];

/// Members that are not listed after the message. Time, process and message are printed first; level and role are
/// omitted.
const HEAD_MEMBERS: [&str; 5] = ["ts", "process", "msg", "level", "role"];

/// Messages on the state of a process as it knew it, which explain its decisions.
const STATE_MESSAGES: [&str; 21] = [
    "accounts are not recorded",
    "accounts are recorded again",
    "configuration in force",
    "drained",
    "graceful stop began",
    "limit of a target changed",
    "permits of a limited target",
    "process serves",
    "readiness changed",
    "role for a customer's quota",
    "settings reloaded",
    "software version is gone",
    "software version is recorded",
    "some customers are not configured as written",
    "streams are not recorded",
    "target broke off",
    "target is leaving",
    "target removed",
    "the store does not answer",
    "the store is back",
    "the versions of streams cannot be read",
];

/// The message that gives the number of lines that a process dropped to bound its log.
const DROPPED_LINES_MESSAGE: &str = "lines were left out";

struct LogLine {
    time: String,
    process: String,
    message: String,
    members: Map<String, Value>,
}

impl LogLine {
    fn parse(line: &str) -> Option<Self> {
        // Log collectors may write a prefix, such as a time and a name, before the JSON object.
        let object = &line[line.find('{')?..];
        let Value::Object(mut members) = serde_json::from_str(object).ok()? else {
            return None;
        };
        let mut text = |name: &str| match members.remove(name) {
            Some(Value::String(text)) => text,
            _ => String::new(),
        };
        Some(Self {
            time: text("ts"),
            process: text("process"),
            message: text("msg"),
            members,
        })
    }

    fn has_id(&self, id: &str) -> bool {
        let mut ids = ID_MEMBERS.iter().filter_map(|name| self.members.get(*name));
        ids.any(|value| value == id)
    }

    fn write(&self, output: &mut String) -> fmt::Result {
        write!(output, "{} {}: {}", self.time, self.process, self.message)?;
        let members = self.members.iter();
        for (name, value) in members.filter(|(name, _)| !HEAD_MEMBERS.contains(&name.as_str())) {
            match value {
                Value::Null => {}
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(output, " {name}={text}")?,
                other => write!(output, " {name}={other}")?,
            }
        }
        output.push('\n');
        Ok(())
    }
}

/// The log lines on a call or a program in the order of time, with the state of the processes that logged them.
///
/// ```
/// use ebonyctl::run::LogTimeline;
///
/// let log = r#"{"ts":"2026-01-01T00:00:01Z","process":"g-1","msg":"call ended","call":"c1","outcome":"refused"}"#;
/// let timeline = LogTimeline::read("c1", [log]);
/// assert_eq!(timeline.line_count(), 1);
/// assert!(timeline.to_text().contains("outcome=refused"));
/// ```
pub struct LogTimeline {
    id: String,
    lines: Vec<LogLine>,
    states: Vec<LogLine>,
    dropped_lines: u64,
    unreadable_lines: usize,
}

impl LogTimeline {
    /// Builds the timeline of a call or a program from the contents of log files.
    pub fn read<'t>(id: &str, texts: impl IntoIterator<Item = &'t str>) -> Self {
        let mut timeline = Self {
            id: id.to_owned(),
            lines: Vec::new(),
            states: Vec::new(),
            dropped_lines: 0,
            unreadable_lines: 0,
        };
        let mut others = Vec::new();
        for line in texts
            .into_iter()
            .flat_map(str::lines)
            .filter(|line| !line.trim().is_empty())
        {
            match LogLine::parse(line) {
                Some(line) if line.has_id(id) => timeline.lines.push(line),
                Some(line) => others.push(line),
                None => timeline.unreadable_lines += 1,
            }
        }
        timeline.lines.sort_by(|left, right| left.time.cmp(&right.time));
        timeline.add_states(others);
        timeline
    }

    /// Returns the number of lines that name the call or the program.
    pub fn line_count(&self) -> usize {
        self.lines.len()
    }

    /// Adds the latest state messages and the count of dropped lines of the processes in the timeline, up to its last
    /// line.
    fn add_states(&mut self, others: Vec<LogLine>) {
        let Some(end) = self.lines.last().map(|line| line.time.clone()) else {
            return;
        };
        let processes: BTreeSet<&str> = self.lines.iter().map(|line| line.process.as_str()).collect();
        let took_part = |line: &LogLine| processes.contains(line.process.as_str()) && line.time <= end;
        let mut latest: Vec<LogLine> = Vec::new();
        for line in others.into_iter().filter(took_part) {
            if line.message == DROPPED_LINES_MESSAGE {
                self.dropped_lines += line
                    .members
                    .get("lines")
                    .and_then(Value::as_u64)
                    .unwrap_or_default();
            } else if STATE_MESSAGES.contains(&line.message.as_str()) && self.concerns_customer(&line) {
                // A later message of the same kind replaces an earlier one, except that each target that the call tried or
                // passed over keeps its own.
                let target = self.named_target(&line);
                latest.retain(|known| {
                    let is_same_kind = known.process == line.process && known.message == line.message;
                    !is_same_kind || self.named_target(known) != target
                });
                latest.push(line);
            }
        }
        latest.sort_by(|left, right| left.time.cmp(&right.time));
        self.states = latest;
    }

    /// Returns whether a message names no customer, or the customer of a line of the call or the program.
    fn concerns_customer(&self, message: &LogLine) -> bool {
        let Some(customer) = message.members.get("customer") else {
            return true;
        };
        let mut lines = self.lines.iter();
        lines.any(|line| line.members.get("customer") == Some(customer))
    }

    /// Returns the target of a message if a line of the call or the program names that target.
    fn named_target<'l>(&self, message: &'l LogLine) -> Option<&'l str> {
        let target = message.members.get("target")?.as_str()?;
        let members = self.lines.iter().flat_map(|line| line.members.values());
        let mut words = members
            .filter_map(Value::as_str)
            .flat_map(|text| text.split([' ', ':']));
        words.any(|word| word == target).then_some(target)
    }

    /// Returns the timeline as text, with the numbers of lines that are missing from it.
    pub fn to_text(&self) -> String {
        let mut output = String::new();
        // Writing to a `String` does not fail.
        let _ = self.write(&mut output);
        output
    }

    fn write(&self, output: &mut String) -> fmt::Result {
        writeln!(output, "{}: {} lines", self.id, self.lines.len())?;
        self.lines.iter().try_for_each(|line| line.write(output))?;
        if !self.states.is_empty() {
            writeln!(output, "\nwhat the processes believed:")?;
            self.states.iter().try_for_each(|line| line.write(output))?;
        }
        if self.dropped_lines > 0 {
            writeln!(
                output,
                "\nmissing: {} lines were left out to bound the log",
                self.dropped_lines
            )?;
        }
        if self.unreadable_lines > 0 {
            writeln!(
                output,
                "\nmissing: {} lines could not be read",
                self.unreadable_lines
            )?;
        }
        Ok(())
    }
}

/// Reads the log files and returns the timeline as text.
///
/// # Errors
///
/// Fails if a file cannot be read, or if no line names the call or the program.
pub fn explain_command(arguments: &ExplainArguments) -> Result<String> {
    let mut texts = Vec::new();
    for file in &arguments.files {
        let text =
            fs::read(file).map_err(|error| ControlError::Usage(format!("{}: {error}", file.display())))?;
        texts.push(String::from_utf8_lossy(&text).into_owned());
    }
    let timeline = LogTimeline::read(&arguments.id, texts.iter().map(String::as_str));
    if timeline.line_count() == 0 {
        return Err(ControlError::Usage(format!("no line names {}", arguments.id)));
    }
    Ok(timeline.to_text())
}
