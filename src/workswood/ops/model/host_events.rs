//! Reactions of hosts and workers to the events of a simulation.

use rand::Rng;
use workswood_core::ids::HostId;
use workswood_core::invariant;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    EndKind, Event, HostReply, HostState, StartReply, StopReply, TaskId, WorkerUpdate,
};

use super::event_queue::{HostOrder, ModelEvent};
use super::model_host::{ModelHost, ModelRun};
use super::parameters::{
    CRASH_DELAY, EVACUATION_GRACE, HOST_LIST_INTERVAL, LATE_REPORT_DELAY, MAINTENANCE_TIME, MESSAGE_DELAY,
    MOVE_TIME, POLL_INTERVAL, SPARE_POOL, WARM_UP_TIME,
};
use super::simulation::Simulation;

impl Simulation<'_> {
    pub(super) fn make_hosts(&mut self) {
        let pools = self.spec.services.iter().map(|s| (s.name.clone(), s.hosts));
        let pools = pools.chain([(SPARE_POOL.to_string(), self.spec.spare)]);
        for pool in pools.flat_map(|(name, count)| std::iter::repeat_n(name, count)) {
            self.hosts.push(ModelHost::new(self.hosts.len(), pool));
        }
    }

    fn host_capacity(&self) -> Resources {
        Resources { cpu_millis: self.spec.cpu_millis, mem_mb: self.spec.mem_mb, gpus: 0 }
    }

    /// Returns the index of the host on which an incarnation of a worker runs, if it still does.
    pub(super) fn host_of(&self, worker: &WorkerId) -> Option<usize> {
        let number = worker.split('-').nth(1)?.parse::<usize>().ok()?;
        let host = self.hosts.get(number)?;
        (host.worker() == worker && host.serves()).then_some(number)
    }

    /// Registers the worker of a host with the scheduler, which polls it from then on.
    pub(super) fn register_worker(&mut self, n: usize) {
        let info = self.hosts[n].worker_info(self.host_capacity());
        self.send_event(Event::WorkerListed(info));
    }

    pub(super) fn list_hosts(&mut self) {
        let capacity = self.host_capacity();
        let list = self.hosts.iter().map(|host| host.list_entry(capacity)).collect();
        self.send_event(Event::HostsListed(list, self.now));
        self.schedule_after(HOST_LIST_INTERVAL, ModelEvent::ListHosts);
    }

    pub(super) fn host_up(&mut self, n: usize) {
        self.hosts[n].state = HostState::Up;
        if self.hosts[n].serves() {
            self.register_worker(n);
        }
    }

    pub(super) fn poll_worker(&mut self, n: usize, worker: WorkerId, repeat: bool) {
        if self.host_of(&worker) != Some(n) {
            return;
        }
        let report = self.hosts[n].report(self.now);
        self.send_worker_update(worker.clone(), WorkerUpdate::Reported(report));
        if repeat && self.scheduler.is_some() {
            self.schedule_after(POLL_INTERVAL, ModelEvent::PollWorker(n, worker, true));
        }
    }

    pub(super) fn start_reaches_worker(&mut self, worker: WorkerId, task: TaskId, attempt: u32) {
        let reply = match self.host_of(&worker) {
            Some(n) => {
                self.start_task(n, worker.clone(), task, attempt);
                StartReply::Taken
            }
            None => StartReply::NotSent,
        };
        let now = self.now;
        if let Some(n) = self.host_of(&worker) {
            self.hosts[n].run_tracker.start_answered(task, attempt, reply, now);
        }
        self.send_worker_update(worker, WorkerUpdate::Started(task, attempt, reply));
    }

    /// Checks that no task decided after the evacuation of a data centre starts there.
    fn check_evacuation(&self, n: usize, task: &TaskId) {
        let evacuated_at = self.evacuated.get(&self.hosts[n].data_centre());
        let late = evacuated_at.is_some_and(|at| self.now > *at + EVACUATION_GRACE);
        invariant::check(!late, || format!("{task} begins in an evacuated data centre"));
    }

    /// Starts a task on a host and schedules its end, or the crash of its worker.
    fn start_task(&mut self, n: usize, worker: WorkerId, task: TaskId, attempt: u32) {
        self.check_evacuation(n, &task);
        // Job keys are one-based indexes into `jobs`.
        let job = &self.jobs[task.job.number as usize - 1];
        let step = usize::from(task.step);
        let step_spec = &job.spec.steps[step];
        let ends_after = job.step_durations[step];
        let duration = if step_spec.long_running { WARM_UP_TIME } else { ends_after };
        let run =
            ModelRun { attempt, cpu_millis: step_spec.resources.cpu_millis, started_at: self.now, duration };
        if job.crashes_workers && task.step == 0 && task.index == 0 {
            self.schedule_after(CRASH_DELAY, ModelEvent::WorkerCrashes(n, worker.clone()));
        }
        self.hosts[n].start_task(task, run);
        self.schedule_after(ends_after, ModelEvent::TaskEnds(worker, task, attempt));
    }

    pub(super) fn end_task(&mut self, worker: WorkerId, task: TaskId, attempt: u32, kind: EndKind) {
        let Some(n) = self.host_of(&worker) else { return };
        if !self.hosts[n].end_task(task, attempt, kind) {
            return;
        }
        let late = self.fault_rng.random::<f64>() < self.late_report_share;
        let delay = if late { MESSAGE_DELAY + LATE_REPORT_DELAY } else { MESSAGE_DELAY };
        self.schedule_after(delay, ModelEvent::PollWorker(n, worker, false));
    }

    pub(super) fn stop_reaches_worker(&mut self, worker: WorkerId, task: TaskId, attempt: u32) {
        self.end_task(worker.clone(), task, attempt, EndKind::Stopped);
        let now = self.now;
        if let Some(n) = self.host_of(&worker) {
            self.hosts[n].run_tracker.stop_accepted(task, attempt, now);
        }
        self.send_worker_update(worker, WorkerUpdate::Stopped(task, attempt, StopReply::Taken));
    }

    pub(super) fn order_reaches_host(&mut self, host: HostId, order: HostOrder) {
        let Some(n) = self.hosts.iter().position(|h| *h.name() == host) else { return };
        if self.hosts[n].state != HostState::Up {
            self.send_event(Event::HostOrderAnswered(host, HostReply::Busy));
            return;
        }
        let (state, duration) = match &order {
            HostOrder::Move(_) => (HostState::Moving, MOVE_TIME),
            HostOrder::Maintain => (HostState::Upkeep, MAINTENANCE_TIME),
        };
        self.hosts[n].end_incarnation(state);
        if let HostOrder::Move(pool) = order {
            self.hosts[n].pool = pool;
            self.host_moves += 1;
        }
        self.schedule_after(duration, ModelEvent::HostUp(n));
        self.send_event(Event::HostOrderAnswered(host, HostReply::Done));
    }
}
