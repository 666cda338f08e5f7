//! Remembers for the log how runs are known to be over: what is known of a task's last run when the task is started
//! again, and whether a run comes back that was settled without an end.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use super::job::WorkerId;
use super::run_tracker::RunKey;
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::worker::EndKind;

/// Most runs that are remembered, the latest ones: as many as the workers of some racks run, which may be lost at
/// once, in less than a megabyte.
const MAX_OVER_RUNS: usize = 4096;
/// Reason of settling a run that the worker has refused to start. If its order is carried out after all, its stop or
/// end is expected.
pub(super) const START_REFUSED: &str = "start_refused";

/// How a run is known to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OverAs {
    /// Settled without an end, for a reason.
    Settled(&'static str),
    /// The worker has reported its end.
    Ended(EndKind),
}

impl fmt::Display for OverAs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OverAs::Settled(reason) => f.write_str(reason),
            OverAs::Ended(kind) => write!(f, "{kind:?}"),
        }
    }
}

/// What the worker tells of a run that was settled.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReturnedAs {
    /// It is listed, and was taken back.
    Adopted,
    /// It is listed, and is stopped.
    Stray,
    /// It has ended.
    Ended(EndKind),
}

impl fmt::Display for ReturnedAs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReturnedAs::Adopted => f.write_str("adopted"),
            ReturnedAs::Stray => f.write_str("stray"),
            ReturnedAs::Ended(kind) => write!(f, "{kind:?}"),
        }
    }
}

/// A run that is over.
#[derive(Debug)]
struct OverRun {
    worker: WorkerId,
    over_as: OverAs,
    since: Duration,
    /// Whether it has come back since.
    returned: bool,
}

/// The runs that were over last.
#[derive(Debug, Default)]
pub(super) struct OverRuns {
    runs: BTreeMap<RunKey, OverRun>,
    /// The same runs, the oldest first.
    order: VecDeque<RunKey>,
}

impl OverRuns {
    /// Remembers how a run is known to be over.
    fn note(&mut self, key: RunKey, run: OverRun) {
        if self.runs.insert(key, run).is_some() {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_OVER_RUNS
            && let Some(oldest) = self.order.pop_front()
        {
            self.runs.remove(&oldest);
        }
    }

    /// The latest attempt of a task that is known to be over.
    fn last_of(&self, task: &TaskId) -> Option<(u32, &OverRun)> {
        let (key, run) = self.runs.range((*task, 0)..=(*task, u32::MAX)).next_back()?;
        Some((key.1, run))
    }

    /// Marks that a run is there that was settled; returns how and when it was settled, the first time.
    fn mark_returned(&mut self, worker: &WorkerId, key: RunKey) -> Option<(&'static str, Duration)> {
        let run = self.runs.get_mut(&key).filter(|r| r.worker == *worker && !r.returned)?;
        match run.over_as {
            OverAs::Settled(reason) if reason != START_REFUSED => {
                run.returned = true;
                Some((reason, run.since))
            }
            _ => None,
        }
    }
}

/// What is known of the runs of a task before it is started again, for the log.
enum EarlierRuns<'a> {
    /// It has not been started before.
    None,
    /// One of them may still be there; the task may have copies.
    NotOver,
    /// It was started before; how its last run is known to be over, if that is remembered, and the time now.
    Over(Option<(u32, &'a OverRun)>, Duration),
}

impl fmt::Display for EarlierRuns<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EarlierRuns::None => Ok(()),
            EarlierRuns::NotOver => f.write_str(" earlier=not_over"),
            EarlierRuns::Over(None, _) => f.write_str(" earlier=unknown"),
            EarlierRuns::Over(Some((attempt, run)), now) => write!(
                f,
                " earlier={} earlier_worker={} earlier_attempt={attempt} over_ms_ago={}",
                run.over_as,
                run.worker,
                now.saturating_sub(run.since).as_millis()
            ),
        }
    }
}

impl Scheduler {
    /// Remembers how a run is known to be over.
    pub(super) fn remember_over(&mut self, worker: &WorkerId, key: RunKey, over_as: OverAs) {
        let run = OverRun { worker: worker.clone(), over_as, since: self.now, returned: false };
        self.over_runs.note(key, run);
    }

    /// Logs and counts a run that is there although it was settled.
    pub(super) fn note_settled_run_returned(
        &mut self,
        worker: &WorkerId,
        key: RunKey,
        returned_as: ReturnedAs,
    ) {
        let Some((reason, since)) = self.over_runs.mark_returned(worker, key) else { return };
        self.counters.settled_runs_returned += 1;
        self.notes.push(format_args!(
            "event=settled_run_returned worker={worker} task={} attempt={} settled_ms_ago={} settled_as={reason} \
             returned_as={returned_as}",
            key.0,
            key.1,
            self.now.saturating_sub(since).as_millis()
        ));
    }

    /// Logs that a task was placed, with what is known of its runs before.
    pub(super) fn log_placement(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        attempt: u32,
        has_other_run: bool,
    ) {
        let earlier = match (attempt, has_other_run) {
            (..=1, _) => EarlierRuns::None,
            (_, true) => EarlierRuns::NotOver,
            (_, false) => EarlierRuns::Over(self.over_runs.last_of(task), self.now),
        };
        self.notes
            .push(format_args!("event=task_placed worker={worker} task={task} attempt={attempt}{earlier}"));
    }
}
