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
/// Time for which connections are left alone after many of them were suspected. With
/// workers that lose orders, each lost one looks like a half-open connection; opening
/// new ones and asking again is then done once in this time.
const PAUSE: Duration = Duration::from_millis(500);

/// A connection that was found half-open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HalfOpenConnection {
    /// The address it led to.
    pub address: String,
    /// When the call was sent on it that had no answer.
    pub silent_since: Instant,
}

/// Decides whether findings concern single addresses or this host.
#[derive(Debug, Default)]
pub struct HalfOpenCorrelator {
    last: Option<(HalfOpenConnection, Instant)>,
    raised: Option<Instant>,
}

impl HalfOpenCorrelator {
    /// Takes a finding in. Returns the moment before which a connection was opened that
    /// is suspect now, to whatever address it leads; none if only this address is.
    pub fn report(&mut self, f: HalfOpenConnection, now: Instant) -> Option<Instant> {
        let since = f.silent_since;
        let before = self.last.replace((f.clone(), now));
        let (other, _) = before.filter(|(o, at)| o.address != f.address && now < *at + WINDOW)?;
        if self.raised.is_some_and(|at| now < at + PAUSE) {
            return None;
        }
        self.raised = Some(now);
        Some(since.min(other.silent_since))
    }
}

#[derive(Debug, Default)]
struct Inner {
    suspicion: Mutex<HalfOpenCorrelator>,
    /// Connections that were opened before this are suspect.
    suspect_before: watch::Sender<Option<Instant>>,
    found: AtomicU64,
}

/// Tells all users of a process's connections when they become suspect. Clones
/// share it.
#[derive(Clone, Debug, Default)]
pub struct HalfOpenDetector {
    inner: Arc<Inner>,
}

impl HalfOpenDetector {
    /// Takes in that a connection was half-open: a call on it had no answer, and one on
    /// a new connection had.
    pub fn report(&self, f: HalfOpenConnection) {
        self.inner.found.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let silent_ms = (now - f.silent_since).as_millis();
        log::info!("event=connection_half_open address={} silent_ms={silent_ms}", f.address);
        let address = f.address.clone();
        if let Some(before) = self.inner.suspicion.lock().report(f, now) {
            let ago = (now - before).as_millis();
            log::warn!("event=connections_suspected opened_before_ms={ago} by={address}");
            self.inner.suspect_before.send_replace(Some(before));
        }
    }

    /// Whether a connection that was opened then is suspect.
    pub fn is_suspect(&self, opened: Instant) -> bool {
        self.inner.suspect_before.borrow().is_some_and(|before| opened < before)
    }

    /// Waits until a connection that was opened then is suspect.
    pub async fn until_suspect(&self, opened: Instant) {
        let mut before = self.inner.suspect_before.subscribe();
        // The sender lives as long as this.
        let _ = before.wait_for(|b| b.is_some_and(|before| opened < before)).await;
    }

    /// Half-open connections found so far.
    pub fn count(&self) -> u64 {
        self.inner.found.load(Ordering::Relaxed)
    }
}
