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
//! * It is on record from the batch on that deletes the record of the incarnation, before anything starts on a later one.
//!   The record tells what is left; a successor counts that from its reading, so no clocks of two hosts are compared.
//!   Once a later incarnation is known it is written again now and then, so that changes of holder add little.
//!
//! Only workers that tell when they started can return under the same name.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::WorkerId;
use super::outage::StoreAccess;
use super::scheduler::Scheduler;
use super::types::{Record, lease_with_drift};

/// Longest time from the sending of an order that has no answer until a worker carries it out.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);
/// Interval between two records of one incarnation. A change of holder adds at most this time, and the time without a
/// holder, to the end of its leases.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Most records that are written again in one batch.
const MAX_REFRESHED_RECORDS: usize = 200;

/// The stored form of an incarnation that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedIncarnationRecord {
    /// Milliseconds after which the last lease has ended that a later incarnation may hold of those meant for this one.
    pub lease_left: u64,
    /// Whether a later incarnation has answered since, so that `lease_left` is final.
    #[serde(default, rename = "final", skip_serializing_if = "std::ops::Not::not")]
    pub is_final: bool,
}

/// An incarnation of a worker that is over.
#[derive(Clone, Copy, Debug)]
struct EndedIncarnation {
    /// Until when a later incarnation may hold a lease that was meant for this one.
    lease_end: Duration,
    /// Whether a later incarnation has answered since, so that no order meant for this one is carried out any more.
    is_final: bool,
    /// When its record was last taken for the store.
    recorded_at: Duration,
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
    /// Incarnations whose record is to be written or deleted.
    unrecorded: BTreeSet<WorkerId>,
}

impl EndedIncarnations {
    /// Those before an incarnation of the same worker.
    fn before(&mut self, later: &WorkerId) -> impl Iterator<Item = (&WorkerId, &mut EndedIncarnation)> {
        let of_name = self.by_id.range_mut::<str, _>((Bound::Included(later.name()), Bound::Unbounded));
        let of_name = of_name.take_while(|(id, _)| id.starts_with(later.name()));
        of_name.filter(|(id, _)| later.supersedes(id))
    }

    /// Until when an incarnation may hold a lease that was meant for an earlier one.
    fn lease_end_before(&mut self, later: &WorkerId) -> Option<Duration> {
        self.before(later).map(|(_, ended)| ended.lease_end).max()
    }

    /// Notes that no order meant for an earlier incarnation is carried out any more, so that the last lease in one ends
    /// by `lease_end`.
    fn finalize_before(&mut self, later: &WorkerId, lease_end: Duration) {
        let mut changed = Vec::new();
        for (id, ended) in self.before(later).filter(|(_, ended)| !ended.is_final) {
            ended.lease_end = lease_end;
            ended.is_final = true;
            changed.push(id.clone());
        }
        self.unrecorded.extend(changed);
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
        let recorded_at = self.now;
        let known = self.ended_incarnations.by_id.get(id).map_or(Duration::ZERO, |ended| ended.lease_end);
        let ended = EndedIncarnation { lease_end: lease_end.max(known), is_final: false, recorded_at };
        self.ended_incarnations.by_id.insert(id.clone(), ended);
        self.ended_incarnations.unrecorded.insert(id.clone());
    }

    /// Takes over an incarnation that a predecessor recorded as over.
    pub fn restore_ended(&mut self, id: WorkerId, rec: &EndedIncarnationRecord) {
        let lease_end = self.now + Duration::from_millis(rec.lease_left);
        // Recorded again at once, so that terms that are shorter than the interval don't add up.
        let recorded_at = self.now.saturating_sub(RECORD_INTERVAL);
        let ended = EndedIncarnation { lease_end, is_final: rec.is_final, recorded_at };
        for later in self.workers.incarnations_of(id.name()).to_vec() {
            if later.supersedes(&id) {
                self.raise_lease_end(&later, lease_end);
            }
        }
        self.ended_incarnations.by_id.insert(id, ended);
    }

    /// Forgets that an incarnation seemed to be over: it is listed.
    pub(super) fn forget_ended(&mut self, id: &WorkerId) {
        if self.ended_incarnations.by_id.remove(id).is_some() {
            self.ended_incarnations.unrecorded.insert(id.clone());
        }
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
        if let Some(mut w) = self.workers.get_mut(id).filter(|w| !w.superseded) {
            // What the relay of an earlier one may still send is refused.
            w.lease_end = w.lease_end.min(lease_end);
        }
        self.count_earlier_leases(id);
    }

    /// Drops incarnations whose leases are over, and has those recorded again whose record is old.
    pub(super) fn watch_ended_incarnations(&mut self) {
        let now = self.now;
        let EndedIncarnations { by_id, unrecorded } = &mut self.ended_incarnations;
        by_id.retain(|id, ended| {
            let kept = now <= ended.kept_until();
            if !kept {
                unrecorded.insert(id.clone());
            }
            kept
        });
        self.refresh_ended_records(RECORD_INTERVAL);
    }

    /// Has incarnations recorded again that were not recorded for this long and of which a later one is known.
    pub(super) fn refresh_ended_records(&mut self, interval: Duration) {
        if self.store_access != StoreAccess::Answering {
            return;
        }
        let now = self.now;
        let is_due = |ended: &EndedIncarnation| ended.lease_end > now && now >= ended.recorded_at + interval;
        let due = self.ended_incarnations.by_id.iter().filter(|(_, ended)| is_due(ended));
        let due = due.map(|(id, _)| id).filter(|id| self.has_later_incarnation(id));
        let due: Vec<WorkerId> = due.take(MAX_REFRESHED_RECORDS).cloned().collect();
        self.ended_incarnations.unrecorded.extend(due);
    }

    /// Takes the records of ended incarnations that are due.
    pub(super) fn take_ended_records(&mut self) -> Vec<Record> {
        let now = self.now;
        let EndedIncarnations { by_id, unrecorded } = &mut self.ended_incarnations;
        let record = |id: WorkerId| {
            let rec = by_id.get_mut(&id).map(|ended| {
                ended.recorded_at = now;
                // Rounded up, so that no lease appears to end too early.
                let lease_left = ended.lease_end.saturating_sub(now).as_millis() as u64 + 1;
                EndedIncarnationRecord { lease_left, is_final: ended.is_final }
            });
            Record::EndedIncarnation(id, rec)
        };
        std::mem::take(unrecorded).into_iter().map(record).collect()
    }
}
