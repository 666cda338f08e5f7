//! Workers: what they run, and how they take orders.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::Term;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{EndKind, Listing, ReportedEnd, ReportedRun, StartReply, TaskId};

use super::adviser;

/// Most tasks that run on a worker at once.
const CORES: usize = 4;
/// How long a stop takes.
const STOP_TAKES: Duration = Duration::from_millis(300);

/// How a task goes on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub attempt: u32,
    pub began: Duration,
    pub ends: Duration,
    pub kind: EndKind,
    pub stopping: Option<Duration>,
}

/// A worker.
pub(super) struct SimWorker {
    pub id: WorkerId,
    pub up: bool,
    pub fence: Term,
    pub lease_end: Duration,
    pub running: BTreeMap<TaskId, Running>,
    pub ended: Vec<ReportedEnd>,
    pub numbers: u64,
    /// Highest attempt of a task that was stopped or has ended here.
    pub over: HashMap<TaskId, u32>,
    pub cut: bool,
}

/// An order on its way.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Look { token: Term, forget: u64, lease_end: Option<Duration> },
    Start { token: Term, task: TaskId, attempt: u32, lease_end: Duration, ticket: Option<Arc<str>> },
    Stop { token: Term, task: TaskId, attempt: u32 },
}

/// What a worker answers.
pub(super) enum Answer {
    /// To a look.
    Listing(Listing),
    /// A start that is to begin: the world does that.
    Begin(TaskId, u32),
    /// To any other order.
    Reply(StartReply),
}

impl SimWorker {
    pub(super) fn new(id: WorkerId) -> SimWorker {
        SimWorker {
            id,
            up: true,
            fence: 0,
            lease_end: Duration::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            numbers: 0,
            over: HashMap::new(),
            cut: false,
        }
    }

    /// Lets time pass: runs end, and with a lease that lapsed all of them. Returns how
    /// tasks ended.
    pub(super) fn run(&mut self, now: Duration) -> Vec<(TaskId, EndKind)> {
        let lapsed = self.lease_end < now;
        let over = |r: &Running| lapsed || r.ends <= now || r.stopping.is_some_and(|at| at <= now);
        let over: Vec<TaskId> = self.running.iter().filter(|(_, r)| over(r)).map(|(t, _)| *t).collect();
        let first = self.ended.len();
        for task in over {
            let Some(r) = self.running.remove(&task) else { continue };
            let kind = if lapsed {
                EndKind::Lapsed
            } else if r.ends <= now {
                r.kind
            } else {
                EndKind::Stopped
            };
            self.numbers += 1;
            self.over.insert(task, r.attempt);
            let checkpoint = String::new();
            self.ended.push(ReportedEnd {
                sequence_number: self.numbers,
                task,
                attempt: r.attempt,
                kind,
                checkpoint,
            });
        }
        self.ended[first..].iter().map(|e| (e.task, e.kind)).collect()
    }

    /// Takes an order whose token is known to be the highest.
    pub(super) fn take(&mut self, order: &Order, advised: bool, now: Duration) -> Answer {
        let token = order.token();
        if token < self.fence {
            return Answer::Reply(StartReply::Deposed);
        }
        self.fence = token;
        match order {
            Order::Look { lease_end, .. } => {
                if let Some(end) = lease_end {
                    self.lease_end = self.lease_end.max(*end);
                }
                Answer::Listing(self.listing(now))
            }
            Order::Start { task, attempt, lease_end, ticket, .. } => {
                self.lease_end = self.lease_end.max(*lease_end);
                let old = self.over.get(task).is_some_and(|a| a >= attempt);
                let holds = !advised || adviser::holds(ticket.as_deref(), &task.step_id(), &self.id, now);
                if *lease_end < now || old {
                    Answer::Reply(StartReply::Refused)
                } else if self.running.contains_key(task) {
                    Answer::Reply(StartReply::Taken)
                } else if !holds {
                    Answer::Reply(StartReply::Ticket)
                } else if self.running.len() >= CORES {
                    Answer::Reply(StartReply::Refused)
                } else {
                    Answer::Begin(*task, *attempt)
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
            Some(r) if r.attempt <= attempt => r.stopping = Some(now + STOP_TAKES),
            _ => {
                let over = self.over.entry(task).or_default();
                *over = (*over).max(attempt);
            }
        }
    }

    fn listing(&self, now: Duration) -> Listing {
        let running = self.running.iter().map(|(task, r)| {
            let passed = (now - r.began).as_millis() as u64 * 100;
            let whole = (r.ends - r.began).as_millis().max(1) as u64;
            ReportedRun {
                task: *task,
                attempt: r.attempt,
                checkpoint: String::new(),
                percent: (passed / whole).min(100) as u32,
                load: 0,
                stalled_for: Duration::ZERO,
            }
        });
        Listing { running: running.collect(), ended: self.ended.clone() }
    }
}

impl Order {
    fn token(&self) -> Term {
        match self {
            Order::Look { token, .. } | Order::Start { token, .. } | Order::Stop { token, .. } => *token,
        }
    }
}
