//! Sends orders to a worker: to start, stop and throttle tasks.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{StartReply, StopReply, TaskId};
use workswood_platform::jobs::{StartOrder, WorkerError};

use super::RelayContext;
use super::assigned_worker::AssignedWorker;
use super::messages::{StartTask, WorkerEvent};
use super::order_wait::{OrderKind, OrderWait};
use super::poll::{self, report_end_of_assignment};

/// Timeouts of the attempts to send a start order. They grow, so that a lost order is soon sent
/// again, and a slow worker can still answer the last attempt.
pub const START_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(400), Duration::from_millis(600)];
/// Number of attempts to send a stop order.
const STOP_ATTEMPTS: u32 = 2;

/// Sends a start order once other orders allow it, unless it is taken back before.
pub(super) async fn start(cx: Arc<RelayContext>, worker: Arc<AssignedWorker>, start: StartTask) {
    let wait = OrderWait::begin(&cx, OrderKind::Start);
    let _permit = worker.order_permits.for_start().await;
    let (task, attempt) = (start.task, start.attempt);
    if !worker.pending_starts.begin((task, attempt)) {
        return;
    }
    wait.end(&cx, &worker, task);
    let reply = try_start(&cx, &worker, &start).await;
    worker.pending_starts.end((task, attempt));
    cx.node.metrics.task_starts.with_label_values(&[start_label(reply)]).inc();
    if reply.is_answer() {
        worker.record_answer(cx.node.now());
    }
    worker.run_tracker.lock().start_answered(task, attempt, reply, cx.node.now());
    cx.sink.report(&cx.node, &worker, WorkerEvent::Started { task, attempt, reply });
}

/// Sends a start order until it is answered or its attempts are used up.
async fn try_start(cx: &RelayContext, worker: &AssignedWorker, start: &StartTask) -> StartReply {
    let mut unanswered = false;
    // All attempts carry the same end of the lease, so that a worker that has fallen silent holds its tasks no longer
    // than after the first one.
    let mut lease_end = None;
    for timeout in START_TIMEOUTS {
        let Some(send_until) = confirm_incarnation(cx, worker, start.task).await else { break };
        // The end of the lease is computed before the permission to send it is checked. If the
        // process is paused in between, it sends a lease that has ended, which the worker refuses.
        let now = cx.node.now();
        if cx.node.operator_state.is_evacuated(&worker.address.data_centre, now) {
            let (worker, task) = (&worker.address.id, start.task);
            log::info!("event=start_not_sent worker={worker} task={task} reason=data_centre_evacuated");
            break;
        }
        let lease = cx.lease_from(now);
        let until = now + lease.max_duration_with_drift();
        let first = lease_end.is_none();
        lease_end = lease_end.or_else(|| worker.lease_end(now, lease.duration));
        let Some(lease_end) = lease_end else { break };
        if !worker.pending_starts.may_send((start.task, start.attempt)) {
            break;
        }
        let may_lease = || if first { worker.may_lease_until(until) } else { worker.may_repeat_lease() };
        if !cx.grant.holds(cx.node.now()) || !may_lease() {
            break;
        }
        let order = StartOrder {
            task: start.task,
            attempt: start.attempt,
            spec: start.spec.clone(),
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
            lease_end: lease_end.at,
            timeout: timeout.min(send_until.saturating_sub(now)),
        };
        match cx.node.platform.start_task(&worker.address, worker.token, order).await {
            Ok(()) => {
                worker.confirm_lease(lease_end);
                return StartReply::Taken;
            }
            Err(WorkerError::Fenced) => return StartReply::Deposed,
            Err(WorkerError::OtherLife) => {
                let silent_for = worker.silent_for(cx.node.now());
                poll::report_confirmed_lease(cx, worker);
                cx.sink.report(&cx.node, worker, WorkerEvent::IncarnationEnded(silent_for));
                return StartReply::NoAnswer;
            }
            // Only polls return this error.
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

/// Makes sure that a start reaches the incarnation that is meant and no later one; polls the worker
/// if that is not certain. Returns until when the start may be sent, `None` if it may not.
async fn confirm_incarnation(cx: &RelayContext, worker: &AssignedWorker, task: TaskId) -> Option<Duration> {
    let sent = cx.node.now();
    if let Some(until) = worker.start_until(sent) {
        return Some(until);
    }
    let poll = cx.node.platform.poll_worker(&worker.address, worker.token, 0, None, Duration::ZERO);
    let res = poll.await;
    match res {
        Ok(_) => worker.record_incarnation(sent),
        Err(e) => {
            report_end_of_assignment(cx, worker, e);
        }
    }
    let until = worker.start_until(cx.node.now());
    let outcome = if until.is_some() { "certain" } else { "uncertain" };
    cx.node.metrics.incarnation_checks.with_label_values(&[outcome]).inc();
    if until.is_none() {
        let (worker, error) = (&worker.address.id, res.err());
        log::info!(
            "event=start_not_sent worker={worker} task={task} reason=incarnation_uncertain error={error:?}"
        );
    }
    until
}

/// The label of the outcome of a start order in metrics.
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

pub(super) async fn throttle(
    cx: Arc<RelayContext>,
    worker: Arc<AssignedWorker>,
    task: TaskId,
    attempt: u32,
    percent: u32,
) {
    let wait = OrderWait::begin(&cx, OrderKind::Throttle);
    let _permit = worker.order_permits.for_other().await;
    wait.end(&cx, &worker, task);
    let res = cx.node.platform.throttle_task(&worker.address, worker.token, task, attempt, percent).await;
    if let Err(e) = res {
        // The next poll reports the load again, from which the pace is decided anew.
        log::warn!("event=pace_not_taken worker={} task={task} error={e:?}", worker.address.id);
    }
}

/// Reports the outcome of a start that was taken back before it was sent.
pub(super) fn report_withdrawn(cx: &RelayContext, worker: &AssignedWorker, task: TaskId, attempt: u32) {
    cx.node.metrics.count_withdrawn_start();
    let reply = StartReply::NotSent;
    cx.sink.report(&cx.node, worker, WorkerEvent::Started { task, attempt, reply });
}

pub(super) async fn stop(cx: Arc<RelayContext>, worker: Arc<AssignedWorker>, task: TaskId, attempt: u32) {
    let wait = OrderWait::begin(&cx, OrderKind::Stop);
    let permit = worker.order_permits.for_other().await;
    wait.end(&cx, &worker, task);
    let mut reply = StopReply::NoAnswer;
    for _ in 0..STOP_ATTEMPTS {
        reply = match cx.node.platform.stop_task(&worker.address, worker.token, task, attempt).await {
            Ok(()) => StopReply::Taken,
            Err(WorkerError::Fenced) => StopReply::Deposed,
            Err(e) => {
                log::debug!("event=stop_failed worker={} task={task} error={e:?}", worker.address.id);
                StopReply::NoAnswer
            }
        };
        if reply != StopReply::NoAnswer || worker.is_unassigned() {
            break;
        }
    }
    if reply == StopReply::Taken {
        worker.record_answer(cx.node.now());
    }
    let now = cx.node.now();
    let unheard = reply == StopReply::Taken && worker.run_tracker.lock().stop_accepted(task, attempt, now);
    cx.sink.report(&cx.node, &worker, WorkerEvent::Stopped { task, attempt, reply });
    if unheard {
        drop(permit);
        poll::poll_after_stop(&cx, &worker, (task, attempt)).await;
    }
}
