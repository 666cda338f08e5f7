//! The scheduler's state machine: takes events in and returns records and actions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::absent_tasks::AbsentTasks;
use super::advice::AdviceState;
use super::config::SchedConfig;
use super::crash_rate::CrashRate;
use super::crash_withdrawal::CountedLives;
use super::cut_off_workers::ListWatch;
use super::ended_incarnations::EndedIncarnations;
use super::fair_share::SubmissionRates;
use super::host::Host;
use super::job::{FinishedJobRecord, Job, JobRecord, Task, WorkerId};
use super::job_key::{JobKey, JobNumber};
use super::job_table::{ArchivedJob, JobTable};
use super::lease_claim::EntryCapacity;
use super::log_lines::LogLines;
use super::maintenance_waves::{WaveRecord, WaveState};
use super::namesakes::{ForgottenJob, Namesakes};
use super::order_marks::OrderMarks;
use super::outage::StoreAccess;
use super::over_runs::OverRuns;
use super::policy::Policy;
use super::pool_planning::PoolState;
use super::queue_order::{StepPaths, TaskDurations, queue_position, step_paths};
use super::relays::Relays;
use super::second_runs::SecondRuns;
use super::sibling_times::SiblingTimes;
use super::slow_workers::SlowWorkers;
use super::spec::{JobSpec, StepId, TaskId};
use super::stable_map::StableMap;
use super::takeover_barrier::TakeoverBarrier;
use super::task_queue::TaskQueue;
use super::types::{Action, Batch, Event, JobStatusUpdate, Limits, Record, lease_with_drift};
use super::worker::{WorkerInfo, WorkerRecord};
use super::worker_table::WorkerTable;
use crate::ids::{DataCentre, HostId, ServiceId, Term, UnixMs};

/// Interval of the check for stuck runs: those that make no progress, or whose stop had no effect.
/// The check visits every run.
const STUCK_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Most rounds of a job that one event opens.
const MAX_ROUNDS_OPENED: u32 = 1_000;

