//! Limits on the duration, size and number of requests.

use std::time::Duration;

use ebony_types::limits::{MAX_ANSWER_BYTES, MAX_TIMEOUT_MS};

/// Maximum size of a reply from the platform, in bytes. The largest objects are checkpoints.
const MAX_PLATFORM_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Limits on the requests of one adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum wait for a free connection, and separately for its establishment. Until then, nothing has been sent.
    pub connect_timeout: Duration,
    /// Maximum wait for the head of the answer, and separately for the rest of an answer that is read completely.
    pub answer_timeout: Duration,
    /// Maximum time between parts of the body of an answer.
    pub idle_timeout: Duration,
    /// Maximum time for which an unused connection is kept. Must be shorter than the server's own keep-alive time,
    /// because a request on a connection that the server is closing has an unknown outcome.
    pub keep_idle: Duration,
    /// Maximum size of an answer's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of connections.
    pub max_connections: usize,
}

impl RequestLimits {
    /// Returns limits for the services of the platform, whose answers are short.
    pub const fn for_platform() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            answer_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(5),
            keep_idle: Duration::from_secs(4),
            max_body_bytes: MAX_PLATFORM_BODY_BYTES,
            max_connections: 16,
        }
    }

    /// Returns limits for engines and plain services. Their answers may take up to the maximum timeout of a call.
    pub const fn for_targets() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            answer_timeout: Duration::from_millis(MAX_TIMEOUT_MS as u64),
            idle_timeout: Duration::from_secs(120),
            keep_idle: Duration::from_secs(4),
            max_body_bytes: MAX_ANSWER_BYTES,
            max_connections: 256,
        }
    }

    /// Returns the limits with `timeout` as both the answer timeout and the idle timeout.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ebony_platform::RequestLimits;
    ///
    /// let limits = RequestLimits::for_platform().with_answer_timeout(Duration::from_millis(200));
    /// assert_eq!(limits.idle_timeout, Duration::from_millis(200));
    /// ```
    #[must_use]
    pub const fn with_answer_timeout(mut self, timeout: Duration) -> Self {
        self.answer_timeout = timeout;
        self.idle_timeout = timeout;
        self
    }
}
