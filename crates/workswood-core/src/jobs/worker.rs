//! The scheduler's view of one worker: its resources, its lease and its health.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::crash_attribution::LostRun;
use super::crash_trials::Quarantine;
use super::job::WorkerId;
use super::lease_bounds::LeaseExtensions;
use super::spec::{Resources, StepId, StepSpec, TaskId};
use super::stable_map::StableMap;
use super::workspace_usage::{Reservation, UsageChange};
use crate::ids::{DataCentre, HostId, ServiceId};

/// What a worker reports about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Identifies this incarnation of the worker.
    pub id: WorkerId,
    /// Service whose pool the worker belongs to.
    pub service: ServiceId,
    /// IP address and port that the worker listens on.
    pub address: String,
    /// Data centre of the worker's host.
    pub data_centre: DataCentre,
    /// Host that the worker runs on; empty if the worker does not say.
    pub host: HostId,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels that steps can require, such as the worker's kind and its rack.
    pub labels: Vec<String>,
    /// Whether the worker is draining and about to leave.
    pub draining: bool,
}

/// Address of one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    /// Identifies the incarnation.
    pub id: WorkerId,
    /// IP address and port that the worker listens on.
    pub address: String,
    /// Data centre of the worker's host.
    pub data_centre: DataCentre,
}

/// The stored form of a worker: enough for a new lease holder to contact it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// IP address and port that the worker listened on.
    pub address: String,
    /// Service whose pool the worker belonged to.
    pub service: ServiceId,
    /// Host that the worker ran on.
    #[serde(rename = "machine")]
    pub host: HostId,
    /// Data centre of the worker's host; empty in records of versions that did not store it.
    #[serde(default)]
    pub data_centre: DataCentre,
    /// Whether the worker is open: its lease holder may start tasks there that are not on record.
    #[serde(default, rename = "open", skip_serializing_if = "std::ops::Not::not")]
    pub open: bool,
    /// Milliseconds after which the last lease of the worker has ended; no lease is extended before a record
    /// without this is stored. See [`lease_bounds`](super::lease_bounds).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_left: Option<u64>,
    /// Whether a later incarnation of the worker is known, so that `lease_left` holds for what that one may have
    /// received of the orders meant for this one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub superseded: bool,
}

