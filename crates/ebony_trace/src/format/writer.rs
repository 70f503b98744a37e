//! Trace writer.

use std::io::Write;

use serde::Serialize;

use crate::format::document::TraceDocument;
use crate::format::error::{Result, TraceFault};
use crate::format::header::TraceHeader;
use crate::format::program::{TraceMarker, TraceProgram};

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum TraceLineRef<'a> {
    Header(&'a TraceHeader),
    Marker(&'a TraceMarker),
    Program(&'a TraceProgram),
}

/// Writes a complete trace: the header, the markers, then the programs.
///
/// # Errors
///
/// Returns [`crate::TraceError`] with the line that could not be written.
pub fn write_trace(document: &TraceDocument, mut writer: impl Write) -> Result<()> {
    let header = std::iter::once(TraceLineRef::Header(document.header()));
    let markers = document.markers().iter().map(TraceLineRef::Marker);
    let programs = document.programs().iter().map(TraceLineRef::Program);
    let mut last = 0;
    for (line, part) in (1..).zip(header.chain(markers).chain(programs)) {
        write_line(&mut writer, &part).map_err(|fault| fault.at(line))?;
        last = line;
    }
    writer.flush().map_err(|error| TraceFault::Io(error).at(last))
}

fn write_line(writer: &mut impl Write, line: &TraceLineRef<'_>) -> Result<(), TraceFault> {
    serde_json::to_writer(&mut *writer, line).map_err(|error| TraceFault::Io(error.into()))?;
    writer.write_all(b"\n")?;
    Ok(())
}
