//! Rate limits with bursts.

/// A token bucket. Times are milliseconds of the steady clock.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    capacity: f64,
    /// Below 0 after more were spent than were available.
    tokens: f64,
    /// When `tokens` was right.
    updated_ms: u64,
}

impl TokenBucket {
    /// A full bucket with `rate` tokens a second; bursts may take those of `burst_s` seconds, and
    /// one token in any case.
    pub fn new(rate: f64, burst_s: f64, now_ms: u64) -> TokenBucket {
        let capacity = (rate * burst_s).max(1.0);
        TokenBucket { rate, capacity, tokens: capacity, updated_ms: now_ms }
    }

    /// Whole tokens that are available.
    pub fn available_tokens(&mut self, now_ms: u64) -> usize {
        let passed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1000.0;
        self.updated_ms = now_ms;
        self.tokens = (self.tokens + passed_s * self.rate).min(self.capacity);
        self.tokens.max(0.0) as usize
    }

    /// Takes so many tokens, also if fewer are available: the bucket then fills from below 0.
    pub fn spend(&mut self, tokens: usize) {
        self.tokens -= tokens as f64;
    }

    /// Takes one token if one is available; false otherwise.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        let available = self.available_tokens(now_ms) >= 1;
        if available {
            self.spend(1);
        }
        available
    }
}