impl WorkerInfo {
    /// Returns the address of the worker.
    pub fn worker_address(&self) -> WorkerAddress {
        WorkerAddress {
            id: self.id.clone(),
            address: self.address.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// Returns the stored form of the worker.
    pub fn record(&self) -> WorkerRecord {
        WorkerRecord {
            address: self.address.clone(),
            service: self.service.clone(),
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            open: false,
            lease_left: None,
            superseded: false,
        }
    }

    /// Restores a worker from its record. Capacity and labels are left empty, so nothing is placed
    /// on the worker before it is listed.
    pub fn from_record(id: WorkerId, rec: WorkerRecord) -> WorkerInfo {
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
    /// Task of the run.
    pub task: TaskId,
    /// Attempt number of the run.
    pub attempt: u32,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent: of the work, or of the warm-up of a long-running task.
    pub percent: u32,
    /// Load of the run, as the worker measures it: the tail latency in milliseconds of a task that
    /// serves users, the processor use of any other task.
    pub load: u64,
    /// Time since the last progress; zero at 100 percent. Computed by
    /// [`RunTracker`](super::run_tracker::RunTracker); the value in a [`Listing`] is ignored.
    pub stalled_for: Duration,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed, through a fault of the task or of the worker.
    Failed,
    /// The scheduler stopped it.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// The end of a run, as listed by a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEnd {
    /// Sequence number of the end within the worker's incarnation, starting at 1.
    pub sequence_number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Attempt number of the run.
    pub attempt: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Which of the ends that a worker has not been told to forget its answer to a poll holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndCoverage {
    /// All of them: a run that is neither current nor among them is over without an end.
    #[default]
    All,
    /// Perhaps only the earliest: a run that is neither current nor among them may have ended in any
    /// way. The worker lists further ends once these are acknowledged.
    Earliest,
}

/// Time on the clock of a worker, which is steady and starts anew with each incarnation.
pub type WorkerClock = Duration;

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// When the worker made the listing. A poll may wait at the worker, so listings are not made in the
    /// order in which their polls were sent.
    pub made_at: WorkerClock,
    /// All current runs.
    pub running: Vec<ReportedRun>,
    /// Ends of runs that the worker has not been told to forget, as far as `coverage` tells.
    pub ended: Vec<ReportedEnd>,
    /// Which ends `ended` holds.
    pub coverage: EndCoverage,
    /// Whether it may answer a copy of the poll, which extends no lease.
    pub answers_copy: bool,
}

/// When a listing was asked for, made and received.
#[derive(Clone, Copy, Debug)]
pub struct ListingTimes {
    /// When its poll was sent.
    pub sent: Duration,
    /// When the worker made it, on the worker's clock.
    pub made_at: WorkerClock,
    /// When it was received.
    pub received: Duration,
}

/// Changes since the previous answer of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether all current runs are listed, and all ends were reported by now: a run of which nothing
    /// is known is over. A relay makes one such report, the first that can be; no starts are sent to
    /// the worker before it.
    pub full: bool,
    /// New runs, and runs with reportable changes.
    pub running: Vec<ReportedRun>,
    /// Runs that are over although the worker lists no end for them.
    pub missing: Vec<(TaskId, u32)>,
    /// Ends that were not reported before.
    pub ended: Vec<ReportedEnd>,
}

impl Report {
    /// Whether the report holds nothing except that the worker answered.
    pub fn is_empty(&self) -> bool {
        !self.full && self.running.is_empty() && self.missing.is_empty() && self.ended.is_empty()
    }
}

/// The scheduler's state of one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the worker reports about itself; `None` if it is known from the records of runs only.
    pub info: Option<Arc<WorkerInfo>>,
    /// Whether the latest worker list shows it.
    pub listed: bool,
    /// Whether the present relay has made its full report, so that it is known what the worker runs.
    /// The worker has then seen the current fencing token.
    pub runs_known: bool,
    /// Whether the worker answered the last poll.
    pub reachable: bool,
    /// Whether the answer to the current poll is late.
    pub poll_overdue: bool,
    /// Entry that relays for the worker, if one is assigned.
    pub relay: Option<HostId>,
    /// Number of relays that the worker has had in this term.
    pub relay_count: u32,
    /// Whether the relay reports the load of all runs with each poll.
    pub reports_load: bool,
    /// When this scheduler learned of the worker; the start of the term if it was inherited.
    pub known_since: Duration,
    /// When the worker last answered, as far as that was reported. A relay does not report an
    /// answer without news; it reports the time of the last one when a poll goes unanswered.
    pub last_heard: Duration,
    /// When the worker first answered this scheduler; `None` if it has not.
    pub first_heard: Option<Duration>,
    /// The earliest time at which the lease may end that the worker is known to have; zero if none is known.
    pub confirmed_lease_end: Duration,
    /// Time since the last answer when the worker was found unreachable.
    pub silent_for: Duration,
    /// When everything on the worker must have ended if its lease is no longer extended.
    pub lease_end: Duration,
    /// When the lease of its own runs ends at the latest, without what a later incarnation may have received instead;
    /// `None` unless it is superseded.
    pub own_lease_end: Option<Duration>,
    /// Whether the lease is extended, and what is on record of its end.
    pub extensions: LeaseExtensions,
    /// Runs that may exist on the worker, with the resources of each.
    pub runs: StableMap<(TaskId, u32), Reservation>,
    /// Reservations and releases that are not yet counted in the usage of workspaces.
    pub(super) usage_changes: Vec<UsageChange>,
    /// Long-running tasks among `runs`.
    pub long_running: BTreeSet<TaskId>,
    /// Tasks among `runs` that use processor time left over by others.
    pub best_effort: BTreeSet<TaskId>,
    /// Tasks among `runs` that serve users.
    pub serving: BTreeSet<TaskId>,
    /// Total resources of `runs`.
    pub used_resources: Resources,
    /// When the worker disappeared from the worker list.
    pub unlisted_at: Option<Duration>,
    /// Latest list of hosts that showed the worker on its host while it was silent, by the time of its
    /// request.
    pub(super) shown_on_host_at: Option<Duration>,
    /// Runs that were settled because the lease ended, kept until it is known whether the worker
    /// crashed.
    pub lapsed_runs: Vec<LostRun>,
    /// Latest quarantine, in which the worker takes no work except a trial of a suspected task; in
    /// force until [`Quarantine::until`].
    pub quarantine: Option<Quarantine>,
    /// When a task was last started on the worker.
    pub last_start_at: Option<Duration>,
    /// Highest sequence number of an end that is on record.
    pub last_recorded_end: u64,
    /// Tasks that failed or stalled here since a task last completed here.
    pub faults: u32,
    /// The worker gets no new work before this time, since it refused a start.
    pub backoff_until: Duration,
    /// The worker gets no work before this time, since runs failed on it.
    pub shunned_until: Duration,
    /// Whether maintenance or a move to another pool keeps new work away.
    pub cordoned: bool,
    /// Whether a later incarnation of the worker is known. The runs of this one are settled with
    /// the first answer of the later one.
    pub superseded: bool,
    /// When the last lease has ended that a later incarnation may have received instead, as a predecessor recorded.
    pub superseded_lease_end: Option<Duration>,
    /// Whether the data centre is being evacuated, which keeps new work away too.
    pub evacuated: bool,
    /// Whether the worker is open in the record that was last taken for the store.
    pub open_written: bool,
    /// Whether that record is known to be stored.
    pub open_on_record: bool,
    /// Verdicts of the adviser on this incarnation, by step; see [`advice`](super::advice).
    pub advice: HashMap<StepId, AdviceVerdict>,
}

/// The adviser's verdict on a worker and a step.
#[derive(Clone, Debug, PartialEq)]
pub enum AdviceVerdict {
    /// The worker may run the step, with this ticket, for starts that are sent before this time.
    Eligible(Arc<str>, Duration),
    /// The worker may never run the step.
    Ineligible,
    /// The worker rejected the ticket; the adviser is not asked again before this time.
    TicketRejected(Duration),
}

impl Worker {
    /// Creates a worker of which nothing else is known.
    pub fn new(lease_end: Duration, known_since: Duration) -> Worker {
        Worker {
            info: None,
            listed: false,
            runs_known: false,
            reachable: false,
            poll_overdue: false,
            relay: None,
            relay_count: 0,
            reports_load: false,
            known_since,
            last_heard: Duration::ZERO,
            first_heard: None,
            confirmed_lease_end: Duration::ZERO,
            silent_for: Duration::ZERO,
            lease_end,
            own_lease_end: None,
            extensions: LeaseExtensions::default(),
            runs: StableMap::default(),
            usage_changes: Vec::new(),
            long_running: BTreeSet::new(),
            best_effort: BTreeSet::new(),
            serving: BTreeSet::new(),
            used_resources: Resources::default(),
            unlisted_at: None,
            shown_on_host_at: None,
            lapsed_runs: Vec::new(),
            quarantine: None,
            last_start_at: None,
            last_recorded_end: 0,
            faults: 0,
            backoff_until: Duration::ZERO,
            shunned_until: Duration::ZERO,
            cordoned: false,
            superseded: false,
            superseded_lease_end: None,
            evacuated: false,
            open_written: false,
            open_on_record: false,
            advice: HashMap::new(),
        }
    }

