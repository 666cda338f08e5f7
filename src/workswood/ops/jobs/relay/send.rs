//! Sends orders to a worker: starts, stops and paces of tasks.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{StartReply, StopReply, TaskId};
use workswood_platform::jobs::{StartOrder, WorkerError};

use super::RelayContext;
use super::assigned_worker::AssignedWorker;
use super::messages::{StartTask, WorkerEvent};

/// How long the answer to each try of a start is waited for; then its outcome is
/// left to a stop. The way there and back takes some ten milliseconds, on a busy
/// host a hundred; a worker that has lost an order is asked again soon, and one
/// that is slow gets its time in the end.
const START_PATIENCE: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(400), Duration::from_millis(600)];
/// How often a stop is sent before the scheduler is told of it.
const STOP_TRIES: u32 = 2;

pub(super) async fn start(shared: Arc<RelayContext>, link: Arc<AssignedWorker>, s: StartTask) {
    let _lane = link.lanes.acquire().await;
    let reply = try_start(&shared, &link, &s).await;
    let (task, attempt) = (s.task, s.attempt);
    shared.node.metrics.starts.with_label_values(&[start_label(reply)]).inc();
    if reply.is_answer() {
        link.heard(shared.node.now());
    }
    link.follow.lock().start_answered(task, attempt, reply, shared.node.now());
    shared.sink.tell(&shared.node, &link, WorkerEvent::Started { task, attempt, reply });
}

/// Sends a start until it has an answer.
async fn try_start(shared: &RelayContext, link: &AssignedWorker, s: &StartTask) -> StartReply {
    let mut unanswered = false;
    for patience in START_PATIENCE {
        // The end of the lease is worked out before the right to send is
        // checked: a process that is paused in between sends a lease that has
        // ended, which the worker refuses.
        let now = shared.node.now();
        if shared.node.operators.is_evacuated(&link.worker.data_centre, now) {
            let (worker, task) = (&link.worker.id, s.task);
            log::info!("event=start_not_sent worker={worker} task={task} reason=data_centre_evacuated");
            break;
        }
        let Some(lease_end) = link.lease_end(now, shared.times.lease) else { break };
        if !shared.grant.holds(shared.node.now()) || !link.may_lease_until(now + shared.times.span()) {
            break;
        }
        let order = StartOrder {
            task: s.task,
            attempt: s.attempt,
            spec: s.spec.clone(),
            checkpoint: s.checkpoint.clone(),
            ticket: s.ticket.clone(),
            lease_end,
            timeout: patience,
        };
        match shared.node.platform.start_task(&link.worker, link.token, order).await {
            Ok(()) => return StartReply::Taken,
            Err(WorkerError::Fenced) => return StartReply::Deposed,
            Err(WorkerError::OtherLife) => {
                let silent = link.silent_for(shared.node.now());
                shared.sink.tell(&shared.node, link, WorkerEvent::IncarnationEnded(silent));
                return StartReply::NoAnswer;
            }
            // Only looks tell that.
            Err(WorkerError::Restarted(_)) => break,
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

pub(super) async fn pace(
    shared: Arc<RelayContext>,
    link: Arc<AssignedWorker>,
    task: TaskId,
    attempt: u32,
    percent: u32,
) {
    let _lane = link.lanes.acquire().await;
    let res = shared.node.platform.throttle_task(&link.worker, link.token, task, attempt, percent).await;
    if let Err(e) = res {
        // The next look shows the figures again.
        log::warn!("event=pace_not_taken worker={} task={task} error={e:?}", link.worker.id);
    }
}

pub(super) async fn stop(shared: Arc<RelayContext>, link: Arc<AssignedWorker>, task: TaskId, attempt: u32) {
    let _lane = link.lanes.acquire().await;
    let mut reply = StopReply::NoAnswer;
    for _ in 0..STOP_TRIES {
        reply = match shared.node.platform.stop_task(&link.worker, link.token, task, attempt).await {
            Ok(()) => StopReply::Taken,
            Err(WorkerError::Fenced) => StopReply::Deposed,
            Err(e) => {
                log::debug!("event=stop_failed worker={} task={task} error={e:?}", link.worker.id);
                StopReply::NoAnswer
            }
        };
        if reply != StopReply::NoAnswer || link.is_closed() {
            break;
        }
    }
    if reply == StopReply::Taken {
        link.heard(shared.node.now());
        link.follow.lock().stop_accepted(task, attempt, shared.node.now());
    }
    shared.sink.tell(&shared.node, &link, WorkerEvent::Stopped { task, attempt, reply });
}
