//! The messages, as `prost` types.

use workswood_traffic::Purpose;

use crate::relay::{RelayOpen, RelayOrders, RelayReady, RelayUpdate};

/// One frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number of the question; 0 for a message without an answer.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The message.
    #[prost(
        oneof = "Msg",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, \
                28, 29, 30"
    )]
    pub msg: Option<Msg>,
}

/// A message of any kind.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Msg {
    /// Opens a connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Heartbeat.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// The log has grown.
    #[prost(message, tag = "4")]
    LogHead(LogHead),
    /// Asks for idle slots.
    #[prost(message, tag = "5")]
    SlotRequest(SlotRequest),
    /// Lends slots; may be empty.
    #[prost(message, tag = "6")]
    SlotReply(SlotReply),
    /// Loans that are in use, and loans that are given back.
    #[prost(message, tag = "7")]
    SlotLoanUpdate(SlotLoanUpdate),
    /// Asks for the state.
    #[prost(message, tag = "8")]
    StateRequest(StateRequest),
    /// The state.
    #[prost(message, tag = "9")]
    StateReply(StateReply),
    /// Asks whether a key is known.
    #[prost(message, tag = "10")]
    KeyRequest(KeyRequest),
    /// Whether a key is known.
    #[prost(message, tag = "11")]
    KeyReply(KeyReply),
    /// Endpoints that take no new work.
    #[prost(message, tag = "12")]
    DrainingEndpoints(DrainingEndpoints),
    /// Nothing to say.
    #[prost(message, tag = "13")]
    Ack(Ack),
    /// Asks for the state of a job.
    #[prost(message, tag = "14")]
    JobStateRequest(JobStateRequest),
    /// The state of a job.
    #[prost(message, tag = "15")]
    JobStateReply(JobStateReply),
    /// Asks how many jobs of a queue have not begun.
    #[prost(message, tag = "16")]
    PendingJobsRequest(PendingJobsRequest),
    /// How many jobs of a queue have not begun.
    #[prost(message, tag = "17")]
    PendingJobsReply(PendingJobsReply),
    /// Asks a process to write what callers handed in into its store.
    #[prost(message, tag = "18")]
    InboxAppendRequest(InboxAppendRequest),
    /// What became of it.
    #[prost(message, tag = "19")]
    InboxAppendReply(InboxAppendReply),
    /// Asks a process to give back a scheduler lease for its holder, which the
    /// store turns away.
    #[prost(message, tag = "20")]
    LeaseReleaseRequest(LeaseReleaseRequest),
    /// Asks whether the connection still passes bytes.
    #[prost(message, tag = "21")]
    Ping(Ping),
    /// Says that it does.
    #[prost(message, tag = "22")]
    Pong(Pong),
    /// Asks a process to call the adviser.
    #[prost(message, tag = "23")]
    AdviceRequest(AdviceRequest),
    /// What the adviser answered.
    #[prost(message, tag = "24")]
    AdviceReply(AdviceReply),
    /// Opens a connection to a relay.
    #[prost(message, tag = "25")]
    RelayOpen(RelayOpen),
    /// The relay takes orders.
    #[prost(message, tag = "26")]
    RelayReady(RelayReady),
    /// What the lease holder wants done with workers.
    #[prost(message, tag = "27")]
    RelayOrders(RelayOrders),
    /// What a relay has to tell of workers.
    #[prost(message, tag = "28")]
    RelayUpdate(RelayUpdate),
    /// Asks for a configuration newer than one.
    #[prost(message, tag = "29")]
    ConfigRequest(ConfigRequest),
    /// The newest configuration known.
    #[prost(message, tag = "30")]
    ConfigReply(ConfigReply),
}

/// Asks a process to call the adviser for the lease holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdviceRequest {
    /// Job of the step.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// Round of the job.
    #[prost(uint32, tag = "2")]
    pub round: u32,
    /// Number of the step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Workers to ask about.
    #[prost(string, repeated, tag = "4")]
    pub workers: Vec<String>,
    /// How long the adviser's answer is waited for, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub timeout_ms: u32,
}

