//! What is known of one worker: its room, its lease and its health.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::crash::Lost;
use super::job::WorkerId;
use super::spec::{Resources, StepId, StepSpec, TaskId};
use super::stable_map::StableMap;
use super::trials::Quarantine;
use super::workspace_usage::{Reservation, UsageChange};
use crate::ids::{DataCentre, HostId, ServiceId};

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// This life of it.
    pub id: WorkerId,
    /// The service whose pool it stands in.
    pub service: ServiceId,
    /// IP address and port of its listener.
    pub address: String,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Host that it is a life of; empty if it does not say.
    pub host: HostId,
    /// Its whole room.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Where a life of a worker is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    /// This life of it.
    pub id: WorkerId,
    /// IP address and port of its listener.
    pub address: String,
    /// Where it stands.
    pub data_centre: DataCentre,
}

/// The stored form of a worker: how its life can be asked after.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// IP address and port of its listener.
    pub address: String,
    /// The service whose pool it stood in.
    pub service: ServiceId,
    /// Host that it is a life of.
    #[serde(rename = "machine")]
    pub host: HostId,
    /// Where it stands; empty in records of versions before this one.
    #[serde(default)]
    pub data_centre: DataCentre,
}

impl WorkerInfo {
    /// Where it is reached.
    pub fn reached_at(&self) -> WorkerAddress {
        WorkerAddress {
            id: self.id.clone(),
            address: self.address.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// The stored form.
    pub fn record(&self) -> WorkerRecord {
        WorkerRecord {
            address: self.address.clone(),
            service: self.service.clone(),
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// What a record tells; room and labels are those of no worker, so that
    /// nothing is placed before the worker is listed.
    pub fn restore(id: WorkerId, rec: WorkerRecord) -> WorkerInfo {
        WorkerInfo {
            id,
            service: rec.service,
            address: rec.address,
            data_centre: rec.data_centre,
            host: rec.host,
            capacity: Resources::default(),
            labels: Vec::new(),
            draining: false,
        }
    }
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the try.
    pub attempt: u32,
    /// Latest checkpoint.
    pub checkpoint: String,
    /// Share of the work done, or of the warm-up of a lasting task.
    pub percent: u32,
    /// Slow answers in ms of a task that serves; else processor use.
    pub figure: u64,
    /// How long its progress has stood still; zero for a lasting task past its warm-up.
    pub still: Duration,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// We stopped it.
    Stopped,
    /// The lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEnd {
    /// Number of the end within the worker's life; rises from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the try.
    pub attempt: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Latest checkpoint.
    pub checkpoint: String,
}

/// What a worker answers when it is looked at.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// All that runs.
    pub running: Vec<ReportedRun>,
    /// Ends that it has not been told to forget.
    pub ended: Vec<ReportedEnd>,
}

/// What is new in a worker's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether all that runs is listed: the first answer to whoever attends the worker.
    /// Nothing was sent to it before.
    pub whole: bool,
    /// Runs that are new, or of which something is.
    pub running: Vec<ReportedRun>,
    /// Runs that are over although no end is listed.
    pub gone: Vec<(TaskId, u32)>,
    /// Ends that are new.
    pub ended: Vec<ReportedEnd>,
}

impl Report {
    /// Whether it tells nothing but that the worker answered.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.running.is_empty() && self.gone.is_empty() && self.ended.is_empty()
    }
}

/// What the scheduler knows of one life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it says of itself; `None` when only records speak of it.
    pub info: Option<Arc<WorkerInfo>>,
    /// Whether it was listed when we last heard of the list.
    pub listed: bool,
    /// Whether our token is known to it.
    pub fenced: bool,
    /// Whether its last look was answered.
    pub reachable: bool,
    /// Whether the answer to the present look is late.
    pub doubted: bool,
    /// The entry that attends it, once one does.
    pub relay: Option<HostId>,
    /// How many it has had in this term.
    pub relays: u32,
    /// Whether its relay tells the figures of all that runs with each look.
    pub figures: bool,
    /// When we, or a predecessor, knew of it at the latest.
    pub known_since: Duration,
    /// When it last answered, as far as that was told. Answers that hold nothing new are
    /// told only with the first one that does not come.
    pub heard: Duration,
    /// How long it had been silent when it was found to answer no more.
    pub silent_for: Duration,
    /// When everything on it must have ended if we stop extending its lease.
    pub lease_end: Duration,
    /// Runs that may exist there, with what each takes.
    pub runs: StableMap<(TaskId, u32), Reservation>,
    /// What began or ended since the accounts of workspaces were told.
    pub(super) changes: Vec<UsageChange>,
    /// Tasks of these runs that last.
    pub lasting: BTreeSet<TaskId>,
    /// Tasks of these runs that fill.
    pub fills: BTreeSet<TaskId>,
    /// Tasks of these runs that serve users.
    pub serves: BTreeSet<TaskId>,
    /// Room taken by `runs`.
    pub used: Resources,
    /// When it was found to be listed no longer.
    pub unlisted_at: Option<Duration>,
    /// Runs that are over since its lease has ended; whether it has crashed is not known.
    pub lapsed: Vec<Lost>,
    /// Whether it takes no work but a trial of a suspected task.
    pub quarantine: Option<Quarantine>,
    /// When a task was last started here.
    pub last_start: Option<Duration>,
    /// Highest number of an end that is on record.
    pub recorded_ends: u64,
    /// Tasks that failed or stood still here lately, without one done since.
    pub faults: u32,
    /// No new work before this moment.
    pub shunned_until: Duration,
    /// Whether maintenance or a move keeps new work away.
    pub cordoned: bool,
    /// Whether its worker is known to have started again; what ran here is settled with the first
    /// answer of its later life.
    pub replaced: bool,
    /// Whether its data centre is being evacuated, which keeps new work away, too.
    pub evacuated: bool,
    /// What the adviser has said of this life, by step.
    pub advice: HashMap<StepId, Verdict>,
}

