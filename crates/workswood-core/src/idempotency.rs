//! What a request that may not be repeated is told, and when it may be sent.
//!
//! An entry process goes through these steps for each copy of a request:
//! [`answer_if_known`] on its state; else a claim in the log; [`decide_after_claim`] on the
//! verdict. Only [`ClaimDecision::Send`] sends, once. A process that gives up
//! before it knows the verdict never sends. Before it says "not run" it asks
//! all processes that could have claimed the key ([`ClaimInquiry`]). A process that
//! says that it does not know a key claims it only after [`CLAIM_HOLD`], so that the
//! answer still holds when the caller gets it ([`LocalClaims`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::code::{Code, ExecutionStatus};
use crate::fold::{KeyLookup, KeyState, KeyedRequest, RecordResult, Rejection, State};
use crate::ids::{IdempotencyKey, Incarnation, UnixMs};

/// A key as a caller gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// The key.
    pub key: IdempotencyKey,
    /// After this moment no copy is started.
    pub last_moment: UnixMs,
    /// Digest of the request.
    pub digest: u64,
}

/// The answer to a copy of a request that is not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAnswer {
    /// It has run, with this outcome.
    Done {
        /// HTTP status.
        status: u16,
        /// Body, base64; none when it was too large to keep.
        body: Option<String>,
    },
    /// The key is that of another request.
    Conflict,
    /// It runs or waits.
    Running,
    /// It may have run and is not run again.
    Unknown,
    /// It never ran and its last moment has passed.
    NeverRun,
    /// Its last moment passed too long ago to tell.
    Forgotten,
}

impl KeyAnswer {
    /// The numbered code; none for an outcome.
    pub fn code(&self) -> Option<Code> {
        match self {
            KeyAnswer::Done { .. } => None,
            KeyAnswer::Conflict => Some(Code::KeyConflict),
            KeyAnswer::Running => Some(Code::KeyRunning),
            KeyAnswer::Unknown => Some(Code::KeyUnknownOutcome),
            KeyAnswer::NeverRun | KeyAnswer::Forgotten => Some(Code::KeyExpired),
        }
    }

    /// Whether the request ran.
    pub fn execution(&self) -> ExecutionStatus {
        match self {
            KeyAnswer::Done { .. } => ExecutionStatus::Run,
            KeyAnswer::NeverRun => ExecutionStatus::NotRun,
            KeyAnswer::Conflict | KeyAnswer::Running | KeyAnswer::Unknown | KeyAnswer::Forgotten => {
                ExecutionStatus::Unknown
            }
        }
    }
}

/// What the state says of a key; `None` if it may be claimed.
pub fn answer_if_known(state: &State, given: &RequestIdentity) -> Option<KeyAnswer> {
    match state.lookup(&given.key, given.last_moment) {
        KeyLookup::Known(rec) if rec.digest != given.digest || rec.last_moment != given.last_moment => {
            Some(KeyAnswer::Conflict)
        }
        KeyLookup::Known(rec) => Some(answer_for(state, rec)),
        KeyLookup::Claimable => None,
        KeyLookup::NeverRun => Some(KeyAnswer::NeverRun),
        KeyLookup::Expired => Some(KeyAnswer::Forgotten),
    }
}

/// What the state says of a known request.
pub fn answer_for(state: &State, rec: &KeyedRequest) -> KeyAnswer {
    let alive = |id: &str| state.roster.iter().any(|m| m.id == id);
    match &rec.state {
        KeyState::Done { status, body } => KeyAnswer::Done { status: *status, body: body.clone() },
        KeyState::Unknown => KeyAnswer::Unknown,
        // A deferred request goes on elsewhere when its holder is gone.
        KeyState::Running { holder } if rec.deferred.is_none() && !alive(holder) => KeyAnswer::Unknown,
        KeyState::Running { .. } | KeyState::Waiting => KeyAnswer::Running,
    }
}

/// What follows from the verdict on an own claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This process has won and sends, once.
    Send,
    /// The caller is told what the log says.
    Answer(KeyAnswer),
    /// This process may not claim now; the caller comes back.
    RetryLater,
}

