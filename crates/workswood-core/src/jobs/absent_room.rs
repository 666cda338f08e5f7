//! Hosts for long-running tasks that are absent and that no worker of their pool may take.
//!
//! The need of a pool counts all of its hosts as room, also those whose workers don't answer, have gone or drain.
//! So each planning pass looks for a place for every task that has been absent for a while: on a
//! worker that takes starts, by its room and by the limit of tasks of the step per worker, or on a host that is
//! on its way. Idle hosts that are found are kept in the pool. A task without a place gets a free host of another
//! pool, whatever that pool keeps beyond its present need, so that the host is there by the time at which no run
//! of the task can exist any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::host::{Host, HostState};
use super::job::{Run, Task};
use super::placement::{count_same_step, is_same_step};
use super::pool_count::{PoolCount, is_up_or_moving};
use super::scheduler::Scheduler;
use super::spec::{Resources, StepSpec, TaskId};
use super::worker::Worker;
use crate::ids::{HostId, ServiceId};

/// Time without a known run after which a task is provided with a place. Most silences are shorter.
const PROVIDE_AFTER: Duration = Duration::from_secs(1);
/// How long a host counts as on its way after it was last seen moving: until its worker is listed and has
/// answered.
const ARRIVAL_TIME: Duration = Duration::from_millis(2500);
/// Most tasks of a service that one pass looks for places for.
const MAX_TASKS: usize = 64;
/// Moves for absent tasks may begin while fewer than this multiple of the moves allowed otherwise are under way.
const MOVES_FACTOR: f64 = 2.0;

/// A place for long-running tasks: a worker, or a host that is on its way.
struct Place<'a> {
    host: &'a HostId,
    labels: &'a [String],
    free: Resources,
    worker: Option<&'a Worker>,
    /// Tasks that are to start there.
    tasks: Vec<TaskId>,
}

