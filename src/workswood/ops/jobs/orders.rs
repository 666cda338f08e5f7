//! Carries out the scheduler's actions: orders to workers and machines.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::types::LEASE_SLACK;
use workswood_core::jobs::{Action, Event, JobSpec, StartReply, StopReply, TaskId, WorkerInfo};
use workswood_platform::jobs::{StartOrder, WorkerError};

use super::advice::{self, AdviceCall};
use super::node::{Leading, Node};
use super::watch::{self, WorkerLink};

/// How long the answer to each try of a start is waited for; then its outcome is
/// left to a stop. The way there and back takes some ten milliseconds, on a busy
/// host a hundred; a worker that has lost an order is asked again soon, and one
/// that is slow gets its time in the end.
const START_PATIENCE: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(400), Duration::from_millis(600)];
/// How often a stop is sent before the scheduler is told of it.
const STOP_TRIES: u32 = 2;

/// How much longer a lease that a start carried may last than it says: more
/// than a worker's clock may run slow.
const CLOCK_MARGIN: f64 = 1.05;

/// What orders need.
pub struct Orders<'a> {
    /// The process.
    pub node: &'a Arc<Node>,
    /// The scheduler's term.
    pub l: &'a Arc<Leading>,
    /// Length of a worker's lease.
    pub lease: Duration,
    /// Tasks that end with the scheduler.
    pub tasks: &'a mut JoinSet<()>,
}

/// A start on its way.
struct Start {
    task: TaskId,
    attempt: u32,
    job: Arc<JobSpec>,
    checkpoint: String,
    ticket: Option<Arc<str>>,
    lease: Duration,
}

impl Orders<'_> {
    /// Begins to look at a worker.
    pub fn watch(&mut self, info: WorkerInfo, span: Duration) -> Arc<WorkerLink> {
        let link = Arc::new(WorkerLink::new(info));
        self.tasks.spawn(watch::run(self.node.clone(), self.l.clone(), link.clone(), self.lease, span));
        link
    }

    /// Sends an order.
    pub fn send(&mut self, action: Action, links: &HashMap<WorkerId, Arc<WorkerLink>>) {
        let (node, l) = (self.node.clone(), self.l.clone());
        match action {
            Action::Start { worker, task, attempt, text, checkpoint, ticket } => {
                let Some(link) = links.get(&worker).cloned() else {
                    let now = node.now();
                    let _ = l.tx.send(Event::Started(worker, task, attempt, StartReply::NotSent, now));
                    return;
                };
                let s = Start { task, attempt, job: text, checkpoint, ticket, lease: self.lease };
                self.tasks.spawn(start(node, l, link, s));
            }
            Action::Stop(worker, task, attempt) => {
                if let Some(link) = links.get(&worker).cloned() {
                    self.tasks.spawn(stop(node, l, link, task, attempt));
                }
            }
            Action::Pace(worker, task, attempt, percent) => {
                if let Some(link) = links.get(&worker).cloned() {
                    self.tasks.spawn(pace(node, l, link, task, attempt, percent));
                }
            }
            Action::Upkeep(machine, wave) => {
                self.tasks.spawn(async move {
                    let holder = &node.settings.name;
                    let reply = node.platform.upkeep(holder, l.term, machine.clone(), wave).await;
                    let _ = l.tx.send(Event::MachineOrdered(machine, reply));
                });
            }
            Action::Move(machine, pool) => {
                self.tasks.spawn(async move {
                    let holder = &node.settings.name;
                    let reply = node.platform.move_machine(holder, l.term, machine.clone(), pool).await;
                    let _ = l.tx.send(Event::MachineOrdered(machine, reply));
                });
            }
            Action::Advise { lane, step, workers, patience } => {
                self.tasks.spawn(advice::ask(node, l, AdviceCall { lane, step, workers, patience }));
            }
            // Handled by the owner, which keeps the links.
            Action::Watch(_) | Action::Unwatch(_) => {}
        }
    }
}

