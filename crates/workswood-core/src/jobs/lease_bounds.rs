//! What one term passes on to the next about the leases of workers that don't answer.
//!
//! After a poll without an answer, a relay extends a worker's lease again only on the lease holder's order. It says
//! so with the silence ([`WorkerUpdate::AwaitsOrder`](super::types::WorkerUpdate)). The order names how many
//! polls without an answer the holder knows of in this assignment; a relay that has had another one ignores it. A
//! relay that takes over a silent worker waits, and says so, from the start ([`ExtensionOrders`]). So once a relay
//! has said that it waits and the holder has not ordered since, no lease is extended and the last one ends by
//! `Worker::lease_end`.
//!
//! A start carries the end of a lease too. The relay works out what it reports with a poll without an answer after it has
//! closed the way for further starts (`AssignedWorker::may_lease_until`), so `Worker::lease_end` holds for starts that
//! are under way; one that waits, or is tried again, is not sent before an order. So a bound can be recorded
//! while the holder waits for the reply to a start. The run is settled only with that reply or by a successor.
//!
//! The holder then records how long that is from now, the *bound* ([`WorkerRecord::lease_left`]). While a bound
//! may be on record the holder does not order extensions: it has a record without the bound stored first.
//! Only the holder that has fenced off the earlier ones can store that record. A successor that reads the
//! bound therefore knows that no earlier holder has extended the lease since, nor can; the record was
//! decided before the successor read it, so the lease ends at most that long after the reading. It passes on
//! what is left then. No clocks of two hosts are compared.
//!
//! The bound of an incarnation that a later one has superseded also covers what the later one may have received of the
//! orders meant for it ([`WorkerRecord::superseded`]). It is not polled again in any term that knows the
//! later one, so a successor counts no such time from its own taking over.
//!
//! A bound says nothing about runs that are not on record; `open` does.
//!
//! | state of a worker | `allowed` | `bound_on_record` |
//! |---|---|---|
//! | answers, or its assignment has just begun | yes | no |
//! | silent | no | no |
//! | silent, and its bound is or may be stored | no | yes |
//! | answers again, and the record without a bound is not stored yet | no | yes |

use std::time::Duration;

use super::job::WorkerId;
use super::outage::StoreAccess;
use super::scheduler::Scheduler;
use super::types::Action;
use super::worker::{Worker, WorkerRecord};

/// Time without an answer after which the end of a worker's lease is recorded.
const RECORD_AFTER: Duration = Duration::from_millis(300);
/// Interval between two records of it. An unplanned change of holder adds at most this time to the end.
const RECORD_INTERVAL: Duration = Duration::from_millis(250);

/// When a relay extends a worker's lease only on order of the lease holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExtensionOrders {
    /// Never: it extends the lease whenever the worker answers.
    #[default]
    NotNeeded,
    /// After each poll without an answer.
    AfterSilence,
    /// From the start of the assignment, and after each poll without an answer.
    FromStart,
}

/// What is known of the extensions of a worker's lease.
#[derive(Clone, Debug, Default)]
pub struct LeaseExtensions {
    /// When the present relay extends the lease only on order.
    pub orders: ExtensionOrders,
    /// Whether the present relay may extend the lease: it has not said that it waits for an order, or it has
    /// been ordered to.
    pub allowed: bool,
    /// Whether the present relay may wait for an order.
    order_due: bool,
    /// Number of polls without an answer that the present relay has reported.
    pub unanswered: u32,
    /// Whether the record that was last taken for the store has a bound.
    bound_written: bool,
    /// Whether a record with a bound may be stored.
    pub bound_on_record: bool,
    /// When a bound was last taken for the store.
    bound_taken_at: Duration,
    /// Whether the worker was silent when its last assignment ended.
    was_silent: bool,
    /// When the assignment began or, after an answer, when a poll first had none. A worker that was silent
    /// before counts on.
    silent_since: Duration,
}

impl LeaseExtensions {
    /// Begins an assignment to a relay.
    fn begin(&mut self, orders: ExtensionOrders, now: Duration) {
        self.orders = orders;
        self.allowed = true;
        self.order_due = orders == ExtensionOrders::FromStart;
        self.unanswered = 0;
        if !self.order_due {
            self.silent_since = now;
        }
    }

    /// Notes that a poll had no answer, the first one of a silence or a further one.
    pub(super) fn note_unanswered(&mut self, first: bool, now: Duration) {
        if first {
            self.silent_since = now;
        }
        self.unanswered += 1;
        // Not every version says that it waits.
        self.order_due |= self.orders == ExtensionOrders::FromStart;
    }

    /// Ends an assignment, at the end of which the worker answered or not; returns whether its relay may have
    /// extended the lease.
    pub(super) fn end(&mut self, answered: bool) -> bool {
        self.was_silent = !answered && (self.was_silent || self.unanswered > 0);
        std::mem::take(&mut self.allowed)
    }

    /// Takes over a bound of a predecessor.
    pub(super) fn restore_bound(&mut self) {
        (self.bound_written, self.bound_on_record) = (true, true);
    }
}

impl Scheduler {
    /// When the lease of a worker ends that a predecessor recorded with this much left.
    pub(super) fn restored_lease_end(&self, lease_left: Option<u64>) -> Duration {
        let inherited = self.inherited_lease_end();
        lease_left.map_or(inherited, |left| inherited.min(self.now + Duration::from_millis(left)))
    }

