//! Polls that wait at a worker, beside polls that are answered at once.
//!
//! A listing is as old as its making, not as its poll: one that waits is made when a run ends there, or
//! when its wait is over. Each answer has a latency of its own, so answers of one worker overtake each
//! other. All of this draws from a generator of its own.

use std::time::Duration;

use workswood_core::ids::Term;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::run_tracker::RunKey;

use super::relay::{ANSWER_TIMEOUT, HolderSession, PendingAnswer};
use super::worker::{Answer, Order};
use super::{STEP, World};

/// Longest wait of a poll at a worker.
const MAX_POLL_WAIT: Duration = Duration::from_millis(900);
/// One in this many polls waits.
const WAIT_INTERVAL: u64 = 2;
/// One in this many answers is delayed.
const DELAY_INTERVAL: u64 = 2;
/// Longest delay of an answer to a poll.
const MAX_LISTING_DELAY: Duration = Duration::from_millis(500);
/// Longest delay of an answer to a start or a stop.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(200);

/// A poll that waits at a worker.
pub(super) struct WaitingPoll {
    /// Number of the session of the relay that has sent it.
    pub session: u64,
    pub id: WorkerId,
    pub token: Term,
    pub sent: Duration,
    pub forget: u64,
    pub lease_end: Option<Duration>,
    /// When the wait is over.
    pub until: Duration,
    /// Sequence number of the last end on the worker when the poll came.
    pub last_end: u64,
}

/// A poll that is due after an accepted stop.
pub(super) struct PollAfterStop {
    pub due: Duration,
    pub id: WorkerId,
    pub token: Term,
    pub run: RunKey,
}

impl World {
    /// Draws how long a poll with a lease waits at its worker; zero if it doesn't. A worker with ends to list answers
    /// at once.
    pub(super) fn draw_poll_wait(&mut self, id: &WorkerId) -> Duration {
        if !self.polls_wait || self.poll_rng.below(WAIT_INTERVAL) > 0 {
            return Duration::ZERO;
        }
        let wait = Duration::from_millis(self.poll_rng.below(MAX_POLL_WAIT.as_millis() as u64));
        let has_ends = self.workers.iter().any(|w| w.id == *id && !w.ended.is_empty());
        if has_ends { Duration::ZERO } else { wait }
    }

    fn draw_delay(&mut self, longest: Duration) -> Duration {
        if !self.polls_wait || self.poll_rng.below(DELAY_INTERVAL) > 0 {
            return STEP;
        }
        Duration::from_millis(self.poll_rng.below(longest.as_millis() as u64)).max(STEP)
    }

    /// Draws the latency of an answer to a start or a stop.
    pub(super) fn draw_order_delay(&mut self) -> Duration {
        self.draw_delay(MAX_ORDER_DELAY)
    }

    /// Sequence number of the last end on a worker.
    pub(super) fn last_end_of(&self, id: &WorkerId) -> u64 {
        self.workers.iter().find(|w| w.id == *id).map_or(0, |w| w.last_end)
    }

    /// Has the workers answer the polls whose wait is over.
    pub(super) fn answer_waiting_polls(&mut self) {
        for poll in std::mem::take(&mut self.waiting_polls) {
            let reached = self.workers.iter().find(|w| w.id == poll.id && w.up && !w.partitioned);
            let is_over = reached.is_none_or(|w| w.last_end > poll.last_end) || poll.until <= self.now;
            if !is_over {
                self.waiting_polls.push(poll);
                continue;
            }
            let listing = reached.map(|w| w.listing(self.now));
            let (answer, wait) = match listing {
                Some(listing) => {
                    let WaitingPoll { sent, forget, lease_end, .. } = poll;
                    let answer = PendingAnswer::Listed { listing, sent, forget, lease_end };
                    (answer, self.draw_delay(MAX_LISTING_DELAY))
                }
                None => (PendingAnswer::ProbeLost { gone: false }, ANSWER_TIMEOUT),
            };
            let at = self.now + wait;
            if let Some(session) = self.relays.iter_mut().find_map(|r| r.session_of(poll.session)) {
                session.receive_later(at, poll.id, poll.token, answer);
            }
        }
    }

    /// Sends the polls that are due after stops, unless another poll has told by now what became of the run.
    pub(super) fn send_polls_after_stops(&mut self, session: &mut HolderSession) {
        let now = self.now;
        for PollAfterStop { id, token, run, .. } in session.take_polls_after_stops(now) {
            if !session.may_exist(&id, token, run) {
                continue;
            }
            let order = Order::Probe { token, forget: 0, lease_end: None };
            let fate = self.poll_rng.fate_with(self.rng.faults_per_mille);
            let restarted = self.workers.iter().any(|life| life.id.supersedes(&id));
            if let Some(Answer::Listing(listing)) = self.deliver_as(fate, &id, order).filter(|_| !restarted) {
                let at = now + self.draw_delay(MAX_LISTING_DELAY);
                session.receive_later(at, id, token, PendingAnswer::ListedAfterStop { listing, sent: now });
            }
        }
    }
}