async fn start(node: Arc<Node>, l: Arc<Leading>, link: Arc<WorkerLink>, s: Start) {
    let _lane = link.lanes.acquire().await;
    let (task, attempt) = (s.task, s.attempt);
    let mut sent_until = node.now();
    let reply = try_start(&node, &l, &link, s, &mut sent_until).await;
    node.metrics.starts.with_label_values(&[start_label(reply)]).inc();
    let _ = l.tx.send(Event::Started(link.info.id.clone(), task, attempt, reply, sent_until));
}

/// Sends a start until it has an answer. `sent_until` becomes the time when
/// the lease ends that the latest try carried.
async fn try_start(
    node: &Node,
    l: &Leading,
    link: &WorkerLink,
    s: Start,
    sent_until: &mut Duration,
) -> StartReply {
    let mut unanswered = false;
    for patience in START_PATIENCE {
        // The end of the lease is worked out before the right to send is
        // checked: a process that is paused in between sends a lease that has
        // ended, which the worker refuses.
        let now = node.now();
        let Some(lease_end) = link.lease_end(now, s.lease) else { break };
        let allowed = node.now_ms() < l.extend_until.load(Ordering::Acquire);
        if !allowed || link.is_closed() || link.is_silent() {
            break;
        }
        *sent_until = now + s.lease.mul_f64(CLOCK_MARGIN) + LEASE_SLACK;
        let order = StartOrder {
            task: s.task,
            attempt: s.attempt,
            job: s.job.clone(),
            checkpoint: s.checkpoint.clone(),
            ticket: s.ticket.clone(),
            lease_end,
            patience,
        };
        match node.platform.start(&link.info, l.term, order).await {
            Ok(()) => return StartReply::Taken,
            Err(WorkerError::Fenced) => return StartReply::Deposed,
            Err(WorkerError::OtherLife) => {
                let _ = l.tx.send(Event::LifeOver(link.info.id.clone()));
                return StartReply::NoAnswer;
            }
            Err(WorkerError::Refused | WorkerError::Ticket) if unanswered => return StartReply::Unsure,
            Err(WorkerError::Refused) => return StartReply::Refused,
            Err(WorkerError::Ticket) => return StartReply::Ticket,
            Err(WorkerError::Unwell) if unanswered => return StartReply::Unsure,
            Err(WorkerError::Unwell) => return StartReply::Unwell,
            Err(WorkerError::NotSent) => {}
            Err(WorkerError::NoAnswer) => unanswered = true,
        }
    }
    if unanswered { StartReply::NoAnswer } else { StartReply::NotSent }
}

/// The label of a start's outcome in metrics.
fn start_label(reply: StartReply) -> &'static str {
    match reply {
        StartReply::Taken => "taken",
        StartReply::Refused => "refused",
        StartReply::Ticket => "ticket",
        StartReply::Unwell => "unwell",
        StartReply::Unsure => "unsure",
        StartReply::NoAnswer => "no_answer",
        StartReply::NotSent => "not_sent",
        StartReply::Deposed => "deposed",
    }
}

async fn pace(
    node: Arc<Node>,
    l: Arc<Leading>,
    link: Arc<WorkerLink>,
    task: TaskId,
    attempt: u32,
    percent: u32,
) {
    let _lane = link.lanes.acquire().await;
    let res = node.platform.pace(&link.info, l.term, task, attempt, percent).await;
    if let Err(e) = res {
        // The next look shows the figures again.
        log::warn!("event=pace_not_taken worker={} task={task} error={e:?}", link.info.id);
    }
}

async fn stop(node: Arc<Node>, l: Arc<Leading>, link: Arc<WorkerLink>, task: TaskId, attempt: u32) {
    let _lane = link.lanes.acquire().await;
    let mut reply = StopReply::NoAnswer;
    for _ in 0..STOP_TRIES {
        reply = match node.platform.stop(&link.info, l.term, task, attempt).await {
            Ok(()) => StopReply::Taken,
            Err(WorkerError::Fenced) => StopReply::Deposed,
            Err(e) => {
                log::debug!("event=stop_failed worker={} task={task} error={e:?}", link.info.id);
                StopReply::NoAnswer
            }
        };
        if reply != StopReply::NoAnswer || link.is_closed() {
            break;
        }
    }
    let _ = l.tx.send(Event::Stopped(link.info.id.clone(), task, attempt, reply));
}
