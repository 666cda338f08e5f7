//! Admission of jobs: whether a job that is submitted now can be done in time.
//!
//! Under overload a service can't do all that is submitted. A job that would be done too late still
//! takes hosts, after the overload and from jobs that come later. So a job is refused at once, before
//! it is stored, if the work that waits ahead of it can't be done soon enough. A service whose
//! waiting tasks all find room refuses nothing.
//!
//! The lease holder decides, since it alone knows what waits. What it remembers of earlier submissions
//! is in memory only.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job_key::{JobKey, JobNumber};
use super::policy::OrderPolicy;
use super::queue_order::{QueueOrder, TaskDurations, critical_path, round_work, time_to_deadline};
use super::spec::{JobSpec, Resources};
use super::workspace::Owner;
use super::{QueueConfig, config::SchedConfig};
use crate::ids::{ServiceId, UnixMs};

/// How long an admitted job that the scheduler does not know yet counts as waiting work. After that it
/// is assumed that it could not be stored.
const UNKNOWN_FOR: Duration = Duration::from_secs(2);
/// How long submissions are remembered after their last try.
const REMEMBERED_FOR: Duration = Duration::from_secs(30);
/// Maximum number of submissions that are remembered. Beyond it jobs are admitted unweighed.
const MAX_REMEMBERED: usize = 50_000;
/// Span over which callers are spread for whom no return can be worthwhile.
const HOPELESS_SPREAD: Duration = Duration::from_secs(4);
/// Longest time that a caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Parameters of the admission of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionPolicy {
    /// Whether jobs that can't be done soon enough are refused.
    pub enabled: bool,
    /// How late a job may be expected to be: 0 admits jobs that can be in time, 1 all whose result is
    /// still worth something.
    #[serde(rename = "late")]
    pub late_share: f64,
    /// Factor on the expected wait. It covers work that is submitted later and goes first.
    #[serde(rename = "wait")]
    pub wait_factor: f64,
    /// Whether all waiting work of the same urgency counts as ahead of a job. Otherwise only that counts
    /// which goes first as of now; what is submitted later and goes first is then left out.
    #[serde(rename = "all")]
    pub count_all: bool,
    /// Time until hosts that other pools can spare are at work.
    #[serde(rename = "moves_take", with = "humantime_serde")]
    pub move_time: Duration,
}

impl Default for AdmissionPolicy {
    fn default() -> AdmissionPolicy {
        AdmissionPolicy {
            enabled: false,
            late_share: 0.0,
            wait_factor: 1.0,
            count_all: false,
            move_time: Duration::from_millis(1000),
        }
    }
}

/// Work that waits for workers, with its place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingWork {
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Whether it was submitted beyond the guaranteed rate of its workspace.
    pub over_rate: bool,
    /// Latest start that is in time.
    pub latest_start: UnixMs,
    /// Work of the waiting step and of later ones, in core-milliseconds. The order goes by it.
    pub job_work: u64,
    /// Work of the waiting tasks, in core-milliseconds. Later steps wait for their turn themselves.
    pub work: u64,
}

impl WaitingWork {
    /// Whether this goes before `other`. Without an order, all work of the same urgency does.
    fn goes_before(&self, other: &WaitingWork, order: Option<QueueOrder>) -> bool {
        let key = |w: &WaitingWork| {
            let last = match order {
                Some(QueueOrder::EarliestDeadline) => w.latest_start,
                Some(QueueOrder::LeastWork) => w.job_work,
                None => 0,
            };
            (w.priority, w.over_rate, last)
        };
        key(self) <= key(other)
    }
}

/// The load of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Cores that jobs may use now.
    pub cores: f64,
    /// Cores that jobs may use once all hosts that other pools can spare have come.
    pub cores_after_moves: f64,
    /// The order in which waiting work is placed.
    pub order: QueueOrder,
    /// Work that waits for room and can be in time.
    pub waiting: Vec<WaitingWork>,
}

impl ServiceLoad {
    /// How long the service takes for this much work, in core-milliseconds.
    fn time_for(&self, work: u64, move_time: Duration) -> Duration {
        let work = work as f64;
        let before_moves = self.cores * move_time.as_secs_f64() * 1000.0;
        let ms = if work <= before_moves {
            work / self.cores.max(1.0)
        } else {
            move_time.as_secs_f64() * 1000.0
                + (work - before_moves) / self.cores_after_moves.max(self.cores).max(1.0)
        };
        Duration::from_millis(ms as u64)
    }
}

