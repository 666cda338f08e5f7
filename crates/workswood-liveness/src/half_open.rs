//! What one user of connections finds out, told to all.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

/// Two addresses whose connections were found half-open within this time have
/// something in common, which is this host's way to them. Longer than between two
/// calls to a worker, shorter than between two workers that are lost by chance.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which connections are left alone after all of them were suspected. With
/// workers that lose orders, each lost one looks like a half-open connection; opening
/// new ones and asking again is then done once in this time.
const PAUSE: Duration = Duration::from_millis(500);

/// How often all connections of the process have become suspect. A connection
/// belongs to the round in which it was opened.
pub type Round = u64;

/// Decides whether findings concern single addresses or all of them.
#[derive(Debug, Default)]
pub struct Suspicion {
    last: Option<(String, Instant)>,
    raised: Option<Instant>,
}

impl Suspicion {
    /// Takes in that a connection to an address was half-open; returns whether all
    /// connections, to whatever address, are suspect now.
    pub fn found(&mut self, address: &str, now: Instant) -> bool {
        let other = self.last.as_ref().is_some_and(|(a, at)| a != address && now < *at + WINDOW);
        self.last = Some((address.to_string(), now));
        let paused = self.raised.is_some_and(|at| now < at + PAUSE);
        if !other || paused {
            return false;
        }
        self.raised = Some(now);
        true
    }
}

#[derive(Debug, Default)]
struct Inner {
    suspicion: Mutex<Suspicion>,
    round: watch::Sender<Round>,
    found: AtomicU64,
}

/// Tells all users of a process's connections when they become suspect. Clones
/// share it.
#[derive(Clone, Debug, Default)]
pub struct HalfOpen {
    inner: Arc<Inner>,
}

impl HalfOpen {
    /// Takes in that a connection to an address was half-open: a call on it had no
    /// answer, and one on a new connection had.
    pub fn found(&self, address: &str) {
        self.inner.found.fetch_add(1, Ordering::Relaxed);
        log::info!("event=connection_half_open address={address}");
        if self.inner.suspicion.lock().found(address, Instant::now()) {
            self.inner.round.send_modify(|r| *r += 1);
            log::warn!("event=connections_suspected round={} by={address}", self.round());
        }
    }

    /// The present round.
    pub fn round(&self) -> Round {
        *self.inner.round.borrow()
    }

    /// Waits until connections of a round have become suspect.
    pub async fn suspected(&self, opened: Round) {
        let mut round = self.inner.round.subscribe();
        // The sender lives as long as this.
        let _ = round.wait_for(|r| *r > opened).await;
    }

    /// Half-open connections found so far.
    pub fn count(&self) -> u64 {
        self.inner.found.load(Ordering::Relaxed)
    }
}
