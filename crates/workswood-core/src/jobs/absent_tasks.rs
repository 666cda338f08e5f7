//! Finds long-running tasks that run nowhere, and logs since when, why, and when they are at work again.
//!
//! A long-running task serves until its job is cancelled, so one that is neither running nor about to
//! start is missed at once. An absence spans terms: once it has lasted for [`LOG_ABSENT_AFTER`], its begin and its
//! restart deadline are stored with the job as times of day, and a successor goes on from there. Only urgency
//! follows from them, so clocks that differ cost nothing else.
//!
//! A task is at work again once a worker that answers has accepted a start of it, or lists its run. A task that waits for
//! its first start is absent from when its turn has come.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::absence_reason::{AbsenceReason, WaitReason, Waits};
use super::job::{AbsenceRecord, Job, Phase, Run, Task, WorkerId};
use super::restart_deadline::{LastRun, MAX_UNNOTICED_SILENCE, RESTART_BOUND, earliest_end, shortest_lease};
use super::scheduler::Scheduler;
use super::spec::{StepId, TaskId};
use crate::ids::UnixMs;

/// A task is logged after this time without a run that is known to exist.
const LOG_ABSENT_AFTER: Duration = Duration::from_secs(1);
/// Time between two log lines of one task.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Most lines of one check; the others are only counted.
const MAX_LINES_PER_CHECK: usize = 16;
/// Most tasks of one check for which it is found out what they wait for.
const MAX_EXAMINED_PER_CHECK: usize = 32;
/// Most lines of one check about tasks that are given up. Those logged least lately go first.
const MAX_GIVEN_UP_LINES_PER_CHECK: usize = 16;
/// Most absences that are stored, of tasks that wait and of those that are given up, so that records stay small while
/// much of the fleet is away.
const MAX_STORED_ABSENCES: usize = 256;
/// Most ended absences that are kept for metrics.
const MAX_ENDED_ABSENCES: usize = 1024;
/// Longest absence that is taken over from a predecessor. A longer one, or one that a wrong clock makes appear longer,
/// counts as this long.
const MAX_INHERITED_ABSENCE: Duration = Duration::from_secs(600);

/// Long-running tasks without a run that is known to exist.
#[derive(Debug, Default)]
pub(super) struct AbsentTasks {
    by_task: BTreeMap<TaskId, Absence>,
    /// Absences that ended since they were last taken.
    ended: Vec<EndedAbsence>,
}

/// An absence after which a task was at work again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedAbsence {
    /// How long it lasted, in all terms.
    pub length: Duration,
    /// What the task waited for longest in this term.
    pub waited_for: WaitReason,
    /// Whether the task was at work by its restart deadline.
    pub in_time: bool,
}

/// Since when a task has been absent, and when it has to be at work again.
#[derive(Clone, Debug)]
struct Absence {
    /// When it began, or when this term took it over.
    since: Duration,
    /// How long it had lasted then.
    earlier: Duration,
    /// Time from its begin until the restart deadline.
    allowed: Duration,
    /// Whether the task was never started before.
    first_start: bool,
    /// Whether the deadline has changed since the absence was last put into the task's state.
    changed: bool,
    /// When the task was last logged.
    logged_at: Option<Duration>,
    waits: Waits,
}

impl Absence {
    /// An absence that begins now, of a task whose last run ended at `end` at the earliest.
    fn new(now: Duration, end: Duration) -> Absence {
        Absence {
            since: now,
            earlier: Duration::ZERO,
            allowed: (end + RESTART_BOUND).saturating_sub(now),
            first_start: false,
            changed: false,
            logged_at: None,
            waits: Waits::new(now),
        }
    }

    /// The absence of a task whose turn to be started for the first time comes now.
    fn before_first_start(now: Duration) -> Absence {
        Absence { first_start: true, ..Absence::new(now, now) }
    }

    /// Takes over the absence of a task that a predecessor recorded. What a wrong clock makes impossible is limited.
    fn inherited(rec: AbsenceRecord, now: Duration, wall: UnixMs, longest_left: Duration) -> Absence {
        let absent = Duration::from_millis(wall.saturating_sub(rec.since)).min(MAX_INHERITED_ABSENCE);
        let left = Duration::from_millis(rec.restart_by.saturating_sub(wall)).min(longest_left);
        let overdue = Duration::from_millis(wall.saturating_sub(rec.restart_by));
        let allowed = (absent + left).saturating_sub(overdue);
        Absence { earlier: absent, allowed, changed: true, ..Absence::new(now, now) }
    }

