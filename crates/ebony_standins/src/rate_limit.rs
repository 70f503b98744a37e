//! Rate limiting of requests.

use tokio::time::Instant;

/// A token bucket with a capacity of one second's tokens, but at least one token.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    tokens: f64,
    filled_at: Option<Instant>,
}

impl RateLimit {
    /// Takes a token if one is available, and returns whether it did. Without a rate in `per_second`, always succeeds.
    pub(crate) fn try_take(&mut self, per_second: Option<f64>) -> bool {
        let Some(rate) = per_second else {
            self.filled_at = None;
            return true;
        };
        let now = Instant::now();
        let capacity = rate.max(1.0);
        self.tokens = match self.filled_at {
            Some(filled_at) => {
                let accrued = now.duration_since(filled_at).as_secs_f64() * rate;
                (self.tokens + accrued).min(capacity)
            }
            None => capacity,
        };
        self.filled_at = Some(now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
