//! What a request that may not be repeated is told, and when it may be sent.
//!
//! An entry process goes through these steps for each copy of a request:
//! [`known`] on its state; else a claim in the log; [`after_claim`] on the
//! verdict. Only [`AfterClaim::Run`] sends, once. A process that gives up
//! before it knows the verdict never sends. Before it says "not run" it asks
//! all processes that could have claimed the key ([`Inquiry`]). A process that
//! says that it does not know a key claims it only after [`HOLD`], so that the
//! answer still holds when the caller gets it ([`Claims`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::code::{Code, Ran};
use crate::fold::{KeyState, KeyedRequest, Lookup, RecordResult, Rejection, State};
use crate::ids::{Incarnation, RequestKey, UnixMs};

/// A key as a caller gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Given {
    /// The key.
    pub key: RequestKey,
    /// After this moment no copy is started.
    pub last_moment: UnixMs,
    /// Digest of the request.
    pub digest: u64,
}

/// The answer to a copy of a request that is not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
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

impl Told {
    /// The numbered code; none for an outcome.
    pub fn code(&self) -> Option<Code> {
        match self {
            Told::Done { .. } => None,
            Told::Conflict => Some(Code::KeyConflict),
            Told::Running => Some(Code::KeyRunning),
            Told::Unknown => Some(Code::KeyUnknownOutcome),
            Told::NeverRun | Told::Forgotten => Some(Code::KeyExpired),
        }
    }

    /// Whether the request ran.
    pub fn ran(&self) -> Ran {
        match self {
            Told::Done { .. } => Ran::Run,
            Told::NeverRun => Ran::NotRun,
            Told::Conflict | Told::Running | Told::Unknown | Told::Forgotten => Ran::Unknown,
        }
    }
}

/// What the state says of a key; `None` if it may be claimed.
pub fn known(state: &State, given: &Given) -> Option<Told> {
    match state.lookup(&given.key, given.last_moment) {
        Lookup::Known(rec) if rec.digest != given.digest || rec.last_moment != given.last_moment => {
            Some(Told::Conflict)
        }
        Lookup::Known(rec) => Some(told(state, rec)),
        Lookup::Open => None,
        Lookup::NeverRun => Some(Told::NeverRun),
        Lookup::Forgotten => Some(Told::Forgotten),
    }
}

/// What the state says of a known request.
pub fn told(state: &State, rec: &KeyedRequest) -> Told {
    let alive = |id: &str| state.roster.iter().any(|m| m.id == id);
    match &rec.state {
        KeyState::Done { status, body } => Told::Done { status: *status, body: body.clone() },
        KeyState::Unknown => Told::Unknown,
        // A deferred request goes on elsewhere when its holder is gone.
        KeyState::Running { holder } if rec.deferred.is_none() && !alive(holder) => Told::Unknown,
        KeyState::Running { .. } | KeyState::Waiting => Told::Running,
    }
}

/// What follows from the verdict on an own claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterClaim {
    /// This process has won and sends, once.
    Run,
    /// The caller is told what the log says.
    Tell(Told),
    /// This process may not claim now; the caller comes back.
    NotNow,
}

/// What follows from the verdict on an own claim, on the state that holds it.
pub fn after_claim(state: &State, given: &Given, verdict: &RecordResult) -> AfterClaim {
    match verdict {
        Ok(()) => AfterClaim::Run,
        Err(Rejection::KeyTaken) => AfterClaim::Tell(known(state, given).unwrap_or(Told::Unknown)),
        // Log time has passed the last moment, so no claim can follow.
        Err(Rejection::Expired) => AfterClaim::Tell(known(state, given).unwrap_or(Told::Forgotten)),
        Err(_) => AfterClaim::NotNow,
    }
}

/// What a process says when it is asked about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whether the key is claimed, or a claim of it is on its way.
    pub known: bool,
    /// The roster that the process has folded, and the one that it has proposed
    /// as planner.
    pub roster: Vec<Incarnation>,
}

/// How long a process does not claim a key after it said not to know it.
pub const HOLD: Duration = Duration::from_secs(2);

/// Keys that one process is about to claim, and keys that it must not.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    active: BTreeMap<RequestKey, u32>,
    held: BTreeMap<RequestKey, Duration>,
    open_from: Option<Duration>,
}

impl Claims {
    /// Notes whether this process is on the roster. One that comes on it makes
    /// no claim for [`HOLD`]: a question that began before does not reach it,
    /// and what its former life has held is forgotten.
    pub fn on_roster(&mut self, on: bool, now: Duration) {
        match (on, self.open_from) {
            (true, None) => self.open_from = Some(now + HOLD),
            (true, Some(_)) => {}
            (false, _) => self.open_from = None,
        }
    }

    /// Begins a claim; while the key is held, returns until when. Times are
    /// since the start of the process.
    pub fn begin(&mut self, key: &str, now: Duration) -> Result<(), Duration> {
        let open_from = self.open_from.unwrap_or(now + HOLD);
        if now < open_from {
            return Err(open_from);
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

    /// Whether a claim has begun; if not, none begins for [`HOLD`].
    pub fn begun_or_hold(&mut self, key: &str, now: Duration) -> bool {
        let begun = self.active.contains_key(key);
        if !begun {
            self.held.insert(key.to_string(), now + HOLD);
        }
        begun
    }
}

/// The question to all processes that could have claimed a key. The roster is
/// widened by those that the others know of.
#[derive(Clone, Debug)]
pub struct Inquiry {
    asked: BTreeSet<Incarnation>,
    left: Vec<Incarnation>,
    certain: bool,
}

impl Inquiry {
    /// A question that begins with what the asking process itself knows. One
    /// that is not on the roster that it has folded can't be certain: it may
    /// not have folded the claims of processes that are gone.
    pub fn new(me: &str, own: Reply) -> Inquiry {
        let certain = own.roster.iter().any(|id| id == me);
        let mut i = Inquiry { asked: BTreeSet::new(), left: vec![me.to_string()], certain };
        i.heard(Some(own));
        i
    }

    /// The process to ask next.
    pub fn ask(&self) -> Option<&Incarnation> {
        self.left.last().filter(|_| self.certain)
    }

    /// Takes in what the process just asked has said; `None` for no answer.
    pub fn heard(&mut self, reply: Option<Reply>) {
        let Some(id) = self.left.pop() else { return };
        self.asked.insert(id);
        match reply {
            Some(r) if !r.known => {
                self.left.extend(r.roster);
                let asked = &self.asked;
                self.left.retain(|id| !asked.contains(id));
            }
            _ => self.certain = false,
        }
    }

    /// Whether nobody can have claimed the key; meaningful when nobody is left
    /// to ask.
    pub fn never_claimed(&self) -> bool {
        self.certain && self.left.is_empty()
    }
}
