//! Messages between the lease holder and the relays, which are entries that poll and
//! command workers on its behalf.
//!
//! The holder opens a session with a [`RelayOpen`], and the relay replies with a
//! [`RelayReady`]. Then the holder sends [`RelayOrders`] and the relay sends
//! [`RelayUpdate`]s. Messages identify a worker by a number that the holder chooses with
//! each [`AssignWorker`] and does not reuse on the same connection.

/// Opens a session with a relay.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayOpen {
    /// Term of the scheduler lease.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Number of the session; later sessions of the same holder have higher numbers.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Name of the entry that holds the lease.
    #[prost(string, tag = "3")]
    pub holder: String,
}

/// Confirms that the relay accepts orders.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayReady {}

/// Orders of the lease holder, to be carried out in sequence.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayOrders {
    /// The reply to a heartbeat, if the message answers one.
    #[prost(message, optional, tag = "1")]
    pub grant: Option<LeaseGrant>,
    /// The orders.
    #[prost(message, repeated, tag = "2")]
    pub orders: Vec<RelayOrder>,
    /// Whether the holder gives up its lease: the relay stops to poll all workers and says so. Versions that do
    /// not read this do so when the connection ends.
    #[prost(bool, tag = "3")]
    pub end: bool,
}

/// Permission to extend the leases of workers for some time.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseGrant {
    /// Number of the heartbeat that it answers.
    #[prost(uint64, tag = "1")]
    pub heartbeat: u64,
    /// How long leases get their full length from the time when the heartbeat was sent, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub duration_ms: u32,
    /// How long it is valid after that, in milliseconds, for leases that end no later than one that is
    /// extended at the end of `duration_ms`. Versions that do not read this extend no lease then.
    #[prost(uint32, tag = "3")]
    pub shortened_ms: u32,
    /// Milliseconds since the holder's process started, when it granted this. Versions that do not send it don't read
    /// [`News::LeaseConfirmed`].
    #[prost(uint64, optional, tag = "4")]
    pub holder_ms: Option<u64>,
}

/// An order about one worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayOrder {
    /// Number of the worker.
    #[prost(uint32, tag = "1")]
    pub worker: u32,
    /// The order.
    #[prost(oneof = "Order", tags = "2, 3, 4, 5, 6, 7, 8, 10")]
    pub order: Option<Order>,
    /// With a stop: whether only the start of the task is to be dropped, if it has not been sent.
    /// Versions that do not read this stop the task.
    #[prost(bool, tag = "9")]
    pub unless_sent: bool,
}

/// What a relay has to do with a worker.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Order {
    /// Start to poll the worker.
    #[prost(message, tag = "2")]
    Assign(AssignWorker),
    /// Stop polling the worker.
    #[prost(message, tag = "3")]
    Unassign(Empty),
    /// Tell the worker that its task ends up to this number are recorded.
    #[prost(uint64, tag = "4")]
    AckEnds(u64),
    /// Whether to report the load of all running tasks after each poll.
    #[prost(bool, tag = "5")]
    ReportLoad(bool),
    /// Start a task.
    #[prost(message, tag = "6")]
    Start(StartTask),
    /// Stop a task.
    #[prost(message, tag = "7")]
    Stop(TaskRun),
    /// Limit the pace of a task.
    #[prost(message, tag = "8")]
    Throttle(ThrottleTask),
    /// Extend the worker's lease, if this many polls had no answer. Tag 9 is taken by `unless_sent`.
    #[prost(uint32, tag = "10")]
    ExtendLeases(u32),
}

/// A worker that the relay is to poll.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AssignWorker {
    /// Name of the worker.
    #[prost(string, tag = "1")]
    pub name: String,
    /// IP address and port of the worker.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Fencing token of the orders to the worker.
    #[prost(uint64, tag = "3")]
    pub token: u64,
    /// Data centre of the worker; empty if the holder does not send it.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Start time of this incarnation of the worker, in milliseconds since 1970, if known.
    #[prost(uint64, optional, tag = "5")]
    pub started: Option<u64>,
    /// Whether the relay extends the worker's lease only on order, from the start on.
    #[prost(bool, tag = "6")]
    pub waits: bool,
    /// Whether the relay does so after a poll without an answer only. Versions that do not read this need
    /// no orders, and never send [`News::AwaitsOrder`].
    #[prost(bool, tag = "7")]
    pub waits_after_silence: bool,
}

/// An empty message.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Empty {}

/// One attempt to run a task.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TaskRun {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// The round of the job.
    #[prost(uint32, tag = "2")]
    pub round: u32,
    /// The step of the job.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Index of the task within the step.
    #[prost(uint32, tag = "4")]
    pub index: u32,
    /// Number of the attempt.
    #[prost(uint32, tag = "5")]
    pub attempt: u32,
}

/// A task to start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StartTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Specification of the job, which is passed to the task; unset if it is that of the
    /// previous start in the same message.
    #[prost(string, optional, tag = "2")]
    pub spec: Option<String>,
    /// Checkpoint to resume from; empty for none.
    #[prost(string, tag = "3")]
    pub checkpoint: String,
    /// Ticket from the adviser.
    #[prost(string, optional, tag = "4")]
    pub ticket: Option<String>,
}

/// Limits the pace of a task.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ThrottleTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Allowed share of the full pace, in percent.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
}

