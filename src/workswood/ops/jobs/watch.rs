//! Looks at one worker: extends its lease and hears what runs and has ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};
use workswood_core::jobs::{Event, Report, WorkerInfo};
use workswood_liveness::Patience;
use workswood_platform::jobs::{WorkerClock, WorkerError};

use super::node::{Leading, Node};

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
/// Orders on their way to one worker at a time; with the look, connections
/// stay few.
const ORDERS_AT_ONCE: usize = 2;
/// Longest wait for the ends of a look to be on record before the next look.
const RECORD_WAIT: Duration = Duration::from_millis(1500);

/// What is shared by the tasks that speak to one worker.
pub struct WorkerLink {
    /// The worker.
    pub info: WorkerInfo,
    /// Highest end that it may forget.
    pub forget: watch::Sender<u64>,
    /// Bounds the orders on their way.
    pub lanes: Semaphore,
    /// Its clock and ours, when it last answered.
    clock: Mutex<Option<(WorkerClock, Duration)>>,
    closed: AtomicBool,
    silent: AtomicBool,
}

impl WorkerLink {
    /// A worker that was not spoken to yet.
    pub fn new(info: WorkerInfo) -> WorkerLink {
        WorkerLink {
            info,
            forget: watch::Sender::new(0),
            lanes: Semaphore::new(ORDERS_AT_ONCE),
            clock: Mutex::new(None),
            closed: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        }
    }

    /// Ends all that concerns this worker.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Whether it was closed.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Whether the last look had no answer.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }

    /// Notes that a look was answered, and the worker's clock.
    fn answered(&self, clock: WorkerClock, now: Duration) {
        *self.clock.lock() = Some((clock, now));
        self.silent.store(false, Ordering::Release);
    }

    /// End of a lease that begins now, on the worker's clock; `None` until
    /// the worker has answered once.
    pub fn lease_end(&self, now: Duration, lease: Duration) -> Option<WorkerClock> {
        let (theirs, ours) = (*self.clock.lock())?;
        Some(theirs + now.saturating_sub(ours) + lease)
    }
}

/// Looks at a worker until the link is closed.
pub async fn run(node: Arc<Node>, l: Arc<Leading>, link: Arc<WorkerLink>, lease: Duration, span: Duration) {
    let patience = Patience::new(LATE_TIMES, LATE_NOT_BEFORE).beginning_with(LOOK_WAIT);
    let mut looker = Looker { node, l, link, lease, span, sent_until: Duration::ZERO, patience };
    looker.sent_until = looker.node.now();
    while !looker.link.is_closed() {
        if !looker.look().await {
            return;
        }
    }
}

/// What looks at one worker.
struct Looker {
    node: Arc<Node>,
    l: Arc<Leading>,
    link: Arc<WorkerLink>,
    /// Length of a worker's lease.
    lease: Duration,
    /// The longest real time that a lease may last.
    span: Duration,
    /// Until when the lease lasts that was last sent.
    sent_until: Duration,
    /// When a look at this worker is late.
    patience: Patience,
}

/// An answered look.
struct Seen {
    sent: Duration,
    clock: WorkerClock,
    report: Report,
}

impl Looker {
    /// Looks once and tells the scheduler; returns whether to go on.
    async fn look(&mut self) -> bool {
        let begun = self.node.now();
        let res = self.ask_twice().await;
        if self.link.is_closed() {
            return false;
        }
        let id = self.link.info.id.clone();
        match res {
            Ok(seen) => self.seen(seen, begun).await,
            Err(WorkerError::OtherLife) => {
                let _ = self.l.tx.send(Event::LifeOver(id));
                return false;
            }
            Err(WorkerError::Fenced) => {
                log::warn!("event=fenced_by_worker worker={id} term={}", self.l.term);
                let _ = self.l.end.send(true);
                return false;
            }
            Err(e) => {
                self.link.silent.store(true, Ordering::Release);
                log::debug!("event=look_failed worker={id} error={e:?}");
                let _ = self.l.tx.send(Event::Unanswered(id, self.sent_until));
                tokio::time::sleep(PAUSE).await;
            }
        }
        true
    }

    /// Looks, and once more if the first look seems to be lost, or its connection
    /// does. A busy worker answers within a tenth of a second, since some task ends;
    /// until the answer that does not come is given up, nobody would hear of its ends.
    async fn ask_twice(&mut self) -> Result<Seen, WorkerError> {
        let may_extend = self.may_extend();
        let wait = if may_extend { LOOK_WAIT } else { Duration::ZERO };
        if !self.node.settings.policy.calls.look_again {
            return self.ask(wait).await;
        }
        let late_after = self.patience.late_after().min(wait + LATE_AT_LAST);
        match tokio::time::timeout(late_after, self.ask(wait)).await {
            Ok(Err(WorkerError::NoAnswer)) | Err(_) => self.ask(Duration::ZERO).await,
            Ok(res) => res,
        }
    }

    /// Whether the worker's lease may be extended now.
    fn may_extend(&self) -> bool {
        let until = self.l.extend_until.load(Ordering::Acquire);
        !self.link.is_silent() && self.node.now_ms() < until
    }

    /// Sends a look that waits for an end for some time.
    async fn ask(&mut self, wait: Duration) -> Result<Seen, WorkerError> {
        let sent = self.node.now();
        let lease_end = if self.may_extend() { self.link.lease_end(sent, self.lease) } else { None };
        let mut wait = wait;
        match lease_end {
            Some(_) => self.sent_until = sent + self.span,
            None => wait = Duration::ZERO,
        }
        let forget = *self.link.forget.borrow();
        let (clock, report) =
            self.node.platform.look(&self.link.info, self.l.term, forget, lease_end, wait).await?;
        Ok(Seen { sent, clock, report })
    }

    /// Tells the scheduler what an answered look says.
    async fn seen(&mut self, seen: Seen, begun: Duration) {
        let Seen { sent, clock, mut report } = seen;
        let now = self.node.now();
        self.patience.note(now - begun);
        self.link.answered(clock, now);
        report.asked = sent;
        let last = report.ended.iter().map(|e| e.number).max().unwrap_or(0);
        let news = last > *self.link.forget.borrow();
        let _ = self.l.tx.send(Event::Reported(self.link.info.id.clone(), report, self.sent_until));
        if news {
            wait_recorded(&self.link, last).await;
        }
        tokio::time::sleep(LOOK_GAP.saturating_sub(self.node.now() - begun)).await;
    }
}

/// Waits until ends are on record, so that the next look can forget them.
async fn wait_recorded(link: &WorkerLink, last: u64) {
    let mut forget = link.forget.subscribe();
    let recorded = tokio::time::timeout(RECORD_WAIT, forget.wait_for(|n| *n >= last)).await;
    if recorded.is_err() {
        log::debug!("event=ends_not_recorded worker={} last={last}", link.info.id);
    }
}
