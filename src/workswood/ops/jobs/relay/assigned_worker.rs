//! What is shared by the tasks that speak to one worker.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};
use workswood_core::ids::Term;
use workswood_core::jobs::{RunTracker, WorkerAddress};
use workswood_platform::jobs::WorkerClock;

use super::messages::WorkerNumber;

/// Orders on their way to one worker at a time; with the look, connections
/// stay few.
const ORDERS_AT_ONCE: usize = 2;

/// What is shared by the tasks that speak to one worker.
pub struct AssignedWorker {
    /// Number that the holder gave it.
    pub number: WorkerNumber,
    /// The worker.
    pub worker: WorkerAddress,
    /// Token that its orders carry.
    pub token: Term,
    /// Highest end that it may forget.
    pub forget: watch::Sender<u64>,
    /// Bounds the orders on their way.
    pub lanes: Semaphore,
    /// What the scheduler knows of its runs.
    pub follow: Mutex<RunTracker>,
    /// Its clock and ours, when it last answered.
    clock: Mutex<Option<(WorkerClock, Duration)>>,
    /// When the lease ends that was last sent, in ms since the process started.
    leased_until: AtomicU64,
    /// When it last answered anything, likewise.
    heard: AtomicU64,
    closed: AtomicBool,
    silent: AtomicBool,
}

impl AssignedWorker {
    /// A worker that was not spoken to yet.
    pub fn new(number: WorkerNumber, worker: WorkerAddress, token: Term) -> AssignedWorker {
        AssignedWorker {
            number,
            worker,
            token,
            forget: watch::Sender::new(0),
            lanes: Semaphore::new(ORDERS_AT_ONCE),
            follow: Mutex::default(),
            clock: Mutex::new(None),
            leased_until: AtomicU64::new(0),
            heard: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        }
    }

    /// Ends all that concerns this worker.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether it was closed.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Whether the last look had no answer.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    /// Notes that this life answered something.
    pub(super) fn heard(&self, now: Duration) {
        self.heard.fetch_max(now.as_millis() as u64, Ordering::SeqCst);
    }

    /// How long ago it last answered.
    pub(super) fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.heard.load(Ordering::SeqCst)))
    }

    /// Notes that a look was answered, and the worker's clock.
    pub(super) fn answered(&self, clock: WorkerClock, now: Duration) {
        self.heard(now);
        *self.clock.lock() = Some((clock, now));
        self.silent.store(false, Ordering::SeqCst);
    }

    /// Notes that a look had no answer. From here on no lease is sent until one has;
    /// returns when the last one ends.
    pub(super) fn went_silent(&self) -> Duration {
        self.silent.store(true, Ordering::SeqCst);
        Duration::from_millis(self.leased_until.load(Ordering::SeqCst))
    }

    /// End of a lease that begins now, on the worker's clock; `None` until
    /// the worker has answered once.
    pub fn lease_end(&self, now: Duration, lease: Duration) -> Option<WorkerClock> {
        let (theirs, ours) = (*self.clock.lock())?;
        Some(theirs + now.saturating_sub(ours) + lease)
    }

    /// Notes that a lease is about to be sent that may last until a time on our clock;
    /// returns whether it may be: an order that follows an unanswered look would
    /// outlast what was told of the worker. Noted first, so that it is told with that.
    pub(super) fn may_lease_until(&self, until: Duration) -> bool {
        self.leased_until.fetch_max(until.as_millis() as u64 + 1, Ordering::SeqCst);
        !self.is_silent() && !self.is_closed()
    }
}