/// What the scheduler tells of its load.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// Loads by service.
    pub services: BTreeMap<ServiceId, ServiceLoad>,
    /// Owners that have used up their guaranteed rate.
    pub owners_over_rate: Vec<Owner>,
    /// Durations of tasks.
    pub durations: TaskDurations,
}

/// A job that is submitted, as admission weighs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its number.
    pub key: JobKey,
    /// Its service.
    pub service: ServiceId,
    /// Its owner.
    pub owner: Owner,
    /// Priority of its queue.
    pub priority: u32,
    /// Work in core-milliseconds.
    pub work: u64,
    /// Of it, that of the steps that need not wait for others.
    pub first_work: u64,
    /// Length of its critical path.
    pub path: Duration,
    /// Time from its first try to its deadline.
    pub time_to_deadline: Duration,
    /// Time from its first try until its result is worth nothing.
    pub time_to_worthless: Duration,
}

impl Candidate {
    /// Weighs a job; `None` for one that is never refused, since it repeats or does not end by itself.
    pub fn new(
        key: JobKey,
        spec: &JobSpec,
        queue: &QueueConfig,
        durations: &TaskDurations,
        policy: &OrderPolicy,
    ) -> Option<Candidate> {
        if spec.repeat.is_some() || spec.is_long_running() {
            return None;
        }
        let duration = |n: usize| durations.expect(&spec.queue, spec.steps[n].estimate, policy);
        let time_to_deadline = time_to_deadline(spec, Some(queue), &duration);
        Some(Candidate {
            key,
            service: queue.service.clone(),
            owner: spec.owner(),
            priority: queue.priority,
            work: round_work(spec, &duration),
            first_work: spec
                .steps
                .iter()
                .enumerate()
                .filter(|(_, s)| s.depends_on.is_empty())
                .map(|(n, s)| work_of(u64::from(s.count), &s.resources, duration(n)))
                .sum(),
            path: critical_path(spec, &duration),
            time_to_deadline,
            time_to_worthless: time_to_deadline.mul_f64(policy.worthless_after),
        })
    }
}

/// What becomes of a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is admitted; its first try was this long ago.
    Admitted {
        /// Time since its first try.
        age: Duration,
    },
    /// It is refused.
    Refused {
        /// When the caller should come back.
        retry_after: Duration,
        /// The expected wait that it is refused for.
        wait: Duration,
        /// Time since its first try.
        age: Duration,
    },
}

/// What is remembered of a submission.
#[derive(Clone, Debug)]
struct Submission {
    first_try: Duration,
    last_try: Duration,
    /// Its work, while it is admitted but not known to the scheduler.
    unknown_work: Option<(ServiceId, WaitingWork)>,
    admitted: bool,
}

/// Decides on jobs that are submitted, by the loads that the scheduler told last.
#[derive(Debug, Default)]
pub struct Admission {
    /// `None` until the scheduler has told its loads.
    loads: Option<Loads>,
    submissions: HashMap<JobKey, Submission>,
    /// By service, until when refused callers are booked to return.
    booked_until: BTreeMap<ServiceId, Duration>,
}

impl Admission {
    /// Replaces the loads. `is_known` tells which jobs the scheduler knows, and so counts itself.
    pub fn update(&mut self, loads: Loads, is_known: impl Fn(&JobKey) -> bool, now: Duration) {
        self.loads = Some(loads);
        self.submissions.retain(|_, s| now < s.last_try + REMEMBERED_FOR);
        for (key, s) in &mut self.submissions {
            if s.unknown_work.is_some() && (now >= s.last_try + UNKNOWN_FOR || is_known(key)) {
                s.unknown_work = None;
            }
        }
    }

    /// Weighs the job `key` of a queue by the durations that the scheduler has told; `None` if it can't
    /// be refused.
    pub fn candidate(
        &self,
        key: JobKey,
        spec: &JobSpec,
        config: &SchedConfig,
        policy: &OrderPolicy,
    ) -> Option<Candidate> {
        let loads = self.loads.as_ref()?;
        Candidate::new(key, spec, config.queue_at(spec.tag, &spec.queue)?, &loads.durations, policy)
    }