    /// When it began. Before the clock's zero, that is zero.
    fn begin(&self) -> Duration {
        self.since.saturating_sub(self.earlier)
    }

    fn length(&self, now: Duration) -> Duration {
        self.earlier + now.saturating_sub(self.since)
    }

    /// When the task has to be at work again.
    fn restart_by(&self) -> Duration {
        (self.since + self.allowed).saturating_sub(self.earlier)
    }

    /// Milliseconds until the restart deadline, negative after it.
    fn restart_left_ms(&self, now: Duration) -> i64 {
        self.allowed.as_millis() as i64 - self.length(now).as_millis() as i64
    }

    /// Notes that the last run may have ended at this time. The deadline never moves later.
    fn may_have_ended_at(&mut self, end: Duration) {
        let allowed = (end + self.earlier + RESTART_BOUND).saturating_sub(self.since);
        self.changed |= allowed < self.allowed;
        self.allowed = self.allowed.min(allowed);
    }

    /// The stored form.
    fn record(&self, now: Duration, wall: UnixMs) -> AbsenceRecord {
        let since = wall.saturating_sub(self.length(now).as_millis() as u64);
        AbsenceRecord { since, restart_by: since + self.allowed.as_millis() as u64 }
    }
}

impl AbsentTasks {
    /// Since when a task has been absent; `None` if it is not.
    pub(super) fn absent_since(&self, id: &TaskId) -> Option<Duration> {
        self.by_task.get(id).map(Absence::begin)
    }

    /// When a task has to be at work again; `None` if it is not absent.
    pub(super) fn restart_by(&self, id: &TaskId) -> Option<Duration> {
        self.by_task.get(id).map(Absence::restart_by)
    }

    /// Tasks that have been absent for at least this long.
    pub(super) fn absent_for(&self, least: Duration, now: Duration) -> impl Iterator<Item = &TaskId> {
        self.by_task.iter().filter(move |(_, a)| a.length(now) >= least).map(|(id, _)| id)
    }
}

impl Scheduler {
    /// Number of long-running tasks that have run nowhere for a second or longer.
    pub fn absent_long_running_tasks(&self) -> usize {
        self.absent_tasks.absent_for(LOG_ABSENT_AFTER, self.now).count()
    }

    /// Returns the absences of a second or longer that ended since the last call, except those before a first start.
    pub fn take_ended_absences(&mut self) -> Vec<EndedAbsence> {
        std::mem::take(&mut self.absent_tasks.ended)
    }

    /// Looks for long-running tasks that run nowhere, logs those that have been absent for long, and those that
    /// are at work again.
    pub(super) fn watch_absent_tasks(&mut self) {
        let absent = self.find_absent_tasks();
        self.end_other_absences(&absent);
        for id in &absent {
            self.note_absence(id);
        }
        self.examine_absences();
        self.store_long_absences();
    }

    /// Takes over the absences of a job's tasks that a predecessor recorded.
    pub(super) fn inherit_absences(&mut self, job: &Job) {
        let longest_left = self.lease_with_drift() + RESTART_BOUND;
        for id in job.task_ids() {
            let Some(task) = job.task(&id) else { continue };
            if let Some(rec) = task.absence {
                let absence = Absence::inherited(rec, self.now, self.wall, longest_left);
                let first_start = task.latest_attempt == 0;
                self.absent_tasks.by_task.insert(id, Absence { first_start, ..absence });
            }
        }
    }

    /// Notes that tasks of a step that were never started are absent from now on: their turn has come.
    pub(super) fn note_first_turn(&mut self, step: &StepId, tasks: &[u32]) {
        let now = self.now;
        let Some(job) = self.jobs.get(&step.job) else { return };
        let never_started = |id: &TaskId| job.task(id).is_some_and(|t| t.latest_attempt == 0);
        for id in tasks.iter().map(|index| step.task(*index)).filter(never_started) {
            self.absent_tasks.by_task.entry(id).or_insert_with(|| Absence::before_first_start(now));
        }
    }

