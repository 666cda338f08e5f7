//! A store that refuses records and appends above a size, as the platform's does. It holds the scheduler's state in the
//! form in which it is stored.

use std::collections::BTreeMap;

use bytes::Bytes;
use workswood::ops::jobs::append_calls::{Append, StateEncoder};
use workswood::ops::jobs::stored_state::{self, StoredState};
use workswood::util::job_settings::StoreSizes;
use workswood_core::jobs::restored_jobs::{RestoredJobs, join_states};
use workswood_core::jobs::{Action, Batch};
use workswood_platform::jobs::KeyedRecord;

use super::World;
use super::second_owner::number_of;

/// Sizes that the store takes: small, so that states are soon larger.
const SIZES: StoreSizes = StoreSizes { record: 2_048, append: 8_192 };
/// Bytes of an append for the length of a record, and of a record for the length of its key.
const RECORD_LENGTH: usize = 4;
const KEY_LENGTH: usize = 1;
/// Longest checkpoint that workers of such a world save, in bytes.
const MAX_CHECKPOINT: usize = 3_000;

/// The store.
#[derive(Default)]
pub(super) struct BoundedStore {
    records: BTreeMap<String, Bytes>,
}

impl BoundedStore {
    /// Carries out an append, or tells why it is refused.
    fn append(&mut self, append: &Append) -> Result<(), String> {
        let records = append.records();
        let sizes: Vec<usize> = records.iter().map(size_of).collect();
        let size: usize = sizes.iter().map(|size| RECORD_LENGTH + size).sum();
        let largest = sizes.into_iter().max().unwrap_or_default();
        if size > SIZES.append || largest > SIZES.record {
            return Err(format!("an append of {size} bytes, its largest record of {largest}"));
        }
        for KeyedRecord { key, value } in records {
            match value {
                Some(value) => self.records.insert(key, value),
                None => self.records.remove(&key),
            };
        }
        Ok(())
    }

    /// What a new holder reads.
    pub(super) fn read(&self) -> (StoredState, StateEncoder) {
        let record =
            |(key, value): (&String, &Bytes)| KeyedRecord { key: key.clone(), value: Some(value.clone()) };
        stored_state::read(self.records.iter().map(record).collect())
    }
}

/// Size of a record, as the store counts it.
fn size_of(rec: &KeyedRecord) -> usize {
    KEY_LENGTH + rec.key.len() + rec.value.as_ref().map_or(0, Bytes::len)
}

impl World {
    /// Has the store refuse what is too large, and workers save checkpoints of many lengths.
    #[must_use]
    pub fn with_bounded_store(mut self) -> World {
        self.bounded_store = Some(BoundedStore::default());
        let mut w = self.with_many_runs();
        w.set_worker_limits(super::worker::WorkerLimits {
            checkpoint_bytes: MAX_CHECKPOINT,
            ..w.worker_limits
        });
        w.take_over();
        w
    }

    /// Stores the first appends of a batch of a holder, and all if `count` is `None`.
    pub(super) fn store_appends(&mut self, n: usize, batch: &Batch, count: Option<u64>) {
        let Some(store) = &mut self.bounded_store else { return };
        let appends = self.holders[n].encoder.appends_of(&batch.records, SIZES);
        let count = count.map_or(appends.len(), |draw| draw as usize % (appends.len() + 1));
        for append in &appends[..count] {
            if let Err(why) = store.append(append) {
                self.seen.violations.push(format!("STORE: it refuses {why} at {:?}", self.now));
            }
        }
        self.seen.split_batches += u64::from(appends.len() > 1);
    }

    /// Stores what is left of a write whose holder is killed: some of its appends.
    pub(super) fn cut_write(&mut self, n: usize, batch: &Batch) {
        if self.bounded_store.is_some() {
            let draw = self.rng.below(u64::from(u32::MAX));
            self.store_appends(n, batch, Some(draw));
        }
    }

    /// The jobs as a new holder reads them, with what is stored of them.
    pub(super) fn join_stored(&self, state: &StoredState) -> RestoredJobs {
        let submitted = self.jobs.iter().filter(|(key, _)| !self.trimmed.contains(key));
        let submitted = submitted.map(|(key, spec)| (number_of(*key), spec.clone()));
        join_states(submitted, state.jobs.iter().cloned())
    }

    /// Checks that a start brings a checkpoint of its own task.
    pub(super) fn check_checkpoint(&mut self, action: &Action) {
        let Action::Start { task, checkpoint, .. } = action else { return };
        if checkpoint.is_empty() {
            return;
        }
        self.seen.resumed_starts += 1;
        if !checkpoint.starts_with(&format!("{task} ")) {
            self.seen
                .violations
                .push(format!("UNASKED: {task} is started with the checkpoint of another task"));
        }
    }
}