    /// Whether the worker may be given new work, backoff and quarantine aside.
    pub fn accepts_work(&self) -> bool {
        let Some(info) = &self.info else { return false };
        let open = !self.cordoned && !self.evacuated && !info.draining;
        let leased = !self.extensions.bound_on_record;
        self.listed && self.runs_known && self.reachable && leased && open
    }

    /// Whether the worker may be given new work as soon as its lease is extended again.
    pub fn waits_for_lease(&self) -> bool {
        let draining = self.info.as_ref().is_none_or(|info| info.draining);
        self.extensions.bound_on_record && !self.cordoned && !self.evacuated && !draining
    }

    /// Whether the worker is kept from new work for a while, after faults or a refused start.
    pub fn in_backoff(&self, now: Duration) -> bool {
        self.refuses_starts(now) || self.is_shunned(now)
    }

    /// Whether the worker is kept from new work because runs failed on it.
    pub fn is_shunned(&self, now: Duration) -> bool {
        self.shunned_until > now
    }

    /// Whether the worker is kept from new work because it refused a start.
    pub fn refuses_starts(&self, now: Duration) -> bool {
        self.backoff_until > now
    }

    /// Puts the worker in quarantine for a trial of the given length.
    pub fn begin_trial(&mut self, task: TaskId, attempt: u32, now: Duration, length: Duration) {
        let until = now.saturating_add(length);
        self.quarantine = Some(Quarantine { trial: Some((task, attempt)), until });
    }

