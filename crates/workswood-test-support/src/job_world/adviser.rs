//! The adviser of a [`World`](super::World): which workers may run a
//! step, and tickets that tell what they hold for.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{AdviceConfig, StepId};

/// How it works.
pub const ADVICE: AdviceConfig = AdviceConfig {
    base_call_time: Duration::from_millis(200),
    time_per_worker: Duration::from_millis(5),
    ticket_lifetime: Duration::from_millis(1500),
};
/// One of so many places may not run a step.
const ONE_BAD_OF: u64 = 3;

/// Whether the worker at a place may run a step.
pub fn may_run(step: &StepId, place: usize) -> bool {
    let mixed = step.job.wrapping_mul(7) + u64::from(step.step) * 5 + u64::from(step.round);
    !(mixed + place as u64).is_multiple_of(ONE_BAD_OF)
}

/// A ticket that is made now.
pub fn ticket(step: &StepId, worker: &WorkerId, now: Duration) -> Arc<str> {
    format!("{step}|{worker}|{}", (now + ADVICE.ticket_lifetime).as_millis()).as_str().into()
}

/// Whether a ticket lets a life of a worker start a task of a step now.
pub fn holds(ticket: Option<&str>, step: &StepId, worker: &WorkerId, now: Duration) -> bool {
    let Some((names, until)) = ticket.and_then(|t| t.rsplit_once('|')) else { return false };
    let until = until.parse().map(Duration::from_millis).unwrap_or_default();
    names == format!("{step}|{worker}") && now < until
}
