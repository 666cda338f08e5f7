//! Which worker a task is started on.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use super::fair_share::weighted_usage;
use super::job::{Job, Phase, Run, Task, WorkerId};
use super::policy::ShareOrder;
use super::queue_order::{QueueOrder, QueuePosition, Timeliness};
use super::sched::Scheduler;
use super::spec::{Resources, StepId, StepSpec, TaskId};
use super::types::Action;
use super::worker::Worker;
use super::workspace::Owner;
use super::workspace_usage::{limit_utilization, within_limit};
use crate::ids::ServiceId;
use crate::invariant;

/// Weight of a neighbour that disturbs, against tasks that are alike.
const MOST_ALIKE: usize = 1000;

impl Scheduler {
    /// Places waiting tasks of a service, most urgent first.
    pub(super) fn place(&mut self, service: &ServiceId) {
        self.place_trials(service);
        let mut misses = 0;
        let mut turns = Turns::new(self.rank_of(service));
        let owners: Vec<Owner> = self.ready.get(service).map(|w| w.owners().collect()).unwrap_or_default();
        owners.into_iter().for_each(|owner| self.give_turn(&mut turns, service, owner, None));
        while misses < self.policy.placement.most_misses {
            let Some(next) = turns.next() else { return };
            match self.place_step(service, &next.step) {
                Placing::Done => {}
                Placing::NoRoom => {
                    misses += usize::from(!self.lasts(&next.step) && !self.is_advised(&next.step));
                }
                // Nothing else of its workspace may begin either.
                Placing::OverLimit => continue,
            }
            self.give_turn(&mut turns, service, next.owner, Some(&next));
        }
    }

    /// In which order steps that stand alike are placed.
    ///
    /// While all can be in time, whoever must begin first goes first. Beyond that the same order
    /// lets each wait until it must begin, and then a little longer: one backlog makes all late. Then
    /// those go first that take the least from the others.
    fn rank_of(&self, service: &str) -> QueueOrder {
        let asked = self.ready.get(service).map_or(0, |w| w.requested().0.cpu_millis);
        let room = self.workers.cpu_of(service).max(self.fleet_cpu);
        if asked as f64 > room as f64 * self.policy.order.overload {
            QueueOrder::LeastWork
        } else {
            QueueOrder::EarliestDeadline
        }
    }

    /// Lets the step of an owner have a turn that comes after a place.
    fn give_turn(&self, turns: &mut Turns, service: &str, owner: Owner, after: Option<&QueuePosition>) {
        let Some(place) = self.ready.get(service).and_then(|w| w.next_of_owner(owner, after, turns.rank))
        else {
            return;
        };
        let used = match (self.policy.order.shares, turns.rank) {
            (ShareOrder::Plain | ShareOrder::Excess, _) | (_, QueueOrder::EarliestDeadline) => 0,
            (ShareOrder::Dominant, QueueOrder::LeastWork) => {
                let at_work = self.workers.accounts().in_use(owner);
                weighted_usage(owner, &at_work, self.config.workspaces.jobs_per_s(owner))
            }
        };
        turns.push(place, used);
    }

    /// Whether so much more of an owner may begin.
    pub(super) fn may_begin(&self, owner: Owner, room: &Resources) -> bool {
        let limit = self.config.workspaces.limit(owner);
        limit == Resources::default() || within_limit(&self.workers.accounts().in_use(owner), &limit, room)
    }

    /// The largest share of its limit that a workspace has at work, and how many have
    /// something at work.
    pub fn use_of_limits(&self) -> (f64, usize) {
        let at_work = || self.workers.accounts().iter().filter(|(_, room)| *room != Resources::default());
        let share = |(owner, room): (Owner, Resources)| {
            limit_utilization(&room, &self.config.workspaces.limit(owner))
        };
        (at_work().map(share).fold(0.0, f64::max), at_work().count())
    }

    /// What an owner may still use; `None` without a limit.
    pub(super) fn left_of_limit(&self, owner: Owner) -> Option<Resources> {
        let limit = self.config.workspaces.limit(owner);
        let open = |most: u64| if most == 0 { u64::MAX } else { most };
        let most = Resources {
            cpu_millis: open(limit.cpu_millis),
            mem_mb: open(limit.mem_mb),
            gpus: open(limit.gpus),
        };
        (limit != Resources::default()).then(|| most.saturating_sub(&self.workers.accounts().in_use(owner)))
    }

