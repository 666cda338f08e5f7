//! The messages between entries, as `prost` types.

use workswood_traffic::Purpose;

use crate::bridge::{BridgeOpen, BridgedCall, BridgedReply};
use crate::relay::{RelayOpen, RelayOrders, RelayReady, RelayUpdate};

/// A message with the number of the call that it belongs to.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number of the call, the same in the request and its reply; 0 for a message without a
    /// reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The message.
    #[prost(
        oneof = "Msg",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, \
                28, 29, 30, 31, 32, 33, 34, 35, 36, 37"
    )]
    pub msg: Option<Msg>,
}

/// Any message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Msg {
    /// Opens a connection and authenticates the sender.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// A heartbeat of an entry.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// Reports that the log has grown.
    #[prost(message, tag = "4")]
    LogGrown(LogGrown),
    /// Asks to borrow idle slots of a service.
    #[prost(message, tag = "5")]
    SlotRequest(SlotRequest),
    /// Lends slots; the list may be empty.
    #[prost(message, tag = "6")]
    SlotReply(SlotReply),
    /// Reports which loans the borrower keeps and which it returns.
    #[prost(message, tag = "7")]
    SlotLoanUpdate(SlotLoanUpdate),
    /// Asks for the state folded from the log.
    #[prost(message, tag = "8")]
    StateRequest(StateRequest),
    /// The state folded from the log.
    #[prost(message, tag = "9")]
    StateReply(StateReply),
    /// Asks whether the key of a request is known.
    #[prost(message, tag = "10")]
    KeyRequest(KeyRequest),
    /// Whether the key of a request is known.
    #[prost(message, tag = "11")]
    KeyReply(KeyReply),
    /// Reports which endpoints accept no new requests.
    #[prost(message, tag = "12")]
    LeavingEndpoints(LeavingEndpoints),
    /// An empty message that acknowledges a request.
    #[prost(message, tag = "13")]
    Ack(Ack),
    /// Asks for the state of a job.
    #[prost(message, tag = "14")]
    JobStateRequest(JobStateRequest),
    /// The state of a job.
    #[prost(message, tag = "15")]
    JobStateReply(JobStateReply),
    /// Asks how many jobs of a queue have not started.
    #[prost(message, tag = "16")]
    PendingJobsRequest(PendingJobsRequest),
    /// How many jobs of a queue have not started.
    #[prost(message, tag = "17")]
    PendingJobsReply(PendingJobsReply),
    /// Asks an entry to append records to the inbox in the store.
    #[prost(message, tag = "18")]
    InboxAppendRequest(InboxAppendRequest),
    /// Whether each of the records was appended.
    #[prost(message, tag = "19")]
    InboxAppendReply(InboxAppendReply),
    /// Asks an entry to release the scheduler lease on behalf of its holder, because the store
    /// refuses to serve that one.
    #[prost(message, tag = "20")]
    LeaseReleaseRequest(LeaseReleaseRequest),
    /// Checks whether the connection still works.
    #[prost(message, tag = "21")]
    Ping(Ping),
    /// The reply to a ping.
    #[prost(message, tag = "22")]
    Pong(Pong),
    /// Asks an entry to call the adviser.
    #[prost(message, tag = "23")]
    AdviceRequest(AdviceRequest),
    /// The result of a call to the adviser.
    #[prost(message, tag = "24")]
    AdviceReply(AdviceReply),
    /// Opens a session with a relay.
    #[prost(message, tag = "25")]
    RelayOpen(RelayOpen),
    /// Confirms that the relay accepts orders.
    #[prost(message, tag = "26")]
    RelayReady(RelayReady),
    /// Orders of the lease holder to a relay.
    #[prost(message, tag = "27")]
    RelayOrders(RelayOrders),
    /// Heartbeats and worker events from a relay.
    #[prost(message, tag = "28")]
    RelayUpdate(RelayUpdate),
    /// Asks for a newer configuration.
    #[prost(message, tag = "29")]
    ConfigRequest(ConfigRequest),
    /// The newest configuration that the entry knows.
    #[prost(message, tag = "30")]
    ConfigReply(ConfigReply),
    /// Asks an entry to call the store for the lease holder.
    #[prost(message, tag = "31")]
    StoreCallRequest(StoreCallRequest),
    /// The outcome of a call to the store.
    #[prost(message, tag = "32")]
    StoreCallReply(StoreCallReply),
    /// Asks an entry to connect the sender to another one.
    #[prost(message, tag = "33")]
    BridgeOpen(BridgeOpen),
    /// Asks an entry to call another one.
    #[prost(message, tag = "34")]
    BridgedCall(BridgedCall),
    /// The reply to a call through a bridge.
    #[prost(message, tag = "35")]
    BridgedReply(BridgedReply),
    /// Asks whether a job can be done in time.
    #[prost(message, tag = "36")]
    AdmissionRequest(AdmissionRequest),
    /// Whether a job can be done in time.
    #[prost(message, tag = "37")]
    AdmissionReply(AdmissionReply),
}