/// The state of the process that holds the scheduler lease.
pub struct Scheduler {
    /// Monotonic time.
    pub now: Duration,
    /// Time of day.
    pub wall: UnixMs,
    /// When the scheduler lease was claimed.
    pub claimed_at: Duration,
    /// Until when holders of earlier terms may extend workers' leases; `None` if that is not known.
    pub predecessors_extend_until: Option<Duration>,
    /// Fencing token of this term.
    pub token: Term,
    /// Name of the entry that holds the lease.
    pub holder: String,
    /// Number of workers that this entry can poll.
    pub strength: EntryCapacity,
    /// Limits of the platform and of the scheduler.
    pub limits: Limits,
    /// Parameters of the decisions.
    pub policy: Policy,
    /// The configuration in force.
    pub config: Arc<SchedConfig>,
    /// All known jobs.
    pub jobs: JobTable,
    /// All known incarnations of workers.
    pub workers: WorkerTable,
    /// Listed workers whose service is not in the configuration yet.
    pub(super) workers_without_service: BTreeMap<WorkerId, WorkerInfo>,
    /// Relays, and which workers each polls.
    pub(super) relays: Relays,
    /// Tasks that wait for a worker, by service.
    pub(super) ready: StableMap<ServiceId, TaskQueue>,
    /// Of those, the tasks that wait for a trial run, each with the time since which it is
    /// suspected of crashing workers.
    pub(super) trials: StableMap<ServiceId, BTreeSet<(Duration, TaskId)>>,
    /// Data centres that are being evacuated; no work begins there.
    pub(super) evacuated: BTreeSet<DataCentre>,
    /// Processor capacity, in thousandths of a core, of all listed hosts on which work may begin.
    pub(super) fleet_cpu_millis: u64,
    /// What each workspace submitted lately, compared with its share.
    pub(super) submission_rates: SubmissionRates,
    /// How often workers crash by themselves.
    pub(super) crash_rate: CrashRate,
    /// Lives that are counted as crashed, and the tasks that this is on record of.
    pub(super) counted_lives: CountedLives,
    /// Durations of tasks.
    pub(super) durations: TaskDurations,
    /// Times of completed tasks of open jobs.
    pub(super) sibling_times: SiblingTimes,
    /// Workers that get no new work because they are slow.
    pub(super) slow_workers: SlowWorkers,
    /// Long-running tasks that run nowhere.
    pub(super) absent_tasks: AbsentTasks,
    /// Open jobs whose tasks may get second runs.
    pub(super) second_runs: SecondRuns,
    /// The runs that were over last.
    pub(super) over_runs: OverRuns,
    /// Hosts, as last listed.
    pub hosts: StableMap<HostId, Host>,
    /// When that list was requested.
    pub(super) hosts_requested_at: Duration,
    /// Hosts that were ordered lately.
    pub(super) order_marks: OrderMarks,
    /// Waves by number.
    pub waves: BTreeMap<u64, WaveState>,
    /// Stored progress of waves that are not known yet.
    pub(super) early_wave_records: BTreeMap<u64, WaveRecord>,
    /// Moves of hosts between pools, and what pools need.
    pub(super) pools: PoolState,
    /// Calls to the adviser.
    pub(super) advice: AdviceState,
    /// Whether the store takes records, and what is done while it does not.
    pub(super) store_access: StoreAccess,
    /// Whether the list of workers has been followed.
    pub(super) list_watch: ListWatch,
    /// Forgotten workers whose record with a bound may still be stored.
    pub(super) forgotten_bounds: BTreeSet<WorkerId>,
    /// Incarnations of workers that have ended lately.
    pub(super) ended_incarnations: EndedIncarnations,
    /// Tasks that a predecessor may have started without a record.
    pub(super) barrier: TakeoverBarrier,
    /// Whether a worker reported a higher fencing token than this term's.
    pub deposed: bool,
    /// Jobs whose record changed since the last batch.
    pub(super) dirty_jobs: BTreeSet<JobKey>,
    /// Waves whose record changed since the last batch.
    pub(super) dirty_waves: BTreeSet<u64>,
    /// Workers whose record changed since the last batch.
    pub(super) dirty_workers: BTreeSet<WorkerId>,
    /// States of jobs to show to callers with the next batch, besides those of `dirty_jobs`.
    pub(super) status_updates: Vec<JobStatusUpdate>,
    /// Jobs that ended and no longer run anywhere, since the last batch.
    pub(super) finished_jobs: Vec<JobKey>,
    /// Jobs forgotten since the last batch.
    pub(super) forgotten_jobs: Vec<ForgottenJob>,
    /// Jobs that wait until no job of another owner is at work under their number.
    pub(super) namesakes: Namesakes,
    /// Hosts whose workers are cordoned.
    pub(super) cordoned_hosts: BTreeSet<HostId>,
    /// When stuck runs were last looked for.
    stuck_checked_at: Duration,
    /// Runs that a predecessor evicted and that workers still list.
    pub(super) inherited_evictions: BTreeSet<(WorkerId, TaskId, u32)>,
    /// Actions for the next batch.
    pub(super) actions: Vec<Action>,
    /// By worker, the sequence number of the last reported end of a run that was processed since
    /// the last batch.
    pub(super) acked_ends: BTreeMap<WorkerId, u64>,
    /// Services whose waiting tasks are placed before the next batch is taken.
    pub(super) services_to_place: BTreeSet<ServiceId>,
    /// When the inbox was last read to its end.
    inbox_read_at: Duration,
    /// Cancellations of jobs that are not known yet.
    pub(super) early_cancels: BTreeSet<JobKey>,
    /// Log lines about decisions; the process drains them.
    pub notes: LogLines,
    /// Counters for metrics since this term began.
    pub counters: SchedulerCounters,
}

/// Counters of a scheduler's term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounters {
    /// Incarnations of workers that ended while something ran on them.
    pub incarnations_lost: u64,
    /// Runs that were lost with those incarnations.
    pub runs_lost: u64,
    /// Tasks that were given up because they crash their workers.
    pub tasks_given_up: u64,
    /// Tasks that were given up and came back.
    pub tasks_reinstated: u64,
    /// Times that the restarts of a task were paced from then on, since it may crash its workers.
    pub tasks_paced: u64,
    /// Crashes put on record for tasks that are certain to have come under a run.
    pub certain_crashes: u64,
    /// Crashes put on record for tasks that may have come under a run.
    pub possible_crashes: u64,
    /// Crashes on record that were taken back.
    pub crashes_withdrawn: u64,
    /// Workers that were kept from new work because they were slow.
    pub workers_slow: u64,
    /// Second runs that were started.
    pub second_runs: u64,
    /// Second runs that completed their task before the first run did.
    pub second_runs_first: u64,
    /// Runs that were settled without an end and came back.
    pub settled_runs_returned: u64,
    /// Times that a step was set aside since no known worker could ever take it.
    pub steps_set_aside: u64,
    /// Steps that passes over the waiting tasks looked at.
    pub steps_looked_at: u64,
    /// Passes over the waiting tasks that ended before they had looked at all steps in order.
    pub passes_cut: u64,
    /// Steps that were put into the queue of their service.
    pub steps_queued: u64,
    /// Times that the critical path of a job was computed for the order of its steps.
    pub paths_computed: u64,
}

