//! Takes back crashes of lives that turn out not to have ended.
//!
//! A life that is counted as crashed and answers after all was cut off. All crashes that are counted under it are
//! taken back, whether they were taken for certain or not, and each task concerned is reconsidered. Only an answer
//! counts: the entry of a worker that is over may linger in the list of workers.
//!
//! [`CountedLives`] tells which tasks have crashes of a life on record. It may name tasks whose crashes are no longer
//! on record; these drop out when it is rebuilt.

use std::collections::{BTreeSet, HashMap};

use super::crash_history::CrashRecord;
use super::crash_log::{WithdrawnBy, log_withdrawn};
use super::job::{Job, WorkerId};
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::worker::Report;

/// Lives that the index holds at least before it is rebuilt.
const MIN_LIVES_TO_REBUILD: usize = 256;

/// Lives that are counted as crashed, each with the tasks that have a crash of it on record.
#[derive(Debug)]
pub(super) struct CountedLives {
    by_life: HashMap<WorkerId, BTreeSet<TaskId>>,
    /// The index is rebuilt once it holds this many lives.
    rebuild_at: usize,
}

impl Default for CountedLives {
    fn default() -> CountedLives {
        CountedLives { by_life: HashMap::new(), rebuild_at: MIN_LIVES_TO_REBUILD }
    }
}

impl CountedLives {
    /// Notes that a life is counted as crashed.
    pub(super) fn note_crash(&mut self, life: &WorkerId) {
        self.by_life.entry(life.clone()).or_default();
    }

    /// Notes the lives that the crashes of a job's tasks are counted under.
    pub(super) fn note_job(&mut self, job: &Job) {
        for id in job.task_ids() {
            let crashes = job.task(&id).into_iter().flat_map(|task| task.crashes.0.values());
            for life in crashes.filter_map(|crash| crash.worker.as_ref()) {
                self.note_task(life, id);
            }
        }
    }

    /// Notes that a task has a crash of a life on record.
    pub(super) fn note_task(&mut self, life: &WorkerId, task: TaskId) {
        self.by_life.entry(life.clone()).or_default().insert(task);
    }

    /// Removes a life; returns the tasks that may have a crash of it on record, `None` if it is not counted.
    fn remove(&mut self, life: &WorkerId) -> Option<BTreeSet<TaskId>> {
        self.by_life.remove(life)
    }

    fn is_full(&self) -> bool {
        self.by_life.len() >= self.rebuild_at
    }

    /// Builds the index anew from all jobs that are not archived.
    fn rebuild<'a>(&mut self, jobs: impl Iterator<Item = &'a Job>) {
        self.by_life.clear();
        jobs.for_each(|job| self.note_job(job));
        self.rebuild_at = MIN_LIVES_TO_REBUILD.max(2 * self.by_life.len());
    }
}

impl Scheduler {
    /// Drops the lives from the index that no crash on record is counted under, if it has grown.
    pub(super) fn trim_counted_lives(&mut self) {
        if self.counted_lives.is_full() {
            self.counted_lives.rebuild(self.jobs.values());
        }
    }

    /// Takes back the crashes that are counted under a life that has answered now.
    pub(super) fn withdraw_crashes(&mut self, life: &WorkerId) {
        let Some(tasks) = self.counted_lives.remove(life) else { return };
        self.crash_rate.withdraw(life);
        for id in tasks {
            self.take_back_crashes(&id, WithdrawnBy::Answer, |_, crash| crash.is_of(life));
        }
    }

    /// Takes back the crashes under runs that a worker lists, or whose ends it lists: they outlasted the life that was
    /// counted as crashed.
    pub(super) fn withdraw_listed(&mut self, report: &Report) {
        let running = report.running.iter().map(|run| (run.task, run.attempt));
        let ended = report.ended.iter().map(|end| (end.task, end.attempt));
        for (id, attempt) in running.chain(ended) {
            self.take_back_crashes(&id, WithdrawnBy::ReportedRun, |counted, _| counted == attempt);
        }
    }

    /// Takes back the crashes of a task for which `is_refuted` holds, and judges the task anew if there are any.
    pub(super) fn take_back_crashes(
        &mut self,
        id: &TaskId,
        by: WithdrawnBy,
        is_refuted: impl Fn(u32, &CrashRecord) -> bool,
    ) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id));
        let Some(task) = task.filter(|task| !task.crashes.is_empty()) else { return };
        let withdrawn = task.crashes.withdraw_if(is_refuted);
        for (attempt, crash) in &withdrawn {
            log_withdrawn(&mut self.notes, &mut self.counters, (id, *attempt), (crash, by), &task.crashes);
        }
        if !withdrawn.is_empty() {
            self.dirty_jobs.insert(id.job);
            self.reconsider_task(id);
        }
    }
}