/// Asks an entry to call the store for the lease holder, because the store refuses to serve that one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreCallRequest {
    /// The topic.
    #[prost(enumeration = "StoreTopic", tag = "1")]
    pub topic: i32,
    /// The partition of the topic.
    #[prost(uint32, tag = "2")]
    pub partition: u32,
    /// What to do.
    #[prost(oneof = "StoreOperation", tags = "3, 4, 5, 6")]
    pub operation: Option<StoreOperation>,
}

/// What an entry does in the store for the lease holder.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum StoreOperation {
    /// Appends records, guarded by the holder's term.
    #[prost(message, tag = "3")]
    Append(GuardedAppend),
    /// Reads records from an offset on.
    #[prost(message, tag = "4")]
    Read(TopicRead),
    /// Reads the latest record of every key.
    #[prost(message, tag = "5")]
    Latest(Latest),
    /// Deletes keys.
    #[prost(message, tag = "6")]
    Delete(Deletion),
}

/// A deletion of keys, which may be repeated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Deletion {
    /// The keys.
    #[prost(string, repeated, tag = "1")]
    pub keys: Vec<String>,
}

/// An append that the store refuses once it has seen a higher term.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GuardedAppend {
    /// The records; may be empty.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<StoreRecord>,
    /// The term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Number of the append within the term.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// A read of a topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TopicRead {
    /// Offset of the first record.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// How long to wait for a record, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
}

/// A read of the latest record of every key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Latest {}

/// A record of the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreRecord {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value; unset if the record deletes the key.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<bytes::Bytes>,
}

/// The outcome of a call to the store for the lease holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreCallReply {
    /// What became of the call.
    #[prost(enumeration = "StoreOutcome", tag = "1")]
    pub outcome: i32,
    /// Offset of the first appended record, or to continue reading from.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The records that were read.
    #[prost(message, repeated, tag = "3")]
    pub records: Vec<StoreRecord>,
}

/// What became of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum StoreOutcome {
    /// It may have been carried out, or may be later.
    Unknown = 0,
    /// It was carried out.
    Done = 1,
    /// It was not carried out, and will not be.
    NotDone = 2,
    /// Another writer has appended before; nothing was done.
    GuardFailed = 3,
    /// The store no longer keeps the records.
    RecordsGone = 4,
    /// The store does not take the call, however often it is made. Earlier versions read it as `Unknown`.
    Rejected = 5,
}

/// A topic of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum StoreTopic {
    /// Not a known topic.
    None = 0,
    /// The scheduler lease.
    Lease = 1,
    /// Jobs and cancellations.
    Inbox = 2,
    /// The state of the scheduler.
    State = 3,
    /// Records of operators.
    Operators = 4,
    /// Registrations of workers.
    Workers = 5,
}

/// Asks the lease holder whether a job that is submitted can be done in time.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdmissionRequest {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// Number of its owner; 0 for none.
    #[prost(fixed64, tag = "2")]
    pub owner: u64,
    /// The queue.
    #[prost(string, tag = "3")]
    pub queue: String,
    /// What its steps take.
    #[prost(message, repeated, tag = "4")]
    pub steps: Vec<StepDemand>,
    /// Number of the queue's tag; 0 if it is not known.
    #[prost(fixed64, tag = "5")]
    pub queue_tag: u64,
}

