//! The timeline of one job, collected from log lines, and what delayed it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use workswood_core::ids::UnixMs;
use workswood_core::jobs::TaskId;

use super::log_line::LogLine;

/// What a job spent its time on, and the main cause of its delay if it was late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Submission took long or was refused.
    Submission,
    /// The job was accepted, but no lease holder had loaded it.
    NoLeaseHolder,
    /// The first task waited for free capacity.
    NoCapacity,
    /// Tasks of later steps waited after their predecessors were done.
    LaterSteps,
    /// Runs were lost, stalled or failed, and their tasks were started again.
    LostRuns,
    /// The job was reported as completed some time after its last task was done.
    LateCompletion,
    /// The final runs of the tasks. As the cause of a delay: there was no other loss of time.
    RunTime,
}

impl Cause {
    /// All causes, in the order in which a job can meet them.
    pub const ALL: [Cause; 7] = [
        Cause::Submission,
        Cause::NoLeaseHolder,
        Cause::NoCapacity,
        Cause::LaterSteps,
        Cause::LostRuns,
        Cause::LateCompletion,
        Cause::RunTime,
    ];
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Cause::Submission => "hand-in",
            Cause::NoLeaseHolder => "no holder",
            Cause::NoCapacity => "no room",
            Cause::LaterSteps => "later steps",
            Cause::LostRuns => "lost runs",
            Cause::LateCompletion => "shown late",
            Cause::RunTime => "work itself",
        };
        f.write_str(text)
    }
}

/// Whether a job was done by its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Done by its deadline.
    InTime,
    /// Done after its deadline, or never accepted.
    Late(Cause),
    /// Not counted: cancelled, failed, repeated, or not yet done.
    NotCounted,
}

/// When one task was placed, once per attempt, and when it was done.
#[derive(Clone, Debug, Default)]
struct TaskTimeline {
    placed: Vec<UnixMs>,
    done: Option<UnixMs>,
}

/// Events of one job, in milliseconds since 1970.
#[derive(Clone, Debug, Default)]
pub struct JobTimeline {
    /// When a host first received the job.
    submitted_at: Option<UnixMs>,
    /// When the job was first reported as stored.
    accepted_at: Option<UnixMs>,
    /// When a lease holder first loaded the job.
    loaded_at: Option<UnixMs>,
    /// The time allowed for the job: a multiple of its work along the critical path, plus a
    /// fixed time.
    allowance: Option<(f64, Duration)>,
    tasks: BTreeMap<TaskId, TaskTimeline>,
    completed_at: Option<UnixMs>,
    /// The job was cancelled or failed.
    ended_otherwise: bool,
}

/// Times along the critical path of a completed job, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct CriticalPathTimes {
    capacity_wait: u64,
    later_step_wait: u64,
    lost_runs: u64,
    run_time: u64,
}

impl JobTimeline {
    /// Adds a log line about this job. Unrelated events are ignored.
    pub fn add_line(&mut self, line: &LogLine<'_>) {
        match line.event {
            "job_handed_in" => self.add_submission(line),
            "job_known" => {
                self.loaded_at.get_or_insert(line.at);
                let allowance = line.value("stretch").zip(line.millis("target_ms"));
                self.allowance = self.allowance.or(allowance);
            }
            "task_placed" => {
                if let Some(t) = self.task_of(line) {
                    t.placed.push(line.at);
                }
            }
            "run_ended" if line.text("how") == Some("Done") => {
                if let Some(t) = self.task_of(line) {
                    t.done.get_or_insert(line.at);
                }
            }
            "job_ended" if line.text("outcome") == Some("Completed") => {
                self.completed_at.get_or_insert(line.at);
            }
            "job_ended" => self.ended_otherwise = true,
            _ => {}
        }
    }

    fn add_submission(&mut self, line: &LogLine<'_>) {
        let took_ms = line.value("took_ms").unwrap_or(0);
        let received_at = line.at.saturating_sub(took_ms);
        self.submitted_at = Some(self.submitted_at.map_or(received_at, |at| at.min(received_at)));
        if line.text("stored") == Some("Yes") {
            self.accepted_at.get_or_insert(line.at);
        }
    }

    fn task_of(&mut self, line: &LogLine<'_>) -> Option<&mut TaskTimeline> {
        let id: TaskId = line.value("task")?;
        Some(self.tasks.entry(id).or_default())
    }

