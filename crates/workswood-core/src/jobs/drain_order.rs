//! Which hosts of a maintenance wave are drained next.
//!
//! Long-running tasks are moved off only within the budgets of their steps, so on a wave of hosts that
//! run some, the budgets decide how long it takes. Hosts with long-running tasks therefore go first,
//! and only as many at a time as the budgets allow to be evicted from now: the others keep working.
//! While other hosts wait, one slot is kept for them. Hosts without progress are put back, see
//! [`drain_stalls`](super::drain_stalls).

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::WorkerId;
use super::maintenance_waves::WaveState;
use super::scheduler::Scheduler;
use super::spec::{StepId, TaskId};
use crate::ids::{HostId, ServiceId};

/// A host of a wave whose maintenance has not begun. Candidates are drained in their order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DrainCandidate {
    /// When it was last put back since draining it made no progress; those hosts go last.
    put_back_at: Option<Duration>,
    /// Whether it runs no long-running tasks.
    without_long_running: bool,
    /// Whether its pool is short of hosts.
    in_short_pool: bool,
    /// Number of its long-running tasks.
    long_running: usize,
    /// Processor use of its worker, in thousandths of a core.
    used_cpu_millis: u64,
    /// The host.
    pub(super) host: HostId,
}

impl DrainCandidate {
    /// Whether draining it made no progress.
    pub(super) fn was_put_back(&self) -> bool {
        self.put_back_at.is_some()
    }

    /// Whether it runs long-running tasks.
    pub(super) fn has_long_running(&self) -> bool {
        self.long_running > 0
    }

    /// Whether nothing runs on it.
    pub(super) fn is_idle(&self) -> bool {
        self.long_running == 0 && self.used_cpu_millis == 0
    }
}

/// Number of evictions that the budgets of steps allow at present, besides those that hosts which
/// are being drained wait for; `None` where no budget applies.
#[derive(Debug, Default)]
pub(super) struct EvictionRoom(BTreeMap<StepId, Option<u32>>);

impl EvictionRoom {
    /// Takes the evictions that a host needs if at least one of them is allowed now; returns whether
    /// the host may be drained.
    pub(super) fn take(&mut self, sched: &Scheduler, host: &HostId) -> bool {
        let tasks = sched.worker_of(host).map(|id| sched.tasks_to_evict(id)).unwrap_or_default();
        let mut is_allowed = |task: &TaskId| self.of_step(sched, task).is_none_or(|room| room > 0);
        if !tasks.is_empty() && !tasks.iter().any(&mut is_allowed) {
            return false;
        }
        tasks.iter().for_each(|task| self.claim(sched, task));
        true
    }

    /// Whether draining a host would make progress: all of its tasks may be evicted now, or one of
    /// them has room elsewhere.
    pub(super) fn promises_progress(&mut self, sched: &Scheduler, host: &HostId) -> bool {
        let Some(worker) = sched.worker_of(host) else { return true };
        let tasks = sched.tasks_to_evict(worker);
        let mut needed: BTreeMap<StepId, u32> = BTreeMap::new();
        tasks.iter().for_each(|task| *needed.entry(task.step_id()).or_default() += 1);
        let mut allowed =
            |task: &TaskId, count: u32| self.of_step(sched, task).is_none_or(|room| room >= count);
        let has_place = |task: &TaskId| sched.has_room_elsewhere(task, worker);
        tasks.iter().all(|task| allowed(task, needed[&task.step_id()]))
            || tasks.iter().any(|task| allowed(task, 1) && has_place(task))
    }

    /// Takes the eviction of one task, if it is allowed.
    fn claim(&mut self, sched: &Scheduler, task: &TaskId) {
        let room = self.of_step(sched, task);
        *room = room.map(|n| n.saturating_sub(1));
    }

    /// The evictions allowed in a task's step, computed once.
    fn of_step(&mut self, sched: &Scheduler, task: &TaskId) -> &mut Option<u32> {
        self.0.entry(task.step_id()).or_insert_with(|| sched.evictions_allowed(task))
    }
}

