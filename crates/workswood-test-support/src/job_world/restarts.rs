//! Workers that start again under their names.

use std::time::Duration;

use workswood_core::jobs::job::WorkerId;

use super::fault_rng::FaultRng;
use super::worker::Order;
use super::{LONGEST_LEASE, World};

/// How long a worker takes to start again: at least, and at most.
const RESTART_TAKES: (u64, u64) = (500, 1200);
/// Longest time from a worker's start to when holders hear of its entry.
const TOLD_WITHIN: u64 = 1500;

impl World {
    /// A world without an adviser, relays or a limit, whose workers tell when they started, and start
    /// again under their names.
    pub fn restarting(workers: usize, rng: FaultRng) -> World {
        World::begin_restarts(World::new(workers, rng))
    }

    /// Likewise; hosts attend the workers for the holder.
    pub fn restarting_relayed(workers: usize, rng: FaultRng) -> World {
        World::begin_restarts(World::relayed(workers, rng))
    }

    fn begin_restarts(mut w: World) -> World {
        w.restarts = true;
        for n in 0..w.workers.len() {
            w.replace(n);
        }
        w.take_over();
        w
    }

    /// A worker's process ends, and is started again.
    pub(super) fn stop_worker(&mut self, n: usize) {
        let takes = RESTART_TAKES.0 + self.rng.below(RESTART_TAKES.1 - RESTART_TAKES.0);
        self.take_down(n, Duration::from_millis(takes));
    }

    /// How long after its start a worker's entry is heard of.
    pub(super) fn told_after(&mut self) -> Duration {
        if self.restarts { Duration::from_millis(self.rng.below(TOLD_WITHIN)) } else { Duration::ZERO }
    }

    /// An order as the worker at a place reads it, which was meant for a life of it. The clock of a
    /// later life has started anew: on it, the end of a lease is far ahead.
    pub(super) fn on_its_clock(&self, at: usize, meant: &WorkerId, order: &Order) -> Order {
        let mut order = order.clone();
        if self.workers[at].id == *meant {
            return order;
        }
        let longest = self.now + LONGEST_LEASE;
        match &mut order {
            Order::Look { lease_end: Some(end), .. } | Order::Start { lease_end: end, .. } => *end = longest,
            Order::Look { lease_end: None, .. } | Order::Stop { .. } => {}
        }
        order
    }
}
