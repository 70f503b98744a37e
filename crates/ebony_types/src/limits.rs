//! Limits on the size of messages, buffers and queues.

/// Maximum size of a request body from a caller, in bytes. It holds 540,000 tokens of history at about 4 bytes per
/// token.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of a frame between processes, in bytes. A frame holds a body and its envelope.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of a chunk of an answer in one frame, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Maximum size of a stored or buffered answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of header fields that are passed through with a call.
pub const MAX_HEADER_FIELDS: usize = 64;

/// Maximum timeout of a call, in milliseconds. Longer timeouts that callers request are reduced to it.
pub const MAX_TIMEOUT_MS: u32 = 600_000;

/// Timeout of a call whose caller requests none, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u32 = 120_000;

/// Maximum number of waiting calls of one program.
pub const MAX_WAITING_CALLS_PER_PROGRAM: usize = 8;

/// Flow control window: the number of bytes of an answer that a sender may send before the receiver grants more.
pub const ANSWER_WINDOW_BYTES: u32 = 256 * 1024;

/// Number of consumed bytes after which a receiver grants the sender the same number again.
pub const CREDIT_STEP_BYTES: u32 = 64 * 1024;
