//! Strict trace reader.

use std::io::{BufRead, Read};

use serde::Deserialize;

use crate::format::check::LineChecker;
use crate::format::document::TraceDocument;
use crate::format::error::{Result, TraceFault};
use crate::format::header::TraceHeader;
use crate::format::limits::MAX_LINE_BYTES;
use crate::format::program::{TraceMarker, TraceProgram};

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum TraceLine {
    Header(Box<TraceHeader>),
    Marker(TraceMarker),
    Program(TraceProgram),
}

/// Reads and decodes lines of bounded length, and counts them.
struct LineReader<R> {
    input: R,
    line: u64,
    buffer: Vec<u8>,
}

impl<R: BufRead> LineReader<R> {
    /// Returns the next line, or `None` at the end of the input.
    fn next(&mut self) -> Result<Option<TraceLine>> {
        self.line += 1;
        self.decode().map_err(|fault| fault.at(self.line))
    }

    fn decode(&mut self) -> Result<Option<TraceLine>, TraceFault> {
        self.buffer.clear();
        let mut bounded = self.input.by_ref().take(MAX_LINE_BYTES as u64 + 1);
        if bounded.read_until(b'\n', &mut self.buffer)? == 0 {
            return Ok(None);
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(TraceFault::LineTooLong);
        }
        let line = self.buffer.strip_suffix(b"\n").ok_or(TraceFault::TruncatedLine)?;
        let line = serde_json::from_slice(line).map_err(|error| TraceFault::malformed(&error))?;
        Ok(Some(line))
    }
}

/// Reads and validates a complete trace.
///
/// ```
/// use ebony_trace::read_trace;
///
/// let error = read_trace("{\"header\":{\"version\":1}}\n".as_bytes()).unwrap_err();
/// assert_eq!(error.to_string(), "line 1: column 23: missing field `name`");
/// ```
///
/// # Errors
///
/// Returns [`crate::TraceError`] for the first line that is malformed, out of range, or contradicts an earlier line.
pub fn read_trace(reader: impl BufRead) -> Result<TraceDocument> {
    let buffer = Vec::new();
    let mut lines = LineReader {
        input: reader,
        line: 0,
        buffer,
    };
    let Some(TraceLine::Header(header)) = lines.next()? else {
        return Err(TraceFault::MissingHeader.at(lines.line));
    };
    let mut markers = Vec::new();
    let mut programs = Vec::new();
    let mut checker = LineChecker::open(&header).map_err(|fault| fault.at(lines.line))?;
    while let Some(line) = lines.next()? {
        let checked = match line {
            TraceLine::Header(_) => Err(TraceFault::DuplicateHeader),
            TraceLine::Marker(marker) => checker.check_marker(&marker).map(|()| markers.push(marker)),
            TraceLine::Program(program) => checker.check_program(&program).map(|()| programs.push(program)),
        };
        checked.map_err(|fault| fault.at(lines.line))?;
    }
    checker.check_end().map_err(|fault| fault.at(lines.line))?;
    Ok(TraceDocument::from_checked(*header, markers, programs))
}
