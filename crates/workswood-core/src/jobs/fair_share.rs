//! Fair shares of workspaces: which jobs exceed the guaranteed rate, and how owners compare when
//! resources are short.

use super::spec::Resources;
use super::stable_map::StableMap;
use super::workspace::Owner;
use crate::ids::UnixMs;

/// Capacity of the token bucket, in seconds at the guaranteed rate.
/// Callers submit in bursts of some hundred milliseconds, while a rate is declared in jobs a second.
const BURST_S: f64 = 1.0;

/// Token bucket with one token for each job that the owner may submit.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: UnixMs,
}

/// Submission rate of each owner against its guaranteed rate.
#[derive(Clone, Debug, Default)]
pub struct SubmissionRates(StableMap<Owner, TokenBucket>);

impl SubmissionRates {
    /// Records a job that was accepted at `at`, and returns whether it exceeds the guaranteed rate
    /// of its owner, `jobs_per_s`. Without a rate, no job does.
    pub fn exceeds_rate(&mut self, owner: Owner, jobs_per_s: Option<f64>, at: UnixMs) -> bool {
        let Some(jobs_per_s) = jobs_per_s.filter(|rate| *rate > 0.0) else { return false };
        let max_tokens = (jobs_per_s * BURST_S).max(1.0);
        let bucket = self.0.entry(owner).or_insert(TokenBucket { tokens: max_tokens, refilled_at: at });
        let elapsed_s = at.saturating_sub(bucket.refilled_at) as f64 / 1000.0;
        bucket.tokens = (bucket.tokens + elapsed_s * jobs_per_s).min(max_tokens);
        bucket.refilled_at = bucket.refilled_at.max(at);
        let exceeds = bucket.tokens < 1.0;
        if !exceeds {
            bucket.tokens -= 1.0;
        }
        exceeds
    }

    /// Owners whose next job at `at` exceeds their guaranteed rate, which `jobs_per_s` tells.
    pub fn owners_over_rate(&self, jobs_per_s: impl Fn(Owner) -> Option<f64>, at: UnixMs) -> Vec<Owner> {
        let is_over = |(owner, bucket): &(&Owner, &TokenBucket)| {
            let rate = jobs_per_s(**owner).filter(|rate| *rate > 0.0);
            let elapsed_s = at.saturating_sub(bucket.refilled_at) as f64 / 1000.0;
            rate.is_some_and(|rate| bucket.tokens + elapsed_s * rate < 1.0)
        };
        self.0.iter().filter(is_over).map(|(owner, _)| *owner).collect()
    }
}

/// CPU in use by an owner, divided by its guaranteed rate, or by 1 without a rate; owners are
/// compared by it. Jobs of [`Owner::PUBLIC`] are not counted and sort first.
pub fn weighted_usage(owner: Owner, in_use: &Resources, jobs_per_s: Option<f64>) -> u64 {
    if owner.is_public() {
        return 0;
    }
    let weight = jobs_per_s.filter(|rate| *rate > 0.0).unwrap_or(1.0);
    (in_use.cpu_millis as f64 / weight) as u64
}
