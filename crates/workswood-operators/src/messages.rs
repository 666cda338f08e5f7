//! Requests of operators and the answers to them, as JSON.

use serde::{Deserialize, Serialize};
use workswood_core::code::Code;
use workswood_core::fleet::Issue;
use workswood_core::ids::{FileId, HostId, Offset};

/// A version of a fleet file to apply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Unique id of the change; an id is applied at most once.
    pub id: String,
    /// Version of the file that the change is based on; 0 for a new file.
    pub base: u64,
    /// Name of the operator who applies the file.
    pub author: String,
    /// Text of the fleet file.
    pub text: String,
    /// Longest wait for the file to be in force on all entry hosts, in milliseconds; 0 for no wait.
    pub wait_ms: u64,
}

/// Result of an apply request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyReply {
    /// The file is in force from the offset on.
    Accepted {
        /// Version of the file.
        version: u64,
        /// Offset of the change in the log.
        offset: Offset,
        /// Addresses of the entry hosts that had not confirmed the file when the wait ended.
        behind: Vec<String>,
    },
    /// The file is not in force and will not be.
    Refused {
        /// Numbered code of the reason.
        code: Code,
        /// Details of the reason, such as the differences to the version in force.
        message: String,
        /// Errors in the file, if that is the reason.
        issues: Vec<FileIssue>,
    },
    /// It is unknown whether the file came into force; applying it again with the same id is safe.
    Unknown {
        /// Numbered code of the reason.
        code: Code,
    },
}

/// An error in a fleet file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileIssue {
    /// Path of the value in the file.
    pub path: String,
    /// Numbered code.
    pub code: u16,
    /// Description of the error.
    pub message: String,
}

impl From<&Issue> for FileIssue {
    fn from(issue: &Issue) -> FileIssue {
        FileIssue { path: issue.path.clone(), code: issue.code.number(), message: issue.message.clone() }
    }
}

/// Status of the fleet as one entry host knows it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Address of the entry host that answers.
    pub entry: String,
    /// Whether the entry host has caught up with the log.
    pub ready: bool,
    /// Whether the entry host can read the log.
    pub log_up: bool,
    /// Next offset of the log that the entry host folds.
    pub next: Offset,
    /// Fleet files in force.
    pub files: Vec<FileStatus>,
    /// Entry hosts known from heartbeats.
    pub entries: Vec<EntryStatus>,
    /// Duties and their holders.
    pub duties: Vec<DutyStatus>,
    /// Maintenance waves; `docs/WAVES.md` lists the reasons for which one stops.
    pub waves: serde_json::Value,
    /// Availability budgets of services.
    pub budgets: serde_json::Value,
    /// Hosts of each pool by their condition.
    pub hosts: Vec<PoolStatus>,
    /// Descriptions of what makes no progress, with the reasons.
    pub stuck: Vec<String>,
    /// Number of idempotency keys in the state.
    pub keys: usize,
    /// Number of deferred requests that have not ended.
    pub open_deferred: usize,
    /// Number of log records of an unknown kind.
    pub unknown_records: u64,
    /// Number of invariant violations found by this process.
    pub invariants_broken: u64,
    /// Description of the first invariant violation.
    pub first_broken: Option<String>,
    /// Number of times a host was moved between pools.
    pub host_moves: u64,
    /// Number of times an instance was moved between hosts.
    pub instance_moves: u64,
}

/// A fleet file in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FileStatus {
    /// Name of the file.
    pub file: FileId,
    /// Version of the file.
    pub version: u64,
    /// Offset of the log at which the version came into force.
    pub offset: Offset,
    /// Name of the operator who applied the version.
    pub author: String,
}

/// An entry host as known from heartbeats.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Address of its listener for peers.
    pub address: String,
    /// Identity of its process, which changes with each restart.
    pub id: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Next offset of the log that it folds.
    pub next: Offset,
    /// `alive`, `suspect` or `dead`.
    pub liveness: String,
    /// Whether it is on the roster, whose members divide the slots of endpoints.
    pub on_roster: bool,
}

/// A duty and its lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub duty: String,
    /// Incarnation of the process that holds the lease.
    pub holder: Option<String>,
    /// Term of the lease, which increases with each holder.
    pub term: u64,
}

/// Hosts of a pool.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Name of the pool; empty for hosts without a pool.
    pub pool: String,
    /// Number of hosts in service.
    pub active: usize,
    /// Hosts that this system has taken out of service.
    pub away: Vec<HostId>,
    /// Hosts that are down.
    pub down: Vec<HostId>,
    /// Hosts that somebody else has moved.
    pub foreign: Vec<HostId>,
}
