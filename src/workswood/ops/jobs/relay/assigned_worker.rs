//! State that the tasks of a relay share about one worker.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use workswood_core::ids::Term;
use workswood_core::jobs::crash_certainty::{ClockReading, earliest_lapse};
use workswood_core::jobs::incarnation_check::LastAnsweredPoll;
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::listing_log::{ClockWarnings, PollKind, runs_missing_line};
use workswood_core::jobs::{Listing, ListingTimes, Report, RunTracker, WorkerAddress};
use workswood_platform::jobs::WorkerClock;

use super::super::limits::CLOCK_DRIFT;
use super::messages::WorkerNumber;
use super::order_permits::OrderPermits;
use super::pending_starts::PendingStarts;

/// Rounding of a worker's clock and of the end of a lease, to whole milliseconds each.
const CLOCK_ROUNDING: Duration = Duration::from_millis(2);

/// The end of a lease that is sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEnd {
    /// The end on the worker's clock.
    pub at: WorkerClock,
    /// The earliest time on the clock of this process at which that may be.
    pub earliest: Duration,
}

/// A worker that is assigned to this relay.
pub struct AssignedWorker {
    /// Number that the lease holder gave it.
    pub number: WorkerNumber,
    /// Identity and address of the worker.
    pub address: WorkerAddress,
    /// Fencing token of the orders to the worker.
    pub token: Term,
    /// Highest number of an ended task that is recorded and may be acknowledged to the worker.
    pub recorded_end: watch::Sender<u64>,
    /// Starts whose outcome is not known yet.
    pub(super) pending_starts: PendingStarts,
    /// Limits the number of concurrent orders.
    pub(super) order_permits: OrderPermits,
    /// When a long wait of an order was last logged, in milliseconds since this process started.
    wait_logged_ms: AtomicU64,
    /// The runs as they were last reported to the scheduler.
    pub run_tracker: Mutex<RunTracker>,
    clock_warnings: Mutex<ClockWarnings>,
    /// The worker's clock, and when it was read.
    clock: Mutex<Option<(WorkerClock, ClockReading)>>,
    /// Latest end of the leases that were sent, in milliseconds since this process started.
    leased_until_ms: AtomicU64,
    /// The earliest time at which the lease may end that the worker has confirmed with an answer, in milliseconds since
    /// this process started; 0 if it has confirmed none.
    confirmed_until_ms: AtomicU64,
    /// When the worker last answered anything, in milliseconds since this process started.
    heard_at_ms: AtomicU64,
    last_answered_poll: Mutex<LastAnsweredPoll>,
    unassigned: AtomicBool,
    silent: AtomicBool,
    /// Number of polls without an answer.
    unanswered: AtomicU32,
    /// Value of `unanswered` for which the lease may be extended; `None` for any.
    extended_at: Option<AtomicU32>,
}

/// Value of `extended_at` before the first order to extend the lease.
const NOT_ORDERED: u32 = u32::MAX;

impl AssignedWorker {
    /// Creates the state of a worker to which nothing was sent yet.
    pub fn new(number: WorkerNumber, address: WorkerAddress, token: Term) -> AssignedWorker {
        AssignedWorker {
            number,
            address,
            token,
            recorded_end: watch::Sender::new(0),
            pending_starts: PendingStarts::default(),
            order_permits: OrderPermits::default(),
            wait_logged_ms: AtomicU64::new(0),
            run_tracker: Mutex::default(),
            clock_warnings: Mutex::default(),
            clock: Mutex::new(None),
            leased_until_ms: AtomicU64::new(0),
            confirmed_until_ms: AtomicU64::new(0),
            heard_at_ms: AtomicU64::new(0),
            last_answered_poll: Mutex::default(),
            unassigned: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            unanswered: AtomicU32::new(0),
            extended_at: None,
        }
    }

    /// Sets when the lease is extended only on order.
    #[must_use]
    pub fn with_orders(self, extensions: ExtensionOrders) -> AssignedWorker {
        let extended_at = match extensions {
            ExtensionOrders::NotNeeded => None,
            ExtensionOrders::AfterSilence => Some(AtomicU32::new(0)),
            ExtensionOrders::FromStart => Some(AtomicU32::new(NOT_ORDERED)),
        };
        AssignedWorker { extended_at, ..self }
    }

    /// Has the lease extended until a poll has no answer, if this many had none so far.
    pub fn allow_extensions(&self, unanswered: u32) {
        if let Some(extended_at) = &self.extended_at {
            extended_at.store(unanswered, Ordering::SeqCst);
        }
    }

    /// Whether no order to extend the lease is needed, or it has come.
    pub(super) fn is_extension_allowed(&self) -> bool {
        let unanswered = self.unanswered();
        self.extended_at.as_ref().is_none_or(|at| at.load(Ordering::SeqCst) == unanswered)
    }

    /// Whether a long wait of an order may be logged now. At most one of the worker is logged in each
    /// interval.
    pub(super) fn may_log_wait(&self, now: Duration, interval: Duration) -> bool {
        let now_ms = now.as_millis() as u64;
        let due = |last: u64| (last == 0 || now_ms >= last + interval.as_millis() as u64).then_some(now_ms);
        self.wait_logged_ms.fetch_update(Ordering::SeqCst, Ordering::SeqCst, due).is_ok()
    }