    /// Notes that a run of a task is over: its worker said so, or its lease has ended. A start of this term that no
    /// worker is known to have accepted changes nothing.
    pub(super) fn note_run_over(&mut self, id: &TaskId, run: &Run) {
        let never_confirmed = run.placed_at.is_some() && run.confirmed_at.is_none();
        if never_confirmed || !self.is_missed_without_run(id) {
            return;
        }
        let last_run = match self.is_reachable(&run.worker) {
            true => LastRun::Reported(self.now),
            false => self.silent_run(&run.worker, id),
        };
        self.note_end(id, last_run);
    }

    /// Notes that the life of a worker is over, and with it the runs of these long-running tasks.
    pub(super) fn note_life_over(&mut self, worker: &WorkerId, long_running: &BTreeSet<TaskId>) {
        for id in long_running {
            if self.is_missed_without_run(id) {
                self.note_end(id, LastRun::Gone(self.last_answer(worker, id)));
            }
        }
    }

    /// Notes when the last run of a task may have ended; the task is absent from now on if it was not.
    fn note_end(&mut self, id: &TaskId, last_run: LastRun) {
        let now = self.now;
        let end = earliest_end(last_run, shortest_lease(self.limits.lease, self.limits.clock_drift), now);
        let absence = self.absent_tasks.by_task.entry(*id).or_insert_with(|| Absence::new(now, end));
        if !absence.first_start {
            absence.may_have_ended_at(end);
        }
    }

    /// What is known of a run on a worker that doesn't answer. On one that has not answered in this term it may have
    /// ended before, unless an earlier term has told when.
    fn silent_run(&self, worker: &WorkerId, id: &TaskId) -> LastRun {
        let last_answer = self.last_answer(worker, id);
        let answered = self.workers.get(worker).is_some_and(|w| w.last_heard > self.claimed_at);
        let told = self.absent_tasks.absent_since(id).is_some_and(|since| since < self.claimed_at);
        if answered || told { LastRun::Silent(last_answer) } else { LastRun::Gone(last_answer) }
    }

    /// When a worker last answered. While its relay reports nothing new or is lost, that is not known exactly; it was
    /// shortly before the absence of the task began, or later.
    fn last_answer(&self, worker: &WorkerId, id: &TaskId) -> Duration {
        let begin = self.absent_tasks.absent_since(id).unwrap_or(self.now);
        let heard = self.workers.get(worker).map_or(Duration::ZERO, |w| w.last_heard);
        heard.max(begin.saturating_sub(MAX_UNNOTICED_SILENCE))
    }

    /// Ends the absences of tasks that are at work on a worker.
    pub(super) fn note_tasks_at_work(&mut self, worker: &WorkerId) {
        if self.absent_tasks.by_task.is_empty() {
            return;
        }
        let Some(w) = self.workers.get(worker) else { return };
        let absent = w.long_running.iter().filter(|id| self.absent_tasks.by_task.contains_key(id));
        for id in absent.copied().collect::<Vec<TaskId>>() {
            if self.known_run(&id).is_some() {
                self.end_absence(&id);
            }
        }
    }

    /// Ends the absences of all other tasks.
    fn end_other_absences(&mut self, absent: &BTreeSet<TaskId>) {
        let others = self.absent_tasks.by_task.keys().filter(|id| !absent.contains(id));
        for id in others.copied().collect::<Vec<TaskId>>() {
            self.end_absence(&id);
        }
    }