/// A heartbeat of a relay, or events of workers, or both.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayUpdate {
    /// Number of the heartbeat; 0 if the message is not a heartbeat.
    #[prost(uint64, tag = "1")]
    pub heartbeat: u64,
    /// Whether the relay is shutting down.
    #[prost(bool, tag = "2")]
    pub stopping: bool,
    /// Events of workers, in the order in which they occurred.
    #[prost(message, repeated, tag = "3")]
    pub events: Vec<WorkerEvent>,
    /// Whether the relay has ended the session, and extends no lease any more.
    #[prost(bool, tag = "4")]
    pub ended: bool,
}

/// An event of one worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkerEvent {
    /// Number of the worker.
    #[prost(uint32, tag = "1")]
    pub worker: u32,
    /// How long ago the worker last answered, in milliseconds, if it no longer answers.
    #[prost(uint64, optional, tag = "9")]
    pub silent_ms: Option<u64>,
    /// Start time of the next incarnation, in milliseconds since 1970, if this one ended by a
    /// restart of the worker.
    #[prost(uint64, optional, tag = "10")]
    pub restarted_at: Option<u64>,
    /// The event.
    #[prost(oneof = "News", tags = "2, 3, 4, 5, 6, 7, 8, 11, 12")]
    pub event: Option<News>,
}

/// What has happened to a worker.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum News {
    /// It answered a poll.
    #[prost(message, tag = "2")]
    Reported(StatusReport),
    /// Its reply to a poll is late.
    #[prost(message, tag = "3")]
    ReplyLate(Empty),
    /// It did not answer a poll. Unless extended, its lease lasts at most this many
    /// milliseconds.
    #[prost(uint32, tag = "4")]
    Unanswered(u32),
    /// Another incarnation answers at its address.
    #[prost(message, tag = "5")]
    IncarnationEnded(Empty),
    /// It has seen a higher fencing token.
    #[prost(message, tag = "6")]
    Fenced(Empty),
    /// The outcome of a start order.
    #[prost(message, tag = "7")]
    Started(StartedTask),
    /// The outcome of a stop order.
    #[prost(message, tag = "8")]
    Stopped(StoppedTask),
    /// Its lease is not extended (again) before an order to extend it: after a poll without an answer, or
    /// from the start of the assignment. Tags 9 and 10 are taken by `silent_ms` and `restarted_at`.
    #[prost(message, tag = "11")]
    AwaitsOrder(Empty),
    /// It has confirmed a lease, which ends no earlier than this many milliseconds after the holder's process
    /// started. Told only to a holder that has sent [`LeaseGrant::holder_ms`].
    #[prost(uint64, tag = "12")]
    LeaseConfirmed(u64),
}

/// What has changed in the list of tasks that a worker reports.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReport {
    /// Whether `running` lists all running tasks.
    #[prost(bool, tag = "1")]
    pub complete: bool,
    /// Running tasks.
    #[prost(message, repeated, tag = "2")]
    pub running: Vec<RunningTask>,
    /// Tasks that no longer run although the worker lists no end of them.
    #[prost(message, repeated, tag = "3")]
    pub vanished: Vec<TaskRun>,
    /// Tasks that have ended.
    #[prost(message, repeated, tag = "4")]
    pub ended: Vec<EndedTask>,
}

/// A running task, as the worker lists it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunningTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Latest checkpoint.
    #[prost(string, tag = "2")]
    pub checkpoint: String,
    /// Share of the work that is done, in percent.
    #[prost(uint32, tag = "3")]
    pub percent: u32,
    /// Load figure of the worker for the last half second: the latency of slow replies in
    /// milliseconds for a task that serves users; the processor use, in a unit that the worker
    /// chooses, for others.
    #[prost(uint64, tag = "4")]
    pub load: u64,
    /// How long it has made no progress, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub stalled_ms: u32,
}

/// A task that has ended, as the worker lists it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndedTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Number that the worker gave this end; later ends have higher numbers.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Why it ended.
    #[prost(enumeration = "EndedHow", tag = "3")]
    pub reason: i32,
    /// Latest checkpoint.
    #[prost(string, tag = "4")]
    pub checkpoint: String,
}

/// Why a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EndedHow {
    /// The task completed its work.
    Done = 0,
    /// The task failed.
    Failed = 1,
    /// The task was stopped by an order.
    Stopped = 2,
    /// The lease of the worker expired.
    Lapsed = 3,
    /// Another of the tasks that must run together (its gang) ended.
    Broken = 4,
    /// The other tasks of its gang did not start in time.
    Alone = 5,
}

/// The outcome of a start order.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StartedTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Whether the task was started.
    #[prost(enumeration = "StartOutcome", tag = "2")]
    pub outcome: i32,
}

/// Whether a task was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum StartOutcome {
    /// The task runs, or has run.
    Taken = 0,
    /// The worker refused the order and did nothing.
    Refused = 1,
    /// The ticket was not valid; the worker did nothing.
    Ticket = 2,
    /// The worker is unhealthy or overloaded and did nothing.
    Unwell = 3,
    /// The worker refused the last attempt, but an earlier one had no reply and may have
    /// started the task.
    Unsure = 4,
    /// No reply came.
    NoAnswer = 5,
    /// Nothing was sent.
    NotSent = 6,
    /// The worker has seen a higher fencing token.
    Deposed = 7,
}

/// The outcome of a stop order.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StoppedTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Whether the worker accepted the order.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
}
