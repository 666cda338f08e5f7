//! Looks at one worker: extends its lease and hears what runs and has ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};
use workswood_core::jobs::{Event, WorkerInfo};
use workswood_platform::jobs::{WorkerClock, WorkerError};

use super::node::{Leading, Node};

/// How long a look waits for an end.
const LOOK_WAIT: Duration = Duration::from_millis(900);
/// Least time between two looks: ends that come together are taken together.
const LOOK_GAP: Duration = Duration::from_millis(20);
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
    let id = link.info.id.clone();
    // Until when the lease lasts that was last sent.
    let mut sent_until = node.now();
    while !link.is_closed() {
        let sent = node.now();
        let may_extend = !link.is_silent() && node.now_ms() < l.extend_until.load(Ordering::Acquire);
        let lease_end = if may_extend { link.lease_end(sent, lease) } else { None };
        let mut wait = Duration::ZERO;
        if lease_end.is_some() {
            sent_until = sent + span;
            wait = LOOK_WAIT;
        }
        let forget = *link.forget.borrow();
        let res = node.platform.look(&link.info, l.term, forget, lease_end, wait).await;
        if link.is_closed() {
            return;
        }
        match res {
            Ok((clock, mut report)) => {
                link.answered(clock, node.now());
                report.asked = sent;
                let last = report.ended.iter().map(|e| e.number).max().unwrap_or(0);
                let _ = l.tx.send(Event::Reported(id.clone(), report, sent_until));
                if last > forget {
                    wait_recorded(&link, last).await;
                }
                tokio::time::sleep(LOOK_GAP.saturating_sub(node.now() - sent)).await;
            }
            Err(WorkerError::OtherLife) => {
                let _ = l.tx.send(Event::LifeOver(id.clone()));
                return;
            }
            Err(WorkerError::Fenced) => {
                log::warn!("event=fenced_by_worker worker={id} term={}", l.term);
                let _ = l.end.send(true);
                return;
            }
            Err(e) => {
                link.silent.store(true, Ordering::Release);
                log::debug!("event=look_failed worker={id} error={e:?}");
                let _ = l.tx.send(Event::Unanswered(id.clone(), sent_until));
                tokio::time::sleep(PAUSE).await;
            }
        }
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
