//! Model hosts and the tasks that run on them.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::ids::{DataCentre, HostId, ServiceId};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    EndKind, Host, HostState, Listing, Report, ReportedEnd, ReportedRun, RunTracker, TaskId, WorkerInfo,
};

use super::parameters::{DATA_CENTRES, SPARE_POOL};

/// A running attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelRun {
    /// Number of the attempt.
    pub attempt: u32,
    /// CPU capacity that it uses, in thousandths of a core.
    pub cpu_millis: u64,
    /// When it started.
    pub started_at: Duration,
    /// How long its work takes, or the warm-up of a long-running task.
    pub duration: Duration,
}

impl ModelRun {
    /// Returns the share of its work that is done, in whole percent.
    pub fn percent(&self, now: Duration) -> u32 {
        let done = (now - self.started_at).as_secs_f64() / self.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        (done * 100.0).min(100.0) as u32
    }
}

/// A host of the model, with the current incarnation of its worker.
pub struct ModelHost {
    number: usize,
    name: HostId,
    worker: WorkerId,
    /// Pool of the host.
    pub pool: ServiceId,
    /// State of the host.
    pub state: HostState,
    /// Number of earlier incarnations of the worker.
    incarnation: u32,
    /// Running tasks.
    running: BTreeMap<TaskId, ModelRun>,
    /// CPU capacity that they use, in thousandths of a core.
    used_cpu_millis: u64,
    /// Ends that the scheduler has not acknowledged.
    unacked_ends: Vec<ReportedEnd>,
    /// Number of ends in this incarnation.
    end_count: u64,
    /// Tracks what the scheduler knows of the runs on this host.
    pub run_tracker: RunTracker,
}

/// Returns the name of the data centre with this number.
pub fn data_centre(number: usize) -> DataCentre {
    format!("model-{number}")
}

impl ModelHost {
    /// Creates a host that is up.
    pub fn new(number: usize, pool: ServiceId) -> ModelHost {
        ModelHost {
            number,
            name: format!("m-{number:05}"),
            worker: worker_id(number, 0),
            pool,
            state: HostState::Up,
            incarnation: 0,
            running: BTreeMap::new(),
            used_cpu_millis: 0,
            unacked_ends: Vec::new(),
            end_count: 0,
            run_tracker: RunTracker::default(),
        }
    }

    /// Name of the host.
    pub fn name(&self) -> &HostId {
        &self.name
    }

    /// Data centre of the host.
    pub fn data_centre(&self) -> DataCentre {
        data_centre(self.number % DATA_CENTRES)
    }

    /// Current incarnation of the worker.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Registration of the worker.
    pub fn worker_info(&self, capacity: Resources) -> WorkerInfo {
        WorkerInfo {
            id: self.worker.clone(),
            service: self.pool.clone(),
            address: self.name.clone(),
            data_centre: self.data_centre(),
            host: self.name.clone(),
            capacity,
            labels: Vec::new(),
            draining: false,
        }
    }

    /// Whether the worker runs: the host is up and not in the spare pool.
    pub fn serves(&self) -> bool {
        self.state == HostState::Up && self.pool != SPARE_POOL
    }

    /// CPU capacity that the running tasks use, in thousandths of a core.
    pub fn used_cpu_millis(&self) -> u64 {
        self.used_cpu_millis
    }

    /// Entry of the host in the platform's host list.
    pub fn list_entry(&self, capacity: Resources) -> Host {
        Host {
            name: self.name.clone(),
            pool: self.pool.clone(),
            state: self.state,
            data_centre: self.data_centre(),
            labels: Vec::new(),
            capacity,
            worker: self.serves().then(|| self.worker.clone()),
        }
    }

    /// Ends the incarnation of the worker and all its runs.
    pub fn end_incarnation(&mut self, state: HostState) {
        self.state = state;
        self.incarnation += 1;
        self.worker = worker_id(self.number, self.incarnation);
        self.running.clear();
        self.used_cpu_millis = 0;
        self.unacked_ends.clear();
        self.end_count = 0;
        self.run_tracker = RunTracker::default();
    }

    /// Number of running tasks.
    pub fn running_tasks(&self) -> usize {
        self.running.len()
    }

    /// Starts an attempt of a task, in place of an earlier attempt that still runs.
    pub fn start_task(&mut self, task: TaskId, run: ModelRun) {
        self.used_cpu_millis += run.cpu_millis;
        if let Some(replaced) = self.running.insert(task, run) {
            self.used_cpu_millis -= replaced.cpu_millis;
        }
    }

    /// Ends an attempt of a task. Returns whether it was still running.
    pub fn end_task(&mut self, task: TaskId, attempt: u32, kind: EndKind) -> bool {
        let Some(run) = self.running.get(&task).filter(|r| r.attempt == attempt) else { return false };
        self.used_cpu_millis -= run.cpu_millis;
        self.running.remove(&task);
        self.end_count += 1;
        self.unacked_ends.push(ReportedEnd {
            sequence_number: self.end_count,
            task,
            attempt,
            kind,
            checkpoint: String::new(),
        });
        true
    }

    /// Polls the worker and returns what changed since the last poll.
    pub fn report(&mut self, now: Duration) -> Report {
        let listing = self.listing(now);
        self.run_tracker.diff_listing(listing, now, now)
    }

    /// Answer of the worker to a poll: running tasks and unacknowledged ends.
    fn listing(&self, now: Duration) -> Listing {
        let running = self.running.iter().map(|(task, run)| ReportedRun {
            task: *task,
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: run.percent(now),
            load: 0,
            stalled_for: Duration::ZERO,
        });
        Listing {
            made_at: now,
            running: running.collect(),
            ended: self.unacked_ends.clone(),
            ..Listing::default()
        }
    }

    /// Drops the ends up to a sequence number, as the scheduler has stored them.
    pub fn acknowledge_ends(&mut self, sequence_number: u64) {
        self.unacked_ends.retain(|e| e.sequence_number > sequence_number);
    }
}

/// Returns the id of an incarnation of the worker on a host.
fn worker_id(host: usize, incarnation: u32) -> WorkerId {
    format!("w-{host:05}-{incarnation}").into()
}
