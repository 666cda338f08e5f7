//! A deterministic simulation of workers, relays, a store and lease holders on injected time.
//!
//! Decisions are made by the real [`Scheduler`]. The simulation provides workers with leases,
//! fencing tokens and reports of ended runs; relays that are paused, partitioned, replaced or
//! slow; a store that rejects writes of earlier terms; messages that are lost or delayed by
//! seconds; and holders that are paused or replaced. An oracle checks each start of a task, each
//! final job state that a holder publishes, and that long-running tasks are at work.

mod adviser;
mod bounded_store;
mod builders;
mod crashes;
mod entries;
mod evacuations;
mod fault_rng;
mod gangs;
mod given_up;
mod holder;
mod lasting;
mod misdelivered;
mod oracle;
mod order_queue;
mod queue_changes;
mod relay;
mod restarts;
mod second_owner;
mod store_cuts;
mod waiting_polls;
mod worker;
mod worker_changes;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::{HostId, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_handover::HandoverPolicy;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    AdviceConfig, EndKind, EndedIncarnationRecord, Event, JobNumber, JobSpec, JobStatus, Limits,
    OutagePolicy, QueueConfig, QueueTag, RelayCandidate, SchedConfig, Scheduler, ServiceConfig, StepSpec,
    TaskId, WorkerInfo, WorkerRecord, Workspaces,
};

use workswood::ops::jobs::append_calls::StateEncoder;
use workswood::ops::jobs::lease_renewal::{EXTENSION_GRACE, FULL_LEASE_GRACE};

pub use self::fault_rng::{Fate, FaultRng};
pub use self::lasting::{ABSENCE_BOUND, CALM_BEFORE, RESTART_BOUND};
pub use self::queue_changes::QueueChange;
pub use self::second_owner::{OtherOwner, second_key};

use self::bounded_store::BoundedStore;
use self::crashes::Crashes;
use self::entries::Entries;
use self::evacuations::Evacuations;
use self::gangs::Gangs;
use self::holder::Holder;
use self::lasting::LastingTasks;
use self::misdelivered::Misdelivery;
use self::queue_changes::QueueChanges;
use self::relay::{Session, SimRelay};
use self::second_owner::{Attempts, StoredJobs};
use self::store_cuts::StoreCuts;
use self::waiting_polls::WaitingPoll;
use self::worker::{Answer, Order, SimWorker, WorkerLimits};
use self::worker_changes::WorkerChanges;

/// Simulated time of one step.
pub const STEP: Duration = Duration::from_millis(20);
/// Duration of a worker's lease.
const LEASE: Duration = Duration::from_millis(5000);
/// Longest lease that a worker accepts.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Latency between holder and relay on slow links; less than the silence after which a holder
/// closes a session.
const SLOW_LINK_LATENCY: Duration = Duration::from_millis(900);
/// Time until a worker that has left is replaced.
const VACANCY: Duration = Duration::from_secs(40);
/// Shortest and longest run of a task that ends, in milliseconds.
const RUN_TIMES_MS: (u64, u64) = (200, 1100);
/// The same in a world with long runs: none ends within the lease of its start.
const LONG_RUN_TIMES_MS: (u64, u64) = (6000, 9000);
/// Capacity of each worker.
const WORKER_CAPACITY: Resources = Resources { cpu_millis: 4000, mem_mb: 8000, gpus: 0 };
/// Name of the service that runs the tasks.
pub const SERVICE: &str = "desk";
/// Name of the job queue.
pub const QUEUE: &str = "desk-queue";
/// Workspace of all jobs in a world with a workspace limit.
const WORKSPACE: &str = "north";
/// Number of one-core tasks that the workspace may run at once.
const WORKSPACE_TASK_LIMIT: usize = 3;
/// Number of failed runs after which a task is not retried.
pub const ATTEMPTS: u32 = 3;
/// Processor that such a task uses, in thousandths of a core.
const SMALL_TASK_CPU: u64 = 100;
/// Maximum number of workers per relay.
const MAX_WORKERS_PER_RELAY: usize = 2;

