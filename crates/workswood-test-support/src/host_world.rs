//! A scheduler with hosts and their workers, event by event.
//!
//! The real [`Scheduler`] decides; a test hands it lists, reports and ticks at
//! times of its choice, and looks at the orders to hosts that come out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    Action, Event, Host, HostState, Limits, Listing, Record, ReportedRun, RunTracker, Scheduler,
    ServiceConfig, StartReply, TaskId, Wave, WorkerInfo, WorkerUpdate,
};

use crate::job_world::{SERVICE, config};

/// Service whose hosts are off.
pub const SPARE: &str = "spare";
/// A second service whose hosts are on.
pub const OTHER: &str = "other-desk";

/// A scheduler, and what came out of it.
pub struct HostWorld {
    /// The scheduler.
    pub sched: Scheduler,
    /// All actions that ticks told.
    pub actions: Vec<Action>,
    /// Hosts on record as ordered about lately.
    pub ordered: Vec<String>,
    /// What whoever attends a worker has told of it, and when it last answered.
    attended: BTreeMap<WorkerId, (RunTracker, Duration)>,
}

/// An answer to a look is late after this time; that is told.
const LATE: Duration = Duration::from_millis(1100);

/// Room of each host and its worker.
fn room() -> Resources {
    Resources { cpu_millis: 4000, mem_mb: 8000, gpus: 0 }
}

/// Limits with which a new holder waits for no host.
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

/// A life of the worker on host `m-n`.
pub fn worker(n: usize, life: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w-{n}-{life}").as_str().into(),
        service: SERVICE.to_string(),
        address: format!("10.0.0.{n}:80"),
        data_centre: "north".to_string(),
        host: format!("m-{n}"),
        capacity: room(),
        labels: Vec::new(),
        draining: false,
    }
}

/// Host `m-n`, up in a pool, with a life of its worker if it has one.
pub fn host(n: usize, pool: &str, life: Option<usize>) -> Host {
    Host {
        name: format!("m-{n}"),
        pool: pool.to_string(),
        state: HostState::Up,
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: room(),
        worker: life.map(|l| worker(n, l).id),
    }
}

/// How a worker lists a run that it was told to start.
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

impl HostWorld {
    /// A scheduler that knows this many workers, each idle in its first life.
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
            attended: BTreeMap::new(),
        };
        world.sched.handle(Event::ConfigChanged(Arc::new(cfg)));
        for n in 0..workers {
            world.sched.handle(Event::WorkerListed(worker(n, 0)));
            world.report(n, 0, &[]);
        }
        world
    }

    /// Sets the time, in milliseconds. Of workers that have not answered for long it is
    /// told that they are late.
    pub fn at(&mut self, ms: u64) {
        self.sched.now = Duration::from_millis(ms);
        self.sched.wall = ms;
        let now = self.sched.now;
        let own = self.sched.holder.clone();
        self.sched.handle(Event::RelayHeard(own));
        let late = self.attended.iter().filter(|(_, (_, heard))| *heard + LATE < now);
        let late: Vec<WorkerId> = late.map(|(id, _)| id.clone()).collect();
        late.into_iter().for_each(|id| self.tells(&id, WorkerUpdate::ProbeLate));
    }

    /// The workers are attended from now on: their next answers list all.
    pub fn attend_anew(&mut self) {
        self.attended.values_mut().for_each(|(follow, _)| *follow = RunTracker::default());
    }

    /// Whoever attends a worker tells something of it.
    pub fn tells(&mut self, id: &WorkerId, news: WorkerUpdate) {
        let token = self.sched.token_of(id).unwrap_or(0);
        self.sched.handle(Event::WorkerUpdate(id.clone(), token, news));
    }

    /// A worker took a start.
    pub fn taken(&mut self, id: &WorkerId, task: TaskId, attempt: u32) {
        let now = self.sched.now;
        let (follow, _) = self.attended.entry(id.clone()).or_default();
        follow.start_answered(task, attempt, StartReply::Taken, now);
        self.tells(id, WorkerUpdate::Started(task, attempt, StartReply::Taken));
    }

    /// A worker answers a look that is sent now.
    pub fn answers(&mut self, id: &WorkerId, listing: Listing) {
        for action in self.sched.assign_relays() {
            if let Action::StartPolling { info, .. } = action {
                self.attended.insert(info.id, (RunTracker::default(), self.sched.now));
            }
        }
        let now = self.sched.now;
        let (follow, heard) = self.attended.entry(id.clone()).or_default();
        *heard = now;
        let report = follow.diff_listing(listing, now, now);
        self.tells(id, WorkerUpdate::Reported(report));
    }

    /// A worker answers a look and lists what it was told to start.
    pub fn report(&mut self, n: usize, life: usize, runs: &[Action]) {
        let running = runs.iter().filter_map(listed).collect();
        self.answers(&worker(n, life).id, Listing { running, ended: Vec::new() });
    }

    /// What a worker lists of all that was started anywhere, but for tasks that have ended.
    pub fn listing(&self, id: &WorkerId, started: &[Action], ended: &[TaskId]) -> Listing {
        let here = started.iter().filter(|a| matches!(a, Action::Start { worker, .. } if worker == id));
        let running = here.filter_map(listed).filter(|r| !ended.contains(&r.task)).collect();
        Listing { running, ended: Vec::new() }
    }

    /// Ticks once; returns what the scheduler told to do.
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

    /// The list of hosts is asked for and read at this time.
    pub fn list(&mut self, hosts: Vec<Host>) {
        let now = self.sched.now;
        self.sched.handle(Event::HostsListed(hosts, now));
    }
}

/// Hosts that are ordered down.
pub fn upkeeps(actions: &[Action]) -> Vec<String> {
    let name = |a: &Action| match a {
        Action::MaintainHost(m, _) => Some(m.clone()),
        _ => None,
    };
    actions.iter().filter_map(name).collect()
}

/// Hosts that are ordered to move, each with the pool that gets it.
pub fn moves(actions: &[Action]) -> Vec<(String, String)> {
    let of = |a: &Action| match a {
        Action::MoveHost(m, pool) => Some((m.clone(), pool.clone())),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Wave 1, of hosts by their numbers, within 20 s.
pub fn wave(hosts: &[usize], most_at_once: usize) -> Wave {
    let hosts = hosts.iter().map(|n| format!("m-{n}")).collect();
    Wave { number: 1, hosts, time_allowed: Duration::from_secs(20), max_down: most_at_once }
}
