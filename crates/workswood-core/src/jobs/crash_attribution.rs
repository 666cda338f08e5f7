//! Attributes worker crashes to the tasks that cause them.
//!
//! A crashed worker does not report what ran on it. Most of those runs did not cause the crash and
//! are started again. A task that did cause it would crash the next worker as well, and so on
//! without end.
//!
//! * Each run that is lost with a crashed worker is recorded, with the longest time that it may
//!   have run.
//! * A task is scored by how much better it explains its crashes than the rate at which workers
//!   crash without it ([`crash_rate`](super::crash_rate)). So where workers crash for other
//!   reasons, sound tasks are neither delayed nor failed.
//! * Runs that had just started when the worker last answered are suspected; if there are none,
//!   those that may never have started. Other runs are suspected after several losses.
//! * A suspected task is started as a *trial* ([`crash_trials`](super::crash_trials)), with nothing
//!   else started beside it. If the worker crashes during the trial, and chance does not explain
//!   the crashes, the task is given up. Its job fails, except that a long-running job goes on
//!   without the task.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::crash_certainty::certainty_of_crash;
use super::crash_history::{
    Certainty, CrashHistory, CrashRecord, Evidence, MANY_CRASHES_THRESHOLD_SHARE,
    SUSPECT_AFTER_UNTIMED_CRASHES,
};
use super::crash_log::{CountedCrash, CountedLines, CrashTimes, WithdrawnBy};
use super::crash_rate::task_fault_score;
use super::crash_verdict::{Loss, shared_score, suspect};
use super::job::{Job, Phase, Run, Task, WorkerId};
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::worker::Worker;

/// Thresholds for the attribution of crashes to tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashPolicy {
    /// A run that was younger than this when its worker last answered is suspected of having
    /// crashed it. Covers the delay until a busy entry sees the answer to the start.
    #[serde(rename = "young", with = "humantime_serde")]
    pub suspect_age: Duration,
    /// A task that was lost in this many crashes is suspected, however long its runs had lasted,
    /// unless chance explains the crashes.
    #[serde(rename = "suspect_after")]
    pub suspect_after_crashes: usize,
    /// Score from which a task may only be started as a trial. Scores are logarithms of likelihood
    /// ratios; see [`task_fault_score`].
    #[serde(rename = "suspicious")]
    pub suspicion_threshold: f64,
    /// Score from which a task is given up, provided that its trial alone explains the last crash.
    #[serde(rename = "sure")]
    pub give_up_threshold: f64,
    /// Longest time that a task with a single crash waits for a trial; after that it starts without
    /// one.
    #[serde(rename = "first_wait", with = "humantime_serde")]
    pub max_first_trial_wait: Duration,
    /// Largest share of a service's workers that may be in quarantine.
    #[serde(rename = "most_quarantined")]
    pub max_quarantined_share: f64,
}

impl Default for CrashPolicy {
    fn default() -> CrashPolicy {
        CrashPolicy {
            suspect_age: Duration::from_millis(150),
            suspect_after_crashes: 3,
            suspicion_threshold: 4.5,
            give_up_threshold: 11.0,
            max_first_trial_wait: Duration::from_secs(4),
            max_quarantined_share: 0.25,
        }
    }
}

impl CrashPolicy {
    /// Score needed to give a task up after this many tasks were given up recently: tasks that
    /// crash their workers tend to come in groups.
    pub(super) fn give_up_threshold_after(&self, given_up: usize) -> f64 {
        self.give_up_threshold - THRESHOLD_DROP_PER_GIVEN_UP * given_up.min(MAX_GIVEN_UP_COUNTED) as f64
    }
}

