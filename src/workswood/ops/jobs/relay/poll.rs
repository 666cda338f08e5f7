//! Polls one worker: extends its lease and learns which tasks run there and which have ended.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::listing_log::PollKind;
use workswood_core::jobs::run_tracker::RunKey;
use workswood_core::jobs::{EndCoverage, EndKind, Listing, Report};
use workswood_liveness::AdaptiveTimeout;
use workswood_platform::jobs::WorkerError;

use super::RelayContext;
use super::assigned_worker::{AssignedWorker, LeaseEnd};
use super::messages::WorkerEvent;

/// How long a poll waits at the worker for a task to end.
pub const POLL_WAIT: Duration = Duration::from_millis(900);
/// The same while the order to extend the worker's lease has not come.
const EXTENSION_ORDER_WAIT: Duration = Duration::from_millis(100);
/// Shortest time between the starts of two polls, so that tasks that end together are reported
/// together.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The reply to a poll is late after this multiple of the mean time of earlier replies.
const LATE_MULTIPLE: f64 = 4.0;
/// Lower bound of the time after which a reply is late.
const MIN_LATE_AFTER: Duration = Duration::from_millis(250);
/// Upper bound of the time after which a reply is late, beyond the wait at the worker.
pub const MAX_LATE_AFTER_WAIT: Duration = Duration::from_millis(200);
/// Delay after an unanswered poll.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait until the ends that a poll has reported are recorded, before the next poll.
pub const RECORD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Ends are acknowledged only if the previous poll was answered and was sent no longer ago than
/// this. The sequence numbers of ends start again with each incarnation of a worker, so an
/// acknowledgement that reaches the next incarnation would drop its ends. An incarnation needs
/// longer than this to start and to end a task.
const ACK_WINDOW: Duration = Duration::from_millis(600);

/// Polls a worker until its assignment ends.
pub async fn run(cx: Arc<RelayContext>, worker: Arc<AssignedWorker>) {
    let late_timeout = AdaptiveTimeout::new(LATE_MULTIPLE, MIN_LATE_AFTER).with_initial_mean(POLL_WAIT);
    let mut poller = Poller {
        cx,
        worker,
        late_timeout,
        reported_reachable: false,
        last_answered: None,
        acked_end: 0,
        sent_lease: None,
    };
    while !poller.worker.is_unassigned() {
        if !poller.poll().await {
            return;
        }
    }
}

/// Polls one worker.
struct Poller {
    cx: Arc<RelayContext>,
    worker: Arc<AssignedWorker>,
    /// When the reply to a poll is late.
    late_timeout: AdaptiveTimeout,
    /// Whether the latest events reported that the worker answers.
    reported_reachable: bool,
    /// When the last poll was sent, if it was answered.
    last_answered: Option<Duration>,
    /// Highest number of an end that was acknowledged with an answered poll.
    acked_end: u64,
    /// End of the lease that the latest poll carried, if it carried one.
    sent_lease: Option<LeaseEnd>,
}

/// Which end of the lease a poll carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollLease {
    /// A full lease from now.
    Full,
    /// The same as the poll before, which seems to be lost, or none. A later one would hold up the tasks of a worker
    /// that has fallen silent for as long as the first poll was waited for.
    Repeated,
}

/// The reply to a poll.
struct PollReply {
    /// When the poll was sent.
    sent: Duration,
    /// Highest number of an end that the poll acknowledged; 0 for none.
    acked_end: u64,
    /// Latest end of the leases that were sent before the poll.
    leased_until: Duration,
    /// End of the lease that the poll carried, if it carried one.
    lease_end: Option<LeaseEnd>,
    listing: Listing,
}

impl Poller {
    fn now(&self) -> Duration {
        self.cx.node.now()
    }

    fn report(&self, event: WorkerEvent) {
        self.cx.sink.report(&self.cx.node, &self.worker, event);
    }

