//! Simulated workers: the runs on them and their answers to orders.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::Term;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{EndCoverage, EndKind, Listing, ReportedEnd, ReportedRun, StartReply, TaskId};

use super::adviser;

/// Tasks that run on a worker at once, unless the world allows more.
const MAX_RUNS: usize = 4;
/// Time that a task takes to stop.
const STOP_DURATION: Duration = Duration::from_millis(300);

/// A run of a task on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub attempt: u32,
    pub started_at: Duration,
    pub ends_at: Duration,
    /// How the run ends unless it is stopped or the lease expires.
    pub kind: EndKind,
    /// When the run ends because of a stop order.
    pub stops_at: Option<Duration>,
}

/// What workers of a world do at most.
#[derive(Clone, Copy)]
pub(super) struct WorkerLimits {
    /// Ends that a worker lists at once.
    pub listed_ends: usize,
    /// Tasks that run on a worker at once.
    pub runs: usize,
    /// Length of the longest checkpoint that it saves; 0 if it saves none.
    pub checkpoint_bytes: usize,
}

/// Time of work after which a checkpoint is renewed.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);
/// Lengths of checkpoints differ by multiples of this number.
const LENGTH_STEP: usize = 389;

impl WorkerLimits {
    /// The checkpoint of a task that has run for so long; empty if there is none. It begins with the task's name.
    fn checkpoint(&self, task: &TaskId, ran_for: Duration) -> String {
        let saves = (ran_for.as_millis() / SAVE_INTERVAL.as_millis()) as usize;
        if self.checkpoint_bytes == 0 || saves == 0 {
            return String::new();
        }
        let len =
            (task.job.number as usize + task.index as usize + saves) * LENGTH_STEP % self.checkpoint_bytes;
        format!("{task} {saves} {}", "x".repeat(len))
    }
}

impl Default for WorkerLimits {
    fn default() -> WorkerLimits {
        WorkerLimits { listed_ends: usize::MAX, runs: MAX_RUNS, checkpoint_bytes: 0 }
    }
}

/// A life of a simulated worker.
pub(super) struct SimWorker {
    pub id: WorkerId,
    pub up: bool,
    /// Highest fencing token that the worker has received.
    pub fence: Term,
    pub lease_end: Duration,
    pub running: BTreeMap<TaskId, Running>,
    /// Ends that no holder has acknowledged yet.
    pub ended: Vec<ReportedEnd>,
    /// Sequence number of the last end.
    pub last_end: u64,
    /// Ends up to this sequence number came before the lease last expired.
    pub ends_before_expiry: u64,
    /// Highest attempt of each task that was stopped or has ended on this worker.
    pub finished_attempts: HashMap<TaskId, u32>,
    /// Whether no order reaches the worker.
    pub partitioned: bool,
    pub limits: WorkerLimits,
    /// Whether the worker has left for good and is no longer listed.
    pub has_left: bool,
    /// Since when the worker has stated that it drains.
    pub draining_since: Option<Duration>,
}

/// An order to a worker.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Probe { token: Term, forget: u64, lease_end: Option<Duration> },
    Start { token: Term, task: TaskId, attempt: u32, lease_end: Duration, ticket: Option<Arc<str>> },
    Stop { token: Term, task: TaskId, attempt: u32 },
}

/// A worker's answer to an order.
pub(super) enum Answer {
    /// The answer to a probe.
    Listing(Listing),
    /// A start was accepted; the caller must begin the run.
    Accepted(TaskId, u32),
    /// The answer to any other order, or to one with a stale token.
    Reply(StartReply),
}

/// A run of at least so many milliseconds is one of a task that lasts.
const LASTING_MS: u64 = 1_000_000;

impl SimWorker {
    pub(super) fn new(id: WorkerId, limits: WorkerLimits) -> SimWorker {
        SimWorker {
            id,
            up: true,
            fence: 0,
            lease_end: Duration::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            ends_before_expiry: 0,
            finished_attempts: HashMap::new(),
            partitioned: false,
            limits,
            has_left: false,
            draining_since: None,
        }
    }

