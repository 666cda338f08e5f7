//! The retry budget: retries as a share of first tries.

/// Retries allowed for each first try.
const SHARE: f64 = 0.1;
/// Retries that may be saved up.
const MOST: f64 = 20.0;

/// Tokens earned by first tries and spent by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MOST / 4.0 }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn first_try(&mut self) {
        self.tokens = (self.tokens + SHARE).min(MOST);
    }

    /// Takes a token for a retry, if there is one.
    pub fn retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
