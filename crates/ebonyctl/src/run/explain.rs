//! The story of a call or a program, from the logs of gateways.

use std::collections::BTreeSet;
use std::fmt::{self, Write as _};
use std::fs;

use serde_json::{Map, Value};

use crate::command::ExplainArguments;
use crate::error::{ControlError, Result};

/// Members of a line that name the call or the program it is about, the turn that a call was to continue, or the digest by
/// which a request is recognized when it comes again.
const ID_MEMBERS: [&str; 5] = ["call", "program", "previous", "turn", "request"];

/// Members that stand before the others.
const HEAD_MEMBERS: [&str; 5] = ["ts", "process", "msg", "level", "role"];

/// Lines on what a process believed, which explain its decisions.
const BELIEFS: [&str; 13] = [
    "accounts are not recorded",
    "accounts are recorded again",
    "configuration in force",
    "drained",
    "graceful stop began",
    "process serves",
    "readiness changed",
    "settings reloaded",
    "target broke off",
    "target is leaving",
    "target removed",
    "the store does not answer",
    "the store is back",
];

/// The line that says that others were left out.
const LEFT_OUT: &str = "lines were left out";

struct LogLine {
    time: String,
    process: String,
    message: String,
    members: Map<String, Value>,
}

impl LogLine {
    fn parse(line: &str) -> Option<Self> {
        // Collectors put times and names before the object.
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

    fn is_about(&self, id: &str) -> bool {
        let mut named = ID_MEMBERS.iter().filter_map(|name| self.members.get(*name));
        named.any(|value| value == id)
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

/// The story of a call or a program.
///
/// ```
/// use ebonyctl::run::LogStory;
///
/// let log = r#"{"ts":"2026-01-01T00:00:01Z","process":"g-1","msg":"call ended","call":"c1","outcome":"refused"}"#;
/// let story = LogStory::read("c1", [log]);
/// assert_eq!(story.lines(), 1);
/// assert!(story.to_text().contains("outcome=refused"));
/// ```
pub struct LogStory {
    id: String,
    own: Vec<LogLine>,
    beliefs: Vec<LogLine>,
    left_out: u64,
    unreadable: usize,
}

impl LogStory {
    /// Reads the texts of log files.
    pub fn read<'t>(id: &str, texts: impl IntoIterator<Item = &'t str>) -> Self {
        let mut story = Self {
            id: id.to_owned(),
            own: Vec::new(),
            beliefs: Vec::new(),
            left_out: 0,
            unreadable: 0,
        };
        let mut others = Vec::new();
        for line in texts
            .into_iter()
            .flat_map(str::lines)
            .filter(|line| !line.trim().is_empty())
        {
            match LogLine::parse(line) {
                Some(line) if line.is_about(id) => story.own.push(line),
                Some(line) => others.push(line),
                None => story.unreadable += 1,
            }
        }
        story.own.sort_by(|left, right| left.time.cmp(&right.time));
        story.add_context(others);
        story
    }

    /// Returns how many lines name the call or the program.
    pub fn lines(&self) -> usize {
        self.own.len()
    }

    /// Adds what the processes that took part believed until the story's end.
    fn add_context(&mut self, others: Vec<LogLine>) {
        let Some(end) = self.own.last().map(|line| line.time.clone()) else {
            return;
        };
        let processes: BTreeSet<&str> = self.own.iter().map(|line| line.process.as_str()).collect();
        let took_part = |line: &LogLine| processes.contains(line.process.as_str()) && line.time <= end;
        let mut latest: Vec<LogLine> = Vec::new();
        for line in others.into_iter().filter(took_part) {
            if line.message == LEFT_OUT {
                self.left_out += line
                    .members
                    .get("lines")
                    .and_then(Value::as_u64)
                    .unwrap_or_default();
            } else if BELIEFS.contains(&line.message.as_str()) {
                // Only the latest of each kind was still believed.
                latest.retain(|known| known.process != line.process || known.message != line.message);
                latest.push(line);
            }
        }
        latest.sort_by(|left, right| left.time.cmp(&right.time));
        self.beliefs = latest;
    }

    /// Returns the story as text for people, with what is missing.
    pub fn to_text(&self) -> String {
        let mut output = String::new();
        // Writing to a string does not fail.
        let _ = self.write(&mut output);
        output
    }

    fn write(&self, output: &mut String) -> fmt::Result {
        writeln!(output, "{}: {} lines", self.id, self.own.len())?;
        self.own.iter().try_for_each(|line| line.write(output))?;
        if !self.beliefs.is_empty() {
            writeln!(output, "\nwhat the processes believed:")?;
            self.beliefs.iter().try_for_each(|line| line.write(output))?;
        }
        if self.left_out > 0 {
            writeln!(
                output,
                "\nmissing: {} lines were left out to bound the log",
                self.left_out
            )?;
        }
        if self.unreadable > 0 {
            writeln!(output, "\nmissing: {} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}

/// Reads the files and returns the story as text.
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
    let story = LogStory::read(&arguments.id, texts.iter().map(String::as_str));
    if story.lines() == 0 {
        return Err(ControlError::Usage(format!("no line names {}", arguments.id)));
    }
    Ok(story.to_text())
}
