//! The simulated adviser: which workers may run a step, and tickets that name step, worker and
//! expiry.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{AdviceConfig, StepId};

use super::FaultRng;

/// Timing of the adviser.
pub const ADVICE: AdviceConfig = AdviceConfig {
    base_call_time: Duration::from_millis(200),
    time_per_worker: Duration::from_millis(5),
    ticket_lifetime: Duration::from_millis(1500),
};
/// One in this many workers may not run a given step.
const UNSUITABLE_INTERVAL: u64 = 3;

/// Returns whether worker `n` may run a step.
pub fn may_run(step: &StepId, n: usize) -> bool {
    let hash = step.job.number.wrapping_mul(7) + u64::from(step.step) * 5 + u64::from(step.round);
    !(hash + n as u64).is_multiple_of(UNSUITABLE_INTERVAL)
}

/// Fixed and additional durations of a call that are drawn, in milliseconds.
const DRAWN_TIMES_MS: [u64; 5] = [0, 1, 5, 40, 200];
/// Lifetimes of tickets that are drawn, in milliseconds.
const DRAWN_LIFETIMES_MS: [u64; 4] = [300, 1500, 3000, 100_000];

/// Draws the figures of an adviser, each on its own.
pub(super) fn draw_figures(rng: &mut FaultRng) -> AdviceConfig {
    let mut one_of = |all: &[u64]| Duration::from_millis(all[rng.below(all.len() as u64) as usize]);
    AdviceConfig {
        base_call_time: one_of(&DRAWN_TIMES_MS),
        time_per_worker: one_of(&DRAWN_TIMES_MS),
        ticket_lifetime: one_of(&DRAWN_LIFETIMES_MS),
    }
}

/// Creates a ticket.
pub fn ticket(step: &StepId, worker: &WorkerId, expires_at: Duration) -> Arc<str> {
    format!("{step}|{worker}|{}", expires_at.as_millis()).as_str().into()
}

/// Returns whether a ticket allows this life of a worker to start a task of a step now.
pub fn is_valid(ticket: Option<&str>, step: &StepId, worker: &WorkerId, now: Duration) -> bool {
    let Some((subject, expiry)) = ticket.and_then(|t| t.rsplit_once('|')) else { return false };
    let expiry = expiry.parse().map(Duration::from_millis).unwrap_or_default();
    subject == format!("{step}|{worker}") && now < expiry
}
