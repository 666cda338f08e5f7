//! A scheduler with hosts and their workers, driven event by event.
//!
//! A test passes host lists, worker reports and ticks to the real [`Scheduler`] at times of its
//! choice and checks the resulting actions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    Action, EndKind, Event, Host, HostState, Limits, Listing, Record, ReportedEnd, ReportedRun, RunTracker,
    Scheduler, ServiceConfig, StartReply, TaskId, Wave, WorkerInfo, WorkerUpdate,
};

use crate::job_world::{SERVICE, config};

/// Name of a service whose hosts are spare.
pub const SPARE: &str = "spare";
/// Name of a second service whose hosts are in use.
pub const OTHER: &str = "other-desk";

/// A scheduler and its recorded actions.
pub struct HostWorld {
    /// The scheduler.
    pub sched: Scheduler,
    /// All actions that ticks returned.
    pub actions: Vec<Action>,
    /// Hosts with a stored mark of a recent order.
    pub ordered: Vec<String>,
    /// Reported runs of each watched worker, and when it last answered.
    watched: BTreeMap<WorkerId, (RunTracker, Duration)>,
}

/// Time without an answer after which a worker's probe is reported as late.
const PROBE_LATE_AFTER: Duration = Duration::from_millis(1100);

/// Time from a worker's last answer until the lease may end that it has confirmed: a lease on a clock that runs fast,
/// less the time of a poll and the age of the reading of the clock.
pub const CONFIRMED_LEASE: Duration = Duration::from_millis(4900 - 1200);

/// Returns the capacity of each host and its worker.
fn capacity() -> Resources {
    Resources { cpu_millis: 4000, mem_mb: 8000, gpus: 0 }
}

/// Returns limits with which a new holder sends host orders without delay.
pub fn limits() -> Limits {
    Limits {
        lease: Duration::from_secs(5),
        max_lease: Duration::from_secs(10),
        extension_grace: Duration::from_secs(4),
        clock_drift: 0.02,
        host_order_delay: Duration::ZERO,
        host_orders_per_s: 64.0,
        ended_job_retention: Duration::from_secs(60),
        round_lead_time: Duration::ZERO,
    }
}

/// Returns the description of a life of the worker on host `m-n`.
pub fn worker(n: usize, life: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w-{n}-{life}").as_str().into(),
        service: SERVICE.to_string(),
        address: format!("10.0.0.{n}:80"),
        data_centre: "north".to_string(),
        host: format!("m-{n}"),
        capacity: capacity(),
        labels: Vec::new(),
        draining: false,
    }
}

/// Returns host `m-n`, up in a pool, with the given life of its worker.
pub fn host(n: usize, pool: &str, life: Option<usize>) -> Host {
    Host {
        name: format!("m-{n}"),
        pool: pool.to_string(),
        state: HostState::Up,
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: capacity(),
        worker: life.map(|l| worker(n, l).id),
    }
}

/// Returns the listing entry of a run that a worker was told to start.
pub fn listed(start: &Action) -> Option<ReportedRun> {
    let Action::Start { task, attempt, .. } = start else { return None };
    Some(ReportedRun {
        task: *task,
        attempt: *attempt,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
        stalled_for: Duration::ZERO,
    })
}

/// The runs of the first worker of a [`HostWorld`], which end when the test says so.
#[derive(Clone, Debug, Default)]
pub struct WorkerRuns {
    running: Vec<Action>,
    ended: u64,
}

impl WorkerRuns {
    /// Takes the starts among these actions; returns the task and the attempt of each.
    pub fn start(&mut self, world: &mut HostWorld, actions: Vec<Action>) -> Vec<(TaskId, u32)> {
        let mut started = Vec::new();
        for action in actions {
            let Action::Start { worker, task, attempt, .. } = &action else { continue };
            world.taken(worker, *task, *attempt);
            started.push((*task, *attempt));
            self.running.push(action);
        }
        started
    }

    /// The run that was started first.
    pub fn first(&self) -> Option<(TaskId, u32)> {
        self.running.iter().find_map(listed).map(|run| (run.task, run.attempt))
    }

    /// Has the worker tell that a run is done, which it may tell again later.
    pub fn complete(&mut self, world: &mut HostWorld, task: TaskId, attempt: u32) {
        self.running
            .retain(|start| listed(start).is_none_or(|run| (run.task, run.attempt) != (task, attempt)));
        self.ended += 1;
        let (sequence_number, kind) = (self.ended, EndKind::Done);
        let end = ReportedEnd { sequence_number, task, attempt, kind, checkpoint: String::new() };
        self.report(world, vec![end]);
    }

    /// Has the worker answer a poll.
    pub fn report(&self, world: &mut HostWorld, ended: Vec<ReportedEnd>) {
        let running = self.running.iter().filter_map(listed).collect();
        world.answers(&worker(0, 0).id, Listing { running, ended, ..Listing::default() });
    }
}

impl HostWorld {
    /// Creates a scheduler with this many workers, each idle in its first life.
    pub fn new(workers: usize) -> HostWorld {
        let mut cfg = config();
        let spare = ServiceConfig { name: SPARE.to_string(), enforces_capacity: true, spare: true };
        cfg.services.insert(SPARE.to_string(), spare);
        let other = ServiceConfig { name: OTHER.to_string(), enforces_capacity: true, spare: false };
        cfg.services.insert(OTHER.to_string(), other);
        let mut world = HostWorld {
            sched: Scheduler::new(1, limits(), Duration::ZERO, 0),
            actions: Vec::new(),
            ordered: Vec::new(),
            watched: BTreeMap::new(),
        };
        world.sched.handle(Event::ConfigChanged(Arc::new(cfg)));
        for n in 0..workers {
            world.sched.handle(Event::WorkerListed(worker(n, 0)));
            world.report(n, 0, &[]);
        }
        world
    }

