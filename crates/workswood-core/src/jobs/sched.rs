//! The scheduler: events in, records and actions out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::advice::AdviceState;
use super::config::SchedConfig;
use super::crash_rate::CrashRate;
use super::fair_share::SubmissionRates;
use super::handover::OrderMarks;
use super::host::Host;
use super::job::{FinishedJobRecord, Job, JobRecord, JobStatus, Outcome, Phase, Task, WorkerId};
use super::known::{Jobs, OverJob};
use super::lease_claim::EntryCapacity;
use super::log_lines::LogLines;
use super::policy::Policy;
use super::pools::PoolState;
use super::queue_order::{TaskDurations, queue_position};
use super::relays::Relays;
use super::spec::{JobKey, JobSpec, QueueId, StepId, TaskId};
use super::stable_map::StableMap;
use super::task_queue::TaskQueue;
use super::types::{Action, Batch, Event, Limits, Record, ShownJob, lease_span};
use super::wave::WaveState;
use super::worker::{Worker, WorkerInfo, WorkerRecord};
use super::workers::Workers;
use super::workspace::Owner;
use crate::ids::{DataCentre, HostId, ServiceId, Term, UnixMs};
use crate::invariant;

/// Time between two looks for runs that make no progress, or whose stop had no effect:
/// half of the time after which a stop is sent again. It looks at every run.
const SLOW_EVERY: Duration = Duration::from_millis(500);

/// The state of the process that holds the scheduler lease.
pub struct Scheduler {
    /// Steady clock.
    pub now: Duration,
    /// Time of day.
    pub wall: UnixMs,
    /// When this scheduler's lease was claimed.
    pub since: Duration,
    /// Fencing token of this term.
    pub token: Term,
    /// Name of the entry that holds the lease.
    pub holder: String,
    /// Workers that this entry can look after.
    pub strength: EntryCapacity,
    /// Bounds.
    pub limits: Limits,
    /// What decisions are tuned by.
    pub policy: Policy,
    /// What is in force.
    pub config: Arc<SchedConfig>,
    /// Jobs that are known.
    pub jobs: Jobs,
    /// Lives of workers that are known.
    pub workers: Workers,
    /// Entries of workers whose service is not in force.
    pub(super) unnamed: BTreeMap<WorkerId, WorkerInfo>,
    /// Who speaks with them.
    pub(super) relays: Relays,
    /// Tasks that wait for a worker, by service.
    pub(super) ready: StableMap<ServiceId, TaskQueue>,
    /// Those of them that wait for a trial, by since when they are suspected.
    pub(super) trials: StableMap<ServiceId, BTreeSet<(Duration, TaskId)>>,
    /// Data centres in which nothing begins.
    pub(super) evacuated: BTreeSet<DataCentre>,
    /// Processor room of all hosts on which work may begin, in thousandths of a core, as they were
    /// last listed.
    pub(super) fleet_cpu: u64,
    /// What workspaces have sent lately, against their shares.
    shares: SubmissionRates,
    /// How often workers crash by themselves.
    pub(super) crash_rate: CrashRate,
    /// How long tasks take.
    pub(super) durations: TaskDurations,
    /// Hosts, as last listed.
    pub hosts: StableMap<HostId, Host>,
    /// When that list was asked for.
    pub(super) hosts_asked: Duration,
    /// Hosts that were ordered about lately.
    pub(super) marks: OrderMarks,
    /// Waves by number.
    pub waves: BTreeMap<u64, WaveState>,
    /// Moves of hosts, and what pools need.
    pub(super) pools: PoolState,
    /// Calls to the adviser.
    pub(super) advice: AdviceState,
    /// Whether a worker has shown a higher token than ours.
    pub deposed: bool,
    /// Jobs whose record changed since the last batch.
    pub(super) dirty: BTreeSet<JobKey>,
    /// Waves whose record changed since the last batch.
    pub(super) dirty_waves: BTreeSet<u64>,
    /// Workers whose record changed since the last batch.
    pub(super) dirty_workers: BTreeSet<WorkerId>,
    /// What callers may be told with the next batch, beside jobs whose record changed.
    shown: Vec<ShownJob>,
    /// Jobs that are over since the last batch.
    over: Vec<JobKey>,
    /// Jobs forgotten since the last batch.
    dropped: Vec<(JobKey, QueueId, Owner)>,
    /// Hosts that get no new work, as workers know it.
    pub(super) cordoned: BTreeSet<HostId>,
    /// When runs were last looked at that make no progress.
    slow_checked: Duration,
    /// Runs that a predecessor evicted and that are still listed.
    pub(super) inherited_evictions: BTreeSet<(WorkerId, TaskId, u32)>,
    /// Actions for the next batch.
    pub(super) actions: Vec<Action>,
    /// Highest end taken in from each worker since the last batch.
    pub(super) forget: BTreeMap<WorkerId, u64>,
    /// Services whose waiting tasks are to be placed before the next batch.
    pub(super) place_again: BTreeSet<ServiceId>,
    /// When the inbox was last read to its end.
    inbox_read: Duration,
    /// Cancels of jobs that are not known yet.
    early_cancels: BTreeSet<(JobKey, Owner)>,
    /// Decisions worth a log line, drained by the process.
    pub notes: LogLines,
    /// What is counted for metrics, since this term began.
    pub tally: Tally,
}

