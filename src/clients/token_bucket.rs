//! Rates with bursts.

/// A token bucket on the steady clock.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    most: f64,
    tokens: f64,
    at_ms: u64,
}

impl TokenBucket {
    /// `rate` tokens a second; bursts of `burst_s` seconds' worth.
    pub fn new(rate: f64, burst_s: f64, now: u64) -> TokenBucket {
        let most = (rate * burst_s).max(1.0);
        TokenBucket { rate, most, tokens: most, at_ms: now }
    }

    /// Whole tokens at hand.
    pub fn available_tokens(&mut self, now: u64) -> usize {
        let passed = now.saturating_sub(self.at_ms) as f64 / 1000.0;
        self.at_ms = now;
        self.tokens = (self.tokens + passed * self.rate).min(self.most);
        self.tokens.max(0.0) as usize
    }

    /// Takes `n` tokens, also if fewer are at hand: the bucket then fills up from below 0.
    pub fn spend(&mut self, n: usize) {
        self.tokens -= n as f64;
    }

    /// Takes one token if there is one; false if there is none.
    pub fn take(&mut self, now: u64) -> bool {
        let ok = self.available_tokens(now) >= 1;
        if ok {
            self.spend(1);
        }
        ok
    }
}
