//! Questions of callers, answered by the holder of the scheduler lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use workswood_core::jobs::{JobKey, JobStatus, Outcome, Owner};
use workswood_peers::{JobState, JobStateReply, JobStateRequest, Msg, PendingJobsReply, PendingJobsRequest};

use super::node::{Holder, Node, SchedulerHandle};

/// Longest wait for the holder's answer; a few times the way there and back on
/// a busy host.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long one waits for word of a later holder when the one that is known does not speak for the jobs: a
/// read of the store on a busy host.
const LATER_WITHIN: Duration = Duration::from_millis(300);
/// The holder speaks for the inbox only if it read it this recently.
const INBOX_AGE: Duration = Duration::from_millis(2500);

/// Answer to a question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told<T> {
    /// The holder knows.
    Known(T),
    /// The holder is up to date and knows of no such thing.
    Unknown,
    /// The holder can't be asked.
    Unreachable,
}

impl<T> Told<T> {
    /// Its label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Told::Known(_) => "known",
            Told::Unknown => "unknown",
            Told::Unreachable => "unreachable",
        }
    }
}

fn current(node: &Node, l: &SchedulerHandle) -> bool {
    let read = l.inbox_read_ms.load(Ordering::Acquire);
    read > 0 && node.now_ms() < read + INBOX_AGE.as_millis() as u64
}

fn own_job(node: &Node, l: &SchedulerHandle, job: JobKey, asks: Option<Owner>) -> Told<JobStatus> {
    match l.job_statuses.read().state(job, asks) {
        Some(state) => Told::Known(state),
        None if current(node, l) => Told::Unknown,
        None => Told::Unreachable,
    }
}

fn own_pending(node: &Node, l: &SchedulerHandle, queue: &str) -> Told<u64> {
    if !current(node, l) {
        return Told::Unreachable;
    }
    Told::Known(l.job_statuses.read().queued(queue))
}

/// Asks for the state of a job; to another owner than its own it is not known.
pub async fn job(node: &Arc<Node>, job: JobKey, owner: Owner) -> Told<JobStatus> {
    if let Some(l) = node.scheduler.load_full() {
        return own_job(node, &l, job, Some(owner));
    }
    let ask = JobStateRequest { job, owner: Some(owner.number()) };
    let speaks = |msg: &Msg| matches!(msg, Msg::JobStateReply(r) if r.authoritative);
    match call(node, Msg::JobStateRequest(ask), speaks, || format!("job job={job:016x}")).await {
        Some(Msg::JobStateReply(r)) if r.authoritative => match r.state {
            Some(s) => JobState::try_from(s).map_or(Told::Unreachable, |s| Told::Known(shown(s))),
            None => Told::Unknown,
        },
        _ => Told::Unreachable,
    }
}

/// Asks how many jobs of a queue have not begun.
pub async fn pending(node: &Arc<Node>, queue: &str) -> Told<u64> {
    if let Some(l) = node.scheduler.load_full() {
        return own_pending(node, &l, queue);
    }
    let ask = Msg::PendingJobsRequest(PendingJobsRequest { queue: queue.to_string() });
    let speaks = |msg: &Msg| matches!(msg, Msg::PendingJobsReply(r) if r.authoritative);
    match call(node, ask, speaks, || format!("pending queue={queue}")).await {
        Some(Msg::PendingJobsReply(r)) if r.authoritative => Told::Known(r.pending),
        _ => Told::Unreachable,
    }
}

/// Asks the holder, and a later one if it does not speak for the jobs; `about` says in the log what was
/// asked, where there is no answer.
async fn call(
    node: &Arc<Node>,
    msg: Msg,
    speaks: impl Fn(&Msg) -> bool,
    about: impl Fn() -> String,
) -> Option<Msg> {
    let holder = node.holder.load_full();
    let term = holder.as_ref().map_or(0, |h| h.term);
    let first = match holder {
        Some(h) => ask(node, &h, msg.clone(), &about).await,
        None => None,
    };
    if first.as_ref().is_some_and(&speaks) {
        return first;
    }
    match node.wait_for_later_holder(term, LATER_WITHIN).await {
        Some(later) => ask(node, &later, msg, &about).await,
        None => first,
    }
}

/// Asks a holder.
async fn ask(node: &Arc<Node>, holder: &Holder, msg: Msg, about: &impl Fn() -> String) -> Option<Msg> {
    if holder.released || holder.id == node.id {
        log::info!("event=question_not_asked what={} holder={} reason=no_holder", about(), holder.id);
        return None;
    }
    let begun = node.now();
    let answer = node.peers.call_again(&node.id, &holder.peer_address, msg, CALL_TIMEOUT).await;
    if let Err(e) = &answer {
        let took = (node.now() - begun).as_millis();
        log::info!(
            "event=question_unanswered what={} holder={} term={} took_ms={took} error={e:?}",
            about(),
            holder.id,
            holder.term
        );
    }
    answer.ok()
}

/// Answers a process that asks for the state of a job.
pub fn answer_job(node: &Node, ask: &JobStateRequest) -> JobStateReply {
    let l = node.scheduler.load_full();
    let asks = ask.owner.map(Owner::from_number);
    let (current, state) = match l.map_or(Told::Unreachable, |l| own_job(node, &l, ask.job, asks)) {
        Told::Known(s) => (true, Some(state(s) as i32)),
        Told::Unknown => (true, None),
        Told::Unreachable => (false, None),
    };
    JobStateReply { authoritative: current, state }
}

/// Answers a process that asks for the jobs of a queue that have not begun.
pub fn answer_pending(node: &Node, ask: &PendingJobsRequest) -> PendingJobsReply {
    let l = node.scheduler.load_full();
    let (current, pending) = match l.map_or(Told::Unreachable, |l| own_pending(node, &l, &ask.queue)) {
        Told::Known(n) => (true, n),
        Told::Unknown | Told::Unreachable => (false, 0),
    };
    PendingJobsReply { authoritative: current, pending }
}

fn state(s: JobStatus) -> JobState {
    match s {
        JobStatus::Queued => JobState::Queued,
        JobStatus::Running => JobState::Running,
        JobStatus::Ended(Outcome::Completed) => JobState::Completed,
        JobStatus::Ended(Outcome::Failed) => JobState::Failed,
        JobStatus::Ended(Outcome::Canceled) => JobState::Canceled,
    }
}

fn shown(s: JobState) -> JobStatus {
    match s {
        JobState::Queued => JobStatus::Queued,
        JobState::Running => JobStatus::Running,
        JobState::Completed => JobStatus::Ended(Outcome::Completed),
        JobState::Failed => JobStatus::Ended(Outcome::Failed),
        JobState::Canceled => JobStatus::Ended(Outcome::Canceled),
    }
}
