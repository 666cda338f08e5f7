//! Time of a round of the scheduler by hosts, while demand turns and a wave
//! goes on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood_core::ids::{HostId, ServiceId};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    Action, Event, Host, HostReply, HostState, JobSpec, Limits, QueueConfig, Report, SchedConfig, Scheduler,
    ServiceConfig, StepSpec, Wave, WorkerInfo, WorkerUpdate,
};

use super::stats::median;

/// The service whose hosts are off.
const SPARE: &str = "off";
/// Services whose hosts are on.
const WORKING: [&str; 3] = ["a", "b", "c"];
/// The queue that jobs come in by.
const QUEUE: &str = "queue";
/// Time between two rounds, as `workswood jobs` ticks.
const TICK: Duration = Duration::from_millis(160);
/// Rounds without work before demand turns.
const QUIET: usize = 20;
/// Rounds from when demand turns.
const TURN: usize = 25;
/// Room of a host.
const HOST: Resources = Resources { cpu_millis: 4000, mem_mb: 8000, gpus: 0 };

/// A scheduler with hosts whose orders are all carried out at once.
struct Fleet {
    sched: Scheduler,
    hosts: BTreeMap<HostId, Host>,
    /// Moves and maintenance that were ordered.
    orders: usize,
}

/// Prints the time of a round by hosts.
pub fn run() {
    crate::outln!("machines quiet_round_ms turn_round_median_ms turn_round_worst_ms orders");
    for hosts in [50, 350, 3_000] {
        let mut fleet = Fleet::new(hosts);
        let quiet: Vec<f64> = (0..QUIET).map(|_| fleet.round()).collect();
        fleet.turn(hosts);
        let turn: Vec<f64> = (0..TURN).map(|_| fleet.round()).collect();
        let worst = turn.iter().copied().fold(0.0, f64::max);
        let (quiet, turn) = (median(quiet), median(turn));
        crate::outln!("{hosts} {quiet:.2} {turn:.2} {worst:.2} {}", fleet.orders);
    }
}

impl Fleet {
    /// Idle hosts, a quarter of them off, and a wave over all of them.
    fn new(count: usize) -> Fleet {
        let mut sched = Scheduler::new(1, limits(), Duration::ZERO, 0);
        sched.handle(Event::ConfigChanged(Arc::new(config())));
        let hosts: BTreeMap<HostId, Host> = (0..count).map(host).map(|m| (m.name.clone(), m)).collect();
        let mut fleet = Fleet { sched, hosts, orders: 0 };
        fleet.list();
        let names = fleet.hosts.keys().cloned().collect();
        let within = Duration::from_secs(600);
        let wave = Wave { number: 1, hosts: names, time_allowed: within, max_down: count / 20 };
        fleet.sched.handle(Event::WaveRequested(wave, None));
        fleet
    }

    /// Shows the scheduler all hosts, and workers that are new, as idle.
    fn list(&mut self) {
        let now = self.sched.now;
        for m in self.hosts.values() {
            let Some(info) = worker(m) else { continue };
            let id = info.id.clone();
            if self.sched.workers.contains_key(&id) {
                continue;
            }
            self.sched.handle(Event::WorkerListed(info));
            // Who attends it is told at once, and answers below.
            self.sched.assign_relays();
            let report = Report { full: true, ..Report::default() };
            let token = self.sched.token_of(&id).unwrap_or(0);
            self.sched.handle(Event::WorkerUpdate(id, token, WorkerUpdate::Reported(report)));
        }
        self.sched.handle(Event::HostsListed(self.hosts.values().cloned().collect(), now));
    }

    /// Jobs for one service that fill half of all hosts.
    fn turn(&mut self, hosts: usize) {
        let step = StepSpec {
            count: 4,
            resources: Resources { cpu_millis: 2000, mem_mb: 100, gpus: 0 },
            estimate: Duration::from_secs(2),
            ..StepSpec::default()
        };
        for key in 1..=(hosts as u64 / 4) {
            let spec = JobSpec {
                queue: QUEUE.to_string(),
                service: WORKING[0].to_string(),
                workspace: None,
                priority: 0,
                max_attempts: 3,
                task_input: "".into(),
                steps: vec![step.clone()],
                repeat: None,
                accepted_at: self.sched.wall,
            };
            self.sched.handle(Event::Submitted(key, Arc::new(spec)));
        }
    }

    /// One round; returns its time in milliseconds.
    fn round(&mut self) -> f64 {
        self.sched.now += TICK;
        self.sched.wall += TICK.as_millis() as u64;
        let started = Instant::now();
        self.sched.handle(Event::Tick);
        let batch = self.sched.take_batch();
        let took = started.elapsed().as_secs_f64() * 1e3;
        batch.actions.into_iter().for_each(|a| self.carry_out(a));
        self.list();
        took
    }

    fn carry_out(&mut self, action: Action) {
        let (name, pool) = match action {
            Action::MoveHost(name, pool) => (name, Some(pool)),
            Action::MaintainHost(name, _) => (name, None),
            _ => return,
        };
        self.orders += 1;
        if let Some(m) = self.hosts.get_mut(&name) {
            let life = self.orders;
            m.pool = pool.unwrap_or_else(|| m.pool.clone());
            m.worker = (m.pool != SPARE).then(|| format!("w-{name}-{life}").as_str().into());
        }
        self.sched.handle(Event::HostOrderAnswered(name, HostReply::Done));
    }
}

fn limits() -> Limits {
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

fn config() -> SchedConfig {
    let service =
        |name: &str| ServiceConfig { name: name.to_string(), enforces_capacity: true, spare: name == SPARE };
    let names = WORKING.into_iter().chain([SPARE]);
    let services = names.map(|n| (n.to_string(), service(n))).collect();
    let queue = QueueConfig {
        name: QUEUE.to_string(),
        host_name: String::new(),
        path_prefix: String::new(),
        service: WORKING[0].to_string(),
        requires_key: false,
        priority: 0,
        max_attempts: 3,
        deadline_factor: 4.0,
        deadline_offset: Duration::from_secs(5),
        advice: None,
    };
    let queues = [(QUEUE.to_string(), queue)].into();
    SchedConfig { version: 1, queues, services, ..SchedConfig::default() }
}

fn host(n: usize) -> Host {
    let pools: Vec<ServiceId> = WORKING.into_iter().chain([SPARE]).map(str::to_string).collect();
    let pool = pools[n % pools.len()].clone();
    let name = format!("m-{n:05}");
    let worker = (pool != SPARE).then(|| format!("w-{name}-0").as_str().into());
    Host {
        name,
        pool,
        state: HostState::Up,
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: HOST,
        worker,
    }
}

/// The worker of a host, if it has one.
fn worker(m: &Host) -> Option<WorkerInfo> {
    Some(WorkerInfo {
        id: m.worker.clone()?,
        service: m.pool.clone(),
        address: String::new(),
        data_centre: m.data_centre.clone(),
        host: m.name.clone(),
        capacity: m.capacity,
        labels: Vec::new(),
        draining: false,
    })
}