/// What a step of a submitted job takes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepDemand {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// Processor capacity that each task requests, in thousandths of a core.
    #[prost(uint64, tag = "2")]
    pub cpu_millis: u64,
    /// The caller's estimate of how long a task takes, in milliseconds; 0 for none.
    #[prost(uint64, tag = "3")]
    pub estimate_ms: u64,
    /// Numbers of the steps that must be done before.
    #[prost(uint32, repeated, tag = "4")]
    pub depends_on: Vec<u32>,
}

/// The reply to an [`AdmissionRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdmissionReply {
    /// Whether the job is admitted.
    #[prost(enumeration = "AdmissionOutcome", tag = "1")]
    pub outcome: i32,
    /// How long ago the job was first submitted, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// After what time the caller of a refused job should come back, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// The expected wait for which a job is refused, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
}

/// Whether a submitted job is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum AdmissionOutcome {
    /// The answering entry can't tell, or already knows the job.
    NotWeighed = 0,
    /// It is admitted.
    Admitted = 1,
    /// It can't be done in time.
    Refused = 2,
}

/// Asks an entry to call the adviser for the lease holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdviceRequest {
    /// The job that the step belongs to.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// The round of the job.
    #[prost(uint32, tag = "2")]
    pub round: u32,
    /// The number of the step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// The workers to ask the adviser about.
    #[prost(string, repeated, tag = "4")]
    pub workers: Vec<String>,
    /// Longest wait for the adviser's reply, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub timeout_ms: u32,
}

/// The result of a call to the adviser.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdviceReply {
    /// Whether the adviser replied.
    #[prost(enumeration = "AdviceOutcome", tag = "1")]
    pub outcome: i32,
    /// Workers that may run the step, with their tickets.
    #[prost(message, repeated, tag = "2")]
    pub suitable: Vec<AdviceTicket>,
    /// How long the tickets are valid, in milliseconds, if the adviser says so.
    #[prost(uint64, optional, tag = "3")]
    pub valid_ms: Option<u64>,
}

/// A worker that may run a step, with its ticket.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdviceTicket {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The ticket that the worker requires to start a task of the step.
    #[prost(string, tag = "2")]
    pub ticket: String,
}

/// The outcome of a call to the adviser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum AdviceOutcome {
    /// No reply came; the adviser may still be processing the call.
    NoAnswer = 0,
    /// The adviser replied.
    Answered = 1,
    /// The adviser has too many calls waiting.
    Busy = 2,
    /// The adviser refused the call, or its reply can't be decoded.
    Refused = 3,
    /// Nothing was sent.
    NotSent = 4,
}

/// Asks an entry to append records to the inbox in the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InboxAppendRequest {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<InboxRecord>,
    /// How long the requesting entry waits for the reply, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub timeout_ms: u32,
}

/// A record to be appended to the inbox.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InboxRecord {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Whether records were appended to the inbox.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InboxAppendReply {
    /// The outcomes of the records, in the order of the request.
    #[prost(enumeration = "HandInOutcome", repeated, tag = "1")]
    pub outcomes: Vec<i32>,
}

/// The outcome of an append to the inbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum HandInOutcome {
    /// The record may have been stored, or may be stored later.
    Unknown = 0,
    /// The record is stored.
    Stored = 1,
    /// The record is not stored, and will not be.
    NotStored = 2,
}

/// Asks an entry to release the scheduler lease for its holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseReleaseRequest {
    /// The lease record that marks the lease as released.
    #[prost(bytes = "bytes", tag = "1")]
    pub record: bytes::Bytes,
}

/// Asks for a newer configuration. An entry that the store refuses to serve learns the changes
/// of operators this way.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    /// Version that is in force at the requesting entry; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The newest configuration that an entry knows, and what else operators have set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigReply {
    /// The configuration as operators wrote it; empty if it is not newer.
    #[prost(bytes = "bytes", tag = "1")]
    pub record: bytes::Bytes,
    /// The evacuated data centres; unset if the entry has not read them, or if its version
    /// does not support the field.
    #[prost(message, optional, tag = "2")]
    pub evacuated: Option<EvacuatedDataCentres>,
    /// The holder of the scheduler lease, if the entry knows it.
    #[prost(message, optional, tag = "3")]
    pub holder: Option<LeaseHolder>,
}

