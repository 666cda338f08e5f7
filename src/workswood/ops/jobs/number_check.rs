//! Whether the number of a submitted job is that of another owner's job, and whether the job itself was accepted before.
//!
//! Tasks are named by the number of their job alone, so jobs of several owners under one number can only be done one
//! after the other on the workers of one service. A submission whose number is known to be another owner's is therefore refused before it is stored,
//! unless its own job may have been stored by an earlier hand-in, here or at another entry. Two submissions at
//! different entries at the same moment may both be accepted.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use parking_lot::Mutex;
use workswood_core::jobs::{JobKey, SchedConfig};
use workswood_peers::{JobStateReply, JobStateRequest, Msg};
use workswood_platform::jobs::CopyOutcome;

use super::admission_control::HolderPause;
use super::job_queries::{self, state_request};
use super::node::Node;
use super::peer_requests::outcome_from_wire;
use super::submitted_numbers::{NumberUse, OwnJob, SubmittedNumbers};

/// Timeout of a question to the holder or to a peer.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(100);
/// How long to wait until the holder has read the inbox after a hand-in. A read that finds nothing takes a second.
const INBOX_READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two questions to the holder meanwhile.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of peers that are asked.
const MAX_ASKED_PEERS: usize = 32;

/// What an entry knows of the numbers of jobs.
#[derive(Default)]
pub struct NumberCheck {
    submitted: Mutex<SubmittedNumbers>,
    /// When the lease holder may be asked again.
    pause: HolderPause,
}

impl NumberCheck {
    /// What is known here of the hand-ins of a job.
    pub fn outcome(&self, job: JobKey) -> CopyOutcome {
        self.submitted.lock().outcome(job)
    }

    /// Notes a hand-in that may store the job from now on; returns what was known of the job before, too.
    pub fn begin(&self, job: JobKey, service: &str, now: Duration) -> (CopyOutcome, HandInUnderWay<'_>) {
        let earlier = self.submitted.lock().begin(job, service, now);
        (earlier, HandInUnderWay { numbers: self, job, at_drop: Some(CopyOutcome::NotDone) })
    }
}

/// A hand-in that may store its job. It is dropped if its caller goes away.
pub struct HandInUnderWay<'a> {
    numbers: &'a NumberCheck,
    job: JobKey,
    /// What is known of it if it is dropped now; `None` once it is settled.
    at_drop: Option<CopyOutcome>,
}

impl HandInUnderWay<'_> {
    /// Notes that the record is given to the store, which may keep it whatever becomes of the caller.
    pub fn note_sent(&mut self) {
        self.at_drop = Some(CopyOutcome::Unknown);
    }

    /// Notes the outcome; returns what is known of the job over all of its hand-ins here.
    pub fn settle(mut self, outcome: CopyOutcome) -> CopyOutcome {
        self.at_drop = None;
        self.numbers.submitted.lock().settle(self.job, outcome)
    }
}

impl Drop for HandInUnderWay<'_> {
    fn drop(&mut self) {
        if let Some(outcome) = self.at_drop {
            self.numbers.submitted.lock().settle(self.job, outcome);
        }
    }
}

/// What the number of a submitted job is to its owner, by what is known of earlier hand-ins of the job here. Answers
/// within `timeout`.
pub async fn use_of_number(
    node: &Arc<Node>,
    cfg: &SchedConfig,
    job: JobKey,
    service: &str,
    earlier: CopyOutcome,
    timeout: Duration,
) -> NumberUse {
    if let Some(number_use) = NumberUse::of_earlier(earlier) {
        return number_use;
    }
    // Without workspaces a job waits for that of another queue under its number.
    if cfg.workspaces.by_owner.is_empty() {
        return NumberUse::Free;
    }
    let stored_here = node.numbers.submitted.lock().is_other_owners(job, service);
    if !stored_here && !ask_holder(node, any_on(job, service)).await.is_some_and(|reply| reply.is_known) {
        return NumberUse::Free;
    }
    use_of_refused(node, job, stored_here, timeout).await
}