    /// Polls once and reports what has changed; returns whether to continue.
    async fn poll(&mut self) -> bool {
        let started = self.now();
        let res = self.request_with_resend().await;
        if self.worker.is_unassigned() {
            return false;
        }
        match res {
            Ok(reply) => self.handle_reply(reply, started).await,
            Err(e) if report_end_of_assignment(&self.cx, &self.worker, e) => return false,
            Err(e) => {
                log::debug!("event=look_failed worker={} error={e:?}", self.worker.address.id);
                let leased_until = self.worker.record_poll_failure();
                self.reported_reachable = false;
                let now = self.now();
                let lease_left = leased_until.saturating_sub(now);
                let silent_for = self.worker.silent_for(now);
                report_confirmed_lease(&self.cx, &self.worker);
                self.report(WorkerEvent::Unanswered { lease_left, silent_for });
                if !self.worker.is_extension_allowed() {
                    self.report(WorkerEvent::AwaitsOrder);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        true
    }

    /// Sends a poll, and another one if the first or its connection seems to be lost. On a busy
    /// worker tasks end all the time, so replies are frequent; waiting for the full timeout of a
    /// lost poll would delay the reports of all these ends.
    async fn request_with_resend(&mut self) -> Result<PollReply, WorkerError> {
        let wait = match (self.may_extend_lease(), self.worker.is_extension_allowed()) {
            (true, true) => POLL_WAIT,
            (true, false) => EXTENSION_ORDER_WAIT,
            (false, _) => Duration::ZERO,
        };
        if !self.cx.node.settings.policy.calls.resend_probe {
            return self.request(wait, PollLease::Full).await;
        }
        let late_after = self.late_timeout.late_after().min(wait + MAX_LATE_AFTER_WAIT);
        match tokio::time::timeout(late_after, self.request(wait, PollLease::Full)).await {
            Ok(Err(WorkerError::NoAnswer)) | Err(_) => {
                if std::mem::take(&mut self.reported_reachable) {
                    self.report(WorkerEvent::ReplyLate);
                }
                self.request(Duration::ZERO, PollLease::Repeated).await
            }
            Ok(res) => res,
        }
    }

    /// Whether the lease of the worker may be extended now.
    fn may_extend_lease(&self) -> bool {
        !self.worker.is_silent() && self.cx.holds_grant(self.now())
    }

    /// Sends one poll, which waits at the worker up to `wait` for a task to end.
    async fn request(&mut self, wait: Duration, lease: PollLease) -> Result<PollReply, WorkerError> {
        let sent = self.now();
        let acked_end = self.end_to_ack(sent);
        let leased_until = self.worker.leased_until();
        self.last_answered = None;
        let lease_end = match lease {
            PollLease::Full => self.full_lease(sent),
            PollLease::Repeated => self.repeated_lease(),
        };
        self.sent_lease = lease_end;
        let awaits_order = !self.worker.is_silent() && !self.worker.is_extension_allowed();
        let wait = match lease_end {
            Some(_) => wait,
            None if awaits_order => wait.min(EXTENSION_ORDER_WAIT),
            None => Duration::ZERO,
        };
        let platform = &self.cx.node.platform;
        let (address, token) = (&self.worker.address, self.worker.token);
        let reply = platform.poll_worker(address, token, acked_end, lease_end.map(|end| end.at), wait);
        let listing = reply.await?;
        Ok(PollReply { sent, acked_end, leased_until, lease_end, listing })
    }

    /// End of a full lease from now; `None` if it may not be sent.
    fn full_lease(&self, sent: Duration) -> Option<LeaseEnd> {
        let worker_lease = self.cx.lease_from(sent);
        // The end of the lease is computed before the permission to send it is checked. If the
        // process is paused in between, it sends a lease that has ended.
        let lease_end = self.worker.lease_end(sent, worker_lease.duration)?;
        let until = sent + worker_lease.max_duration_with_drift();
        (self.may_extend_lease() && self.worker.may_lease_until(until)).then_some(lease_end)
    }

    /// End of the lease that the latest poll carried; `None` if it may not be sent again. A worker that keeps its name
    /// may have started again since, and would read it on another clock.
    fn repeated_lease(&self) -> Option<LeaseEnd> {
        let keeps_name = self.worker.address.id.started_at().is_some();
        self.sent_lease.filter(|_| !keeps_name && self.may_extend_lease() && self.worker.may_repeat_lease())
    }

    /// Highest number of an end to acknowledge with a poll that is sent now; 0 if there is none,
    /// or if the worker may have restarted since the previous poll.
    fn end_to_ack(&self, now: Duration) -> u64 {
        let recorded = *self.worker.recorded_end.borrow();
        let answered_recently = self.last_answered.is_some_and(|sent| now < sent + ACK_WINDOW);
        if answered_recently && recorded > self.acked_end { recorded } else { 0 }
    }

    /// Records that a worker may have more ends than it lists.
    fn record_partial_ends(&self, listing: &Listing, last_end: u64) {
        self.cx.node.metrics.partial_end_lists.inc();
        log::info!(
            "event=ends_partly_listed worker={} ended={} running={} last={last_end} acked={}",
            self.worker.address.id,
            listing.ended.len(),
            listing.running.len(),
            self.acked_end
        );
    }

    /// Logs runs that ended with the worker's lease, with what this relay had believed of the lease when it
    /// sent the poll.
    fn log_lapsed_runs(&self, report: &Report, leased_until: Duration, now: Duration) {
        let mut lapsed = report.ended.iter().filter(|end| end.kind == EndKind::Lapsed);
        let Some(first) = lapsed.next() else { return };
        log::info!(
            "event=runs_lapsed worker={} runs={} task={} attempt={} lease_left_ms={} grant_left_ms={} \
             unanswered={} extends={}",
            self.worker.address.id,
            1 + lapsed.count(),
            first.task,
            first.attempt,
            leased_until.saturating_sub(now).as_millis(),
            self.cx.grant.end().saturating_sub(now).as_millis(),
            self.worker.unanswered(),
            self.worker.is_extension_allowed()
        );
    }

    /// Reports what has changed according to a listing; returns false if a newer one was processed before.
    /// Two polls of a worker may be under way, and their reports have to come in the order of their listings.
    fn report_changes(&mut self, listing: Listing, sent: Duration, leased_until: Duration) -> bool {
        let now = self.now();
        let worker = self.worker.clone();
        let mut tracker = worker.run_tracker.lock();
        let report = worker.take_listing(&mut tracker, listing, PollKind::Waiting, sent, now);
        let is_newest = report.is_some();
        // An older listing tells that the worker answers, and nothing else.
        let report = report.unwrap_or_default();
        self.log_lapsed_runs(&report, leased_until, now);
        if !self.reported_reachable || !report.is_empty() {
            self.reported_reachable = true;
            self.report(WorkerEvent::Reported(report));
        }
        is_newest
    }

    /// Reports what has changed according to a reply, and waits until the next poll is due.
    async fn handle_reply(&mut self, reply: PollReply, started: Duration) {
        let PollReply { sent, acked_end, leased_until, lease_end, listing } = reply;
        let now = self.now();
        self.last_answered = Some(sent);
        self.late_timeout.record(now - started);
        self.worker.record_poll_answer(listing.made_at, sent, now);
        // The poll itself may be lost.
        if !listing.answers_copy {
            self.acked_end = self.acked_end.max(acked_end);
            lease_end.into_iter().for_each(|end| self.worker.confirm_lease(end));
        }
        let last_end = listing.ended.iter().map(|e| e.sequence_number).max().unwrap_or(0);
        if listing.coverage == EndCoverage::Earliest {
            self.record_partial_ends(&listing, last_end);
        }
        let reported = self.report_changes(listing, sent, leased_until);
        // The ends of an answer that was ignored are listed again.
        if reported && last_end > *self.worker.recorded_end.borrow() {
            wait_until_recorded(&self.worker, last_end).await;
        }
        tokio::time::sleep(MIN_POLL_INTERVAL.saturating_sub(self.now() - started)).await;
    }
}

/// Polls a worker without a wait, beside the poll that waits there for a run to end, and reports what has changed;
/// unless another poll has told by now what became of the run that was stopped.
pub(super) async fn poll_after_stop(cx: &RelayContext, worker: &AssignedWorker, run: RunKey) {
    tokio::time::sleep(MIN_POLL_INTERVAL).await;
    if worker.is_unassigned() || !worker.run_tracker.lock().is_tracked(run) {
        return;
    }
    let sent = cx.node.now();
    let reply = cx.node.platform.poll_worker(&worker.address, worker.token, 0, None, Duration::ZERO).await;
    let Ok(listing) = reply else { return };
    let now = cx.node.now();
    worker.record_answer(now);
    let mut tracker = worker.run_tracker.lock();
    let report = worker.take_listing(&mut tracker, listing, PollKind::AfterStop, sent, now);
    if let Some(report) = report.filter(|r| !r.is_empty()) {
        cx.sink.report(&cx.node, worker, WorkerEvent::Reported(report));
    }
}

/// Reports the lease that the worker has confirmed, before it is reported that the worker does not answer or that its
/// life is over.
pub(super) fn report_confirmed_lease(cx: &RelayContext, worker: &AssignedWorker) {
    let end = worker.confirmed_lease_end().and_then(|end| cx.sink.on_scheduler_clock(end));
    if let Some(end) = end {
        cx.sink.report(&cx.node, worker, WorkerEvent::LeaseConfirmed(end));
    }
}

/// Reports an answer to a poll after which the worker is not polled with this assignment any more;
/// returns whether it is one.
pub(super) fn report_end_of_assignment(cx: &RelayContext, worker: &AssignedWorker, e: WorkerError) -> bool {
    let silent_for = worker.silent_for(cx.node.now());
    let event = match e {
        WorkerError::OtherLife => WorkerEvent::IncarnationEnded(silent_for),
        WorkerError::Restarted(restarted_at) => WorkerEvent::Restarted(restarted_at, silent_for),
        WorkerError::Fenced => {
            let (worker, token) = (&worker.address.id, worker.token);
            log::warn!("event=fenced_by_worker worker={worker} token={token}");
            WorkerEvent::Fenced
        }
        WorkerError::Refused
        | WorkerError::Ticket
        | WorkerError::Unwell
        | WorkerError::NotSent
        | WorkerError::NoAnswer => return false,
    };
    report_confirmed_lease(cx, worker);
    cx.sink.report(&cx.node, worker, event);
    if matches!(e, WorkerError::Restarted(_)) {
        // Pending orders were meant for the previous incarnation.
        worker.unassign();
    }
    true
}

/// Waits until ends up to a number are recorded, so that the next poll can acknowledge them.
async fn wait_until_recorded(worker: &AssignedWorker, last_end: u64) {
    let mut recorded_end = worker.recorded_end.subscribe();
    let res = tokio::time::timeout(RECORD_TIMEOUT, recorded_end.wait_for(|n| *n >= last_end)).await;
    if res.is_err() {
        log::debug!("event=ends_not_recorded worker={} last={last_end}", worker.address.id);
    }
}
