//! Finds the steps that need advice, and the workers to ask about.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::advice_batch::Candidate;
use super::config::AdviceConfig;
use super::job::{Job, Phase, Task, WorkerId};
use super::placement::count_same_step;
use super::queue_order::QueuePosition;
use super::scheduler::Scheduler;
use super::spec::{Resources, StepId, StepSpec, TaskId};
use super::worker::{AdviceVerdict, Worker};
use crate::ids::ServiceId;

/// Share of the room in use that is expected to be free again while tickets are valid.
const SOON_FREE_SHARE: f64 = 0.5;
/// Smallest progress, in percent, from which the end of a run is predicted.
const MIN_PREDICTIVE_PERCENT: u32 = 10;
/// Number of workers that the time of a renewal call is planned for.
const TYPICAL_CALL_WORKERS: u32 = 10;

/// A step that needs advice.
#[derive(Clone, Debug)]
pub(super) struct AdviceRequest {
    /// The step.
    pub step: StepId,
    /// Its tasks to be placed.
    pub tasks: Vec<TaskId>,
    /// When its tasks may be started.
    pub opens_at: Duration,
}

/// What is needed to match a step with workers.
struct RequestContext<'a> {
    job: &'a Job,
    spec: &'a StepSpec,
    request: &'a AdviceRequest,
    /// Number of workers that are not known to be ineligible.
    possible_workers: usize,
}

/// Workers that accept work, by service.
pub(super) type WorkersByService = BTreeMap<ServiceId, Vec<WorkerId>>;

impl Scheduler {
    /// Services with open jobs that need advice, and their workers.
    pub(super) fn advised_workers(&self) -> WorkersByService {
        let jobs = self.advice.jobs.iter().filter_map(|key| self.jobs.get(key));
        let services: BTreeSet<&ServiceId> = jobs.map(|j| &j.spec.service).collect();
        services.into_iter().map(|s| (s.clone(), self.available_workers(s))).collect()
    }

    /// Waiting steps that need advice, most urgent first, as far as there will be room for their
    /// tasks.
    pub(super) fn steps_waiting_for_advice(&self, workers: &WorkersByService) -> Vec<AdviceRequest> {
        let mut found: Vec<(QueuePosition, AdviceRequest)> = Vec::new();
        for (service, pool) in workers {
            let Some(waiting) = self.ready.get(service) else { continue };
            let mut room = self.room_soon(pool);
            for position in waiting.positions() {
                let spec = self.jobs.get(&position.step.job).map(|j| &j.spec);
                let Some(step) = spec.and_then(|s| s.steps.get(usize::from(position.step.step))) else {
                    continue;
                };
                if room <= 0.0 {
                    break;
                }
                let each = step.reserved_resources().cpu_millis as f64;
                let mut tasks: Vec<TaskId> = Vec::new();
                for task in waiting.tasks_of(&position.step) {
                    if room <= 0.0 {
                        break;
                    }
                    room -= each;
                    tasks.push(task);
                }
                if self.needs_ticket(&position.step) {
                    found.push((*position, AdviceRequest { step: position.step, tasks, opens_at: self.now }));
                }
            }
        }
        found.sort_by_key(|(position, _)| *position);
        found.into_iter().map(|(_, r)| r).collect()
    }

    /// Processor room that is free or expected to be free soon, in thousandths of a core.
    fn room_soon(&self, workers: &[WorkerId]) -> f64 {
        let of = |w: &Worker| {
            w.free_resources().cpu_millis as f64 + w.used_resources.cpu_millis as f64 * SOON_FREE_SHARE
        };
        workers.iter().filter_map(|id| self.workers.get(id)).map(of).sum()
    }

    /// Steps that open well before tickets asked for now expire, the next first.
    pub(super) fn steps_opening_soon(&self) -> Vec<AdviceRequest> {
        let mut found = Vec::new();
        for key in &self.advice.jobs {
            let (Some(job), Some(cfg)) = (self.jobs.get(key), self.advice_config(*key)) else { continue };
            for round in 0..job.rounds.len() as u32 {
                for step in 0..job.spec.steps.len() as u16 {
                    let id = StepId { job: *key, round, step };
                    let opens = self.time_to_open(job, &id).filter(|left| *left <= cfg.ticket_lifetime / 2);
                    let Some(left) = opens else { continue };
                    let task = |index| TaskId { job: *key, round, step, index };
                    let tasks = (0..job.spec.steps[usize::from(step)].count).map(task).collect();
                    found.push(AdviceRequest { step: id, tasks, opens_at: self.now + left });
                }
            }
        }
        found.sort_by_key(|r| (r.opens_at, r.step));
        found
    }