    /// Sets the time in milliseconds, and reports late probes of workers that have not answered.
    pub fn at(&mut self, ms: u64) {
        self.sched.now = Duration::from_millis(ms);
        self.sched.wall = ms;
        let now = self.sched.now;
        let own = self.sched.holder.clone();
        self.sched.handle(Event::RelayHeard(own));
        let late = self.watched.iter().filter(|(_, (_, last_answer))| *last_answer + PROBE_LATE_AFTER < now);
        let late: Vec<WorkerId> = late.map(|(id, _)| id.clone()).collect();
        late.into_iter().for_each(|id| self.tells(&id, WorkerUpdate::ProbeLate));
    }

    /// Resets the run trackers, so that the next reports contain all runs.
    pub fn attend_anew(&mut self) {
        self.watched.values_mut().for_each(|(runs, _)| *runs = RunTracker::default());
    }

    /// Passes an update of a worker to the scheduler, as a relay does that has extended the lease with each poll.
    pub fn tells(&mut self, id: &WorkerId, update: WorkerUpdate) {
        if let WorkerUpdate::Unanswered { heard, .. } = &update
            && !heard.is_zero()
        {
            self.tells_only(id, WorkerUpdate::LeaseConfirmed(*heard + CONFIRMED_LEASE));
        }
        self.tells_only(id, update);
    }

    /// Passes an update of a worker to the scheduler, and nothing else.
    pub fn tells_only(&mut self, id: &WorkerId, update: WorkerUpdate) {
        let token = self.sched.token_of(id).unwrap_or(0);
        self.sched.handle(Event::WorkerUpdate(id.clone(), token, update));
    }

    /// Reports that a worker did not answer, as its relay does, which then waits for an order.
    pub fn tells_silence(&mut self, id: &WorkerId, lease_end: Duration, heard: Duration) {
        self.tells(id, WorkerUpdate::Unanswered { lease_end, heard });
        self.tells(id, WorkerUpdate::AwaitsOrder);
    }

    /// Reports that a worker accepted a start.
    pub fn taken(&mut self, id: &WorkerId, task: TaskId, attempt: u32) {
        let now = self.sched.now;
        let (runs, _) = self.watched.entry(id.clone()).or_default();
        runs.start_answered(task, attempt, StartReply::Taken, now);
        self.tells(id, WorkerUpdate::Started(task, attempt, StartReply::Taken));
    }

    /// Reports a worker's listing as the answer to a probe that is sent now.
    pub fn answers(&mut self, id: &WorkerId, listing: Listing) {
        for action in self.sched.assign_relays() {
            if let Action::StartPolling { info, .. } = action {
                self.watched.insert(info.id, (RunTracker::default(), self.sched.now));
            }
        }
        let now = self.sched.now;
        let (runs, last_answer) = self.watched.entry(id.clone()).or_default();
        *last_answer = now;
        let report = runs.diff_listing(listing, now, now);
        self.tells(id, WorkerUpdate::Reported(report));
    }

    /// Reports a worker's listing with the runs that it was told to start.
    pub fn report(&mut self, n: usize, life: usize, runs: &[Action]) {
        let running = runs.iter().filter_map(listed).collect();
        self.answers(&worker(n, life).id, Listing { running, ..Listing::default() });
    }

    /// Returns a worker's listing of the runs started on it, without tasks that have ended.
    pub fn listing(&self, id: &WorkerId, started: &[Action], ended: &[TaskId]) -> Listing {
        let here = started.iter().filter(|a| matches!(a, Action::Start { worker, .. } if worker == id));
        let running = here.filter_map(listed).filter(|r| !ended.contains(&r.task)).collect();
        Listing { running, ..Listing::default() }
    }

    /// Ticks once; returns the scheduler's actions.
    pub fn tick(&mut self) -> Vec<Action> {
        self.sched.handle(Event::Tick);
        let batch = self.sched.take_batch();
        for rec in &batch.records {
            match rec {
                Record::HostOrderMark(host, Some(_)) => self.ordered.push(host.clone()),
                Record::HostOrderMark(host, None) => self.ordered.retain(|m| m != host),
                _ => {}
            }
        }
        self.actions.extend(batch.actions.clone());
        batch.actions
    }

    /// Passes a list of hosts that was requested and received now.
    pub fn list(&mut self, hosts: Vec<Host>) {
        let now = self.sched.now;
        self.sched.handle(Event::HostsListed(hosts, now));
    }
}

/// Returns the hosts that are ordered into maintenance.
pub fn upkeeps(actions: &[Action]) -> Vec<String> {
    let name = |a: &Action| match a {
        Action::MaintainHost(m, _) => Some(m.clone()),
        _ => None,
    };
    actions.iter().filter_map(name).collect()
}

/// Returns the hosts that are ordered to move, each with its new pool.
pub fn moves(actions: &[Action]) -> Vec<(String, String)> {
    let of = |a: &Action| match a {
        Action::MoveHost(m, pool) => Some((m.clone(), pool.clone())),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Returns wave 1 of the hosts with these numbers, with 20 s for all of them.
pub fn wave(hosts: &[usize], max_down: usize) -> Wave {
    let hosts = hosts.iter().map(|n| format!("m-{n}")).collect();
    Wave { number: 1, hosts, time_allowed: Duration::from_secs(20), max_down }
}