    /// Begins the assignment of a worker to a relay; returns when that extends the lease only on order.
    pub(super) fn begin_extensions(&mut self, id: &WorkerId) -> ExtensionOrders {
        let records_bounds = self.policy.handover.records_lease_ends;
        let forgotten = self.forgotten_bounds.contains(id);
        let now = self.now;
        let Some(mut w) = self.workers.get_mut(id) else { return ExtensionOrders::default() };
        if forgotten {
            w.extensions.restore_bound();
        }
        let extensions = &mut w.extensions;
        let orders = match records_bounds {
            _ if extensions.bound_on_record => ExtensionOrders::FromStart,
            true if extensions.was_silent => ExtensionOrders::FromStart,
            true => ExtensionOrders::AfterSilence,
            false => ExtensionOrders::NotNeeded,
        };
        extensions.begin(orders, now);
        orders
    }

    /// Notes that the relay of a worker does not extend its lease again before it is ordered to.
    pub(super) fn note_awaited_order(&mut self, id: &WorkerId) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.extensions.allowed = false;
            w.extensions.order_due = true;
        }
    }

    /// Has the lease of a worker that answers extended, unless a bound may be on record; then has the
    /// record written without it.
    pub(super) fn allow_extensions(&mut self, id: &WorkerId) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        if !w.extensions.order_due || !w.reachable {
            return;
        }
        if w.extensions.bound_on_record {
            drop(w);
            self.dirty_workers.insert(id.clone());
            return;
        }
        w.extensions.allowed = true;
        w.extensions.order_due = false;
        let unanswered = w.extensions.unanswered;
        drop(w);
        self.relays.push_order(Action::ExtendLeases(id.clone(), unanswered));
    }

    /// Whether new bounds may be recorded. While the store is away, a bound would keep the lease of a worker
    /// that answers again from being extended until the store is back.
    fn records_bounds(&self) -> bool {
        self.policy.handover.records_lease_ends && self.store_access == StoreAccess::Answering
    }

    /// Has bounds recorded that are due.
    pub(super) fn record_due_bounds(&mut self) {
        self.record_bounds(RECORD_INTERVAL);
    }

    /// Has all bounds recorded with the next batch, also those that were recorded a moment ago: the lease is about to
    /// be released.
    pub fn record_last_bounds(&mut self) {
        self.record_bounds(Duration::ZERO);
        self.refresh_ended_records(Duration::ZERO);
    }

    /// Has bounds recorded that were not recorded for this long.
    fn record_bounds(&mut self, interval: Duration) {
        if !self.records_bounds() {
            return;
        }
        let now = self.now;
        let due = |w: &Worker| {
            let due = w.extensions.silent_since + RECORD_AFTER;
            w.lease_end > now && now >= due.max(w.extensions.bound_taken_at + interval)
        };
        let silent = self.workers.unreachable().filter(|(_, w)| due(w)).map(|(id, _)| id.clone());
        let silent: Vec<WorkerId> = silent.collect();
        for id in silent {
            if self.may_record_bound(&id) {
                self.dirty_workers.insert(id);
            }
        }
    }

    /// Whether nothing extends the lease of a worker any more that does not answer and has runs, some of which may be
    /// starting, or may have some without a record.
    fn may_record_bound(&self, id: &WorkerId) -> bool {
        let Some(w) = self.workers.get(id) else { return false };
        let silent = !w.reachable && !w.extensions.allowed;
        let recorded = w.info.is_some() && (!w.runs.is_empty() || !self.is_settled(id));
        silent && recorded
    }

    /// Returns the bound of a worker for its record, in milliseconds. One that is on record is kept until
    /// the worker answers.
    pub(super) fn take_lease_left(&mut self, id: &WorkerId) -> Option<u64> {
        let now = self.now;
        let may_record = self.records_bounds() && self.may_record_bound(id);
        let mut w = self.workers.get_mut(id)?;
        let silent = !w.reachable && !w.extensions.allowed;
        let long_silent = now >= w.extensions.silent_since + RECORD_AFTER;
        let kept = silent && w.extensions.bound_on_record;
        let bounded = kept || may_record && long_silent;
        w.extensions.bound_written = bounded;
        if !bounded {
            return None;
        }
        w.extensions.bound_on_record = true;
        w.extensions.bound_taken_at = now;
        // Rounded up, so that no lease appears to end too early.
        Some(w.lease_end.saturating_sub(now).as_millis() as u64 + 1)
    }

    /// Keeps in mind that a worker that is being forgotten may have a bound on record, until that record is
    /// deleted.
    pub(super) fn keep_forgotten_bound(&mut self, id: &WorkerId, w: &Worker) {
        if w.extensions.bound_on_record {
            self.forgotten_bounds.insert(id.clone());
        }
    }

    /// Notes that the record of a worker is stored; if it has no bound, the lease may be extended.
    pub(super) fn note_bound_stored(&mut self, id: &WorkerId, rec: &WorkerRecord) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        if rec.lease_left.is_some() || w.extensions.bound_written || !w.extensions.bound_on_record {
            return;
        }
        w.extensions.bound_on_record = false;
        self.forgotten_bounds.remove(id);
        let service = w.info.as_ref().map(|i| i.service.clone());
        drop(w);
        self.services_to_place.extend(service);
        self.allow_extensions(id);
    }
}
