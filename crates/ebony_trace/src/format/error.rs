//! Errors of reading, validating and writing traces.

use crate::format::limits::{
    MAX_CHILDREN, MAX_DEPTH, MAX_HISTORY_TOKENS, MAX_LINE_BYTES, MAX_MARKERS, MAX_PROGRAMS, MAX_TURNS,
};

/// A fault in a trace, and the line that it is in.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("line {line}: {fault}")]
pub struct TraceError {
    /// The line, counted from 1.
    pub line: u64,
    /// What is wrong with it.
    pub fault: TraceFault,
}

/// The result of reading, writing or generating a trace.
pub type Result<T, E = TraceError> = std::result::Result<T, E>;

/// What is wrong with a line.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum TraceFault {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The line is too long.
    #[error("longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The line does not end with a newline, because the file was truncated.
    #[error("no newline at the end")]
    TruncatedLine,
    /// The line is not valid JSON of a known kind of line.
    #[error("column {column}: {message}")]
    Malformed {
        /// The column, counted from 1.
        column: usize,
        /// The message of the JSON decoder.
        message: String,
    },
    /// The first line is not a header.
    #[error("expected the header")]
    MissingHeader,
    /// A later line is a header.
    #[error("a second header")]
    DuplicateHeader,
    /// The version of the format is unknown.
    #[error("format version {0} is unknown")]
    UnknownVersion(u32),
    /// A member of the header is out of range.
    #[error("header: {0}")]
    Header(&'static str),
    /// A marker is out of order, after [`crate::format::limits::MAX_TRACE_MS`], or names an unknown failure domain.
    #[error("marker: {0}")]
    Marker(&'static str),
    /// There are too many markers.
    #[error("more than {MAX_MARKERS} markers")]
    TooManyMarkers,
    /// There are too many programs.
    #[error("more than {MAX_PROGRAMS} programs")]
    TooManyPrograms,
    /// A program does not have the next id.
    #[error("program {found} where {expected} is due")]
    UnexpectedId {
        /// The id in the line.
        found: u32,
        /// The id that must come next.
        expected: u32,
    },
    /// A program has no turns or too many.
    #[error("{0} turns; 1 to {MAX_TURNS} are allowed")]
    TurnCount(usize),
    /// A turn has a member that is out of range, or names an unknown service.
    #[error("turn {turn}: {reason}")]
    Turn {
        /// The turn, counted from 0.
        turn: usize,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// A program's history is too long.
    #[error("{0} tokens of history; at most {MAX_HISTORY_TOKENS} are allowed")]
    HistoryTooLong(u64),
    /// A program arrives after [`crate::format::limits::MAX_TRACE_MS`].
    #[error("arrives after the latest time")]
    LateArrival,
    /// The header does not list the model.
    #[error("the header does not list model {0}")]
    UnknownModel(String),
    /// The parent does not precede the sub-agent, or `after_turn` is not a turn that another turn follows.
    #[error("program {parent} has no turn after turn {after_turn} that a sub-agent can precede")]
    InvalidParent {
        /// The parent.
        parent: u32,
        /// The turn after which the sub-agent starts.
        after_turn: u16,
    },
    /// Sub-agents are nested too deeply.
    #[error("more than {MAX_DEPTH} levels of sub-agents")]
    TooDeep,
    /// The parent has too many sub-agents.
    #[error("program {0} has more than {MAX_CHILDREN} sub-agents")]
    TooManyChildren(u32),
    /// The number of markers or programs differs from that in the header.
    #[error("{found} {kind}; the header states {expected}")]
    LineCount {
        /// The kind of line that was counted.
        kind: &'static str,
        /// The number of lines.
        found: usize,
        /// The number in the header.
        expected: usize,
    },
}

impl TraceFault {
    /// Attaches the line number.
    pub(crate) fn at(self, line: u64) -> TraceError {
        TraceError { line, fault: self }
    }

    /// Converts an error of the JSON decoder, whose own line number is always 1.
    pub(crate) fn malformed(error: &serde_json::Error) -> Self {
        let text = error.to_string();
        let message = text
            .rsplit_once(" at line ")
            .map_or(text.as_str(), |(message, _)| message);
        Self::Malformed {
            column: error.column(),
            message: message.to_owned(),
        }
    }
}