/// Counts and violations that the oracle has recorded.
#[derive(Debug, Default)]
pub struct Seen {
    /// Starts that workers accepted.
    pub starts: u64,
    /// Runs reported as done.
    pub done: u64,
    /// Starts that workers refused because the ticket was missing or invalid.
    pub without_ticket: u64,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    /// Takeovers of the holder's lease.
    pub takeovers: u64,
    /// Relay sessions that holders opened.
    pub sessions: u64,
    /// Starts that holders sent before they were on record.
    pub unrecorded_starts: u64,
    /// Jobs published as failed although none of their tasks exhausted its attempts or crashes its
    /// workers.
    pub sound_jobs_given_up: u64,
    /// Tasks that were made to crash their workers and that crashed one at least.
    pub crashing_tasks: u64,
    /// Crashes of workers that ran such a task.
    pub crashes_under_them: u64,
    /// Times that a worker began to list less capacity, or no label.
    pub worker_changes: u64,
    /// Orders that a later life of a worker received than they were sent to, while it was down or cut off.
    pub misdelivered_orders: u64,
    /// Batches that took several appends.
    pub split_batches: u64,
    /// Starts that brought a checkpoint.
    pub resumed_starts: u64,
    /// Callers who were told that another owner's job has their number.
    pub taken_numbers: u64,
    /// Members of gangs that failed.
    pub failed_gangs: u64,
    /// Callers who tried again under a number that another owner's job has, and were told that the job was accepted.
    pub accepted_repeats: u64,
}

impl Seen {
    /// Adds what another history has seen, its violations aside.
    pub fn add(&mut self, other: &Seen) {
        self.starts += other.starts;
        self.done += other.done;
        self.without_ticket += other.without_ticket;
        self.takeovers += other.takeovers;
        self.sessions += other.sessions;
        self.unrecorded_starts += other.unrecorded_starts;
        self.sound_jobs_given_up += other.sound_jobs_given_up;
        self.crashing_tasks += other.crashing_tasks;
        self.crashes_under_them += other.crashes_under_them;
        self.worker_changes += other.worker_changes;
        self.misdelivered_orders += other.misdelivered_orders;
        self.split_batches += other.split_batches;
        self.resumed_starts += other.resumed_starts;
        self.taken_numbers += other.taken_numbers;
        self.failed_gangs += other.failed_gangs;
        self.accepted_repeats += other.accepted_repeats;
    }
}

/// An order whose delivery is delayed; it is dropped if the worker's life ends before, unless later lives receive
/// orders meant for former ones.
#[derive(Clone)]
struct DelayedOrder {
    due: Duration,
    /// Life of the worker that the order was addressed to.
    addressee: WorkerId,
    /// Life that the worker had when the order was sent.
    recipient: WorkerId,
    order: Order,
}

