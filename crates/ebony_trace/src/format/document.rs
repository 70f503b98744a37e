//! A whole trace.

use std::collections::BTreeSet;

use ebony_types::CallerName;

use crate::format::check::LineChecker;
use crate::format::error::Result;
use crate::format::header::TraceHeader;
use crate::format::program::{TraceMarker, TraceProgram};

/// A whole trace, checked: numbers, parents, turns and names are consistent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceDocument {
    header: TraceHeader,
    markers: Vec<TraceMarker>,
    programs: Vec<TraceProgram>,
}

impl TraceDocument {
    /// Checks and joins the parts of a trace.
    ///
    /// # Errors
    ///
    /// Returns [`crate::TraceError`] with the line that the faulty part would have in the file.
    pub fn open(header: TraceHeader, markers: Vec<TraceMarker>, programs: Vec<TraceProgram>) -> Result<Self> {
        let mut line = 1;
        let mut checker = LineChecker::open(&header).map_err(|fault| fault.at(line))?;
        for marker in &markers {
            line += 1;
            checker.check_marker(marker).map_err(|fault| fault.at(line))?;
        }
        for program in &programs {
            line += 1;
            checker.check_program(program).map_err(|fault| fault.at(line))?;
        }
        checker.check_end().map_err(|fault| fault.at(line))?;
        Ok(Self {
            header,
            markers,
            programs,
        })
    }

    /// Joins parts that were checked line by line.
    pub(super) fn from_checked(
        header: TraceHeader,
        markers: Vec<TraceMarker>,
        programs: Vec<TraceProgram>,
    ) -> Self {
        Self {
            header,
            markers,
            programs,
        }
    }

    /// Returns what the trace is and what its replay should reach.
    pub fn header(&self) -> &TraceHeader {
        &self.header
    }

    /// Returns the faults that the harness causes, in order of time.
    pub fn markers(&self) -> &[TraceMarker] {
        &self.markers
    }

    /// Returns the callers of all programs, in the order of their names.
    pub fn callers(&self) -> BTreeSet<&CallerName> {
        self.programs.iter().map(|program| &program.caller).collect()
    }

    /// Returns the programs; the position of each is its number.
    pub fn programs(&self) -> &[TraceProgram] {
        &self.programs
    }
}