    /// Ends the assignment: the worker is no longer polled, and its events are dropped.
    pub fn unassign(&self) {
        self.unassigned.store(true, Ordering::SeqCst);
    }

    /// Whether the assignment has ended.
    pub fn is_unassigned(&self) -> bool {
        self.unassigned.load(Ordering::SeqCst)
    }

    /// Whether the last poll had no answer.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    /// Records that this incarnation of the worker answered a call.
    pub(super) fn record_answer(&self, now: Duration) {
        self.heard_at_ms.fetch_max(now.as_millis() as u64, Ordering::SeqCst);
    }

    /// How long ago the worker last answered.
    pub(super) fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.heard_at_ms.load(Ordering::SeqCst)))
    }

    /// Records the answer to a poll that was sent at `sent`, with the clock of the worker.
    pub(super) fn record_poll_answer(&self, clock: WorkerClock, sent: Duration, now: Duration) {
        self.record_answer(now);
        self.record_incarnation(sent);
        *self.clock.lock() = Some((clock, ClockReading { sent, received: now }));
        self.silent.store(false, Ordering::SeqCst);
    }

    /// Takes in the listing of a poll that was sent at `sent` and logs what it tells; returns what has changed,
    /// `None` if a newer listing was taken in before.
    pub(super) fn take_listing(
        &self,
        tracker: &mut RunTracker,
        listing: Listing,
        poll: PollKind,
        sent: Duration,
        now: Duration,
    ) -> Option<Report> {
        if tracker.is_overtaken(listing.made_at, sent) {
            return None;
        }
        let previous = tracker.last_listing();
        let times = ListingTimes { sent, made_at: listing.made_at, received: now };
        let report = tracker.diff_listing(listing, sent, now);
        let id = &self.address.id;
        if let Some(line) = runs_missing_line(id, times, previous, poll, &report.missing) {
            log::info!("{line}");
        }
        if let Some(line) = self.clock_warnings.lock().warning(id, times, previous) {
            log::warn!("{line}");
        }
        Some(report)
    }

    /// Records that this incarnation answered a poll that was sent at `sent`.
    pub(super) fn record_incarnation(&self, sent: Duration) {
        self.last_answered_poll.lock().record(sent);
    }

    /// Until when a start reaches this incarnation or none; `None` if the worker has to be polled
    /// first. A worker that doesn't tell when it has started refuses what is meant for another
    /// incarnation.
    pub(super) fn start_until(&self, now: Duration) -> Option<Duration> {
        match self.address.id.started_at() {
            Some(_) => self.last_answered_poll.lock().start_until(now),
            None => Some(Duration::MAX),
        }
    }

    /// Latest end of the leases that were sent; zero if none was.
    pub(super) fn leased_until(&self) -> Duration {
        Duration::from_millis(self.leased_until_ms.load(Ordering::SeqCst))
    }

    /// Records that the worker has answered a call that carried a lease.
    pub(super) fn confirm_lease(&self, end: LeaseEnd) {
        self.confirmed_until_ms.fetch_max(end.earliest.as_millis() as u64, Ordering::SeqCst);
    }

    /// The earliest time at which the lease may end that the worker has confirmed; `None` if it has confirmed none.
    pub(super) fn confirmed_lease_end(&self) -> Option<Duration> {
        let ms = self.confirmed_until_ms.load(Ordering::SeqCst);
        (ms > 0).then(|| Duration::from_millis(ms))
    }

    /// Number of polls without an answer.
    pub(super) fn unanswered(&self) -> u32 {
        self.unanswered.load(Ordering::SeqCst)
    }

    /// Records that a poll had no answer. No lease is sent until another poll is answered.
    /// Returns the latest end of the leases that were sent.
    pub(super) fn record_poll_failure(&self) -> Duration {
        self.silent.store(true, Ordering::SeqCst);
        self.unanswered.fetch_add(1, Ordering::SeqCst);
        self.leased_until()
    }

    /// End of a lease that begins now; `None` until the worker has answered a poll.
    pub fn lease_end(&self, now: Duration, lease: Duration) -> Option<LeaseEnd> {
        let (worker_clock, reading) = (*self.clock.lock())?;
        let at = worker_clock + now.saturating_sub(reading.received) + lease;
        let earliest = earliest_lapse(reading, now, lease, CLOCK_DRIFT).saturating_sub(CLOCK_ROUNDING);
        Some(LeaseEnd { at, earliest })
    }

    /// Records that a lease is about to be sent that may last until a time on the clock of this
    /// process; returns whether it may be sent. After an unanswered poll it may not, since it
    /// would outlast the end that [`Self::record_poll_failure`] returned. The end is recorded
    /// before the check, so that a poll that fails at the same time takes it into account.
    pub(super) fn may_lease_until(&self, until: Duration) -> bool {
        // A lease that is not sent must not count as one that may last.
        if !self.is_extension_allowed() {
            return false;
        }
        self.leased_until_ms.fetch_max(until.as_millis() as u64 + 1, Ordering::SeqCst);
        self.may_repeat_lease()
    }

    /// Whether a lease may be sent again that [`Self::may_lease_until`] has allowed, and recorded, before.
    pub(super) fn may_repeat_lease(&self) -> bool {
        !self.is_silent() && !self.is_unassigned() && self.is_extension_allowed()
    }
}
