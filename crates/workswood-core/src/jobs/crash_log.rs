//! Log lines and counters about the crashes on record for tasks: counted, taken back, and what follows from them.
//!
//! Each function writes one line and counts it. Times of a crash are in milliseconds since the last answer of its
//! worker, on the scheduler's clock, so that two of them can be compared in one line.

use std::fmt;
use std::time::Duration;

use super::crash_attribution::{IncarnationEnd, RunRole};
use super::crash_history::{Certainty, CrashHistory, CrashRecord, Evidence};
use super::job::WorkerId;
use super::log_lines::{LogLines, OrWord};
use super::scheduler::SchedulerCounters;
use super::spec::TaskId;

/// Most crashes that a line names one by one; those of the latest attempts go first.
pub const MAX_CRASHES_NAMED: usize = 8;

/// Most tasks that the lines about the crash of one worker name.
pub const MAX_TASKS_NAMED: usize = 16;

/// How it is known that the life of a worker is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKnownBy {
    /// Another life answers at its address.
    OtherLife,
    /// Another life on its host is known.
    NextLife,
    /// The list of hosts shows its host without it.
    HostWithoutWorker,
    /// Its host was ordered down for maintenance.
    Maintenance,
    /// Its host was ordered to another pool.
    HostMoved,
    /// Not at all: it is unreachable, and no longer listed.
    Unlisted,
}

impl EndKnownBy {
    /// The name in the log.
    pub fn label(self) -> &'static str {
        match self {
            EndKnownBy::OtherLife => "other_life",
            EndKnownBy::NextLife => "next_life",
            EndKnownBy::HostWithoutWorker => "machine_listed_without_it",
            EndKnownBy::Maintenance => "upkeep",
            EndKnownBy::HostMoved => "moved",
            EndKnownBy::Unlisted => "gone",
        }
    }
}

impl From<IncarnationEnd> for EndKnownBy {
    fn from(end: IncarnationEnd) -> EndKnownBy {
        match end {
            IncarnationEnd::OtherIncarnation => EndKnownBy::OtherLife,
            IncarnationEnd::HostWithoutWorker => EndKnownBy::HostWithoutWorker,
            IncarnationEnd::Maintenance => EndKnownBy::Maintenance,
            IncarnationEnd::HostMoved => EndKnownBy::HostMoved,
            IncarnationEnd::UnreachableAndUnlisted => EndKnownBy::Unlisted,
        }
    }
}

/// What shows that a crash on record was none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawnBy {
    /// The life that was counted as crashed answers.
    Answer,
    /// A worker lists the run, or its end.
    ReportedRun,
    /// The task has been at work for long on another worker.
    ProvenSafe,
}

impl WithdrawnBy {
    /// The name in the log.
    pub fn label(self) -> &'static str {
        match self {
            WithdrawnBy::Answer => "answer",
            WithdrawnBy::ReportedRun => "reported_run",
            WithdrawnBy::ProvenSafe => "proven_safe",
        }
    }
}

/// Why a task that was given up comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReinstatedFor {
    /// Crashes that proved its fault were taken back.
    Withdrawal,
    /// The record that was taken over proves nothing.
    UnprovenRecord,
}

impl ReinstatedFor {
    /// The name in the log.
    pub fn label(self) -> &'static str {
        match self {
            ReinstatedFor::Withdrawal => "withdrawal",
            ReinstatedFor::UnprovenRecord => "unproven_record",
        }
    }
}

/// The times that tell whether a worker crashed under its runs, on the scheduler's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashTimes {
    /// When the worker last answered; `None` if it has not answered this lease holder.
    pub heard: Option<Duration>,
    /// By when its life had ended; `None` if that is not known.
    pub over_by: Option<Duration>,
    /// How the end of its life is known.
    pub known_by: EndKnownBy,
    /// From when its runs may have lapsed; `None` if that is not known.
    pub lapses_from: Option<Duration>,
}

impl fmt::Display for CrashTimes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let after_answer =
            |at: Option<Duration>| OrWord::unknown(at.zip(self.heard).map(|(at, heard)| ms_from(heard, at)));
        let (over_by, lapses_from) = (after_answer(self.over_by), after_answer(self.lapses_from));
        let why = self.known_by.label();
        write!(f, "why={why} over_by_ms={over_by} lapses_from_ms={lapses_from}")
    }
}

