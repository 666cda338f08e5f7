//! Calls to the platform's adviser, which says which workers suit a step.
//!
//! The adviser limits each entry separately, so the lease holder also calls it through other entries. A
//! channel is one entry that calls it, with one call in flight at a time.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Advice, AdviceReply, AdviceResult, Event, JobKey, StepId};
use workswood_peers as wire;
use workswood_peers::{AdviceOutcome, AdviceTicket, CallError, Msg};

use super::node::{Node, SchedulerHandle};

/// Added to the timeout of a call that another entry makes, for the round trip to that entry.
const PEER_CALL_MARGIN: Duration = Duration::from_millis(150);

/// A call to the adviser.
pub struct AdviceCall {
    /// The channel to call through: 0 is this process, others are peers.
    pub channel: usize,
    /// Step whose tasks are to be placed.
    pub step: StepId,
    /// Workers to ask about.
    pub workers: Vec<WorkerId>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// Makes a call through its channel and hands the result to the scheduler.
pub async fn call_adviser(node: Arc<Node>, handle: Arc<SchedulerHandle>, call: AdviceCall) {
    let sent = node.now();
    let reply = match call.channel.checked_sub(1) {
        None => node.platform.advise(call.step, &call.workers, call.timeout).await,
        Some(n) => call_through_peer(&node, n, &call).await,
    };
    let outcome = label(&reply);
    let suitable = match &reply {
        AdviceReply::Answered(advice) => advice.tickets.len(),
        _ => 0,
    };
    node.metrics.advice_calls.with_label_values(&[outcome]).inc();
    log::info!(
        "event=advice step={} lane={} outcome={outcome} workers={} good={suitable} took_ms={} patience_ms={}",
        call.step,
        call.channel,
        call.workers.len(),
        (node.now() - sent).as_millis(),
        call.timeout.as_millis()
    );
    let result = AdviceResult { channel: call.channel, step: call.step, workers: call.workers, reply };
    // Sending fails if the scheduler has just stopped.
    let _ = handle.tx.send(Event::AdviceReceived(result));
}

/// Has the `n`-th peer make a call.
async fn call_through_peer(node: &Node, n: usize, call: &AdviceCall) -> AdviceReply {
    let own = node.settings.peers.to_string();
    let Some(address) = node.peers.other_addresses(&own).into_iter().nth(n) else {
        return AdviceReply::NotSent;
    };
    let msg = Msg::AdviceRequest(wire::AdviceRequest {
        job: call.step.job.number,
        round: call.step.round,
        step: u32::from(call.step.step),
        workers: call.workers.iter().map(|id| id.to_string()).collect(),
        timeout_ms: call.timeout.as_millis().try_into().unwrap_or(u32::MAX),
    });
    match node.peers.call(&node.id, &address, msg, call.timeout + PEER_CALL_MARGIN).await {
        Ok(Msg::AdviceReply(reply)) => from_wire(reply),
        Err(CallError::NotSent) => AdviceReply::NotSent,
        Ok(_) | Err(CallError::NoAnswer) => AdviceReply::NoAnswer,
    }
}

/// Answers a peer's request to call the adviser for it.
pub async fn answer_peer(node: &Node, req: wire::AdviceRequest) -> wire::AdviceReply {
    let Ok(step) = u16::try_from(req.step) else {
        return to_wire(AdviceReply::Refused);
    };
    let step = StepId { job: JobKey::of_number(req.job), round: req.round, step };
    let workers: Vec<WorkerId> = req.workers.iter().map(|id| id.as_str().into()).collect();
    let timeout = Duration::from_millis(u64::from(req.timeout_ms));
    let reply = node.platform.advise(step, &workers, timeout).await;
    node.metrics.advice_calls.with_label_values(&[label(&reply)]).inc();
    log::info!("event=helped_advice step={step} outcome={} workers={}", label(&reply), workers.len());
    to_wire(reply)
}

fn to_wire(reply: AdviceReply) -> wire::AdviceReply {
    let outcome = match &reply {
        AdviceReply::Answered(_) => AdviceOutcome::Answered,
        AdviceReply::Busy => AdviceOutcome::Busy,
        AdviceReply::Refused => AdviceOutcome::Refused,
        AdviceReply::NoAnswer => AdviceOutcome::NoAnswer,
        AdviceReply::NotSent => AdviceOutcome::NotSent,
    };
    let advice = match reply {
        AdviceReply::Answered(advice) => advice,
        _ => Advice::default(),
    };
    let to_ticket = |(id, ticket): (WorkerId, Arc<str>)| AdviceTicket {
        worker: id.to_string(),
        ticket: ticket.to_string(),
    };
    wire::AdviceReply {
        outcome: outcome as i32,
        suitable: advice.tickets.into_iter().map(to_ticket).collect(),
        valid_ms: advice.valid_for.map(|v| v.as_millis() as u64),
    }
}

fn from_wire(reply: wire::AdviceReply) -> AdviceReply {
    let tickets = reply.suitable.into_iter().map(|t| (t.worker.into(), t.ticket.into())).collect();
    let valid_for = reply.valid_ms.map(Duration::from_millis);
    match AdviceOutcome::try_from(reply.outcome).unwrap_or(AdviceOutcome::NoAnswer) {
        AdviceOutcome::Answered => AdviceReply::Answered(Advice { tickets, valid_for }),
        AdviceOutcome::Busy => AdviceReply::Busy,
        AdviceOutcome::Refused => AdviceReply::Refused,
        AdviceOutcome::NoAnswer => AdviceReply::NoAnswer,
        AdviceOutcome::NotSent => AdviceReply::NotSent,
    }
}

/// Returns the outcome of a call as metrics and logs show it.
fn label(reply: &AdviceReply) -> &'static str {
    match reply {
        AdviceReply::Answered(_) => "answered",
        AdviceReply::Busy => "busy",
        AdviceReply::Refused => "refused",
        AdviceReply::NoAnswer => "no_answer",
        AdviceReply::NotSent => "not_sent",
    }
}