impl Scheduler {
    /// Returns a scheduler that knows nothing yet.
    pub fn new(token: Term, limits: Limits, claimed_at: Duration, wall: UnixMs) -> Scheduler {
        Scheduler {
            now: claimed_at,
            wall,
            claimed_at,
            predecessors_extend_until: None,
            token,
            holder: String::new(),
            strength: EntryCapacity::MAX,
            limits,
            policy: Policy::default(),
            config: Arc::default(),
            jobs: JobTable::default(),
            workers: WorkerTable::default(),
            workers_without_service: BTreeMap::new(),
            relays: Relays::default(),
            ready: StableMap::default(),
            trials: StableMap::default(),
            evacuated: BTreeSet::new(),
            fleet_cpu_millis: 0,
            submission_rates: SubmissionRates::default(),
            crash_rate: CrashRate::default(),
            counted_lives: CountedLives::default(),
            durations: TaskDurations::default(),
            sibling_times: SiblingTimes::default(),
            slow_workers: SlowWorkers::default(),
            absent_tasks: AbsentTasks::default(),
            second_runs: SecondRuns::default(),
            over_runs: OverRuns::default(),
            hosts: StableMap::default(),
            hosts_requested_at: Duration::ZERO,
            order_marks: OrderMarks::default(),
            waves: BTreeMap::new(),
            early_wave_records: BTreeMap::new(),
            pools: PoolState::default(),
            advice: AdviceState::default(),
            store_access: StoreAccess::default(),
            list_watch: ListWatch::new(claimed_at),
            forgotten_bounds: BTreeSet::new(),
            ended_incarnations: EndedIncarnations::default(),
            barrier: TakeoverBarrier::default(),
            deposed: false,
            dirty_jobs: BTreeSet::new(),
            dirty_waves: BTreeSet::new(),
            dirty_workers: BTreeSet::new(),
            status_updates: Vec::new(),
            finished_jobs: Vec::new(),
            forgotten_jobs: Vec::new(),
            namesakes: Namesakes::default(),
            cordoned_hosts: BTreeSet::new(),
            stuck_checked_at: Duration::ZERO,
            inherited_evictions: BTreeSet::new(),
            actions: Vec::new(),
            acked_ends: BTreeMap::new(),
            services_to_place: BTreeSet::new(),
            inbox_read_at: Duration::ZERO,
            early_cancels: BTreeSet::new(),
            notes: LogLines::default(),
            counters: SchedulerCounters::default(),
        }
    }

    /// Returns the record of a worker for the next batch; `None` if there is none any more.
    fn take_worker_record(&mut self, id: &WorkerId) -> Option<WorkerRecord> {
        let (open, lease_left) = (self.take_open(id), self.take_lease_left(id));
        let w = self.workers.get(id)?;
        let superseded = w.superseded && lease_left.is_some();
        let record = w.info.as_ref()?.record();
        // The next holder waits for tasks of the service that predecessors may have started there.
        let service = self.unsettled_service(id).unwrap_or(&record.service).clone();
        Some(WorkerRecord { open, lease_left, superseded, service, ..record })
    }

    /// The longest real time that a worker's lease may last, with clock drift.
    pub fn lease_with_drift(&self) -> Duration {
        lease_with_drift(self.limits.lease, self.limits.clock_drift)
    }

