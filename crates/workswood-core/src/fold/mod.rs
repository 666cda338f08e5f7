//! The state that every process derives from the log, and the fold that derives it.
//!
//! To fold an envelope is to apply its records to the state, with [`State::fold`].
//! The result depends only on the state and the envelope: time is the highest
//! [`Envelope::written_at`] folded so far, so that all processes agree on it. Each
//! submodule handles one kind of record.

mod checkpoint;
mod declared_jobs;
mod files;
mod hosts;
mod idempotency;
mod instances;
mod lease;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::fleet::{FleetFile, Job, Maintenance, Pool, Service};
use crate::ids::*;
use crate::invariant;
use crate::record::{Envelope, FORMAT_VERSION, Record, Role, RosterMember};

pub use checkpoint::{CheckpointAssembler, StateDigest};
pub use declared_jobs::{DeclaredJobState, JobPhase};
pub use files::AppliedFile;
pub use hosts::{HostPhase, ManagedHost};
pub use idempotency::{KEY_RETENTION, KeyLookup, KeyState, KeyedRequest, MAX_KEY_WINDOW};
pub use instances::{Availability, BudgetStatus, PlacedInstance};
pub use lease::Lease;

/// Why a record was rejected and had no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The term is not the current one of the role, or its holder has renewed since.
    Term,
    /// The generation is not the current one of the host.
    Generation,
    /// The state of the host, instance, job or key does not allow the change, or the holder of a
    /// claim is not on the roster.
    Phase,
    /// A host, instance, pool, job or key that the record names does not exist.
    Missing,
    /// The availability budget of this service would be broken.
    Budget(ServiceId),
    /// The key was claimed before, or the attempt may not start.
    KeyTaken,
    /// The key's last moment has passed in log time.
    Expired,
    /// Another change of the file was accepted first.
    Stale {
        /// Version in force.
        version: u64,
        /// Who applied it.
        author: String,
    },
    /// A host or name in the file belongs to another file.
    Claimed {
        /// The host or name, for example ``host `a` ``.
        what: String,
        /// The file it belongs to.
        file: FileId,
    },
    /// The kind or format of the record is not known, or it is a checkpoint that
    /// differs from the state.
    Unknown,
    /// The envelope, or a later one of its sender, was folded before.
    Repeated,
}

impl Rejection {
    /// The result code that an operator or a caller is shown.
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
    /// Log time: the highest [`Envelope::written_at`] folded.
    #[serde(rename = "time")]
    pub log_time: UnixMs,
    /// Fleet files in force.
    pub files: BTreeMap<FileId, AppliedFile>,
    /// Roles and the leases on them.
    pub leases: BTreeMap<Role, Lease>,
    /// Entry processes that share the slots of endpoints.
    pub roster: Vec<RosterMember>,
    /// Number of changes of the roster.
    pub roster_generation: u64,
    /// Hosts that files claim, and released hosts that are still being drained.
    pub hosts: BTreeMap<HostId, ManagedHost>,
    /// Instances that are placed.
    pub instances: BTreeMap<InstanceId, PlacedInstance>,
    /// Idempotency keys that are retained, and open deferred requests.
    pub keys: BTreeMap<IdempotencyKey, KeyedRequest>,
    /// Jobs declared in fleet files for which a change was recorded.
    pub jobs: BTreeMap<JobId, DeclaredJobState>,
    /// Highest `seq` folded from each process, and the log time at that fold.
    pub senders: BTreeMap<Incarnation, (u64, UnixMs)>,
    /// Number of records and envelopes of unknown kind or format.
    #[serde(rename = "unknown")]
    pub unknown_records: u64,
    /// Number of moves of hosts between pools.
    pub host_moves: u64,
    /// Number of removals of instances from hosts.
    #[serde(rename = "instance_moves")]
    pub instance_removals: u64,
    /// Digests of the state at the most recent checkpoint markers; not part of the
    /// digested state.
    #[serde(skip)]
    pub marks: Vec<StateDigest>,
    /// Instances by host, derived from `instances`.
    #[serde(skip)]
    pub by_host: BTreeMap<HostId, Vec<InstanceId>>,
    /// Where each service in force is declared, derived from `files`.
    #[serde(skip)]
    pub by_service: BTreeMap<ServiceId, (FileId, usize)>,
    /// Keys by the log time at which they expire, derived from `keys`.
    #[serde(skip)]
    pub expiries: BTreeSet<(UnixMs, IdempotencyKey)>,
    /// Keys of deferred requests that still have to run, derived from `keys`.
    #[serde(skip)]
    pub open_keys: BTreeSet<IdempotencyKey>,
}

