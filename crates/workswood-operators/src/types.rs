//! What operators send and get.

use serde::{Deserialize, Serialize};
use workswood_core::code::Code;
use workswood_core::fleet::Issue;
use workswood_core::ids::{FileId, HostId, Offset};

/// A change to apply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Unique id of the change; the same id is applied once.
    pub id: String,
    /// Version that the change was made on; 0 for a new file.
    pub base: u64,
    /// Who applies it.
    pub author: String,
    /// Text of the file.
    pub text: String,
    /// How long to wait until it is in force everywhere; 0 is not at all.
    pub wait_ms: u64,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyReply {
    /// It is in force from the offset on.
    Accepted {
        /// Version of the file.
        version: u64,
        /// Offset of the change.
        offset: Offset,
        /// Entry hosts that have not confirmed it, if it was waited for.
        behind: Vec<String>,
    },
    /// It is not in force and will not be.
    Refused {
        /// Why.
        code: Code,
        /// Details: by whom, what changed, or what belongs to whom.
        message: String,
        /// Errors in the file.
        issues: Vec<ShownIssue>,
    },
    /// It is not known; applying it again is safe.
    Unknown {
        /// Why.
        code: Code,
    },
}

/// An error in a file, as shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShownIssue {
    /// Path in the file.
    pub path: String,
    /// Numbered code.
    pub code: u16,
    /// What is wrong.
    pub message: String,
}

impl From<&Issue> for ShownIssue {
    fn from(i: &Issue) -> ShownIssue {
        ShownIssue { path: i.path.clone(), code: i.code.number(), message: i.message.clone() }
    }
}

/// What an entry host knows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// The entry host that answers.
    pub entry: String,
    /// Whether it has caught up.
    pub ready: bool,
    /// Whether the log answers it.
    pub log_up: bool,
    /// Next offset that it folds.
    pub next: Offset,
    /// Files in force.
    pub files: Vec<FileStatus>,
    /// Entry hosts.
    pub entries: Vec<EntryStatus>,
    /// Duties and who holds them.
    pub duties: Vec<DutyStatus>,
    /// Maintenance; see `docs/WAVES.md` for the stop reasons.
    pub waves: serde_json::Value,
    /// Budgets.
    pub budgets: serde_json::Value,
    /// Hosts by pool and phase.
    pub hosts: Vec<PoolStatus>,
    /// What needs a person or time, with the reason.
    pub stuck: Vec<String>,
    /// Keys in their window.
    pub keys: usize,
    /// Deferred requests that have not run.
    pub open_deferred: usize,
    /// Records of unknown kind.
    pub unknown_records: u64,
    /// Broken invariants of this process, and the first of them.
    pub invariants_broken: u64,
    /// The first broken invariant.
    pub first_broken: Option<String>,
    /// Hosts moved between pools so far.
    pub host_moves: u64,
    /// Instances moved between hosts so far.
    pub instance_moves: u64,
}

/// A file in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FileStatus {
    /// Its name.
    pub file: FileId,
    /// Its version.
    pub version: u64,
    /// Offset at which it came in force.
    pub offset: Offset,
    /// Who applied it.
    pub author: String,
}

/// An entry host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Address of its peer listener.
    pub address: String,
    /// Its incarnation.
    pub id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Next offset that it folds.
    pub next: Offset,
    /// Whether it is alive, suspect or dead.
    pub liveness: String,
    /// Whether it shares slots.
    pub on_roster: bool,
}

/// A duty.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Its name.
    pub duty: String,
    /// Who holds it.
    pub holder: Option<String>,
    /// The term.
    pub term: u64,
}

/// Hosts of a pool.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool; empty for hosts in none.
    pub pool: String,
    /// Hosts at work.
    pub active: usize,
    /// Hosts that are away by our acts.
    pub away: Vec<HostId>,
    /// Hosts that do not answer.
    pub down: Vec<HostId>,
    /// Hosts that others have moved.
    pub foreign: Vec<HostId>,
}