/// What the number of a job is that can't be stored now: [`NumberUse::Taken`] only if no hand-in of the job itself may
/// have stored it. `stored_here` tells whether another owner's job under the number came to this entry. Answers within
/// `timeout`.
pub async fn use_of_refused(
    node: &Arc<Node>,
    job: JobKey,
    stored_here: bool,
    timeout: Duration,
) -> NumberUse {
    let arrived = node.now();
    let (at_entries, at_holder) = tokio::join!(ask_peers(node, job), own_job(node, job, arrived, timeout));
    let number_use = NumberUse::of_taken(at_entries, at_holder);
    log::info!(
        "event=number_checked job={job:016x} use={number_use:?} stored_here={stored_here} at_entries={at_entries:?} \
         at_holder={at_holder:?} took_ms={}",
        (node.now() - arrived).as_millis()
    );
    number_use
}

/// Whether the lease holder knows a job. Without an answer it counts as unknown.
pub async fn is_known(node: &Arc<Node>, job: JobKey) -> bool {
    ask_holder(node, state_request(job)).await.is_some_and(|reply| reply.is_known)
}

/// A request for the state of any job under a number on a service.
fn any_on(job: JobKey, service: &str) -> JobStateRequest {
    JobStateRequest { owner: None, service: service.to_string(), ..state_request(job) }
}

/// Asks the lease holder for a job until it knows it, or has read the inbox since the hand-in arrived.
async fn own_job(node: &Arc<Node>, job: JobKey, arrived: Duration, timeout: Duration) -> OwnJob {
    let until = arrived + INBOX_READ_TIMEOUT.min(timeout);
    loop {
        let asked_after = node.now() - arrived;
        let reply = ask_holder(node, state_request(job)).await;
        let own = reply.map_or(OwnJob::Unclear, |r| OwnJob::of(r.is_known, r.inbox_age, asked_after));
        if own != OwnJob::Unclear || node.now() + QUESTION_INTERVAL >= until {
            return own;
        }
        tokio::time::sleep(QUESTION_INTERVAL).await;
    }
}

/// What the lease holder says of a job.
struct HolderReply {
    is_known: bool,
    /// The holder knows everything that was in the inbox this long ago; `None` if it doesn't tell.
    inbox_age: Option<Duration>,
}

/// Asks the lease holder for a job, or for any job of a number; `None` without an authoritative answer.
async fn ask_holder(node: &Arc<Node>, request: JobStateRequest) -> Option<HolderReply> {
    let job = request.job;
    if node.scheduler.load().is_some() {
        return holder_reply(&job_queries::answer_job_state_request(node, &request));
    }
    let holder = node.holder.load_full().filter(|h| !h.released && h.id != node.id)?;
    if !node.numbers.pause.is_over(node.now()) {
        return None;
    }
    let msg = Msg::JobStateRequest(request);
    match node.peers.call(&node.id, &holder.peer_address, msg, QUESTION_TIMEOUT).await {
        Ok(Msg::JobStateReply(reply)) => holder_reply(&reply),
        reply => {
            node.numbers.pause.begin(node.now());
            log::info!(
                "event=number_not_checked job={job:016x} holder={} answered={}",
                holder.id,
                reply.is_ok()
            );
            None
        }
    }
}

fn holder_reply(reply: &JobStateReply) -> Option<HolderReply> {
    reply.authoritative.then(|| HolderReply {
        is_known: reply.state.is_some(),
        inbox_age: reply.inbox_age_ms.map(Duration::from_millis),
    })
}

/// What the other entries know of hand-ins of a job. An entry that doesn't answer knows of none.
async fn ask_peers(node: &Arc<Node>, job: JobKey) -> CopyOutcome {
    let addresses = node.peers.rotated_addresses(&node.settings.peers.to_string(), MAX_ASKED_PEERS);
    let ask = |address: String| async move {
        let msg = Msg::JobStateRequest(state_request(job));
        match node.peers.call(&node.id, &address, msg, QUESTION_TIMEOUT).await {
            Ok(Msg::JobStateReply(reply)) => reply.handed_in.and_then(outcome_from_wire).unwrap_or_default(),
            reply => {
                log::info!("event=peer_not_asked job={job:016x} peer={address} answered={}", reply.is_ok());
                CopyOutcome::NotDone
            }
        }
    };
    let outcomes = join_all(addresses.into_iter().map(ask)).await;
    outcomes.into_iter().fold(CopyOutcome::NotDone, CopyOutcome::with)
}