/// The simulated job system.
pub struct World {
    /// Simulated time.
    pub now: Duration,
    workers: Vec<SimWorker>,
    relays: Vec<SimRelay>,
    /// Sessions between holders and relays.
    sessions: BTreeMap<u64, Session>,
    /// Number of the session opened last.
    last_session: u64,
    /// Latency between holder and relays.
    link_latency: Duration,
    holders: Vec<Holder>,
    delayed_orders: Vec<DelayedOrder>,
    jobs: BTreeMap<JobNumber, Arc<JobSpec>>,
    /// Jobs that have been removed from the inbox.
    trimmed: BTreeSet<JobNumber>,
    /// Jobs that were cancelled, and when they first were.
    cancelled: BTreeMap<JobNumber, Duration>,
    stored_jobs: StoredJobs,
    /// Whose attempts were ordered.
    attempts: Attempts,
    stored_workers: BTreeMap<WorkerId, WorkerRecord>,
    stored_ended: BTreeMap<WorkerId, EndedIncarnationRecord>,
    /// The state in its stored form; `None` if the store takes records of any size.
    bounded_store: Option<BoundedStore>,
    /// Tasks that some worker has run successfully.
    done: BTreeSet<TaskId>,
    /// When each job was first shown as completed.
    shown_completed: HashMap<JobNumber, Duration>,
    /// Failed runs per task.
    failed_runs: HashMap<TaskId, u32>,
    term: Term,
    /// Until when anybody may give full leases, as the records of the holder's lease tell. A claim grants nothing.
    full_leases_until: Duration,
    /// Number of worker lives created; used to name them.
    lives: u64,
    /// Tasks whose successful end a holder has acknowledged.
    acked_done: BTreeSet<TaskId>,
    /// Acknowledged failed runs per task.
    acked_failures: HashMap<TaskId, u32>,
    crashes: Crashes,
    lasting: LastingTasks,
    store_cuts: StoreCuts,
    /// What workers list for a while instead of what they have; `None` if they don't change.
    changes: Option<WorkerChanges>,
    /// Orders that may reach a later life; `None` if none does.
    misdelivery: Option<Misdelivery>,
    /// Entries at which jobs are handed in; `None` if holders read jobs as they are submitted.
    entries: Option<Entries>,
    /// Whether no run of a long-running task fails.
    endless_runs: bool,
    /// Shortest and longest run of a task that ends, in milliseconds.
    run_times_ms: (u64, u64),
    evacuations: Evacuations,
    gangs: Gangs,
    /// Whether the queue has an adviser.
    advised: bool,
    /// Figures of the adviser.
    advice: AdviceConfig,
    /// Whether every other worker is of another service, and each service has queues of its own.
    two_services: bool,
    queue_changes: QueueChanges,
    /// Whether all jobs belong to one workspace that has a limit.
    limited: bool,
    /// Whether workers report when they started and restart under the same name.
    restarts: bool,
    /// Whether holders start late tasks a second time where their step allows copies.
    second_runs: bool,
    /// How holders hand over.
    handover: HandoverPolicy,
    worker_limits: WorkerLimits,
    /// Whether few orders at a time are under way to a worker, and the others wait in its relay.
    order_queues: bool,
    /// Starts and stops in 1,000 that are lost, delayed or not answered, if these are more than other
    /// messages.
    pub order_faults_per_mille: u64,
    /// Whether holders and relays are always in touch, so that the oracle checks how late starts are.
    time_bounds: bool,
    /// What holders do while the store is away.
    outage: OutagePolicy,
    /// Whether polls wait at workers and follow stops, and answers overtake each other.
    polls_wait: bool,
    /// Polls that wait at workers.
    waiting_polls: Vec<WaitingPoll>,
    /// What the oracle has recorded.
    pub seen: Seen,
    /// Draws the fate of messages and the duration and outcome of runs.
    pub rng: FaultRng,
    /// Draws which polls wait at a worker, and the latency of answers.
    poll_rng: FaultRng,
}

pub(super) fn limits() -> Limits {
    Limits {
        lease: LEASE,
        max_lease: MAX_LEASE,
        extension_grace: FULL_LEASE_GRACE,
        clock_drift: 0.02,
        host_order_delay: Duration::from_secs(3),
        host_orders_per_s: 64.0,
        ended_job_retention: Duration::from_secs(3600),
        round_lead_time: Duration::ZERO,
    }
}

/// Returns the scheduler configuration of the simulation.
pub fn config() -> SchedConfig {
    let queue = QueueConfig {
        name: QUEUE.to_string(),
        host_name: "desk.example".to_string(),
        path_prefix: "/desk/".to_string(),
        service: SERVICE.to_string(),
        requires_key: false,
        priority: 0,
        max_attempts: ATTEMPTS,
        deadline_factor: 1.6,
        deadline_offset: Duration::from_millis(600),
        advice: None,
    };
    let service = ServiceConfig { name: SERVICE.to_string(), enforces_capacity: true, spare: false };
    SchedConfig {
        version: 1,
        queues: [(QUEUE.to_string(), queue)].into(),
        services: [(SERVICE.to_string(), service)].into(),
        workspaces: Workspaces::default(),
        max_body_bytes: 1 << 18,
    }
}

/// Creates a job for [`QUEUE`], accepted at this time in milliseconds.
pub fn job(steps: Vec<StepSpec>, accepted_at: u64) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_string(),
        service: SERVICE.to_string(),
        workspace: None,
        tag: QueueTag::UNKNOWN,
        priority: 0,
        max_attempts: ATTEMPTS,
        task_input: "text".into(),
        steps,
        repeat: None,
        accepted_at,
    }
}

/// Creates a step of `count` one-core tasks that depends on the given steps.
pub fn step(count: u32, depends_on: Vec<u16>) -> StepSpec {
    StepSpec {
        count,
        depends_on,
        resources: Resources { cpu_millis: 1000, mem_mb: 100, gpus: 0 },
        estimate: Duration::from_millis(500),
        ..StepSpec::default()
    }
}