/// What a scheduler counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Lives of workers that were over while something ran there.
    pub lives_lost: u64,
    /// Runs that were lost with them.
    pub runs_lost: u64,
    /// Tasks that were given up since their workers crash.
    pub given_up: u64,
}

impl Scheduler {
    /// A scheduler that knows nothing yet.
    pub fn new(token: Term, limits: Limits, since: Duration, wall: UnixMs) -> Scheduler {
        Scheduler {
            now: since,
            wall,
            since,
            token,
            holder: String::new(),
            strength: EntryCapacity::MAX,
            limits,
            policy: Policy::default(),
            config: Arc::default(),
            jobs: Jobs::default(),
            workers: Workers::default(),
            unnamed: BTreeMap::new(),
            relays: Relays::default(),
            ready: StableMap::default(),
            trials: StableMap::default(),
            evacuated: BTreeSet::new(),
            fleet_cpu: 0,
            shares: SubmissionRates::default(),
            crash_rate: CrashRate::default(),
            durations: TaskDurations::default(),
            hosts: StableMap::default(),
            hosts_asked: Duration::ZERO,
            marks: OrderMarks::default(),
            waves: BTreeMap::new(),
            pools: PoolState::default(),
            advice: AdviceState::default(),
            deposed: false,
            dirty: BTreeSet::new(),
            dirty_waves: BTreeSet::new(),
            dirty_workers: BTreeSet::new(),
            shown: Vec::new(),
            over: Vec::new(),
            dropped: Vec::new(),
            cordoned: BTreeSet::new(),
            slow_checked: Duration::ZERO,
            inherited_evictions: BTreeSet::new(),
            actions: Vec::new(),
            forget: BTreeMap::new(),
            place_again: BTreeSet::new(),
            inbox_read: Duration::ZERO,
            early_cancels: BTreeSet::new(),
            notes: LogLines::default(),
            tally: Tally::default(),
        }
    }

    /// Takes over a worker that a predecessor recorded.
    pub fn restore_worker(&mut self, id: WorkerId, rec: WorkerRecord) {
        let info = WorkerInfo::restore(id.clone(), rec);
        let (lease_end, since) = (self.inherited_lease_end(), self.since);
        let mut w = self.workers.get_or_insert_with(&id, || Worker::unknown(lease_end, since));
        w.info = Some(Arc::new(info));
        drop(w);
        // Its address tells whether that life is over.
        self.attend(&id);
        self.note_life(&id);
    }

    /// Takes over a job as the inbox holds it, with the state that a predecessor recorded.
    /// Of a job that is over, only the state is stored.
    pub fn restore(&mut self, key: JobKey, spec: Option<Arc<JobSpec>>, rec: Option<JobRecord>) {
        let over = rec.as_ref().and_then(|rec| rec.outcome.zip(rec.over.clone()));
        match (spec, over) {
            (spec, Some((outcome, over))) => self.restore_over(key, outcome, over, spec.is_some()),
            (Some(spec), None) => self.restore_open(key, spec, rec),
            // It is left from a job that was being forgotten.
            (None, None) => self.dropped.push((key, QueueId::new(), Owner::PUBLIC)),
        }
    }

