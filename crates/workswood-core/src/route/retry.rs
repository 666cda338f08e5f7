//! The retry budget, which limits retries to a share of the first attempts.

/// Tokens that each first attempt adds; a retry costs one.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Maximum number of saved tokens.
const MAX_TOKENS: f64 = 20.0;

/// A token bucket that first attempts fill and retries drain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS / 4.0 }
    }
}

impl RetryBudget {
    /// Adds the tokens of one first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes one token for a retry; returns false if less than one is left.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