/// Creates a step of `count` tasks, many of which fit on a worker.
pub fn small_step(count: u32) -> StepSpec {
    let resources = Resources { cpu_millis: SMALL_TASK_CPU, mem_mb: 10, gpus: 0 };
    StepSpec { resources, ..step(count, vec![]) }
}

impl World {
    fn new_life(&mut self) -> SimWorker {
        self.lives += 1;
        SimWorker::new(WorkerId::from(format!("w-{}", self.lives)), self.worker_limits)
    }

    /// Creates the next life of worker `n`: under the same name if workers restart, else a new one.
    fn next_life(&mut self, n: usize) -> SimWorker {
        if !self.restarts {
            return self.new_life();
        }
        let started = self.now.as_millis() as u64;
        SimWorker::new(WorkerId::new(self.workers[n].id.name(), Some(started)), self.worker_limits)
    }

    fn info(&self, n: usize, id: &WorkerId) -> WorkerInfo {
        let (capacity, labels) = self.listed_room(id);
        WorkerInfo {
            id: id.clone(),
            service: self.service_of(n).to_string(),
            address: format!("10.0.0.{n}:80"),
            data_centre: self.data_centre(n),
            host: format!("m-{n}"),
            capacity,
            labels,
            draining: self.workers.iter().any(|w| w.id == *id && w.draining_since.is_some()),
        }
    }

    /// Has worker `n` state that it drains.
    pub fn drain(&mut self, n: usize) {
        let n = n % self.workers.len();
        self.note_fault();
        self.workers[n].draining_since = Some(self.now);
        let info = self.info(n, &self.workers[n].id);
        let at = self.now + self.listing_delay();
        self.holders.iter_mut().for_each(|h| h.enqueue_event(at, Event::WorkerListed(info.clone())));
    }

    /// Has worker `n` state that it drains; another one takes its place after some time.
    pub fn retire(&mut self, n: usize, after: Duration) {
        let n = n % self.workers.len();
        if self.workers[n].up {
            self.drain(n);
            self.replace_later(n, after);
        }
    }

    /// Lets worker `n` leave without a word. It is unlisted after some time; another one takes its
    /// place long after.
    pub fn leave(&mut self, n: usize, unlisted_after: Duration) {
        let n = n % self.workers.len();
        if !self.workers[n].up {
            return;
        }
        self.record_lost_runs(n);
        self.take_down(n, VACANCY);
        self.workers[n].has_left = true;
        let (at, id) = (self.now + unlisted_after, self.workers[n].id.clone());
        self.holders.iter_mut().for_each(|h| h.enqueue_event(at, Event::WorkerUnlisted(id.clone())));
    }

    /// Lets a new holder claim the lease; earlier holders do not know of it yet.
    pub fn take_over(&mut self) {
        self.note_fault();
        self.term += 1;
        self.seen.takeovers += 1;
        let own = format!("holder-{}", self.term);
        let mut sched = Scheduler::new(self.term, limits(), self.now, self.now.as_millis() as u64);
        sched.holder.clone_from(&own);
        sched.predecessors_extend_until = Some(self.full_leases_until);
        sched.policy.second_runs.enabled = self.second_runs;
        sched.policy.handover = self.handover.clone();
        sched.policy.outage = self.outage.clone();
        self.set_relays(&mut sched);
        sched.handle(Event::ConfigChanged(Arc::new(self.config())));
        sched.handle(Event::Evacuated(self.evacuated()));
        let encoder = self.restore(&mut sched);
        for key in self.cancelled.keys() {
            sched.handle(Event::Cancelled(self.job_key(*key)));
        }
        for (n, w) in self.workers.iter().enumerate().filter(|(n, w)| !w.has_left && !self.is_unlisted(*n)) {
            sched.handle(Event::WorkerListed(self.info(n, &w.id)));
        }
        self.relays.push(SimRelay::new(own.clone(), Some(self.term)));
        self.holders.push(Holder::new(sched, encoder, self.now));
        self.open(self.holders.len() - 1, own);
    }

