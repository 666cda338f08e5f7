//! Limits the orders that are under way to one worker.
//!
//! Starts take turns with all other orders, so that neither kind waits until all orders of the other
//! are sent: a stop does not wait behind the starts of a whole job.

use tokio::sync::{Semaphore, SemaphorePermit};

/// Orders under way to one worker at a time. Together with the poll this bounds the number of
/// connections to the worker.
const MAX_CONCURRENT_ORDERS: usize = 2;

/// The limits of one worker.
pub(super) struct OrderPermits {
    /// Starts that wait in `under_way`, or are under way.
    starts: Semaphore,
    /// Other orders that wait in `under_way`, or are under way.
    others: Semaphore,
    /// Orders that are under way; they are admitted in the order of their arrival.
    under_way: Semaphore,
}

/// Permission to send an order, until it is dropped.
pub(super) struct OrderPermit<'a> {
    _under_way: Option<SemaphorePermit<'a>>,
    _turn: Option<SemaphorePermit<'a>>,
}

impl Default for OrderPermits {
    fn default() -> OrderPermits {
        OrderPermits {
            starts: Semaphore::new(MAX_CONCURRENT_ORDERS),
            others: Semaphore::new(MAX_CONCURRENT_ORDERS),
            under_way: Semaphore::new(MAX_CONCURRENT_ORDERS),
        }
    }
}

impl OrderPermits {
    /// Waits until a start may be sent.
    pub(super) async fn for_start(&self) -> OrderPermit<'_> {
        self.take_turn(&self.starts).await
    }

    /// Waits until an order other than a start may be sent.
    pub(super) async fn for_other(&self) -> OrderPermit<'_> {
        self.take_turn(&self.others).await
    }

    async fn take_turn<'a>(&'a self, kind: &'a Semaphore) -> OrderPermit<'a> {
        // Acquiring fails only if a semaphore is closed, which none ever is.
        let turn = kind.acquire().await.ok();
        OrderPermit { _under_way: self.under_way.acquire().await.ok(), _turn: turn }
    }
}
