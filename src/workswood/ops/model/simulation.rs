//! The event loop of a simulation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use workswood_core::ids::{DataCentre, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Admission, EndKind, Event, JobNumber, Policy, Scheduler, Wave, WorkerUpdate};

use super::batches::StoredRecords;
use super::event_queue::{EventQueue, ModelEvent};
use super::lower_bound;
use super::model_host::ModelHost;
use super::parameters::{SPARE_POOL, TAIL_TIME, TICK_INTERVAL};
use super::run_metrics::RunMetrics;
use super::spec::ModelSpec;
use super::workload::{self, LEAD_TIME, ModelJob};

/// Combined with the seed of a run, so that faults and workload draw independent numbers.
const FAULT_SEED: u64 = 0x5eed;

/// State of a running simulation.
pub(super) struct Simulation<'a> {
    pub spec: &'a ModelSpec,
    pub policy: &'a Policy,
    pub now: Duration,
    pub event_queue: EventQueue,
    /// The scheduler; `None` while no process holds the lease.
    pub scheduler: Option<Scheduler>,
    pub term: Term,
    /// Whether a batch is being written to the store.
    pub writing: bool,
    pub stored: StoredRecords,
    pub hosts: Vec<ModelHost>,
    pub jobs: Vec<ModelJob>,
    /// What the lease holder knows for the admission of jobs.
    pub admission: Admission,
    /// Jobs that were accepted.
    pub accepted: BTreeSet<JobNumber>,
    /// How often each job was refused.
    pub refusals: BTreeMap<JobNumber, u32>,
    /// Completion times of jobs, since the start of the run.
    pub completed_at: BTreeMap<JobNumber, Duration>,
    pub wave: Option<Wave>,
    /// Factor on the time of an append; 1 while the store is healthy.
    pub append_slowdown: f64,
    /// Share of the reports that are late.
    pub late_report_share: f64,
    /// Evacuated data centres, with the time of the evacuation.
    pub evacuated: BTreeMap<DataCentre, Duration>,
    pub fault_rng: StdRng,
    pub host_moves: usize,
    pub worker_crashes: usize,
    /// Integral over time of the hosts that are switched on, in host-seconds.
    host_seconds_on: f64,
    /// Integral over time of the CPU usage of running tasks, in host-seconds.
    host_seconds_busy: f64,
    /// Time up to which both integrals are computed.
    integrated_until: Duration,
}

/// Simulates one run and returns its metrics.
pub fn simulate(spec: &ModelSpec, policy: &Policy, seed: u64) -> RunMetrics {
    let mut sim = Simulation::new(spec, policy, seed);
    let end = LEAD_TIME + spec.duration + TAIL_TIME;
    while let Some((at, event)) = sim.event_queue.pop_next() {
        if at > end {
            break;
        }
        sim.integrate_hosts(at);
        sim.now = at;
        sim.handle(event);
        sim.take_batch();
    }
    let seconds = sim.now.as_secs_f64().max(1.0);
    let bound = lower_bound::lower_bounds(spec, &sim.jobs, end);
    RunMetrics {
        hosts: sim.host_seconds_on / seconds,
        busy_hosts: sim.host_seconds_busy / seconds,
        min_hosts: bound.any_policy,
        forecast_hosts: bound.perfect_forecast,
        host_moves: sim.host_moves as f64,
        worker_crashes: sim.worker_crashes as f64,
        refused_share: sim.refused_share(),
        ..RunMetrics::from_jobs(&sim.jobs, &sim.completed_at)
    }
}

