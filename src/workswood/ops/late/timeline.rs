//! The way of one job through the logs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use workswood_core::ids::UnixMs;
use workswood_core::jobs::TaskId;

use super::log_line::LogLine;

/// What a job lost most time by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Handing it in took long, or it was refused.
    Submission,
    /// It was accepted, but no lease holder took it in.
    NoLeaseHolder,
    /// Its first task waited for room.
    NoCapacity,
    /// Tasks of later steps waited.
    LaterSteps,
    /// Runs were lost, stuck or failed, and the task was started again.
    LostRuns,
    /// Its last end was shown late.
    LateCompletion,
    /// None of these: its runs alone took longer than it was owed.
    RunTime,
}

impl Cause {
    /// All of them, in the order of a job's way.
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

/// How a job went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Done in the time that it was owed.
    InTime,
    /// Done later, or never accepted.
    Late(Cause),
    /// It does not count: cancelled, failed, lasting, or not yet done.
    NotCounted,
}

/// Starts and the end of one task.
#[derive(Clone, Debug, Default)]
struct TaskWay {
    placed: Vec<UnixMs>,
    done: Option<UnixMs>,
}

/// What the logs tell of one job.
#[derive(Clone, Debug, Default)]
pub struct JobTimeline {
    /// When a host began to take it in, for the first time.
    handed_in: Option<UnixMs>,
    accepted: Option<UnixMs>,
    known: Option<UnixMs>,
    /// Multiple of its longest chain of work that it is owed within, and a fixed
    /// time on top.
    owed: Option<(f64, Duration)>,
    tasks: BTreeMap<TaskId, TaskWay>,
    completed: Option<UnixMs>,
    /// It was cancelled or failed.
    ended_otherwise: bool,
}

/// Times that a done job lost, and spent at work, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    room: u64,
    later_steps: u64,
    lost_runs: u64,
    work: u64,
}

impl JobTimeline {
    /// Takes a line about this job in.
    pub fn add_line(&mut self, line: &LogLine<'_>) {
        match line.event {
            "job_handed_in" => self.take_hand_in(line),
            "job_known" => {
                self.known.get_or_insert(line.at);
                let owed = line.value("stretch").zip(line.millis("target_ms"));
                self.owed = self.owed.or(owed);
            }
            "task_placed" => {
                if let Some(t) = self.task(line) {
                    t.placed.push(line.at);
                }
            }
            "run_ended" if line.text("how") == Some("Done") => {
                if let Some(t) = self.task(line) {
                    t.done.get_or_insert(line.at);
                }
            }
            "job_ended" if line.text("outcome") == Some("Completed") => {
                self.completed.get_or_insert(line.at);
            }
            "job_ended" => self.ended_otherwise = true,
            _ => {}
        }
    }

    fn take_hand_in(&mut self, line: &LogLine<'_>) {
        let took = line.value("took_ms").unwrap_or(0);
        let begun = line.at.saturating_sub(took);
        self.handed_in = Some(self.handed_in.map_or(begun, |at| at.min(begun)));
        if line.text("stored") == Some("Yes") {
            self.accepted.get_or_insert(line.at);
        }
    }

    fn task(&mut self, line: &LogLine<'_>) -> Option<&mut TaskWay> {
        let id: TaskId = line.value("task")?;
        Some(self.tasks.entry(id).or_default())
    }

    /// When it was handed in.
    pub fn handed_in(&self) -> Option<UnixMs> {
        self.handed_in
    }

    /// How it went.
    pub fn verdict(&self) -> Verdict {
        let Some(handed_in) = self.handed_in else { return Verdict::NotCounted };
        if self.ended_otherwise || self.tasks.keys().any(|t| t.round > 0) {
            return Verdict::NotCounted;
        }
        if self.accepted.is_none() && self.known.is_none() {
            return Verdict::Late(Cause::Submission);
        }
        let (Some(completed), Some((stretch, target))) = (self.completed, self.owed) else {
            return Verdict::NotCounted;
        };
        let Some(spent) = self.spent() else { return Verdict::NotCounted };
        let (work, lost): (Vec<_>, Vec<_>) = spent.into_iter().partition(|(on, _)| *on == Cause::RunTime);
        let work: u64 = work.iter().map(|(_, ms)| ms).sum();
        let owed = work as f64 * stretch + target.as_millis() as f64;
        if (completed.saturating_sub(handed_in)) as f64 <= owed {
            return Verdict::InTime;
        }
        let most = lost.into_iter().filter(|(_, ms)| *ms > 0).max_by_key(|(_, ms)| *ms);
        Verdict::Late(most.map_or(Cause::RunTime, |(cause, _)| cause))
    }

    /// What the time of a done job went into along its longest chain, in
    /// milliseconds.
    pub fn spent(&self) -> Option<Vec<(Cause, u64)>> {
        let (handed_in, completed) = (self.handed_in?, self.completed?);
        let (times, last_done) = self.times()?;
        let accepted = self.accepted.or(self.known).unwrap_or(handed_in);
        let known = self.known.unwrap_or(accepted);
        Some(vec![
            (Cause::Submission, accepted.saturating_sub(handed_in)),
            (Cause::NoLeaseHolder, known.saturating_sub(accepted)),
            (Cause::NoCapacity, times.room),
            (Cause::LaterSteps, times.later_steps),
            (Cause::LostRuns, times.lost_runs),
            (Cause::LateCompletion, completed.saturating_sub(last_done)),
            (Cause::RunTime, times.work),
        ])
    }

    /// Follows the tasks back from the one that was done last; also tells when
    /// that was.
    fn times(&self) -> Option<(Times, UnixMs)> {
        let (mut id, mut task, last_done) = self.last_done_before(None)?;
        let mut done = last_done;
        let mut times = Times::default();
        loop {
            let first = task.placed.iter().copied().filter(|at| *at <= done).min()?;
            let last = task.placed.iter().copied().filter(|at| *at <= done).max()?;
            times.work += done - last;
            times.lost_runs += last - first;
            let Some((before, way, ended)) = self.last_done_before(Some((id, first))) else {
                times.room = first.saturating_sub(self.known.or(self.accepted).unwrap_or(first));
                return Some((times, last_done));
            };
            times.later_steps += first - ended;
            (id, task, done) = (before, way, ended);
        }
    }

    /// The task that was done last; with a bound, of earlier steps than that
    /// task's, and not after that moment.
    fn last_done_before(&self, bound: Option<(TaskId, UnixMs)>) -> Option<(TaskId, &TaskWay, UnixMs)> {
        let done = self.tasks.iter().filter_map(|(id, t)| Some((*id, t, t.done?)));
        let within = done.filter(|(id, _, at)| bound.is_none_or(|(b, by)| id.step < b.step && *at <= by));
        within.max_by_key(|(_, _, at)| *at)
    }
}
