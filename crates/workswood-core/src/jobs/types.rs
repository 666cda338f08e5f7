//! The interface of the scheduler: [`Event`]s go in; a [`Batch`] of [`Record`]s, to be stored
//! first, and [`Action`]s, carried out once the records are stored, comes out.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::config::SchedConfig;
use super::ended_incarnations::EndedIncarnationRecord;
use super::host::{Host, HostReply};
use super::job::{JobRecord, JobStatus, StateSlot, WorkerId};
use super::job_key::{JobKey, JobNumber};
use super::lease_bounds::ExtensionOrders;
use super::maintenance_waves::{Wave, WaveRecord};
use super::spec::{JobSpec, QueueId, StepId, TaskId};
use super::worker::{Report, WorkerInfo, WorkerRecord};
use crate::ids::{DataCentre, HostId, ServiceId, Term, UnixMs};

/// Limits that the platform sets, and the scheduler's own.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Length of a worker's lease, counted from when the request was sent.
    pub lease: Duration,
    /// Longest lease that a worker accepts, whatever it is asked for.
    pub max_lease: Duration,
    /// How long a scheduler that can't renew its own lease goes on extending workers' leases.
    pub extension_grace: Duration,
    /// Largest share by which a worker's clock may run slow.
    pub clock_drift: f64,
    /// How long a new lease holder waits before its first order to a host that a predecessor
    /// ordered.
    pub host_order_delay: Duration,
    /// Rate of orders to hosts that the platform accepts; it rejects those beyond it.
    pub host_orders_per_s: f64,
    /// How long the state of ended jobs is kept for status queries.
    pub ended_job_retention: Duration,
    /// How far ahead of its due time a round of a job may be opened.
    pub round_lead_time: Duration,
}

/// The longest real time that a lease may last on a worker whose clock runs slow by the share
/// `drift`.
pub fn lease_with_drift(lease: Duration, drift: f64) -> Duration {
    lease.mul_f64(1.0 / (1.0 - drift)) + LEASE_SLACK
}

/// Added to the end of every lease, for rounding and for delays in transit.
pub const LEASE_SLACK: Duration = Duration::from_millis(300);

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submitted a job under a number, and the job is on record.
    Submitted(JobNumber, Arc<JobSpec>),
    /// A caller cancelled a job, and the cancellation is on record. Entries of earlier versions don't tell the queue.
    Cancelled(JobKey),
    /// The configuration changed.
    ConfigChanged(Arc<SchedConfig>),
    /// The set of all data centres that are being evacuated.
    Evacuated(BTreeSet<DataCentre>),
    /// The list of workers shows a worker, new or changed.
    WorkerListed(WorkerInfo),
    /// The list of workers no longer shows a worker.
    WorkerUnlisted(WorkerId),
    /// An update from the relay that polls the worker with this fencing token.
    WorkerUpdate(WorkerId, Term, WorkerUpdate),
    /// Another incarnation of the worker answers at its address, so this one has ended. The time is
    /// that of its last answer, on the scheduler's clock.
    OtherIncarnationAnswered(WorkerId, Duration),
    /// A worker restarted under the same name at this time of day, so the given incarnation has
    /// ended. The duration is the time of its last answer, on the scheduler's clock.
    WorkerRestarted(WorkerId, UnixMs, Duration),
    /// The result of a call to the adviser.
    AdviceReceived(AdviceResult),
    /// The list of hosts, and when it was requested.
    HostsListed(Vec<Host>, Duration),
    /// An operator requested a maintenance wave; with its progress as a predecessor recorded it.
    WaveRequested(Wave, Option<WaveRecord>),
    /// The reply to an order to a host.
    HostOrderAnswered(HostId, HostReply),
    /// A relay accepts orders.
    RelayUp(HostId),
    /// A message from a relay arrived.
    RelayHeard(HostId),
    /// A relay is about to stop.
    RelayLeaving(HostId),
    /// A relay is lost or could not be reached.
    RelayDown {
        /// The entry that runs the relay.
        entry: HostId,
        /// When the leases that it extended end.
        lease_end: Duration,
        /// Whether only its connection broke, so that it may be reached again at once.
        may_return: bool,
    },
    /// The inbox was read to its end at this time.
    InboxRead(Duration),
    /// Time passed.
    Tick,
}

