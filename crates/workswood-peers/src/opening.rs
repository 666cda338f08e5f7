//! Limits of a listener for peers: connections that have not said what they are for, and all of them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::Instant;

/// Shortest time between two log lines about connections that were closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Connections of a listener.
#[derive(Debug)]
pub(crate) struct Openings {
    /// Room for connections that have opened.
    opened: Arc<Semaphore>,
    max_opening: usize,
    /// Those that have not, the oldest first. Dropping its sender closes a connection.
    opening: Mutex<VecDeque<oneshot::Sender<()>>>,
    unlogged: Mutex<Unlogged>,
}

/// Connections that were closed since the last log line.
#[derive(Debug, Default)]
struct Unlogged {
    count: u64,
    logged_at: Option<Instant>,
}

/// Resolves when a connection that has not opened has to go.
pub(crate) type MustGo = oneshot::Receiver<()>;

impl Openings {
    /// Takes so many connections that have opened, and so many that have not.
    pub(crate) fn new(max_opened: usize, max_opening: usize) -> Openings {
        Openings {
            opened: Arc::new(Semaphore::new(max_opened)),
            max_opening,
            opening: Mutex::default(),
            unlogged: Mutex::default(),
        }
    }

    /// Adds a new connection; the oldest of those that have not opened goes if there are too many.
    pub(crate) fn add(&self) -> MustGo {
        let (tx, rx) = oneshot::channel();
        let mut opening = self.opening.lock();
        if opening.len() >= self.max_opening {
            opening.retain(|tx| !tx.is_closed());
        }
        if opening.len() >= self.max_opening {
            opening.pop_front();
            self.note_refused("too_many");
        }
        opening.push_back(tx);
        rx
    }

    /// Lets a connection open; `None` if too many have.
    pub(crate) fn open(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.opened.clone().try_acquire_owned().ok();
        if permit.is_none() {
            self.note_refused("too_many");
        }
        permit
    }

    /// Logs that a connection was closed, unless that was done lately.
    pub(crate) fn note_refused(&self, reason: &str) {
        let mut unlogged = self.unlogged.lock();
        unlogged.count += 1;
        if unlogged.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            log::warn!("event=peer_refused reason={reason} count={}", unlogged.count);
            *unlogged = Unlogged { count: 0, logged_at: Some(Instant::now()) };
        }
    }
}
