//! The order in which waiting tasks are placed on workers.
//!
//! The deadline of a job is a multiple of its critical path plus a fixed time. A job that misses it
//! is worth little, and much later it is worth nothing. First come, first served would make every
//! job late once a queue has a backlog. So tasks whose job can still be in time go first, earliest
//! start deadline first; late jobs take the remaining resources in the order in which they were
//! submitted.

use std::collections::HashMap;
use std::time::Duration;

use super::config::QueueConfig;
use super::job::Job;
use super::policy::OrderPolicy;
use super::spec::{JobSpec, QueueId, StepId};
use super::workspace::Owner;
use crate::ids::UnixMs;

/// Longest time from when a job is available to its deadline, some thirty years.
const MAX_TIME_TO_DEADLINE: Duration = Duration::from_secs(1_000_000_000);

/// Assumed estimate for a task whose step has none.
const DEFAULT_ESTIMATE: Duration = Duration::from_millis(1000);

/// Whether a job can still meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job can finish by its deadline.
    InTime,
    /// The job will miss its deadline, but its result is still worth something.
    Late,
    /// The job will finish so late that its result is worth nothing.
    Worthless,
}

/// Position of a step's waiting tasks in the task queue of their service; the smallest is placed
/// first.
///
/// Positions are compared field by field, in the order of the fields. `owner` and `work_key` never
/// decide, because `step` is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Priority of the queue that the job was submitted to; 0 is the most urgent.
    pub priority: u32,
    /// Timeliness of the job when the position was computed.
    pub timeliness: Timeliness,
    /// Whether the job was submitted beyond the guaranteed rate of its workspace.
    pub over_rate: bool,
    /// Sort key for [`QueueOrder::EarliestDeadline`]: the latest start that is in time, or when the
    /// job became available if it is late; 0 for a long-running step.
    pub deadline_key: u64,
    /// The step whose tasks wait.
    pub step: StepId,
    /// The owner of the job.
    pub owner: Owner,
    /// Sort key for [`QueueOrder::LeastWork`]: work of this step and of later ones in
    /// core-milliseconds, or when the job became available if it is late; 0 for a long-running
    /// step.
    pub work_key: u64,
}

/// How positions of equal priority, timeliness and `over_rate` are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// The step with the earliest start deadline goes first.
    EarliestDeadline,
    /// The step with the least remaining work goes first.
    LeastWork,
}

impl QueuePosition {
    /// The sort key for `order`; the smallest goes first.
    pub fn sort_key(&self, order: QueueOrder) -> u64 {
        match order {
            QueueOrder::EarliestDeadline => self.deadline_key,
            QueueOrder::LeastWork => self.work_key,
        }
    }
}

/// When a step's tasks may start, and the latest times at which they should.
#[derive(Clone, Copy, Debug)]
pub struct StartDeadlines {
    /// When the job was submitted or its round was due, whichever is later.
    pub available_at: UnixMs,
    /// Latest start at which the job can still be in time.
    pub in_time_until: UnixMs,
    /// Latest start at which the result of the job is still worth something.
    pub worthwhile_until: UnixMs,
}

impl StartDeadlines {
    /// The timeliness of a task that starts at `now`.
    pub fn timeliness_at(&self, now: UnixMs) -> Timeliness {
        if now <= self.in_time_until {
            Timeliness::InTime
        } else if now <= self.worthwhile_until {
            Timeliness::Late
        } else {
            Timeliness::Worthless
        }
    }

    /// Whether the task is in time whenever it starts, as a long-running one is.
    pub fn is_unlimited(&self) -> bool {
        self.in_time_until == UnixMs::MAX
    }
}

/// Moving average of how long the tasks of each queue take.
#[derive(Clone, Debug, Default)]
pub struct TaskDurations {
    by_queue: HashMap<QueueId, QueueAverage>,
}

/// Moving average of how long the tasks of one queue take.
#[derive(Clone, Debug)]
struct QueueAverage {
    /// Number of tasks that have completed.
    completed: u32,
    mean_ms: f64,
}

impl TaskDurations {
    /// Records how long a completed task took.
    pub fn observe(&mut self, queue: &str, duration: Duration, policy: &OrderPolicy) {
        let ms = duration.as_secs_f64() * 1000.0;
        let average =
            self.by_queue.entry(queue.to_string()).or_insert(QueueAverage { completed: 0, mean_ms: ms });
        average.completed += 1;
        let weight = policy.newest_weight.max(1.0 / f64::from(average.completed));
        average.mean_ms += (ms - average.mean_ms) * weight;
    }

    /// Number of completed tasks of a queue. Expected durations change only with it.
    pub fn completed(&self, queue: &str) -> u32 {
        self.by_queue.get(queue).map_or(0, |average| average.completed)
    }

    /// Expected duration of a task with this estimate: the geometric mean of the caller's estimate
    /// and the average of the queue, since either can be far off. Until `policy.min_ends` tasks of
    /// the queue have completed, it is the estimate alone.
    pub fn expect(&self, queue: &str, estimate: Duration, policy: &OrderPolicy) -> Duration {
        self.of_queue(queue, policy)(estimate)
    }

    /// The expected duration of a queue's tasks by their estimate; see [`TaskDurations::expect`].
    pub fn of_queue(&self, queue: &str, policy: &OrderPolicy) -> impl Fn(Duration) -> Duration + use<> {
        let average = self.by_queue.get(queue).filter(|average| average.completed >= policy.min_samples);
        let mean_ms = average.map(|average| average.mean_ms);
        move |estimate| {
            let estimate = if estimate.is_zero() { DEFAULT_ESTIMATE } else { estimate };
            match mean_ms {
                Some(mean_ms) => {
                    let estimate_ms = estimate.as_secs_f64() * 1000.0;
                    Duration::from_secs_f64((estimate_ms * mean_ms).sqrt() / 1000.0)
                }
                None => estimate,
            }
        }
    }
}

