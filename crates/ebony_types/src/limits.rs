//! Limits that bound every buffer and table.

/// The largest request body from a caller, in bytes. 540,000 tokens of history at about 4 bytes a token fit.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The largest frame between processes, in bytes: a body and its envelope.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The largest chunk of an answer in one frame, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// The largest stored or buffered answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The most header fields that are passed through with a call.
pub const MAX_HEADER_FIELDS: usize = 64;

/// The longest wait of a call, in milliseconds, if its caller asks for more.
pub const MAX_TIMEOUT_MS: u32 = 600_000;

/// The wait of a call whose caller states none, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u32 = 120_000;

/// The most calls of one program that wait for their turn.
pub const MAX_WAITING_CALLS_PER_PROGRAM: usize = 8;

/// Bytes of an answer that a sender may have under way before the receiver grants more.
pub const ANSWER_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes that a receiver consumes before it grants them again.
pub const CREDIT_STEP_BYTES: u32 = 64 * 1024;
