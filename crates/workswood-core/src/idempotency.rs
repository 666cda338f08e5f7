//! Requests that may not be repeated: when one is sent, and how copies are answered.
//!
//! An entry process handles each copy of a request in these steps. It answers from
//! its state if the key is known there ([`answer_if_known`]). Otherwise it appends a
//! claim to the log, and [`decide_after_claim`] decides by the result of that record;
//! only [`ClaimDecision::Send`] lets it send the request, once. A process that stops
//! waiting for the result never sends the request. Before it answers "not run", it
//! asks all processes that could have claimed the key ([`ClaimInquiry`]). A process
//! that has replied that it does not know a key does not claim it for
//! [`CLAIM_HOLD`], so that the answer is still true when the caller receives it
//! ([`LocalClaims`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::code::{Code, ExecutionStatus};
use crate::fold::{KeyLookup, KeyState, KeyedRequest, RecordResult, Rejection, State};
use crate::ids::{IdempotencyKey, Incarnation, UnixMs};

/// Identity of a request that may not be repeated, as given by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// No copy of the request is started after this moment.
    pub last_moment: UnixMs,
    /// Digest of method, path and body.
    pub digest: u64,
}

/// The answer to a copy of a request that is not sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAnswer {
    /// The request has run, with this outcome.
    Done {
        /// HTTP status.
        status: u16,
        /// Body, base64; none when it was too large to keep.
        body: Option<String>,
    },
    /// The key belongs to another request.
    Conflict,
    /// The request is running or waiting to be run.
    Running,
    /// The request may have run, and is not run again.
    Unknown,
    /// The request never ran, and its last moment has passed.
    NeverRun,
    /// The retention of the key is over, so it is not known whether the request ran.
    Expired,
}

impl KeyAnswer {
    /// The result code; `None` for [`KeyAnswer::Done`].
    pub fn code(&self) -> Option<Code> {
        match self {
            KeyAnswer::Done { .. } => None,
            KeyAnswer::Conflict => Some(Code::KeyConflict),
            KeyAnswer::Running => Some(Code::KeyRunning),
            KeyAnswer::Unknown => Some(Code::KeyUnknownOutcome),
            KeyAnswer::NeverRun | KeyAnswer::Expired => Some(Code::KeyExpired),
        }
    }

    /// Whether the request ran.
    pub fn execution(&self) -> ExecutionStatus {
        match self {
            KeyAnswer::Done { .. } => ExecutionStatus::Run,
            KeyAnswer::NeverRun => ExecutionStatus::NotRun,
            KeyAnswer::Conflict | KeyAnswer::Running | KeyAnswer::Unknown | KeyAnswer::Expired => {
                ExecutionStatus::Unknown
            }
        }
    }
}

/// The answer to a copy of a request according to the state; `None` if the key may be claimed.
pub fn answer_if_known(state: &State, request: &RequestIdentity) -> Option<KeyAnswer> {
    match state.lookup(&request.key, request.last_moment) {
        KeyLookup::Known(known)
            if known.digest != request.digest || known.last_moment != request.last_moment =>
        {
            Some(KeyAnswer::Conflict)
        }
        KeyLookup::Known(known) => Some(answer_for(state, known)),
        KeyLookup::Claimable => None,
        KeyLookup::NeverRun => Some(KeyAnswer::NeverRun),
        KeyLookup::Expired => Some(KeyAnswer::Expired),
    }
}

/// The answer to a copy of a request that is known in the state.
pub fn answer_for(state: &State, known: &KeyedRequest) -> KeyAnswer {
    let on_roster = |id: &str| state.roster.iter().any(|m| m.id == id);
    match &known.state {
        KeyState::Done { status, body } => KeyAnswer::Done { status: *status, body: body.clone() },
        KeyState::Unknown => KeyAnswer::Unknown,
        // A deferred request is taken over by another process when its holder is gone.
        KeyState::Running { holder } if known.deferred.is_none() && !on_roster(holder) => KeyAnswer::Unknown,
        KeyState::Running { .. } | KeyState::Waiting => KeyAnswer::Running,
    }
}

/// What a process does after its claim was folded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim was accepted: this process sends the request, once.
    Send,
    /// The key is taken or expired: the caller gets this answer.
    Answer(KeyAnswer),
    /// This process may not claim the key now; the caller retries later.
    RetryLater,
}

/// Decides what a process does after its own claim was folded into `state` with
/// `result`.
pub fn decide_after_claim(state: &State, request: &RequestIdentity, result: &RecordResult) -> ClaimDecision {
    match result {
        Ok(()) => ClaimDecision::Send,
        Err(Rejection::KeyTaken) => {
            ClaimDecision::Answer(answer_if_known(state, request).unwrap_or(KeyAnswer::Unknown))
        }
        // Log time has passed the last moment, so no later claim can be accepted.
        Err(Rejection::Expired) => {
            ClaimDecision::Answer(answer_if_known(state, request).unwrap_or(KeyAnswer::Expired))
        }
        Err(_) => ClaimDecision::RetryLater,
    }
}