/// What the adviser has said of a worker and a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It may run the step: with this ticket, for starts sent before this time.
    Good(Arc<str>, Duration),
    /// It may not; that does not change.
    Bad,
    /// Its ticket was turned down; it is not asked about before this time.
    TurnedDown(Duration),
}

impl Worker {
    /// A worker that nothing is known of.
    pub fn unknown(lease_end: Duration, known_since: Duration) -> Worker {
        Worker {
            info: None,
            listed: false,
            fenced: false,
            reachable: false,
            doubted: false,
            relay: None,
            relays: 0,
            figures: false,
            known_since,
            heard: Duration::ZERO,
            silent_for: Duration::ZERO,
            lease_end,
            runs: StableMap::default(),
            changes: Vec::new(),
            lasting: BTreeSet::new(),
            fills: BTreeSet::new(),
            serves: BTreeSet::new(),
            used: Resources::default(),
            unlisted_at: None,
            lapsed: Vec::new(),
            quarantine: None,
            last_start: None,
            recorded_ends: 0,
            faults: 0,
            shunned_until: Duration::ZERO,
            cordoned: false,
            replaced: false,
            evacuated: false,
            advice: HashMap::new(),
        }
    }

    /// Whether it may be given new work, unless it is shunned.
    pub fn takes_work(&self) -> bool {
        let Some(info) = &self.info else { return false };
        let open = !self.cordoned && !self.evacuated && !info.draining;
        self.listed && self.fenced && self.reachable && open
    }

    /// Whether it is kept from new work for a while.
    pub fn is_shunned(&self, now: Duration) -> bool {
        self.shunned_until > now
    }

    /// A trial begins here, that nothing else may begin beside for so long.
    pub fn begin_trial(&mut self, task: TaskId, attempt: u32, now: Duration, lasts: Duration) {
        let until = now.saturating_add(lasts);
        self.quarantine = Some(Quarantine { trial: Some((task, attempt)), until });
    }

    /// Whether no work but a trial begins here.
    pub fn in_quarantine(&self, now: Duration) -> bool {
        self.quarantine.is_some_and(|q| q.until > now)
    }

    /// The ticket with which a task of the step may be started now.
    pub fn ticket(&self, step: &StepId, now: Duration) -> Option<Arc<str>> {
        match self.advice.get(step) {
            Some(Verdict::Good(ticket, until)) if now < *until => Some(ticket.clone()),
            _ => None,
        }
    }

    /// Room that is free.
    pub fn free(&self) -> Resources {
        self.info.as_ref().map(|i| i.capacity.saturating_sub(&self.used)).unwrap_or_default()
    }

    /// Takes room for a run.
    pub fn take(&mut self, task: TaskId, attempt: u32, held: impl Into<Reservation>) {
        let held = held.into();
        if let Entry::Vacant(entry) = self.runs.entry((task, attempt)) {
            entry.insert(held);
            self.used.add(&held.resources);
            self.changes.push(UsageChange::Reserved(held));
        }
    }

    /// Notes whether a task that runs here lasts, and whether it serves or fills.
    pub fn mark(&mut self, task: &TaskId, step: &StepSpec) {
        if step.long_running {
            self.lasting.insert(*task);
        }
        if step.best_effort {
            self.fills.insert(*task);
        } else if step.latency_target.is_some() {
            self.serves.insert(*task);
        }
    }

    /// Gives the room of a run back.
    pub fn release(&mut self, task: TaskId, attempt: u32) {
        if let Some(held) = self.runs.remove(&(task, attempt)) {
            self.used = self.used.saturating_sub(&held.resources);
            self.changes.push(UsageChange::Released(held));
        }
        if self.quarantine.is_some_and(|q| q.trial == Some((task, attempt))) {
            self.quarantine = None;
        }
        if !self.runs.keys().any(|(t, _)| *t == task) {
            self.lasting.remove(&task);
            self.fills.remove(&task);
            self.serves.remove(&task);
        }
    }
}
