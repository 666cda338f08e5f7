//! Who sends more than its share, and whose turn it is when all is full.

use super::spec::Resources;
use super::stable_map::StableMap;
use super::workspace::Owner;
use crate::ids::UnixMs;

/// Jobs may come so much ahead of a workspace's rate: callers send in gusts of some hundred
/// milliseconds, and a share is declared in jobs a second.
const BURST_S: f64 = 1.0;

/// Jobs that an owner may still send, and when that was.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: UnixMs,
}

/// What each owner has sent lately, against its share.
#[derive(Clone, Debug, Default)]
pub struct SubmissionRates(StableMap<Owner, TokenBucket>);

impl SubmissionRates {
    /// Takes in a job that was accepted at a time; `weight` is its owner's share in jobs a second.
    /// Returns whether it is beyond that share.
    pub fn exceeds_rate(&mut self, owner: Owner, weight: Option<f64>, at: UnixMs) -> bool {
        let Some(weight) = weight.filter(|w| *w > 0.0) else { return false };
        let most = (weight * BURST_S).max(1.0);
        let bucket = self.0.entry(owner).or_insert(TokenBucket { tokens: most, refilled_at: at });
        let passed = at.saturating_sub(bucket.refilled_at) as f64 / 1000.0;
        bucket.tokens = (bucket.tokens + passed * weight).min(most);
        bucket.refilled_at = bucket.refilled_at.max(at);
        let excess = bucket.tokens < 1.0;
        if !excess {
            bucket.tokens -= 1.0;
        }
        excess
    }
}

/// What an owner has at work by its share, for comparing: the processor is what is short. What
/// nobody owns goes first; it is not counted.
pub fn weighted_usage(owner: Owner, at_work: &Resources, weight: Option<f64>) -> u64 {
    if owner.is_public() {
        return 0;
    }
    let weight = weight.filter(|w| *w > 0.0).unwrap_or(1.0);
    (at_work.cpu_millis as f64 / weight) as u64
}