    /// Has a new holder take over what is stored; returns how it writes further records.
    fn restore(&self, sched: &mut Scheduler) -> StateEncoder {
        let (jobs, workers, ended, encoder) = match &self.bounded_store {
            Some(store) => {
                let (state, encoder) = store.read();
                let jobs = self.join_stored(&state);
                // In a fixed order, so that a seed plays the same each time.
                let workers: BTreeMap<_, _> = state.workers.into_iter().collect();
                let ended: BTreeMap<_, _> = state.ended_incarnations.into_iter().collect();
                (jobs, workers, ended, encoder)
            }
            None => {
                let (workers, ended) = (self.stored_workers.clone(), self.stored_ended.clone());
                (self.read_jobs(), workers, ended, StateEncoder::default())
            }
        };
        for (id, rec) in workers {
            sched.restore_worker(id, rec);
        }
        for (id, ended) in &ended {
            sched.restore_ended(id.clone(), ended);
        }
        sched.restore_jobs(jobs);
        encoder
    }

    /// Sets the entries that a scheduler may use as relays.
    fn set_relays(&self, sched: &mut Scheduler) {
        let others = self.relays.iter().filter(|r| r.own.is_none());
        let entry = |r: &SimRelay| RelayCandidate {
            name: r.name.clone(),
            data_centre: "north".to_string(),
            holder_capacity: 100,
        };
        sched.policy.relays.max_workers =
            if self.relays.is_empty() { usize::MAX } else { MAX_WORKERS_PER_RELAY };
        sched.set_relay_candidates(others.map(entry).collect());
    }

    /// Ends the process of the current holder, with its relay, without a trace.
    pub fn kill_holder(&mut self) {
        if let Some(last) = self.holders.len().checked_sub(1)
            && let Some(batch) = self.holders[last].take_write()
        {
            self.cut_write(last, &batch);
        }
        let Some(h) = self.holders.pop() else { return };
        let term = h.sched.token;
        self.relays.retain(|r| r.own != Some(term));
        self.sessions.values_mut().filter(|s| s.term == term).for_each(|s| s.kept_by_holder = false);
    }

    /// Pauses the current holder.
    pub fn pause(&mut self, duration: Duration) {
        let until = self.now + duration;
        if let Some(h) = self.holders.last_mut() {
            h.paused_until = until;
        }
    }

    /// Pauses a relay.
    pub fn pause_relay(&mut self, n: usize, duration: Duration) {
        let until = self.now + duration;
        if let Some(r) = self.relays.get_mut(n) {
            r.paused_until = until;
        }
    }

    /// Partitions a relay from the holders, or heals the partition.
    pub fn cut_relay(&mut self, n: usize, partitioned: bool) {
        if let Some(r) = self.relays.get_mut(n) {
            r.partitioned = partitioned;
        }
    }

    /// Lets a relay announce its shutdown if `planned` and not announced yet; otherwise replaces
    /// its process by a new one.
    pub fn stop_relay(&mut self, n: usize, planned: bool) {
        self.note_fault();
        let Some(r) = self.relays.get_mut(n) else { return };
        if planned && !r.leaving {
            r.leaving = true;
        } else {
            r.restart();
            for s in self.sessions.values_mut().filter(|s| s.relay == r.name) {
                s.kept_by_relay = false;
            }
        }
    }

    /// Sets whether messages between holder and relays are slow.
    pub fn slow_links(&mut self, slow: bool) {
        self.link_latency = if slow { SLOW_LINK_LATENCY } else { STEP };
    }

    fn is_partitioned(&self, relay: &HostId) -> bool {
        self.relays.iter().any(|r| r.name == *relay && r.partitioned)
    }

    /// Submits a job.
    pub fn submit(&mut self, key: JobNumber, mut spec: JobSpec) {
        spec.workspace = self.limited.then(|| WORKSPACE.to_string());
        spec.tag = self.first_tag();
        self.require_label(key, &mut spec);
        self.enqueue_submission(key, Arc::new(spec));
    }

    /// Submits a random known job again, as a caller does that received no answer.
    pub fn submit_again(&mut self) {
        let Some(last) = self.jobs.len().checked_sub(1) else { return };
        let at = self.rng.below(last as u64 + 1) as usize;
        if let Some((key, spec)) = self.jobs.iter().nth(at) {
            let (key, spec) = (*key, spec.clone());
            self.enqueue_submission(key, spec);
        }
    }