    /// Processes one event.
    pub fn handle(&mut self, ev: Event) {
        match ev {
            Event::Submitted(number, spec) => self.add_job(number, spec),
            Event::Cancelled(key) => self.cancel(key),
            Event::ConfigChanged(cfg) => self.set_config(cfg),
            Event::Evacuated(data_centres) => self.set_evacuated(data_centres),
            Event::WorkerListed(info) => self.worker_listed(info),
            Event::WorkerUnlisted(id) => self.worker_unlisted(&id),
            Event::OtherIncarnationAnswered(id, heard) => self.handle_other_incarnation(&id, heard),
            Event::WorkerRestarted(id, started, heard) => self.worker_restarted(&id, started, heard),
            Event::WorkerUpdate(id, token, mut update) => {
                self.resolve_jobs(&id, &mut update);
                self.handle_worker_update(&id, token, update);
            }
            Event::AdviceReceived(a) => self.advice_received(a),
            Event::HostsListed(list, asked) => self.hosts_listed(list, asked),
            Event::WaveRequested(wave, rec) => self.wave_requested(wave, rec),
            Event::HostOrderAnswered(host, reply) => self.host_order_answered(&host, reply),
            Event::RelayUp(entry) => self.relay_up(&entry),
            Event::RelayHeard(entry) => self.relay_heard(&entry),
            Event::RelayLeaving(entry) => self.relay_leaving(&entry),
            Event::RelayDown { entry, lease_end, may_return } => {
                self.relay_down(&entry, lease_end, may_return)
            }
            Event::InboxRead(at) => self.inbox_read_at = at,
            Event::Tick => self.tick(),
        }
    }

    /// Adds a job, unless it is known from an earlier read of the inbox. It waits while a job of another owner is at
    /// work under its number on its service.
    fn add_job(&mut self, number: JobNumber, spec: Arc<JobSpec>) {
        let key = spec.key(number);
        if self.is_submitted(&key, &spec.queue) {
            return;
        }
        if self.is_number_free(number, &spec.service) {
            self.open_job(key, spec);
        } else {
            self.wait_for_number(key, spec);
        }
        if self.early_cancels.remove(&key) || self.early_cancels.remove(&key.without_queue()) {
            self.cancel(key);
        }
    }

    /// Adds a job to those at work.
    pub(super) fn open_job(&mut self, key: JobKey, spec: Arc<JobSpec>) {
        let owner = spec.owner();
        let (stretch, target) = self
            .config
            .queue_at(spec.tag, &spec.queue)
            .map_or((1.0, 0), |q| (q.deadline_factor, q.deadline_offset.as_millis()));
        self.notes.push(format_args!(
            "event=job_known job={key:016x} queue={} stretch={stretch} target_ms={target}",
            spec.queue
        ));
        let excess = self.submission_rates.exceeds_rate(
            owner,
            self.config.workspaces.jobs_per_s(owner),
            spec.accepted_at,
        );
        let most_cpu = self.config.workspaces.limit(owner).cpu_millis;
        self.second_runs.track(key, &spec);
        let job = Job { over_rate: excess, max_cpu_millis: most_cpu, ..Job::new(key, spec) };
        self.jobs.insert(self.after_namesakes(job));
        self.track_advised_job(key);
        self.dirty_jobs.insert(key);
        self.open_due_rounds(key);
        self.record_submitted_work(key);
        self.queue_job(key);
    }

    /// Applies a configuration unless a newer one is in force.
    fn set_config(&mut self, cfg: Arc<SchedConfig>) {
        if cfg.version < self.config.version {
            return;
        }
        self.keep_advisers(&cfg);
        self.config = cfg;
        for (_, info) in std::mem::take(&mut self.workers_without_service) {
            self.worker_listed(info);
        }
        self.track_all_advised_jobs();
        self.services_to_place.extend(self.ready.keys().cloned());
    }

    /// Opens rounds that are due, as many as one event may. The others follow at the next ticks.
    pub(super) fn open_due_rounds(&mut self, key: JobKey) {
        let ahead = self.wall + self.limits.round_lead_time.as_millis() as u64;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let last = job.spec.round_count().min(job.rounds.len() as u32 + MAX_ROUNDS_OPENED);
        while job.is_open() && (job.rounds.len() as u32) < last {
            if job.spec.round_due_at(job.rounds.len() as u32) > ahead {
                break;
            }
            job.open_round();
            self.dirty_jobs.insert(key);
        }
    }

    /// Has the waiting tasks of a service placed before the next batch is taken.
    pub(super) fn schedule_placement(&mut self, service: &str) {
        if !self.services_to_place.contains(service) {
            self.services_to_place.insert(service.to_string());
        }
    }

    /// Queues all tasks of a job that may be started now.
    pub(super) fn queue_job(&mut self, key: JobKey) {
        self.queue_rounds(key, 0);
        self.complete_if_done(key);
    }

