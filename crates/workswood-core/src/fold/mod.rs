//! The state that every process folds from the log, and the fold itself.
//!
//! [`State::fold`] is the only place where state changes. It reads nothing but
//! the envelope: time is the highest `at` seen so far, so that all processes
//! agree on it. Sub-modules hold one family of records each.

mod apply;
mod hosts;
mod idempotency;
mod instances;
mod jobs;
mod lease;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::fleet::{FleetFile, Job, Maintenance, Pool, Service};
use crate::ids::*;
use crate::invariant;
use crate::record::{Envelope, FORMAT_VERSION, Record, Role, RosterMember};

pub use apply::AppliedFile;
pub use hosts::{HostPhase, ManagedHost};
pub use idempotency::{KEY_GRACE, KeyLookup, KeyState, KeyedRequest, MAX_KEY_WINDOW};
pub use instances::{Availability, BudgetStatus, PlacedInstance};
pub use jobs::{JobPhase, StartedJob};
pub use lease::Lease;
pub use snapshot::{CheckpointAssembler, StateDigest};

/// Why a record was rejected and had no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The term is not the current one.
    Term,
    /// The generation is not the current one.
    Generation,
    /// The phase does not allow the change.
    Phase,
    /// The thing named does not exist.
    Missing,
    /// A budget would be broken.
    Budget(ServiceId),
    /// The key was claimed before.
    KeyTaken,
    /// The last moment has passed in log time.
    Expired,
    /// Another change of the file was accepted first.
    Stale {
        /// Version in force.
        version: u64,
        /// Who applied it.
        author: String,
    },
    /// Something in the file belongs to another file.
    Claimed {
        /// What belongs elsewhere.
        what: String,
        /// The file it belongs to.
        file: FileId,
    },
    /// The record's kind or format is not known.
    Unknown,
    /// The envelope was folded before, or one after it.
    Repeated,
}

impl Rejection {
    /// The code that an operator or caller is shown.
    pub fn code(&self) -> Code {
        match self {
            Rejection::Stale { .. } => Code::StaleBase,
            Rejection::Claimed { .. } => Code::ClaimedElsewhere,
            Rejection::KeyTaken => Code::KeyConflict,
            Rejection::Expired => Code::KeyExpired,
            _ => Code::ApplyNotTaken,
        }
    }
}

/// Outcome of one record: accepted, or rejected with a reason.
pub type RecordResult = Result<(), Rejection>;

/// The state of the whole system at one offset.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next envelope to fold.
    #[serde(rename = "next")]
    pub next_offset: Offset,
    /// Log time: the highest `at` folded.
    #[serde(rename = "time")]
    pub log_time: UnixMs,
    /// Files in force.
    pub files: BTreeMap<FileId, AppliedFile>,
    /// Roles and the leases on them.
    pub leases: BTreeMap<Role, Lease>,
    /// Processes that share slots.
    pub roster: Vec<RosterMember>,
    /// Grows with each change of the roster.
    pub roster_generation: u64,
    /// Hosts that files claim, or that are being given up.
    pub hosts: BTreeMap<HostId, ManagedHost>,
    /// Instances that are placed.
    pub instances: BTreeMap<InstanceId, PlacedInstance>,
    /// Keys within their window, and open deferred requests.
    pub keys: BTreeMap<IdempotencyKey, KeyedRequest>,
    /// Jobs that were started or have ended.
    pub jobs: BTreeMap<JobId, StartedJob>,
    /// Highest `seq` folded of each process, and log time then.
    pub senders: BTreeMap<Incarnation, (u64, UnixMs)>,
    /// Records of unknown kind or format.
    #[serde(rename = "unknown")]
    pub unknown_records: u64,
    /// Hosts moved between pools so far.
    pub host_moves: u64,
    /// Instances moved between hosts so far.
    pub instance_moves: u64,
    /// Digests at recent marks; not part of the digest itself.
    #[serde(skip)]
    pub marks: Vec<StateDigest>,
    /// Instances by host, derived from `instances`.
    #[serde(skip)]
    pub by_host: BTreeMap<HostId, Vec<InstanceId>>,
    /// Where each service in force is declared, derived from `files`.
    #[serde(skip)]
    pub by_service: BTreeMap<ServiceId, (FileId, usize)>,
    /// Keys by the time they are forgotten, derived from `keys`.
    #[serde(skip)]
    pub expiries: BTreeSet<(UnixMs, IdempotencyKey)>,
    /// Deferred requests that still have to run, derived from `keys`.
    #[serde(skip)]
    pub open_keys: BTreeSet<IdempotencyKey>,
}

