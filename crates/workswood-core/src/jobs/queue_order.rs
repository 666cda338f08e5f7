//! In which order waiting tasks get a worker.
//!
//! A job is owed within a multiple of its longest chain of work plus a fixed
//! time; done later it is worth little, and much later nothing. A queue that
//! serves jobs in the order of their coming makes every job late once it is
//! behind. So tasks whose job can still be in time go first; among them those
//! that must begin first. Jobs that are late anyway get what is left over, in the
//! order of their coming.

use std::collections::HashMap;
use std::time::Duration;

use super::config::QueueConfig;
use super::job::Job;
use super::policy::OrderPolicy;
use super::spec::{JobSpec, QueueId, StepId};
use super::workspace::Owner;
use crate::ids::UnixMs;

/// Guess for a step without an estimate, before any task has ended.
const DEFAULT_ESTIMATE: Duration = Duration::from_millis(1000);

/// How well a job stands against the time it is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It can be in time.
    InTime,
    /// It will be late, but not worthless.
    Late,
    /// It will be worth nothing.
    Worthless,
}

/// Place of a step's waiting tasks in their queue: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Urgency of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Standing of the job when it was last looked at.
    pub timeliness: Timeliness,
    /// Whether it is beyond what its workspace may count on.
    pub over_rate: bool,
    /// In time: when the step's tasks must begin.
    /// Later: when the job was handed in.
    pub order_key: u64,
    /// The step.
    pub step: StepId,
    /// Whose it is.
    pub owner: Owner,
    /// In time: work of the step and of those after it, in core-milliseconds.
    /// Later: when the job was handed in.
    pub work_key: u64,
}

/// Which of two places that stand alike goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// That which must begin first.
    EarliestDeadline,
    /// That of which the least work is left.
    LeastWork,
}

impl QueuePosition {
    /// Its rank among places that stand alike; the least goes first.
    pub fn sort_key(&self, rank: QueueOrder) -> u64 {
        match rank {
            QueueOrder::EarliestDeadline => self.order_key,
            QueueOrder::LeastWork => self.work_key,
        }
    }
}

/// When the standing of a job gets worse.
#[derive(Clone, Copy, Debug)]
pub struct StartDeadlines {
    /// When the job was handed in, or its round was due.
    pub available_at: UnixMs,
    /// A task must begin by then for its job to be in time.
    pub in_time_until: UnixMs,
    /// A task must begin by then for its job to be worth anything.
    pub worthwhile_until: UnixMs,
}

impl StartDeadlines {
    /// The standing at a time.
    pub fn timeliness_at(&self, now: UnixMs) -> Timeliness {
        if now <= self.in_time_until {
            Timeliness::InTime
        } else if now <= self.worthwhile_until {
            Timeliness::Late
        } else {
            Timeliness::Worthless
        }
    }
}

/// How long tasks of each queue have taken lately.
#[derive(Debug, Default)]
pub struct TaskDurations {
    by_queue: HashMap<QueueId, (u32, f64)>,
}

impl TaskDurations {
    /// Takes in how long a task took that is done.
    pub fn observe(&mut self, queue: &str, took: Duration, policy: &OrderPolicy) {
        let ms = took.as_secs_f64() * 1000.0;
        let (n, mean) = self.by_queue.entry(queue.to_string()).or_insert((0, ms));
        *n += 1;
        let weight = policy.newest_weight.max(1.0 / f64::from(*n));
        *mean += (ms - *mean) * weight;
    }

    /// How long a task with this estimate will take: between what the caller
    /// guessed and what the queue has shown, since both are far off at times.
    pub fn expect(&self, queue: &str, estimate: Duration, policy: &OrderPolicy) -> Duration {
        let guess = if estimate.is_zero() { DEFAULT_ESTIMATE } else { estimate };
        match self.by_queue.get(queue) {
            Some((n, mean)) if *n >= policy.min_samples => {
                let guess = guess.as_secs_f64() * 1000.0;
                Duration::from_secs_f64((guess * mean).sqrt() / 1000.0)
            }
            _ => guess,
        }
    }
}

