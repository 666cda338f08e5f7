//! A scheduler whose queue has advice, event by event.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, Advice, AdviceConfig, AdviceReply, AdviceResult, Event, SchedConfig, StepId,
};

use crate::host_world::HostWorld;
use crate::job_world::{QUEUE, config};

/// A queue of the same service without advice.
pub const PLAIN: &str = "plain";

/// What is in force: one queue with advice, and one without.
pub fn advised_config(cfg: AdviceConfig, version: u64) -> SchedConfig {
    let mut all = config();
    all.version = version;
    let plain = all.queues[QUEUE].clone();
    all.queues.insert(PLAIN.to_string(), plain);
    if let Some(q) = all.queues.get_mut(QUEUE) {
        q.advice = Some(cfg);
    }
    all
}

/// A scheduler that knows this many idle workers, and a queue with advice.
pub fn advised(workers: usize, cfg: AdviceConfig) -> HostWorld {
    let mut world = HostWorld::new(workers);
    world.sched.handle(Event::ConfigChanged(Arc::new(advised_config(cfg, 2))));
    world
}

/// The first call to the adviser among actions.
pub fn asked(actions: &[Action]) -> Option<(StepId, Vec<WorkerId>)> {
    calls(actions).into_iter().next().map(|(_, step, ids)| (step, ids))
}

/// All calls to the adviser among actions, with their lanes.
pub fn calls(actions: &[Action]) -> Vec<(usize, StepId, Vec<WorkerId>)> {
    let call = |a: &Action| match a {
        Action::Advise { channel: lane, step, workers, .. } => Some((*lane, *step, workers.clone())),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Workers that tasks are started on, each with its ticket.
pub fn started(actions: &[Action]) -> Vec<(WorkerId, Option<Arc<str>>)> {
    let start = |a: &Action| match a {
        Action::Start { worker, ticket, .. } => Some((worker.clone(), ticket.clone())),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// An answer to this entry's call: some of the workers are good.
pub fn advice(step: StepId, asked: &[WorkerId], good: &[WorkerId], valid: Duration) -> Event {
    let ticket = |id: &WorkerId| (id.clone(), format!("for-{id}").as_str().into());
    let answer = Advice { tickets: good.iter().map(ticket).collect(), valid_for: Some(valid) };
    failed(0, step, asked, AdviceReply::Answered(answer))
}

/// The outcome of a call.
pub fn failed(lane: usize, step: StepId, asked: &[WorkerId], reply: AdviceReply) -> Event {
    Event::AdviceReceived(AdviceResult { channel: lane, step, workers: asked.to_vec(), reply })
}
