//! A complete, validated trace.

use std::collections::BTreeSet;

use ebony_types::CallerName;

use crate::format::check::LineChecker;
use crate::format::error::Result;
use crate::format::header::TraceHeader;
use crate::format::program::{TraceMarker, TraceProgram};

/// A complete trace whose ids, parents, turns and names have been checked for consistency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceDocument {
    header: TraceHeader,
    markers: Vec<TraceMarker>,
    programs: Vec<TraceProgram>,
}

impl TraceDocument {
    /// Validates the parts of a trace and combines them.
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

    /// Combines parts that were already validated line by line.
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

    /// Returns the header: the trace's metadata and the outcomes that its replay should reach.
    pub fn header(&self) -> &TraceHeader {
        &self.header
    }

    /// Returns the faults that the test harness injects, ordered by time.
    pub fn markers(&self) -> &[TraceMarker] {
        &self.markers
    }

    /// Returns the callers of all programs, ordered by name.
    pub fn callers(&self) -> BTreeSet<&CallerName> {
        self.programs.iter().map(|program| &program.caller).collect()
    }

    /// Returns the programs. The index of a program is its id.
    pub fn programs(&self) -> &[TraceProgram] {
        &self.programs
    }
}
