//! Orders to a relay, and the events that it reports.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::{Term, UnixMs};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::{Event, Report, StartReply, StopReply, TaskId, WorkerAddress, WorkerUpdate};

/// Number by which the lease holder and a relay identify a worker. The holder chooses a new one
/// for each [`WorkerOrder::Assign`].
pub type WorkerNumber = u32;

/// A task to start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Specification of the job, which is passed to the task.
    pub spec: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Ticket from the adviser.
    pub ticket: Option<Arc<str>>,
}

/// An order about one worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerOrder {
    /// Start to poll the worker.
    Assign {
        /// The worker.
        worker: WorkerAddress,
        /// Fencing token of the orders to the worker.
        token: Term,
        /// When to extend the worker's lease only on order.
        extensions: ExtensionOrders,
    },
    /// Extend the worker's lease, if this many polls had no answer in this assignment.
    ExtendLeases(u32),
    /// Stop polling the worker.
    Unassign,
    /// Acknowledge to the worker the ended tasks up to this number, which are recorded.
    AckEnds(u64),
    /// Whether to report the load of all running tasks after each poll.
    ReportLoad(bool),
    /// Start a task.
    Start(StartTask),
    /// Stop a task. A start of this attempt that has not been sent is dropped instead.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Drop the start of a task if it has not been sent.
    WithdrawStart {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Limit the pace of a task.
    Throttle {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// Allowed share of the full pace, in percent.
        percent: u32,
    },
}

/// An event of one worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEvent {
    /// It answered a poll.
    Reported(Report),
    /// Its reply to a poll is late.
    ReplyLate,
    /// It did not answer a poll.
    Unanswered {
        /// How long its lease lasts at most if it is not extended.
        lease_left: Duration,
        /// How long ago it last answered.
        silent_for: Duration,
    },
    /// Another incarnation answers at its address. Contains how long ago this one last answered.
    IncarnationEnded(Duration),
    /// It has restarted under the same name, at this time. Contains how long ago the previous
    /// incarnation last answered.
    Restarted(UnixMs, Duration),
    /// Its lease is not extended (again) before an order to extend it: after a poll without an answer, or from
    /// the start of the assignment.
    AwaitsOrder,
    /// It has confirmed a lease, which does not end before this time on the scheduler's clock.
    LeaseConfirmed(Duration),
    /// It has seen a higher fencing token.
    Fenced,
    /// The outcome of a start order.
    Started {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// The outcome.
        reply: StartReply,
    },
    /// The outcome of a stop order.
    Stopped {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// The outcome.
        reply: StopReply,
    },
}

impl WorkerEvent {
    /// Converts the event for the scheduler. `id` is the worker, `token` the fencing token with
    /// which it was assigned, and `now` the time on the scheduler's clock when the event arrived.
    pub fn into_scheduler_event(self, id: WorkerId, token: Term, now: Duration) -> Event {
        let update = match self {
            WorkerEvent::IncarnationEnded(silent_for) => {
                return Event::OtherIncarnationAnswered(id, now.saturating_sub(silent_for));
            }
            WorkerEvent::Restarted(started, silent_for) => {
                return Event::WorkerRestarted(id, started, now.saturating_sub(silent_for));
            }
            WorkerEvent::Reported(report) => WorkerUpdate::Reported(report),
            WorkerEvent::ReplyLate => WorkerUpdate::ProbeLate,
            WorkerEvent::Unanswered { lease_left, silent_for } => WorkerUpdate::Unanswered {
                lease_end: now + lease_left,
                heard: now.saturating_sub(silent_for),
            },
            WorkerEvent::AwaitsOrder => WorkerUpdate::AwaitsOrder,
            WorkerEvent::LeaseConfirmed(until) => WorkerUpdate::LeaseConfirmed(until),
            WorkerEvent::Fenced => WorkerUpdate::Deposed,
            WorkerEvent::Started { task, attempt, reply } => WorkerUpdate::Started(task, attempt, reply),
            WorkerEvent::Stopped { task, attempt, reply } => WorkerUpdate::Stopped(task, attempt, reply),
        };
        Event::WorkerUpdate(id, token, update)
    }
}