/// Reply of a process that is asked whether a key may have been claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InquiryReply {
    /// Whether the key is claimed, or a claim of it has begun.
    pub known: bool,
    /// Members of the roster in the state of the process and, if it is the planner, of
    /// the roster that it has proposed.
    pub roster: Vec<Incarnation>,
}

/// How long a process does not claim a key after it replied that it does not know it.
pub const CLAIM_HOLD: Duration = Duration::from_secs(2);

/// Keys that this process is claiming, and keys that it may not claim now.
#[derive(Clone, Debug, Default)]
pub struct LocalClaims {
    in_progress: BTreeMap<IdempotencyKey, u32>,
    held_until: BTreeMap<IdempotencyKey, Duration>,
    /// When claims are allowed; `None` while the process is not on the roster.
    claims_allowed_from: Option<Duration>,
}

impl LocalClaims {
    /// Records whether this process is on the roster. A process that joins the roster
    /// makes no claims for [`CLAIM_HOLD`]: an inquiry that began earlier does not
    /// include it, and keys held by its previous incarnation are not known to it.
    pub fn set_on_roster(&mut self, on_roster: bool, now: Duration) {
        match (on_roster, self.claims_allowed_from) {
            (true, None) => self.claims_allowed_from = Some(now + CLAIM_HOLD),
            (true, Some(_)) => {}
            (false, _) => self.claims_allowed_from = None,
        }
    }

    /// Begins a claim of a key. While claims of it are not allowed, returns the earliest
    /// time at which to try again. Times are since the start of the process.
    pub fn begin(&mut self, key: &str, now: Duration) -> Result<(), Duration> {
        let claims_allowed_from = self.claims_allowed_from.unwrap_or(now + CLAIM_HOLD);
        if now < claims_allowed_from {
            return Err(claims_allowed_from);
        }
        self.held_until.retain(|_, until| *until > now);
        if let Some(until) = self.held_until.get(key) {
            return Err(*until);
        }
        *self.in_progress.entry(key.to_string()).or_default() += 1;
        Ok(())
    }

    /// Ends a claim that was begun with [`LocalClaims::begin`].
    pub fn end(&mut self, key: &str) {
        if let Some(n) = self.in_progress.get_mut(key) {
            *n -= 1;
            if *n == 0 {
                self.in_progress.remove(key);
            }
        }
    }

    /// Forbids claims of the key for [`CLAIM_HOLD`] unless one has begun; returns whether
    /// one has.
    pub fn hold_unless_begun(&mut self, key: &str, now: Duration) -> bool {
        let begun = self.in_progress.contains_key(key);
        if !begun {
            self.held_until.insert(key.to_string(), now + CLAIM_HOLD);
        }
        begun
    }
}

/// An inquiry to all processes that could have claimed a key: those on the roster,
/// and those on the rosters that they report.
#[derive(Clone, Debug)]
pub struct ClaimInquiry {
    asked: BTreeSet<Incarnation>,
    remaining: Vec<Incarnation>,
    /// False once a process did not answer or knows the key, and from the start if the
    /// asking process is not on the roster.
    conclusive: bool,
}

impl ClaimInquiry {
    /// An inquiry that begins with the reply of the asking process itself. A process
    /// that is not on the roster that it has folded can't be certain of the result: it
    /// may not have folded the claims of processes that are gone.
    pub fn new(own_id: &str, own: InquiryReply) -> ClaimInquiry {
        let conclusive = own.roster.iter().any(|id| id == own_id);
        let mut inquiry =
            ClaimInquiry { asked: BTreeSet::new(), remaining: vec![own_id.to_string()], conclusive };
        inquiry.record_reply(Some(own));
        inquiry
    }

    /// The process to ask next; `None` when the inquiry is over.
    pub fn next_to_ask(&self) -> Option<&Incarnation> {
        self.remaining.last().filter(|_| self.conclusive)
    }

    /// Records the reply of the process last returned by
    /// [`ClaimInquiry::next_to_ask`]; `None` if it did not answer.
    pub fn record_reply(&mut self, reply: Option<InquiryReply>) {
        let Some(id) = self.remaining.pop() else { return };
        self.asked.insert(id);
        match reply {
            Some(r) if !r.known => {
                self.remaining.extend(r.roster);
                let asked = &self.asked;
                self.remaining.retain(|id| !asked.contains(id));
            }
            _ => self.conclusive = false,
        }
    }

    /// Whether no process can have claimed the key; meaningful once the inquiry is over.
    pub fn never_claimed(&self) -> bool {
        self.conclusive && self.remaining.is_empty()
    }
}