    /// Ends the absence of a task that is at work or is not missed any more. The record of its job is written without it.
    fn end_absence(&mut self, id: &TaskId) {
        let Some(absence) = self.absent_tasks.by_task.remove(id) else { return };
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id));
        if task.is_some_and(|t| t.absence.take().is_some()) {
            self.dirty_jobs.insert(id.job);
        }
        if let Some(run) = self.known_run(id).cloned() {
            self.note_back(id, absence, &run);
        }
    }

    /// Logs and counts that a task is at work again.
    fn note_back(&mut self, id: &TaskId, mut absence: Absence, run: &Run) {
        let now = self.now;
        let length = absence.length(now);
        if length < LOG_ABSENT_AFTER {
            return;
        }
        absence.waits.end(now);
        let (waits, left_ms) = (&absence.waits, absence.restart_left_ms(now));
        let in_time = left_ms >= 0;
        self.notes.push(format_args!(
            "event=long_running_task_back task={id} worker={} attempt={} absent_ms={} term={} waits=\"{waits}\" \
             in_time={in_time} restart_left_ms={left_ms} first_start={}",
            run.worker,
            run.attempt,
            length.as_millis(),
            self.token,
            absence.first_start
        ));
        let ended = &mut self.absent_tasks.ended;
        if !absence.first_start && ended.len() < MAX_ENDED_ABSENCES {
            ended.push(EndedAbsence { length, waited_for: waits.longest(), in_time });
        }
    }

    /// Notes that a task is absent, and what is known by now of the end of its last run.
    fn note_absence(&mut self, id: &TaskId) {
        let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) else { return };
        if let Some(last_run) = self.last_run(id, task) {
            self.note_end(id, last_run);
        }
    }

    /// What is known of the last run of an absent task; `None` if that is nothing new.
    fn last_run(&self, id: &TaskId, task: &Task) -> Option<LastRun> {
        let Some(run) = task.runs.last() else {
            // An end in this term and the turn of a first start were noted at once.
            let is_noted = self.absent_tasks.by_task.contains_key(id);
            return (!is_noted).then(|| LastRun::Gone(self.now.saturating_sub(MAX_UNNOTICED_SILENCE)));
        };
        Some(match self.is_reachable(&run.worker) {
            true => LastRun::Alive,
            false => self.silent_run(&run.worker, id),
        })
    }

    /// Finds out what absent tasks wait for, and logs those for which a line is due.
    fn examine_absences(&mut self) {
        let (given_up, others): (Vec<TaskId>, Vec<TaskId>) =
            self.absent_tasks.by_task.keys().copied().partition(|id| self.is_given_up(id));
        self.examine_waiting(others);
        self.examine_given_up(&given_up);
    }

    /// Examines tasks that wait, the one that is absent longest first.
    fn examine_waiting(&mut self, mut ids: Vec<TaskId>) {
        let now = self.now;
        let mut lines = 0;
        let mut unlogged = 0;
        let length = |id: &TaskId| self.absent_tasks.by_task.get(id).map(|a| a.length(now));
        ids.sort_by_cached_key(|id| (Reverse(length(id)), *id));
        for (n, id) in ids.into_iter().enumerate() {
            let is_due = self.absent_tasks.by_task.get(&id).is_some_and(|a| is_line_due(a, now));
            if n >= MAX_EXAMINED_PER_CHECK {
                unlogged += usize::from(is_due);
                continue;
            }
            let may_log = lines < MAX_LINES_PER_CHECK;
            unlogged += usize::from(is_due && !may_log);
            lines += usize::from(is_due && may_log);
            self.examine_absence(&id, is_due && may_log);
        }
        if unlogged > 0 {
            let tasks = self.absent_tasks.by_task.len();
            let term = self.token;
            self.notes.push(format_args!(
                "event=long_running_tasks_absent tasks={tasks} unlogged={unlogged} term={term}"
            ));
        }
    }

    /// Examines tasks that are given up, the one that was logged least lately first. Their lines don't wait until an
    /// absence is long.
    fn examine_given_up(&mut self, ids: &[TaskId]) {
        let now = self.now;
        let logged_at = |id: &TaskId| self.absent_tasks.by_task.get(id).and_then(|a| a.logged_at);
        let is_due = |at: Option<Duration>| at.is_none_or(|at| at + LOG_INTERVAL <= now);
        let mut due: Vec<(Option<Duration>, TaskId)> =
            ids.iter().map(|id| (logged_at(id), *id)).filter(|(at, _)| is_due(*at)).collect();
        due.sort_unstable();
        for (_, id) in due.iter().take(MAX_GIVEN_UP_LINES_PER_CHECK) {
            self.examine_absence(id, true);
        }
        let unlogged = due.len().saturating_sub(MAX_GIVEN_UP_LINES_PER_CHECK);
        if unlogged > 0 {
            let (tasks, term) = (ids.len(), self.token);
            self.notes.push(format_args!(
                "event=given_up_tasks_absent tasks={tasks} unlogged={unlogged} term={term}"
            ));
        }
    }

    /// Finds out what an absent task waits for, and logs it on request.
    fn examine_absence(&mut self, id: &TaskId, log: bool) {
        let now = self.now;
        let Some(reason) = self.absence_reason(id) else { return };
        let Some(absence) = self.absent_tasks.by_task.get_mut(id) else { return };
        absence.waits.note(reason.wait(), now);
        if log {
            absence.logged_at = Some(now);
            self.log_absence(id, &reason);
        }
    }

    fn is_given_up(&self, id: &TaskId) -> bool {
        self.jobs.get(&id.job).and_then(|job| job.task(id)).is_some_and(|task| task.given_up)
    }

    fn log_absence(&mut self, id: &TaskId, reason: &AbsenceReason) {
        let Some(absence) = self.absent_tasks.by_task.get(id) else { return };
        self.notes.push(format_args!(
            "event=long_running_task_absent task={id} absent_ms={} term_age_ms={} term={} {reason} kind={} \
             restart_left_ms={} first_start={}",
            absence.length(self.now).as_millis(),
            self.now.saturating_sub(self.claimed_at).as_millis(),
            self.token,
            reason.kind().label(),
            absence.restart_left_ms(self.now),
            absence.first_start
        ));
    }

    /// Puts absences that have lasted for long into the state of their tasks. The record of a job is written for the
    /// begin of an absence, and not for each change of its deadline.
    fn store_long_absences(&mut self) {
        let (now, wall) = (self.now, self.wall);
        let (mut waiting, mut given_up) = (0, 0);
        for (id, absence) in &mut self.absent_tasks.by_task {
            let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) else { continue };
            let is_stored = task.absence.is_some();
            let is_due = absence.length(now) >= LOG_ABSENT_AFTER;
            let stored = if task.given_up { &mut given_up } else { &mut waiting };
            if !is_due || !is_stored && *stored >= MAX_STORED_ABSENCES {
                continue;
            }
            *stored += 1;
            if !is_stored || absence.changed {
                task.absence = Some(absence.record(now, wall));
                absence.changed = false;
            }
            if !is_stored {
                self.dirty_jobs.insert(id.job);
            }
        }
    }

    /// Open long-running tasks without a run that is known to exist.
    fn find_absent_tasks(&self) -> BTreeSet<TaskId> {
        let jobs = self.jobs.all_long_running().filter(|job| job.is_open());
        jobs.flat_map(|job| self.absent_tasks_of(job)).collect()
    }

    fn absent_tasks_of<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = TaskId> + 'a {
        let ids = job.task_ids().into_iter().filter(|id| should_be_at_work(job, id));
        ids.filter(|id| job.task(id).is_some_and(|t| !self.has_known_run(t)))
    }

    /// Whether a task without a run is missed.
    fn is_missed_without_run(&self, id: &TaskId) -> bool {
        let job = self.jobs.get(&id.job).filter(|job| job.is_open() && should_be_at_work(job, id));
        job.and_then(|job| job.task(id)).is_some_and(|task| !self.has_known_run(task))
    }

    /// Whether a reachable worker has listed or accepted a run of the task.
    fn has_known_run(&self, task: &Task) -> bool {
        task.done || task.runs.iter().any(|run| self.is_known_run(run))
    }

    /// The run of a task that a reachable worker has listed or accepted.
    fn known_run(&self, id: &TaskId) -> Option<&Run> {
        let task = self.jobs.get(&id.job)?.task(id)?;
        task.runs.iter().find(|run| self.is_known_run(run))
    }

    fn is_known_run(&self, run: &Run) -> bool {
        run.phase == Phase::Running && self.is_reachable(&run.worker)
    }

    /// Whether a worker answers.
    pub(super) fn is_reachable(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|w| w.reachable)
    }
}

/// Whether a task is long-running and its turn has come.
fn should_be_at_work(job: &Job, id: &TaskId) -> bool {
    job.step(id).is_some_and(|s| s.long_running) && job.is_step_ready(id.round, id.step)
}

/// Whether an absent task is to be logged.
fn is_line_due(absence: &Absence, now: Duration) -> bool {
    let is_long = absence.length(now) >= LOG_ABSENT_AFTER;
    is_long && absence.logged_at.is_none_or(|at| at + LOG_INTERVAL <= now)
}
