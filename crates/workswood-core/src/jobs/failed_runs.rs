//! The failed runs of a task.
//!
//! A worker may report an end again to a new lease holder, and each failure must count once. Two runs may have one attempt
//! number: a holder that starts a task without a record may be followed by one that gives the number again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};

use super::job::WorkerId;

/// Attempts that failed, each with the workers on which it did. A worker that is not known is that of one failed run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "BTreeSet<u32>", into = "BTreeSet<u32>")]
pub struct FailedRuns(BTreeMap<u32, SmallVec<[Option<WorkerId>; 1]>>);

impl FailedRuns {
    /// Adds a failed run; returns false if it was known.
    pub fn insert(&mut self, attempt: u32, worker: Option<&WorkerId>) -> bool {
        let Some(workers) = self.0.get_mut(&attempt) else {
            self.0.insert(attempt, smallvec![worker.cloned()]);
            return true;
        };
        if worker.is_none() || workers.iter().any(|known| known.as_ref() == worker) {
            return false;
        }
        if let Some(unknown) = workers.iter_mut().find(|known| known.is_none()) {
            *unknown = worker.cloned();
            return false;
        }
        workers.push(worker.cloned());
        true
    }

    /// Number of failed runs.
    pub fn count(&self) -> usize {
        self.0.values().map(SmallVec::len).sum()
    }

    /// Number of failures of a gang with these members. Members that fail in one attempt are one failure of the gang,
    /// on whichever workers. Two starts may have one attempt number: a member that failed twice in it tells them apart.
    pub fn count_joint<'a>(members: impl Iterator<Item = &'a FailedRuns>) -> usize {
        let mut by_attempt: BTreeMap<u32, usize> = BTreeMap::new();
        for (attempt, workers) in members.flat_map(|m| &m.0) {
            let most = by_attempt.entry(*attempt).or_default();
            *most = workers.len().max(*most);
        }
        by_attempt.values().sum()
    }

    /// Whether no run has failed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Each failed run: its attempt, and its worker if that is known.
    pub fn iter(&self) -> impl Iterator<Item = (u32, Option<&WorkerId>)> {
        self.0.iter().flat_map(|(attempt, workers)| workers.iter().map(|w| (*attempt, w.as_ref())))
    }
}

/// As versions stored them that knew no workers of failed runs.
impl From<BTreeSet<u32>> for FailedRuns {
    fn from(attempts: BTreeSet<u32>) -> FailedRuns {
        FailedRuns(attempts.into_iter().map(|attempt| (attempt, smallvec![None])).collect())
    }
}

impl From<FailedRuns> for BTreeSet<u32> {
    fn from(failed: FailedRuns) -> BTreeSet<u32> {
        failed.0.into_keys().collect()
    }
}

impl<'a> FromIterator<(u32, Option<&'a WorkerId>)> for FailedRuns {
    fn from_iter<I: IntoIterator<Item = (u32, Option<&'a WorkerId>)>>(runs: I) -> FailedRuns {
        let mut failed = FailedRuns::default();
        for (attempt, worker) in runs {
            failed.insert(attempt, worker);
        }
        failed
    }
}
