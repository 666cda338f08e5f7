//! Which steps want advice, and what they lack.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::advice_batch::Candidate;
use super::config::AdviceConfig;
use super::job::{Job, Phase, Task, WorkerId};
use super::place::same_step;
use super::queue_order::QueuePosition;
use super::sched::Scheduler;
use super::spec::{Resources, StepId, StepSpec, TaskId};
use super::worker::{Verdict, Worker};
use crate::ids::ServiceId;

/// Share of the room in use that is taken to be free again while tickets hold.
/// More asks about steps whose turn comes after their tickets have ended.
const FREE_AGAIN: f64 = 0.5;
/// From this percentage on, a run's progress tells when it will end.
const TELLING_PERCENT: u32 = 10;
/// Workers whose time a renewal plans with: about what one call names.
const USUAL_IDS: u32 = 10;

/// A step that wants advice.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    /// The step.
    pub step: StepId,
    /// Its tasks that have no place.
    pub tasks: Vec<TaskId>,
    /// When they may be started.
    pub opens: Duration,
}

/// What a step has against workers.
struct Wish<'a> {
    job: &'a Job,
    spec: &'a StepSpec,
    wanted: &'a Wanted,
    /// Workers that may be good.
    others: usize,
}

/// Workers that take work, by service.
pub(super) type Pools = BTreeMap<ServiceId, Vec<WorkerId>>;

impl Scheduler {
    /// Services with open jobs that need advice, and their workers.
    pub(super) fn advised_pools(&self) -> Pools {
        let jobs = self.advice.jobs.iter().filter_map(|key| self.jobs.get(key));
        let services: BTreeSet<&ServiceId> = jobs.map(|j| &j.spec.service).collect();
        services.into_iter().map(|s| (s.clone(), self.takers(s))).collect()
    }

    /// Steps whose tasks wait, most urgent first, as far as there will be room.
    pub(super) fn waiting_for_advice(&self, pools: &Pools) -> Vec<Wanted> {
        let mut found: Vec<(QueuePosition, Wanted)> = Vec::new();
        for (service, workers) in pools {
            let Some(waiting) = self.ready.get(service) else { continue };
            let mut room = self.room_soon(workers);
            for place in waiting.positions() {
                let spec = self.jobs.get(&place.step.job).map(|j| &j.spec);
                let Some(step) = spec.and_then(|s| s.steps.get(usize::from(place.step.step))) else {
                    continue;
                };
                if room <= 0.0 {
                    break;
                }
                let each = step.reserved_resources().cpu_millis as f64;
                let mut tasks: Vec<TaskId> = Vec::new();
                for task in waiting.tasks_of(&place.step) {
                    if room <= 0.0 {
                        break;
                    }
                    room -= each;
                    tasks.push(task);
                }
                if self.is_advised(&place.step) {
                    found.push((*place, Wanted { step: place.step, tasks, opens: self.now }));
                }
            }
        }
        found.sort_by_key(|(place, _)| *place);
        found.into_iter().map(|(_, w)| w).collect()
    }

    /// Room of workers that is free or will be soon, in thousandths of a core.
    fn room_soon(&self, workers: &[WorkerId]) -> f64 {
        let of = |w: &Worker| w.free().cpu_millis as f64 + w.used.cpu_millis as f64 * FREE_AGAIN;
        workers.iter().filter_map(|id| self.workers.get(id)).map(of).sum()
    }

    /// Steps that open while tickets asked for now still hold, the next first.
    pub(super) fn opening_soon(&self) -> Vec<Wanted> {
        let mut found = Vec::new();
        for key in &self.advice.jobs {
            let (Some(job), Some(cfg)) = (self.jobs.get(key), self.advice_of(*key)) else { continue };
            for round in 0..job.rounds.len() as u32 {
                for step in 0..job.spec.steps.len() as u16 {
                    let id = StepId { job: *key, round, step };
                    let opens = self.opens_in(job, &id).filter(|left| *left <= cfg.ticket_lifetime / 2);
                    let Some(left) = opens else { continue };
                    let task = |index| TaskId { job: *key, round, step, index };
                    let tasks = (0..job.spec.steps[usize::from(step)].count).map(task).collect();
                    found.push(Wanted { step: id, tasks, opens: self.now + left });
                }
            }
        }
        found.sort_by_key(|w| (w.opens, w.step));
        found
    }

    /// How long until a step opens all whose earlier steps are done or at work.
    fn opens_in(&self, job: &Job, id: &StepId) -> Option<Duration> {
        if job.is_step_ready(id.round, id.step) {
            return None;
        }
        let mut longest = Duration::ZERO;
        for before in &job.spec.steps[usize::from(id.step)].depends_on {
            let expected = self.durations.expect(
                &job.spec.queue,
                job.spec.steps[usize::from(*before)].estimate,
                &self.policy.order,
            );
            let tasks = job.rounds.get(id.round as usize)?.get(usize::from(*before))?;
            for task in tasks.iter().filter(|t| !t.done) {
                longest = longest.max(self.ends_in(task, expected)?);
            }
        }
        Some(longest)
    }