    /// Cancels a job.
    pub fn cancel(&mut self, key: JobNumber) {
        self.cancelled.entry(key).or_insert(self.now);
        let (now, job) = (self.now, self.job_key(key));
        self.holders.iter_mut().for_each(|h| h.enqueue_event(now, Event::Cancelled(job)));
    }

    /// Ends the life of worker `n` and starts another one in its place.
    pub fn replace(&mut self, n: usize) {
        let n = n % self.workers.len();
        self.note_fault();
        self.record_lost_runs(n);
        if self.restarts && self.workers[n].up {
            self.restart_worker(n);
            return;
        }
        let fresh = self.next_life(n);
        let old = std::mem::replace(&mut self.workers[n], fresh);
        let info = self.info(n, &self.workers[n].id);
        let now = self.now;
        let listing_delay = self.listing_delay();
        for h in &mut self.holders {
            // With restarts the listed entry changes in place, so the old life is not unlisted.
            if !self.restarts {
                h.enqueue_event(now, Event::WorkerUnlisted(old.id.clone()));
            }
            h.enqueue_event(now + listing_delay, Event::WorkerListed(info.clone()));
        }
    }

    /// Partitions a worker from the relays, or heals the partition.
    pub fn cut(&mut self, n: usize, partitioned: bool) {
        let n = n % self.workers.len();
        self.workers[n].partitioned = partitioned;
        if !partitioned {
            self.regain_store_of(n);
        }
    }

    /// Ends all injected faults, partitions and evacuations.
    pub fn heal(&mut self) {
        self.rng.faults_per_mille = 0;
        self.order_faults_per_mille = 0;
        self.link_latency = STEP;
        (0..self.workers.len()).for_each(|n| self.cut(n, false));
        self.end_evacuations();
        self.end_worker_changes();
        self.regain_store();
        for r in &mut self.relays {
            (r.partitioned, r.leaving) = (false, false);
        }
    }

    /// Returns the state of a job that the current holder publishes.
    pub fn shown(&self, key: JobNumber) -> Option<JobStatus> {
        self.holders.last().and_then(|h| h.shown.get(&key)).and_then(|s| s.state)
    }

    /// Returns whether a job has ended for its caller.
    pub fn is_over(&self, key: JobNumber) -> bool {
        matches!(self.shown(key), Some(JobStatus::Ended(_)))
    }

    /// Returns the number of workers that are running a task.
    pub fn running(&self, id: &TaskId) -> usize {
        self.workers.iter().filter(|w| w.up && w.running.contains_key(id)).count()
    }

    /// Returns the number of workers of the same service that are running a task.
    fn running_beside(&self, at: usize, id: &TaskId) -> usize {
        let service = self.service_of(at);
        let same = self.workers.iter().enumerate().filter(|(n, _)| self.service_of(*n) == service);
        same.filter(|(_, w)| w.up && w.running.contains_key(id)).count()
    }

    /// Returns a worker that is running a task.
    pub fn worker_of(&self, id: &TaskId) -> Option<usize> {
        self.workers.iter().position(|w| w.up && w.running.contains_key(id))
    }

