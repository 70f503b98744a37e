//! Limits on time, size and connections.

use std::time::Duration;

use ebony_types::limits::{MAX_ANSWER_BYTES, MAX_TIMEOUT_MS};

/// The largest reply of the platform in bytes. A checkpoint is the largest object.
const MAX_PLATFORM_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Limits on the requests of one adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The longest wait for a free connection, and again for its establishment. Nothing has been sent until then.
    pub connect_timeout: Duration,
    /// The longest wait from the request to the head of the answer, and again to the end of an answer that is read
    /// as a whole.
    pub answer_timeout: Duration,
    /// The longest silence within the body of a streamed answer.
    pub idle_timeout: Duration,
    /// The longest time that an unused connection is kept. Must be shorter than the server's own, because a request
    /// on a connection that the server is closing has an unknown outcome.
    pub keep_idle: Duration,
    /// The largest body of an answer in bytes.
    pub max_body_bytes: usize,
    /// The most connections.
    pub max_connections: usize,
}

impl RequestLimits {
    /// Returns limits for the platform's own services, whose answers are short.
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

    /// Returns limits for engines and plain services, whose answers may take as long as a call may.
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

    /// Returns the limits with another time for answers, which also bounds the silence within one.
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