    /// Ends the runs that are due, or all of them if the lease has expired; returns how they ended.
    pub(super) fn end_runs(&mut self, now: Duration) -> Vec<(TaskId, u32, EndKind)> {
        let expired = self.lease_end < now;
        if expired {
            self.ends_before_expiry = self.last_end;
        }
        let is_over = |r: &Running| expired || r.ends_at <= now || r.stops_at.is_some_and(|at| at <= now);
        let over: Vec<TaskId> = self.running.iter().filter(|(_, r)| is_over(r)).map(|(t, _)| *t).collect();
        let first = self.ended.len();
        for task in over {
            let Some(r) = self.running.remove(&task) else { continue };
            let kind = if expired {
                EndKind::Lapsed
            } else if r.ends_at <= now {
                r.kind
            } else {
                EndKind::Stopped
            };
            self.last_end += 1;
            self.finished_attempts.insert(task, r.attempt);
            let checkpoint = self.limits.checkpoint(&task, now - r.started_at);
            self.ended.push(ReportedEnd {
                sequence_number: self.last_end,
                task,
                attempt: r.attempt,
                kind,
                checkpoint,
            });
        }
        self.ended[first..].iter().map(|e| (e.task, e.attempt, e.kind)).collect()
    }

    /// Handles an order; answers `Deposed` if its token is lower than one received before.
    pub(super) fn handle(&mut self, order: &Order, advised: bool, now: Duration) -> Answer {
        let token = order.token();
        if token < self.fence {
            return Answer::Reply(StartReply::Deposed);
        }
        self.fence = token;
        match order {
            Order::Probe { lease_end, .. } => {
                if let Some(end) = lease_end {
                    self.lease_end = self.lease_end.max(*end);
                }
                Answer::Listing(self.listing(now))
            }
            Order::Start { task, attempt, lease_end, ticket, .. } => {
                self.lease_end = self.lease_end.max(*lease_end);
                let finished = self.finished_attempts.get(task).is_some_and(|a| a >= attempt);
                let ticket_valid =
                    !advised || adviser::is_valid(ticket.as_deref(), &task.step_id(), &self.id, now);
                if *lease_end < now || finished {
                    Answer::Reply(StartReply::Refused)
                } else if self.running.contains_key(task) {
                    Answer::Reply(StartReply::Taken)
                } else if !ticket_valid {
                    Answer::Reply(StartReply::Ticket)
                } else if self.running.len() >= self.limits.runs {
                    Answer::Reply(StartReply::Refused)
                } else {
                    Answer::Accepted(*task, *attempt)
                }
            }
            Order::Stop { task, attempt, .. } => {
                self.stop(*task, *attempt, now);
                Answer::Reply(StartReply::Taken)
            }
        }
    }

    fn stop(&mut self, task: TaskId, attempt: u32, now: Duration) {
        match self.running.get_mut(&task) {
            Some(r) if r.attempt <= attempt => r.stops_at = Some(now + STOP_DURATION),
            _ => {
                let finished = self.finished_attempts.entry(task).or_default();
                *finished = (*finished).max(attempt);
            }
        }
    }

    pub(super) fn listing(&self, now: Duration) -> Listing {
        let running = self.running.iter().map(|(task, r)| {
            let elapsed = (now - r.started_at).as_millis() as u64 * 100;
            let total = (r.ends_at - r.started_at).as_millis().max(1) as u64;
            ReportedRun {
                task: *task,
                attempt: r.attempt,
                checkpoint: self.limits.checkpoint(task, now - r.started_at),
                // A task that lasts is warm at once.
                percent: if total >= LASTING_MS { 100 } else { (elapsed / total).min(100) as u32 },
                load: 0,
                stalled_for: Duration::ZERO,
            }
        });
        let listed = self.ended.len().min(self.limits.listed_ends);
        let coverage =
            if listed < self.limits.listed_ends { EndCoverage::All } else { EndCoverage::Earliest };
        let (running, ended) = (running.collect(), self.ended[..listed].to_vec());
        Listing { made_at: now, running, ended, coverage, answers_copy: false }
    }
}

impl Order {
    /// Whether the order is a start or a stop.
    pub(super) fn is_command(&self) -> bool {
        matches!(self, Order::Start { .. } | Order::Stop { .. })
    }

    fn token(&self) -> Term {
        match self {
            Order::Probe { token, .. } | Order::Start { token, .. } | Order::Stop { token, .. } => *token,
        }
    }
}