    /// How long a task at work will take; `None` if it is not at work.
    fn ends_in(&self, task: &Task, expected: Duration) -> Option<Duration> {
        let at_work = |p: Phase| matches!(p, Phase::Starting | Phase::Running);
        let run = task.runs.iter().find(|r| at_work(r.phase))?;
        let passed = self.now.saturating_sub(run.phase_since);
        if run.progress_percent < TELLING_PERCENT {
            return Some(expected.saturating_sub(passed));
        }
        let told = run.progressed_at.saturating_sub(run.phase_since);
        let whole = told.mul_f64(100.0 / f64::from(run.progress_percent));
        Some(whole.saturating_sub(passed))
    }

    /// Tasks of a step that no ticket has a place for, and the workers that may be
    /// asked about in the order in which the placement would take them; `None` if
    /// tickets are enough.
    pub(super) fn need_and_candidates(
        &self,
        wanted: &Wanted,
        cfg: &AdviceConfig,
        pools: &Pools,
    ) -> Option<(u32, Vec<Candidate>)> {
        let job = self.jobs.get(&wanted.step.job)?;
        let spec = job.spec.steps.get(usize::from(wanted.step.step))?;
        let first = wanted.tasks.first()?;
        let workers = pools.get(&job.spec.service)?;
        let others = self.may_be_good(workers, &wanted.step);
        let wish = Wish { job, spec, wanted, others };
        // What ends before another answer would be there is asked for now.
        let ahead = (cfg.base_call_time + cfg.time_per_worker * USUAL_IDS).min(cfg.ticket_lifetime / 4);
        let holds_until = wanted.opens + ahead;
        let mut covered = 0;
        let mut candidates = Vec::new();
        for id in workers {
            let Some(w) = self.workers.get(id) else { continue };
            let (free, whole) = self.places_on(&wish, id, w);
            // A full worker has a place when one of its tasks has ended.
            let fits = if free == 0 { whole.min(1) } else { free };
            if fits == 0 || !self.allowed(w, spec, first) {
                continue;
            }
            let good = match w.advice.get(&wanted.step) {
                Some(Verdict::Good(_, until)) if *until > holds_until => {
                    covered += fits;
                    continue;
                }
                Some(Verdict::Bad) => continue,
                Some(Verdict::TurnedDown(until)) if *until > self.now => continue,
                Some(Verdict::Good(..)) => true,
                Some(Verdict::TurnedDown(_)) | None => false,
            };
            let (far, crowd, faults, left) = self.cost(w, spec, first);
            let rank = (free == 0, far, !good, crowd, faults, left);
            candidates.push((rank, Candidate { worker: id.clone(), fits, good }));
        }
        let need = (wanted.tasks.len() as u32).checked_sub(covered).filter(|n| *n > 0)?;
        candidates.sort_by_key(|c| c.0);
        Some((need, candidates.into_iter().map(|(_, c)| c).collect()))
    }

    /// How many tasks of the step have room on a worker now, and if it were empty.
    fn places_on(&self, wish: &Wish<'_>, id: &WorkerId, w: &Worker) -> (u32, u32) {
        let task = |t: &TaskId| wish.job.task(t);
        let avoids =
            |t: &&TaskId| wish.others > 1 && task(t).is_some_and(|t| t.avoid_worker.as_ref() == Some(id));
        let mut most = wish.wanted.tasks.iter().filter(|t| !avoids(t)).count() as u32;
        if wish.spec.max_per_worker > 0 {
            let here = wish.wanted.tasks.first().map_or(0, |t| same_step(w, t)) as u32;
            most = most.min(wish.spec.max_per_worker.saturating_sub(here));
        }
        let mut free = w.free();
        if wish.wanted.opens > self.now {
            // What the job runs here has ended when the step opens.
            let own = w.runs.iter().filter(|((t, _), _)| t.job == wish.job.key);
            own.for_each(|(_, held)| free.add(&held.resources));
        }
        let whole = w.info.as_ref().map(|i| i.capacity).unwrap_or_default();
        let room = wish.spec.reserved_resources();
        (times(&free, &room).min(most), times(&whole, &room).min(most))
    }
}

/// How many times a room holds another.
fn times(whole: &Resources, part: &Resources) -> u32 {
    let fit = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
    let least = fit(whole.cpu_millis, part.cpu_millis)
        .min(fit(whole.mem_mb, part.mem_mb))
        .min(fit(whole.gpus, part.gpus));
    least.min(u64::from(u32::MAX)) as u32
}