    /// Queues the tasks of a job that may be started now, of the rounds from this one on.
    fn queue_rounds(&mut self, key: JobKey, first: u32) {
        let Some(job) = self.jobs.get(&key).filter(|job| job.is_open()) else { return };
        let rounds = first..job.rounds.len() as u32;
        let steps: Vec<StepId> = rounds.flat_map(|round| job.ready_steps(round)).collect();
        self.queue_steps(&steps);
    }

    /// Queues the tasks that may be started now that a step is done.
    pub(super) fn queue_dependents(&mut self, done: &StepId) {
        let Some(job) = self.jobs.get(&done.job).filter(|job| job.is_open()) else { return };
        let steps = job.ready_dependents(done);
        self.queue_steps(&steps);
        self.complete_if_done(done.job);
    }

    /// Queues the idle tasks of steps whose turn has come.
    fn queue_steps(&mut self, steps: &[StepId]) {
        for step in steps {
            let tasks = self.jobs.get(&step.job).map(|job| job.idle_tasks(step)).unwrap_or_default();
            self.enqueue(*step, tasks);
        }
    }

    /// Queues one task if it may be started now.
    pub(super) fn queue_task(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let idle = job.task(id).is_some_and(Task::is_idle);
        if !job.is_open() || !idle || !job.is_step_ready(id.round, id.step) {
            return;
        }
        self.enqueue(id.step_id(), vec![id.index]);
    }

    /// What is left of a job from each of its steps on. It is computed anew once a task of the queue has completed.
    fn step_paths(&mut self, key: JobKey) -> Option<Arc<StepPaths>> {
        let job = self.jobs.get_mut(&key)?;
        let completed = self.durations.completed(&job.spec.queue);
        if let Some((_, paths)) = job.paths.as_ref().filter(|(at, _)| *at == completed) {
            return Some(paths.clone());
        }
        let paths = Arc::new(step_paths(job, &self.durations, &self.policy.order));
        job.paths = Some((completed, paths.clone()));
        self.counters.paths_computed += 1;
        Some(paths)
    }

    /// Adds tasks of a step to the queue of their service.
    fn enqueue(&mut self, id: StepId, tasks: Vec<u32>) {
        if tasks.is_empty() {
            return;
        }
        let Some(paths) = self.step_paths(id.job) else { return };
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(step) = job.spec.steps.get(usize::from(id.step)) else { return };
        let queue = self.config.queue_at(job.spec.tag, &job.spec.queue);
        let (position, deadlines) = queue_position(job, &id, queue, &paths, &self.policy.order, self.wall);
        self.counters.steps_queued += 1;
        let spec = job.spec.clone();
        let room = step.reserved_resources();
        let (gang, long_running) = (step.gang, step.long_running);
        if long_running {
            self.note_waiting(&id, &spec.service, &tasks);
            self.note_first_turn(&id, &tasks);
        }
        match self.ready.get_mut(&spec.service) {
            Some(waiting) => waiting.insert(position, deadlines, room, tasks.iter().copied()),
            None => {
                let waiting = self.ready.entry(spec.service.clone()).or_default();
                waiting.insert(position, deadlines, room, tasks.iter().copied());
            }
        }
        if gang {
            self.schedule_placement(&spec.service);
            return;
        }
        for index in &tasks {
            self.queue_trial(&id.task(*index), &spec.service);
        }
        self.schedule_placement(&spec.service);
    }

    /// Takes a task out of the queue.
    pub(super) fn dequeue(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        if let Some(waiting) = self.ready.get_mut(&job.spec.service) {
            waiting.remove(id);
        }
    }

    /// Does the work that depends only on the time.
    fn tick(&mut self) {
        self.watch_worker_list();
        for key in self.jobs.repeating() {
            let before = self.jobs.get(&key).map_or(0, |j| j.rounds.len());
            self.open_due_rounds(key);
            if self.jobs.get(&key).map_or(0, |j| j.rounds.len()) > before {
                self.queue_rounds(key, before as u32);
            }
        }
        let wall = self.wall;
        self.ready.values_mut().for_each(|w| w.downgrade_late_steps(wall));
        self.settle_expired_leases();
        self.settle_expired_barrier();
        self.watch_ended_incarnations();
        self.record_due_bounds();
        if self.now >= self.stuck_checked_at + STUCK_CHECK_INTERVAL {
            self.stuck_checked_at = self.now;
            self.send_due_stops();
            self.shun_slow_workers();
            self.clear_proven_tasks();
            self.watch_absent_tasks();
        }
        self.evict_from_draining();
        self.evict_inherited();
        self.advance_waves();
        self.plan_pools();
        self.drop_expired_marks();
        self.offload_holder();
        self.forget_jobs();
        self.open_namesakes();
        self.services_to_place
            .extend(self.ready.iter().filter(|(_, s)| !s.is_empty()).map(|(k, _)| k.clone()));
    }

