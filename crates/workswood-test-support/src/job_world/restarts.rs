//! Workers that restart under the same name.

use std::time::Duration;

use workswood_core::jobs::job::WorkerId;

use super::fault_rng::FaultRng;
use super::worker::Order;
use super::{MAX_LEASE, World};

/// Minimum and maximum duration of a restart, in milliseconds.
const RESTART_MS: (u64, u64) = (500, 1200);
/// Longest time in milliseconds from a worker's start until holders see it listed.
const MAX_LISTING_DELAY_MS: u64 = 1500;

impl World {
    /// Creates a world whose workers report when they started and restart under the same name.
    pub fn restarting(workers: usize, rng: FaultRng) -> World {
        World::enable_restarts(World::new(workers, rng))
    }

    /// Creates such a world in which entries relay for the holder; see [`World::relayed`].
    pub fn restarting_relayed(workers: usize, rng: FaultRng) -> World {
        World::enable_restarts(World::relayed(workers, rng))
    }

    fn enable_restarts(mut w: World) -> World {
        w.restarts = true;
        for n in 0..w.workers.len() {
            w.replace(n);
        }
        w.take_over();
        w
    }

    /// Restarts a worker's process.
    pub(super) fn restart_worker(&mut self, n: usize) {
        let duration = RESTART_MS.0 + self.rng.below(RESTART_MS.1 - RESTART_MS.0);
        self.take_down(n, Duration::from_millis(duration));
    }

    /// Draws the time from a worker's start until holders see it listed.
    pub(super) fn listing_delay(&mut self) -> Duration {
        if self.restarts {
            Duration::from_millis(self.rng.below(MAX_LISTING_DELAY_MS))
        } else {
            Duration::ZERO
        }
    }

    /// Returns an order as the current life of a worker reads it. A lease end that was computed for
    /// an earlier life is far in the future on the clock of a later one, so it becomes the longest
    /// lease that a worker accepts.
    pub(super) fn order_as_received(&self, at: usize, addressee: &WorkerId, order: &Order) -> Order {
        let mut order = order.clone();
        if self.workers[at].id == *addressee {
            return order;
        }
        let max_end = self.now + MAX_LEASE;
        match &mut order {
            Order::Probe { lease_end: Some(end), .. } | Order::Start { lease_end: end, .. } => *end = max_end,
            Order::Probe { lease_end: None, .. } | Order::Stop { .. } => {}
        }
        order
    }
}
