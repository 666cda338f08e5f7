//! Orders and news as messages between processes.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    EndKind, Report, ReportedEnd, ReportedRun, StartReply, StopReply, TaskId, WorkerAddress,
};
use workswood_peers::relay as wire;

use super::order::{Number, Order, StartTask, What};

fn run(task: TaskId, attempt: u32) -> wire::TaskRun {
    let TaskId { job, round, step, index } = task;
    wire::TaskRun { job, round, step: u32::from(step), index, attempt }
}

fn task(run: &wire::TaskRun) -> Option<(TaskId, u32)> {
    let step = u16::try_from(run.step).ok()?;
    Some((TaskId { job: run.job, round: run.round, step, index: run.index }, run.attempt))
}

/// Orders as a message says them. Starts in a row that pass the same text say it once.
pub fn write_orders(orders: Vec<(Number, Order)>) -> Vec<wire::RelayOrder> {
    let mut text_before: Option<Arc<str>> = None;
    let write = |(worker, order): (Number, Order)| {
        let order = match order {
            Order::Start(s) => {
                let same = text_before.as_ref().is_some_and(|t| Arc::ptr_eq(t, &s.text));
                let text = (!same).then(|| s.text.to_string());
                text_before = Some(s.text.clone());
                wire::Order::Start(wire::StartTask {
                    run: Some(run(s.task, s.attempt)),
                    spec: text,
                    checkpoint: s.checkpoint,
                    ticket: s.ticket.map(|t| t.to_string()),
                })
            }
            other => write_order(other),
        };
        wire::RelayOrder { worker, order: Some(order) }
    };
    orders.into_iter().map(write).collect()
}

/// An order other than a start.
fn write_order(order: Order) -> wire::Order {
    match order {
        Order::Attend { worker, token } => {
            let started = worker.id.started_at();
            let (name, address, data_centre) =
                (worker.id.name().to_string(), worker.address, worker.data_centre);
            wire::Order::Assign(wire::AssignWorker { name, address, token, data_centre, started })
        }
        Order::Leave => wire::Order::Unassign(wire::Empty {}),
        Order::Forget(end) => wire::Order::AckEnds(end),
        Order::Figures(wanted) => wire::Order::ReportLoad(wanted),
        Order::Start(s) => wire::Order::Start(wire::StartTask {
            run: Some(run(s.task, s.attempt)),
            spec: Some(s.text.to_string()),
            checkpoint: s.checkpoint,
            ticket: s.ticket.map(|t| t.to_string()),
        }),
        Order::Stop { task, attempt } => wire::Order::Stop(run(task, attempt)),
        Order::Pace { task, attempt, percent } => {
            wire::Order::Throttle(wire::ThrottleTask { run: Some(run(task, attempt)), percent })
        }
    }
}

/// Orders that a message says; `None` if one of them can't be read.
pub fn read_orders(orders: Vec<wire::RelayOrder>) -> Option<Vec<(Number, Order)>> {
    let mut text: Arc<str> = "".into();
    let read = |o: wire::RelayOrder| {
        let order = match o.order? {
            wire::Order::Assign(a) => Order::Attend {
                worker: WorkerAddress {
                    id: WorkerId::new(&a.name, a.started),
                    address: a.address,
                    data_centre: a.data_centre,
                },
                token: a.token,
            },
            wire::Order::Unassign(_) => Order::Leave,
            wire::Order::AckEnds(end) => Order::Forget(end),
            wire::Order::ReportLoad(wanted) => Order::Figures(wanted),
            wire::Order::Start(s) => {
                if let Some(fresh) = s.spec {
                    text = fresh.into();
                }
                let (task, attempt) = task(&s.run?)?;
                let ticket = s.ticket.map(Arc::from);
                Order::Start(StartTask {
                    task,
                    attempt,
                    text: text.clone(),
                    checkpoint: s.checkpoint,
                    ticket,
                })
            }
            wire::Order::Stop(run) => {
                let (task, attempt) = task(&run)?;
                Order::Stop { task, attempt }
            }
            wire::Order::Throttle(p) => {
                let (task, attempt) = task(&p.run?)?;
                Order::Pace { task, attempt, percent: p.percent }
            }
        };
        Some((o.worker, order))
    };
    orders.into_iter().map(read).collect()
}

/// News as a message says them.
pub fn write_news(news: Vec<(Number, What)>) -> Vec<wire::WorkerEvent> {
    let write = |(worker, what): (Number, What)| {
        let silent_ms = silence(&what).map(|d| d.as_millis() as u64);
        let restarted_at = match &what {
            What::Restarted(started, _) => Some(*started),
            _ => None,
        };
        wire::WorkerEvent { worker, silent_ms, restarted_at, event: Some(write_what(what)) }
    };
    news.into_iter().map(write).collect()
}

/// How long ago the worker last answered, where news tell.
fn silence(what: &What) -> Option<Duration> {
    match what {
        What::Unanswered { silent, .. } | What::LifeOver(silent) | What::Restarted(_, silent) => {
            Some(*silent)
        }
        _ => None,
    }
}

