//! Workers that are cut off from the store as well: their entries leave the list of workers after some time,
//! and the same life is listed again once it is reached.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::jobs::Event;
use workswood_core::jobs::job::WorkerId;

use super::World;

/// Times from such a cut until holders see that the entry has gone, in milliseconds: three pings that are not
/// written, and the delay of the list.
const UNLISTED_AFTER_MS: (u64, u64) = (5500, 7000);

/// Workers that are cut off from the store.
#[derive(Default)]
pub(super) struct StoreCuts {
    /// Lives whose entries leave the list, by index, with the time at which they do.
    unlisted_at: BTreeMap<usize, (Duration, WorkerId)>,
}

impl World {
    /// Partitions a worker from the relays and from the store, until [`World::cut`] or [`World::heal`] ends the
    /// partition or another life takes its place.
    pub fn cut_with_store(&mut self, n: usize) {
        let n = n % self.workers.len();
        let (from_ms, to_ms) = UNLISTED_AFTER_MS;
        let after = Duration::from_millis(from_ms + self.rng.below(to_ms - from_ms));
        let id = self.workers[n].id.clone();
        self.cut(n, true);
        self.store_cuts.unlisted_at.insert(n, (self.now + after, id));
    }

    /// Whether the entry of a worker has left the list because of such a cut.
    pub fn is_unlisted(&self, n: usize) -> bool {
        let due = self.store_cuts.unlisted_at.get(&n);
        due.is_some_and(|(at, id)| *at <= self.now && self.workers[n].id == *id)
    }

    /// Has holders see which entries leave the list at this step.
    pub(super) fn unlist_cut_workers(&mut self) {
        let now = self.now;
        let due =
            self.store_cuts.unlisted_at.iter().filter(|(_, (at, _))| *at <= now && now < *at + super::STEP);
        let due: Vec<WorkerId> =
            due.filter(|(n, _)| self.is_unlisted(**n)).map(|(_, (_, id))| id.clone()).collect();
        for id in due {
            self.holders.iter_mut().for_each(|h| h.enqueue_event(now, Event::WorkerUnlisted(id.clone())));
        }
    }

    /// Ends the cut of a worker from the store; an entry that has left the list is listed again.
    pub(super) fn regain_store_of(&mut self, n: usize) {
        let relisted = self.is_unlisted(n) && self.workers[n].up;
        if self.store_cuts.unlisted_at.remove(&n).is_none() || !relisted {
            return;
        }
        let at = self.now + self.listing_delay();
        let info = self.info(n, &self.workers[n].id);
        self.holders.iter_mut().for_each(|h| h.enqueue_event(at, Event::WorkerListed(info.clone())));
    }
}