impl<'a> Simulation<'a> {
    fn new(spec: &'a ModelSpec, policy: &'a Policy, seed: u64) -> Simulation<'a> {
        let jobs = workload::generate_jobs(spec, seed);
        let mut sim = Simulation {
            spec,
            policy,
            now: Duration::ZERO,
            event_queue: EventQueue::default(),
            scheduler: None,
            term: 0,
            writing: false,
            stored: StoredRecords::default(),
            hosts: Vec::new(),
            completed_at: BTreeMap::new(),
            wave: None,
            append_slowdown: 1.0,
            late_report_share: 0.0,
            evacuated: BTreeMap::new(),
            fault_rng: StdRng::seed_from_u64(seed ^ FAULT_SEED),
            host_moves: 0,
            worker_crashes: 0,
            host_seconds_on: 0.0,
            host_seconds_busy: 0.0,
            integrated_until: Duration::ZERO,
            jobs,
            admission: Admission::default(),
            accepted: BTreeSet::new(),
            refusals: BTreeMap::new(),
        };
        sim.make_hosts();
        sim.start_scheduler();
        sim.schedule_initial_events();
        sim
    }

    /// Schedules all submissions and faults, the first tick and the first host list.
    fn schedule_initial_events(&mut self) {
        self.schedule_after(TICK_INTERVAL, ModelEvent::Tick);
        self.schedule_after(Duration::ZERO, ModelEvent::ListHosts);
        for n in 0..self.jobs.len() {
            let at = self.jobs[n].submitted_at;
            self.schedule_after(at, ModelEvent::SubmitJob(n));
        }
        for (n, f) in self.spec.faults.iter().enumerate() {
            self.schedule_after(LEAD_TIME + f.at, ModelEvent::FaultBegins(n));
            self.schedule_after(LEAD_TIME + f.at + f.duration, ModelEvent::FaultEnds(n));
        }
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, event: ModelEvent) {
        self.event_queue.schedule(self.now + delay, event);
    }

    pub(super) fn send_event(&mut self, ev: Event) {
        let now = self.now;
        if let Some(s) = &mut self.scheduler {
            s.now = now;
            s.wall = now.as_millis() as u64;
            s.handle(ev);
        }
    }

    /// Sends an update of a worker to the scheduler, with the worker's current fencing token.
    pub(super) fn send_worker_update(&mut self, id: WorkerId, update: WorkerUpdate) {
        let token = self.scheduler.as_ref().and_then(|s| s.token_of(&id)).unwrap_or(0);
        self.send_event(Event::WorkerUpdate(id, token, update));
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Tick => self.tick(),
            ModelEvent::ListHosts => self.list_hosts(),
            ModelEvent::SubmitJob(n) => self.submit(n),
            ModelEvent::HostUp(n) => self.host_up(n),
            ModelEvent::PollWorker(n, worker, repeat) => self.poll_worker(n, worker, repeat),
            ModelEvent::StartReachesWorker(worker, task, attempt) => {
                self.start_reaches_worker(worker, task, attempt)
            }
            ModelEvent::TaskEnds(worker, task, attempt) => {
                self.end_task(worker, task, attempt, EndKind::Done)
            }
            ModelEvent::WorkerCrashes(n, worker) => self.crash(n, &worker),
            ModelEvent::StopReachesWorker(worker, task, attempt) => {
                self.stop_reaches_worker(worker, task, attempt)
            }
            ModelEvent::OrderReachesHost(host, order) => self.order_reaches_host(host, order),
            ModelEvent::BatchStored(batch) => {
                self.writing = false;
                self.apply_batch(batch);
            }
            ModelEvent::FaultBegins(n) => self.fault_begins(n),
            ModelEvent::FaultEnds(n) => self.fault_ends(n),
            ModelEvent::SchedulerTakesOver => self.start_scheduler(),
        }
    }

    fn tick(&mut self) {
        self.request_wave();
        if let Some(holder) = self.scheduler.as_ref().map(|s| s.holder.clone()) {
            self.send_event(Event::RelayHeard(holder));
        }
        self.send_event(Event::Tick);
        self.update_admission();
        self.schedule_after(TICK_INTERVAL, ModelEvent::Tick);
    }

    fn request_wave(&mut self) {
        let Some(w) = &self.spec.wave else { return };
        if self.wave.is_some() || self.now < LEAD_TIME + w.at {
            return;
        }
        let count = (self.hosts.len() as f64 * w.share) as usize;
        // Hosts at even intervals, so that each pool has some.
        let stride = self.hosts.len() / count.max(1);
        let hosts = self.hosts.iter().step_by(stride.max(1)).take(count).map(|h| h.name().clone());
        let wave =
            Wave { number: 1, hosts: hosts.collect(), time_allowed: w.time_allowed, max_down: w.max_down };
        self.wave = Some(wave.clone());
        self.send_event(Event::WaveRequested(wave, None));
    }

    /// Advances the integrals of switched-on hosts and CPU usage to `until`.
    fn integrate_hosts(&mut self, until: Duration) {
        let elapsed = (until - self.integrated_until).as_secs_f64();
        self.integrated_until = until;
        let on = self.hosts.iter().filter(|h| h.pool != SPARE_POOL).count();
        self.host_seconds_on += on as f64 * elapsed;
        let used: u64 = self.hosts.iter().map(ModelHost::used_cpu_millis).sum();
        self.host_seconds_busy += used as f64 / self.spec.cpu_millis as f64 * elapsed;
    }
}