    /// Forgets finished jobs whose retention has ended.
    fn forget_jobs(&mut self) {
        let Some(ended_before) = self.now.checked_sub(self.limits.ended_job_retention) else { return };
        for (key, ArchivedJob { record, slot, .. }) in self.jobs.forget_archived(ended_before) {
            self.forgotten_jobs.push(ForgottenJob { key, queue: record.queue, slot });
        }
    }

    /// Adds the record of a job to a batch, and the state to show to callers if it changed. A job
    /// that ended and has no runs left is reduced to its final record.
    fn record_job(&mut self, key: JobKey, batch: &mut Batch) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let state = Some(job.status());
        if std::mem::replace(&mut job.published_status, state) != state {
            let (queue, service) = (job.spec.queue.clone(), job.spec.service.clone());
            let repeats = job.spec.repeat.is_some();
            batch.status_updates.push(JobStatusUpdate { key, queue, service, state, repeats });
        }
        let Some(outcome) = job.outcome.filter(|_| job.has_no_runs()) else {
            batch.records.push(Record::Job(key, job.record()));
            return;
        };
        let (cancelled, begun, spec) = (job.cancelled, job.started, job.spec.clone());
        let (latest_attempt, slot) = (Some(job.latest_attempt()), job.slot);
        let work = self.jobs.get(&key).and_then(|j| self.job_work(j));
        let record = FinishedJobRecord {
            queue: spec.queue.clone(),
            service: spec.service.clone(),
            accepted_at: spec.accepted_at,
            work_core_ms: work,
            max_task_resources: spec.max_task_resources(),
            owner: spec.owner(),
            latest_attempt,
        };
        let over = Some(record.clone());
        let stored = JobRecord {
            cancelled,
            started: begun,
            outcome: Some(outcome),
            over,
            slot,
            ..JobRecord::default()
        };
        batch.records.push(Record::Job(key, stored));
        self.jobs.archive(key, ArchivedJob { outcome, record, slot }, self.now);
        self.finished_jobs.push(key);
    }

    /// Places waiting tasks, asks the adviser, and returns all that changed since the last batch.
    pub fn take_batch(&mut self) -> Batch {
        self.finish_barrier();
        self.update_hidden_use();
        let services = std::mem::take(&mut self.services_to_place);
        if self.store_access != StoreAccess::AwayAndNoStarts {
            services.iter().for_each(|service| self.place_waiting_tasks(service));
        }
        self.start_second_runs();
        self.ask_adviser();
        let mut batch =
            Batch { status_updates: std::mem::take(&mut self.status_updates), ..Batch::default() };
        // What is forgotten comes first: another job may have its number, and its key, since.
        for ForgottenJob { key, queue, slot } in std::mem::take(&mut self.forgotten_jobs) {
            batch.records.push(Record::DropJob(key, slot));
            let (service, state) = (ServiceId::new(), None);
            batch.status_updates.push(JobStatusUpdate { key, queue, service, state, repeats: false });
        }
        batch.records.extend(self.namesakes.take_records());
        for key in std::mem::take(&mut self.dirty_jobs) {
            self.record_job(key, &mut batch);
        }
        batch.finished_jobs = std::mem::take(&mut self.finished_jobs);
        for id in std::mem::take(&mut self.dirty_workers) {
            batch.records.push(
                self.take_worker_record(&id)
                    .map_or_else(|| Record::DropWorker(id.clone()), |rec| Record::Worker(id.clone(), rec)),
            );
        }
        batch.records.extend(self.take_ended_records());
        for n in std::mem::take(&mut self.dirty_waves) {
            let Some(wave) = self.waves.get(&n) else { continue };
            batch.records.push(Record::Wave(n, wave.record.clone()));
            batch.waves.push((n, wave.is_complete()));
        }
        for (host, marked) in self.order_marks.take_changes() {
            batch.records.push(Record::HostOrderMark(host, marked.then(|| self.holder.clone())));
        }
        batch.inbox_read_at = self.inbox_read_at;
        batch.actions = std::mem::take(&mut self.actions);
        batch.acked_ends = std::mem::take(&mut self.acked_ends).into_iter().collect();
        batch
    }
}
