//! Calls to the adviser. Each host has a turn of its own there, so the lease
//! holder has other hosts call too; each has one call under way at a time.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Advice, AdviceReply, AdviceResult, Event, StepId};
use workswood_peers as wire;
use workswood_peers::{AdviceOutcome, AdviceTicket, CallError, Msg};

use super::node::{Leading, Node};

/// A process that calls for another is waited for this much longer than its call:
/// a few times the way there and back on a busy host.
const HELP_SLACK: Duration = Duration::from_millis(150);

/// A call to the adviser.
pub struct AdviceCall {
    /// Which host makes it; 0 is this one.
    pub lane: usize,
    /// The step.
    pub step: StepId,
    /// The workers.
    pub workers: Vec<WorkerId>,
    /// How long the answer is waited for.
    pub patience: Duration,
}

/// Makes a call, or has it made, and tells the scheduler what came of it.
pub async fn ask(node: Arc<Node>, l: Arc<Leading>, call: AdviceCall) {
    let sent = node.now();
    let reply = match call.lane.checked_sub(1) {
        None => node.platform.advise(call.step, &call.workers, call.patience).await,
        Some(n) => ask_by_helper(&node, n, &call).await,
    };
    let outcome = label(&reply);
    let good = match &reply {
        AdviceReply::Answered(answer) => answer.tickets.len(),
        _ => 0,
    };
    node.metrics.advice_calls.with_label_values(&[outcome]).inc();
    log::info!(
        "event=advice step={} lane={} outcome={outcome} workers={} good={good} took_ms={} patience_ms={}",
        call.step,
        call.lane,
        call.workers.len(),
        (node.now() - sent).as_millis(),
        call.patience.as_millis()
    );
    let advised = AdviceResult { channel: call.lane, step: call.step, workers: call.workers, reply };
    // A scheduler that has just ended takes no more events.
    let _ = l.tx.send(Event::AdviceReceived(advised));
}

/// Has the n-th other process make a call.
async fn ask_by_helper(node: &Node, n: usize, call: &AdviceCall) -> AdviceReply {
    let own = node.settings.peers.to_string();
    let Some(address) = node.peers.others(&own).into_iter().nth(n) else { return AdviceReply::NotSent };
    let msg = Msg::AdviceRequest(wire::AdviceRequest {
        job: call.step.job,
        round: call.step.round,
        step: u32::from(call.step.step),
        workers: call.workers.iter().map(|id| id.to_string()).collect(),
        timeout_ms: call.patience.as_millis() as u32,
    });
    match node.peers.call(&node.id, &address, msg, call.patience + HELP_SLACK).await {
        Ok(Msg::AdviceReply(reply)) => read(reply),
        Err(CallError::NotSent) => AdviceReply::NotSent,
        Ok(_) | Err(CallError::NoAnswer) => AdviceReply::NoAnswer,
    }
}

/// Makes a call for the lease holder.
pub async fn ask_for(node: &Node, asked: wire::AdviceRequest) -> wire::AdviceReply {
    let Ok(step) = u16::try_from(asked.step) else {
        return write(AdviceReply::Refused);
    };
    let step = StepId { job: asked.job, round: asked.round, step };
    let workers: Vec<WorkerId> = asked.workers.iter().map(|id| id.as_str().into()).collect();
    let patience = Duration::from_millis(u64::from(asked.timeout_ms));
    let reply = node.platform.advise(step, &workers, patience).await;
    node.metrics.advice_calls.with_label_values(&[label(&reply)]).inc();
    log::info!("event=helped_advice step={step} outcome={} workers={}", label(&reply), workers.len());
    write(reply)
}

fn write(reply: AdviceReply) -> wire::AdviceReply {
    let outcome = match &reply {
        AdviceReply::Answered(_) => AdviceOutcome::Answered,
        AdviceReply::Busy => AdviceOutcome::Busy,
        AdviceReply::Refused => AdviceOutcome::Refused,
        AdviceReply::NoAnswer => AdviceOutcome::NoAnswer,
        AdviceReply::NotSent => AdviceOutcome::NotSent,
    };
    let answer = match reply {
        AdviceReply::Answered(answer) => answer,
        _ => Advice::default(),
    };
    let row = |(id, ticket): (WorkerId, Arc<str>)| AdviceTicket {
        worker: id.to_string(),
        ticket: ticket.to_string(),
    };
    wire::AdviceReply {
        outcome: outcome as i32,
        suitable: answer.tickets.into_iter().map(row).collect(),
        valid_ms: answer.valid_for.map(|v| v.as_millis() as u64),
    }
}

fn read(reply: wire::AdviceReply) -> AdviceReply {
    let good = reply.suitable.into_iter().map(|t| (t.worker.into(), t.ticket.into())).collect();
    let valid = reply.valid_ms.map(Duration::from_millis);
    match AdviceOutcome::try_from(reply.outcome).unwrap_or(AdviceOutcome::NoAnswer) {
        AdviceOutcome::Answered => AdviceReply::Answered(Advice { tickets: good, valid_for: valid }),
        AdviceOutcome::Busy => AdviceReply::Busy,
        AdviceOutcome::Refused => AdviceReply::Refused,
        AdviceOutcome::NoAnswer => AdviceReply::NoAnswer,
        AdviceOutcome::NotSent => AdviceReply::NotSent,
    }
}

/// The label of a call's outcome in metrics and logs.
fn label(reply: &AdviceReply) -> &'static str {
    match reply {
        AdviceReply::Answered(_) => "answered",
        AdviceReply::Busy => "busy",
        AdviceReply::Refused => "refused",
        AdviceReply::NoAnswer => "no_answer",
        AdviceReply::NotSent => "not_sent",
    }
}
