//! Tells all users of connections which of them may be half-open.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

/// Reports for two addresses within this time point to a common cause: the network path of this
/// machine.
const CORRELATION_WINDOW: Duration = Duration::from_secs(1);
/// Minimum time between two suspicions against all connections. Bounds how often false reports
/// make them all reopen.
/// With workers that lose orders, each lost order looks like a half-open connection.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);

/// A connection that was found half-open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HalfOpenConnection {
    /// The peer's address.
    pub address: String,
    /// When the call without a reply was sent over it.
    pub silent_since: Instant,
}

/// Decides from reports of half-open connections whether only single addresses are
/// affected, or the network path of the local machine.
#[derive(Debug, Default)]
pub struct HalfOpenCorrelator {
    /// The last report and when it was made.
    last: Option<(HalfOpenConnection, Instant)>,
    /// When all older connections were last declared suspect.
    suspected_at: Option<Instant>,
}

impl HalfOpenCorrelator {
    /// Takes in a report. If all older connections are suspect, returns the time before which they
    /// were opened; `None` if only this address is affected.
    pub fn report(&mut self, conn: HalfOpenConnection, now: Instant) -> Option<Instant> {
        let since = conn.silent_since;
        let previous = self.last.replace((conn.clone(), now));
        let (other, _) =
            previous.filter(|(o, at)| o.address != conn.address && now < *at + CORRELATION_WINDOW)?;
        if self.suspected_at.is_some_and(|at| now < at + SUSPICION_INTERVAL) {
            return None;
        }
        self.suspected_at = Some(now);
        Some(since.min(other.silent_since))
    }
}

#[derive(Debug, Default)]
struct Inner {
    correlator: Mutex<HalfOpenCorrelator>,
    /// Connections that were opened before this time are suspect.
    suspect_before: watch::Sender<Option<Instant>>,
    reports: AtomicU64,
}

/// Collects reports of half-open connections, and tells all users of connections which
/// other ones are suspect. Clones share the reports.
#[derive(Clone, Debug, Default)]
pub struct HalfOpenDetector {
    inner: Arc<Inner>,
}

impl HalfOpenDetector {
    /// Reports that a connection was half-open: a call over it had no reply, and a call
    /// over a new connection to the same address had one.
    pub fn report(&self, conn: HalfOpenConnection) {
        self.inner.reports.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let silent_ms = (now - conn.silent_since).as_millis();
        log::info!("event=connection_half_open address={} silent_ms={silent_ms}", conn.address);
        let address = conn.address.clone();
        if let Some(before) = self.inner.correlator.lock().report(conn, now) {
            let ago = (now - before).as_millis();
            log::warn!("event=connections_suspected opened_before_ms={ago} by={address}");
            self.inner.suspect_before.send_replace(Some(before));
        }
    }

    /// Whether a connection that was opened at a time is suspect.
    pub fn is_suspect(&self, opened_at: Instant) -> bool {
        self.inner.suspect_before.borrow().is_some_and(|before| opened_at < before)
    }

    /// Waits until a connection that was opened at a time is suspect.
    pub async fn until_suspect(&self, opened_at: Instant) {
        let mut suspect_before = self.inner.suspect_before.subscribe();
        // Waiting can't fail: `self` keeps the sender alive.
        let _ = suspect_before.wait_for(|b| b.is_some_and(|before| opened_at < before)).await;
    }

    /// Number of half-open connections reported so far.
    pub fn count(&self) -> u64 {
        self.inner.reports.load(Ordering::Relaxed)
    }
}
