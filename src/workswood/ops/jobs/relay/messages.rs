//! Orders to a relay, and what it tells.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::{Term, UnixMs};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Event, Report, StartReply, StopReply, TaskId, WorkerAddress, WorkerUpdate};

/// Number that the lease holder gives a worker each time a relay begins to attend it.
pub type WorkerNumber = u32;

/// A start of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// Number of the try.
    pub attempt: u32,
    /// Text of its job.
    pub spec: Arc<str>,
    /// Checkpoint to go on from; empty for none.
    pub checkpoint: String,
    /// Ticket of the adviser.
    pub ticket: Option<Arc<str>>,
}

/// An order about one worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerOrder {
    /// Attend it, with orders that carry this token.
    Assign {
        /// The worker.
        worker: WorkerAddress,
        /// The token.
        token: Term,
    },
    /// Attend it no longer.
    Unassign,
    /// Let it forget its ends up to this number: they are on record.
    AckEnds(u64),
    /// Tell figures of all that runs there with each look, or no longer.
    ReportLoad(bool),
    /// Start a task.
    Start(StartTask),
    /// Stop a task.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the try.
        attempt: u32,
    },
    /// Let a task work at a share.
    Throttle {
        /// The task.
        task: TaskId,
        /// Number of the try.
        attempt: u32,
        /// The share.
        percent: u32,
    },
}

/// What is new of one worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEvent {
    /// It answered a look.
    Reported(Report),
    /// Its answer to a look is late.
    ReplyLate,
    /// It did not answer.
    Unanswered {
        /// How long its lease lasts at most if it is not extended.
        lease_left: Duration,
        /// How long ago it last answered.
        silent_for: Duration,
    },
    /// Its address is answered by another life; how long ago this one last answered.
    IncarnationEnded(Duration),
    /// It has started again under its name, at a time of day; how long ago its life before last answered.
    Restarted(UnixMs, Duration),
    /// It knows a higher token.
    Fenced,
    /// The outcome of a start.
    Started {
        /// The task.
        task: TaskId,
        /// Number of the try.
        attempt: u32,
        /// What came of it.
        reply: StartReply,
    },
    /// The outcome of a stop.
    Stopped {
        /// The task.
        task: TaskId,
        /// Number of the try.
        attempt: u32,
        /// What came of it.
        reply: StopReply,
    },
}

impl WorkerEvent {
    /// What it means to the scheduler, heard at a time on its clock of a worker that is
    /// attended with this token.
    pub fn into_scheduler_event(self, id: WorkerId, token: Term, now: Duration) -> Event {
        let news = match self {
            WorkerEvent::IncarnationEnded(silent) => return Event::LifeOver(id, now.saturating_sub(silent)),
            WorkerEvent::Restarted(started, silent) => {
                return Event::WorkerRestarted(id, started, now.saturating_sub(silent));
            }
            WorkerEvent::Reported(report) => WorkerUpdate::Reported(report),
            WorkerEvent::ReplyLate => WorkerUpdate::ProbeLate,
            WorkerEvent::Unanswered { lease_left, silent_for } => WorkerUpdate::Unanswered {
                lease_end: now + lease_left,
                heard: now.saturating_sub(silent_for),
            },
            WorkerEvent::Fenced => WorkerUpdate::Fenced,
            WorkerEvent::Started { task, attempt, reply } => WorkerUpdate::Started(task, attempt, reply),
            WorkerEvent::Stopped { task, attempt, reply } => WorkerUpdate::Stopped(task, attempt, reply),
        };
        Event::WorkerUpdate(id, token, news)
    }
}
