//! A scheduler whose queue has an adviser, driven event by event.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, Advice, AdviceConfig, AdviceReply, AdviceResult, Event, SchedConfig, StepId,
};

use crate::host_world::HostWorld;
use crate::job_world::{QUEUE, config};

/// Name of a queue of the same service without an adviser.
pub const PLAIN: &str = "plain";

/// Returns a configuration with one queue that has an adviser and one that has none.
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

/// Creates a scheduler with this many idle workers and a queue that has an adviser.
pub fn advised(workers: usize, cfg: AdviceConfig) -> HostWorld {
    let mut world = HostWorld::new(workers);
    world.sched.handle(Event::ConfigChanged(Arc::new(advised_config(cfg, 2))));
    world
}

/// Returns the step and the workers of the first call to the adviser.
pub fn asked(actions: &[Action]) -> Option<(StepId, Vec<WorkerId>)> {
    calls(actions).into_iter().next().map(|(_, step, ids)| (step, ids))
}

/// Returns channel, step and workers of all calls to the adviser.
pub fn calls(actions: &[Action]) -> Vec<(usize, StepId, Vec<WorkerId>)> {
    let call = |a: &Action| match a {
        Action::Advise { channel, step, workers, .. } => Some((*channel, *step, workers.clone())),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Returns the workers on which tasks are started, each with its ticket.
pub fn started(actions: &[Action]) -> Vec<(WorkerId, Option<Arc<str>>)> {
    let start = |a: &Action| match a {
        Action::Start { worker, ticket, .. } => Some((worker.clone(), ticket.clone())),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Returns the answer to a call on channel 0 that has a ticket for each suitable worker.
pub fn advice(step: StepId, asked: &[WorkerId], suitable: &[WorkerId], valid_for: Duration) -> Event {
    let ticket = |id: &WorkerId| (id.clone(), format!("for-{id}").as_str().into());
    let answer = Advice { tickets: suitable.iter().map(ticket).collect(), valid_for: Some(valid_for) };
    failed(0, step, asked, AdviceReply::Answered(answer))
}

/// Returns the event of a call that ended with this reply.
pub fn failed(channel: usize, step: StepId, asked: &[WorkerId], reply: AdviceReply) -> Event {
    Event::AdviceReceived(AdviceResult { channel, step, workers: asked.to_vec(), reply })
}
