//! The state of the scheduler as a new lease holder reads it from the store.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use workswood_core::ids::HostId;
use workswood_core::jobs::job::{Checkpoint, StateSlot, WorkerId};
use workswood_core::jobs::{EndedIncarnationRecord, JobKey, JobRecord, WaveRecord, WorkerRecord};
use workswood_platform::jobs::KeyedRecord;

use super::append_calls::StateEncoder;
use super::record::{StateKey, TaskPlace, parse_state_key};
use super::state_parts::StateParts;
use super::{job_state, saved_checkpoints};

/// The stored state.
#[derive(Default)]
pub struct StoredState {
    /// Jobs.
    pub jobs: Vec<(JobKey, JobRecord)>,
    /// Progress of waves, by their numbers.
    pub waves: HashMap<u64, WaveRecord>,
    /// Incarnations of workers.
    pub workers: HashMap<WorkerId, WorkerRecord>,
    /// Incarnations of workers that are over.
    pub ended_incarnations: HashMap<WorkerId, EndedIncarnationRecord>,
    /// Hosts that recently received an order, each with the name of the holder that sent it.
    pub order_marks: Vec<(HostId, String)>,
}

/// The checkpoints that are stored apart, by the key of their job's state.
type Checkpoints = BTreeMap<String, Vec<(TaskPlace, Checkpoint)>>;

/// Reads the state from the records of the store; also returns how further records are to be written. Malformed records
/// are logged and left out.
pub fn read(records: Vec<KeyedRecord>) -> (StoredState, StateEncoder) {
    let (records, parts) = StateParts::join(records);
    let keys: BTreeSet<String> = records.iter().map(|rec| rec.key.clone()).collect();
    let mut encoder = StateEncoder { parts, ..StateEncoder::default() };
    let mut s = StoredState::default();
    let mut checkpoints = Checkpoints::new();
    let mut state_keys: BTreeMap<String, usize> = BTreeMap::new();
    for rec in records {
        let value = rec.value.unwrap_or_default();
        match parse_state_key(&rec.key) {
            Some(StateKey::Job(key, slot)) => match job_state::decode(&value) {
                Ok(state) => {
                    let in_key = key.has_queue() || slot == StateSlot::NumberAndOwner;
                    let owner = state.owner.or(in_key.then_some(key.owner.workspace));
                    state_keys.insert(rec.key, s.jobs.len());
                    s.jobs.push((key, JobRecord { owner, slot, ..state }));
                }
                Err(e) => log::error!("event=record_not_read code=203 key={} error=\"{e}\"", rec.key),
            },
            Some(StateKey::Checkpoint(job, place)) => {
                let text = saved_checkpoints::decode(&value).unwrap_or_else(|| {
                    log::error!("event=record_not_read code=203 key={} error=\"not whole\"", rec.key);
                    ""
                });
                encoder.checkpoints.note_read(&job, place, text);
                checkpoints.entry(job).or_default().push((place, text.into()));
            }
            Some(StateKey::Wave(n)) => {
                if let Some(w) = parse_json(&rec.key, &value) {
                    s.waves.insert(n, w);
                }
            }
            Some(StateKey::Worker(id)) => {
                if let Some(w) = parse_json(&rec.key, &value) {
                    s.workers.insert(id, w);
                }
            }
            Some(StateKey::EndedIncarnation(id)) => {
                if let Some(ended) = parse_json(&rec.key, &value) {
                    s.ended_incarnations.insert(id, ended);
                }
            }
            // Records of the previous version have no name; the mark is then taken for another
            // holder's.
            Some(StateKey::HostOrderMark(host)) => {
                s.order_marks.push((host, serde_json::from_slice(&value).unwrap_or_default()));
            }
            None => log::error!("event=record_not_read code=203 key={}", rec.key),
        }
    }
    for (job, of_job) in checkpoints {
        if let Some(n) = state_keys.get(&job) {
            of_job.into_iter().for_each(|(place, text)| restore_checkpoint(&mut s.jobs[*n].1, place, text));
        }
    }
    let StateEncoder { parts, checkpoints, orphans } = &mut encoder;
    orphans.extend(checkpoints.take_orphans(|job| state_keys.contains_key(job), parts));
    orphans.extend(parts.take_orphans(|key| keys.contains(key)));
    (s, encoder)
}

/// Adds a checkpoint that is stored apart to its task. One in the state itself is of an earlier version, which wrote it
/// later.
fn restore_checkpoint(state: &mut JobRecord, place: TaskPlace, text: Checkpoint) {
    let step = state.rounds.get_mut(place.round as usize).and_then(|r| r.get_mut(usize::from(place.step)));
    let Some(task) = step.and_then(|tasks| tasks.get_mut(place.index as usize)) else { return };
    if !task.done && task.checkpoint.is_empty() {
        task.checkpoint = text;
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    let parsed = serde_json::from_slice(value);
    parsed.inspect_err(|e| log::error!("event=record_not_read code=203 key={key} error=\"{e}\"")).ok()
}