    /// Time until a step opens; `None` if it is open, or some earlier task is neither done nor
    /// running.
    fn time_to_open(&self, job: &Job, id: &StepId) -> Option<Duration> {
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
                longest = longest.max(self.time_to_end(task, expected)?);
            }
        }
        Some(longest)
    }

    /// Time until a task ends; `None` if it does not run.
    fn time_to_end(&self, task: &Task, expected: Duration) -> Option<Duration> {
        let at_work = |p: Phase| matches!(p, Phase::Starting | Phase::Running);
        let run = task.runs.iter().find(|r| at_work(r.phase))?;
        let passed = self.now.saturating_sub(run.phase_since);
        if run.progress_percent < MIN_PREDICTIVE_PERCENT {
            return Some(expected.saturating_sub(passed));
        }
        let progress_time = run.progressed_at.saturating_sub(run.phase_since);
        let whole = progress_time.mul_f64(100.0 / f64::from(run.progress_percent));
        Some(whole.saturating_sub(passed))
    }

    /// The number of tasks of a step that valid tickets do not cover, and the workers to ask about,
    /// in the order in which placement would choose them; `None` if the tickets are enough.
    pub(super) fn need_and_candidates(
        &self,
        request: &AdviceRequest,
        cfg: &AdviceConfig,
        workers: &WorkersByService,
    ) -> Option<(u32, Vec<Candidate>)> {
        let job = self.jobs.get(&request.step.job)?;
        let spec = job.spec.steps.get(usize::from(request.step.step))?;
        let first = request.tasks.first()?;
        let workers = workers.get(&job.spec.service)?;
        let possible_workers = self.count_possible_workers(workers, &request.step);
        let context = RequestContext { job, spec, request, possible_workers };
        // Tickets that end before another answer would arrive are renewed now.
        let ahead =
            (cfg.base_call_time + cfg.time_per_worker * TYPICAL_CALL_WORKERS).min(cfg.ticket_lifetime / 4);
        let holds_until = request.opens_at + ahead;
        let mut covered = 0;
        let mut candidates = Vec::new();
        for id in workers {
            let Some(w) = self.workers.get(id) else { continue };
            let (fits_now, fits_empty) = self.task_slots_on(&context, id, w);
            // A full worker has a place once one of its tasks has ended.
            let fits = if fits_now == 0 { fits_empty.min(1) } else { fits_now };
            if fits == 0 || !self.meets_constraints(w, spec, first) {
                continue;
            }
            let eligible = match w.advice.get(&request.step) {
                Some(AdviceVerdict::Eligible(_, until)) if *until > holds_until => {
                    covered += fits;
                    continue;
                }
                Some(AdviceVerdict::Ineligible) => continue,
                Some(AdviceVerdict::TicketRejected(until)) if *until > self.now => continue,
                Some(AdviceVerdict::Eligible(..)) => true,
                Some(AdviceVerdict::TicketRejected(_)) | None => false,
            };
            let (away_from_data, crowding, faults, free_cpu) = self.placement_cost(w, spec, first);
            let rank = (fits_now == 0, away_from_data, !eligible, crowding, faults, free_cpu);
            candidates.push((rank, Candidate { worker: id.clone(), fits, eligible }));
        }
        let need = (request.tasks.len() as u32).checked_sub(covered).filter(|n| *n > 0)?;
        candidates.sort_by_key(|c| c.0);
        Some((need, candidates.into_iter().map(|(_, c)| c).collect()))
    }

    /// How many tasks of the step fit on a worker now, and how many if it were empty.
    fn task_slots_on(&self, context: &RequestContext<'_>, id: &WorkerId, w: &Worker) -> (u32, u32) {
        let task = |t: &TaskId| context.job.task(t);
        let avoids = |t: &&TaskId| {
            context.possible_workers > 1 && task(t).is_some_and(|t| t.worker_to_avoid(self.now) == Some(id))
        };
        let mut most = context.request.tasks.iter().filter(|t| !avoids(t)).count() as u32;
        if context.spec.max_per_worker > 0 {
            let here = context.request.tasks.first().map_or(0, |t| count_same_step(w, t)) as u32;
            most = most.min(context.spec.max_per_worker.saturating_sub(here));
        }
        let mut free = w.free_resources();
        if context.request.opens_at > self.now {
            // The job's own tasks here are expected to have ended when the step opens.
            let own = w.runs.iter().filter(|((t, _), _)| t.job == context.job.key);
            own.for_each(|(_, held)| free.add(&held.resources));
        }
        let whole = w.info.as_ref().map(|i| i.capacity).unwrap_or_default();
        let room = context.spec.reserved_resources();
        (times_contained(&free, &room).min(most), times_contained(&whole, &room).min(most))
    }
}

/// How many times a room contains another.
fn times_contained(whole: &Resources, part: &Resources) -> u32 {
    let fit = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
    let least = fit(whole.cpu_millis, part.cpu_millis)
        .min(fit(whole.mem_mb, part.mem_mb))
        .min(fit(whole.gpus, part.gpus));
    least.min(u64::from(u32::MAX)) as u32
}