    /// Whether tasks of a step run until their job is cancelled; one that has no place
    /// may have none for hours.
    fn lasts(&self, id: &StepId) -> bool {
        let steps = self.jobs.get(&id.job).map(|j| &j.spec.steps);
        steps.and_then(|s| s.get(usize::from(id.step))).is_some_and(|s| s.long_running)
    }

    /// Workers of a service that take work, by name.
    pub(super) fn takers(&self, service: &str) -> Vec<WorkerId> {
        let takers = self.workers.takers(service, 0).filter(|(_, w)| !w.is_shunned(self.now));
        let mut ids: Vec<WorkerId> = takers.map(|(id, _)| id.clone()).collect();
        ids.sort();
        ids
    }

    /// Places the waiting tasks of a step. They are alike: where one finds no room, none does.
    fn place_step(&mut self, service: &str, id: &StepId) -> Placing {
        let Some(job) = self.jobs.get(&id.job) else { return Placing::Done };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(id.step)) else { return Placing::Done };
        let held = spec.reservation(step);
        let at_once = if step.gang { held.charged.times(step.count.into()) } else { held.charged };
        // Members of a gang start together, each on trial where it is suspected.
        let open = |s: &Scheduler, task: &TaskId| step.gang || !s.waits_for_trial(task, service);
        while let Some(task) = self.ready.get(service).and_then(|w| w.tasks_of(id).find(|t| open(self, t))) {
            if !self.may_begin(held.owner, &at_once) {
                return Placing::OverLimit;
            }
            let placed = match step.gang {
                true => self.place_gang(&task, step, service),
                false => self.place_task(&task, step, service),
            };
            if !placed {
                return Placing::NoRoom;
            }
        }
        Placing::Done
    }

    fn place_task(&mut self, id: &TaskId, step: &StepSpec, service: &str) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return true };
        let Some(worker) = self.choose(job, step, id, service) else { return false };
        self.start(id, &worker, None);
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
        let mut places = Vec::new();
        for m in &members {
            let Some(job) = self.jobs.get(&id.job) else { break };
            let Some(worker) = self.choose(job, step, m, service) else { break };
            if let Some(mut w) = self.workers.get_mut(&worker) {
                w.take(*m, attempt, step.reserved_resources());
            }
            places.push((*m, worker));
        }
        for (m, worker) in &places {
            if let Some(mut w) = self.workers.get_mut(worker) {
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

    /// The best worker with room, if there is one. For tasks that neither last nor
    /// have their data in some rack it is the first one of the index that fits.
    fn choose(&self, job: &Job, step: &StepSpec, id: &TaskId, service: &str) -> Option<WorkerId> {
        let room = step.reserved_resources();
        let avoid = job.task(id).and_then(|t| t.avoid_worker.as_ref());
        let advised = self.is_advised(&id.step_id());
        let fits = |w: &Worker| {
            let ticket = !advised || w.ticket(&id.step_id(), self.now).is_some();
            let closed = w.is_shunned(self.now) || w.in_quarantine(self.now);
            ticket && !closed && w.free().contains(&room) && self.allowed(w, step, id)
        };
        let takers = || self.workers.takers(service, room.cpu_millis).filter(|(_, w)| fits(w));
        let best = |skip: Option<&WorkerId>| {
            let mut open = takers().filter(|(wid, _)| skip != Some(*wid));
            let found = match step.long_running || step.data_rack.is_some() {
                true => open.min_by_key(|(_, w)| self.cost(w, step, id)),
                false => open.next(),
            };
            found.map(|(wid, _)| wid.clone())
        };
        let found = best(avoid);
        if found.is_some() || avoid.is_none() {
            return found;
        }
        // The one to be avoided is taken only where no other may ever be.
        let others = if advised {
            self.may_be_good(&self.takers(service), &id.step_id())
        } else {
            self.workers.takers(service, 0).filter(|(_, w)| !w.is_shunned(self.now)).take(2).count()
        };
        if others > 1 { None } else { best(None) }
    }

    /// Whether label and spread let a task of the step run there.
    pub(super) fn allowed(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> bool {
        let Some(info) = &w.info else { return false };
        if let Some(label) = &step.label
            && !info.labels.contains(label)
        {
            return false;
        }
        step.max_per_worker == 0 || same_step(w, id) < step.max_per_worker as usize
    }

    /// What speaks against a worker; smaller is better. Among equals the one
    /// with the least room left is filled up: tasks spread over all hosts
    /// would leave none empty, and only an empty host can go to a pool that is
    /// short of them, be turned off or be maintained without a loss.
    pub(super) fn cost(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> (bool, usize, u32, u64) {
        let far = step.data_rack.as_ref().is_some_and(|rack| {
            let labels = w.info.as_ref().map(|i| i.labels.as_slice()).unwrap_or_default();
            !labels.contains(rack)
        });
        (far, self.crowd(w, step, id), w.faults, w.free().cpu_millis)
    }

    /// What speaks against a worker for what runs there already.
    fn crowd(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> usize {
        let policy = &self.policy.placement;
        if !step.long_running {
            return 0;
        }
        let beside = match (step.best_effort, step.latency_target) {
            // Beside others that fill: a host with one of them is never empty.
            (true, _) if !policy.fills_beside => 2 * w.serves.len() + usize::from(w.fills.is_empty()),
            (false, Some(_)) => w.fills.len(),
            _ => 0,
        };
        // Apart from tasks that are alike, on hosts where some task lasts already.
        let alike = if step.best_effort { 0 } else { same_step(w, id) };
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
        let safe = job.is_open() && job.is_step_ready(id.round, id.step);
        let Some(task) = job.task_mut(id) else { return };
        let alone = step.speculative || task.runs.is_empty();
        if !invariant::check(safe && alone && !task.done, || format!("start of {id} is not due")) {
            return;
        }
        task.latest_attempt = attempt.unwrap_or(task.latest_attempt + 1);
        let attempt = task.latest_attempt;
        let trial = task.trial(step, &self.policy.crashes, now);
        let run = Run::new(worker.clone(), attempt, Phase::Starting, now);
        task.runs.push(Run { trial_quarantine: trial, placed_at: Some(now), ..run });
        let checkpoint = task.checkpoint.clone();
        job.started = true;
        self.dirty.insert(id.job);
        if let Some(mut w) = self.workers.get_mut(worker) {
            let held = spec.reservation(step);
            let fits = w.free().contains(&held.resources);
            invariant::check(fits, || format!("start of {id} on {worker} does not fit"));
            w.take(*id, attempt, held);
            w.mark(id, step);
            w.last_start = Some(now);
            if let Some(lasts) = trial {
                w.begin_trial(*id, attempt, now, lasts);
            }
        }
        self.want_figures(worker);
        self.notes.push(format_args!("event=task_placed worker={worker} task={id} attempt={attempt}"));
        let w = self.workers.get(worker);
        let ticket = w.and_then(|w| w.ticket(&id.step_id(), now));
        self.actions.push(Action::Start {
            worker: worker.clone(),
            token: self.worker_token(w.map_or(0, |w| w.relays)),
            task: *id,
            attempt,
            text: Arc::clone(&spec.task_input),
            checkpoint,
            ticket,
        });
    }
}

/// What came of placing a step.
enum Placing {
    /// Each of its tasks found room, or is gone.
    Done,
    /// One of them found none.
    NoRoom,
    /// Its workspace has as much at work as it may.
    OverLimit,
}

/// The next step of each owner, in the order in which they are placed.
struct Turns {
    rank: QueueOrder,
    heap: BinaryHeap<Reverse<Turn>>,
}

/// A step, before it what compares owners that stand alike.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    priority: u32,
    standing: Timeliness,
    excess: bool,
    used: u64,
    rank: u64,
    place: QueuePosition,
}

impl Turns {
    fn new(rank: QueueOrder) -> Turns {
        Turns { rank, heap: BinaryHeap::new() }
    }

    fn push(&mut self, place: QueuePosition, used: u64) {
        let QueuePosition { priority, timeliness: standing, over_rate: excess, .. } = place;
        let rank = place.sort_key(self.rank);
        self.heap.push(Reverse(Turn { priority, standing, excess, used, rank, place }));
    }

    fn next(&mut self) -> Option<QueuePosition> {
        self.heap.pop().map(|Reverse(turn)| turn.place)
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