    /// When the job was submitted, in milliseconds since 1970.
    pub fn submitted_at(&self) -> Option<UnixMs> {
        self.submitted_at
    }

    /// Decides whether the job was done by its deadline, and if not, names the main cause.
    pub fn verdict(&self) -> Verdict {
        let Some(submitted_at) = self.submitted_at else { return Verdict::NotCounted };
        if self.ended_otherwise || self.tasks.keys().any(|t| t.round > 0) {
            return Verdict::NotCounted;
        }
        if self.accepted_at.is_none() && self.loaded_at.is_none() {
            return Verdict::Late(Cause::Submission);
        }
        let (Some(completed_at), Some((stretch, target))) = (self.completed_at, self.allowance) else {
            return Verdict::NotCounted;
        };
        let Some(times) = self.time_by_cause() else { return Verdict::NotCounted };
        let (run_time, lost): (Vec<_>, Vec<_>) =
            times.into_iter().partition(|(cause, _)| *cause == Cause::RunTime);
        let run_time: u64 = run_time.iter().map(|(_, ms)| ms).sum();
        let allowed_ms = run_time as f64 * stretch + target.as_millis() as f64;
        if (completed_at.saturating_sub(submitted_at)) as f64 <= allowed_ms {
            return Verdict::InTime;
        }
        let main_cause = lost.into_iter().filter(|(_, ms)| *ms > 0).max_by_key(|(_, ms)| *ms);
        Verdict::Late(main_cause.map_or(Cause::RunTime, |(cause, _)| cause))
    }

    /// The time that a completed job spent by cause along its critical path, in milliseconds;
    /// `None` if it is not completed.
    pub fn time_by_cause(&self) -> Option<Vec<(Cause, u64)>> {
        let (submitted_at, completed_at) = (self.submitted_at?, self.completed_at?);
        let (times, last_done) = self.critical_path_times()?;
        let accepted_at = self.accepted_at.or(self.loaded_at).unwrap_or(submitted_at);
        let loaded_at = self.loaded_at.unwrap_or(accepted_at);
        Some(vec![
            (Cause::Submission, accepted_at.saturating_sub(submitted_at)),
            (Cause::NoLeaseHolder, loaded_at.saturating_sub(accepted_at)),
            (Cause::NoCapacity, times.capacity_wait),
            (Cause::LaterSteps, times.later_step_wait),
            (Cause::LostRuns, times.lost_runs),
            (Cause::LateCompletion, completed_at.saturating_sub(last_done)),
            (Cause::RunTime, times.run_time),
        ])
    }

    /// Follows the critical path backwards from the task that was done last. Also returns when
    /// that task was done.
    fn critical_path_times(&self) -> Option<(CriticalPathTimes, UnixMs)> {
        let (mut id, mut task, last_done) = self.last_done_before(None)?;
        let mut done = last_done;
        let mut times = CriticalPathTimes::default();
        loop {
            let first_placed = task.placed.iter().copied().filter(|at| *at <= done).min()?;
            let last_placed = task.placed.iter().copied().filter(|at| *at <= done).max()?;
            times.run_time += done - last_placed;
            times.lost_runs += last_placed - first_placed;
            let Some((previous_id, previous, previous_done)) =
                self.last_done_before(Some((id, first_placed)))
            else {
                times.capacity_wait =
                    first_placed.saturating_sub(self.loaded_at.or(self.accepted_at).unwrap_or(first_placed));
                return Some((times, last_done));
            };
            times.later_step_wait += first_placed - previous_done;
            (id, task, done) = (previous_id, previous, previous_done);
        }
    }

    /// Returns the task that was done last. With a bound, only tasks of earlier steps than the
    /// bound's task that were done by the bound's time are considered.
    fn last_done_before(&self, bound: Option<(TaskId, UnixMs)>) -> Option<(TaskId, &TaskTimeline, UnixMs)> {
        let done = self.tasks.iter().filter_map(|(id, t)| Some((*id, t, t.done?)));
        let within =
            done.filter(|(id, _, at)| bound.is_none_or(|(next, by)| id.step < next.step && *at <= by));
        within.max_by_key(|(_, _, at)| *at)
    }
}