impl<'a> Place<'a> {
    /// The place that a worker is.
    fn on_worker(w: &'a Worker) -> Option<Place<'a>> {
        let info = w.info.as_ref()?;
        let free = w.free_resources();
        Some(Place { host: &info.host, labels: &info.labels, free, worker: Some(w), tasks: Vec::new() })
    }

    /// The place that an empty host will be.
    fn on_host(host: &'a Host) -> Place<'a> {
        Place { host: &host.name, labels: &host.labels, free: host.capacity, worker: None, tasks: Vec::new() }
    }

    /// Takes a task, if its label, its resources and the limit of its step allow it.
    fn take(&mut self, step: &StepSpec, id: &TaskId) -> bool {
        let needed = step.reserved_resources();
        let fits = self.free.contains(&needed) && step.allows_labels(self.labels);
        let takes = fits && self.is_within_limit(step, id);
        if takes {
            self.free = self.free.saturating_sub(&needed);
            self.tasks.push(*id);
        }
        takes
    }

    /// Whether one more task of the step may be there.
    fn is_within_limit(&self, step: &StepSpec, id: &TaskId) -> bool {
        if step.max_per_worker == 0 {
            return true;
        }
        let running = self.worker.map_or(0, |w| count_same_step(w, id));
        let to_start = self.tasks.iter().filter(|t| is_same_step(t, id)).count();
        running + to_start < step.max_per_worker as usize
    }

    /// Whether the host would be free, were it not for these tasks.
    fn is_kept(&self) -> bool {
        !self.tasks.is_empty() && self.worker.is_some_and(|w| w.runs.is_empty())
    }
}

/// What the absent tasks of one service need.
#[derive(Default)]
struct Provision {
    /// Idle hosts of the pool on which some are to start.
    kept: BTreeSet<HostId>,
    /// Tasks without a place.
    unplaced: Vec<TaskId>,
}

impl Scheduler {
    /// Keeps idle hosts for absent long-running tasks, and begins moves of hosts to their pools for those that
    /// have no place.
    pub(super) fn provide_for_absent_tasks(&mut self, spare: &ServiceId, count: &mut PoolCount) {
        self.note_arriving_hosts();
        let mut unplaced: BTreeMap<ServiceId, Vec<TaskId>> = BTreeMap::new();
        for (service, tasks) in self.absent_tasks_by_service(spare) {
            let provision = self.find_places(&service, &tasks);
            count.keep_hosts(self, &service, &provision.kept);
            unplaced.insert(service, provision.unplaced);
        }
        for (service, tasks) in &unplaced {
            self.move_hosts_for(service, tasks, spare, count);
        }
        self.pools.short_for_absent = unplaced.into_iter().map(|(service, t)| (service, t.len())).collect();
    }

    /// Remembers the hosts that are on their way to a pool.
    fn note_arriving_hosts(&mut self) {
        let now = self.now;
        let moving = self.hosts.values().filter(|host| host.state == HostState::Moving);
        let moving: Vec<HostId> =
            moving.map(|host| &host.name).chain(self.pools.moves.keys()).cloned().collect();
        self.pools.arriving.retain(|_, seen| *seen + ARRIVAL_TIME > now);
        self.pools.arriving.extend(moving.into_iter().map(|host| (host, now)));
    }

    /// Long-running tasks that have been absent for a while and need a worker now or soon, by service.
    fn absent_tasks_by_service(&self, spare: &ServiceId) -> BTreeMap<ServiceId, Vec<TaskId>> {
        let mut by_service: BTreeMap<ServiceId, Vec<TaskId>> = BTreeMap::new();
        for id in self.absent_tasks.absent_for(PROVIDE_AFTER, self.now).filter(|id| self.needs_place(id)) {
            let Some(job) = self.jobs.get(&id.job) else { continue };
            let tasks = by_service.entry(job.spec.service.clone()).or_default();
            if job.spec.service != *spare && tasks.len() < MAX_TASKS {
                tasks.push(*id);
            }
        }
        by_service
    }

    /// Whether an absent task needs a worker: it may start, or will once a worker that doesn't answer is given up.
    fn needs_place(&self, id: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        let (Some(step), Some(task)) = (job.step(id), job.task(id)) else { return false };
        // The pool may have no host that the adviser admits.
        if task.given_up || self.needs_ticket(&id.step_id()) {
            return false;
        }
        let held = job.spec.reservation(step);
        match task.runs.last() {
            Some(_) => self.is_on_silent_workers(task),
            None => self.is_within_limit(held.owner, &held.charged),
        }
    }

    /// Whether no worker with a run of a task answers. One that has not been polled yet, since the holder or the
    /// relay has changed, is not known to be silent.
    fn is_on_silent_workers(&self, task: &Task) -> bool {
        let is_silent = |w: &Worker| !w.reachable && w.extensions.unanswered > 0;
        task.runs.iter().all(|run: &Run| self.workers.get(&run.worker).is_none_or(is_silent))
    }

    /// Finds places for tasks among the workers of a service that take starts, busy ones first, and the hosts on
    /// their way.
    fn find_places(&self, service: &ServiceId, tasks: &[TaskId]) -> Provision {
        let mut places: Vec<Place> =
            self.workers.available(service, 0).filter_map(|(_, w)| Place::on_worker(w)).collect();
        places.extend(self.new_workers_of(service).filter_map(Place::on_worker));
        let present: BTreeSet<&HostId> = places.iter().map(|place| place.host).collect();
        let arriving = self.hosts_arriving_at(service).filter(|host| !present.contains(&host.name));
        places.extend(arriving.map(Place::on_host));
        places.sort_by_key(|place| place.worker.is_none_or(|w| w.runs.is_empty()));
        let mut provision = Provision::default();
        for id in tasks {
            let Some(step) = self.jobs.get(&id.job).and_then(|job| job.step(id)) else { continue };
            if !places.iter_mut().any(|place| place.take(step, id)) {
                provision.unplaced.push(*id);
            }
        }
        provision.kept =
            places.iter().filter(|place| place.is_kept()).map(|place| place.host.clone()).collect();
        provision
    }

    /// Workers of a service of which this holder has learned not long ago, and which have not been polled yet.
    fn new_workers_of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Worker> {
        let takes_starts = |w: &&Worker| {
            let Some(info) = &w.info else { return false };
            w.listed && info.service == *service && !info.draining && !w.cordoned && !w.evacuated
        };
        let is_new = |w: &&Worker| {
            let unheard = !w.reachable && w.extensions.unanswered == 0;
            unheard && w.known_since + ARRIVAL_TIME > self.now
        };
        self.workers.values().filter(is_new).filter(takes_starts)
    }

    /// Hosts that are on their way to the pool of a service.
    fn hosts_arriving_at<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Host> {
        let arriving = self.pools.arriving.keys().filter_map(|name| self.hosts.get(name));
        let comes_here = move |host: &&Host| {
            let to = self.pools.moves.get(&host.name).map_or(&host.pool, |pool_move| &pool_move.to);
            to == service && is_up_or_moving(host) && !self.is_evacuated(host)
        };
        arriving.filter(comes_here)
    }

    /// Begins moves of free hosts to a pool, as many as these tasks need.
    fn move_hosts_for(
        &mut self,
        service: &ServiceId,
        tasks: &[TaskId],
        spare: &ServiceId,
        count: &mut PoolCount,
    ) {
        // What was taken of the capacity of each host.
        let mut hosts: Vec<(HostId, Vec<TaskId>)> = Vec::new();
        for id in tasks {
            if self.joins_other_task(&mut hosts, id) {
                continue;
            }
            let moving = self.pools.moves.len() as f64;
            if moving >= MOVES_FACTOR * self.max_moves(false) {
                return;
            }
            let Some(host) = self.free_host_for(id, service, spare, count) else { continue };
            let absent_ms =
                self.absent_tasks.absent_since(id).map_or(0, |since| (self.now - since).as_millis());
            self.notes.push(format_args!(
                "event=host_for_absent_task machine={host} service={service} task={id} absent_ms={absent_ms}"
            ));
            self.pools.arriving.insert(host.clone(), self.now);
            self.begin_free_host_move(host.clone(), service, count);
            hosts.push((host, vec![*id]));
        }
    }

    /// Whether a host that is moved for other tasks takes this one too.
    fn joins_other_task(&self, hosts: &mut [(HostId, Vec<TaskId>)], id: &TaskId) -> bool {
        let joins = hosts.iter_mut().find(|(name, tasks)| {
            let Some(host) = self.hosts.get(name) else { return false };
            let mut place = Place::on_host(host);
            let all = tasks.iter().chain([id]);
            all.filter_map(|t| Some((t, self.jobs.get(&t.job)?.step(t)?)))
                .all(|(t, step)| place.take(step, t))
        });
        let found = joins.is_some();
        joins.into_iter().for_each(|(_, tasks)| tasks.push(*id));
        found
    }

    /// A free host that takes a task: one that is turned off, one of a pool with a surplus, or else one
    /// beyond the present need of its pool.
    fn free_host_for(
        &self,
        id: &TaskId,
        to: &ServiceId,
        spare: &ServiceId,
        count: &mut PoolCount,
    ) -> Option<HostId> {
        let others: Vec<ServiceId> = self.active_services().into_iter().filter(|s| s != to).collect();
        let with_surplus = others.iter().filter(|s| self.has_surplus(count, s));
        let with_some_left = others.iter().filter(|s| self.exceeds_need(count, s));
        let donors: Vec<&ServiceId> =
            std::iter::once(spare).chain(with_surplus).chain(with_some_left).collect();
        donors.into_iter().find_map(|from| self.suitable_host(id, from, to, count))
    }

    /// The first free host of a pool, by name, that takes a task and whose move to `to` was not reported
    /// impossible.
    fn suitable_host(
        &self,
        id: &TaskId,
        from: &ServiceId,
        to: &ServiceId,
        count: &mut PoolCount,
    ) -> Option<HostId> {
        let step = self.jobs.get(&id.job)?.step(id)?;
        let suits = |name: &&HostId| {
            let possible = !self.pools.impossible_moves.contains(&((*name).clone(), to.clone()));
            possible && self.hosts.get(*name).is_some_and(|host| Place::on_host(host).take(step, id))
        };
        count.free(self).get(from)?.keys().find(suits).cloned()
    }
}
