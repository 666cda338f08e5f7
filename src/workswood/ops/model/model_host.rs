//! Hosts, and the tasks that run on them.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::ids::{DataCentre, HostId, ServiceId};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    EndKind, Host, HostState, Listing, Report, ReportedEnd, ReportedRun, RunTracker, TaskId, WorkerInfo,
};

use super::parameters::{DATA_CENTRES, SPARE};

/// A task that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelRun {
    /// Number of its try.
    pub attempt: u32,
    /// Room that it takes, in thousandths of a core.
    pub cpu_millis: u64,
    /// When it began.
    pub since: Duration,
    /// How long its work takes, or the warm-up of a task that lasts.
    pub takes: Duration,
}

impl ModelRun {
    /// Share of its work that is done, in whole percent.
    pub fn percent(&self, now: Duration) -> u32 {
        let done = (now - self.since).as_secs_f64() / self.takes.as_secs_f64().max(f64::MIN_POSITIVE);
        (done * 100.0).min(100.0) as u32
    }
}

/// A host of the model, with the present life of its worker.
pub struct ModelHost {
    number: usize,
    name: HostId,
    worker: WorkerId,
    /// Its pool.
    pub pool: ServiceId,
    /// Its state.
    pub state: HostState,
    /// Its worker has had so many lives.
    life: u32,
    /// Tasks that run.
    running: BTreeMap<TaskId, ModelRun>,
    /// Room that they take, in thousandths of a core.
    used: u64,
    /// Ends that were not reported yet.
    ended: Vec<ReportedEnd>,
    ends: u64,
    /// What the scheduler knows of its runs.
    pub follow: RunTracker,
}

/// The data centre of a number.
pub fn data_centre(number: usize) -> DataCentre {
    format!("model-{number}")
}

impl ModelHost {
    /// A host that is up.
    pub fn new(number: usize, pool: ServiceId) -> ModelHost {
        ModelHost {
            number,
            name: format!("m-{number:05}"),
            worker: worker_of(number, 0),
            pool,
            state: HostState::Up,
            life: 0,
            running: BTreeMap::new(),
            used: 0,
            ended: Vec::new(),
            ends: 0,
            follow: RunTracker::default(),
        }
    }

    /// Its name.
    pub fn name(&self) -> &HostId {
        &self.name
    }

    /// Where it stands.
    pub fn data_centre(&self) -> DataCentre {
        data_centre(self.number % DATA_CENTRES)
    }

    /// The present life of its worker.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// What its worker says of itself.
    pub fn info(&self, room: Resources) -> WorkerInfo {
        WorkerInfo {
            id: self.worker.clone(),
            service: self.pool.clone(),
            address: self.name.clone(),
            data_centre: self.data_centre(),
            host: self.name.clone(),
            capacity: room,
            labels: Vec::new(),
            draining: false,
        }
    }

    /// Whether its worker is there: it is up, and on.
    pub fn serves(&self) -> bool {
        self.state == HostState::Up && self.pool != SPARE
    }

    /// Room that its tasks take, in thousandths of a core.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// How the platform lists it.
    pub fn listed(&self, room: Resources) -> Host {
        Host {
            name: self.name.clone(),
            pool: self.pool.clone(),
            state: self.state,
            data_centre: self.data_centre(),
            labels: Vec::new(),
            capacity: room,
            worker: self.serves().then(|| self.worker.clone()),
        }
    }

    /// Its worker's life is over, with all that ran.
    pub fn end_life(&mut self, state: HostState) {
        self.state = state;
        self.life += 1;
        self.worker = worker_of(self.number, self.life);
        self.running.clear();
        self.used = 0;
        self.ended.clear();
        self.ends = 0;
        self.follow = RunTracker::default();
    }

    /// How many tasks run.
    pub fn runs(&self) -> usize {
        self.running.len()
    }

    /// A task begins.
    pub fn begin_task(&mut self, task: TaskId, run: ModelRun) {
        self.used += run.cpu_millis;
        if let Some(before) = self.running.insert(task, run) {
            self.used -= before.cpu_millis;
        }
    }

    /// A task ends; returns whether it still ran.
    pub fn end_task(&mut self, task: TaskId, attempt: u32, kind: EndKind) -> bool {
        let Some(run) = self.running.get(&task).filter(|r| r.attempt == attempt) else { return false };
        self.used -= run.cpu_millis;
        self.running.remove(&task);
        self.ends += 1;
        self.ended.push(ReportedEnd {
            sequence_number: self.ends,
            task,
            attempt,
            kind,
            checkpoint: String::new(),
        });
        true
    }

    /// What is new in what its worker answers when it is looked at.
    pub fn report(&mut self, now: Duration) -> Report {
        let listing = self.listing(now);
        self.follow.diff_listing(listing, now, now)
    }

    /// What its worker answers: all ends that it has not been told to forget, too.
    fn listing(&self, asked: Duration) -> Listing {
        let running = self.running.iter().map(|(task, run)| ReportedRun {
            task: *task,
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: run.percent(asked),
            load: 0,
            stalled_for: Duration::ZERO,
        });
        Listing { running: running.collect(), ended: self.ended.clone() }
    }

    /// The scheduler has on record all ends up to a number.
    pub fn forget(&mut self, number: u64) {
        self.ended.retain(|e| e.sequence_number > number);
    }
}

/// A life of the worker on a host.
fn worker_of(host: usize, life: u32) -> WorkerId {
    format!("w-{host:05}-{life}").into()
}