impl Scheduler {
    /// The evictions that may begin now, besides those that hosts which are being drained wait for.
    pub(super) fn eviction_room(&self) -> EvictionRoom {
        let mut room = EvictionRoom::default();
        let draining = self.waves.values().flat_map(|wave| &wave.record.draining);
        for worker in draining.filter_map(|host| self.worker_of(host)) {
            self.tasks_to_evict(worker).iter().for_each(|task| room.claim(self, task));
        }
        room
    }

    /// Hosts of a wave whose maintenance has not begun, in the order in which they are drained.
    pub(super) fn drain_candidates(&self, wave: &WaveState, short: &[ServiceId]) -> Vec<DrainCandidate> {
        let waiting = self.drainable_hosts(wave);
        let mut waiting: Vec<DrainCandidate> =
            waiting.map(|host| self.drain_candidate(wave, host, short)).collect();
        waiting.sort();
        waiting
    }

    /// Hosts of a wave whose maintenance could begin.
    pub(super) fn drainable_hosts<'a>(&'a self, wave: &'a WaveState) -> impl Iterator<Item = &'a HostId> {
        let can_drain =
            |host: &&HostId| self.hosts.contains_key(*host) && !self.pools.moves.contains_key(*host);
        wave.request.hosts.iter().filter(|host| wave.is_pending(host)).filter(can_drain)
    }

    /// How many more hosts with long-running tasks a wave may drain. Since budgets may hold them up,
    /// one slot is kept for hosts without such tasks while any of those waits. A single slot is theirs
    /// as well: they take the longest, and one that stalls is put back.
    pub(super) fn slots_for_long_running(&self, wave: &WaveState, waiting: &[DrainCandidate]) -> usize {
        let max_down = wave.request.max_down.max(1);
        let others_wait = waiting
            .iter()
            .any(|candidate| !candidate.has_long_running() && !self.in_maintenance(&candidate.host));
        let slots = if others_wait { (max_down - 1).max(1) } else { max_down };
        let taken = wave.record.draining.iter().filter(|host| self.long_running_on(host) > 0).count();
        slots.saturating_sub(taken)
    }

    fn drain_candidate(&self, wave: &WaveState, host: &HostId, short: &[ServiceId]) -> DrainCandidate {
        let worker = self.worker_of(host);
        let long_running = self.long_running_on(host);
        let used = worker.and_then(|id| self.workers.get(id)).map_or(0, |w| w.used_resources.cpu_millis);
        DrainCandidate {
            put_back_at: wave.drain_progress.put_back_at(host),
            without_long_running: long_running == 0,
            in_short_pool: self.hosts.get(host).is_some_and(|host| short.contains(&host.pool)),
            long_running,
            used_cpu_millis: used,
            host: host.clone(),
        }
    }

    /// Whether some other worker has room for a task now. One that needs a ticket may get it later.
    fn has_room_elsewhere(&self, id: &TaskId, worker: &WorkerId) -> bool {
        if self.needs_ticket(&id.step_id()) {
            return true;
        }
        let Some(job) = self.jobs.get(&id.job) else { return false };
        let Some(step) = job.step(id) else { return false };
        let service = &job.spec.service;
        self.choose_worker_except(job, step, id, service, &|other| other == worker).is_some()
    }

    /// Number of long-running tasks on a host.
    pub(super) fn long_running_on(&self, host: &HostId) -> usize {
        self.worker_of(host).map_or(0, |id| self.runs_of_long_running_tasks(id).len())
    }

    /// The worker of a host: the reported one, or else the one in the list of hosts.
    pub(super) fn worker_of(&self, host: &HostId) -> Option<&WorkerId> {
        let listed = || self.hosts.get(host).and_then(|host| host.worker.as_ref());
        self.current_worker_on(host).or_else(listed)
    }
}
