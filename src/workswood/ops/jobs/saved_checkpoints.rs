//! Checkpoints of tasks that are stored apart from the states of their jobs.
//!
//! A state is written with each change of its job, and a worker may save a text of any length. A checkpoint that isn't
//! short is therefore stored under a key of its own, when it has changed. It need not be as new as the state: whoever
//! starts the task from an older one does some work again. It is deleted once its task is done or its job is over, before
//! the state of the job is deleted, so that no later job under the same key finds it.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use workswood_core::code::Code;
use workswood_core::jobs::JobRecord;
use workswood_core::jobs::job::TaskRecord;
use workswood_platform::jobs::KeyedRecord;
use xxhash_rust::xxh3::xxh3_64;

use super::job_state;
use super::record::{TaskPlace, checkpoint_key, deletion_record};
use super::state_parts::StateParts;
use crate::util::job_settings::StoreSizes;

/// Longest checkpoint that is stored in the state of its job, in bytes.
pub const MAX_INLINE_BYTES: usize = 64;
/// Bytes of checkpoints of running tasks that one batch takes, and one checkpoint in any case. Their workers tell a
/// successor of them.
const MAX_BYTES_PER_BATCH: usize = 131_072;
/// Room in an append for keys and framing of a checkpoint in parts, in bytes.
const FRAMING_ROOM: usize = 16_384;

/// First byte of the stored text, with which no header of parts begins.
const TEXT_MARK: u8 = b'=';

/// A checkpoint that the store may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SavedCheckpoint {
    /// Hash of the text.
    hash: u64,
    /// Number of the batch that wrote it; 0 for one of an earlier holder.
    batch: u64,
}

/// The checkpoints of one job, by task.
type OfJob = BTreeMap<TaskPlace, SavedCheckpoint>;

/// The checkpoints that the store may hold, by the key of their job's state.
#[derive(Debug, Default, PartialEq)]
pub struct SavedCheckpoints {
    by_job: BTreeMap<String, OfJob>,
    /// Number of batches so far.
    batches: u64,
    /// Bytes that this batch still takes of running tasks.
    left: usize,
    /// Whether this batch has a checkpoint of a running task.
    has_some: bool,
}

/// A checkpoint that is to be stored.
struct Wanted<'a> {
    place: TaskPlace,
    task: &'a TaskRecord,
    hash: u64,
    /// Number of the batch that wrote the task's last one.
    last_batch: Option<u64>,
}

impl SavedCheckpoints {
    /// Notes a checkpoint that was read.
    pub fn note_read(&mut self, job: &str, place: TaskPlace, text: &str) {
        let saved = SavedCheckpoint { hash: xxh3_64(text.as_bytes()), batch: 0 };
        self.by_job.entry(job.to_string()).or_default().insert(place, saved);
    }

    /// Begins a batch.
    pub fn begin_batch(&mut self) {
        self.batches += 1;
        self.left = MAX_BYTES_PER_BATCH;
        self.has_some = false;
    }

    /// The records that store those checkpoints of a job that have changed, as [`StateParts::split`] returns them. One that
    /// is larger than the store takes is left out and logged.
    pub fn changed(
        &mut self,
        job: &str,
        state: &JobRecord,
        parts: &mut StateParts,
        sizes: StoreSizes,
    ) -> Vec<Vec<KeyedRecord>> {
        let mut wanted = self.wanted(job, state);
        // Those that were written longest ago come first.
        wanted.sort_by_key(|w| w.last_batch);
        let mut records = Vec::new();
        for Wanted { place, task, hash, .. } in wanted {
            let len = task.checkpoint.len();
            if len + FRAMING_ROOM.min(sizes.append / 2) > sizes.append {
                self.leave_out(job, place, len, hash);
                continue;
            }
            if !task.runs.is_empty() && !self.takes(len) {
                continue;
            }
            let saved = SavedCheckpoint { hash, batch: self.batches };
            self.by_job.entry(job.to_string()).or_default().insert(place, saved);
            let rec = KeyedRecord { key: checkpoint_key(job, place), value: Some(encode(&task.checkpoint)) };
            records.extend(parts.split(rec, sizes, job_state::encode_plain_header));
        }
        records
    }