/// The holder of the scheduler lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseHolder {
    /// Its incarnation.
    #[prost(string, tag = "1")]
    pub incarnation: String,
    /// Address of its peer listener.
    #[prost(string, tag = "2")]
    pub peer_address: String,
    /// The term of the lease.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Whether it tells jobs of several queues apart. Earlier versions don't.
    #[prost(bool, tag = "4")]
    pub knows_queues: bool,
}

/// Data centres that operators have evacuated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvacuatedDataCentres {
    /// The names of all evacuated data centres.
    #[prost(string, repeated, tag = "1")]
    pub data_centres: Vec<String>,
    /// How long ago the list was read from the store, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Asks for the state of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobStateRequest {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// Number of the owner whose key the caller presented; 0 for none. Unset by entries whose
    /// version does not support the field.
    #[prost(fixed64, optional, tag = "2")]
    pub owner: Option<u64>,
    /// Number of the queue's tag; 0 if it is not known, as earlier versions ask.
    #[prost(fixed64, tag = "3")]
    pub queue_tag: u64,
    /// Without an owner: only jobs of this service are meant. Empty for all, as earlier versions ask.
    #[prost(string, tag = "4")]
    pub service: String,
}

/// The reply to a [`JobStateRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobStateReply {
    /// Whether the answering entry holds the scheduler lease and is up to date.
    #[prost(bool, tag = "1")]
    pub authoritative: bool,
    /// The state; unset if no such job is known.
    #[prost(enumeration = "JobState", optional, tag = "2")]
    pub state: Option<i32>,
    /// An authoritative reply covers everything that was in the inbox this long before, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub inbox_age_ms: Option<u64>,
    /// What is known of hand-ins of the owner's job to the answering entry; unset if there were none.
    #[prost(enumeration = "HandInOutcome", optional, tag = "4")]
    pub handed_in: Option<i32>,
}

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum JobState {
    /// No task has started.
    Queued = 0,
    /// At least one task has started.
    Running = 1,
    /// All tasks are done.
    Completed = 2,
    /// A task has failed too often.
    Failed = 3,
    /// The caller has cancelled the job.
    Canceled = 4,
}

/// Asks how many jobs of a queue have not started.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PendingJobsRequest {
    /// Name of the queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Number of the queue's tag; 0 if an entry of an earlier version asks.
    #[prost(fixed64, tag = "2")]
    pub queue_tag: u64,
}

/// The reply to a [`PendingJobsRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PendingJobsReply {
    /// Whether the answering entry holds the scheduler lease and is up to date.
    #[prost(bool, tag = "1")]
    pub authoritative: bool,
    /// Number of jobs that have not started.
    #[prost(uint64, tag = "2")]
    pub pending: u64,
}

/// Checks whether a connection works. It is answered at once, ahead of other requests in
/// progress. An entry whose version does not support pings closes the connection, and the
/// sender reconnects.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {}

/// The reply to a [`Ping`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {}

/// Opens a connection and authenticates the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Version of the protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The token that all entries share.
    #[prost(string, tag = "2")]
    pub token: String,
    /// Incarnation of the connecting entry.
    #[prost(string, tag = "3")]
    pub incarnation: String,
}

/// The state of an entry, as a heartbeat reports it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryState {
    /// Address of its peer listener.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its incarnation.
    #[prost(string, tag = "2")]
    pub incarnation: String,
    /// The data centre that it runs in.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Sequence number of the heartbeat of that entry.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Offset of the next log record that it folds into its state.
    #[prost(uint64, tag = "5")]
    pub next_offset: u64,
    /// Whether it is shutting down and its callers' requests have ended.
    #[prost(bool, tag = "6")]
    pub stopping: bool,
}

