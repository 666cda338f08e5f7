//! Measures the time of a scheduler round by number of hosts, while demand shifts to one service
//! and a maintenance wave goes on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood_core::ids::{HostId, ServiceId, UnixMs};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    Action, Event, Host, HostReply, HostState, JobSpec, Limits, QueueConfig, QueueTag, Report, SchedConfig,
    Scheduler, ServiceConfig, StepSpec, Wave, WorkerInfo, WorkerUpdate,
};

use super::quantiles::median;

/// Pool whose hosts are switched off.
const SPARE_POOL: &str = "off";
/// Services whose hosts are switched on.
const SERVICES: [&str; 3] = ["a", "b", "c"];
/// Queue of all jobs.
const QUEUE: &str = "queue";
/// Time between two rounds.
const TICK_INTERVAL: Duration = Duration::from_millis(160);
/// Rounds without jobs before the demand shift.
const QUIET_ROUNDS: usize = 20;
/// Rounds after the demand shift.
const SHIFT_ROUNDS: usize = 25;
/// Capacity of a host.
const HOST_CAPACITY: Resources = Resources { cpu_millis: 4000, mem_mb: 8000, gpus: 0 };

/// A scheduler with hosts that carry out all orders at once.
struct Fleet {
    scheduler: Scheduler,
    hosts: BTreeMap<HostId, Host>,
    /// Number of ordered moves and maintenances.
    orders: usize,
}

/// Prints the time of a round by number of hosts.
pub fn run() {
    crate::outln!("machines quiet_round_ms turn_round_median_ms turn_round_worst_ms orders");
    for hosts in [50, 350, 3_000] {
        let mut fleet = Fleet::new(hosts);
        let quiet: Vec<f64> = (0..QUIET_ROUNDS).map(|_| fleet.round()).collect();
        fleet.submit_jobs(hosts);
        let shift: Vec<f64> = (0..SHIFT_ROUNDS).map(|_| fleet.round()).collect();
        let worst = shift.iter().copied().fold(0.0, f64::max);
        let (quiet_ms, shift_ms) = (median(quiet), median(shift));
        crate::outln!("{hosts} {quiet_ms:.2} {shift_ms:.2} {worst:.2} {}", fleet.orders);
    }
}

impl Fleet {
    /// Makes a fleet of idle hosts, a quarter of them switched off, and requests a wave over all of
    /// them.
    fn new(count: usize) -> Fleet {
        let mut scheduler = Scheduler::new(1, limits(), Duration::ZERO, 0);
        scheduler.handle(Event::ConfigChanged(Arc::new(config())));
        let hosts: BTreeMap<HostId, Host> = (0..count).map(host).map(|h| (h.name.clone(), h)).collect();
        let mut fleet = Fleet { scheduler, hosts, orders: 0 };
        fleet.report_hosts();
        let names = fleet.hosts.keys().cloned().collect();
        let within = Duration::from_secs(600);
        let wave = Wave { number: 1, hosts: names, time_allowed: within, max_down: count / 20 };
        fleet.scheduler.handle(Event::WaveRequested(wave, None));
        fleet
    }

    /// Sends the scheduler the host list, and registers new workers as idle.
    fn report_hosts(&mut self) {
        let now = self.scheduler.now;
        for host in self.hosts.values() {
            let Some(info) = worker_info(host) else { continue };
            let id = info.id.clone();
            if self.scheduler.workers.contains_key(&id) {
                continue;
            }
            self.scheduler.handle(Event::WorkerListed(info));
            // Assigns the worker a relay, whose first report is sent below.
            self.scheduler.assign_relays();
            let report = Report { full: true, ..Report::default() };
            let token = self.scheduler.token_of(&id).unwrap_or(0);
            self.scheduler.handle(Event::WorkerUpdate(id, token, WorkerUpdate::Reported(report)));
        }
        self.scheduler.handle(Event::HostsListed(self.hosts.values().cloned().collect(), now));
    }

    /// Submits jobs of one service that fill half of all hosts.
    fn submit_jobs(&mut self, hosts: usize) {
        let step = StepSpec {
            count: 4,
            resources: Resources { cpu_millis: 2000, mem_mb: 100, gpus: 0 },
            estimate: Duration::from_secs(2),
            ..StepSpec::default()
        };
        for key in 1..=(hosts as u64 / 4) {
            let spec = job(vec![step.clone()], self.scheduler.wall);
            self.scheduler.handle(Event::Submitted(key, Arc::new(spec)));
        }
    }

    /// Runs one scheduler round and returns its time in milliseconds.
    fn round(&mut self) -> f64 {
        self.scheduler.now += TICK_INTERVAL;
        self.scheduler.wall += TICK_INTERVAL.as_millis() as u64;
        let started = Instant::now();
        self.scheduler.handle(Event::Tick);
        let batch = self.scheduler.take_batch();
        let took_ms = started.elapsed().as_secs_f64() * 1e3;
        batch.actions.into_iter().for_each(|action| self.perform(action));
        self.report_hosts();
        took_ms
    }

    fn perform(&mut self, action: Action) {
        let (name, pool) = match action {
            Action::MoveHost(name, pool) => (name, Some(pool)),
            Action::MaintainHost(name, _) => (name, None),
            _ => return,
        };
        self.orders += 1;
        if let Some(host) = self.hosts.get_mut(&name) {
            let incarnation = self.orders;
            host.pool = pool.unwrap_or_else(|| host.pool.clone());
            host.worker =
                (host.pool != SPARE_POOL).then(|| format!("w-{name}-{incarnation}").as_str().into());
        }
        self.scheduler.handle(Event::HostOrderAnswered(name, HostReply::Done));
    }
}

/// A job of the first service, accepted at this time in milliseconds.
pub(super) fn job(steps: Vec<StepSpec>, accepted_at: UnixMs) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_string(),
        service: SERVICES[0].to_string(),
        workspace: None,
        tag: QueueTag::UNKNOWN,
        priority: 0,
        max_attempts: 3,
        task_input: "".into(),
        steps,
        repeat: None,
        accepted_at,
    }
}

pub(super) fn limits() -> Limits {
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

pub(super) fn config() -> SchedConfig {
    let service = |name: &str| ServiceConfig {
        name: name.to_string(),
        enforces_capacity: true,
        spare: name == SPARE_POOL,
    };
    let names = SERVICES.into_iter().chain([SPARE_POOL]);
    let services = names.map(|n| (n.to_string(), service(n))).collect();
    let queue = QueueConfig {
        name: QUEUE.to_string(),
        host_name: String::new(),
        path_prefix: String::new(),
        service: SERVICES[0].to_string(),
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

pub(super) fn host(n: usize) -> Host {
    let pools: Vec<ServiceId> = SERVICES.into_iter().chain([SPARE_POOL]).map(str::to_string).collect();
    let pool = pools[n % pools.len()].clone();
    let name = format!("m-{n:05}");
    let worker = (pool != SPARE_POOL).then(|| format!("w-{name}-0").as_str().into());
    Host {
        name,
        pool,
        state: HostState::Up,
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: HOST_CAPACITY,
        worker,
    }
}

/// Returns the registration of a host's worker, if it has one.
pub(super) fn worker_info(host: &Host) -> Option<WorkerInfo> {
    Some(WorkerInfo {
        id: host.worker.clone()?,
        service: host.pool.clone(),
        address: String::new(),
        data_centre: host.data_centre.clone(),
        host: host.name.clone(),
        capacity: host.capacity,
        labels: Vec::new(),
        draining: false,
    })
}
