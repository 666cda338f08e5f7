//! Tells workers that are cut off from workers that have crashed.
//!
//! Both stop answering, and both may be replaced later. But a worker that was alive after it had fallen
//! silent was cut off: its runs did not silence it, and how it ended later tells nothing of them. Two
//! lists show that a silent worker is alive:
//!
//! * The list of hosts names the worker of each host that is up.
//! * The entry of a crashed worker leaves the list of workers within [`UNLISTED_WITHIN`], so one that
//!   is still listed was alive that long before.

use std::time::Duration;

use super::host::{Host, HostState};
use super::outage::StoreAccess;
use super::scheduler::Scheduler;
use super::worker::Worker;
use super::worker_id::WorkerId;

/// Longest time from a crash until the worker is no longer listed: three pings of two seconds each, and
/// the delay of the list.
const UNLISTED_WITHIN: Duration = Duration::from_secs(7);
/// A list of hosts that was requested this long after the silence shows a crash before it.
const HOST_LIST_DELAY: Duration = Duration::from_secs(1);

/// After a longer time without a tick the lease holder was paused, and the list of workers may be out of
/// date.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Whether the list of workers has been followed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListWatch {
    /// Since when it has been followed without a break.
    followed_since: Duration,
    ticked_at: Duration,
}

impl ListWatch {
    /// Creates the state of a lease holder that begins now.
    pub(super) fn new(now: Duration) -> ListWatch {
        ListWatch { followed_since: now, ticked_at: now }
    }

    fn note_tick(&mut self, now: Duration, store_answers: bool) {
        if !store_answers || self.was_paused(now) {
            self.followed_since = now;
        }
        self.ticked_at = now;
    }

    fn was_paused(&self, now: Duration) -> bool {
        self.ticked_at + MAX_TICK_GAP < now
    }

    /// Whether the list has been followed since this time.
    fn has_followed_since(&self, at: Duration, now: Duration) -> bool {
        self.followed_since <= at && !self.was_paused(now)
    }
}

impl Scheduler {
    /// Notes whether the list of workers is followed.
    pub(super) fn watch_worker_list(&mut self) {
        let store_answers = self.store_access == StoreAccess::Answering;
        self.list_watch.note_tick(self.now, store_answers);
    }

    /// Notes which silent workers a list of hosts shows. The list does not tell incarnations of one
    /// name apart.
    pub(super) fn note_hosts_of_silent_workers(&mut self, requested_at: Duration) {
        let shown = |(id, w): &(&WorkerId, &Worker)| {
            let host = w.info.as_ref().and_then(|info| self.hosts.get(&info.host));
            let named = |host: &Host| host.state == HostState::Up && host.worker.as_ref() == Some(id);
            id.started_at().is_none() && host.is_some_and(named)
        };
        let shown: Vec<WorkerId> =
            self.workers.unreachable().filter(shown).map(|(id, _)| id.clone()).collect();
        for id in shown {
            if let Some(mut w) = self.workers.get_mut(&id) {
                w.shown_on_host_at = Some(requested_at);
            }
        }
    }

    /// Whether a worker was alive after it had fallen silent.
    pub(super) fn was_cut_off(&self, w: &Worker) -> bool {
        // A worker that has not answered this lease holder fell silent at some time before.
        let silent_since = (w.last_heard + w.silent_for).max(w.known_since);
        let on_host = w.shown_on_host_at.is_some_and(|at| at >= silent_since + HOST_LIST_DELAY);
        let now = Some(self.now).filter(|_| w.listed);
        let listed_until = w.unlisted_at.or(now);
        let followed = self.list_watch.has_followed_since(silent_since, self.now);
        on_host || followed && listed_until.is_some_and(|at| at > silent_since + UNLISTED_WITHIN)
    }

    /// Lifts the suspicion of tasks whose runs lapsed on a worker that did not crash, unless there are
    /// crashes to suspect them for.
    pub(super) fn clear_lapsed_runs(&mut self, id: &WorkerId) {
        if self.workers.get(id).is_none_or(|w| w.lapsed_runs.is_empty()) {
            return;
        }
        let Some(lapsed) = self.workers.get_mut(id).map(|mut w| std::mem::take(&mut w.lapsed_runs)) else {
            return;
        };
        for run in lapsed {
            let task = self.jobs.get_mut(&run.task.job).and_then(|j| j.task_mut(&run.task));
            if let Some(task) = task.filter(|t| t.crashes.is_empty()) {
                task.suspicion = None;
            }
        }
    }
}
