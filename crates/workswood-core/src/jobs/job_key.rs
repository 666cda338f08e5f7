//! What identifies a job: its number, and whose it is.
//!
//! Callers choose the numbers of their jobs without knowing those of others, and name a job by the address of its queue and
//! its number. Two queues, or two workspaces on one queue, may therefore have jobs of the same number. Workers know a job
//! by its number alone; which one is meant follows from the service of the worker, since jobs of one service that share
//! a number run one after the other.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::workspace::Owner;

/// Number of a job, chosen by its caller; written as 16 hex digits.
pub type JobNumber = u64;

/// The address of a queue, as a hash of its host name and path prefix. It stays the same when the queue is renamed or
/// leads to another service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueueTag(u64);

impl QueueTag {
    /// The address is not known: an entry of an earlier version accepted the job.
    pub const UNKNOWN: QueueTag = QueueTag(0);
    /// The last of all tags in their order.
    pub const LAST: QueueTag = QueueTag(u64::MAX);

    /// The tag of the queue at an address.
    pub fn of_address(host_name: &str, path_prefix: &str) -> QueueTag {
        // No host name contains a blank.
        QueueTag(xxh3_64(format!("{host_name} {path_prefix}").as_bytes()).max(1))
    }

    /// Restores a tag from its stored number.
    pub fn from_number(number: u64) -> QueueTag {
        QueueTag(number)
    }

    /// The number that is stored for the tag; 0 if the address is not known.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Whether the address is not known.
    pub fn is_unknown(&self) -> bool {
        *self == QueueTag::UNKNOWN
    }
}

/// Whose job it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobOwner {
    /// The workspace that submitted it.
    pub workspace: Owner,
    /// The queue that it was submitted to.
    pub queue: QueueTag,
}

impl JobOwner {
    /// Any workspace without a queue that is known.
    pub const fn of_workspace(workspace: Owner) -> JobOwner {
        JobOwner { workspace, queue: QueueTag::UNKNOWN }
    }

    /// The last of all owners in their order.
    const LAST: JobOwner = JobOwner { workspace: Owner::LAST, queue: QueueTag::LAST };
}

/// Identifies a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey {
    /// Its number.
    pub number: JobNumber,
    /// Whose it is.
    pub owner: JobOwner,
}

impl JobKey {
    /// A job of which only the number is known: the first of all keys of the number in their order.
    pub const fn of_number(number: JobNumber) -> JobKey {
        JobKey { number, owner: JobOwner::of_workspace(Owner::PUBLIC) }
    }

    /// All keys of a number.
    pub fn all_of(number: JobNumber) -> std::ops::RangeInclusive<JobKey> {
        JobKey::of_number(number)..=JobKey { number, owner: JobOwner::LAST }
    }

    /// All keys of a number and workspace.
    pub fn all_of_workspace(number: JobNumber, workspace: Owner) -> std::ops::RangeInclusive<JobKey> {
        let key = |queue| JobKey { number, owner: JobOwner { workspace, queue } };
        key(QueueTag::UNKNOWN)..=key(QueueTag::LAST)
    }

    /// The same job as an entry of an earlier version knows it, without its queue.
    pub fn without_queue(self) -> JobKey {
        JobKey { owner: JobOwner::of_workspace(self.owner.workspace), ..self }
    }

    /// Whether the queue of the job is known.
    pub fn has_queue(&self) -> bool {
        !self.owner.queue.is_unknown()
    }
}

/// Writes the number.
impl fmt::LowerHex for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.number, f)
    }
}