/// A crash that was put on record for a task.
#[derive(Clone, Copy, Debug)]
pub struct CountedCrash<'a> {
    /// The life that is counted as crashed.
    pub worker: &'a WorkerId,
    /// The task that ran there.
    pub task: TaskId,
    /// The attempt that was lost.
    pub attempt: u32,
    /// What was put on record.
    pub crash: &'a CrashRecord,
    /// The part of the run in the crash.
    pub role: RunRole,
    /// How long the run was known to be there; `None` if it may never have started.
    pub run_time: Option<Duration>,
    /// Why the crash is certain or only possible.
    pub times: CrashTimes,
    /// Whether the run was settled as lapsed before the end of the life was known.
    pub lapsed: bool,
    /// All crashes of the task, with this one.
    pub history: &'a CrashHistory,
}

/// Logs and counts a crash that was put on record for a task.
pub fn log_counted(notes: &mut LogLines, counters: &mut SchedulerCounters, counted: &CountedCrash<'_>) {
    let CountedCrash { worker, task, attempt, crash, role, times, history, .. } = counted;
    count_crash(counters, crash.certainty);
    notes.push(format_args!(
        "event=crash_counted worker={worker} task={task} attempt={attempt} certainty={} {times} lapsed={} part={role:?} \
         evidence={} ran_ms={} max_ms={} count={} certain={}",
        certainty_label(crash.certainty),
        if counted.lapsed { "yes" } else { "no" },
        evidence_label(crash.evidence),
        OrWord::unknown(counted.run_time.map(|ran| ran.as_millis())),
        OrWord::unknown(crash.max_run_time.map(|max| max.as_millis())),
        history.count(),
        history.certain_count()
    ));
}

/// Which of the tasks that a worker crashed under get a line of their own.
#[derive(Clone, Copy, Debug, Default)]
pub struct CountedLines {
    /// Lines that name a task.
    named: usize,
    /// Tasks that are not named.
    others: usize,
}

impl CountedLines {
    /// Logs and counts a crash that was put on record for a task. It gets a line only if `names_task`, and up to
    /// [`MAX_TASKS_NAMED`] lines.
    pub fn log(
        &mut self,
        notes: &mut LogLines,
        counters: &mut SchedulerCounters,
        counted: &CountedCrash<'_>,
        names_task: bool,
    ) {
        if names_task && self.named < MAX_TASKS_NAMED {
            self.named += 1;
            log_counted(notes, counters, counted);
        } else {
            self.others += 1;
        }
    }

    /// Logs and counts the crash for the tasks that got no line.
    pub fn log_others(
        self,
        notes: &mut LogLines,
        counters: &mut SchedulerCounters,
        worker: &WorkerId,
        crash: (Certainty, CrashTimes),
    ) {
        if self.others > 0 {
            log_counted_others(notes, counters, worker, self.others, crash);
        }
    }
}

/// Logs and counts the crash of a worker for tasks that get no line of their own.
fn log_counted_others(
    notes: &mut LogLines,
    counters: &mut SchedulerCounters,
    worker: &WorkerId,
    tasks: usize,
    (certainty, times): (Certainty, CrashTimes),
) {
    (0..tasks).for_each(|_| count_crash(counters, certainty));
    notes.push(format_args!(
        "event=crash_counted_others worker={worker} tasks={tasks} certainty={} {times}",
        certainty_label(certainty)
    ));
}

fn count_crash(counters: &mut SchedulerCounters, certainty: Certainty) {
    match certainty {
        Certainty::Certain => counters.certain_crashes += 1,
        Certainty::Possible | Certainty::Lapsed => counters.possible_crashes += 1,
    }
}