    /// Whether only a trial may start here.
    pub fn in_quarantine(&self, now: Duration) -> bool {
        self.quarantine.is_some_and(|q| q.until > now)
    }

    /// Whether a trial runs here, and nothing else may start.
    pub fn is_on_trial(&self, now: Duration) -> bool {
        self.quarantine.is_some_and(|q| q.until > now && q.trial.is_some())
    }

    /// The ticket with which a task of the step may be started now.
    pub fn ticket(&self, step: &StepId, now: Duration) -> Option<Arc<str>> {
        match self.advice.get(step) {
            Some(AdviceVerdict::Eligible(ticket, until)) if now < *until => Some(ticket.clone()),
            _ => None,
        }
    }

    /// Resources that are free.
    pub fn free_resources(&self) -> Resources {
        self.info.as_ref().map(|i| i.capacity.saturating_sub(&self.used_resources)).unwrap_or_default()
    }

    /// Reserves the resources of a run.
    pub fn add_run(&mut self, task: TaskId, attempt: u32, held: impl Into<Reservation>) {
        let held = held.into();
        if let Entry::Vacant(entry) = self.runs.entry((task, attempt)) {
            entry.insert(held);
            self.used_resources.add(&held.resources);
            self.usage_changes.push(UsageChange::Reserved(held));
        }
    }

    /// Records whether a task that runs here is long-running, serves users, or is best-effort.
    pub fn note_task_kind(&mut self, task: &TaskId, step: &StepSpec) {
        if step.long_running {
            self.long_running.insert(*task);
        }
        if step.best_effort {
            self.best_effort.insert(*task);
        } else if step.latency_target.is_some() {
            self.serving.insert(*task);
        }
    }

    /// Releases the resources of a run, and ends the quarantine if the run was its trial.
    pub fn remove_run(&mut self, task: TaskId, attempt: u32) {
        if let Some(held) = self.runs.remove(&(task, attempt)) {
            self.used_resources = self.used_resources.saturating_sub(&held.resources);
            self.usage_changes.push(UsageChange::Released(held));
        }
        if self.quarantine.is_some_and(|q| q.trial == Some((task, attempt))) {
            self.quarantine = None;
        }
        if !self.runs.keys().any(|(t, _)| *t == task) {
            self.long_running.remove(&task);
            self.best_effort.remove(&task);
            self.serving.remove(&task);
        }
    }
}
