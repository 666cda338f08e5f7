//! A run: lets the scheduler decide, and time pass.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use workswood_core::ids::{DataCentre, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{EndKind, Event, JobKey, Policy, Scheduler, Wave, WorkerUpdate};

use super::batches::Stored;
use super::event_queue::{Agenda, Happening};
use super::lower_bound;
use super::model_host::ModelHost;
use super::parameters::{AFTER, SPARE, TICK};
use super::run_metrics::RunMetrics;
use super::spec::ModelSpec;
use super::workload::{self, LEAD_TIME, ModelJob};

/// Sets the luck of faults apart from the load of the same seed.
const FAULT_SEED: u64 = 0x5eed;

/// A run under way.
pub(super) struct World<'a> {
    pub spec: &'a ModelSpec,
    pub policy: &'a Policy,
    pub now: Duration,
    pub agenda: Agenda,
    /// The scheduler; `None` while nobody holds the lease.
    pub sched: Option<Scheduler>,
    pub term: Term,
    /// Whether a batch is on its way to the store.
    pub writing: bool,
    pub stored: Stored,
    pub hosts: Vec<ModelHost>,
    pub jobs: Vec<ModelJob>,
    /// When jobs were done.
    pub done: BTreeMap<JobKey, Duration>,
    pub wave: Option<Wave>,
    /// An append takes this many times as long as when the store is well.
    pub store_factor: f64,
    /// Share of reports that are late.
    pub late_reports: f64,
    /// Data centres that are evacuated, and since when.
    pub evacuated: BTreeMap<DataCentre, Duration>,
    pub luck: StdRng,
    pub moves: usize,
    pub crashes: usize,
    /// Seconds of hosts that are on, and that tasks fill.
    on: f64,
    busy: f64,
    /// Until when they are counted.
    counted: Duration,
}

/// Plays one run.
pub fn simulate(spec: &ModelSpec, policy: &Policy, seed: u64) -> RunMetrics {
    let mut w = World::new(spec, policy, seed);
    let end = LEAD_TIME + spec.duration + AFTER;
    while let Some((at, what)) = w.agenda.take_next() {
        if at > end {
            break;
        }
        w.count_hosts(at);
        w.now = at;
        w.happens(what);
        w.decide();
    }
    let seconds = w.now.as_secs_f64().max(1.0);
    let bound = lower_bound::lower_bounds(spec, &w.jobs, end);
    RunMetrics {
        hosts: w.on / seconds,
        busy_hosts: w.busy / seconds,
        min_hosts: bound.any_policy,
        forecast_hosts: bound.perfect_forecast,
        host_moves: w.moves as f64,
        worker_crashes: w.crashes as f64,
        ..RunMetrics::from_jobs(&w.jobs, &w.done)
    }
}

impl<'a> World<'a> {
    fn new(spec: &'a ModelSpec, policy: &'a Policy, seed: u64) -> World<'a> {
        let jobs = workload::generate_jobs(spec, seed);
        let mut w = World {
            spec,
            policy,
            now: Duration::ZERO,
            agenda: Agenda::default(),
            sched: None,
            term: 0,
            writing: false,
            stored: Stored::default(),
            hosts: Vec::new(),
            done: BTreeMap::new(),
            wave: None,
            store_factor: 1.0,
            late_reports: 0.0,
            evacuated: BTreeMap::new(),
            luck: StdRng::seed_from_u64(seed ^ FAULT_SEED),
            moves: 0,
            crashes: 0,
            on: 0.0,
            busy: 0.0,
            counted: Duration::ZERO,
            jobs,
        };
        w.make_hosts();
        w.take_over();
        w.plan();
        w
    }

    /// Plans all that is known before.
    fn plan(&mut self) {
        self.after(TICK, Happening::Tick);
        self.after(Duration::ZERO, Happening::List);
        for n in 0..self.jobs.len() {
            let at = self.jobs[n].submitted_at;
            self.after(at, Happening::HandIn(n));
        }
        for (n, f) in self.spec.faults.iter().enumerate() {
            self.after(LEAD_TIME + f.at, Happening::FaultBegins(n));
            self.after(LEAD_TIME + f.at + f.duration, Happening::FaultEnds(n));
        }
    }

    pub(super) fn after(&mut self, wait: Duration, what: Happening) {
        self.agenda.plan(self.now + wait, what);
    }

    pub(super) fn tell(&mut self, ev: Event) {
        let now = self.now;
        if let Some(s) = &mut self.sched {
            s.now = now;
            s.wall = now.as_millis() as u64;
            s.handle(ev);
        }
    }

    /// Tells what is new of a worker.
    pub(super) fn tell_of(&mut self, id: WorkerId, news: WorkerUpdate) {
        let token = self.sched.as_ref().and_then(|s| s.token_of(&id)).unwrap_or(0);
        self.tell(Event::WorkerUpdate(id, token, news));
    }

    fn happens(&mut self, what: Happening) {
        match what {
            Happening::Tick => self.tick(),
            Happening::List => self.list(),
            Happening::HandIn(n) => {
                let job = &self.jobs[n];
                let ev = Event::Submitted(job.key, Arc::clone(&job.spec));
                self.tell(ev);
            }
            Happening::Arrives(n) => self.arrives(n),
            Happening::Look(n, worker, again) => self.look(n, worker, again),
            Happening::Starts(worker, task, attempt) => self.starts(worker, task, attempt),
            Happening::Ends(worker, task, attempt) => self.ends(worker, task, attempt, EndKind::Done),
            Happening::Crashes(n, worker) => self.crash(n, &worker),
            Happening::Stops(worker, task, attempt) => self.stops(worker, task, attempt),
            Happening::Ordered(host, order) => self.ordered(host, order),
            Happening::Stored(batch) => {
                self.writing = false;
                self.carry_out(batch);
            }
            Happening::FaultBegins(n) => self.fault_begins(n),
            Happening::FaultEnds(n) => self.fault_ends(n),
            Happening::TakesOver => self.take_over(),
        }
    }

    fn tick(&mut self) {
        self.ask_for_wave();
        if let Some(own) = self.sched.as_ref().map(|s| s.holder.clone()) {
            self.tell(Event::RelayHeard(own));
        }
        self.tell(Event::Tick);
        self.after(TICK, Happening::Tick);
    }

    fn ask_for_wave(&mut self) {
        let Some(w) = &self.spec.wave else { return };
        if self.wave.is_some() || self.now < LEAD_TIME + w.at {
            return;
        }
        let count = (self.hosts.len() as f64 * w.share) as usize;
        // Every so many hosts, so that each pool has some.
        let stride = self.hosts.len() / count.max(1);
        let hosts = self.hosts.iter().step_by(stride.max(1)).take(count).map(|m| m.name().clone());
        let wave =
            Wave { number: 1, hosts: hosts.collect(), time_allowed: w.time_allowed, max_down: w.max_down };
        self.wave = Some(wave.clone());
        self.tell(Event::WaveRequested(wave, None));
    }

    /// Counts hosts that are on, and what tasks fill of them, until a time.
    fn count_hosts(&mut self, until: Duration) {
        let passed = (until - self.counted).as_secs_f64();
        self.counted = until;
        let on = self.hosts.iter().filter(|m| m.pool != SPARE).count();
        self.on += on as f64 * passed;
        let used: u64 = self.hosts.iter().map(ModelHost::used).sum();
        self.busy += used as f64 / self.spec.cpu_millis as f64 * passed;
    }
}
