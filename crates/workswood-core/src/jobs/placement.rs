//! Placement: chooses the worker that a task is started on.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::fair_share::weighted_usage;
use super::job::{Checkpoint, Job, Phase, Run, Task, WorkerId};
use super::outage::StoreAccess;
use super::placement_pass::{PlacementPass, StepPlacement, StepQueue};
use super::policy::ShareOrder;
use super::queue_order::{QueueOrder, QueuePosition};
use super::restart_deadline::Safeguard;
use super::scheduler::Scheduler;
use super::spec::{Resources, StepId, StepSpec, TaskId};
use super::step_demand::StepDemand;
use super::types::Action;
use super::worker::{Worker, WorkerInfo};
use super::workspace::Owner;
use super::workspace_usage::{limit_admits, limit_utilization};
use crate::ids::ServiceId;
use crate::invariant;

/// Factor that makes interference outweigh all else in the cost of the tasks on a worker.
const INTERFERENCE_WEIGHT: usize = 1000;
/// Cost of each task of the same step that a worker has already.
const SAME_STEP_COST: usize = 2;
/// Cost of a host that a wave will drain, from which a task would have to be evicted again. It counts
/// as one task of the same step: with more, a wave over most hosts would gather a step's tasks on the
/// few others, where one crash takes many of them.
const DUE_MAINTENANCE_COST: usize = SAME_STEP_COST;
/// Cost of a worker that would hold a task for longer than others if it fell silent, for tasks that run until their job is
/// cancelled; as much as one task of the same step.
const LONG_LEASE_COST: usize = SAME_STEP_COST;
/// Most long-running steps that one pass tries beyond those that it reaches in the order of placement.
const MAX_UNREACHED_STEPS: usize = 32;
/// Most steps that one pass skips because others that ask for the same found no worker, in the order of placement and
/// again in the sweep.
const MAX_SKIPPED_STEPS: usize = 512;
/// Most steps that find no worker in the sweep of one pass.
const MAX_SWEEP_MISSES: usize = 32;
/// Most different choices of workers that are tried in vain for the tasks of one step.
const MAX_CHOICES_TRIED: usize = 4;
/// After this time without a run or a failure, a long-running task is placed on any worker with room.
pub(super) const LONG_RUNNING_PATIENCE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Places the waiting tasks of a service, most urgent first.
    pub(super) fn place_waiting_tasks(&mut self, service: &ServiceId) {
        if self.store_access == StoreAccess::Answering {
            self.place_trials(service);
        }
        self.place_absent_tasks(service);
        let mut pass = PlacementPass::default();
        self.place_in_order(service, &mut pass);
        self.place_unreached_long_running(service, &pass.long_running);
        if !pass.reached_end {
            self.counters.passes_cut += 1;
            self.sweep_unreached(service, &mut pass);
        }
    }

    /// Places long-running tasks that have run before and have been absent for a while, before all others:
    /// under a high demand those would fill whatever room there is.
    fn place_absent_tasks(&mut self, service: &ServiceId) {
        let waits = |id: &&TaskId| {
            let Some(job) = self.jobs.get(&id.job).filter(|job| job.spec.service == *service) else {
                return false;
            };
            job.task(id).is_some_and(|t| t.is_idle() && t.latest_attempt > 0)
                && !self.ready.get(service).is_some_and(|w| w.is_set_aside(&id.step_id()))
                && self.gives_way(Safeguard::OrderOfPlacement, id)
        };
        let waiting = self.absent_tasks.absent_for(Duration::ZERO, self.now).filter(waits);
        let by_deadline: BTreeSet<(Option<Duration>, StepId)> =
            waiting.map(|id| (self.absent_tasks.restart_by(id), id.step_id())).collect();
        let mut placed = BTreeSet::new();
        for (_, step) in by_deadline {
            if placed.len() < MAX_UNREACHED_STEPS && placed.insert(step) {
                self.place_step(service, &step);
            }
        }
    }

    /// Places steps in the order of placement until too many found no worker.
    fn place_in_order(&mut self, service: &ServiceId, pass: &mut PlacementPass) {
        let mut steps = StepQueue::new(self.placement_order(service));
        let owners: Vec<Owner> = self.ready.get(service).map(|w| w.owners().collect()).unwrap_or_default();
        owners.into_iter().for_each(|owner| self.queue_next_step(&mut steps, service, owner, None));
        while pass.misses < self.policy.placement.max_misses && pass.skipped < MAX_SKIPPED_STEPS {
            let Some(next) = steps.next() else {
                pass.reached_end = true;
                return;
            };
            if self.is_long_running(&next.step) {
                pass.long_running.insert(next.step);
            }
            // The workspace keeps what is left of its limit for this step, so its next step is not
            // queued.
            if self.place_in_pass(service, &next, pass) {
                self.queue_next_step(&mut steps, service, next.owner, Some(&next));
            }
        }
    }

    /// Places a step as part of a pass, unless one that asks for the same has found no worker; returns false if its
    /// owner has reached its limit.
    fn place_in_pass(&mut self, service: &ServiceId, next: &QueuePosition, pass: &mut PlacementPass) -> bool {
        self.counters.steps_looked_at += 1;
        let demand = self.shared_demand(&next.step);
        if demand.as_ref().is_some_and(|d| pass.unmet.contains(d)) {
            pass.skipped += 1;
            return true;
        }
        match self.place_step(service, &next.step) {
            StepPlacement::Done => {}
            StepPlacement::OverLimit => {
                pass.owners_over_limit.insert(next.owner);
                return false;
            }
            StepPlacement::NoWorker { .. } if self.set_aside_if_infeasible(service, &next.step) => {}
            StepPlacement::NoWorker { for_any_task } => {
                // Long-running tasks, which may find no worker for hours, and tasks that need a
                // ticket do not count as misses.
                pass.misses +=
                    usize::from(!self.is_long_running(&next.step) && !self.needs_ticket(&next.step));
                pass.unmet.extend(demand.filter(|_| for_any_task));
            }
        }
        true
    }

    /// What a step asks for, if nothing else decides which workers may take its tasks.
    fn shared_demand(&self, id: &StepId) -> Option<StepDemand> {
        let step = self.jobs.get(&id.job)?.spec.steps.get(usize::from(id.step))?;
        let own_rules = step.long_running || step.gang || step.max_per_worker > 0 || self.needs_ticket(id);
        (!own_rules).then(|| StepDemand::of(step))
    }

    /// Places steps behind those that find no worker, some of them in each pass and all of them in turn.
    fn sweep_unreached(&mut self, service: &ServiceId, pass: &mut PlacementPass) {
        (pass.misses, pass.skipped) = (0, 0);
        while pass.misses < MAX_SWEEP_MISSES && pass.skipped < MAX_SKIPPED_STEPS {
            let Some(waiting) = self.ready.get_mut(service) else { return };
            let next = waiting.next_after(waiting.sweep.cursor.as_ref());
            waiting.sweep.cursor = next;
            let Some(next) = next else {
                waiting.sweep.owners_over_limit.clear();
                return;
            };
            let over_limit = &waiting.sweep.owners_over_limit;
            if over_limit.contains(&next.owner) || pass.owners_over_limit.contains(&next.owner) {
                pass.skipped += 1;
                continue;
            }
            let within_limit = self.place_in_pass(service, &next, pass);
            if let Some(waiting) = self.ready.get_mut(service).filter(|_| !within_limit) {
                waiting.sweep.owners_over_limit.insert(next.owner);
            }
        }
    }

    /// Places long-running tasks behind steps that find no worker or exceed the limit of their
    /// workspace. Those may be waiting for long, and users miss a long-running task at once.
    fn place_unreached_long_running(&mut self, service: &ServiceId, reached: &BTreeSet<StepId>) {
        let Some(waiting) = self.ready.get_mut(service) else { return };
        if waiting.long_running_steps() == 0 {
            return;
        }
        for step in waiting.next_long_running(MAX_UNREACHED_STEPS, reached) {
            self.place_step(service, &step);
        }
    }

    /// Order of placement among steps with the same priority and timeliness.
    ///
    /// While all jobs can be in time, the step that must start first goes first. In an overload
    /// that order would make every job late, since each waits until it must start and then a little
    /// longer. So under overload the steps that take the least from the others go first.
    pub(super) fn placement_order(&self, service: &str) -> QueueOrder {
        let waiting_cpu = self.ready.get(service).map_or(0, |w| w.requested().in_time.cpu_millis);
        let total_cpu = self.workers.listed_cpu(service).max(self.fleet_cpu_millis);
        if waiting_cpu as f64 > total_cpu as f64 * self.policy.order.overload_share {
            QueueOrder::LeastWork
        } else {
            QueueOrder::EarliestDeadline
        }
    }

    /// Queues the owner's first step, or the first one that comes after the given position.
    fn queue_next_step(
        &self,
        steps: &mut StepQueue,
        service: &str,
        owner: Owner,
        after: Option<&QueuePosition>,
    ) {
        let Some(position) = self.ready.get(service).and_then(|w| w.next_of_owner(owner, after, steps.order))
        else {
            return;
        };
        // The usage of an owner counts under overload only, and with `ShareOrder::Dominant` only.
        let owner_usage = match (self.policy.order.share_order, steps.order) {
            (ShareOrder::Plain | ShareOrder::Excess, _) | (_, QueueOrder::EarliestDeadline) => 0,
            (ShareOrder::Dominant, QueueOrder::LeastWork) => {
                let in_use = self.workers.workspace_usage().in_use(owner);
                weighted_usage(owner, &in_use, self.config.workspaces.jobs_per_s(owner))
            }
        };
        steps.push(position, owner_usage);
    }

    /// Whether an owner may use this much more under its limit. An owner that uses less than half of
    /// its limit may exceed it with one task.
    pub(super) fn is_within_limit(&self, owner: Owner, needed: &Resources) -> bool {
        let limit = self.config.workspaces.limit(owner);
        if limit == Resources::default() {
            return true;
        }
        let mut in_use = self.workers.workspace_usage().in_use(owner);
        in_use.add(&self.hidden_use(owner));
        limit_admits(&in_use, &limit, needed)
    }

    /// The largest share of its limit that a workspace uses, and the number of workspaces that use
    /// any resources.
    pub fn workspace_limit_usage(&self) -> (f64, usize) {
        let in_use =
            || self.workers.workspace_usage().iter().filter(|(_, used)| *used != Resources::default());
        let share = |(owner, used): (Owner, Resources)| {
            limit_utilization(&used, &self.config.workspaces.limit(owner))
        };
        (in_use().map(share).fold(0.0, f64::max), in_use().count())
    }

    /// Resources that an owner may still use; `None` without a limit.
    pub(super) fn remaining_limit(&self, owner: Owner) -> Option<Resources> {
        let limit = self.config.workspaces.limit(owner);
        let or_unlimited = |most: u64| if most == 0 { u64::MAX } else { most };
        let most = Resources {
            cpu_millis: or_unlimited(limit.cpu_millis),
            mem_mb: or_unlimited(limit.mem_mb),
            gpus: or_unlimited(limit.gpus),
        };
        (limit != Resources::default())
            .then(|| most.saturating_sub(&self.workers.workspace_usage().in_use(owner)))
    }

    /// Whether the tasks of a step run until their job is cancelled.
    pub(super) fn is_long_running(&self, id: &StepId) -> bool {
        let steps = self.jobs.get(&id.job).map(|j| &j.spec.steps);
        steps.and_then(|s| s.get(usize::from(id.step))).is_some_and(|s| s.long_running)
    }

    /// Ids of a service's available workers outside of backoff, sorted.
    pub(super) fn available_workers(&self, service: &str) -> Vec<WorkerId> {
        let available = self.workers.available(service, 0).filter(|(_, w)| !w.in_backoff(self.now));
        let mut ids: Vec<WorkerId> = available.map(|(id, _)| id.clone()).collect();
        ids.sort();
        ids
    }

    /// Places the waiting tasks of a step. All need the same resources: if one does not fit, none
    /// does, except for long-running tasks that avoid other workers.
    fn place_step(&mut self, service: &str, id: &StepId) -> StepPlacement {
        let Some(job) = self.jobs.get(&id.job) else { return StepPlacement::Done };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(id.step)) else { return StepPlacement::Done };
        let held = spec.reservation(step);
        let needed_at_once = if step.gang { held.charged.times(step.count.into()) } else { held.charged };
        if self.is_held_back(&spec, step, id) || !self.may_start_now(step, id) {
            return StepPlacement::Done;
        }
        let mut unplaced: Vec<WorkerChoice> = Vec::new();
        while let Some(task) = self.next_startable(id, step, service, &unplaced) {
            if !self.is_within_limit(held.owner, &needed_at_once) {
                return StepPlacement::OverLimit;
            }
            let placed = match step.gang {
                true => self.place_gang(&task, step, service),
                false => self.place_task(&task, step, service),
            };
            if placed {
                continue;
            }
            let choice = self.worker_choice(&task);
            // No other task has a wider choice than one that takes any worker.
            let was_widest = !step.long_running || step.gang || choice.takes_any;
            let for_any_task = choice.avoided.is_none();
            unplaced.push(choice);
            if was_widest || unplaced.len() == MAX_CHOICES_TRIED {
                return StepPlacement::NoWorker { for_any_task };
            }
        }
        if unplaced.is_empty() {
            StepPlacement::Done
        } else {
            StepPlacement::NoWorker { for_any_task: false }
        }
    }

    /// The first waiting task of a step that may be started now, without those whose choice of workers
    /// is the same as that of a task that found none.
    fn next_startable(
        &self,
        id: &StepId,
        step: &StepSpec,
        service: &str,
        unplaced: &[WorkerChoice],
    ) -> Option<TaskId> {
        let paced = |task: TaskId| self.is_held_by_pacing(&task);
        if step.gang && self.ready.get(service)?.tasks_of(id).any(paced) {
            return None;
        }
        // Members of a gang start together, each as a trial if it is suspected.
        let startable = |task: &TaskId| step.gang || !paced(*task) && !self.waits_for_trial(task, service);
        let has_choice = |task: &TaskId| unplaced.is_empty() || !unplaced.contains(&self.worker_choice(task));
        self.ready.get(service)?.tasks_of(id).find(|t| startable(t) && has_choice(t))
    }

    /// What the choice of a worker depends on, the step aside.
    fn worker_choice(&self, id: &TaskId) -> WorkerChoice {
        let job = self.jobs.get(&id.job);
        let avoided = job.and_then(|j| j.task(id)).and_then(|t| t.worker_to_avoid(self.now));
        WorkerChoice {
            avoided: avoided.cloned(),
            takes_any: job.is_some_and(|job| self.takes_any_worker(job, id)),
        }
    }

    fn place_task(&mut self, id: &TaskId, step: &StepSpec, service: &str) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return true };
        let Some(worker) = self.choose_worker(job, step, id, service) else { return false };
        self.start_task(id, &worker, None);
        true
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, id: &TaskId, step: &StepSpec, service: &str) -> bool {
        let members: Vec<TaskId> = (0..step.count).map(|index| TaskId { index, ..*id }).collect();
        let Some(job) = self.jobs.get(&id.job) else { return true };
        let idle = members.iter().all(|m| job.task(m).is_some_and(Task::is_idle));
        if !idle {
            return false;
        }
        let attempt =
            members.iter().filter_map(|m| job.task(m)).map(|t| t.latest_attempt).max().unwrap_or(0) + 1;
        let mut placements = Vec::new();
        for m in &members {
            let Some(job) = self.jobs.get(&id.job) else { break };
            let Some(worker) = self.choose_worker(job, step, m, service) else { break };
            if let Some(mut w) = self.workers.get_mut(&worker) {
                w.add_run(*m, attempt, step.reserved_resources());
            }
            placements.push((*m, worker));
        }
        for (m, worker) in &placements {
            if let Some(mut w) = self.workers.get_mut(worker) {
                w.remove_run(*m, attempt);
            }
        }
        if placements.len() < members.len() {
            return false;
        }
        let checkpoint = members.iter().filter_map(|m| checkpoint_of(self.jobs.get(&m.job), m)).next();
        for (m, worker) in placements {
            if let Some(t) = self.jobs.get_mut(&m.job).and_then(|j| j.task_mut(&m)) {
                t.checkpoint = checkpoint.clone().unwrap_or_default();
            }
            self.start_task(&m, &worker, Some(attempt));
        }
        true
    }

    /// The best worker with enough room. For tasks that are neither long-running nor tied to the
    /// rack of their data, it is the first fit in the order of the index. A slow worker is chosen only
    /// if no other one could ever run the task, or if the task takes any worker.
    pub(super) fn choose_worker(
        &self,
        job: &Job,
        step: &StepSpec,
        id: &TaskId,
        service: &str,
    ) -> Option<WorkerId> {
        let is_slow = |w: &WorkerId| self.slow_workers.contains(w, self.now);
        let found = self.choose_worker_except(job, step, id, service, &is_slow);
        if found.is_some() || self.slow_workers.is_empty() {
            return found;
        }
        if !self.takes_any_worker(job, id) {
            let mut others = self.workers.available(service, 0).filter(|(wid, _)| !is_slow(wid));
            if others.any(|(_, w)| self.could_run(w, step, id)) {
                return None;
            }
        }
        self.choose_worker_except(job, step, id, service, &|_| false)
    }

    /// Whether a task is placed on any worker with room, also on one that is rather avoided. While a
    /// long-running task waits for a better one, its users are not served. One that has just failed
    /// waits nevertheless, so that it is not started over and over on a faulty worker.
    fn takes_any_worker(&self, job: &Job, id: &TaskId) -> bool {
        let just_failed = job.task(id).is_some_and(|t| t.failed_within(LONG_RUNNING_PATIENCE, self.now));
        !just_failed && self.gives_way(Safeguard::PreferredWorkers, id)
    }

    /// Whether a worker outside of backoff could run a task if it were empty.
    fn could_run(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> bool {
        let needed = step.reserved_resources();
        let large_enough = w.info.as_ref().is_some_and(|i| i.capacity.contains(&needed));
        !w.in_backoff(self.now) && large_enough && self.meets_constraints(w, step, id)
    }

    /// As [`Self::choose_worker`], but never a worker for which `excluded` is true.
    pub(super) fn choose_worker_except(
        &self,
        job: &Job,
        step: &StepSpec,
        id: &TaskId,
        service: &str,
        excluded: &dyn Fn(&WorkerId) -> bool,
    ) -> Option<WorkerId> {
        let needed = step.reserved_resources();
        let avoid = job.task(id).and_then(|t| t.worker_to_avoid(self.now));
        let advised = self.needs_ticket(&id.step_id());
        let overdue = self.is_overdue(id);
        let fits = |w: &Worker| {
            let ticket = !advised || w.ticket(&id.step_id(), self.now).is_some();
            let kept_free = w.refuses_starts(self.now) || w.is_on_trial(self.now) && !overdue;
            let on_record = self.store_access == StoreAccess::Answering || w.open_on_record;
            ticket
                && !kept_free
                && on_record
                && w.free_resources().contains(&needed)
                && self.meets_constraints(w, step, id)
        };
        let ordinary_lease_end = self.now + self.lease_with_drift();
        let cost = |w: &Worker| {
            let is_due = |info: &Arc<WorkerInfo>| self.is_due_for_maintenance(&info.host);
            let is_due = step.long_running && w.info.as_ref().is_some_and(is_due);
            let (away_from_data, crowding, faults, free_cpu) = self.placement_cost(w, step, id);
            let holds_long = step.long_running && w.lease_end > ordinary_lease_end;
            let crowding = crowding
                + usize::from(is_due) * DUE_MAINTENANCE_COST
                + usize::from(holds_long) * LONG_LEASE_COST;
            // A start on a worker that has fallen silent holds the task until its lease ends.
            let may_be_silent = step.long_running && w.poll_overdue;
            (w.in_quarantine(self.now), may_be_silent, away_from_data, crowding, faults, free_cpu)
        };
        let with_room = || self.workers.available(service, needed.cpu_millis);
        let available = || with_room().filter(|(wid, w)| !excluded(wid) && fits(w));
        let best = |skip: Option<&WorkerId>, kept_ones_too: bool| {
            let kept = |w: &Worker| w.is_shunned(self.now) || w.in_quarantine(self.now);
            let usable = |w: &Worker| kept_ones_too || !kept(w);
            let mut open = available().filter(|(wid, w)| skip != Some(*wid) && usable(w));
            let found = match step.long_running || step.data_rack.is_some() {
                true => open.min_by_key(|(_, w)| cost(w)),
                false => open.next(),
            };
            found.map(|(wid, _)| wid.clone())
        };
        let found = best(avoid, false);
        if found.is_some() {
            return found;
        }
        if self.takes_any_worker(job, id) {
            return best(None, false).or_else(|| best(None, true));
        }
        // The worker to avoid is used only if there is no other candidate.
        avoid?;
        let candidates = if advised {
            self.count_possible_workers(&self.available_workers(service), &id.step_id())
        } else {
            let all = self.workers.available(service, 0);
            all.filter(|(_, w)| self.could_run(w, step, id)).take(2).count()
        };
        if candidates > 1 { None } else { best(None, false) }
    }

    /// Whether the worker has the label that the step requires, and room under the step's limit of
    /// tasks per worker.
    pub(super) fn meets_constraints(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> bool {
        let Some(info) = &w.info else { return false };
        if !step.allows_labels(&info.labels) {
            return false;
        }
        step.max_per_worker == 0 || count_same_step(w, id) < step.max_per_worker as usize
    }

    /// Cost of a placement; the lowest is best. Among equals, the worker with the least room left
    /// is filled up. Tasks spread over all hosts would leave none empty, and only an empty host can
    /// be moved to another pool, turned off or maintained without stopping tasks.
    pub(super) fn placement_cost(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> (bool, usize, u32, u64) {
        let away_from_data = step.data_rack.as_ref().is_some_and(|rack| {
            let labels = w.info.as_ref().map(|i| i.labels.as_slice()).unwrap_or_default();
            !labels.contains(rack)
        });
        (away_from_data, self.crowding_cost(w, step, id), w.faults, w.free_resources().cpu_millis)
    }

    /// Cost of the tasks that run on the worker already.
    fn crowding_cost(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> usize {
        let policy = &self.policy.placement;
        if !step.long_running {
            return 0;
        }
        let interfering = match (step.best_effort, step.latency_target) {
            // Keep best-effort tasks together, since a host with one of them is never empty.
            (true, _) if !policy.best_effort_beside_serving => {
                2 * w.serving.len() + usize::from(w.best_effort.is_empty())
            }
            (false, Some(_)) => w.best_effort.len(),
            _ => 0,
        };
        // Keep tasks of the same step apart, but on hosts that have a long-running task already.
        let same_step = if step.best_effort { 0 } else { count_same_step(w, id) };
        let spread = SAME_STEP_COST * same_step + usize::from(w.long_running.is_empty());
        interfering * INTERFERENCE_WEIGHT + spread
    }

    /// Starts a task on a worker. The start is sent once it is on record. `attempt` is the attempt
    /// number that the members of a gang share; with `None` the task gets its next one.
    pub(super) fn start_task(&mut self, id: &TaskId, worker: &WorkerId, attempt: Option<u32>) {
        self.dequeue(id);
        let (now, trial) = (self.now, self.trial(id));
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let spec = job.spec.clone();
        let step = &spec.steps[usize::from(id.step)];
        let step_is_open = job.is_open() && job.is_step_ready(id.round, id.step);
        let Some(task) = job.task_mut(id) else { return };
        let no_other_run = step.speculative || task.runs.is_empty();
        if !invariant::check(step_is_open && no_other_run && !task.done, || {
            format!("task {id} must not be started now")
        }) {
            return;
        }
        let has_other_run = !task.runs.is_empty();
        task.latest_attempt = attempt.unwrap_or(task.latest_attempt + 1);
        let attempt = task.latest_attempt;
        let run = Run::new(worker.clone(), attempt, Phase::Starting, now);
        task.runs.push(Run { trial_length: trial.map(|t| t.length), placed_at: Some(now), ..run });
        let checkpoint = task.checkpoint.clone();
        job.started = true;
        self.dirty_jobs.insert(id.job);
        if let Some(mut w) = self.workers.get_mut(worker) {
            let held = spec.reservation(step);
            let fits = w.free_resources().contains(&held.resources);
            invariant::check(fits, || format!("task {id} does not fit on {worker}"));
            w.add_run(*id, attempt, held);
            w.note_task_kind(id, step);
            w.last_start_at = Some(now);
            if let Some(t) = trial.filter(|t| t.quarantined) {
                w.begin_trial(*id, attempt, now, t.length);
            }
        }
        self.update_load_reporting(worker);
        self.log_placement(worker, id, attempt, has_other_run);
        self.order_start(id, worker, attempt, &checkpoint);
    }

    /// Has a start sent once what is decided is on record.
    pub(super) fn order_start(&mut self, id: &TaskId, worker: &WorkerId, attempt: u32, checkpoint: &str) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let text = Arc::clone(&job.spec.task_input);
        let now = self.now;
        let w = self.workers.get(worker);
        let ticket = w.and_then(|w| w.ticket(&id.step_id(), now));
        self.actions.push(Action::Start {
            worker: worker.clone(),
            token: self.worker_token(w.map_or(0, |w| w.relay_count)),
            task: *id,
            attempt,
            text,
            checkpoint: checkpoint.to_string(),
            ticket,
        });
    }
}

/// What the choice of a worker for a task depends on, the step aside.
#[derive(PartialEq, Eq)]
struct WorkerChoice {
    /// The worker that the task avoids.
    avoided: Option<WorkerId>,
    /// Whether any worker with room will do.
    takes_any: bool,
}

/// Number of tasks of the same step and round on a worker.
pub(super) fn count_same_step(w: &Worker, id: &TaskId) -> usize {
    w.runs.keys().filter(|(t, _)| is_same_step(t, id)).count()
}

/// Whether two tasks are of the same step and round.
pub(super) fn is_same_step(a: &TaskId, b: &TaskId) -> bool {
    a.job == b.job && a.round == b.round && a.step == b.step
}

/// Latest checkpoint of a task, if it has one.
fn checkpoint_of(job: Option<&Job>, id: &TaskId) -> Option<Checkpoint> {
    let t = job?.task(id)?;
    if t.checkpoint.is_empty() { None } else { Some(t.checkpoint.clone()) }
}
