//! Orders to a relay, and what it tells.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::{Term, UnixMs};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Event, Report, StartReply, StopReply, TaskId, WorkerAddress, WorkerUpdate};

/// Number that the lease holder gives a worker each time a relay begins to attend it.
pub type Number = u32;

/// A start of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// Number of the try.
    pub attempt: u32,
    /// Text of its job.
    pub text: Arc<str>,
    /// Checkpoint to go on from; empty for none.
    pub checkpoint: String,
    /// Ticket of the adviser.
    pub ticket: Option<Arc<str>>,
}

/// An order about one worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Attend it, with orders that carry this token.
    Attend {
        /// The worker.
        worker: WorkerAddress,
        /// The token.
        token: Term,
    },
    /// Attend it no longer.
    Leave,
    /// Let it forget its ends up to this number: they are on record.
    Forget(u64),
    /// Tell figures of all that runs there with each look, or no longer.
    Figures(bool),
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
    Pace {
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
pub enum What {
    /// It answered a look.
    Reported(Report),
    /// Its answer to a look is late.
    Doubted,
    /// It did not answer.
    Unanswered {
        /// How long its lease lasts at most if it is not extended.
        leased: Duration,
        /// How long ago it last answered.
        silent: Duration,
    },
    /// Its address is answered by another life; how long ago this one last answered.
    LifeOver(Duration),
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

impl What {
    /// What it means to the scheduler, heard at a time on its clock of a worker that is
    /// attended with this token.
    pub fn event(self, id: WorkerId, token: Term, now: Duration) -> Event {
        let news = match self {
            What::LifeOver(silent) => return Event::OtherIncarnationAnswered(id, now.saturating_sub(silent)),
            What::Restarted(started, silent) => {
                return Event::WorkerRestarted(id, started, now.saturating_sub(silent));
            }
            What::Reported(report) => WorkerUpdate::Reported(report),
            What::Doubted => WorkerUpdate::ProbeLate,
            What::Unanswered { leased, silent } => {
                WorkerUpdate::Unanswered { lease_end: now + leased, heard: now.saturating_sub(silent) }
            }
            What::Fenced => WorkerUpdate::Deposed,
            What::Started { task, attempt, reply } => WorkerUpdate::Started(task, attempt, reply),
            What::Stopped { task, attempt, reply } => WorkerUpdate::Stopped(task, attempt, reply),
        };
        Event::WorkerUpdate(id, token, news)
    }
}
