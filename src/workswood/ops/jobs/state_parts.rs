//! Records of the state that are larger than a record of the store.
//!
//! Such a record is stored in parts. The record under its own key then is a header: it tells which parts are in force,
//! and a checksum of the whole. Where one append takes all of them, the parts in force are replaced. Otherwise the new
//! parts get numbers that aren't in force and come first, and the header follows: whoever reads only some of the appends
//! finds the former record whole.

use std::collections::BTreeMap;
use std::ops::Range;

use bytes::{Bytes, BytesMut};
use workswood_platform::jobs::KeyedRecord;
use xxhash_rust::xxh3::xxh3_64;

use super::job_state::{self, PartsHeader};
use super::record::deletion_record;
use crate::util::job_settings::StoreSizes;

/// Prefix of the key of a part: the record's own key and the number of the part follow.
const PART_PREFIX: &str = "part-";
/// Separates the record's own key from the number of the part.
const NUMBER_SEPARATOR: char = '+';
/// Room in a record for its key and framing, in bytes.
const KEY_ROOM: usize = 512;

/// The parts of one record that the store may hold.
#[derive(Clone, Debug, Default, PartialEq)]
struct HeldParts {
    /// Numbers of the parts in force.
    in_force: Range<usize>,
    /// All parts have lower numbers.
    end: usize,
}

impl HeldParts {
    /// Numbers for so many new parts that are not in force.
    fn free_numbers(&self, count: usize) -> Range<usize> {
        let first = if count <= self.in_force.start { 0 } else { self.in_force.end };
        first..first + count
    }
}

/// The parts that the store may hold, by the record's own key.
#[derive(Debug, Default, PartialEq)]
pub struct StateParts(BTreeMap<String, HeldParts>);

impl StateParts {
    /// The records with which a record is stored, none of which is larger than the store takes. Each list has to be stored
    /// as a whole, and they in their order. Parts of an earlier record that was larger are deleted. `header` encodes what
    /// is stored under the record's own key if it is stored in parts.
    pub fn split(
        &mut self,
        rec: KeyedRecord,
        sizes: StoreSizes,
        header: impl FnOnce(PartsHeader) -> Vec<u8>,
    ) -> Vec<Vec<KeyedRecord>> {
        let max_bytes = sizes.record.saturating_sub(KEY_ROOM).max(1);
        let value = rec.value.clone().unwrap_or_default();
        if value.len() <= max_bytes {
            let deletions = self.replace_parts(&rec.key, 0..0);
            return vec![std::iter::once(rec).chain(deletions).collect()];
        }
        let starts = (0..value.len()).step_by(max_bytes);
        let pieces: Vec<Bytes> =
            starts.map(|start| value.slice(start..value.len().min(start + max_bytes))).collect();
        let fits = value.len() + (pieces.len() + 1) * KEY_ROOM <= sizes.append;
        let held = self.0.get(&rec.key).cloned().unwrap_or_default();
        let numbers = if fits { 0..pieces.len() } else { held.free_numbers(pieces.len()) };
        if held.in_force.len() != numbers.len() {
            log::info!("event=state_in_parts key={} bytes={} parts={}", rec.key, value.len(), numbers.len());
        }
        let named = PartsHeader { first: numbers.start, count: numbers.len(), checksum: xxh3_64(&value) };
        let header = KeyedRecord { key: rec.key.clone(), value: Some(header(named).into()) };
        let part = |(n, value)| KeyedRecord { key: part_key(&rec.key, n), value: Some(value) };
        let parts: Vec<KeyedRecord> = numbers.clone().zip(pieces).map(part).collect();
        let deletions = self.replace_parts(&rec.key, numbers);
        if fits {
            return vec![std::iter::once(header).chain(parts).chain(deletions).collect()];
        }
        let last = std::iter::once(header).chain(deletions).collect();
        parts.into_iter().map(|part| vec![part]).chain([last]).collect()
    }

    /// Notes which parts are in force from now on; returns the deletions of all others.
    pub(super) fn replace_parts(&mut self, key: &str, numbers: Range<usize>) -> Vec<KeyedRecord> {
        let held = match numbers.is_empty() {
            true => self.0.remove(key),
            false => {
                let now = HeldParts { in_force: numbers.clone(), end: numbers.end };
                self.0.insert(key.to_string(), now)
            }
        };
        let others = (0..held.map_or(0, |held| held.end)).filter(|n| !numbers.contains(n));
        others.map(|n| deletion_record(part_key(key, n))).collect()
    }

    /// Joins the parts of records that were read; returns all other records, and what the store holds. A record whose
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
            let held = known.0.entry(key.clone()).or_default();
            held.end = held.end.max(n + 1);
        }
        for rec in &mut others {
            let Some(held) = known.0.get_mut(&rec.key) else { continue };
            let Some(header) = rec.value.as_deref().and_then(job_state::decode_header) else { continue };
            held.in_force = header.first..header.first + header.count;
            held.end = held.end.max(held.in_force.end);
            join_parts(rec, &header, &parts);
        }
        (others, known)
    }

    /// Deletions of the parts whose own records are not among these keys. They remain where an earlier version has
    /// deleted the record.
    pub fn take_orphans(&mut self, is_stored: impl Fn(&str) -> bool) -> Vec<KeyedRecord> {
        let orphans: Vec<String> = self.0.keys().filter(|key| !is_stored(key)).cloned().collect();
        orphans.iter().flat_map(|key| self.replace_parts(key, 0..0)).collect()
    }
}

/// Replaces a header by the record that its parts make up. Otherwise a job counts as failed, as the header tells, since its
/// tasks may have run.
fn join_parts(rec: &mut KeyedRecord, header: &PartsHeader, parts: &BTreeMap<(String, usize), Bytes>) {
    let mut value = BytesMut::new();
    let numbers = header.first..header.first + header.count;
    for part in numbers.filter_map(|n| parts.get(&(rec.key.clone(), n))) {
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

/// The key of the record and the number of a part; `None` for any other key.
fn parse_part_key(key: &str) -> Option<(String, usize)> {
    let (key, n) = key.strip_prefix(PART_PREFIX)?.rsplit_once(NUMBER_SEPARATOR)?;
    Some((key.to_string(), n.parse().ok()?))
}