/// Longest chain of work from a step on, that step included.
pub fn critical_path_from(spec: &JobSpec, step: usize, took: &dyn Fn(usize) -> Duration) -> Duration {
    // Steps wait only for earlier ones, so one pass from the end is enough.
    let mut chains = vec![Duration::ZERO; spec.steps.len()];
    for n in (0..spec.steps.len()).rev() {
        let behind = spec.steps.iter().enumerate().skip(n + 1);
        let behind = behind.filter(|(_, s)| s.after.iter().any(|a| usize::from(*a) == n));
        let longest = behind.map(|(m, _)| chains[m]).max().unwrap_or_default();
        chains[n] = took(n) + longest;
    }
    chains.get(step).copied().unwrap_or_default()
}

/// Longest chain of work of a whole job.
pub fn critical_path(spec: &JobSpec, took: &dyn Fn(usize) -> Duration) -> Duration {
    (0..spec.steps.len()).map(|n| critical_path_from(spec, n, took)).max().unwrap_or_default()
}

/// Where the tasks of a step stand, and when they will stand worse.
pub fn queue_position(
    job: &Job,
    id: &StepId,
    queue: Option<&QueueConfig>,
    known: &TaskDurations,
    policy: &OrderPolicy,
    now: UnixMs,
) -> (QueuePosition, StartDeadlines) {
    let spec = &job.spec;
    let took = |n: usize| {
        let step = &spec.steps[n];
        known.expect(&spec.queue, step.estimate, policy) * job.waves(step)
    };
    let lasting = spec.steps.get(usize::from(id.step)).is_some_and(|s| s.long_running);
    let begin = spec.accepted_at.max(spec.round_due_at(id.round));
    let owed = allowed_time(spec, queue, &took);
    let left = critical_path_from(spec, usize::from(id.step), &took).as_millis() as u64;
    let end = begin + owed.as_millis() as u64;
    let end_late = begin + owed.mul_f64(policy.worthless_after).as_millis() as u64;
    let dues = if lasting {
        StartDeadlines { available_at: begin, in_time_until: UnixMs::MAX, worthwhile_until: UnixMs::MAX }
    } else {
        StartDeadlines {
            available_at: begin,
            in_time_until: end.saturating_sub(left),
            worthwhile_until: end_late.saturating_sub(left),
        }
    };
    let standing = dues.timeliness_at(now);
    let rank = match standing {
        _ if lasting => 0,
        Timeliness::InTime => dues.in_time_until,
        Timeliness::Late | Timeliness::Worthless => begin,
    };
    let work = match standing {
        _ if lasting => 0,
        Timeliness::InTime => remaining_work(spec, usize::from(id.step), &took),
        Timeliness::Late | Timeliness::Worthless => begin,
    };
    let (excess, owner) = (job.excess, spec.owner());
    let place = QueuePosition {
        priority: spec.priority,
        timeliness: standing,
        over_rate: excess,
        order_key: rank,
        step: *id,
        owner,
        work_key: work,
    };
    (place, dues)
}

/// The time that a job is owed within, from when it was handed in.
fn allowed_time(spec: &JobSpec, queue: Option<&QueueConfig>, took: &dyn Fn(usize) -> Duration) -> Duration {
    let (stretch, target) = queue.map_or((1.0, Duration::ZERO), |q| (q.stretch, q.target));
    critical_path(spec, took).mul_f64(stretch) + target
}

/// Work of one round of a job, in core-milliseconds.
pub fn round_work(spec: &JobSpec, took: &dyn Fn(usize) -> Duration) -> u64 {
    remaining_work(spec, 0, took)
}

/// Work of a step and those that come after it, in core-milliseconds.
fn remaining_work(spec: &JobSpec, step: usize, took: &dyn Fn(usize) -> Duration) -> u64 {
    let steps = spec.steps.iter().enumerate().skip(step);
    steps.map(|(n, s)| u64::from(s.count) * s.resources.cpu_millis * took(n).as_millis() as u64 / 1000).sum()
}
