//! Which worker a task is started on.

use std::collections::HashSet;
use std::sync::Arc;

use super::job::{Job, Phase, Run, WorkerId};
use super::sched::Scheduler;
use super::spec::{JobKey, Room, StepSpec, TaskId};
use super::types::Action;
use super::worker::Worker;
use crate::ids::ServiceId;
use crate::invariant;

/// Weight of a neighbour that disturbs, against tasks that are alike.
const MOST_ALIKE: usize = 1000;

impl Scheduler {
    /// Places waiting tasks of a service, most urgent first.
    pub(super) fn place(&mut self, service: &ServiceId) {
        let Some(waiting) = self.ready.get(service) else { return };
        if waiting.is_empty() {
            return;
        }
        let ids: Vec<TaskId> = waiting.tasks().copied().collect();
        let workers = self.takers(service);
        // Tasks of one step are alike: where one finds no room, none does.
        let mut missed: HashSet<(JobKey, u32, u16)> = HashSet::new();
        let mut misses = 0;
        for id in ids {
            if misses >= self.policy.placement.most_misses || workers.is_empty() {
                break;
            }
            let alike = (id.job, id.round, id.step);
            if !missed.contains(&alike) && !self.place_one(&id, &workers) {
                missed.insert(alike);
                misses += usize::from(!self.lasts(&id) && !self.is_advised(&id));
            }
        }
    }

    /// Whether a task runs until its job is cancelled; one that has no place
    /// may have none for hours.
    fn lasts(&self, id: &TaskId) -> bool {
        self.jobs.get(&id.job).and_then(|j| j.step(id)).is_some_and(|s| s.lasting)
    }

    /// Workers of a service that take work.
    pub(super) fn takers(&self, service: &ServiceId) -> Vec<WorkerId> {
        let takes = |w: &Worker| {
            let same = w.info.as_ref().is_some_and(|i| i.service == *service);
            same && w.takes_work(self.now)
        };
        let mut ids: Vec<WorkerId> =
            self.workers.iter().filter(|(_, w)| takes(w)).map(|(id, _)| id.clone()).collect();
        ids.sort();
        ids
    }