/// What follows from the verdict on an own claim, on the state that holds it.
pub fn decide_after_claim(state: &State, given: &RequestIdentity, verdict: &RecordResult) -> ClaimDecision {
    match verdict {
        Ok(()) => ClaimDecision::Send,
        Err(Rejection::KeyTaken) => {
            ClaimDecision::Answer(answer_if_known(state, given).unwrap_or(KeyAnswer::Unknown))
        }
        // Log time has passed the last moment, so no claim can follow.
        Err(Rejection::Expired) => {
            ClaimDecision::Answer(answer_if_known(state, given).unwrap_or(KeyAnswer::Forgotten))
        }
        Err(_) => ClaimDecision::RetryLater,
    }
}

/// What a process says when it is asked about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InquiryReply {
    /// Whether the key is claimed, or a claim of it is on its way.
    pub known: bool,
    /// The roster that the process has folded, and the one that it has proposed
    /// as planner.
    pub roster: Vec<Incarnation>,
}

/// How long a process does not claim a key after it said not to know it.
pub const CLAIM_HOLD: Duration = Duration::from_secs(2);

/// Keys that one process is about to claim, and keys that it must not.
#[derive(Clone, Debug, Default)]
pub struct LocalClaims {
    active: BTreeMap<IdempotencyKey, u32>,
    held: BTreeMap<IdempotencyKey, Duration>,
    claims_from: Option<Duration>,
}

impl LocalClaims {
    /// Notes whether this process is on the roster. One that comes on it makes
    /// no claim for [`CLAIM_HOLD`]: a question that began before does not reach it,
    /// and what its former life has held is forgotten.
    pub fn set_on_roster(&mut self, on: bool, now: Duration) {
        match (on, self.claims_from) {
            (true, None) => self.claims_from = Some(now + CLAIM_HOLD),
            (true, Some(_)) => {}
            (false, _) => self.claims_from = None,
        }
    }

    /// Begins a claim; while the key is held, returns until when. Times are
    /// since the start of the process.
    pub fn begin(&mut self, key: &str, now: Duration) -> Result<(), Duration> {
        let claims_from = self.claims_from.unwrap_or(now + CLAIM_HOLD);
        if now < claims_from {
            return Err(claims_from);
        }
        self.held.retain(|_, until| *until > now);
        if let Some(until) = self.held.get(key) {
            return Err(*until);
        }
        *self.active.entry(key.to_string()).or_default() += 1;
        Ok(())
    }

    /// Ends a claim that was begun.
    pub fn end(&mut self, key: &str) {
        if let Some(n) = self.active.get_mut(key) {
            *n -= 1;
            if *n == 0 {
                self.active.remove(key);
            }
        }
    }

    /// Whether a claim has begun; if not, none begins for [`CLAIM_HOLD`].
    pub fn claim_begun_or_hold(&mut self, key: &str, now: Duration) -> bool {
        let begun = self.active.contains_key(key);
        if !begun {
            self.held.insert(key.to_string(), now + CLAIM_HOLD);
        }
        begun
    }
}

/// The question to all processes that could have claimed a key. The roster is
/// widened by those that the others know of.
#[derive(Clone, Debug)]
pub struct ClaimInquiry {
    asked: BTreeSet<Incarnation>,
    remaining: Vec<Incarnation>,
    certain: bool,
}

impl ClaimInquiry {
    /// A question that begins with what the asking process itself knows. One
    /// that is not on the roster that it has folded can't be certain: it may
    /// not have folded the claims of processes that are gone.
    pub fn new(own_id: &str, own: InquiryReply) -> ClaimInquiry {
        let certain = own.roster.iter().any(|id| id == own_id);
        let mut i = ClaimInquiry { asked: BTreeSet::new(), remaining: vec![own_id.to_string()], certain };
        i.record_reply(Some(own));
        i
    }

    /// The process to ask next.
    pub fn next_to_ask(&self) -> Option<&Incarnation> {
        self.remaining.last().filter(|_| self.certain)
    }

    /// Takes in what the process just asked has said; `None` for no answer.
    pub fn record_reply(&mut self, reply: Option<InquiryReply>) {
        let Some(id) = self.remaining.pop() else { return };
        self.asked.insert(id);
        match reply {
            Some(r) if !r.known => {
                self.remaining.extend(r.roster);
                let asked = &self.asked;
                self.remaining.retain(|id| !asked.contains(id));
            }
            _ => self.certain = false,
        }
    }

    /// Whether nobody can have claimed the key; meaningful when nobody is left
    /// to ask.
    pub fn never_claimed(&self) -> bool {
        self.certain && self.remaining.is_empty()
    }
}