/// Reduction of [`CrashPolicy::give_up_threshold`] for each task that was given up recently.
const THRESHOLD_DROP_PER_GIVEN_UP: f64 = 1.5;
/// Most recently given up tasks that reduce the threshold.
const MAX_GIVEN_UP_COUNTED: usize = 2;
/// A start without an answer counts as a young run if the crash was noticed within this time after
/// it. Covers the delay until a busy entry notices the refused connection.
const YOUNG_IF_SILENT_WITHIN: Duration = Duration::from_millis(300);
/// A worker that still answers this long after it was removed from the worker list has left without
/// notice, and has not crashed. An answer sent before a crash may arrive within this time.
const ANSWERS_AFTER_UNLISTED: Duration = Duration::from_secs(1);
/// An inherited run that this lease holder knows to have lasted for this long did not crash its worker
/// soon after its start.
pub(super) const LONG_RUN: Duration = Duration::from_secs(1);
/// A long-running task that has been warm for this long is taken not to crash its worker.
pub(super) const PROVEN_SAFE_AFTER: Duration = Duration::from_secs(10);

/// Why a task may only be started as a trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// When the task was last suspected.
    pub suspected_at: Duration,
    /// Longest known run time of the task when its worker crashed.
    pub run_time: Option<Duration>,
    /// Whether its restarts are paced: many crashes are counted, and they are no proof.
    pub paced: bool,
}

/// How an incarnation of a worker was found to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationEnd {
    /// Another incarnation answers at its address.
    OtherIncarnation,
    /// The list of hosts shows its host without this worker.
    HostWithoutWorker,
    /// Its host was ordered down for maintenance.
    Maintenance,
    /// Its host was ordered to another pool.
    HostMoved,
    /// It is unreachable and no longer listed.
    UnreachableAndUnlisted,
}

impl IncarnationEnd {
    /// Reason in log lines.
    pub(super) fn label(self) -> &'static str {
        match self {
            IncarnationEnd::OtherIncarnation => "other_life",
            IncarnationEnd::HostWithoutWorker => "machine_listed_without_it",
            IncarnationEnd::Maintenance => "upkeep",
            IncarnationEnd::HostMoved => "moved",
            IncarnationEnd::UnreachableAndUnlisted => "gone",
        }
    }

    /// Whether no order of the scheduler caused the end.
    fn is_sudden(self) -> bool {
        matches!(
            self,
            IncarnationEnd::OtherIncarnation
                | IncarnationEnd::HostWithoutWorker
                | IncarnationEnd::UnreachableAndUnlisted
        )
    }
}

/// How likely a lost run is to have caused the crash, most likely first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunRole {
    /// The run was on trial.
    OnTrial,
    /// The run had just started.
    Young,
    /// The start was not answered, so the run may have started.
    Unheard,
    /// The run had been there for a while.
    Old,
}

/// What the runs that were lost in one crash have in common.
#[derive(Clone, Copy, Debug)]
struct Suspects {
    /// The most suspicious role of a lost run.
    role: RunRole,
    /// Number of lost runs with that role.
    same_role: usize,
    /// Whether the worker crashed under its runs.
    certainty: Certainty,
    /// What the certainty follows from.
    times: CrashTimes,
}

/// A run that was lost with its worker.
#[derive(Clone, Debug)]
pub struct LostRun {
    pub(super) task: TaskId,
    attempt: u32,
    /// How long the run was known to be there; `None` if it may never have started.
    run_time: Option<Duration>,
    /// Longest time that the run may have lasted; `None` if its start time is unknown.
    max_run_time: Option<Duration>,
    role: RunRole,
    /// Whether nothing else was started on the worker during its trial.
    quarantined: bool,
    /// Whether the run was settled as lapsed before the end of the worker was known.
    lapsed: bool,
}

impl LostRun {
    /// What the crash tells of the task; `explains` is whether the run may have caused it.
    fn evidence(&self, explains: bool, long_running: bool) -> Evidence {
        let inherited = long_running && self.max_run_time.is_none();
        match self.run_time {
            Some(_) if explains => Evidence::LikelyCause,
            // An inherited run may have started long before it was first listed, or just then.
            Some(ran) if inherited && ran < LONG_RUN => Evidence::Unconfirmed,
            Some(_) => Evidence::Bystander,
            None => Evidence::Unconfirmed,
        }
    }
}

