//! What hosts and their workers do in a run.

use rand::Rng;
use workswood_core::ids::HostId;
use workswood_core::invariant;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    EndKind, Event, HostReply, HostState, StartReply, StopReply, TaskId, WorkerUpdate,
};

use super::event_queue::{Happening, Order};
use super::model_host::{ModelHost, ModelRun};
use super::parameters::{
    CRASH_AFTER, EVACUATED_WITHIN, LATE_REPORT, LIST, LOOK, MOVE, SPARE, UPKEEP, WARM_UP, WAY,
};
use super::simulation::World;

impl World<'_> {
    pub(super) fn make_hosts(&mut self) {
        let pools = self.spec.services.iter().map(|s| (s.name.clone(), s.hosts));
        let pools = pools.chain([(SPARE.to_string(), self.spec.spare)]);
        for pool in pools.flat_map(|(name, count)| std::iter::repeat_n(name, count)) {
            self.hosts.push(ModelHost::new(self.hosts.len(), pool));
        }
    }

    fn room(&self) -> Resources {
        Resources { cpu_millis: self.spec.cpu_millis, mem_mb: self.spec.mem_mb, gpus: 0 }
    }

    /// The host on which a life of a worker runs, if it still does.
    pub(super) fn host_of(&self, worker: &WorkerId) -> Option<usize> {
        let number = worker.split('-').nth(1)?.parse::<usize>().ok()?;
        let m = self.hosts.get(number)?;
        (m.worker() == worker && m.serves()).then_some(number)
    }

    /// A worker that is up is listed, and looked at from then on.
    pub(super) fn list_worker(&mut self, n: usize) {
        let info = self.hosts[n].info(self.room());
        self.tell(Event::WorkerListed(info));
    }

    pub(super) fn list(&mut self) {
        let room = self.room();
        let list = self.hosts.iter().map(|m| m.listed(room)).collect();
        self.tell(Event::HostsListed(list, self.now));
        self.after(LIST, Happening::List);
    }

    pub(super) fn arrives(&mut self, n: usize) {
        self.hosts[n].state = HostState::Up;
        if self.hosts[n].serves() {
            self.list_worker(n);
        }
    }

    pub(super) fn look(&mut self, n: usize, worker: WorkerId, again: bool) {
        if self.host_of(&worker) != Some(n) {
            return;
        }
        let report = self.hosts[n].report(self.now);
        self.tell_of(worker.clone(), WorkerUpdate::Reported(report));
        if again && self.sched.is_some() {
            self.after(LOOK, Happening::Look(n, worker, true));
        }
    }

    pub(super) fn starts(&mut self, worker: WorkerId, task: TaskId, attempt: u32) {
        let reply = match self.host_of(&worker) {
            Some(n) => {
                self.run(n, worker.clone(), task, attempt);
                StartReply::Taken
            }
            None => StartReply::NotSent,
        };
        let now = self.now;
        if let Some(n) = self.host_of(&worker) {
            self.hosts[n].follow.start_answered(task, attempt, reply, now);
        }
        self.tell_of(worker, WorkerUpdate::Started(task, attempt, reply));
    }

    /// Nothing that was decided after a data centre was evacuated begins there.
    fn check_evacuated(&self, n: usize, task: &TaskId) {
        let since = self.evacuated.get(&self.hosts[n].data_centre());
        let late = since.is_some_and(|at| self.now > *at + EVACUATED_WITHIN);
        invariant::check(!late, || format!("{task} begins in an evacuated data centre"));
    }

    /// A task runs on a host, and ends when it really does.
    fn run(&mut self, n: usize, worker: WorkerId, task: TaskId, attempt: u32) {
        self.check_evacuated(n, &task);
        // Jobs are numbered from 1 on, in the order in which they are kept.
        let job = &self.jobs[task.job as usize - 1];
        let step = usize::from(task.step);
        let asked = &job.spec.steps[step];
        let ends_after = job.step_durations[step];
        let takes = if asked.long_running { WARM_UP } else { ends_after };
        let run = ModelRun { attempt, cpu_millis: asked.resources.cpu_millis, since: self.now, takes };
        if job.crashes_workers && task.step == 0 && task.index == 0 {
            self.after(CRASH_AFTER, Happening::Crashes(n, worker.clone()));
        }
        self.hosts[n].begin_task(task, run);
        self.after(ends_after, Happening::Ends(worker, task, attempt));
    }

    pub(super) fn ends(&mut self, worker: WorkerId, task: TaskId, attempt: u32, kind: EndKind) {
        let Some(n) = self.host_of(&worker) else { return };
        if !self.hosts[n].end_task(task, attempt, kind) {
            return;
        }
        let late = self.luck.random::<f64>() < self.late_reports;
        let wait = if late { WAY + LATE_REPORT } else { WAY };
        self.after(wait, Happening::Look(n, worker, false));
    }

    pub(super) fn stops(&mut self, worker: WorkerId, task: TaskId, attempt: u32) {
        self.ends(worker.clone(), task, attempt, EndKind::Stopped);
        let now = self.now;
        if let Some(n) = self.host_of(&worker) {
            self.hosts[n].follow.stop_accepted(task, attempt, now);
        }
        self.tell_of(worker, WorkerUpdate::Stopped(task, attempt, StopReply::Taken));
    }

    pub(super) fn ordered(&mut self, host: HostId, order: Order) {
        let Some(n) = self.hosts.iter().position(|m| *m.name() == host) else { return };
        if self.hosts[n].state != HostState::Up {
            self.tell(Event::HostOrderAnswered(host, HostReply::Busy));
            return;
        }
        let (state, takes) = match &order {
            Order::Move(_) => (HostState::Moving, MOVE),
            Order::Upkeep => (HostState::Upkeep, UPKEEP),
        };
        self.hosts[n].end_life(state);
        if let Order::Move(pool) = order {
            self.hosts[n].pool = pool;
            self.moves += 1;
        }
        self.after(takes, Happening::Arrives(n));
        self.tell(Event::HostOrderAnswered(host, HostReply::Done));
    }
}