    /// Decides on a job. A number that was admitted stays admitted.
    pub fn decide(
        &mut self,
        job: &Candidate,
        policy: &AdmissionPolicy,
        now: Duration,
        wall: UnixMs,
    ) -> Verdict {
        let earlier = self.submissions.get(&job.key);
        let age = earlier.map_or(Duration::ZERO, |s| now.saturating_sub(s.first_try));
        let admitted_before = earlier.is_some_and(|s| s.admitted);
        let unweighed = earlier.is_none() && self.submissions.len() >= MAX_REMEMBERED;
        let Some(loads) = self.loads.as_ref().filter(|_| !admitted_before && !unweighed) else {
            return Verdict::Admitted { age };
        };
        let Some(load) = loads.services.get(&job.service) else { return Verdict::Admitted { age } };
        let work = WaitingWork {
            priority: job.priority,
            over_rate: loads.owners_over_rate.contains(&job.owner),
            latest_start: (wall + job.time_to_deadline.as_millis() as u64)
                .saturating_sub((age + job.path).as_millis() as u64),
            job_work: job.work,
            work: job.first_work,
        };
        let waiting = || load.waiting.iter().chain(self.unknown_work(&job.service));
        let order = (!policy.count_all).then_some(load.order);
        let ahead = waiting().filter(|w| w.goes_before(&work, order)).map(|w| w.work).sum();
        let wait = load.time_for(ahead, policy.move_time).mul_f64(policy.wait_factor);
        let bound = job.time_to_deadline
            + (job.time_to_worthless.saturating_sub(job.time_to_deadline)).mul_f64(policy.late_share);
        if ahead == 0 || age + wait + job.path <= bound {
            self.remember(job, Some(work), now);
            return Verdict::Admitted { age };
        }
        let drained = load.time_for(waiting().map(|w| w.work).sum(), policy.move_time);
        let own = load.time_for(job.work, Duration::ZERO);
        let retry_after = self.book_return(job, age, drained, own, now);
        self.remember(job, None, now);
        Verdict::Refused { retry_after, wait, age }
    }

    /// Work of a service that was admitted and that the scheduler does not know yet.
    fn unknown_work(&self, service: &ServiceId) -> impl Iterator<Item = &WaitingWork> {
        let unknown = self.submissions.values().filter_map(|s| s.unknown_work.as_ref());
        unknown.filter(move |(of, _)| of == service).map(|(_, work)| work)
    }

    /// When a refused caller should return: once what waits is done, and after the callers that were
    /// refused before. A caller whose return then would be worth nothing takes no one's turn.
    fn book_return(
        &mut self,
        job: &Candidate,
        age: Duration,
        drained: Duration,
        own: Duration,
        now: Duration,
    ) -> Duration {
        let booked = self.booked_until.entry(job.service.clone()).or_default();
        let turn = drained.max(booked.saturating_sub(now));
        if age + turn + job.path <= job.time_to_worthless {
            *booked = now + turn + own;
            return turn.min(MAX_RETRY_AFTER);
        }
        (turn + spread(job.key.number, HOPELESS_SPREAD)).min(MAX_RETRY_AFTER)
    }

    fn remember(&mut self, job: &Candidate, admitted: Option<WaitingWork>, now: Duration) {
        let s = self.submissions.entry(job.key).or_insert(Submission {
            first_try: now,
            last_try: now,
            unknown_work: None,
            admitted: false,
        });
        s.last_try = now;
        s.admitted = admitted.is_some();
        s.unknown_work = admitted.map(|work| (job.service.clone(), work));
    }
}

/// Work of this many tasks, in core-milliseconds.
pub(super) fn work_of(tasks: u64, resources: &Resources, duration: Duration) -> u64 {
    tasks.saturating_mul(resources.cpu_millis).saturating_mul(duration.as_millis() as u64) / 1000
}

/// A delay below `most` that differs by the number of the job, so that callers do not return together.
pub fn spread(number: JobNumber, most: Duration) -> Duration {
    const STEPS: u64 = 1024;
    // Callers may count their numbers up, so all bits of the number take part.
    let step = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 54;
    most.mul_f64(step as f64 / STEPS as f64)
}

/// When a caller should retry while the store has been away for `outage`: outages last for about as
/// long again as they have lasted. `first` is the shortest time.
pub fn retry_after_outage(number: JobNumber, outage: Duration, first: Duration, most: Duration) -> Duration {
    let expected = outage.clamp(first, most);
    expected + spread(number, expected)
}
