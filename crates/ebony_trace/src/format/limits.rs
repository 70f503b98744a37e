//! Limits that bound what the reader accepts.

/// The longest line in bytes, with its newline. A program of the most turns with the longest names fits.
pub const MAX_LINE_BYTES: usize = 128 * 1024;

/// The most programs in a trace.
pub const MAX_PROGRAMS: usize = 20_000;

/// The most turns of a program; the design scale has 84.
pub const MAX_TURNS: usize = 256;

/// The most tokens of a program's history, as in the design scale.
pub const MAX_HISTORY_TOKENS: u64 = 540_000;

/// The most levels of sub-agents below a program, as in the default budget of programs.
pub const MAX_DEPTH: u8 = 3;

/// The most sub-agents of one program.
pub const MAX_CHILDREN: usize = 32;

/// The most markers in a trace.
pub const MAX_MARKERS: usize = 64;

/// The most stated outcomes.
pub const MAX_OUTCOMES: usize = 32;

/// The most models, services or failure domains in a header.
pub const MAX_NAMES: usize = 64;

/// The longest name or description in a header, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_024;

/// The latest time in a trace, in milliseconds: one day.
pub const MAX_TRACE_MS: u32 = 86_400_000;

/// The longest duration of a tool, in milliseconds: one hour.
pub const MAX_PAUSE_MS: u32 = 3_600_000;
