//! Requests that run at most once, and requests that wait in the log.
//!
//! The first claim of a key in the log wins; only its holder sends, once. A
//! claim counts only while its last moment is not before log time, and keys
//! are kept for [`KEY_GRACE`] after it. So a key that is absent, within the
//! grace, was never claimed; and once log time has passed the last moment it
//! never will be. That needs no agreement of clocks: a wrong clock can refuse
//! requests, but can't run one twice.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{RecordResult, Rejection, State};
use crate::ids::{IdempotencyKey, Incarnation, ServiceId, UnixMs};
use crate::record::{AttemptOutcome, DeferredRequest};

/// How far ahead a last moment may lie.
pub const MAX_KEY_WINDOW: Duration = Duration::from_secs(3600);
/// How long a key and its outcome are kept after its last moment.
pub const KEY_GRACE: Duration = Duration::from_secs(3600);

/// Attempts of a deferred request after which one of unknown end is not followed by another: it may
/// be the request that brings down who runs it, and nobody tells that.
pub const MAX_ATTEMPTS: u32 = 5;

/// A key in its window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRequest {
    /// Service of the request.
    pub service: ServiceId,
    /// Digest of method, path and body.
    pub digest: u64,
    /// After this moment no copy is started.
    pub last_moment: UnixMs,
    /// How far it got.
    pub state: KeyState,
    /// Attempts started.
    pub attempts: u32,
    /// The request itself when it is deferred.
    pub deferred: Option<DeferredRequest>,
}

/// How far a key got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum KeyState {
    /// Accepted, waits to be run.
    Waiting,
    /// Its holder runs it or has not said how it ended.
    Running {
        /// The holder.
        holder: Incarnation,
    },
    /// An endpoint answered.
    Done {
        /// HTTP status.
        status: u16,
        /// Body, base64; none when it was too large to keep.
        body: Option<String>,
    },
    /// It may have run and is not run again.
    Unknown,
}

/// What the fold says of a key that a caller names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyLookup<'a> {
    /// It is known.
    Known(&'a KeyedRequest),
    /// It was not claimed, and may be.
    Open,
    /// It was never claimed and never will be.
    NeverRun,
    /// Its window is too old to tell.
    Forgotten,
}

impl KeyedRequest {
    fn expires(&self) -> UnixMs {
        self.last_moment + KEY_GRACE.as_millis() as UnixMs
    }

    /// Whether an attempt of unknown end may be followed by another.
    pub fn may_repeat(&self) -> bool {
        self.attempts < MAX_ATTEMPTS && self.deferred.as_ref().is_some_and(|d| d.repeatable)
    }

    /// Whether it still has to run.
    pub fn open(&self) -> bool {
        self.deferred.is_some() && matches!(self.state, KeyState::Waiting | KeyState::Running { .. })
    }
}

impl State {
    /// Looks a key up.
    pub fn lookup(&self, key: &str, last_moment: UnixMs) -> KeyLookup<'_> {
        if let Some(rec) = self.keys.get(key) {
            return KeyLookup::Known(rec);
        }
        if last_moment >= self.log_time {
            return KeyLookup::Open;
        }
        if last_moment + KEY_GRACE.as_millis() as UnixMs >= self.log_time {
            return KeyLookup::NeverRun;
        }
        KeyLookup::Forgotten
    }

    pub(super) fn claim(
        &mut self,
        key: &IdempotencyKey,
        service: &ServiceId,
        digest: u64,
        holder: Option<&Incarnation>,
        last_moment: UnixMs,
        deferred: Option<&DeferredRequest>,
    ) -> RecordResult {
        if self.keys.contains_key(key) {
            return Err(Rejection::KeyTaken);
        }
        if last_moment < self.log_time {
            return Err(Rejection::Expired);
        }
        // Only a process on the roster may run: those who must be sure that a
        // key is not running ask all of the roster.
        if holder.is_some_and(|h| !self.roster.iter().any(|m| m.id == *h)) {
            return Err(Rejection::Phase);
        }
        let state = match holder {
            Some(h) => KeyState::Running { holder: h.clone() },
            None => KeyState::Waiting,
        };
        let rec = KeyedRequest {
            service: service.clone(),
            digest,
            last_moment,
            attempts: u32::from(holder.is_some()),
            state,
            deferred: deferred.cloned(),
        };
        self.expiries.insert((rec.expires(), key.clone()));
        if rec.open() {
            self.open_keys.insert(key.clone());
        }
        self.keys.insert(key.clone(), rec);
        Ok(())
    }

    pub(super) fn start(&mut self, key: &str, holder: &str, attempt: u32) -> RecordResult {
        let rec = self.keys.get_mut(key).ok_or(Rejection::Missing)?;
        if rec.deferred.is_none() {
            return Err(Rejection::Phase);
        }
        let free = match rec.state {
            KeyState::Waiting => true,
            KeyState::Running { .. } => rec.may_repeat(),
            KeyState::Done { .. } | KeyState::Unknown => false,
        };
        if !free || attempt != rec.attempts + 1 {
            return Err(Rejection::KeyTaken);
        }
        rec.attempts = attempt;
        rec.state = KeyState::Running { holder: holder.to_string() };
        Ok(())
    }

    pub(super) fn finish(&mut self, key: &str, holder: &str, outcome: &AttemptOutcome) -> RecordResult {
        let rec = self.keys.get_mut(key).ok_or(Rejection::Missing)?;
        let held = matches!(&rec.state, KeyState::Running { holder: h } if h == holder);
        if !held {
            return Err(Rejection::Phase);
        }
        let again = rec.may_repeat();
        match outcome {
            AttemptOutcome::Answered { status, body } => {
                rec.state = KeyState::Done { status: *status, body: body.clone() };
            }
            AttemptOutcome::NotSent if rec.deferred.is_some() => rec.state = KeyState::Waiting,
            // The key is free again: the caller was told that nothing ran.
            AttemptOutcome::NotSent => {
                let gone = (rec.expires(), key.to_string());
                self.expiries.remove(&gone);
                self.keys.remove(key);
                return Ok(());
            }
            AttemptOutcome::Unknown if again => rec.state = KeyState::Waiting,
            AttemptOutcome::Unknown => rec.state = KeyState::Unknown,
        }
        if !rec.open() {
            // One that outlived its grace is kept for one more, for its caller.
            rec.last_moment =
                rec.last_moment.max(self.log_time.saturating_sub(KEY_GRACE.as_millis() as UnixMs));
            let expires = rec.expires();
            self.open_keys.remove(key);
            self.expiries.insert((expires, key.to_string()));
        }
        Ok(())
    }

    /// Forgets keys whose grace is over; an open deferred request stays until
    /// it has run, and is forgotten when it ends after its grace.
    pub(super) fn prune_keys(&mut self) {
        while let Some((at, key)) = self.expiries.first().filter(|(at, _)| *at < self.log_time).cloned() {
            self.expiries.remove(&(at, key.clone()));
            if !self.open_keys.contains(&key) {
                self.keys.remove(&key);
            }
        }
    }

    pub(super) fn rebuild_key_indexes(&mut self) {
        self.expiries = self.keys.iter().map(|(k, r)| (r.expires(), k.clone())).collect();
        self.open_keys = self.keys.iter().filter(|(_, r)| r.open()).map(|(k, _)| k.clone()).collect();
    }
}