impl Scheduler {
    /// Attributes the end of a worker to one of its runs, if it was a crash.
    pub(super) fn attribute_crash(&mut self, id: &WorkerId, end: IncarnationEnd) {
        let Some(w) = self.workers.get(id) else { return };
        if !end.is_sudden() || !self.is_crash(w) {
            return;
        }
        if !w.reachable && self.was_cut_off(w) {
            let runs = w.runs.len() + w.lapsed_runs.len();
            self.notes.push(format_args!("event=cut_off_worker_over worker={id} runs={runs}"));
            self.clear_lapsed_runs(id);
            return;
        }
        let times = self.crash_times(id, w, end);
        let certainty = certainty_of_crash(w, &times);
        let current = w.runs.keys().filter_map(|(task, n)| self.lost_run(id, task, *n));
        let mut lost: Vec<LostRun> = w.lapsed_runs.iter().cloned().chain(current).collect();
        lost.sort_by_key(|run| (run.task, run.attempt));
        judge_open_trials(&mut lost);
        // Only runs with the most suspicious role explain the crash.
        let role = lost.iter().map(|run| run.role).min();
        let chance_probability = if role.is_some_and(|role| role != RunRole::Old) {
            self.share_of_workers_with_suspects()
        } else {
            1.0
        };
        let tasks = lost.iter().map(|run| run.task).collect();
        self.crash_rate.record_crash(self.now, id.clone(), tasks, chance_probability);
        self.trim_counted_lives();
        self.counted_lives.note_crash(id);
        let Some(role) = role else { return };
        let same_role = lost.iter().filter(|run| run.role == role).count();
        self.notes.push(format_args!(
            "event=worker_crashed worker={id} runs={} part={role:?} alike={same_role}",
            lost.len()
        ));
        let mut lines = CountedLines::default();
        for run in lost {
            self.attribute_lost_run(id, &run, Suspects { role, same_role, certainty, times }, &mut lines);
        }
        lines.log_others(&mut self.notes, &mut self.counters, id, (certainty, times));
    }

    /// Whether a worker that is gone has crashed: it was not draining, and no order of the
    /// scheduler ended it. A worker that leaves without notice is removed from the list but goes on
    /// answering.
    fn is_crash(&self, w: &Worker) -> bool {
        if w.unlisted_at.is_some_and(|at| at + ANSWERS_AFTER_UNLISTED < w.last_heard) {
            return false;
        }
        // The worker is known from the records of runs only, which do not tell how it ended.
        let Some(info) = &w.info else { return true };
        !info.draining && !self.may_have_been_ordered_since(&info.host, w.known_since)
    }

    fn lost_run(&self, id: &WorkerId, task: &TaskId, attempt: u32) -> Option<LostRun> {
        let w = self.workers.get(id)?;
        let run = self.run(id, task, attempt)?;
        let run_time = run.known_runtime(w.last_heard);
        // The crash happened after the last answer and before the worker was found unreachable.
        let found_silent_at = w.last_heard + w.silent_for;
        let max_run_time = run.placed_at.map(|at| found_silent_at.saturating_sub(at));
        Some(LostRun {
            task: *task,
            attempt,
            run_time,
            max_run_time,
            role: self.run_role(run, run_time, max_run_time),
            quarantined: w.quarantine.is_some_and(|q| q.trial == Some((*task, attempt))),
            lapsed: false,
        })
    }

    fn run_role(&self, run: &Run, run_time: Option<Duration>, max_run_time: Option<Duration>) -> RunRole {
        let unheard = run_time.is_none() && run.phase != Phase::Inherited;
        if !unheard && run.trial_length.is_some_and(|length| run_time.is_none_or(|ran| ran < length)) {
            return RunRole::OnTrial;
        }
        match run_time {
            Some(ran) if ran < self.policy.crashes.suspect_age && run.placed_at.is_some() => RunRole::Young,
            // The answer to the start was lost with the worker.
            None if unheard && max_run_time.is_some_and(|max| max < YOUNG_IF_SILENT_WITHIN) => RunRole::Young,
            None if unheard => RunRole::Unheard,
            _ => RunRole::Old,
        }
    }

