//! Leases that a later incarnation of a worker may hold because it received orders meant for an earlier one.
//!
//! Calls name a worker, not its incarnation, so an order for an incarnation that is over may reach the next one. The
//! lease in it is read on a clock that has started anew. There it lasts as long as the longest lease that the platform
//! accepts, whatever was granted, and no later order shortens it. No answer of the worker tells of it.
//!
//! So it is kept for each incarnation that is forgotten until when such a lease may last:
//!
//! * The lease of a later incarnation is not taken for over before.
//! * The later one receives such orders until it has answered a poll, whose token is higher than theirs. With its first
//!   answer the end is worked out again, and is final then.
//!
//! Only workers that tell when they started can return under the same name.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use super::job::WorkerId;
use super::scheduler::Scheduler;
use super::types::lease_with_drift;

/// Longest time from the sending of an order that has no answer until a worker carries it out.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// An incarnation of a worker that is over.
#[derive(Clone, Copy, Debug)]
struct EndedIncarnation {
    /// Until when a later incarnation may hold a lease that was meant for this one.
    lease_end: Duration,
    /// Whether a later incarnation has answered since, so that no order meant for this one is carried out any more.
    is_final: bool,
}

impl EndedIncarnation {
    /// Until when it has to be kept.
    fn kept_until(&self) -> Duration {
        if self.is_final { self.lease_end } else { self.lease_end + MAX_ORDER_DELAY }
    }
}

/// Incarnations that have ended lately.
#[derive(Clone, Debug, Default)]
pub struct EndedIncarnations {
    by_id: BTreeMap<WorkerId, EndedIncarnation>,
}

impl EndedIncarnations {
    /// Those before an incarnation of the same worker.
    fn before(&mut self, later: &WorkerId) -> impl Iterator<Item = &mut EndedIncarnation> {
        let of_name = self.by_id.range_mut::<str, _>((Bound::Included(later.name()), Bound::Unbounded));
        let of_name = of_name.take_while(|(id, _)| id.starts_with(later.name()));
        of_name.filter(|(id, _)| later.supersedes(id)).map(|(_, ended)| ended)
    }

    /// Until when an incarnation may hold a lease that was meant for an earlier one.
    fn lease_end_before(&mut self, later: &WorkerId) -> Option<Duration> {
        self.before(later).map(|ended| ended.lease_end).max()
    }

    /// Notes that no order meant for an earlier incarnation is carried out any more, so that the last lease in one ends
    /// by `lease_end`.
    fn finalize_before(&mut self, later: &WorkerId, lease_end: Duration) {
        for ended in self.before(later).filter(|ended| !ended.is_final) {
            ended.lease_end = ended.lease_end.max(lease_end);
            ended.is_final = true;
        }
    }
}

impl Scheduler {
    /// Latest end of a lease in an order that is carried out by now, but by a later incarnation than it was meant for.
    pub(super) fn misdelivered_lease_end(&self) -> Duration {
        self.now + lease_with_drift(self.limits.max_lease, self.limits.clock_drift)
    }

    /// Until when a later incarnation may hold a lease that is meant for this one if this one ends now. Its relay may
    /// go on for a while.
    pub(super) fn left_lease_end(&self, id: &WorkerId) -> Duration {
        self.misdelivered_lease_end() + self.relay_grace(id)
    }

    /// Keeps in mind that an incarnation is over.
    pub(super) fn remember_ended(&mut self, id: &WorkerId, lease_end: Duration) {
        if id.started_at().is_none() {
            return;
        }
        self.ended_incarnations.by_id.insert(id.clone(), EndedIncarnation { lease_end, is_final: false });
    }

    /// Forgets that an incarnation seemed to be over: it is listed.
    pub(super) fn forget_ended(&mut self, id: &WorkerId) {
        self.ended_incarnations.by_id.remove(id);
    }

    /// Counts the leases that an incarnation may hold of those meant for earlier ones.
    pub(super) fn count_earlier_leases(&mut self, id: &WorkerId) {
        let Some(lease_end) = self.ended_incarnations.lease_end_before(id) else { return };
        self.raise_lease_end(id, lease_end);
    }

    /// Takes the lease of a worker for over no sooner than this.
    pub(super) fn raise_lease_end(&mut self, id: &WorkerId, lease_end: Duration) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.lease_end = w.lease_end.max(lease_end);
        }
    }

    /// Notes that an incarnation has answered: no order meant for an earlier one reaches it any more.
    pub(super) fn finalize_earlier_leases(&mut self, id: &WorkerId) {
        let lease_end = self.misdelivered_lease_end();
        self.ended_incarnations.finalize_before(id, lease_end);
        self.count_earlier_leases(id);
    }

    /// Drops incarnations whose leases are over.
    pub(super) fn drop_ended_incarnations(&mut self) {
        let now = self.now;
        self.ended_incarnations.by_id.retain(|_, ended| now <= ended.kept_until());
    }
}