fn write_what(what: What) -> wire::News {
    match what {
        What::Reported(report) => wire::News::Reported(write_report(report)),
        What::Doubted => wire::News::ReplyLate(wire::Empty {}),
        What::Unanswered { leased, .. } => wire::News::Unanswered(millis_up(leased)),
        // Versions before this one know of no restart: to them it is another life.
        What::LifeOver(_) | What::Restarted(..) => wire::News::IncarnationEnded(wire::Empty {}),
        What::Fenced => wire::News::Fenced(wire::Empty {}),
        What::Started { task, attempt, reply } => {
            let outcome = outcome(reply) as i32;
            wire::News::Started(wire::StartedTask { run: Some(run(task, attempt)), outcome })
        }
        // A worker that knows a higher token says so to the next look, too.
        What::Stopped { task, attempt, reply } => wire::News::Stopped(wire::StoppedTask {
            run: Some(run(task, attempt)),
            accepted: reply == StopReply::Taken,
        }),
    }
}

/// Whole milliseconds, rounded up: a lease must not be taken to end early.
fn millis_up(d: Duration) -> u32 {
    u32::try_from(d.as_millis() + 1).unwrap_or(u32::MAX)
}

fn write_report(report: Report) -> wire::StatusReport {
    let running = report.running.into_iter().map(|r| wire::RunningTask {
        run: Some(run(r.task, r.attempt)),
        checkpoint: r.checkpoint,
        percent: r.percent,
        load: r.load,
        stalled_ms: r.stalled_for.as_millis() as u32,
    });
    let ended = report.ended.into_iter().map(|e| wire::EndedTask {
        run: Some(run(e.task, e.attempt)),
        number: e.sequence_number,
        reason: how(e.kind) as i32,
        checkpoint: e.checkpoint,
    });
    wire::StatusReport {
        complete: report.full,
        running: running.collect(),
        vanished: report.missing.into_iter().map(|(task, attempt)| run(task, attempt)).collect(),
        ended: ended.collect(),
    }
}

/// What is new, as a message says it; `None` if it can't be read.
pub fn read_news(news: wire::WorkerEvent) -> Option<(Number, What)> {
    // Versions before this one did not tell; then it counts as heard just now.
    let silent = Duration::from_millis(news.silent_ms.unwrap_or(0));
    let what = match news.event? {
        wire::News::Reported(report) => What::Reported(read_report(report)?),
        wire::News::ReplyLate(_) => What::Doubted,
        wire::News::Unanswered(ms) => {
            What::Unanswered { leased: Duration::from_millis(u64::from(ms)), silent }
        }
        wire::News::IncarnationEnded(_) => match news.restarted_at {
            Some(started) => What::Restarted(started, silent),
            None => What::LifeOver(silent),
        },
        wire::News::Fenced(_) => What::Fenced,
        wire::News::Started(s) => {
            let reply = reply(wire::StartOutcome::try_from(s.outcome).ok()?);
            let (task, attempt) = task(&s.run?)?;
            What::Started { task, attempt, reply }
        }
        wire::News::Stopped(s) => {
            let reply = if s.accepted { StopReply::Taken } else { StopReply::NoAnswer };
            let (task, attempt) = task(&s.run?)?;
            What::Stopped { task, attempt, reply }
        }
    };
    Some((news.worker, what))
}

fn read_report(report: wire::StatusReport) -> Option<Report> {
    let running = report.running.into_iter().map(|r| {
        let (task, attempt) = task(&r.run?)?;
        let still = Duration::from_millis(u64::from(r.stalled_ms));
        Some(ReportedRun {
            task,
            attempt,
            checkpoint: r.checkpoint,
            percent: r.percent,
            load: r.load,
            stalled_for: still,
        })
    });
    let ended = report.ended.into_iter().map(|e| {
        let (task, attempt) = task(&e.run?)?;
        let kind = kind(wire::EndedHow::try_from(e.reason).ok()?);
        Some(ReportedEnd { sequence_number: e.number, task, attempt, kind, checkpoint: e.checkpoint })
    });
    Some(Report {
        full: report.complete,
        running: running.collect::<Option<_>>()?,
        missing: report.vanished.iter().map(task).collect::<Option<_>>()?,
        ended: ended.collect::<Option<_>>()?,
    })
}

fn how(kind: EndKind) -> wire::EndedHow {
    match kind {
        EndKind::Done => wire::EndedHow::Done,
        EndKind::Failed => wire::EndedHow::Failed,
        EndKind::Stopped => wire::EndedHow::Stopped,
        EndKind::Lapsed => wire::EndedHow::Lapsed,
        EndKind::Broken => wire::EndedHow::Broken,
        EndKind::Alone => wire::EndedHow::Alone,
    }
}

fn kind(how: wire::EndedHow) -> EndKind {
    match how {
        wire::EndedHow::Done => EndKind::Done,
        wire::EndedHow::Failed => EndKind::Failed,
        wire::EndedHow::Stopped => EndKind::Stopped,
        wire::EndedHow::Lapsed => EndKind::Lapsed,
        wire::EndedHow::Broken => EndKind::Broken,
        wire::EndedHow::Alone => EndKind::Alone,
    }
}

fn outcome(reply: StartReply) -> wire::StartOutcome {
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

fn reply(outcome: wire::StartOutcome) -> StartReply {
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
