//! Messages between the lease holder and the hosts that attend workers for it.
//!
//! The holder opens a connection with a [`RelayOpen`]; the relay answers with a
//! [`RelayReady`]. Then [`RelayOrders`] go one way and [`RelayUpdate`] the other. A worker
//! goes by a number that the holder gives it with each [`AssignWorker`] and never gives again
//! on the same connection.

/// Opens a connection to a relay.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayOpen {
    /// Term of the holder.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Counts the holder's connections to this relay.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Host of the holder.
    #[prost(string, tag = "3")]
    pub holder: String,
}

/// The relay takes orders.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayReady {}

/// What the holder wants done, in this order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayOrders {
    /// Answers a heartbeat, if it does.
    #[prost(message, optional, tag = "1")]
    pub grant: Option<LeaseGrant>,
    /// Orders.
    #[prost(message, repeated, tag = "2")]
    pub orders: Vec<RelayOrder>,
}

/// The right to extend leases of workers.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseGrant {
    /// The heartbeat that it answers.
    #[prost(uint64, tag = "1")]
    pub heartbeat: u64,
    /// How long from when that was sent, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub duration_ms: u32,
}

/// One order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayOrder {
    /// Number of the worker.
    #[prost(uint32, tag = "1")]
    pub worker: u32,
    /// What is to be done.
    #[prost(oneof = "Order", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub order: Option<Order>,
}

/// What is to be done with a worker.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Order {
    /// Attend it.
    #[prost(message, tag = "2")]
    Assign(AssignWorker),
    /// Attend it no longer.
    #[prost(message, tag = "3")]
    Unassign(Empty),
    /// Let it forget its ends up to this number: they are on record.
    #[prost(uint64, tag = "4")]
    AckEnds(u64),
    /// Tell figures of all that runs there with each look, or no longer.
    #[prost(bool, tag = "5")]
    ReportLoad(bool),
    /// Start a task.
    #[prost(message, tag = "6")]
    Start(StartTask),
    /// Stop a task.
    #[prost(message, tag = "7")]
    Stop(TaskRun),
    /// Let a task work at a share.
    #[prost(message, tag = "8")]
    Throttle(ThrottleTask),
}

/// A worker to attend.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AssignWorker {
    /// The name it goes by.
    #[prost(string, tag = "1")]
    pub name: String,
    /// IP address and port of its listener.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Token that its orders carry.
    #[prost(uint64, tag = "3")]
    pub token: u64,
    /// Where it stands; empty if the holder does not say.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// When this life of it has started, in milliseconds since 1970, where it tells.
    #[prost(uint64, optional, tag = "5")]
    pub started: Option<u64>,
}

/// Nothing to say.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Empty {}

/// A run of a task.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TaskRun {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Its round.
    #[prost(uint32, tag = "2")]
    pub round: u32,
    /// Its step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Number of the task within the step.
    #[prost(uint32, tag = "4")]
    pub index: u32,
    /// Number of the try.
    #[prost(uint32, tag = "5")]
    pub attempt: u32,
}

/// A task to start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StartTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Text that is passed to it; empty if it is that of the order before.
    #[prost(string, optional, tag = "2")]
    pub spec: Option<String>,
    /// Checkpoint to go on from; empty for none.
    #[prost(string, tag = "3")]
    pub checkpoint: String,
    /// Ticket of the adviser.
    #[prost(string, optional, tag = "4")]
    pub ticket: Option<String>,
}

/// A task whose pace changes.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ThrottleTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Share of its full pace.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
}

/// What a relay has to tell, in the order of its coming.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayUpdate {
    /// Number of the heartbeat that this is.
    #[prost(uint64, tag = "1")]
    pub heartbeat: u64,
    /// Whether the relay is about to stop.
    #[prost(bool, tag = "2")]
    pub stopping: bool,
    /// News of workers.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<WorkerUpdate>,
}

/// News of one worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkerUpdate {
    /// Number of the worker.
    #[prost(uint32, tag = "1")]
    pub worker: u32,
    /// How long ago it last answered, in milliseconds, where it answers no more.
    #[prost(uint64, optional, tag = "9")]
    pub silent_ms: Option<u64>,
    /// When it has started again under its name, in milliseconds since 1970, where its life is over
    /// by that.
    #[prost(uint64, optional, tag = "10")]
    pub restarted_at: Option<u64>,
    /// What is new.
    #[prost(oneof = "News", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub event: Option<News>,
}

/// What is new of a worker.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum News {
    /// It answered a look.
    #[prost(message, tag = "2")]
    Reported(StatusReport),
    /// Its answer to a look is late.
    #[prost(message, tag = "3")]
    ReplyLate(Empty),
    /// It did not answer; its lease lasts so many milliseconds at most if it is not
    /// extended.
    #[prost(uint32, tag = "4")]
    Unanswered(u32),
    /// Its address is answered by another life.
    #[prost(message, tag = "5")]
    IncarnationEnded(Empty),
    /// It knows a higher token.
    #[prost(message, tag = "6")]
    Fenced(Empty),
    /// The outcome of a start.
    #[prost(message, tag = "7")]
    Started(StartedTask),
    /// The outcome of a stop.
    #[prost(message, tag = "8")]
    Stopped(StoppedTask),
}

/// What a worker listed that is new.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReport {
    /// Whether it is all that runs.
    #[prost(bool, tag = "1")]
    pub complete: bool,
    /// Runs.
    #[prost(message, repeated, tag = "2")]
    pub running: Vec<RunningTask>,
    /// Runs that are over although no end is listed.
    #[prost(message, repeated, tag = "3")]
    pub vanished: Vec<TaskRun>,
    /// Ends.
    #[prost(message, repeated, tag = "4")]
    pub ended: Vec<EndedTask>,
}

/// A run that is listed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunningTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Latest checkpoint.
    #[prost(string, tag = "2")]
    pub checkpoint: String,
    /// Share of the work that is done.
    #[prost(uint32, tag = "3")]
    pub percent: u32,
    /// Figure of the last half second.
    #[prost(uint64, tag = "4")]
    pub load: u64,
    /// How long its progress has stood still, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub stalled_ms: u32,
}

/// An end that is listed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndedTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Number of the end.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// How it ended.
    #[prost(enumeration = "EndedHow", tag = "3")]
    pub reason: i32,
    /// Latest checkpoint.
    #[prost(string, tag = "4")]
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EndedHow {
    /// The task is done.
    Done = 0,
    /// It failed.
    Failed = 1,
    /// It was stopped.
    Stopped = 2,
    /// The lease lapsed.
    Lapsed = 3,
    /// Another member of its gang ended.
    Broken = 4,
    /// It waited in vain for the other members of its gang.
    Alone = 5,
}

/// The outcome of a start.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StartedTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// What came of it.
    #[prost(enumeration = "StartOutcome", tag = "2")]
    pub outcome: i32,
}

/// What came of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum StartOutcome {
    /// It runs, or ran.
    Taken = 0,
    /// Refused; the worker has done nothing.
    Refused = 1,
    /// Its ticket did not hold; the worker has done nothing.
    Ticket = 2,
    /// The worker is not well and has done nothing.
    Unwell = 3,
    /// Refused in the end, but an earlier try had no answer.
    Unsure = 4,
    /// No answer.
    NoAnswer = 5,
    /// Nothing was sent.
    NotSent = 6,
    /// The worker knows a higher token.
    Deposed = 7,
}

/// The outcome of a stop.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StoppedTask {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<TaskRun>,
    /// Whether the worker has taken it.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
}