/// How long the highest `seq` of a process is kept after its last envelope. Must
/// exceed the longest time by which the platform may delay an append.
const SENDER_RETENTION_MS: UnixMs = 24 * 3600 * 1000;
/// Senders are pruned only while there are more than this.
const MIN_SENDERS_TO_PRUNE: usize = 64;

impl State {
    /// Folds the envelope at `offset`; returns one result per record.
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
        let last_seq = self.senders.get(&env.sender).map_or(0, |s| s.0);
        if env.seq <= last_seq {
            return vec![Err(Rejection::Repeated); env.records.len()];
        }
        self.log_time = self.log_time.max(env.written_at);
        self.senders.insert(env.sender.clone(), (env.seq, self.log_time));
        self.prune();
        let results: Vec<RecordResult> =
            env.records.iter().map(|r| self.fold_record(env, offset, r)).collect();
        // The digest covers the whole envelope, wherever the marker is in it.
        let has_marker = env
            .records
            .iter()
            .zip(&results)
            .any(|(record, result)| matches!(record, Record::Mark { .. }) && result.is_ok());
        if has_marker {
            self.record_digest(offset);
        }
        results
    }

    /// Skips an envelope that can't be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next_offset = offset + 1;
        self.unknown_records += 1;
    }

    /// Applies one record if its precondition holds.
    fn fold_record(&mut self, env: &Envelope, offset: Offset, record: &Record) -> RecordResult {
        match record {
            Record::Apply { change_id, base, author, file } => {
                self.apply_file(offset, change_id, *base, author, file)
            }
            Record::Take { role, holder, term, seen_renewals } => {
                self.acquire_lease(*role, holder, *term, *seen_renewals)
            }
            Record::Renew { role, term } => self.renew_lease(*role, *term, &env.sender),
            Record::GiveUp { role, term } => self.release_lease(*role, *term, &env.sender),
            Record::Roster { term, members } => self.set_roster(*term, members),
            Record::Host { term, host, generation, change } => {
                self.change_host(*term, host, *generation, change)
            }
            Record::Instance { term, instance, change } => self.change_instance(*term, instance, change),
            Record::Claim { key, service, digest, holder, last_moment, deferred } => {
                self.claim_key(key, service, *digest, holder.as_ref(), *last_moment, deferred.as_ref())
            }
            Record::Start { key, holder, attempt } => self.start_attempt(key, holder, *attempt),
            Record::Finish { key, holder, outcome } => self.finish_attempt(key, holder, outcome),
            Record::Job { term, job, change } => self.change_job(*term, job, change),
            Record::Mark { term } => self.check_term(Role::Checkpointer, *term),
            Record::Checkpoint { marker_offset, digest, .. } => self.check_digest(*marker_offset, *digest),
            Record::Unknown(_) => {
                self.unknown_records += 1;
                Err(Rejection::Unknown)
            }
        }
    }

    /// Rebuilds the fields that are derived from other fields.
    fn rebuild_indexes(&mut self) {
        self.rebuild_service_index();
        self.rebuild_host_index();
        self.rebuild_key_indexes();
    }

    /// Removes expired keys and, once there are many senders, those that have not
    /// written for [`SENDER_RETENTION_MS`].
    fn prune(&mut self) {
        self.prune_keys();
        let oldest = self.log_time.saturating_sub(SENDER_RETENTION_MS);
        if self.senders.len() > MIN_SENDERS_TO_PRUNE {
            self.senders.retain(|_, (_, at)| *at >= oldest);
        }
    }

    /// All pools in force.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.files.values().flat_map(|f| &f.file.pools)
    }

    /// All services in force.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.files.values().flat_map(|f| &f.file.services)
    }

    /// The service in force with this name.
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
