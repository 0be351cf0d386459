//! Rate limiting with bursts.

/// A token bucket, which limits a rate and allows bursts. Instants are milliseconds of the steady
/// clock.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Maximum number of tokens.
    capacity: f64,
    /// Number of tokens at `updated_ms`; negative after more were spent than were available.
    tokens: f64,
    /// Instant, in milliseconds of the steady clock, for which `tokens` was computed.
    updated_ms: u64,
}

impl TokenBucket {
    /// Returns a full bucket that gains `rate` tokens per second. Its capacity is the tokens of
    /// `burst_s` seconds, and at least one token.
    pub fn new(rate: f64, burst_s: f64, now_ms: u64) -> TokenBucket {
        let capacity = (rate * burst_s).max(1.0);
        TokenBucket { rate, capacity, tokens: capacity, updated_ms: now_ms }
    }

    /// Returns the number of whole tokens that are available at `now_ms`.
    pub fn available_tokens(&mut self, now_ms: u64) -> usize {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1000.0;
        self.updated_ms = now_ms;
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.capacity);
        self.tokens.max(0.0) as usize
    }

    /// Takes this number of tokens even if fewer are available; the number of tokens then becomes
    /// negative and none is available until it has grown to one again.
    pub fn spend(&mut self, tokens: usize) {
        self.tokens -= tokens as f64;
    }

    /// Takes one token if one is available, and returns whether it did.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        let available = self.available_tokens(now_ms) >= 1;
        if available {
            self.spend(1);
        }
        available
    }
}
