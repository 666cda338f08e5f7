//! What goes into the scheduler and what comes out of it.
//!
//! [`Event`]s go in. What comes out is a [`Batch`]: [`Record`]s to be stored
//! first, and [`Action`]s that follow once they are.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::config::SchedConfig;
use super::host::{Host, HostReply};
use super::job::{JobRecord, Shown, WorkerId};
use super::maintenance_waves::{Wave, WaveRecord};
use super::spec::{JobKey, JobSpec, QueueId, StepId, TaskId};
use super::worker::{Report, WorkerInfo, WorkerRecord};
use super::workspace::Owner;
use crate::ids::{DataCentre, HostId, ServiceId, Term, UnixMs};

/// Bounds of the platform that the scheduler works with, and its own limits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Length of a worker's lease, counted from when it was sent.
    pub lease: Duration,
    /// Longest lease that a worker takes, whatever it is told.
    pub max_lease: Duration,
    /// How long a scheduler that can't renew its own lease goes on extending
    /// workers' leases.
    pub grace: Duration,
    /// Share by which a worker's clock may run slow.
    pub clock_drift: f64,
    /// A new holder waits this long before its first order to a host.
    pub host_order_delay: Duration,
    /// Orders to hosts a second that the platform takes; it turns others away.
    pub host_orders_per_s: f64,
    /// How long ended jobs are kept for questions.
    pub ended_job_retention: Duration,
    /// How far ahead of its due time a round may be opened.
    pub round_lead_time: Duration,
}

/// The longest real time that a lease may last on a worker whose clock runs slow by a
/// share, `drift`.
pub fn lease_with_drift(lease: Duration, drift: f64) -> Duration {
    lease.mul_f64(1.0 / (1.0 - drift)) + LEASE_SLACK
}

/// Added to the end of every lease, for rounding and queues on the way.
pub const LEASE_SLACK: Duration = Duration::from_millis(300);

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller handed a job in, and it is on record.
    Submitted(JobKey, Arc<JobSpec>),
    /// A caller cancelled a job, and that is on record; with whose key.
    Cancelled(JobKey, Owner),
    /// What is in force changed.
    ConfigChanged(Arc<SchedConfig>),
    /// Data centres that are being evacuated, all of them.
    Evacuated(BTreeSet<DataCentre>),
    /// The list shows a worker, new or changed.
    WorkerListed(WorkerInfo),
    /// The list no longer shows a worker.
    WorkerUnlisted(WorkerId),
    /// What the relay of a worker tells of it, which attends it with this token.
    WorkerUpdate(WorkerId, Term, WorkerUpdate),
    /// A worker's address is answered by another life: this one is over. When it last
    /// answered, on the scheduler's clock.
    LifeOver(WorkerId, Duration),
    /// A worker has started again under its name, at this time of day: the life that is named is
    /// over. When that last answered, on the scheduler's clock.
    WorkerRestarted(WorkerId, UnixMs, Duration),
    /// The outcome of a call to the adviser.
    AdviceReceived(AdviceResult),
    /// The list of hosts, and when it was asked for.
    HostsListed(Vec<Host>, Duration),
    /// An operator asks for maintenance, or a predecessor's progress with it.
    WaveRequested(Wave, Option<WaveRecord>),
    /// The outcome of an order to a host.
    HostOrderAnswered(HostId, HostReply),
    /// A relay takes orders.
    RelayUp(HostId),
    /// A relay was heard of.
    RelayHeard(HostId),
    /// A relay is about to stop.
    RelayLeaving(HostId),
    /// A relay is lost or could not be reached; leases that it extended end as told.
    /// Whether its connection broke, so that it may be reached again at once.
    RelayDown(HostId, Duration, bool),
    /// The inbox was read to its end at this time.
    InboxRead(Duration),
    /// Time passed.
    Tick,
}

/// What is new of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerUpdate {
    /// It answered a look.
    Reported(Report),
    /// The answer to a look is late.
    ProbeLate,
    /// It did not answer. Times are on the scheduler's clock.
    Unanswered {
        /// When its lease ends if it is not extended.
        lease_end: Duration,
        /// When it last answered.
        heard: Duration,
    },
    /// It knows a higher token.
    Fenced,
    /// The outcome of a start.
    Started(TaskId, u32, StartReply),
    /// The outcome of a stop.
    Stopped(TaskId, u32, StopReply),
}

/// What came of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// It runs, or ran.
    Taken,
    /// The worker refused every try, and has done nothing.
    Refused,
    /// Its ticket did not hold, and the worker has done nothing.
    Ticket,
    /// The worker is not well and has done nothing.
    Unwell,
    /// It refused the last try, but an earlier one had no answer.
    Unsure,
    /// No try was answered.
    NoAnswer,
    /// Nothing was sent.
    NotSent,
    /// The worker knows a higher token.
    Deposed,
}