    /// Share of all workers that now have a run that a crash would be attributed to.
    fn share_of_workers_with_suspects(&self) -> f64 {
        let young =
            |w: &Worker| w.last_start_at.is_some_and(|at| at + self.policy.crashes.suspect_age > self.now);
        let trial = |w: &Worker| w.quarantine.is_some_and(|q| q.trial.is_some() && q.until > self.now);
        let all = self.workers.len().max(1);
        self.workers.values().filter(|w| young(w) || trial(w)).count() as f64 / all as f64
    }

    /// Crashes per worker-second, without those during runs of the task.
    pub(super) fn background_crash_rate(&self, task: &TaskId) -> f64 {
        self.crash_rate.rate_without(
            task,
            self.now,
            self.workers.len(),
            self.now.saturating_sub(self.claimed_at),
        )
    }

    /// Records the loss of a run in a crash, and judges its task.
    ///
    /// The task may be waiting already, if the run was settled when its worker's lease ended; then it is
    /// queued anew, for a trial.
    fn attribute_lost_run(
        &mut self,
        id: &WorkerId,
        run: &LostRun,
        suspects: Suspects,
        lines: &mut CountedLines,
    ) {
        let Suspects { role, same_role, certainty, times } = suspects;
        let Some(job) = self.jobs.get_mut(&run.task.job).filter(|j| j.is_open()) else { return };
        let long_running = job.step(&run.task).is_some_and(|s| s.long_running);
        let Some(task) = job.task_mut(&run.task).filter(|t| !t.done) else { return };
        let explains = run.role == role && run.role != RunRole::Old;
        let crash = CrashRecord {
            evidence: run.evidence(explains, long_running),
            max_run_time: run.max_run_time,
            certainty,
            worker: Some(id.clone()),
        };
        if task.crashes.record(run.attempt, crash.clone()) {
            self.dirty_jobs.insert(run.task.job);
            self.counted_lives.note_task(id, run.task);
            let counted = CountedCrash {
                worker: id,
                task: run.task,
                attempt: run.attempt,
                crash: &crash,
                role: run.role,
                run_time: run.run_time,
                times,
                lapsed: run.lapsed,
                history: &task.crashes,
            };
            let names_task = long_running || task.suspicion.is_some();
            lines.log(&mut self.notes, &mut self.counters, &counted, names_task);
        }
        let loss = Loss {
            worker: id.clone(),
            task: run.task,
            attempt: run.attempt,
            role: run.role,
            run_time: run.run_time,
            is_first_suspect: run.role == role,
            explains,
            same_role,
        };
        self.judge_task(&loss);
    }

    /// Keeps a run that is settled because its worker's lease ended. Whether the worker has crashed
    /// or is only cut off is not known yet; young runs are suspected meanwhile.
    pub(super) fn record_lapsed_run(&mut self, id: &WorkerId, task_id: &TaskId, attempt: u32) {
        let Some(run) = self.lost_run(id, task_id, attempt) else { return };
        let cut_off = self.workers.get(id).is_some_and(|w| self.was_cut_off(w));
        let rate = self.background_crash_rate(task_id);
        let long_running = self.is_long_running(&task_id.step_id());
        let threshold =
            self.policy.crashes.suspicion_threshold + shared_score(long_running, self.young_runs_on(id));
        if !cut_off
            && run.role < RunRole::Unheard
            && let Some(task) = self.jobs.get_mut(&task_id.job).and_then(|j| j.task_mut(task_id))
        {
            let timed: Vec<Duration> = task.crashes.known_run_times().chain(run.max_run_time).collect();
            if task_fault_score(timed.len(), timed.iter().sum(), rate) >= threshold {
                suspect(task, run.run_time, self.now);
            }
        }
        if let Some(mut w) = self.workers.get_mut(id) {
            w.lapsed_runs.push(LostRun { lapsed: true, ..run });
        }
    }