/// An update on a worker from its relay.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerUpdate {
    /// The worker answered a probe.
    Reported(Report),
    /// The answer to the current probe is late.
    ProbeLate,
    /// The worker did not answer a probe. Times are on the scheduler's clock.
    Unanswered {
        /// When the worker's lease ends unless it is extended.
        lease_end: Duration,
        /// When the worker last answered.
        heard: Duration,
    },
    /// The relay does not extend the lease (again) before it is ordered to: after a probe without an answer, or
    /// from the start of the assignment.
    AwaitsOrder,
    /// The worker has answered a call that carried a lease: the lease does not end before this time on the
    /// scheduler's clock. A relay says so before it says that the worker does not answer or that its life is over.
    LeaseConfirmed(Duration),
    /// The worker has seen a higher fencing token.
    Deposed,
    /// The reply to a start of this attempt of a task.
    Started(TaskId, u32, StartReply),
    /// The reply to a stop of this attempt of a task.
    Stopped(TaskId, u32, StopReply),
}

/// Outcome of a request to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The task runs, or ran.
    Taken,
    /// The worker refused every request, and has done nothing.
    Refused,
    /// The worker rejected the adviser's ticket, and has done nothing.
    Ticket,
    /// The worker reports that it is unhealthy, and has done nothing.
    Unwell,
    /// The worker refused the last request, but an earlier one had no answer and may have taken
    /// effect.
    Unsure,
    /// No request was answered.
    NoAnswer,
    /// No request was sent.
    NotSent,
    /// The worker has seen a higher fencing token.
    Deposed,
}

impl StartReply {
    /// Whether the worker answered the last request.
    pub fn is_answer(self) -> bool {
        match self {
            StartReply::Taken
            | StartReply::Refused
            | StartReply::Ticket
            | StartReply::Unwell
            | StartReply::Unsure
            | StartReply::Deposed => true,
            StartReply::NoAnswer | StartReply::NotSent => false,
        }
    }
}

/// A call to the adviser and its reply.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceResult {
    /// The channel that made the call: 0 is that of the lease holder, others are those of its
    /// helpers.
    pub channel: usize,
    /// The step that the call was about.
    pub step: StepId,
    /// The workers that the call named.
    pub workers: Vec<WorkerId>,
    /// The reply.
    pub reply: AdviceReply,
}

/// Reply to a call to the adviser.
#[derive(Clone, Debug, PartialEq)]
pub enum AdviceReply {
    /// The adviser answered.
    Answered(Advice),
    /// The adviser's queue is full; it has not accepted the call.
    Busy,
    /// The adviser refused the call, or its answer can't be decoded.
    Refused,
    /// No answer came; the adviser may be working on the call.
    NoAnswer,
    /// The call was not sent.
    NotSent,
}

/// The adviser's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Workers that may run the step, each with its ticket.
    pub tickets: Vec<(WorkerId, Arc<str>)>,
    /// How long the tickets are valid, if the adviser says so.
    pub valid_for: Option<Duration>,
}

/// Outcome of a request to stop a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The worker accepted the stop.
    Taken,
    /// No answer came, or the request was refused without effect.
    NoAnswer,
    /// The worker has seen a higher fencing token.
    Deposed,
}

