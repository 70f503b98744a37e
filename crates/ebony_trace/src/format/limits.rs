//! Limits on the traces that the reader accepts.

/// Maximum length of a line in bytes, newline included. A program with [`MAX_TURNS`] turns and the longest names fits.
pub const MAX_LINE_BYTES: usize = 128 * 1024;

/// Maximum number of programs in a trace.
pub const MAX_PROGRAMS: usize = 20_000;

/// Maximum number of turns of a program; the design scale has 84.
pub const MAX_TURNS: usize = 256;

/// Maximum number of tokens of a program's history, as in the design scale.
pub const MAX_HISTORY_TOKENS: u64 = 540_000;

/// Maximum nesting depth of sub-agents, equal to that in the default program budget.
pub const MAX_DEPTH: u8 = 3;

/// Maximum number of sub-agents of one program.
pub const MAX_CHILDREN: usize = 32;

/// Maximum number of markers in a trace.
pub const MAX_MARKERS: usize = 64;

/// Maximum number of stated outcomes.
pub const MAX_OUTCOMES: usize = 32;

/// Maximum number of models, of services and of failure domains in a header.
pub const MAX_NAMES: usize = 64;

/// Maximum length of a name or description in a header, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_024;

/// Latest time in a trace, in milliseconds: one day.
pub const MAX_TRACE_MS: u32 = 86_400_000;

/// Maximum duration of a tool, in milliseconds: one hour.
pub const MAX_PAUSE_MS: u32 = 3_600_000;
