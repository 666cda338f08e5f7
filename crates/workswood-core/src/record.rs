//! What the processes append to the platform's log.
//!
//! One append is one [`Envelope`]: the group commit of one process. Envelopes
//! of a process carry a growing `seq`; the fold takes each `seq` once and none
//! that is lower than one it has taken. An append whose answer was lost can
//! therefore be sent again, and one that was given up is void for good as soon
//! as a later envelope of the same process is in the log.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::fleet::{FleetFile, HostLocation};
use crate::ids::*;

/// Version of the record format that this program writes.
pub const FORMAT_VERSION: u16 = 1;

/// One append of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Format version.
    #[serde(rename = "v")]
    pub format_version: u16,
    /// The process that wrote it.
    #[serde(rename = "from")]
    pub sender: Incarnation,
    /// Number of the envelope among those of the process, from 1.
    pub seq: u64,
    /// Clock of the process when it wrote the envelope.
    #[serde(rename = "at")]
    pub written_at: UnixMs,
    /// The records, folded in order.
    pub records: Vec<Record>,
}

/// One record. Each takes effect only if its precondition holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Puts a file in force if `base` is its version.
    Apply {
        /// Unique id of the operator's change.
        id: String,
        /// Version that the change was made on; 0 for a new file.
        base: u64,
        /// Who applied it.
        author: String,
        /// The whole file.
        file: Box<FleetFile>,
    },
    /// Takes a role if `term` is the next and no renewal came since `seen`.
    Take {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// Who takes it.
        holder: Incarnation,
        /// The next term.
        term: Term,
        /// Renewals of the former term that the taker has seen.
        #[serde(rename = "seen")]
        seen_renewals: u64,
    },
    /// Shows that the holder of the term is alive.
    Renew {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// The holder's term.
        term: Term,
    },
    /// Gives a role up before its lease ends.
    GiveUp {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// The holder's term.
        term: Term,
    },
    /// Sets which entry processes share slots; planner only.
    Roster {
        /// The planner's term.
        term: Term,
        /// The processes, sorted by incarnation.
        members: Vec<RosterMember>,
    },
    /// Changes one host; planner only.
    Host {
        /// The planner's term.
        term: Term,
        /// The host.
        host: HostId,
        /// Generation of the host that the step was decided on.
        generation: u64,
        /// The change.
        #[serde(rename = "step")]
        change: HostChange,
    },
    /// Changes one instance of a service; planner only.
    Instance {
        /// The planner's term.
        term: Term,
        /// The instance.
        instance: InstanceId,
        /// The change.
        #[serde(rename = "step")]
        change: InstanceChange,
    },
    /// Claims the right to run a request that may not be repeated, or accepts
    /// a deferred one. The first claim of a key wins.
    Claim {
        /// The caller's key.
        key: IdempotencyKey,
        /// Service of the request.
        service: ServiceId,
        /// Digest of method, path and body.
        digest: u64,
        /// The process that runs it; none for a deferred request.
        holder: Option<Incarnation>,
        /// After this moment no copy is started.
        last_moment: UnixMs,
        /// The request itself when it is deferred.
        deferred: Option<DeferredRequest>,
    },
    /// Starts a deferred request if `attempt` is the next.
    Start {
        /// The key.
        key: IdempotencyKey,
        /// The process that runs it.
        holder: Incarnation,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Ends an attempt; only its holder may.
    Finish {
        /// The key.
        key: IdempotencyKey,
        /// The process that ran it.
        holder: Incarnation,
        /// What is known of the run.
        #[serde(rename = "end")]
        outcome: AttemptOutcome,
    },
    /// Changes one job; planner only.
    Job {
        /// The planner's term.
        term: Term,
        /// The job.
        job: JobId,
        /// The change.
        #[serde(rename = "step")]
        change: JobChange,
    },
    /// Asks every process to note the digest of its state here.
    Mark {
        /// The checkpointer's term.
        term: Term,
    },
    /// One part of the state as it was at the mark.
    Checkpoint {
        /// Offset of the envelope with the mark.
        #[serde(rename = "upto")]
        marker_offset: Offset,
        /// Number of this part, from 0.
        part: u32,
        /// How many parts there are.
        parts: u32,
        /// Digest of the state.
        digest: u64,
        /// Part of the state's JSON text.
        data: String,
    },
    /// A record of a kind this program does not know: kept in the log, counted.
    #[serde(untagged)]
    Unknown(Value),
}

/// A role that one process holds at a time, under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Decides about hosts, instances, jobs and the roster.
    Planner,
    /// Writes checkpoints of the state into the log.
    Checkpointer,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 2] = [Role::Planner, Role::Checkpointer];
}

/// An entry process that shares slots.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterMember {
    /// Its incarnation.
    pub id: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// Why a host is drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum DrainReason {
    /// It goes to another pool.
    Move {
        /// The pool it goes to.
        to: PoolId,
    },
    /// It is rebooted for maintenance.
    Maintain {
        /// Name of the maintenance.
        name: String,
    },
    /// No file claims it any longer.
    Release,
}

/// A change of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum HostChange {
    /// Notes where the host stands and what it has.
    Seen {
        /// Data centre and rack.
        #[serde(rename = "place")]
        location: HostLocation,
        /// Processors in cores.
        cpus: u32,
        /// Memory in GiB.
        memory_gib: u32,
        /// Accelerators.
        accelerators: u32,
    },
    /// Notes that the host answers or not.
    Health {
        /// Whether it answers.
        up: bool,
    },
    /// Notes that a script moved the host; it is left alone while set.
    Foreign {
        /// Whether it was moved by others.
        foreign: bool,
    },
    /// Gives a free host to a pool.
    Assign {
        /// The pool.
        pool: PoolId,
    },
    /// Stops new work on the host, if every budget allows it.
    Drain {
        /// Why.
        reason: DrainReason,
    },
    /// Notes that no work is left on a draining host.
    Drained,
    /// Withdraws a drain.
    Undrain,
    /// Moves a drained host to the pool named by its drain.
    Flip,
    /// Starts the reboot of a drained host.
    Reboot {
        /// Boot id before the reboot.
        boot: String,
    },
    /// Puts a rebooted host back to work.
    Return,
    /// Gives up a drained host that no file claims.
    Forget,
}

/// A change of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum InstanceChange {
    /// Places it on a host.
    Place {
        /// The host.
        host: HostId,
    },
    /// Notes its address and whether it takes work.
    Ready {
        /// IP address and port.
        address: String,
        /// Whether it takes work.
        ready: bool,
    },
    /// Takes it from its host.
    Remove,
}

/// A change of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum JobChange {
    /// Starts it on a host with the next token.
    Start {
        /// The host.
        host: HostId,
    },
    /// Stops it so that it may start again later.
    Preempt,
    /// Notes that its host is gone; it may have run.
    Lost,
    /// Notes that it has ended.
    End {
        /// Whether it succeeded.
        ok: bool,
    },
}

/// A request kept in the log until it has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredRequest {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body, base64.
    pub body: String,
    /// Whether another attempt may follow one of unknown end.
    pub repeatable: bool,
}

/// How an attempt to run a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// An endpoint answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body, base64; none when it was too large to keep.
        body: Option<String>,
    },
    /// Nothing was sent.
    NotSent,
    /// Something was sent and no answer came.
    Unknown,
}