    /// Checkpoints of a job that the store doesn't hold as they are.
    fn wanted<'a>(&self, job: &str, state: &'a JobRecord) -> Vec<Wanted<'a>> {
        let saved = self.by_job.get(job);
        let mut wanted = Vec::new();
        for (place, task) in tasks_of(state).filter(|(_, task)| is_apart(task)) {
            let known = saved.and_then(|saved| saved.get(&place));
            let hash = xxh3_64(task.checkpoint.as_bytes());
            if known.is_none_or(|known| known.hash != hash) {
                wanted.push(Wanted { place, task, hash, last_batch: known.map(|known| known.batch) });
            }
        }
        wanted
    }

    /// Whether this batch takes so many bytes more of a running task.
    fn takes(&mut self, len: usize) -> bool {
        if self.has_some && len > self.left {
            return false;
        }
        self.left = self.left.saturating_sub(len);
        self.has_some = true;
        true
    }

    /// Notes a checkpoint that no append takes, which is logged once.
    fn leave_out(&mut self, job: &str, place: TaskPlace, len: usize, hash: u64) {
        log::warn!(
            "event=checkpoint_not_stored code={} key={} bytes={len}",
            Code::RecordTooLarge.number(),
            checkpoint_key(job, place)
        );
        let saved = SavedCheckpoint { hash, batch: self.batches };
        self.by_job.entry(job.to_string()).or_default().insert(place, saved);
    }

    /// Deletions of those checkpoints of a job that its state does without.
    pub fn take_unwanted(
        &mut self,
        job: &str,
        state: &JobRecord,
        parts: &mut StateParts,
    ) -> Vec<KeyedRecord> {
        let Some(saved) = self.by_job.get_mut(job) else { return Vec::new() };
        let task = |place: &TaskPlace| {
            let step = state.rounds.get(place.round as usize)?.get(usize::from(place.step))?;
            step.get(place.index as usize)
        };
        let unwanted: BTreeSet<TaskPlace> =
            saved.keys().copied().filter(|place| !task(place).is_some_and(is_apart)).collect();
        saved.retain(|place, _| !unwanted.contains(place));
        if saved.is_empty() {
            self.by_job.remove(job);
        }
        deletions(job, unwanted, parts)
    }

    /// Deletions of all checkpoints of a job.
    pub fn take_all(&mut self, job: &str, parts: &mut StateParts) -> Vec<KeyedRecord> {
        let saved = self.by_job.remove(job).unwrap_or_default();
        deletions(job, saved.into_keys(), parts)
    }

    /// Deletions of the checkpoints of jobs whose state is not stored.
    pub fn take_orphans(
        &mut self,
        is_stored: impl Fn(&str) -> bool,
        parts: &mut StateParts,
    ) -> Vec<KeyedRecord> {
        let orphans: Vec<String> = self.by_job.keys().filter(|job| !is_stored(job)).cloned().collect();
        orphans.iter().flat_map(|job| self.take_all(job, parts)).collect()
    }
}

/// The stored form of a checkpoint.
fn encode(text: &str) -> Bytes {
    std::iter::once(TEXT_MARK).chain(text.bytes()).collect()
}

/// Decodes a checkpoint; `None` if it is not whole.
pub fn decode(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value.strip_prefix(&[TEXT_MARK])?).ok()
}

/// Whether the checkpoint of a task is stored apart.
pub fn is_apart(task: &TaskRecord) -> bool {
    !task.done && task.checkpoint.len() > MAX_INLINE_BYTES
}

/// All tasks of a job, with their places.
fn tasks_of(state: &JobRecord) -> impl Iterator<Item = (TaskPlace, &TaskRecord)> {
    let steps = (0..).zip(&state.rounds).flat_map(|(round, steps)| (0..).zip(steps).map(move |s| (round, s)));
    steps.flat_map(|(round, (step, tasks))| {
        (0..).zip(tasks).map(move |(index, task)| (TaskPlace { round, step, index }, task))
    })
}

/// Deletions of these checkpoints of a job.
fn deletions(
    job: &str,
    places: impl IntoIterator<Item = TaskPlace>,
    parts: &mut StateParts,
) -> Vec<KeyedRecord> {
    let mut deletions = Vec::new();
    for place in places {
        let key = checkpoint_key(job, place);
        let of_parts = parts.replace_parts(&key, 0..0);
        deletions.push(deletion_record(key));
        deletions.extend(of_parts);
    }
    deletions
}