    /// Places a task, or its gang; returns whether it found room or is gone.
    fn place_one(&mut self, id: &TaskId, workers: &[WorkerId]) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return true };
        let Some(step) = job.step(id) else { return true };
        if step.gang {
            let spec = job.spec.clone();
            return self.place_gang(id, &spec.steps[usize::from(id.step)], workers);
        }
        let Some(worker) = self.choose(job, step, id, workers) else { return false };
        self.start(id, &worker, None);
        true
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, id: &TaskId, step: &StepSpec, workers: &[WorkerId]) -> bool {
        let members: Vec<TaskId> = (0..step.count).map(|index| TaskId { index, ..*id }).collect();
        let Some(job) = self.jobs.get(&id.job) else { return true };
        let idle = members.iter().all(|m| job.task(m).is_some_and(|t| !t.done && t.runs.is_empty()));
        if !idle {
            return false;
        }
        let attempt = members.iter().filter_map(|m| job.task(m)).map(|t| t.attempt).max().unwrap_or(0) + 1;
        let mut places = Vec::new();
        for m in &members {
            let Some(job) = self.jobs.get(&id.job) else { break };
            let Some(worker) = self.choose(job, step, m, workers) else { break };
            if let Some(w) = self.workers.get_mut(&worker) {
                w.take(*m, attempt, step.reserved());
            }
            places.push((*m, worker));
        }
        for (m, worker) in &places {
            if let Some(w) = self.workers.get_mut(worker) {
                w.release(*m, attempt);
            }
        }
        if places.len() < members.len() {
            return false;
        }
        let checkpoint = members.iter().filter_map(|m| checkpoint_of(self.jobs.get(&m.job), m)).next();
        for (m, worker) in places {
            if let Some(t) = self.jobs.get_mut(&m.job).and_then(|j| j.task_mut(&m)) {
                t.checkpoint = checkpoint.clone().unwrap_or_default();
            }
            self.start(&m, &worker, Some(attempt));
        }
        true
    }

    /// The best worker with room, if there is one.
    fn choose(&self, job: &Job, step: &StepSpec, id: &TaskId, workers: &[WorkerId]) -> Option<WorkerId> {
        let room = step.reserved();
        let avoid = job.task(id).and_then(|t| t.avoid.as_ref());
        let advised = self.is_advised(id);
        let others = if advised { self.may_be_good(workers, &id.step_id()) } else { workers.len() };
        let fits = |wid: &&WorkerId| {
            let Some(w) = self.workers.get(*wid) else { return false };
            let avoided = avoid == Some(*wid) && others > 1;
            let ticket = !advised || w.ticket(&id.step_id(), self.now).is_some();
            ticket && !avoided && w.free().holds(&room) && self.allowed(w, step, id)
        };
        let fitting = workers.iter().filter(fits);
        let best = fitting.min_by_key(|wid| {
            let w = &self.workers[*wid];
            self.cost(w, step, id)
        });
        best.cloned()
    }

    /// Whether label and spread let a task of the step run there.
    pub(super) fn allowed(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> bool {
        let Some(info) = &w.info else { return false };
        if let Some(label) = &step.label
            && !info.labels.contains(label)
        {
            return false;
        }
        step.most_per_worker == 0 || same_step(w, id) < step.most_per_worker as usize
    }

    /// What speaks against a worker; smaller is better. Among equals the one
    /// with the least room left is filled up: tasks spread over all machines
    /// would leave none empty, and only an empty machine can go to a pool that is
    /// short of them, be turned off or be maintained without a loss.
    pub(super) fn cost(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> (bool, usize, u32, u64) {
        let far = step.near.as_ref().is_some_and(|rack| {
            let labels = w.info.as_ref().map(|i| i.labels.as_slice()).unwrap_or_default();
            !labels.contains(rack)
        });
        (far, self.crowd(w, step, id), w.faults, w.free().cpu_millis)
    }

    /// What speaks against a worker for what runs there already.
    fn crowd(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> usize {
        let policy = &self.policy.placement;
        if !step.lasting {
            return 0;
        }
        let beside = match (step.fills, step.target) {
            // Beside others that fill: a machine with one of them is never empty.
            (true, _) if !policy.fills_beside => 2 * w.serves.len() + usize::from(w.fills.is_empty()),
            (false, Some(_)) => w.fills.len(),
            _ => 0,
        };
        // Apart from tasks that are alike, on machines where some task lasts already.
        let alike = if step.fills { 0 } else { same_step(w, id) };
        let together = 2 * alike + usize::from(w.lasting.is_empty());
        beside * MOST_ALIKE + together
    }

    /// Starts a task on a worker, once that is on record.
    pub(super) fn start(&mut self, id: &TaskId, worker: &WorkerId, attempt: Option<u32>) {
        self.unqueue(id);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let spec = job.spec.clone();
        let step = &spec.steps[usize::from(id.step)];
        let safe = job.open() && job.step_open(id.round, id.step);
        let Some(task) = job.task_mut(id) else { return };
        let alone = step.speculative || task.runs.is_empty();
        if !invariant::check(safe && alone && !task.done, || format!("start of {id} is not due")) {
            return;
        }
        task.attempt = attempt.unwrap_or(task.attempt + 1);
        let attempt = task.attempt;
        task.runs.push(Run::new(worker.clone(), attempt, Phase::Starting, now));
        let checkpoint = task.checkpoint.clone();
        job.begun = true;
        self.dirty.insert(id.job);
        if let Some(w) = self.workers.get_mut(worker) {
            let room: Room = step.reserved();
            let fits = w.free().holds(&room);
            invariant::check(fits, || format!("start of {id} on {worker} does not fit"));
            w.take(*id, attempt, room);
            w.mark(id, step);
        }
        self.notes.push(format!("event=task_placed worker={worker} task={id} attempt={attempt}"));
        let ticket = self.workers.get(worker).and_then(|w| w.ticket(&id.step_id(), now));
        self.actions.push(Action::Start {
            worker: worker.clone(),
            task: *id,
            attempt,
            text: Arc::clone(&spec),
            checkpoint,
            ticket,
        });
    }
}

/// How many tasks of the same step and round run on a worker.
pub(super) fn same_step(w: &Worker, id: &TaskId) -> usize {
    let same = |t: &TaskId| t.job == id.job && t.round == id.round && t.step == id.step;
    w.runs.keys().filter(|(t, _)| same(t)).count()
}

/// Latest checkpoint of a task, if it has one.
fn checkpoint_of(job: Option<&Job>, id: &TaskId) -> Option<String> {
    let t = job?.task(id)?;
    if t.checkpoint.is_empty() { None } else { Some(t.checkpoint.clone()) }
}