/// What to do once the records of the batch are stored.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an entry a relay.
    OpenRelay(HostId),
    /// Close the relay of an entry.
    CloseRelay(HostId),
    /// Have a relay poll a worker from now on.
    StartPolling {
        /// The relay.
        relay: HostId,
        /// The worker.
        info: WorkerInfo,
        /// Fencing token of the relay's orders to the worker.
        token: Term,
        /// When the relay extends the worker's lease only on order.
        extensions: ExtensionOrders,
    },
    /// Have the relay of a worker extend its lease from now on, if this many of its polls had no answer.
    ExtendLeases(WorkerId, u32),
    /// Have the relay of a worker stop polling it.
    StopPolling(WorkerId),
    /// Set whether the worker's relay reports the load figures of all of the worker's tasks with each
    /// probe.
    ReportFigures(WorkerId, bool),
    /// Start a task.
    Start {
        /// The worker to start it on.
        worker: WorkerId,
        /// Fencing token of the worker's relay when the start was decided; with a different token
        /// the start is not sent.
        token: Term,
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// The job's text, as submitted.
        text: Arc<str>,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// The adviser's ticket, if the step needs one.
        ticket: Option<Arc<str>>,
    },
    /// Ask the adviser which of these workers may run a step.
    Advise {
        /// The channel to call through: 0 is that of the lease holder, others are those of its
        /// helpers.
        channel: usize,
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<WorkerId>,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Stop an attempt of a task. If its start has not been sent, it is not sent any more.
    Stop(WorkerId, TaskId, u32),
    /// Take back the start of an attempt of a task, unless it has been sent.
    WithdrawStart(WorkerId, TaskId, u32),
    /// Limit the pace of an attempt of a task.
    SetPace {
        /// The worker that runs it.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// Pace in percent of full speed.
        percent: u32,
    },
    /// Order a host into maintenance as part of a wave.
    MaintainHost(HostId, u64),
    /// Order a host to move to the pool of a service.
    MoveHost(HostId, ServiceId),
}

/// A change to the scheduler's stored state.
#[derive(Clone, Debug)]
pub enum Record {
    /// The state of a job.
    Job(JobKey, JobRecord),
    /// The record of a job is deleted.
    DropJob(JobKey, StateSlot),
    /// Progress of a wave.
    Wave(u64, WaveRecord),
    /// The record of one incarnation of a worker.
    Worker(WorkerId, WorkerRecord),
    /// The record of one incarnation of a worker is deleted.
    DropWorker(WorkerId),
    /// What one incarnation of a worker has left behind that is over; `None` deletes the record.
    EndedIncarnation(WorkerId, Option<EndedIncarnationRecord>),
    /// Name of the lease holder that has ordered a host recently, or is about to; `None` deletes
    /// the mark.
    HostOrderMark(HostId, Option<String>),
}

/// The state of a job, to be shown to callers once the batch is stored.
#[derive(Clone, Debug)]
pub struct JobStatusUpdate {
    /// The job.
    pub key: JobKey,
    /// Its queue.
    pub queue: QueueId,
    /// The service whose workers run it; empty if that is not known any more.
    pub service: ServiceId,
    /// Its state; `None` once the job is forgotten.
    pub state: Option<JobStatus>,
    /// Whether the job repeats on a schedule; not set for jobs that a predecessor archived or that
    /// are forgotten.
    pub repeats: bool,
}

/// The scheduler's output: records to store, and what follows once they are stored.
#[derive(Debug, Default)]
pub struct Batch {
    /// Records to store, all or none.
    pub records: Vec<Record>,
    /// Actions to carry out after the records are stored.
    pub actions: Vec<Action>,
    /// By worker, the sequence number up to which it may forget the ends of runs.
    pub acked_ends: Vec<(WorkerId, u64)>,
    /// States of jobs that callers may be shown.
    pub status_updates: Vec<JobStatusUpdate>,
    /// Jobs that ended and no longer run anywhere; the inbox need not hold them any more.
    pub finished_jobs: Vec<JobKey>,
    /// Waves whose status is to be published, and whether they are complete.
    pub waves: Vec<(u64, bool)>,
    /// Everything that was in the inbox at this time is reflected in this batch.
    pub inbox_read_at: Duration,
}

impl Batch {
    /// Leaves out what may not follow since the records of these jobs are not stored. Returns the ends that are not to be
    /// acknowledged yet, since runs of these jobs may be among them.
    pub fn leave_out(&mut self, jobs: &BTreeSet<JobKey>) -> Vec<(WorkerId, u64)> {
        self.records.retain(|rec| !matches!(rec, Record::Job(job, _) if jobs.contains(job)));
        self.status_updates.retain(|update| !jobs.contains(&update.key));
        self.finished_jobs.retain(|job| !jobs.contains(job));
        std::mem::take(&mut self.acked_ends)
    }
}