/// Logs and counts a crash that was taken back; `left` are those that remain on record.
pub fn log_withdrawn(
    notes: &mut LogLines,
    counters: &mut SchedulerCounters,
    (task, attempt): (&TaskId, u32),
    (crash, by): (&CrashRecord, WithdrawnBy),
    left: &CrashHistory,
) {
    counters.crashes_withdrawn += 1;
    notes.push(format_args!(
        "event=crash_withdrawn worker={} task={task} attempt={attempt} by={} was={} count={} certain={}",
        worker_label(crash),
        by.label(),
        certainty_label(crash.certainty),
        left.count(),
        left.certain_count()
    ));
}

/// What a task is given up or paced on.
#[derive(Clone, Copy, Debug)]
pub struct Grounds<'a> {
    /// The worker that crashed last.
    pub worker: &'a WorkerId,
    /// The crashes on record.
    pub history: &'a CrashHistory,
    /// The score of the task.
    pub score: f64,
    /// The score that it takes.
    pub threshold: f64,
}

impl fmt::Display for Grounds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Grounds { history, score, threshold, .. } = self;
        let (crashes, certain) = (history.count(), history.certain_count());
        write!(f, "crashes={crashes} suspicion={score:.1} certain={certain} threshold={threshold:.1} ")?;
        write_crashes(f, history)
    }
}

/// Writes the crashes of the latest attempts one by one, each as attempt, worker, certainty, evidence and longest run
/// time in milliseconds.
fn write_crashes(f: &mut fmt::Formatter<'_>, history: &CrashHistory) -> fmt::Result {
    f.write_str("evidence=\"")?;
    for (n, (attempt, crash)) in history.0.iter().rev().take(MAX_CRASHES_NAMED).enumerate() {
        let separator = if n == 0 { "" } else { "," };
        write!(
            f,
            "{separator}{attempt}:{}:{}:{}:{}",
            worker_label(crash),
            certainty_label(crash.certainty),
            evidence_label(crash.evidence),
            OrWord::unknown(crash.max_run_time.map(|max| max.as_millis()))
        )?;
    }
    write!(f, "\" unnamed={}", history.count().saturating_sub(MAX_CRASHES_NAMED))
}

/// Logs and counts that a task is given up.
pub fn log_given_up(notes: &mut LogLines, counters: &mut SchedulerCounters, task: &TaskId, on: &Grounds<'_>) {
    counters.tasks_given_up += 1;
    notes.push(format_args!("event=task_given_up worker={} task={task} {on}", on.worker));
}

/// Logs and counts that a task that was given up comes back; `absent_for` is `None` if it is not known
/// since when it has been absent.
pub fn log_reinstated(
    notes: &mut LogLines,
    counters: &mut SchedulerCounters,
    task: &TaskId,
    (why, absent_for): (ReinstatedFor, Option<Duration>),
    left: &CrashHistory,
) {
    counters.tasks_reinstated += 1;
    notes.push(format_args!(
        "event=task_reinstated task={task} why={} absent_ms={} crashes={} certain={}",
        why.label(),
        OrWord::unknown(absent_for.map(|length| length.as_millis())),
        left.count(),
        left.certain_count()
    ));
}

/// Logs and counts that the restarts of a task are paced from now on, since it may crash its workers: each waits for
/// `wait` at most.
pub fn log_paced(
    notes: &mut LogLines,
    counters: &mut SchedulerCounters,
    task: &TaskId,
    wait: Duration,
    on: &Grounds<'_>,
) {
    counters.tasks_paced += 1;
    let wait_ms = wait.as_millis();
    notes.push(format_args!("event=task_paced worker={} task={task} wait_ms={wait_ms} {on}", on.worker));
}

/// The name of a certainty in the log.
pub fn certainty_label(certainty: Certainty) -> &'static str {
    match certainty {
        Certainty::Certain => "certain",
        Certainty::Possible | Certainty::Lapsed => "possible",
    }
}

fn evidence_label(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::LikelyCause => "likely_cause",
        Evidence::Bystander => "bystander",
        Evidence::Unconfirmed => "unconfirmed",
    }
}

fn worker_label(crash: &CrashRecord) -> OrWord<&WorkerId> {
    OrWord::unknown(crash.worker.as_ref())
}

/// Milliseconds from one time to another, negative if the other was earlier.
fn ms_from(from: Duration, to: Duration) -> i128 {
    to.as_millis() as i128 - from.as_millis() as i128
}