/// What is left of one round of a job from each of its steps on, for one expectation of how long tasks take.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepPaths {
    /// Length of the critical path that begins with each step, including that step.
    from_step: Vec<Duration>,
    /// Length of the critical path of the whole job.
    longest: Duration,
    /// Work of each step and of all later ones, in core-milliseconds.
    work_left: Vec<u64>,
}

impl StepPaths {
    /// Computes the paths of a job whose steps take so long. Visits each step and each dependency once.
    pub fn new(spec: &JobSpec, duration: &dyn Fn(usize) -> Duration) -> StepPaths {
        let count = spec.steps.len();
        let mut from_step = vec![Duration::ZERO; count];
        let mut work_left = vec![0; count];
        let mut later_work: u64 = 0;
        // Steps depend only on earlier ones, so all dependents of a step come before it here, and `from_step` holds
        // the longest of their paths.
        for (n, step) in spec.steps.iter().enumerate().rev() {
            let takes = duration(n);
            let path = from_step[n] + takes;
            from_step[n] = path;
            for earlier in &step.depends_on {
                let longest_after = &mut from_step[usize::from(*earlier)];
                *longest_after = path.max(*longest_after);
            }
            later_work = later_work.saturating_add(step.work_core_ms(takes));
            work_left[n] = later_work;
        }
        let longest = from_step.iter().copied().max().unwrap_or_default();
        StepPaths { from_step, longest, work_left }
    }
}

/// Length of the critical path that begins with `step`, including that step.
pub fn critical_path_from(spec: &JobSpec, step: usize, duration: &dyn Fn(usize) -> Duration) -> Duration {
    StepPaths::new(spec, duration).from_step.get(step).copied().unwrap_or_default()
}

/// Length of the critical path of a whole job.
pub fn critical_path(spec: &JobSpec, duration: &dyn Fn(usize) -> Duration) -> Duration {
    StepPaths::new(spec, duration).longest
}

/// Computes the paths of a job with the expected durations of its tasks.
pub fn step_paths(job: &Job, durations: &TaskDurations, policy: &OrderPolicy) -> StepPaths {
    let spec = &job.spec;
    let expected = durations.of_queue(&spec.queue, policy);
    StepPaths::new(spec, &|n| expected(spec.steps[n].estimate) * job.sequential_batches(&spec.steps[n]))
}

/// Computes the queue position of a step's tasks, and the start deadlines after which the position
/// is downgraded.
pub fn queue_position(
    job: &Job,
    id: &StepId,
    queue: Option<&QueueConfig>,
    paths: &StepPaths,
    policy: &OrderPolicy,
    now: UnixMs,
) -> (QueuePosition, StartDeadlines) {
    let (spec, step) = (&job.spec, usize::from(id.step));
    let long_running = spec.steps.get(usize::from(id.step)).is_some_and(|s| s.long_running);
    let available_at = spec.accepted_at.max(spec.round_due_at(id.round));
    let time_to_deadline = time_for_path(paths.longest, queue);
    let path_left = paths.from_step.get(step).map_or(0, |path| path.as_millis() as u64);
    let deadline = available_at + time_to_deadline.as_millis() as u64;
    let worthless_at = available_at + time_to_deadline.mul_f64(policy.worthless_after).as_millis() as u64;
    let deadlines = if long_running {
        StartDeadlines { available_at, in_time_until: UnixMs::MAX, worthwhile_until: UnixMs::MAX }
    } else {
        StartDeadlines {
            available_at,
            in_time_until: deadline.saturating_sub(path_left),
            worthwhile_until: worthless_at.saturating_sub(path_left),
        }
    };
    let timeliness = deadlines.timeliness_at(now);
    let deadline_key = match timeliness {
        _ if long_running => 0,
        Timeliness::InTime => deadlines.in_time_until,
        Timeliness::Late | Timeliness::Worthless => available_at,
    };
    let work_key = match timeliness {
        _ if long_running => 0,
        Timeliness::InTime => paths.work_left.get(step).copied().unwrap_or(0),
        Timeliness::Late | Timeliness::Worthless => available_at,
    };
    let (over_rate, owner) = (job.over_rate, spec.owner());
    let position = QueuePosition {
        priority: spec.priority,
        timeliness,
        over_rate,
        deadline_key,
        step: *id,
        owner,
        work_key,
    };
    (position, deadlines)
}

/// Time from when a round of a job is available to its deadline.
pub fn time_to_deadline(
    spec: &JobSpec,
    queue: Option<&QueueConfig>,
    duration: &dyn Fn(usize) -> Duration,
) -> Duration {
    time_for_path(critical_path(spec, duration), queue)
}

/// Time from when a job with a critical path of this length is available to its deadline, at most
/// [`MAX_TIME_TO_DEADLINE`]. A negative factor counts as 0.
fn time_for_path(path: Duration, queue: Option<&QueueConfig>) -> Duration {
    let (factor, offset) = queue.map_or((1.0, Duration::ZERO), |q| (q.deadline_factor, q.deadline_offset));
    let seconds = path.as_secs_f64() * factor.max(0.0);
    let scaled = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_TIME_TO_DEADLINE);
    scaled.saturating_add(offset).min(MAX_TIME_TO_DEADLINE)
}

/// Work of one round of a job, in core-milliseconds.
pub fn round_work(spec: &JobSpec, duration: &dyn Fn(usize) -> Duration) -> u64 {
    let steps = spec.steps.iter().enumerate();
    steps.map(|(n, s)| s.work_core_ms(duration(n))).fold(0, u64::saturating_add)
}
