//! Looks at one worker: extends its lease and hears what runs and has ended.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::Listing;
use workswood_liveness::AdaptiveTimeout;
use workswood_platform::jobs::{WorkerClock, WorkerError};

use super::RelayContext;
use super::assigned_worker::AssignedWorker;
use super::messages::WorkerEvent;

/// How long a look waits for an end.
const LOOK_WAIT: Duration = Duration::from_millis(900);
/// Least time between two looks: ends that come together are taken together.
const LOOK_GAP: Duration = Duration::from_millis(20);
/// A look that takes this many times the mean of its worker is late,
const LATE_TIMES: f64 = 4.0;
/// but not before this time,
const LATE_NOT_BEFORE: Duration = Duration::from_millis(250);
/// and in any case when the worker should have answered for so long.
const LATE_AT_LAST: Duration = Duration::from_millis(200);
/// Pause after a look without an answer.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for the ends of a look to be on record before the next look.
const RECORD_WAIT: Duration = Duration::from_millis(1500);

/// How long ago a look must have been sent whose answer shows that the life is there that is meant, when it is
/// told which ends to forget. A later life would forget ends of its own, whose numbers start anew; it needs
/// longer than that to start and to end something.
const FORGETS_WITHIN: Duration = Duration::from_millis(600);

/// Looks at a worker until the link is closed.
pub async fn run(shared: Arc<RelayContext>, link: Arc<AssignedWorker>) {
    let patience = AdaptiveTimeout::new(LATE_TIMES, LATE_NOT_BEFORE).with_initial_mean(LOOK_WAIT);
    let mut looker = Looker { shared, link, patience, told: false, answered: None, forgotten: 0 };
    while !looker.link.is_closed() {
        if !looker.look().await {
            return;
        }
    }
}

/// What looks at one worker.
struct Looker {
    shared: Arc<RelayContext>,
    link: Arc<AssignedWorker>,
    /// When a look at this worker is late.
    patience: AdaptiveTimeout,
    /// Whether it was told that the worker answers.
    told: bool,
    /// When the last look was sent, if it was answered.
    answered: Option<Duration>,
    /// Highest end that the worker is known to have forgotten.
    forgotten: u64,
}

/// An answered look.
struct Seen {
    sent: Duration,
    /// Highest end that it was told to forget.
    forget: u64,
    clock: WorkerClock,
    listing: Listing,
}

impl Looker {
    fn now(&self) -> Duration {
        self.shared.node.now()
    }

    fn tell(&self, what: WorkerEvent) {
        self.shared.sink.tell(&self.shared.node, &self.link, what);
    }

    /// Looks once and tells what is new; returns whether to go on.
    async fn look(&mut self) -> bool {
        let begun = self.now();
        let res = self.ask_twice().await;
        if self.link.is_closed() {
            return false;
        }
        match res {
            Ok(seen) => self.seen(seen, begun).await,
            Err(WorkerError::OtherLife) => {
                self.tell(WorkerEvent::IncarnationEnded(self.link.silent_for(self.now())));
                return false;
            }
            Err(WorkerError::Restarted(started)) => {
                // What waits to be sent was meant for the life before.
                self.link.close();
                self.tell(WorkerEvent::Restarted(started, self.link.silent_for(self.now())));
                return false;
            }
            Err(WorkerError::Fenced) => {
                log::warn!("event=fenced_by_worker worker={} token={}", self.link.worker.id, self.link.token);
                self.tell(WorkerEvent::Fenced);
                return false;
            }
            Err(e) => {
                log::debug!("event=look_failed worker={} error={e:?}", self.link.worker.id);
                let end = self.link.went_silent();
                self.told = false;
                let now = self.now();
                let silent = self.link.silent_for(now);
                self.tell(WorkerEvent::Unanswered {
                    lease_left: end.saturating_sub(now),
                    silent_for: silent,
                });
                tokio::time::sleep(PAUSE).await;
            }
        }
        true
    }

    /// Looks, and once more if the first look seems to be lost, or its connection
    /// does. A busy worker answers within a tenth of a second, since some task ends;
    /// until the answer that does not come is given up, nobody would hear of its ends.
    async fn ask_twice(&mut self) -> Result<Seen, WorkerError> {
        let wait = if self.may_extend() { LOOK_WAIT } else { Duration::ZERO };
        if !self.shared.node.settings.policy.calls.resend_probe {
            return self.ask(wait).await;
        }
        let late_after = self.patience.late_after().min(wait + LATE_AT_LAST);
        match tokio::time::timeout(late_after, self.ask(wait)).await {
            Ok(Err(WorkerError::NoAnswer)) | Err(_) => {
                if std::mem::take(&mut self.told) {
                    self.tell(WorkerEvent::ReplyLate);
                }
                self.ask(Duration::ZERO).await
            }
            Ok(res) => res,
        }
    }

    /// Whether the worker's lease may be extended now.
    fn may_extend(&self) -> bool {
        !self.link.is_silent() && self.shared.grant.holds(self.now())
    }

    /// Sends a look that waits for an end for some time.
    async fn ask(&mut self, wait: Duration) -> Result<Seen, WorkerError> {
        let sent = self.now();
        let forget = self.forget_due(sent);
        self.answered = None;
        let times = &self.shared.times;
        // The end of the lease is worked out before the right to send it is checked: a
        // process that is paused in between sends one that has ended.
        let lease_end = self.link.lease_end(sent, times.lease).filter(|_| self.may_extend());
        let lease_end = lease_end.filter(|_| self.link.may_lease_until(sent + times.span()));
        let wait = if lease_end.is_some() { wait } else { Duration::ZERO };
        let platform = &self.shared.node.platform;
        let look = platform.poll_worker(&self.link.worker, self.link.token, forget, lease_end, wait);
        let (clock, listing) = look.await?;
        Ok(Seen { sent, forget, clock, listing })
    }

    /// Highest end that the worker is to forget with a look that is sent now; 0 if there is no need, or if it
    /// isn't sure that the life is still there that is meant.
    fn forget_due(&self, now: Duration) -> u64 {
        let due = *self.link.forget.borrow();
        let there = self.answered.is_some_and(|at| now < at + FORGETS_WITHIN);
        if there && due > self.forgotten { due } else { 0 }
    }

    /// Tells what an answered look says.
    async fn seen(&mut self, seen: Seen, begun: Duration) {
        let Seen { sent, forget, clock, listing } = seen;
        let now = self.now();
        self.answered = Some(sent);
        self.forgotten = self.forgotten.max(forget);
        self.patience.record(now - begun);
        self.link.answered(clock, now);
        let last = listing.ended.iter().map(|e| e.sequence_number).max().unwrap_or(0);
        let report = self.link.follow.lock().diff_listing(listing, sent, now);
        if !self.told || !report.is_empty() {
            self.told = true;
            self.tell(WorkerEvent::Reported(report));
        }
        if last > *self.link.forget.borrow() {
            wait_recorded(&self.link, last).await;
        }
        tokio::time::sleep(LOOK_GAP.saturating_sub(self.now() - begun)).await;
    }
}

/// Waits until ends are on record, so that the next look can forget them.
async fn wait_recorded(link: &AssignedWorker, last: u64) {
    let mut forget = link.forget.subscribe();
    let recorded = tokio::time::timeout(RECORD_WAIT, forget.wait_for(|n| *n >= last)).await;
    if recorded.is_err() {
        log::debug!("event=ends_not_recorded worker={} last={last}", link.worker.id);
    }
}