    fn restore_open(&mut self, key: JobKey, spec: Arc<JobSpec>, rec: Option<JobRecord>) {
        let now = self.now;
        let fits = rec.as_ref().is_none_or(|rec| rec.matches_spec(&spec));
        let mut job = match rec {
            Some(rec) if fits => Job::restore(key, spec, rec, now),
            _ => Job::new(key, spec),
        };
        if !fits {
            // Handed in again with other steps: what was begun does not match
            // what is asked for, and must not be begun anew.
            self.notes.push(format_args!("event=job_changed job={key:016x} outcome=Failed"));
            job.outcome = Some(Outcome::Failed);
            job.ended_at = now;
        }
        job.max_cpu_millis = self.config.workspaces.limit(job.spec.owner()).cpu_millis;
        self.suspect_inherited(&mut job);
        let bound = self.inherited_lease_end();
        let mut places = BTreeSet::new();
        for id in job.task_ids() {
            let Some(task) = job.task(&id) else { continue };
            for run in &task.runs {
                let since = self.since;
                let mut w = self.workers.get_or_insert_with(&run.worker, || Worker::unknown(bound, since));
                if let Some(step) = job.step(&id) {
                    w.take(id, run.attempt, job.spec.reservation(step));
                    w.mark(&id, step);
                }
                places.insert(run.worker.clone());
            }
        }
        self.jobs.insert(job);
        places.iter().for_each(|id| self.note_life(id));
        self.watch_advised(key);
        self.open_due_rounds(key);
        self.queue_job(key);
        self.dirty.insert(key);
    }

    fn restore_over(&mut self, key: JobKey, outcome: Outcome, record: FinishedJobRecord, in_inbox: bool) {
        let (queue, owner, state) = (record.queue.clone(), record.owner, Some(JobStatus::Ended(outcome)));
        self.jobs.set_over(key, OverJob { outcome, record }, self.now);
        self.shown.push(ShownJob { key, queue, owner, state, timed: false });
        if in_inbox {
            self.over.push(key);
        }
    }

    /// When the last lease that a predecessor may have extended has ended.
    fn inherited_lease_end(&self) -> Duration {
        self.since + self.limits.grace + self.lease_span()
    }

    /// The longest real time that a lease may last.
    pub fn lease_span(&self) -> Duration {
        lease_span(self.limits.lease, self.limits.drift)
    }

    /// Takes one event in.
    pub fn handle(&mut self, ev: Event) {
        match ev {
            Event::Submitted(key, spec) => self.submitted(key, spec),
            Event::Cancelled(key, owner) => self.cancel(key, owner),
            Event::Config(cfg) => self.set_config(cfg),
            Event::Evacuated(data_centres) => self.set_evacuated(data_centres),
            Event::WorkerListed(info) => self.worker_listed(info),
            Event::WorkerUnlisted(id) => self.worker_unlisted(&id),
            Event::LifeOver(id, heard) => self.handle_other_incarnation(&id, heard),
            Event::Restarted(id, started, heard) => self.restarted(&id, started, heard),
            Event::Relayed(id, token, news) => self.relayed(&id, token, news),
            Event::Advised(a) => self.advised(a),
            Event::Hosts(list, asked) => self.hosts_listed(list, asked),
            Event::Wave(wave, rec) => self.wave_asked(wave, rec),
            Event::HostOrdered(host, reply) => self.host_ordered(&host, reply),
            Event::RelayUp(entry) => self.relay_up(&entry),
            Event::RelayHeard(entry) => self.relay_heard(&entry),
            Event::RelayLeaving(entry) => self.relay_leaving(&entry),
            Event::RelayDown(entry, lease_end, may_return) => self.relay_down(&entry, lease_end, may_return),
            Event::InboxRead(at) => self.inbox_read = at,
            Event::Tick => self.tick(),
        }
    }

    /// A job is new, or known already from an earlier read.
    fn submitted(&mut self, key: JobKey, spec: Arc<JobSpec>) {
        let owner = spec.owner();
        if let Some(known) = self.jobs.owner(&key) {
            if known != owner {
                self.notes.push(format_args!(
                    "event=job_not_taken job={key:016x} reason=number_of_other_workspace"
                ));
            }
            return;
        }
        let (stretch, target) = self
            .config
            .queues
            .get(&spec.queue)
            .map_or((1.0, 0), |q| (q.deadline_factor, q.deadline_offset.as_millis()));
        self.notes.push(format_args!(
            "event=job_known job={key:016x} queue={} stretch={stretch} target_ms={target}",
            spec.queue
        ));
        let excess =
            self.shares.exceeds_rate(owner, self.config.workspaces.jobs_per_s(owner), spec.accepted_at);
        let most_cpu = self.config.workspaces.limit(owner).cpu_millis;
        self.jobs.insert(Job { over_rate: excess, max_cpu_millis: most_cpu, ..Job::new(key, spec) });
        self.watch_advised(key);
        self.dirty.insert(key);
        self.open_due_rounds(key);
        self.work_arrived(key);
        self.queue_job(key);
        if self.early_cancels.remove(&(key, owner)) {
            self.cancel(key, owner);
        }
    }