/// What came of a call to the adviser.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdviceReply {
    /// Its outcome.
    #[prost(enumeration = "AdviceOutcome", tag = "1")]
    pub outcome: i32,
    /// Workers that may run the step, with their tickets.
    #[prost(message, repeated, tag = "2")]
    pub suitable: Vec<AdviceTicket>,
    /// How long the tickets hold, in milliseconds, if it says so.
    #[prost(uint64, optional, tag = "3")]
    pub valid_ms: Option<u64>,
}

/// A worker that may run a step.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdviceTicket {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Its ticket.
    #[prost(string, tag = "2")]
    pub ticket: String,
}

/// What came of a call to the adviser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum AdviceOutcome {
    /// No answer; it may be at work on it.
    NoAnswer = 0,
    /// It answered.
    Answered = 1,
    /// It has too many calls waiting.
    Busy = 2,
    /// It refused the call, or its answer can't be read.
    Refused = 3,
    /// Nothing was sent.
    NotSent = 4,
}

/// Asks a process to write what callers handed in into its store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InboxAppendRequest {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<InboxRecord>,
    /// How long the asking process waits for the answer, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub timeout_ms: u32,
}

/// A record of the inbox.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InboxRecord {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// What became of records, in the order in which they were sent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InboxAppendReply {
    /// An outcome for each record.
    #[prost(enumeration = "HandInOutcome", repeated, tag = "1")]
    pub outcomes: Vec<i32>,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum HandInOutcome {
    /// It may be stored, or may come to be.
    Unknown = 0,
    /// It is stored.
    Stored = 1,
    /// It is not, and will not be.
    NotStored = 2,
}

/// Asks a process to give back a scheduler lease for its holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseReleaseRequest {
    /// The record of the lease that says so.
    #[prost(bytes = "bytes", tag = "1")]
    pub record: bytes::Bytes,
}

/// Asks for a configuration newer than one: the store turns this host away, and what operators
/// change is in force here too.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    /// Version in force at the asking process; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The newest configuration that a process knows, as operators wrote it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigReply {
    /// Empty if it is not newer.
    #[prost(bytes = "bytes", tag = "1")]
    pub record: bytes::Bytes,
    /// Missing if the process has not read it, or is of a version that does not.
    #[prost(message, optional, tag = "2")]
    pub evacuated: Option<EvacuatedDataCentres>,
    /// Who holds the scheduler lease, as far as the process knows.
    #[prost(message, optional, tag = "3")]
    pub holder: Option<LeaseHolder>,
}

/// Who holds the scheduler lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseHolder {
    /// Its incarnation.
    #[prost(string, tag = "1")]
    pub incarnation: String,
    /// Its peer listener.
    #[prost(string, tag = "2")]
    pub peer_address: String,
    /// Its term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// Data centres that operators have evacuated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvacuatedDataCentres {
    /// All of them.
    #[prost(string, repeated, tag = "1")]
    pub data_centres: Vec<String>,
    /// How long ago that was read, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Asks for the state of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobStateRequest {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// Number of the owner whose key the caller has; 0 for nobody. Processes of versions before
    /// this one don't say.
    #[prost(fixed64, optional, tag = "2")]
    pub owner: Option<u64>,
}

/// The state of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobStateReply {
    /// Whether the answering process holds the scheduler lease and is up to date.
    #[prost(bool, tag = "1")]
    pub authoritative: bool,
    /// The state; unset if no such job is known.
    #[prost(enumeration = "JobState", optional, tag = "2")]
    pub state: Option<i32>,
}

/// State of a job between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum JobState {
    /// No task has begun.
    Queued = 0,
    /// Some task has begun.
    Running = 1,
    /// All tasks are done.
    Completed = 2,
    /// A task failed too often.
    Failed = 3,
    /// The caller cancelled it.
    Canceled = 4,
}

/// Asks how many jobs of a queue have not begun.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PendingJobsRequest {
    /// The queue.
    #[prost(string, tag = "1")]
    pub queue: String,
}

/// How many jobs of a queue have not begun.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PendingJobsReply {
    /// Whether the answering process holds the scheduler lease and is up to date.
    #[prost(bool, tag = "1")]
    pub authoritative: bool,
    /// How many.
    #[prost(uint64, tag = "2")]
    pub pending: u64,
}

