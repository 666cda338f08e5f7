//! Converts orders and events to messages between processes, and back.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::Term;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::{
    EndKind, JobKey, Report, ReportedEnd, ReportedRun, StartReply, StopReply, TaskId, WorkerAddress,
};
use workswood_peers::relay as wire;

use super::messages::{StartTask, WorkerEvent, WorkerNumber, WorkerOrder};

fn write_run(task: TaskId, attempt: u32) -> wire::TaskRun {
    let TaskId { job, round, step, index } = task;
    wire::TaskRun { job: job.number, round, step: u32::from(step), index, attempt }
}

fn read_run(run: &wire::TaskRun) -> Option<(TaskId, u32)> {
    let step = u16::try_from(run.step).ok()?;
    let job = JobKey::of_number(run.job);
    Some((TaskId { job, round: run.round, step, index: run.index }, run.attempt))
}

/// Converts orders to messages. Consecutive starts with the same specification contain it once.
pub fn write_orders(orders: Vec<(WorkerNumber, WorkerOrder)>) -> Vec<wire::RelayOrder> {
    let mut last_spec: Option<Arc<str>> = None;
    let write = |(worker, order): (WorkerNumber, WorkerOrder)| {
        let unless_sent = matches!(order, WorkerOrder::WithdrawStart { .. });
        let order = match order {
            WorkerOrder::Start(s) => {
                let same = last_spec.as_ref().is_some_and(|t| Arc::ptr_eq(t, &s.spec));
                let spec = (!same).then(|| s.spec.to_string());
                last_spec = Some(s.spec.clone());
                wire::Order::Start(wire::StartTask {
                    run: Some(write_run(s.task, s.attempt)),
                    spec,
                    checkpoint: s.checkpoint,
                    ticket: s.ticket.map(|t| t.to_string()),
                })
            }
            other => write_order(other),
        };
        wire::RelayOrder { worker, unless_sent, order: Some(order) }
    };
    orders.into_iter().map(write).collect()
}

fn write_assignment(worker: WorkerAddress, token: Term, extensions: ExtensionOrders) -> wire::AssignWorker {
    let started = worker.id.started_at();
    let (name, address, data_centre) = (worker.id.name().to_string(), worker.address, worker.data_centre);
    let waits = extensions == ExtensionOrders::FromStart;
    let waits_after_silence = extensions == ExtensionOrders::AfterSilence;
    wire::AssignWorker { name, address, token, data_centre, started, waits, waits_after_silence }
}

fn read_assignment(a: wire::AssignWorker) -> WorkerOrder {
    let id = WorkerId::new(&a.name, a.started);
    let worker = WorkerAddress { id, address: a.address, data_centre: a.data_centre };
    let extensions = match (a.waits, a.waits_after_silence) {
        (true, _) => ExtensionOrders::FromStart,
        (false, true) => ExtensionOrders::AfterSilence,
        (false, false) => ExtensionOrders::NotNeeded,
    };
    WorkerOrder::Assign { worker, token: a.token, extensions }
}

/// Converts an order other than a start, whose specification depends on the previous start.
fn write_order(order: WorkerOrder) -> wire::Order {
    match order {
        WorkerOrder::Assign { worker, token, extensions } => {
            wire::Order::Assign(write_assignment(worker, token, extensions))
        }
        WorkerOrder::ExtendLeases(unanswered) => wire::Order::ExtendLeases(unanswered),
        WorkerOrder::Unassign => wire::Order::Unassign(wire::Empty {}),
        WorkerOrder::AckEnds(end) => wire::Order::AckEnds(end),
        WorkerOrder::ReportLoad(wanted) => wire::Order::ReportLoad(wanted),
        WorkerOrder::Start(s) => wire::Order::Start(wire::StartTask {
            run: Some(write_run(s.task, s.attempt)),
            spec: Some(s.spec.to_string()),
            checkpoint: s.checkpoint,
            ticket: s.ticket.map(|t| t.to_string()),
        }),
        WorkerOrder::Stop { task, attempt } | WorkerOrder::WithdrawStart { task, attempt } => {
            wire::Order::Stop(write_run(task, attempt))
        }
        WorkerOrder::Throttle { task, attempt, percent } => {
            wire::Order::Throttle(wire::ThrottleTask { run: Some(write_run(task, attempt)), percent })
        }
    }
}