    /// Number of runs on a worker that had just started when it last answered, including those that have
    /// lapsed since.
    fn young_runs_on(&self, id: &WorkerId) -> usize {
        let Some(w) = self.workers.get(id) else { return 0 };
        let present = w.runs.keys().filter_map(|(task, attempt)| self.lost_run(id, task, *attempt));
        let roles = w.lapsed_runs.iter().map(|run| run.role).chain(present.map(|run| run.role));
        roles.filter(|role| *role < RunRole::Unheard).count()
    }

    /// Suspects tasks that were lost in several crashes under earlier lease holders.
    pub(super) fn suspect_inherited(&self, job: &mut Job) {
        // This holder has recorded no crashes of the job yet, so one rate holds for all of its tasks.
        let rate = self.background_crash_rate(&TaskId { job: job.key, round: 0, step: 0, index: 0 });
        let spec = job.spec.clone();
        for (n, task) in job.rounds.iter_mut().flat_map(|round| steps_with_tasks(round)) {
            if self.is_inherited_suspect(
                &task.crashes,
                rate,
                spec.steps.get(n).is_some_and(|s| s.long_running),
            ) {
                suspect(task, None, self.now);
            }
        }
    }

    /// Whether the crashes of a task under earlier lease holders make it suspect.
    fn is_inherited_suspect(&self, crashes: &CrashHistory, rate: f64, long_running: bool) -> bool {
        let policy = &self.policy.crashes;
        let needed = match crashes.known_run_times().count() {
            0 => 0.0,
            1 if long_running => policy.give_up_threshold * MANY_CRASHES_THRESHOLD_SHARE,
            1 => 0.0,
            _ => policy.suspicion_threshold,
        };
        crashes.telling_count(long_running) >= SUSPECT_AFTER_UNTIMED_CRASHES && crashes.score(rate) >= needed
    }

    /// Clears the crashes of long-running tasks that have been warm for long enough.
    pub(super) fn clear_proven_tasks(&mut self) {
        let long_running = self.workers.values().filter(|w| w.reachable).flat_map(|w| &w.long_running);
        let proven: Vec<TaskId> = long_running.filter(|id| self.is_proven_safe(id)).copied().collect();
        for id in proven {
            // A run of it may have been there when it was given up.
            self.take_back_crashes(&id, WithdrawnBy::ProvenSafe, |_, _| true);
        }
    }

    fn is_proven_safe(&self, id: &TaskId) -> bool {
        let Some(task) = self.jobs.get(&id.job).and_then(|j| j.task(id)) else { return false };
        let proven =
            |r: &Run| r.is_warmed_up() && r.confirmed_at.is_some_and(|at| at + PROVEN_SAFE_AFTER <= self.now);
        !task.crashes.is_empty() && task.runs.iter().any(proven)
    }
}

/// The tasks of a round, with the number of the step of each.
fn steps_with_tasks(round: &mut [Vec<Task>]) -> impl Iterator<Item = (usize, &mut Task)> {
    round.iter_mut().enumerate().flat_map(|(n, tasks)| tasks.iter_mut().map(move |task| (n, task)))
}

/// Counts a trial without quarantine as a run that had just started if another such run was lost with
/// it: either may have crashed the worker.
fn judge_open_trials(lost: &mut [LostRun]) {
    let suspects = lost.iter().filter(|run| run.role <= RunRole::Young).count();
    let open = |run: &&mut LostRun| run.role == RunRole::OnTrial && !run.quarantined;
    if suspects > 1 {
        lost.iter_mut().filter(open).for_each(|run| run.role = RunRole::Young);
    }
}
