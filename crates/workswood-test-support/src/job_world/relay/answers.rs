//! Answers of workers, and what a relay tells its holder of them.

use std::time::Duration;

use workswood_core::ids::Term;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Listing, StartReply, StopReply, TaskId, WorkerUpdate};

use super::super::waiting_polls::PollAfterStop;
use super::super::{STEP, World};
use super::{HolderSession, ToHolder, earliest_lapse};

/// An answer of a worker, or a timeout, that a relay has not received yet.
pub(in crate::job_world) enum PendingAnswer {
    Listed {
        listing: Listing,
        sent: Duration,
        forget: u64,
        /// End of the lease that the probe carried.
        lease_end: Option<Duration>,
    },
    /// The answer to a probe that was sent after a stop.
    ListedAfterStop {
        listing: Listing,
        sent: Duration,
    },
    /// A probe was not answered; `gone` if the relay knows that no such worker exists.
    ProbeLost {
        gone: bool,
    },
    /// A later life of the worker has answered.
    Restarted(WorkerId),
    Fenced,
    Started {
        task: TaskId,
        attempt: u32,
        reply: StartReply,
    },
    Stopped {
        task: TaskId,
        attempt: u32,
        reply: StopReply,
    },
}

impl World {
    /// Handles an answer of a worker and reports it to the holder.
    pub(super) fn handle_answer(
        &mut self,
        session: &mut HolderSession,
        id: WorkerId,
        token: Term,
        answer: PendingAnswer,
    ) {
        let now = self.now;
        let Some(w) = session.watched.get_mut(&id).filter(|w| w.token == token) else { return };
        let tells_of_lease = matches!(answer, PendingAnswer::ProbeLost { .. } | PendingAnswer::Restarted(_));
        if tells_of_lease && !w.confirmed_until.is_zero() {
            let confirmed = WorkerUpdate::LeaseConfirmed(w.confirmed_until);
            self.send_ahead_of_next(session.number, ToHolder::Update(id.clone(), token, confirmed));
        }
        let Some(w) = session.watched.get_mut(&id) else { return };
        let update = match answer {
            PendingAnswer::Listed { listing, sent, forget, lease_end } => {
                let earliest = lease_end.map(|end| earliest_lapse(end, sent));
                w.confirmed_until = w.confirmed_until.max(earliest.unwrap_or_default());
                w.answered = Some(sent);
                w.has_answered = true;
                w.forgotten = w.forgotten.max(forget);
                w.silent = false;
                w.last_answer = now;
                w.last_answered_poll.record(sent);
                let report = w.runs.diff_listing(listing, sent, now);
                let nothing_new = report.is_empty() && !std::mem::take(&mut w.reported_silent);
                if nothing_new {
                    return;
                }
                WorkerUpdate::Reported(report)
            }
            PendingAnswer::ListedAfterStop { listing, sent } => {
                w.last_answer = now;
                let report = w.runs.diff_listing(listing, sent, now);
                if report.is_empty() {
                    return;
                }
                WorkerUpdate::Reported(report)
            }
            PendingAnswer::Restarted(later) => {
                let silent = now.saturating_sub(w.last_answer);
                let started = later.started_at().unwrap_or_default();
                self.send_to_holder(session.number, ToHolder::Restarted(id.clone(), started, silent));
                session.watched.remove(&id);
                return;
            }
            PendingAnswer::ProbeLost { gone: true } => {
                let silent = now.saturating_sub(w.last_answer);
                self.send_to_holder(session.number, ToHolder::LifeOver(id, silent));
                return;
            }
            PendingAnswer::ProbeLost { gone: false } => {
                w.silent = true;
                w.unanswered += 1;
                w.reported_silent = true;
                WorkerUpdate::Unanswered {
                    lease_end: w.leased_until.saturating_sub(now),
                    heard: now.saturating_sub(w.last_answer),
                }
            }
            PendingAnswer::Fenced => WorkerUpdate::Deposed,
            PendingAnswer::Started { task, attempt, reply } => {
                w.runs.start_answered(task, attempt, reply, now);
                if reply.is_answer() {
                    w.last_answer = now;
                }
                WorkerUpdate::Started(task, attempt, reply)
            }
            PendingAnswer::Stopped { task, attempt, reply } => {
                let unheard = reply == StopReply::Taken && w.runs.stop_accepted(task, attempt, now);
                if unheard && self.polls_wait {
                    let due = now + STEP;
                    let poll = PollAfterStop { due, id: id.clone(), token, run: (task, attempt) };
                    session.polls_after_stops.push(poll);
                }
                WorkerUpdate::Stopped(task, attempt, reply)
            }
        };
        let awaits_order = matches!(update, WorkerUpdate::Unanswered { .. }) && !w.is_ordered();
        self.send_to_holder(session.number, ToHolder::Update(id.clone(), token, update));
        if awaits_order {
            self.send_to_holder(session.number, ToHolder::Update(id, token, WorkerUpdate::AwaitsOrder));
        }
    }
}