/// A heartbeat, with what the sender knows of some other entries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The state of the sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<EntryState>,
    /// The states of some other entries, as the sender knows them.
    #[prost(message, repeated, tag = "2")]
    pub others: Vec<EntryState>,
    /// Requests that the sender has in flight to instances on hosts out of service.
    #[prost(message, repeated, tag = "3")]
    pub in_flight: Vec<InFlightRequests>,
}

/// Number of requests that an entry has in flight to an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InFlightRequests {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// Reports that the log has grown.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogGrown {
    /// Offset of a record that is in the log.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
}

/// Asks to borrow idle slots of a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotRequest {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of slots wanted.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Incarnation of the entry that borrows.
    #[prost(string, tag = "3")]
    pub borrower: String,
}

/// The reply to a [`SlotRequest`]; lends slots.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotReply {
    /// The lent slots; may be empty.
    #[prost(message, repeated, tag = "1")]
    pub loans: Vec<LentSlot>,
}

/// A slot that is lent to another entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LentSlot {
    /// Number of the loan, which the lender assigns.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The endpoint that the slot belongs to.
    #[prost(string, tag = "2")]
    pub endpoint: String,
}

/// Reports to the lender which loans the borrower keeps and which it returns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotLoanUpdate {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Incarnation of the borrower.
    #[prost(string, tag = "2")]
    pub borrower: String,
    /// Numbers of the loans that the borrower keeps.
    #[prost(uint64, repeated, tag = "3")]
    pub kept: Vec<u64>,
    /// Numbers of the loans that are returned.
    #[prost(uint64, repeated, tag = "4")]
    pub returned: Vec<u64>,
}

/// Asks for the state that the entry has folded from the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateRequest {}

/// The reply to a [`StateRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateReply {
    /// The state as text; empty if the entry has none yet.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// Asks whether the key of a request is known.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyRequest {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// The reply to a [`KeyRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyReply {
    /// Whether the key is claimed or a claim of it is being written, or the answering entry has
    /// not caught up with the log.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// Incarnations in the roster that the answering entry has folded from the log, and in the
    /// one that it has proposed as planner.
    #[prost(string, repeated, tag = "2")]
    pub roster: Vec<String>,
}

/// Reports which endpoints accept no new requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeavingEndpoints {
    /// The instances of those endpoints.
    #[prost(string, repeated, tag = "1")]
    pub instances: Vec<String>,
}

/// An empty message that acknowledges a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {}

impl Msg {
    /// The purpose under which metrics count the message.
    pub fn purpose(&self) -> Purpose {
        match self {
            Msg::JobStateRequest(_) | Msg::JobStateReply(_) => "job_questions",
            Msg::ConfigRequest(_) | Msg::ConfigReply(_) => "config_questions",
            Msg::PendingJobsRequest(_) | Msg::PendingJobsReply(_) => "pending_questions",
            Msg::InboxAppendRequest(_) | Msg::InboxAppendReply(_) => "hand_ins_for_peers",
            Msg::AdviceRequest(_) | Msg::AdviceReply(_) => "advice_for_peers",
            Msg::StoreCallRequest(_) | Msg::StoreCallReply(_) => "store_calls_for_peers",
            Msg::AdmissionRequest(_) | Msg::AdmissionReply(_) => "admission_questions",
            Msg::RelayOpen(_) | Msg::RelayReady(_) | Msg::RelayOrders(_) => "relay_orders",
            Msg::RelayUpdate(_) => "relay_news",
            Msg::BridgeOpen(_) | Msg::BridgedCall(_) | Msg::BridgedReply(_) => "bridges",
            Msg::Heartbeat(_) | Msg::LogGrown(_) | Msg::Ping(_) | Msg::Pong(_) | Msg::Hello(_) => {
                "heartbeats"
            }
            Msg::SlotRequest(_) | Msg::SlotReply(_) | Msg::SlotLoanUpdate(_) => "slots",
            Msg::StateRequest(_) | Msg::StateReply(_) | Msg::KeyRequest(_) | Msg::KeyReply(_) => {
                "state_questions"
            }
            Msg::LeavingEndpoints(_) | Msg::Ack(_) | Msg::LeaseReleaseRequest(_) => "other_messages",
        }
    }
}