    /// The caller cancelled a job.
    fn cancel(&mut self, key: JobKey, owner: Owner) {
        let known = self.jobs.owner(&key);
        if known.is_some_and(|known| known != owner) {
            self.notes
                .push(format_args!("event=cancel_not_taken job={key:016x} reason=job_of_other_workspace"));
            return;
        }
        if self.jobs.is_over(&key) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            self.early_cancels.insert((key, owner));
            return;
        };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        if job.outcome.is_none() {
            self.end_job(key, Outcome::Canceled);
            return;
        }
        // What the budget kept at work when it failed ends now.
        let ids = job.task_ids();
        self.dirty.insert(key);
        ids.iter().for_each(|id| self.stop_runs(id));
    }

    /// Puts a configuration in force unless a newer one is.
    fn set_config(&mut self, cfg: Arc<SchedConfig>) {
        if cfg.version < self.config.version {
            return;
        }
        self.config = cfg;
        for (_, info) in std::mem::take(&mut self.unnamed) {
            self.worker_listed(info);
        }
        self.watch_all_advised();
        self.place_again.extend(self.ready.keys().cloned());
    }

    /// Opens rounds that are due.
    pub(super) fn open_due_rounds(&mut self, key: JobKey) {
        let ahead = self.wall + self.limits.early.as_millis() as u64;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        while job.is_open() && (job.rounds.len() as u32) < job.spec.round_count() {
            if job.spec.round_due_at(job.rounds.len() as u32) > ahead {
                break;
            }
            job.open_round();
            self.dirty.insert(key);
        }
    }

    /// Has the waiting tasks of a service placed before the next batch.
    pub(super) fn place_soon(&mut self, service: &str) {
        if !self.place_again.contains(service) {
            self.place_again.insert(service.to_string());
        }
    }

    /// Queues all tasks of a job that may be started now.
    pub(super) fn queue_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        if !job.is_open() {
            return;
        }
        let open = job.step_ids().filter(|id| job.is_step_ready(id.round, id.step));
        let waiting: Vec<(StepId, Vec<u32>)> = open.map(|id| (id, job.idle_tasks(&id))).collect();
        for (step, tasks) in waiting {
            self.enqueue(step, tasks);
        }
        self.finish_if_done(key);
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

    /// Adds tasks of a step to the queue of their service.
    fn enqueue(&mut self, id: StepId, tasks: Vec<u32>) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(step) = job.spec.steps.get(usize::from(id.step)).filter(|_| !tasks.is_empty()) else {
            return;
        };
        let queue = self.config.queues.get(&job.spec.queue);
        let (place, dues) = queue_position(job, &id, queue, &self.durations, &self.policy.order, self.wall);
        let spec = job.spec.clone();
        let room = step.reserved_resources();
        match self.ready.get_mut(&spec.service) {
            Some(waiting) => waiting.insert(place, dues, room, tasks.iter().copied()),
            None => {
                let waiting = self.ready.entry(spec.service.clone()).or_default();
                waiting.insert(place, dues, room, tasks.iter().copied());
            }
        }
        if step.gang {
            self.place_soon(&spec.service);
            return;
        }
        for index in &tasks {
            self.queue_trial(&id.task(*index), &spec.service);
        }
        self.place_soon(&spec.service);
    }

    /// Takes a task out of the queue.
    pub(super) fn unqueue(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        if let Some(waiting) = self.ready.get_mut(&job.spec.service) {
            waiting.remove(id);
        }
    }

    /// Ends a job: nothing of it is started any more, and what runs is stopped.
    pub(super) fn end_job(&mut self, key: JobKey, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.outcome.is_some() {
            return;
        }
        if outcome == Outcome::Completed {
            let done = job.all_done();
            if !invariant::check(done, || format!("job {key:016x} completed with open tasks")) {
                return;
            }
        }
        job.outcome = Some(outcome);
        job.ended_at = self.now;
        self.notes.push(format_args!(
            "event=job_ended job={key:016x} outcome={outcome:?} age_ms={}",
            self.wall.saturating_sub(job.spec.accepted_at)
        ));
        self.jobs.note_ended(key);
        self.dirty.insert(key);
        self.drop_advice(key);
        let ids = self.jobs.get(&key).map(Job::task_ids).unwrap_or_default();
        for id in ids {
            self.unqueue(&id);
            if !self.outlives_job(&id) {
                self.stop_runs(&id);
            }
        }
    }

    /// Shows a job as completed once nothing of it is open.
    pub(super) fn finish_if_done(&mut self, key: JobKey) {
        let done = self.jobs.get(&key).is_some_and(|j| j.is_open() && j.all_done());
        if done {
            self.end_job(key, Outcome::Completed);
        }
    }

    /// Stops the runs of a task.
    pub(super) fn stop_runs(&mut self, id: &TaskId) {
        let now = self.now;
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        for run in &mut task.runs {
            // A start on its way is stopped when its outcome is known.
            if matches!(run.phase, Phase::Starting | Phase::Stopping | Phase::Stopped) {
                continue;
            }
            run.set_phase(Phase::Stopping, now);
            self.actions.push(Action::Stop(run.worker.clone(), *id, run.attempt));
        }
    }

    /// Does what only the passing of time asks for.
    fn tick(&mut self) {
        for key in self.jobs.timed() {
            let before = self.jobs.get(&key).map_or(0, |j| j.rounds.len());
            self.open_due_rounds(key);
            if self.jobs.get(&key).map_or(0, |j| j.rounds.len()) > before {
                self.queue_job(key);
            }
        }
        let wall = self.wall;
        self.ready.values_mut().for_each(|w| w.downgrade_overdue(wall));
        self.settle_expired_leases();
        if self.now >= self.slow_checked + SLOW_EVERY {
            self.slow_checked = self.now;
            self.stop_stalled_runs();
            self.clear_proven();
        }
        self.evict_leaving();
        self.evict_inherited();
        self.run_waves();
        self.run_pools();
        self.drop_marks();
        self.balance_relays();
        self.forget_jobs();
        self.place_again.extend(self.ready.iter().filter(|(_, s)| !s.is_empty()).map(|(k, _)| k.clone()));
    }

    /// Forgets jobs that ended long enough ago and run nowhere.
    fn forget_jobs(&mut self) {
        let Some(before) = self.now.checked_sub(self.limits.keep_ended) else { return };
        for (key, over) in self.jobs.forget_over(before) {
            self.dropped.push((key, over.record.queue, over.record.owner));
        }
    }

    /// Adds the record of a job to a batch, and what callers are shown of it. One that has
    /// come to rest is over with that.
    fn record_job(&mut self, key: JobKey, batch: &mut Batch) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let state = Some(job.status());
        if std::mem::replace(&mut job.published_status, state) != state {
            let (queue, timed) = (job.spec.queue.clone(), job.spec.repeat.is_some());
            batch.shown.push(ShownJob { key, queue, owner: job.spec.owner(), state, timed });
        }
        let Some(outcome) = job.outcome.filter(|_| job.has_no_runs()) else {
            batch.records.push(Record::Job(key, job.record()));
            return;
        };
        let (cancelled, begun, spec) = (job.cancelled, job.started, job.spec.clone());
        let work = self.jobs.get(&key).and_then(|j| self.work_of(j));
        let record = FinishedJobRecord {
            queue: spec.queue.clone(),
            service: spec.service.clone(),
            accepted_at: spec.accepted_at,
            work_core_ms: work,
            max_task_resources: spec.max_task_resources(),
            owner: spec.owner(),
        };
        let over = Some(record.clone());
        let stored =
            JobRecord { cancelled, started: begun, outcome: Some(outcome), over, ..JobRecord::default() };
        batch.records.push(Record::Job(key, stored));
        self.jobs.set_over(key, OverJob { outcome, record }, self.now);
        self.over.push(key);
    }

    /// Decides what can be decided, and hands over all that changed.
    pub fn take_batch(&mut self) -> Batch {
        let services = std::mem::take(&mut self.place_again);
        for service in services {
            self.place(&service);
        }
        self.ask_adviser();
        let mut batch = Batch { shown: std::mem::take(&mut self.shown), ..Batch::default() };
        for key in std::mem::take(&mut self.dirty) {
            self.record_job(key, &mut batch);
        }
        batch.over = std::mem::take(&mut self.over);
        for (key, queue, owner) in std::mem::take(&mut self.dropped) {
            batch.records.push(Record::DropJob(key));
            batch.shown.push(ShownJob { key, queue, owner, state: None, timed: false });
        }
        for id in std::mem::take(&mut self.dirty_workers) {
            batch.records.push(match self.workers.get(&id).and_then(|w| w.info.as_ref()) {
                Some(info) => Record::Worker(id, info.record()),
                None => Record::DropWorker(id),
            });
        }
        for n in std::mem::take(&mut self.dirty_waves) {
            let Some(wave) = self.waves.get(&n) else { continue };
            batch.records.push(Record::Wave(n, wave.record.clone()));
            batch.waves.push((n, wave.complete()));
        }
        for (host, marked) in self.marks.take_changes() {
            batch.records.push(Record::Ordered(host, marked.then(|| self.holder.clone())));
        }
        batch.inbox_read = self.inbox_read;
        batch.actions = std::mem::take(&mut self.actions);
        batch.forget = std::mem::take(&mut self.forget).into_iter().collect();
        batch
    }
}
