//! States of jobs that are larger than a record of the store.
//!
//! Such a state is stored in parts. The record under the job's own key then tells how many there are, and a checksum of
//! the whole. All are written by one append, so that they are of one state.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use workswood_core::jobs::{JobRecord, Record};
use workswood_platform::jobs::KeyedRecord;
use xxhash_rust::xxh3::xxh3_64;

use super::job_state::{self, PartsHeader};
use super::record::{deletion_record, state_record};

/// Prefix of the key of a part: the state's own key and the number of the part follow.
const PART_PREFIX: &str = "part-";
/// Separates the state's own key from the number of the part.
const NUMBER_SEPARATOR: char = '+';
/// Room in a record for its key and framing, in bytes.
const KEY_ROOM: usize = 512;

/// How many parts of each state the store may hold, by the state's own key.
#[derive(Debug, Default, PartialEq)]
pub struct StateParts(BTreeMap<String, usize>);

impl StateParts {
    /// The records with which a record of the state is stored, none of which is larger than `max_record_bytes`. Parts
    /// of an earlier state that was larger are deleted.
    pub fn split(&mut self, rec: &Record, max_record_bytes: usize) -> Vec<KeyedRecord> {
        let stored = state_record(rec);
        match rec {
            Record::Job(_, state) => {
                self.split_job(state, stored, max_record_bytes.saturating_sub(KEY_ROOM).max(1))
            }
            Record::DropJob(..) => self.with_deletions(stored, Vec::new()),
            Record::Wave(..)
            | Record::Worker(..)
            | Record::DropWorker(..)
            | Record::EndedIncarnation(..)
            | Record::HostOrderMark(..) => vec![stored],
        }
    }

    fn split_job(&mut self, state: &JobRecord, stored: KeyedRecord, max_bytes: usize) -> Vec<KeyedRecord> {
        let value = stored.value.clone().unwrap_or_default();
        if value.len() <= max_bytes {
            return self.with_deletions(stored, Vec::new());
        }
        let starts = (0..value.len()).step_by(max_bytes);
        let parts: Vec<Bytes> =
            starts.map(|start| value.slice(start..value.len().min(start + max_bytes))).collect();
        let header = PartsHeader { count: parts.len(), checksum: xxh3_64(&value) };
        if self.0.get(&stored.key) != Some(&parts.len()) {
            log::info!("event=state_in_parts key={} bytes={} parts={}", stored.key, value.len(), parts.len());
        }
        let stored = KeyedRecord { value: Some(job_state::encode_header(state, header).into()), ..stored };
        self.with_deletions(stored, parts)
    }

    /// The record under a state's own key, its parts, and deletions of the parts that the store may hold beyond them.
    fn with_deletions(&mut self, stored: KeyedRecord, parts: Vec<Bytes>) -> Vec<KeyedRecord> {
        if parts.is_empty() && !self.0.contains_key(&stored.key) {
            return vec![stored];
        }
        let (key, count) = (stored.key.clone(), parts.len());
        let known = if count > 0 { self.0.insert(key.clone(), count) } else { self.0.remove(&key) };
        let part = |(n, value)| KeyedRecord { key: part_key(&key, n), value: Some(value) };
        let mut records = vec![stored];
        records.extend(parts.into_iter().enumerate().map(part));
        records.extend((count..known.unwrap_or(0)).map(|n| deletion_record(part_key(&key, n))));
        records
    }

    /// Joins the parts of states that were read; returns all other records, and what the store holds. A state whose
    /// parts don't fit is logged.
    pub fn join(records: Vec<KeyedRecord>) -> (Vec<KeyedRecord>, StateParts) {
        let mut parts: BTreeMap<(String, usize), Bytes> = BTreeMap::new();
        let mut others = Vec::new();
        for rec in records {
            match parse_part_key(&rec.key) {
                Some(key) => drop(parts.insert(key, rec.value.unwrap_or_default())),
                None => others.push(rec),
            }
        }
        let mut known = StateParts::default();
        for (key, n) in parts.keys() {
            let count = known.0.entry(key.clone()).or_default();
            *count = (*count).max(n + 1);
        }
        for rec in others.iter_mut().filter(|rec| known.0.contains_key(&rec.key)) {
            join_parts(rec, &parts);
        }
        (others, known)
    }
}

/// Replaces a header by the state that its parts make up. Otherwise the job counts as failed, as the header tells, since
/// its tasks may have run.
fn join_parts(rec: &mut KeyedRecord, parts: &BTreeMap<(String, usize), Bytes>) {
    let Some(header) = rec.value.as_deref().and_then(job_state::decode_header) else { return };
    let mut value = BytesMut::new();
    for part in (0..header.count).filter_map(|n| parts.get(&(rec.key.clone(), n))) {
        value.extend_from_slice(part);
    }
    if xxh3_64(&value) == header.checksum {
        rec.value = Some(value.freeze());
    } else {
        log::error!("event=record_not_read code=203 key={} error=\"parts are missing\"", rec.key);
    }
}

fn part_key(key: &str, n: usize) -> String {
    format!("{PART_PREFIX}{key}{NUMBER_SEPARATOR}{n}")
}

/// The key of the state and the number of a part; `None` for any other key.
fn parse_part_key(key: &str) -> Option<(String, usize)> {
    let (key, n) = key.strip_prefix(PART_PREFIX)?.rsplit_once(NUMBER_SEPARATOR)?;
    Some((key.to_string(), n.parse().ok()?))
}
