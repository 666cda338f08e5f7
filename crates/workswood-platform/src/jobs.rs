//! What running jobs needs of a platform: a keyed store, workers, hosts and the adviser.
//!
//! Implementations of [`JobPlatform`] translate between the protocol of a platform and the
//! types of `workswood_core`; nothing else depends on the protocol.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use snafu::Snafu;
use workswood_core::ids::{DataCentre, HostId, Offset, ServiceId, Term, UnixMs};
pub use workswood_core::jobs::WorkerClock;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    AdviceReply, Host, HostReply, Listing, SchedConfig, StepId, TaskId, Wave, WorkerAddress, WorkerInfo,
};
pub use workswood_http::CopyOutcome;

/// Number of a partition of a topic.
pub type Partition = u16;

/// A topic of records in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The scheduler lease.
    Lease,
    /// Jobs and cancellations, as entries accepted them; divided into partitions.
    Inbox(Partition),
    /// The state of the scheduler.
    State,
    /// Records that operators write: the configuration, waves and evacuations.
    Operators,
    /// Registrations of workers.
    Workers,
    /// Status records for operators.
    Status,
    /// Addresses of the peer listeners of entries.
    Peers,
}

/// A record with a key. The store keeps the latest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// The precondition of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// No precondition.
    None,
    /// The topic must end at this offset.
    EndsAt(Offset),
    /// No append of a higher term may have been seen. The second value numbers the appends
    /// of the term; an append that is sent again gets the response to the first request.
    Term(Term, u64),
}

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// Nothing was done; the call may be retried.
    #[snafu(display("the store refused the call for now: {text}"))]
    NotDone {
        /// The reason that the store gave.
        text: String,
    },
    /// The store does not take the call, however often it is made: nothing was done, and nothing will be.
    #[snafu(display("the store refused the call for good: {text}"))]
    Rejected {
        /// The reason that the store gave.
        text: String,
    },
    /// No response came; the call may have been carried out, or may be carried out later.
    #[snafu(display("no response from the store: {text}"))]
    Unknown {
        /// What went wrong.
        text: String,
    },
    /// The precondition did not hold, since another writer was first; this copy of the call did nothing.
    #[snafu(display("another writer has appended to the store before"))]
    GuardFailed,
    /// The store no longer keeps the requested records; it keeps later ones.
    #[snafu(display("the store no longer keeps the requested records"))]
    RecordsGone,
}

impl StoreError {
    /// What is known of the change that the call asked for, over all copies of the call.
    pub fn outcome(&self) -> CopyOutcome {
        match self {
            StoreError::NotDone { .. }
            | StoreError::Rejected { .. }
            | StoreError::GuardFailed
            | StoreError::RecordsGone => CopyOutcome::NotDone,
            StoreError::Unknown { .. } => CopyOutcome::Unknown,
        }
    }
}

/// The latest record of every key of a topic.
#[derive(Clone, Debug, Default)]
pub struct LatestRecords {
    /// The records. They are read page by page and are no consistent snapshot.
    pub records: Vec<KeyedRecord>,
    /// Offset from which to continue reading so that no change is missed.
    pub next: Offset,
}

/// Records of a topic from some offset on.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Offset from which to continue reading.
    pub next: Offset,
}

/// A record that an operator wrote.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// The configuration that is to be in force.
    Config(SchedConfig),
    /// A maintenance wave.
    Wave(Wave),
    /// A data centre is evacuated, or put back into use.
    Evacuation {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether the data centre is evacuated, so that no task may start there.
        evacuated: bool,
    },
}

/// Why a call to a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker refused the order: it was too late or outdated, or there was no room.
    Refused,
    /// The ticket was missing or had expired.
    Ticket,
    /// The worker is unhealthy or overloaded and did nothing.
    Unwell,
    /// Another worker, or another incarnation of the worker, answers at the address.
    OtherLife,
    /// The worker has restarted under the same name, at this time.
    Restarted(UnixMs),
    /// No connection was made; nothing was sent.
    NotSent,
    /// No response came; the call may have been carried out.
    NoAnswer,
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
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
    /// End of the worker's lease, on the clock of the worker.
    pub lease_end: WorkerClock,
    /// Longest wait for the response.
    pub timeout: Duration,
}

/// What running jobs needs of a platform.
pub trait JobPlatform: Send + Sync + 'static {
    /// Appends all records or none; returns the offset of the first one.
    fn append(
        &self,
        topic: Topic,
        records: Vec<KeyedRecord>,
        guard: Guard,
    ) -> BoxFuture<'_, Result<Offset, StoreError>>;
    /// Reads the latest record of every key.
    fn latest(&self, topic: Topic) -> BoxFuture<'_, Result<LatestRecords, StoreError>>;
    /// Reads records from an offset on; waits up to `wait` for the first one.
    fn tail(&self, topic: Topic, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Tail, StoreError>>;

    /// Parses a record that an operator wrote; `None` if it does not concern this program.
    fn parse_operator_record(&self, rec: &KeyedRecord) -> Result<Option<OperatorRecord>, String>;
    /// Parses the registration of a worker.
    fn parse_worker_info(&self, rec: &KeyedRecord) -> Result<WorkerInfo, String>;
    /// Builds the status record of a wave for operators.
    fn wave_status_record(&self, number: u64, complete: bool) -> KeyedRecord;

    /// Polls a worker: presents the fencing token, acknowledges the ended tasks numbered up
    /// to `acked_end`, extends the lease if `lease_end` is given, and waits up to `wait` for
    /// a task to end.
    fn poll_worker<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        acked_end: u64,
        lease_end: Option<WorkerClock>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Listing, WorkerError>>;
    /// Starts a task on a worker.
    fn start_task<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        order: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;
    /// Stops a task on a worker.
    fn stop_task<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        task: TaskId,
        attempt: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>>;
    /// Limits the pace of a task to a percentage of its full pace.
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
        timeout: Duration,
    ) -> BoxFuture<'a, AdviceReply>;

    /// Lists all hosts.
    fn list_hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>>;
    /// Orders the maintenance of a host as part of a wave.
    fn maintain_host(&self, holder: &str, token: Term, host: HostId, wave: u64) -> BoxFuture<'_, HostReply>;
    /// Moves a host to another pool.
    fn move_host(&self, holder: &str, token: Term, host: HostId, pool: ServiceId)
    -> BoxFuture<'_, HostReply>;
}
