//! What running jobs needs of a platform: a keyed store, workers, hosts.
//!
//! [`JobPlatform`] is the edge. Its implementations decode what a platform
//! says into the types of the core; nothing else knows a platform's words.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use snafu::Snafu;
use workswood_core::ids::{DataCentre, HostId, Offset, ServiceId, Term, UnixMs};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    AdviceReply, Host, HostReply, Listing, SchedConfig, StepId, TaskId, Wave, WorkerAddress, WorkerInfo,
};

/// One of the streams that a topic is divided into.
pub type Partition = u16;

/// A stream of records in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Who holds the scheduler lease.
    Lease,
    /// Jobs and cancels, as entries accepted them; divided into parts.
    Inbox(Partition),
    /// State of the scheduler.
    State,
    /// What operators write.
    Operators,
    /// What workers say of themselves.
    Workers,
    /// What operators read.
    Status,
    /// Where the processes of the system reach each other.
    Peers,
}

/// A record: the newest of each key is kept for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: String,
    /// Its value; `None` drops the key.
    pub value: Option<Bytes>,
}

/// What must hold for an append to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Nothing.
    None,
    /// The stream must end there.
    EndsAt(Offset),
    /// No writer of a higher term may have been seen. Appends of one term are
    /// numbered; one that is sent again gets its first answer.
    Term(Term, u64),
}

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// Nothing was done; it may be tried again.
    #[snafu(display("the store refused for now: {text}"))]
    NotDone {
        /// What it said.
        text: String,
    },
    /// No answer; it may have been done, or may be done later.
    #[snafu(display("no answer from the store: {text}"))]
    Unknown {
        /// What went wrong.
        text: String,
    },
    /// The guard did not hold; nothing was done.
    #[snafu(display("another writer was first"))]
    GuardFailed,
    /// The records asked for are gone; the store keeps later ones.
    #[snafu(display("records are gone"))]
    RecordsGone,
}

/// The newest record of every key.
#[derive(Clone, Debug, Default)]
pub struct LatestRecords {
    /// The records; several pages that were read one after another.
    pub records: Vec<KeyedRecord>,
    /// Where to go on reading so that nothing is missed.
    pub next: Offset,
}

/// Records from some offset on.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Where to go on reading.
    pub next: Offset,
}

/// What an operator wrote.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// What is to be in force.
    Config(SchedConfig),
    /// A maintenance wave.
    Wave(Wave),
    /// A data centre is to be evacuated, or is taken back.
    Evacuation {
        /// Which.
        data_centre: DataCentre,
        /// Whether nothing may begin there from now on.
        evacuated: bool,
    },
}

/// Why a call to a worker had no effect that we know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker knows a higher token.
    Fenced,
    /// It refused: too late, too old, or no room.
    Refused,
    /// Its ticket was missing or had ended.
    Ticket,
    /// It is not well and has done nothing.
    Unwell,
    /// The address belongs to another life.
    OtherLife,
    /// The worker has started again under its name, at this time of day in milliseconds.
    Restarted(UnixMs),
    /// No connection was made; nothing was sent.
    NotSent,
    /// No answer.
    NoAnswer,
}

/// A worker's clock when it answered.
pub type WorkerClock = Duration;

/// A start of a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
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
    /// End of the worker's lease, on its clock.
    pub lease_end: WorkerClock,
    /// How long an answer is waited for.
    pub timeout: Duration,
}

/// What running jobs needs of a platform.
pub trait JobPlatform: Send + Sync + 'static {
    /// Appends records, all or none; returns where the first one stands.
    fn append(
        &self,
        topic: Topic,
        records: Vec<KeyedRecord>,
        guard: Guard,
    ) -> BoxFuture<'_, Result<Offset, StoreError>>;
    /// Reads the newest record of every key.
    fn latest(&self, topic: Topic) -> BoxFuture<'_, Result<LatestRecords, StoreError>>;
    /// Reads records from an offset on; waits for one for some time.
    fn tail(&self, topic: Topic, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Tail, StoreError>>;

    /// Reads what an operator wrote; `None` if it concerns nobody here.
    fn parse_operator_record(&self, rec: &KeyedRecord) -> Result<Option<OperatorRecord>, String>;
    /// Reads what a worker wrote.
    fn parse_worker_info(&self, rec: &KeyedRecord) -> Result<WorkerInfo, String>;
    /// What operators are told of a wave.
    fn wave_status_record(&self, number: u64, complete: bool) -> KeyedRecord;

    /// Looks at a worker: shows it our token, tells it which ends to forget,
    /// extends its lease if `lease_end` is given, and waits for an end.
    fn poll_worker<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        forget: u64,
        lease_end: Option<WorkerClock>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<(WorkerClock, Listing), WorkerError>>;
    /// Starts a task.
    fn start_task<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        order: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;
    /// Stops a task.
    fn stop_task<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        task: TaskId,
        attempt: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;
    /// Lets a task work at a share, in percent.
    fn throttle_task<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        task: TaskId,
        attempt: u32,
        percent: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;

    /// Asks the adviser which of these workers may run a step.
    fn advise<'a>(
        &'a self,
        step: StepId,
        workers: &'a [WorkerId],
        patience: Duration,
    ) -> BoxFuture<'a, AdviceReply>;

    /// Lists all hosts.
    fn list_hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>>;
    /// Maintains a host as part of a wave.
    fn maintain_host(&self, holder: &str, token: Term, host: HostId, wave: u64) -> BoxFuture<'_, HostReply>;
    /// Gives a host to another pool.
    fn move_host(&self, holder: &str, token: Term, host: HostId, pool: ServiceId)
    -> BoxFuture<'_, HostReply>;
}
