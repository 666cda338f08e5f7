//! Whether the number of a submitted job is that of another owner's job.
//!
//! Tasks are named by the number of their job alone, so jobs of several owners under one number can only be done one
//! after the other. A submission whose number is known to be another owner's is therefore refused before it is
//! stored. Two submissions at different entries at the same moment may both be accepted.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use workswood_core::jobs::{JobKey, Owner, SchedConfig};
use workswood_peers::{JobStateReply, JobStateRequest, Msg};

use super::admission_control::HolderPause;
use super::node::{Holder, Node};

/// Timeout of a question to the holder.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(100);
/// How long this entry remembers a number. By then the lease holder has read the job from the inbox.
const REMEMBERED_FOR: Duration = Duration::from_secs(5);
/// Maximum number of numbers that are remembered.
const MAX_REMEMBERED: usize = 10_000;

/// What an entry knows of the numbers of jobs.
#[derive(Default)]
pub struct NumberCheck {
    submitted: Mutex<SubmittedNumbers>,
    /// When the lease holder may be asked again.
    pause: HolderPause,
}

/// Numbers that were submitted here lately.
#[derive(Default)]
struct SubmittedNumbers {
    owners: HashMap<JobKey, Owner>,
    /// When each number was submitted first, in that order.
    order: VecDeque<(Duration, JobKey)>,
}

impl SubmittedNumbers {
    /// Notes a submission; returns the owner who submitted the number first.
    fn note(&mut self, job: JobKey, owner: Owner, now: Duration) -> Owner {
        let is_old = |at: Duration, count: usize| at + REMEMBERED_FOR < now || count >= MAX_REMEMBERED;
        while let Some((_, old)) = self.order.front().copied().filter(|(at, _)| is_old(*at, self.order.len()))
        {
            self.order.pop_front();
            self.owners.remove(&old);
        }
        let first = *self.owners.entry(job).or_insert(owner);
        if self.order.len() < self.owners.len() {
            self.order.push_back((now, job));
        }
        first
    }
}

/// Whether a job of another owner is known to have this number. What can't be learned counts as no.
pub async fn is_taken(node: &Arc<Node>, cfg: &SchedConfig, job: JobKey, owner: Owner) -> bool {
    // Without workspaces there is one owner only.
    if cfg.workspaces.by_owner.is_empty() {
        return false;
    }
    if node.numbers.submitted.lock().note(job, owner, node.now()) != owner {
        return true;
    }
    if let Some(handle) = node.scheduler.load_full() {
        let statuses = handle.job_statuses.read();
        return statuses.status(job, None).is_some() && statuses.status(job, Some(owner)).is_none();
    }
    let Some(holder) = node.holder.load_full().filter(|h| !h.released && h.id != node.id) else {
        return false;
    };
    if !node.numbers.pause.is_over(node.now()) {
        return false;
    }
    is_known(node, &holder, job, None).await && !is_known(node, &holder, job, Some(owner)).await
}

/// Whether the lease holder knows a job of this number, of this owner if one is given. Without an answer it is taken
/// to know the one of the owner, and no other.
async fn is_known(node: &Arc<Node>, holder: &Holder, job: JobKey, owner: Option<Owner>) -> bool {
    let request = Msg::JobStateRequest(JobStateRequest { job, owner: owner.map(Owner::number) });
    match node.peers.call(&node.id, &holder.peer_address, request, HOLDER_TIMEOUT).await {
        Ok(Msg::JobStateReply(JobStateReply { authoritative: true, state })) => state.is_some(),
        Ok(Msg::JobStateReply(_)) => owner.is_some(),
        reply => {
            node.numbers.pause.begin(node.now());
            log::info!(
                "event=number_not_checked job={job:016x} holder={} answered={}",
                holder.id,
                reply.is_ok()
            );
            owner.is_some()
        }
    }
}
