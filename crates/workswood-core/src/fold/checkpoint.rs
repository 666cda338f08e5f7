//! Digests of the state, and checkpoints: how they are written into the log and
//! assembled from it.

use xxhash_rust::xxh3::xxh3_64;

use super::{RecordResult, Rejection, State};
use crate::ids::Offset;
use crate::invariant;
use crate::record::Record;

/// Largest part of the state's text in one checkpoint record, in bytes.
const MAX_PART_BYTES: usize = 128 * 1024;
/// Number of digests kept for comparison with checkpoints.
const DIGESTS_KEPT: usize = 8;

/// Digest of the state after an envelope with a checkpoint marker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDigest {
    /// Offset of the envelope with the marker.
    pub marker_offset: Offset,
    /// Digest of the state's text.
    pub digest: u64,
    /// The state's text; kept for the newest marker only, else empty.
    pub text: String,
}

impl State {
    /// The state as JSON text; equal states have equal texts.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Digest of [`State::text`].
    pub fn digest(&self) -> u64 {
        xxh3_64(self.text().as_bytes())
    }

    /// Parses the text that [`State::text`] returns; `None` if it is not valid.
    pub fn from_text(text: &str) -> Option<State> {
        let mut state: State = serde_json::from_str(text).ok()?;
        state.rebuild_indexes();
        Some(state)
    }

    /// Records the digest of the state, and its text, at a checkpoint marker.
    pub(super) fn record_digest(&mut self, offset: Offset) {
        self.drop_checkpoint_text();
        let text = self.text();
        let digest = xxh3_64(text.as_bytes());
        self.marks.push(StateDigest { marker_offset: offset, digest, text });
        if self.marks.len() > DIGESTS_KEPT {
            self.marks.remove(0);
        }
    }

    /// Frees the text kept for the next checkpoint; called by processes that do not
    /// write checkpoints.
    pub fn drop_checkpoint_text(&mut self) {
        if let Some(last) = self.marks.last_mut() {
            last.text = String::new();
        }
    }

    /// Compares a checkpoint with this process's digest at its marker. A difference means
    /// that two processes folded the same log differently.
    pub(super) fn check_digest(&mut self, marker_offset: Offset, digest: u64) -> RecordResult {
        let Some(own) = self.marks.iter().find(|m| m.marker_offset == marker_offset) else {
            return Ok(());
        };
        let same = invariant::check(own.digest == digest, || {
            format!("checkpoint of offset {marker_offset} differs from the fold of the records")
        });
        if same { Ok(()) } else { Err(Rejection::Unknown) }
    }

    /// The records of a checkpoint of the state at the newest marker; none if its
    /// text was dropped.
    pub fn checkpoint(&self) -> Vec<Record> {
        let Some(newest) = self.marks.last().filter(|m| !m.text.is_empty()) else {
            return Vec::new();
        };
        let parts = split_into_parts(&newest.text);
        let part_count = parts.len() as u32;
        let record = |(i, data): (usize, &str)| Record::Checkpoint {
            marker_offset: newest.marker_offset,
            part: i as u32,
            parts: part_count,
            digest: newest.digest,
            data: data.to_string(),
        };
        parts.into_iter().enumerate().map(record).collect()
    }
}

/// Splits text into parts of at most [`MAX_PART_BYTES`], at character boundaries.
fn split_into_parts(mut text: &str) -> Vec<&str> {
    let mut all = Vec::new();
    while text.len() > MAX_PART_BYTES {
        let (head, tail) = text.split_at(text.floor_char_boundary(MAX_PART_BYTES));
        all.push(head);
        text = tail;
    }
    all.push(text);
    all
}

/// Assembles a checkpoint from its parts while a starting process reads the log.
#[derive(Debug, Default)]
pub struct CheckpointAssembler {
    marker_offset: Offset,
    digest: u64,
    parts: Vec<Option<String>>,
}

impl CheckpointAssembler {
    /// Adds a record; returns the state once all parts of its checkpoint were added.
    /// Parts of another checkpoint replace those of an incomplete one.
    pub fn add(&mut self, record: &Record) -> Option<State> {
        let Record::Checkpoint { marker_offset, part, parts, digest, data } = record else {
            return None;
        };
        if (self.marker_offset, self.digest) != (*marker_offset, *digest)
            || self.parts.len() != *parts as usize
        {
            self.marker_offset = *marker_offset;
            self.digest = *digest;
            self.parts = vec![None; *parts as usize];
        }
        *self.parts.get_mut(*part as usize)? = Some(data.clone());
        let text: String = self.parts.iter().map(|p| p.as_deref()).collect::<Option<Vec<_>>>()?.concat();
        let intact = invariant::check(xxh3_64(text.as_bytes()) == self.digest, || {
            format!("checkpoint of offset {marker_offset} does not match its digest")
        });
        if intact { State::from_text(&text) } else { None }
    }
}