impl StartReply {
    /// Whether the worker answered the last try.
    pub fn is_answer(self) -> bool {
        match self {
            StartReply::Taken
            | StartReply::Refused
            | StartReply::Ticket
            | StartReply::Unwell
            | StartReply::Unsure
            | StartReply::Deposed => true,
            StartReply::NoAnswer | StartReply::NotSent => false,
        }
    }
}

/// A call to the adviser, and what came of it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceResult {
    /// Which entry called; 0 is this one.
    pub channel: usize,
    /// The step that it was about.
    pub step: StepId,
    /// The workers that it named.
    pub workers: Vec<WorkerId>,
    /// What came of it.
    pub reply: AdviceReply,
}

/// What came of a call to the adviser.
#[derive(Clone, Debug, PartialEq)]
pub enum AdviceReply {
    /// It answered.
    Answered(Advice),
    /// It has too many calls waiting and has not taken this one.
    Busy,
    /// It refused the call, or its answer can't be read.
    Refused,
    /// No answer; it may be at work on it.
    NoAnswer,
    /// Nothing was sent.
    NotSent,
}

/// What the adviser answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Workers that may run the step, each with its ticket.
    pub tickets: Vec<(WorkerId, Arc<str>)>,
    /// How long the tickets hold, if it says so.
    pub valid_for: Option<Duration>,
}

/// What came of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The worker has taken it.
    Taken,
    /// No answer, or a refusal without effect.
    NoAnswer,
    /// The worker knows a higher token.
    Deposed,
}

/// What is to be done once the records of the batch are stored.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an entry a relay.
    OpenRelay(HostId),
    /// An entry is a relay no longer.
    CloseRelay(HostId),
    /// Have a relay attend a worker from now on.
    Watch {
        /// The relay.
        relay: HostId,
        /// The worker.
        info: WorkerInfo,
        /// Token that its orders carry.
        token: Term,
    },
    /// Have a worker attended no longer.
    Unwatch(WorkerId),
    /// Have the figures of all that runs on a worker told with each look, or no longer.
    ReportFigures(WorkerId, bool),
    /// Start a task.
    Start {
        /// Where.
        worker: WorkerId,
        /// Token of its relay when that was decided; with another one, the start is
        /// not sent.
        token: Term,
        /// Which.
        task: TaskId,
        /// Number of the try.
        attempt: u32,
        /// Text of the job.
        text: Arc<str>,
        /// Checkpoint to go on from; empty for none.
        checkpoint: String,
        /// Ticket of the adviser, where one is needed.
        ticket: Option<Arc<str>>,
    },
    /// Ask the adviser which of these workers may run a step.
    Advise {
        /// Which entry calls; 0 is this one.
        channel: usize,
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<WorkerId>,
        /// How long the answer is waited for.
        timeout: Duration,
    },
    /// Stop a task.
    Stop(WorkerId, TaskId, u32),
    /// Let a task work at a share, in percent.
    Pace(WorkerId, TaskId, u32, u32),
    /// Maintain a host as part of a wave.
    MaintainHost(HostId, u64),
    /// Give a host to another pool.
    MoveHost(HostId, ServiceId),
}

/// A record of the scheduler's state.
#[derive(Clone, Debug)]
pub enum Record {
    /// The state of a job.
    Job(JobKey, JobRecord),
    /// A job is forgotten.
    DropJob(JobKey),
    /// Progress of a wave.
    Wave(u64, WaveRecord),
    /// A life of a worker.
    Worker(WorkerId, WorkerRecord),
    /// A life of a worker is forgotten.
    DropWorker(WorkerId),
    /// Name of the holder that has given a host an order lately, or is about
    /// to; `None` if none has.
    HostOrderMark(HostId, Option<String>),
}

/// What the caller-facing part may tell once a batch is stored.
#[derive(Clone, Debug)]
pub struct JobStatusUpdate {
    /// The job.
    pub key: JobKey,
    /// Its queue.
    pub queue: QueueId,
    /// Whose it is.
    pub owner: Owner,
    /// Its state; `None` when it is forgotten.
    pub state: Option<Shown>,
    /// Whether its rounds have times of their own.
    pub timed: bool,
}

/// Records to store, and what follows once they are stored.
#[derive(Debug, Default)]
pub struct Batch {
    /// Records, to be stored all or none.
    pub records: Vec<Record>,
    /// Actions that wait for the records.
    pub actions: Vec<Action>,
    /// Highest end that each worker may forget.
    pub acked_ends: Vec<(WorkerId, u64)>,
    /// What callers may be told.
    pub status_updates: Vec<JobStatusUpdate>,
    /// Jobs that are over with these records: the inbox need not hold them any more.
    pub finished_jobs: Vec<JobKey>,
    /// Waves whose status is to be published, with whether they are complete.
    pub waves: Vec<(u64, bool)>,
    /// Everything that was in the inbox at this time is shown with this batch.
    pub inbox_read_at: Duration,
}