/// How long a process may be silent in the log before its `seq` is dropped.
/// Must exceed the longest time that the platform may hold back an append.
const SENDER_MEMORY_MS: UnixMs = 24 * 3600 * 1000;

impl State {
    /// Folds the envelope at `offset`; returns one verdict a record.
    pub fn fold(&mut self, offset: Offset, env: &Envelope) -> Vec<RecordResult> {
        let in_order = invariant::check(offset >= self.next_offset, || {
            format!("offset {offset} folded again, next is {}", self.next_offset)
        });
        if !in_order {
            return vec![Err(Rejection::Repeated); env.records.len()];
        }
        self.next_offset = offset + 1;
        if env.format_version != FORMAT_VERSION {
            self.unknown_records += 1;
            return vec![Err(Rejection::Unknown); env.records.len()];
        }
        let last = self.senders.get(&env.sender).map_or(0, |s| s.0);
        if env.seq <= last {
            return vec![Err(Rejection::Repeated); env.records.len()];
        }
        self.log_time = self.log_time.max(env.written_at);
        self.senders.insert(env.sender.clone(), (env.seq, self.log_time));
        self.prune();
        let results: Vec<RecordResult> =
            env.records.iter().map(|r| self.fold_record(env, offset, r)).collect();
        // The mark is of the state after the whole envelope, wherever it stands.
        let has_marker =
            env.records.iter().zip(&results).any(|(r, v)| matches!(r, Record::Mark { .. }) && v.is_ok());
        if has_marker {
            self.record_digest(offset);
        }
        results
    }

    /// Passes over an envelope that can't be read.
    pub fn skip(&mut self, offset: Offset) {
        self.next_offset = offset + 1;
        self.unknown_records += 1;
    }

    fn fold_record(&mut self, env: &Envelope, offset: Offset, record: &Record) -> RecordResult {
        match record {
            Record::Apply { id, base, author, file } => self.apply(offset, id, *base, author, file),
            Record::Take { role, holder, term, seen_renewals: seen } => {
                self.take(*role, holder, *term, *seen)
            }
            Record::Renew { role, term } => self.renew(*role, *term, &env.sender),
            Record::GiveUp { role, term } => self.give_up(*role, *term, &env.sender),
            Record::Roster { term, members } => self.set_roster(*term, members),
            Record::Host { term, host, generation, change } => {
                self.change_host(*term, host, *generation, change)
            }
            Record::Instance { term, instance, change } => self.change_instance(*term, instance, change),
            Record::Claim { key, service, digest, holder, last_moment, deferred } => {
                self.claim(key, service, *digest, holder.as_ref(), *last_moment, deferred.as_ref())
            }
            Record::Start { key, holder, attempt } => self.start(key, holder, *attempt),
            Record::Finish { key, holder, outcome } => self.finish(key, holder, outcome),
            Record::Job { term, job, change } => self.change_job(*term, job, change),
            Record::Mark { term } => self.holds(Role::Checkpointer, *term),
            Record::Checkpoint { marker_offset: upto, digest, .. } => self.check_digest(*upto, *digest),
            Record::Unknown(_) => {
                self.unknown_records += 1;
                Err(Rejection::Unknown)
            }
        }
    }

    /// Builds everything that is derived from other fields anew.
    fn rebuild_indexes(&mut self) {
        self.rebuild_service_index();
        self.rebuild_host_index();
        self.rebuild_key_indexes();
    }

    fn prune(&mut self) {
        self.prune_keys();
        let floor = self.log_time.saturating_sub(SENDER_MEMORY_MS);
        if self.senders.len() > 64 {
            self.senders.retain(|_, (_, at)| *at >= floor);
        }
    }

    /// Every pool in force.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.files.values().flat_map(|f| &f.file.pools)
    }

    /// Every service in force.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.files.values().flat_map(|f| &f.file.services)
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let (file, i) = self.by_service.get(name)?;
        self.files.get(file)?.file.services.get(*i)
    }

    /// All maintenance in force.
    pub fn maintenance(&self) -> impl Iterator<Item = &Maintenance> {
        self.files.values().flat_map(|f| &f.file.maintenance)
    }

    /// All jobs in force.
    pub fn declared_jobs(&self) -> impl Iterator<Item = &Job> {
        self.files.values().flat_map(|f| &f.file.jobs)
    }

    /// All files in force.
    pub fn fleet_files(&self) -> impl Iterator<Item = &FleetFile> {
        self.files.values().map(|f| &f.file)
    }
}