/// A question that is answered at once, whatever else the process does. A process of
/// a version that does not know it closes the connection, which is then made again.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {}

/// Its answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {}

/// Opens a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Version of this protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The token that all processes share.
    #[prost(string, tag = "2")]
    pub token: String,
    /// Incarnation of the process that connects.
    #[prost(string, tag = "3")]
    pub from: String,
}

/// What a process says of itself or of another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryState {
    /// Address of its peer listener.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its incarnation.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Counts up.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Next offset that it folds.
    #[prost(uint64, tag = "5")]
    pub next_offset: u64,
    /// Whether it is stopping.
    #[prost(bool, tag = "6")]
    pub stopping: bool,
}

/// Heartbeat with what the sender knows of some others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender's own beat.
    #[prost(message, optional, tag = "1")]
    pub own: Option<EntryState>,
    /// Beats of some others.
    #[prost(message, repeated, tag = "2")]
    pub others: Vec<EntryState>,
    /// Instances that the sender has requests open on, if it is asked to tell.
    #[prost(message, repeated, tag = "3")]
    pub open_requests: Vec<OpenRequests>,
}

/// Requests open on an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OpenRequests {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// How many.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// The log has grown.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogHead {
    /// An offset that is in the log.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
}

/// Asks for idle slots.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotRequest {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// How many.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Incarnation of the process that asks.
    #[prost(string, tag = "3")]
    pub from: String,
}

/// Lends slots.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotReply {
    /// One entry for each slot.
    #[prost(message, repeated, tag = "1")]
    pub loans: Vec<LentSlot>,
}

/// One slot that is lent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LentSlot {
    /// Number at the lender.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
}

/// Loans that are in use, and loans that are given back.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotLoanUpdate {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Incarnation of the borrower.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Loans in use.
    #[prost(uint64, repeated, tag = "3")]
    pub in_use: Vec<u64>,
    /// Loans given back.
    #[prost(uint64, repeated, tag = "4")]
    pub returned: Vec<u64>,
}

/// Asks for the state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateRequest {}

/// The state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateReply {
    /// Its text; empty if there is none.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// Asks whether a key is known.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyRequest {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// Whether a key is known.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyReply {
    /// Whether the key is claimed, or a claim is on its way.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// Roster that the answering process has folded.
    #[prost(string, repeated, tag = "2")]
    pub roster: Vec<String>,
}

/// Endpoints that take no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DrainingEndpoints {
    /// Instances that are leaving.
    #[prost(string, repeated, tag = "1")]
    pub instances: Vec<String>,
}

/// Nothing to say.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {}

impl Msg {
    /// What the message is for, in metrics.
    pub fn purpose(&self) -> Purpose {
        match self {
            Msg::JobStateRequest(_) | Msg::JobStateReply(_) => "job_questions",
            Msg::ConfigRequest(_) | Msg::ConfigReply(_) => "config_questions",
            Msg::PendingJobsRequest(_) | Msg::PendingJobsReply(_) => "pending_questions",
            Msg::InboxAppendRequest(_) | Msg::InboxAppendReply(_) => "hand_ins_for_peers",
            Msg::AdviceRequest(_) | Msg::AdviceReply(_) => "advice_for_peers",
            Msg::RelayOpen(_) | Msg::RelayReady(_) | Msg::RelayOrders(_) => "relay_orders",
            Msg::RelayUpdate(_) => "relay_news",
            Msg::Heartbeat(_) | Msg::LogHead(_) | Msg::Ping(_) | Msg::Pong(_) | Msg::Hello(_) => "heartbeats",
            Msg::SlotRequest(_) | Msg::SlotReply(_) | Msg::SlotLoanUpdate(_) => "slots",
            Msg::StateRequest(_) | Msg::StateReply(_) | Msg::KeyRequest(_) | Msg::KeyReply(_) => {
                "state_questions"
            }
            Msg::DrainingEndpoints(_) | Msg::Ack(_) | Msg::LeaseReleaseRequest(_) => "other_messages",
        }
    }
}
