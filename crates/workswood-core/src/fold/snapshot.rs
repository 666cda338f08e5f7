//! Digests, checkpoints and their assembly.

use xxhash_rust::xxh3::xxh3_64;

use super::{RecordResult, Rejection, State};
use crate::ids::Offset;
use crate::invariant;
use crate::record::Record;

/// Bytes of state text in one checkpoint record.
const MAX_PART_BYTES: usize = 128 * 1024;
/// How many marks are remembered.
const DIGESTS_KEPT: usize = 8;

/// Digest of the state after the envelope at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDigest {
    /// Offset of the envelope that holds the mark.
    pub marker_offset: Offset,
    /// Digest of the state's text.
    pub digest: u64,
    /// The state's text, kept for the newest mark only.
    pub text: String,
}

impl State {
    /// The state as text; equal states have equal texts.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Digest of [`State::text`].
    pub fn digest(&self) -> u64 {
        xxh3_64(self.text().as_bytes())
    }

    /// Reads the text form.
    pub fn from_text(text: &str) -> Option<State> {
        let mut state: State = serde_json::from_str(text).ok()?;
        state.rebuild_indexes();
        Some(state)
    }

    pub(super) fn record_digest(&mut self, offset: Offset) {
        self.drop_checkpoint_text();
        let text = self.text();
        let digest = xxh3_64(text.as_bytes());
        self.marks.push(StateDigest { marker_offset: offset, digest, text });
        if self.marks.len() > DIGESTS_KEPT {
            self.marks.remove(0);
        }
    }

    /// Frees the text of the newest mark; processes without the duty call it.
    pub fn drop_checkpoint_text(&mut self) {
        if let Some(last) = self.marks.last_mut() {
            last.text = String::new();
        }
    }

    /// A checkpoint of other records than ours means that the fold differs.
    pub(super) fn check_digest(&mut self, upto: Offset, digest: u64) -> RecordResult {
        let Some(mark) = self.marks.iter().find(|m| m.marker_offset == upto) else {
            return Ok(());
        };
        let same = invariant::check(mark.digest == digest, || {
            format!("checkpoint of offset {upto} differs from the fold of the records")
        });
        if same { Ok(()) } else { Err(Rejection::Unknown) }
    }

    /// The records of a checkpoint of the state at the newest mark.
    pub fn checkpoint(&self) -> Vec<Record> {
        let Some(mark) = self.marks.last().filter(|m| !m.text.is_empty()) else {
            return Vec::new();
        };
        let chunks = split_into_parts(&mark.text);
        let parts = chunks.len() as u32;
        let part = |(i, data): (usize, &str)| Record::Checkpoint {
            marker_offset: mark.marker_offset,
            part: i as u32,
            parts,
            digest: mark.digest,
            data: data.to_string(),
        };
        chunks.into_iter().enumerate().map(part).collect()
    }
}

/// Cuts text into pieces of about [`MAX_PART_BYTES`], at character boundaries.
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

/// Collects the parts of checkpoints while a starting process reads the log.
#[derive(Debug, Default)]
pub struct CheckpointAssembler {
    marker_offset: Offset,
    digest: u64,
    parts: Vec<Option<String>>,
}

impl CheckpointAssembler {
    /// Takes a record in; returns the state when its checkpoint is whole.
    pub fn add(&mut self, record: &Record) -> Option<State> {
        let Record::Checkpoint { marker_offset: upto, part, parts, digest, data } = record else {
            return None;
        };
        if (self.marker_offset, self.digest) != (*upto, *digest) || self.parts.len() != *parts as usize {
            self.marker_offset = *upto;
            self.digest = *digest;
            self.parts = vec![None; *parts as usize];
        }
        *self.parts.get_mut(*part as usize)? = Some(data.clone());
        let text: String = self.parts.iter().map(|p| p.as_deref()).collect::<Option<Vec<_>>>()?.concat();
        let whole = invariant::check(xxh3_64(text.as_bytes()) == self.digest, || {
            format!("checkpoint of offset {upto} does not match its digest")
        });
        if whole { State::from_text(&text) } else { None }
    }
}
