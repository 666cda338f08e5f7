//! The records that processes append to the platform's log.
//!
//! One append is one [`Envelope`]: the group commit of one process. The envelopes of a
//! process carry a growing `seq`, and the fold rejects an envelope whose `seq` is not
//! higher than the last one that it has folded from the process. An append whose
//! answer was lost can therefore be retried, and an append that the process has
//! abandoned can no longer take effect once a later envelope of the process is in
//! the log.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::fleet::{FleetFile, Place};
use crate::ids::*;

/// Version of the record format that this program writes.
pub const FORMAT_VERSION: u16 = 1;

/// One append to the log, by one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the record format, [`FORMAT_VERSION`].
    #[serde(rename = "v")]
    pub format_version: u16,
    /// The process that wrote it.
    #[serde(rename = "from")]
    pub sender: Incarnation,
    /// Sequence number of the envelope among those of the process, from 1.
    pub seq: u64,
    /// Time at which the process wrote the envelope, by its own clock.
    #[serde(rename = "at")]
    pub written_at: UnixMs,
    /// The records, folded in order.
    pub records: Vec<Record>,
}

/// One record. Each takes effect only if its precondition holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Puts a fleet file in force if `base` is the version in force.
    Apply {
        /// Unique id of the operator's change.
        #[serde(rename = "id")]
        change_id: String,
        /// Version that the change is based on; 0 for a new file.
        base: u64,
        /// Who applied the change.
        author: String,
        /// The whole file.
        file: Box<FleetFile>,
    },
    /// Acquires the lease on a role if `term` is the next one and the lease has been
    /// renewed exactly `seen_renewals` times in the current term.
    Take {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// The new holder.
        holder: Incarnation,
        /// The next term.
        term: Term,
        /// Renewals of the current term that the new holder has seen.
        #[serde(rename = "seen")]
        seen_renewals: u64,
    },
    /// Renews the lease, which shows that its holder is alive.
    Renew {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// The holder's term.
        term: Term,
    },
    /// Releases the lease on a role before it ends.
    GiveUp {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// The holder's term.
        term: Term,
    },
    /// Sets which entry processes share the slots of endpoints; planner only.
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
        /// Generation of the host that the change was decided on.
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
        /// The process that runs the request; none for a deferred request.
        holder: Option<Incarnation>,
        /// No copy of the request is started after this moment.
        last_moment: UnixMs,
        /// The request itself if it is deferred.
        deferred: Option<DeferredRequest>,
    },
    /// Starts an attempt of a deferred request if `attempt` is the next one.
    Start {
        /// The key.
        key: IdempotencyKey,
        /// The process that runs it.
        holder: Incarnation,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Records the outcome of an attempt; only its holder may.
    Finish {
        /// The key.
        key: IdempotencyKey,
        /// The process that ran it.
        holder: Incarnation,
        /// How the attempt ended.
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
    /// Marks an offset for a checkpoint: every process records the digest of its
    /// state there.
    Mark {
        /// The checkpointer's term.
        term: Term,
    },
    /// One part of a checkpoint of the state at a marker.
    Checkpoint {
        /// Offset of the envelope with the `Mark` record.
        #[serde(rename = "upto")]
        marker_offset: Offset,
        /// Number of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// Digest of the state.
        digest: u64,
        /// This part of the state's JSON text.
        data: String,
    },
    /// A record of a kind that this program does not know. It has no effect and is
    /// counted.
    #[serde(untagged)]
    Unknown(Value),
}

/// A role that one process holds at a time, under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Decides about hosts, instances, jobs and the roster.
    Planner,
    /// Writes checkpoints of the state to the log.
    Checkpointer,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 2] = [Role::Planner, Role::Checkpointer];
}

/// An entry process on the roster.
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
    /// It moves to another pool.
    Move {
        /// The pool that it moves to.
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
    /// Records the location and the resources of the host, as the platform lists them.
    Seen {
        /// Data centre and rack.
        place: Place,
        /// Processors in cores.
        cpus: u32,
        /// Memory in GiB.
        memory_gib: u32,
        /// Number of accelerators.
        accelerators: u32,
    },
    /// Records whether the host answers.
    Health {
        /// Whether it answers.
        up: bool,
    },
    /// Records whether something other than workswood moved the host; the host is not
    /// managed while set.
    Foreign {
        /// Whether it was moved.
        foreign: bool,
    },
    /// Assigns a free host to a pool.
    Assign {
        /// The pool.
        pool: PoolId,
    },
    /// Stops new work on the host, if every budget allows it.
    Drain {
        /// Why the host is drained.
        reason: DrainReason,
    },
    /// Records that no work is left on a draining host.
    Drained,
    /// Cancels a drain.
    Undrain,
    /// Moves a drained host to the pool named in its drain reason.
    Flip,
    /// Starts the reboot of a drained host.
    Reboot {
        /// Boot id before the reboot.
        boot: String,
    },
    /// Returns a rebooted host to service.
    Return,
    /// Removes a drained host that no file claims from the state.
    Forget,
}

/// A change of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum InstanceChange {
    /// Places the instance on a host.
    Place {
        /// The host.
        host: HostId,
    },
    /// Records the instance's address and whether it takes work.
    Ready {
        /// IP address and port.
        address: String,
        /// Whether it takes work.
        ready: bool,
    },
    /// Removes the instance from its host.
    Remove,
}

/// A change of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum JobChange {
    /// Starts the job on a host; the offset of the record is the fencing token.
    Start {
        /// The host.
        host: HostId,
    },
    /// Stops the job so that it may start again later.
    Preempt,
    /// Records that the job was lost with its host; it may have run.
    Lost,
    /// Records that the job has ended.
    End {
        /// Whether it succeeded.
        ok: bool,
    },
}

/// A request that is kept in the log until it has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredRequest {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body, base64.
    pub body: String,
    /// Whether an attempt with an unknown outcome may be followed by another one.
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
    /// The request was sent at least in part, and no answer arrived.
    Unknown,
}
