//! Orders that reach a later life of a worker than they were sent to.
//!
//! Calls name a worker, not its life. What is sent to a worker that is down or cut off may be carried out at its
//! return, or within [`MAX_ORDER_DELAY`], by the life that it has by then. All of this draws from a generator of its
//! own.

use std::collections::BTreeSet;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::run_tracker::RunKey;

use super::World;
use super::fault_rng::{FaultRng, Stream};
use super::worker::Order;

/// Longest time from the sending of an order until a worker carries it out.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);
/// One in this many orders to a worker that is down or cut off is lost.
const LOST_INTERVAL: u64 = 4;
/// One in this many of the others is carried out late, and not at the return of its worker.
const LATE_INTERVAL: u64 = 3;

/// An order that has not reached its worker.
struct HeldOrder {
    /// When it is carried out at the earliest.
    due: Duration,
    /// After this it is lost.
    expires: Duration,
    /// Life of the worker that the order was addressed to.
    addressee: WorkerId,
    order: Order,
}

/// The orders under way to workers that were down or cut off.
pub(super) struct Misdelivery {
    /// Whether two lives carry out two copies of one start.
    repeats_starts: bool,
    /// Runs that some life has taken.
    taken: BTreeSet<RunKey>,
    rng: FaultRng,
    held: Vec<HeldOrder>,
}

impl World {
    /// Has later lives of workers carry out orders that were meant for former ones.
    #[must_use]
    pub fn with_misdelivered_orders(mut self) -> World {
        let rng = self.rng.stream(Stream::Misdelivery);
        self.misdelivery =
            Some(Misdelivery { repeats_starts: false, taken: BTreeSet::new(), rng, held: Vec::new() });
        self
    }

    /// Has two lives of a worker also carry out two copies of one start, of which the first had no answer. Nobody can
    /// prevent that both run, one after the other.
    #[must_use]
    pub fn with_repeated_starts(mut self) -> World {
        if let Some(m) = &mut self.misdelivery {
            m.repeats_starts = true;
        }
        self
    }

    /// Notes that a life has taken a start.
    pub(super) fn note_taken(&mut self, run: RunKey) {
        if let Some(m) = &mut self.misdelivery {
            m.taken.insert(run);
        }
    }

    /// Whether an order is a copy of a start that another life has taken, and is lost for that.
    pub(super) fn is_lost_copy(&self, addressee: &WorkerId, order: &Order) -> bool {
        let Order::Start { task, attempt, .. } = order else { return false };
        let other_life = !self.workers.iter().any(|w| w.id == *addressee);
        let is_copy = |m: &Misdelivery| !m.repeats_starts && m.taken.contains(&(*task, *attempt));
        other_life && self.misdelivery.as_ref().is_some_and(is_copy)
    }

    /// Whether an order that is under way reaches the worker although the life that it was sent to is over.
    pub(super) fn outlives_its_recipient(&self) -> bool {
        self.misdelivery.is_some()
    }

    /// Whether some order is still under way to a worker that was down or cut off.
    pub(super) fn holds_orders(&self) -> bool {
        self.misdelivery.as_ref().is_some_and(|m| !m.held.is_empty())
    }

    /// Keeps an order, perhaps, that has not reached its worker.
    pub(super) fn hold_order(&mut self, addressee: &WorkerId, order: &Order) {
        let now = self.now;
        let Some(m) = &mut self.misdelivery else { return };
        if m.rng.below(LOST_INTERVAL) == 0 {
            return;
        }
        let late = Duration::from_millis(m.rng.below(MAX_ORDER_DELAY.as_millis() as u64));
        let due = if m.rng.below(LATE_INTERVAL) == 0 { now + late } else { now };
        let (addressee, order) = (addressee.clone(), order.clone());
        m.held.push(HeldOrder { due, expires: now + MAX_ORDER_DELAY, addressee, order });
    }

    /// Carries out the held orders that are due, by whatever life their worker has by now.
    pub(super) fn deliver_held_orders(&mut self) {
        let now = self.now;
        let Some(m) = &mut self.misdelivery else { return };
        for held in std::mem::take(&mut m.held) {
            let is_done = held.due <= now && self.carry_out_held(&held);
            let is_lost = held.expires <= now;
            if let Some(m) = self.misdelivery.as_mut().filter(|_| !is_done && !is_lost) {
                m.held.push(held);
            }
        }
    }

    /// Carries out a held order if its worker is reached.
    fn carry_out_held(&mut self, held: &HeldOrder) -> bool {
        let reached = self.carry_out(&held.addressee, &held.order, true).is_some();
        let is_current = self.workers.iter().any(|w| w.id == held.addressee);
        if reached && !is_current {
            self.seen.misdelivered_orders += 1;
        }
        reached
    }

    /// Whether worker `n` is up.
    pub fn is_up(&self, n: usize) -> bool {
        self.workers[n % self.workers.len()].up
    }
}