/// Converts messages to orders; `None` if one of them is not valid.
pub fn read_orders(orders: Vec<wire::RelayOrder>) -> Option<Vec<(WorkerNumber, WorkerOrder)>> {
    let mut spec: Arc<str> = "".into();
    let read = |o: wire::RelayOrder| {
        let order = match o.order? {
            wire::Order::Assign(a) => read_assignment(a),
            wire::Order::ExtendLeases(unanswered) => WorkerOrder::ExtendLeases(unanswered),
            wire::Order::Unassign(_) => WorkerOrder::Unassign,
            wire::Order::AckEnds(end) => WorkerOrder::AckEnds(end),
            wire::Order::ReportLoad(wanted) => WorkerOrder::ReportLoad(wanted),
            wire::Order::Start(s) => {
                if let Some(new) = s.spec {
                    spec = new.into();
                }
                let (task, attempt) = read_run(&s.run?)?;
                let ticket = s.ticket.map(Arc::from);
                WorkerOrder::Start(StartTask {
                    task,
                    attempt,
                    spec: spec.clone(),
                    checkpoint: s.checkpoint,
                    ticket,
                })
            }
            wire::Order::Stop(run) => {
                let (task, attempt) = read_run(&run)?;
                match o.unless_sent {
                    true => WorkerOrder::WithdrawStart { task, attempt },
                    false => WorkerOrder::Stop { task, attempt },
                }
            }
            wire::Order::Throttle(p) => {
                let (task, attempt) = read_run(&p.run?)?;
                WorkerOrder::Throttle { task, attempt, percent: p.percent }
            }
        };
        Some((o.worker, order))
    };
    orders.into_iter().map(read).collect()
}

/// Converts events to messages.
pub fn write_events(events: Vec<(WorkerNumber, WorkerEvent)>) -> Vec<wire::WorkerEvent> {
    let write = |(worker, event): (WorkerNumber, WorkerEvent)| {
        let silent_ms = silent_for(&event).map(|d| d.as_millis() as u64);
        let restarted_at = match &event {
            WorkerEvent::Restarted(started, _) => Some(*started),
            _ => None,
        };
        wire::WorkerEvent { worker, silent_ms, restarted_at, event: Some(write_event(event)) }
    };
    events.into_iter().map(write).collect()
}

/// How long ago the worker last answered, for events that contain it.
fn silent_for(event: &WorkerEvent) -> Option<Duration> {
    match event {
        WorkerEvent::Unanswered { silent_for, .. }
        | WorkerEvent::IncarnationEnded(silent_for)
        | WorkerEvent::Restarted(_, silent_for) => Some(*silent_for),
        _ => None,
    }
}

fn write_event(event: WorkerEvent) -> wire::News {
    match event {
        WorkerEvent::Reported(report) => wire::News::Reported(write_report(report)),
        WorkerEvent::ReplyLate => wire::News::ReplyLate(wire::Empty {}),
        WorkerEvent::Unanswered { lease_left, .. } => wire::News::Unanswered(millis_rounded_up(lease_left)),
        // Versions that do not read `restarted_at` treat a restart as the end of the incarnation.
        WorkerEvent::IncarnationEnded(_) | WorkerEvent::Restarted(..) => {
            wire::News::IncarnationEnded(wire::Empty {})
        }
        WorkerEvent::AwaitsOrder => wire::News::AwaitsOrder(wire::Empty {}),
        // Rounded down, so that no lease appears to end too late.
        WorkerEvent::LeaseConfirmed(until) => wire::News::LeaseConfirmed(until.as_millis() as u64),
        WorkerEvent::Fenced => wire::News::Fenced(wire::Empty {}),
        WorkerEvent::Started { task, attempt, reply } => {
            let outcome = write_start_reply(reply) as i32;
            wire::News::Started(wire::StartedTask { run: Some(write_run(task, attempt)), outcome })
        }
        // A worker that refuses a stop due to a higher token refuses the next poll too, which is
        // reported as `Fenced`.
        WorkerEvent::Stopped { task, attempt, reply } => wire::News::Stopped(wire::StoppedTask {
            run: Some(write_run(task, attempt)),
            accepted: reply == StopReply::Taken,
        }),
    }
}

/// Converts to milliseconds, rounded up so that no lease appears to end too early.
fn millis_rounded_up(d: Duration) -> u32 {
    u32::try_from(d.as_millis() + 1).unwrap_or(u32::MAX)
}

fn write_report(report: Report) -> wire::StatusReport {
    let running = report.running.into_iter().map(|r| wire::RunningTask {
        run: Some(write_run(r.task, r.attempt)),
        checkpoint: r.checkpoint,
        percent: r.percent,
        load: r.load,
        stalled_ms: r.stalled_for.as_millis() as u32,
    });
    let ended = report.ended.into_iter().map(|e| wire::EndedTask {
        run: Some(write_run(e.task, e.attempt)),
        number: e.sequence_number,
        reason: write_end_kind(e.kind) as i32,
        checkpoint: e.checkpoint,
    });
    wire::StatusReport {
        complete: report.full,
        running: running.collect(),
        vanished: report.missing.into_iter().map(|(task, attempt)| write_run(task, attempt)).collect(),
        ended: ended.collect(),
    }
}