    /// Advances the simulation by a duration.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let due: Vec<DelayedOrder> =
            self.delayed_orders.iter().filter(|l| l.due <= self.now).cloned().collect();
        self.delayed_orders.retain(|l| l.due > self.now);
        for l in due {
            if self.outlives_its_recipient() || self.workers.iter().any(|w| w.id == l.recipient) {
                self.carry_out(&l.addressee, &l.order, true);
            }
        }
        self.run_due_crashes();
        self.deliver_held_orders();
        self.unlist_cut_workers();
        self.change_workers();
        let now = self.now;
        let end_runs = |(at, w): (usize, &mut SimWorker)| {
            w.end_runs(now).into_iter().map(move |(task, attempt, kind)| (at, task, attempt, kind))
        };
        let ended: Vec<(usize, TaskId, u32, EndKind)> =
            self.workers.iter_mut().enumerate().flat_map(end_runs).collect();
        self.record_ends(&ended);
        self.settle_gangs(&ended);
        self.answer_waiting_polls();
        for at in 0..self.relays.len() {
            if !self.is_paused(at) {
                self.run_relay(at);
            }
        }
        for n in 0..self.holders.len() {
            if self.holders[n].paused_until <= self.now {
                self.run_holder(n);
            }
        }
        self.end_deposed();
        self.run_entries();
        self.check_lasting();
        self.seen.sessions = self.last_session;
    }

    /// Returns whether a relay is paused, either itself or together with its holder.
    fn is_paused(&self, at: usize) -> bool {
        let r = &self.relays[at];
        let holder = self.holders.iter().find(|h| r.own == Some(h.sched.token));
        r.paused_until > self.now || holder.is_some_and(|h| h.paused_until > self.now)
    }

    /// Removes holders that know of a successor, with their relays and sessions.
    fn end_deposed(&mut self) {
        let ended: Vec<Term> =
            self.holders.iter().filter(|h| h.sched.deposed).map(|h| h.sched.token).collect();
        self.holders.retain(|h| !h.sched.deposed);
        self.relays.retain(|r| r.own.is_none_or(|term| !ended.contains(&term)));
        self.sessions.values_mut().filter(|s| ended.contains(&s.term)).for_each(|s| s.kept_by_holder = false);
        self.sessions.retain(|_, s| s.kept_by_holder || s.kept_by_relay);
    }

    /// Sends an order to a worker; returns the answer unless the order or the answer is lost.
    fn deliver(&mut self, id: &WorkerId, order: Order) -> Option<Answer> {
        let faults_per_mille = match order.is_command() {
            true => self.rng.faults_per_mille.max(self.order_faults_per_mille),
            false => self.rng.faults_per_mille,
        };
        let fate = self.rng.fate_with(faults_per_mille);
        self.deliver_as(fate, id, order)
    }

    /// Sends an order that meets a fate; returns the answer unless the order or the answer is lost.
    fn deliver_as(&mut self, fate: Fate, id: &WorkerId, order: Order) -> Option<Answer> {
        if fate != Fate::Fine {
            self.note_fault();
        }
        match fate {
            Fate::Fine => self.carry_out_or_hold(id, &order),
            Fate::Lost => None,
            Fate::AnswerLost => {
                self.carry_out_or_hold(id, &order);
                None
            }
            Fate::Late(after) => {
                let recipient = self.workers.iter().find(|w| w.id.name() == id.name()).map(|w| w.id.clone());
                let (due, addressee) = (self.now + after, id.clone());
                self.delayed_orders.extend(recipient.map(|recipient| DelayedOrder {
                    due,
                    addressee,
                    recipient,
                    order,
                }));
                None
            }
        }
    }

    /// Delivers an order at once, or keeps it if its worker is not reached and may receive it later.
    fn carry_out_or_hold(&mut self, id: &WorkerId, order: &Order) -> Option<Answer> {
        let answer = self.carry_out(id, order, false);
        if answer.is_none() {
            self.hold_order(id, order);
        }
        answer
    }

    /// Delivers an order to the worker of this name, possibly long after it was sent; returns
    /// `None` if that worker is down, partitioned or unknown.
    fn carry_out(&mut self, id: &WorkerId, order: &Order, late: bool) -> Option<Answer> {
        // Calls are addressed by worker name, so an order for one life can reach the next one.
        let at = self.workers.iter().position(|w| w.id.name() == id.name() && w.up && !w.partitioned)?;
        if self.is_lost_copy(id, order) {
            return None;
        }
        let order = &self.order_as_received(at, id, order);
        if let Order::Probe { token, forget, .. } = order
            && *token >= self.workers[at].fence
        {
            self.record_acked_ends(at, *forget);
        }
        let answer = self.workers[at].handle(order, self.advised, self.now);
        match &answer {
            Answer::Accepted(task, attempt) => {
                self.note_taken((*task, *attempt));
                if !late {
                    self.check_evacuated(at, task);
                    self.check_time_bounds(at, task);
                }
                self.begin_task(at, *task, *attempt);
            }
            Answer::Reply(workswood_core::jobs::StartReply::Ticket) => self.seen.without_ticket += 1,
            Answer::Reply(_) | Answer::Listing(_) => {}
        }
        Some(answer)
    }
}
