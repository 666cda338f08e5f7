//! Idempotency keys of requests that run at most once, and deferred requests.
//!
//! The first claim of a key in the log wins, and only its holder sends the request,
//! once. A claim is rejected if its last moment is before log time, and keys are
//! kept for [`KEY_RETENTION`] after their last moment. A key that is absent within
//! its retention was therefore never claimed, and once log time has passed its last
//! moment it never will be. Clocks need not agree: a wrong clock can cause requests
//! to be refused, but can't run one twice.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{RecordResult, Rejection, State};
use crate::ids::{IdempotencyKey, Incarnation, ServiceId, UnixMs};
use crate::record::{AttemptOutcome, DeferredRequest};

/// How far in the future the last moment of a key may be.
pub const MAX_KEY_WINDOW: Duration = Duration::from_secs(3600);
/// How long a key and its outcome are kept after its last moment.
pub const KEY_RETENTION: Duration = Duration::from_secs(3600);

/// Attempts of a deferred request after which an attempt with an unknown outcome is
/// not repeated: the request may be what crashes the process that runs it.
pub const MAX_ATTEMPTS: u32 = 5;

/// A request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRequest {
    /// Service of the request.
    pub service: ServiceId,
    /// Digest of method, path and body.
    pub digest: u64,
    /// No claim of the key is accepted after this moment. It is raised for a deferred request that
    /// ends after its retention, so that the key expires then and not in the past.
    pub last_moment: UnixMs,
    /// State of the request.
    pub state: KeyState,
    /// Number of attempts started.
    pub attempts: u32,
    /// The request itself when it is deferred.
    pub deferred: Option<DeferredRequest>,
}

/// State of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum KeyState {
    /// Accepted, waiting to be run.
    Waiting,
    /// Its holder is running it, or has not reported the outcome.
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
    /// It may have run, and is not run again.
    Unknown,
}

/// Result of looking up a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyLookup<'a> {
    /// The key is known.
    Known(&'a KeyedRequest),
    /// The key was not claimed, and may be.
    Claimable,
    /// The key was never claimed and never will be.
    NeverRun,
    /// The retention of the key is over, so it is not known whether it was claimed.
    Expired,
}

impl KeyedRequest {
    /// Log time after which the key is removed.
    fn expires_at(&self) -> UnixMs {
        self.last_moment + KEY_RETENTION.as_millis() as UnixMs
    }

    /// Whether an attempt with an unknown outcome may be followed by another one.
    pub fn may_repeat(&self) -> bool {
        self.attempts < MAX_ATTEMPTS && self.deferred.as_ref().is_some_and(|d| d.repeatable)
    }

    /// Whether it is a deferred request that still has to run.
    pub fn is_open(&self) -> bool {
        self.deferred.is_some() && matches!(self.state, KeyState::Waiting | KeyState::Running { .. })
    }
}

impl State {
    /// Looks up a key that a request with this last moment names.
    pub fn lookup(&self, key: &str, last_moment: UnixMs) -> KeyLookup<'_> {
        if let Some(request) = self.keys.get(key) {
            return KeyLookup::Known(request);
        }
        if last_moment >= self.log_time {
            return KeyLookup::Claimable;
        }
        if last_moment + KEY_RETENTION.as_millis() as UnixMs >= self.log_time {
            return KeyLookup::NeverRun;
        }
        KeyLookup::Expired
    }

    /// Claims a key for a holder, or accepts a deferred request.
    pub(super) fn claim_key(
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
        // Only a process on the roster may run a request, because a process that
        // has to be sure that a key is not running asks the whole roster.
        if holder.is_some_and(|h| !self.roster.iter().any(|m| m.id == *h)) {
            return Err(Rejection::Phase);
        }
        let state = match holder {
            Some(h) => KeyState::Running { holder: h.clone() },
            None => KeyState::Waiting,
        };
        let request = KeyedRequest {
            service: service.clone(),
            digest,
            last_moment,
            attempts: u32::from(holder.is_some()),
            state,
            deferred: deferred.cloned(),
        };
        self.expiries.insert((request.expires_at(), key.clone()));
        if request.is_open() {
            self.open_keys.insert(key.clone());
        }
        self.keys.insert(key.clone(), request);
        Ok(())
    }

    /// Starts the next attempt of a deferred request.
    pub(super) fn start_attempt(&mut self, key: &str, holder: &str, attempt: u32) -> RecordResult {
        let request = self.keys.get_mut(key).ok_or(Rejection::Missing)?;
        if request.deferred.is_none() {
            return Err(Rejection::Phase);
        }
        let may_start = match request.state {
            KeyState::Waiting => true,
            KeyState::Running { .. } => request.may_repeat(),
            KeyState::Done { .. } | KeyState::Unknown => false,
        };
        if !may_start || attempt != request.attempts + 1 {
            return Err(Rejection::KeyTaken);
        }
        request.attempts = attempt;
        request.state = KeyState::Running { holder: holder.to_string() };
        Ok(())
    }

    /// Records the outcome of an attempt, reported by its holder.
    pub(super) fn finish_attempt(
        &mut self,
        key: &str,
        holder: &str,
        outcome: &AttemptOutcome,
    ) -> RecordResult {
        let request = self.keys.get_mut(key).ok_or(Rejection::Missing)?;
        let is_holder = matches!(&request.state, KeyState::Running { holder: h } if h == holder);
        if !is_holder {
            return Err(Rejection::Phase);
        }
        let may_repeat = request.may_repeat();
        match outcome {
            AttemptOutcome::Answered { status, body } => {
                request.state = KeyState::Done { status: *status, body: body.clone() };
            }
            AttemptOutcome::NotSent if request.deferred.is_some() => request.state = KeyState::Waiting,
            // Nothing ran, and the caller is told so: the key may be claimed again.
            AttemptOutcome::NotSent => {
                let expiry = (request.expires_at(), key.to_string());
                self.expiries.remove(&expiry);
                self.keys.remove(key);
                return Ok(());
            }
            AttemptOutcome::Unknown if may_repeat => request.state = KeyState::Waiting,
            AttemptOutcome::Unknown => request.state = KeyState::Unknown,
        }
        if !request.is_open() {
            // A request that ended after its retention expires now, and not in the past.
            request.last_moment =
                request.last_moment.max(self.log_time.saturating_sub(KEY_RETENTION.as_millis() as UnixMs));
            let expires_at = request.expires_at();
            self.open_keys.remove(key);
            self.expiries.insert((expires_at, key.to_string()));
        }
        Ok(())
    }

    /// Removes expired keys, except those of deferred requests that still have to run.
    pub(super) fn prune_keys(&mut self) {
        while let Some((at, key)) = self.expiries.first().filter(|(at, _)| *at < self.log_time).cloned() {
            self.expiries.remove(&(at, key.clone()));
            if !self.open_keys.contains(&key) {
                self.keys.remove(&key);
            }
        }
    }

    /// Rebuilds the indexes of keys.
    pub(super) fn rebuild_key_indexes(&mut self) {
        self.expiries = self.keys.iter().map(|(k, r)| (r.expires_at(), k.clone())).collect();
        self.open_keys = self.keys.iter().filter(|(_, r)| r.is_open()).map(|(k, _)| k.clone()).collect();
    }
}