/// Converts a message to an event; `None` if it is not valid.
pub fn read_event(update: wire::WorkerEvent) -> Option<(WorkerNumber, WorkerEvent)> {
    // Older versions do not send it; then the worker counts as having answered just now.
    let silent_for = Duration::from_millis(update.silent_ms.unwrap_or(0));
    let event = match update.event? {
        wire::News::Reported(report) => WorkerEvent::Reported(read_report(report)?),
        wire::News::ReplyLate(_) => WorkerEvent::ReplyLate,
        wire::News::Unanswered(ms) => {
            WorkerEvent::Unanswered { lease_left: Duration::from_millis(u64::from(ms)), silent_for }
        }
        wire::News::IncarnationEnded(_) => match update.restarted_at {
            Some(started) => WorkerEvent::Restarted(started, silent_for),
            None => WorkerEvent::IncarnationEnded(silent_for),
        },
        wire::News::AwaitsOrder(_) => WorkerEvent::AwaitsOrder,
        wire::News::LeaseConfirmed(ms) => WorkerEvent::LeaseConfirmed(Duration::from_millis(ms)),
        wire::News::Fenced(_) => WorkerEvent::Fenced,
        wire::News::Started(s) => {
            let reply = read_start_reply(wire::StartOutcome::try_from(s.outcome).ok()?);
            let (task, attempt) = read_run(&s.run?)?;
            WorkerEvent::Started { task, attempt, reply }
        }
        wire::News::Stopped(s) => {
            let reply = if s.accepted { StopReply::Taken } else { StopReply::NoAnswer };
            let (task, attempt) = read_run(&s.run?)?;
            WorkerEvent::Stopped { task, attempt, reply }
        }
    };
    Some((update.worker, event))
}

fn read_report(report: wire::StatusReport) -> Option<Report> {
    let running = report.running.into_iter().map(|r| {
        let (task, attempt) = read_run(&r.run?)?;
        let stalled_for = Duration::from_millis(u64::from(r.stalled_ms));
        Some(ReportedRun {
            task,
            attempt,
            checkpoint: r.checkpoint,
            percent: r.percent,
            load: r.load,
            stalled_for,
        })
    });
    let ended = report.ended.into_iter().map(|e| {
        let (task, attempt) = read_run(&e.run?)?;
        let kind = read_end_kind(wire::EndedHow::try_from(e.reason).ok()?);
        Some(ReportedEnd { sequence_number: e.number, task, attempt, kind, checkpoint: e.checkpoint })
    });
    Some(Report {
        full: report.complete,
        running: running.collect::<Option<_>>()?,
        missing: report.vanished.iter().map(read_run).collect::<Option<_>>()?,
        ended: ended.collect::<Option<_>>()?,
    })
}

fn write_end_kind(kind: EndKind) -> wire::EndedHow {
    match kind {
        EndKind::Done => wire::EndedHow::Done,
        EndKind::Failed => wire::EndedHow::Failed,
        EndKind::Stopped => wire::EndedHow::Stopped,
        EndKind::Lapsed => wire::EndedHow::Lapsed,
        EndKind::Broken => wire::EndedHow::Broken,
        EndKind::Alone => wire::EndedHow::Alone,
    }
}

fn read_end_kind(how: wire::EndedHow) -> EndKind {
    match how {
        wire::EndedHow::Done => EndKind::Done,
        wire::EndedHow::Failed => EndKind::Failed,
        wire::EndedHow::Stopped => EndKind::Stopped,
        wire::EndedHow::Lapsed => EndKind::Lapsed,
        wire::EndedHow::Broken => EndKind::Broken,
        wire::EndedHow::Alone => EndKind::Alone,
    }
}

fn write_start_reply(reply: StartReply) -> wire::StartOutcome {
    match reply {
        StartReply::Taken => wire::StartOutcome::Taken,
        StartReply::Refused => wire::StartOutcome::Refused,
        StartReply::Ticket => wire::StartOutcome::Ticket,
        StartReply::Unwell => wire::StartOutcome::Unwell,
        StartReply::Unsure => wire::StartOutcome::Unsure,
        StartReply::NoAnswer => wire::StartOutcome::NoAnswer,
        StartReply::NotSent => wire::StartOutcome::NotSent,
        StartReply::Deposed => wire::StartOutcome::Deposed,
    }
}

fn read_start_reply(outcome: wire::StartOutcome) -> StartReply {
    match outcome {
        wire::StartOutcome::Taken => StartReply::Taken,
        wire::StartOutcome::Refused => StartReply::Refused,
        wire::StartOutcome::Ticket => StartReply::Ticket,
        wire::StartOutcome::Unwell => StartReply::Unwell,
        wire::StartOutcome::Unsure => StartReply::Unsure,
        wire::StartOutcome::NoAnswer => StartReply::NoAnswer,
        wire::StartOutcome::NotSent => StartReply::NotSent,
        wire::StartOutcome::Deposed => StartReply::Deposed,
    }
}
