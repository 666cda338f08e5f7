//! What a lease holder has granted to relays in other processes.
//!
//! A successor may count the holder itself as ended, but not its relays. So each record of the lease tells for how
//! long they may give full leases, and they are granted no more than the last record that the store has
//! acknowledged tells ([`RelayGrants::allowed`]). A holder that has opened no session with a relay has nothing to tell
//! after its first renewal; when it opens the first one, it renews its lease at once.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::lease_renewal::FULL_LEASE_GRACE;
use super::relay::Grant;

/// Until when the relays of a lease holder may give workers full leases, by the number of the session. A lost
/// session counts until its grant ends; one that the relay has confirmed to be over does not.
#[derive(Debug, Default)]
pub struct RelayGrants {
    by_session: Mutex<BTreeMap<u64, Duration>>,
    ended: Notify,
    /// Until when records of the lease tell that they may; `None` before the first one of the term.
    told_until: Mutex<Option<Duration>>,
    /// Whether a session was opened in this term.
    opened: watch::Sender<bool>,
}

/// Times of a grant to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedTimes {
    /// Until when leases get their full length.
    pub full_until: Duration,
    /// Until when leases may be extended.
    pub end: Duration,
}

impl RelayGrants {
    /// Notes that a session is being opened.
    pub fn note_opened(&self) {
        self.opened.send_if_modified(|opened| !std::mem::replace(opened, true));
    }

    /// Whether a session was opened in this term.
    pub fn is_opened(&self) -> bool {
        *self.opened.borrow()
    }

    /// Waits until a session was opened in this term.
    pub async fn until_opened(&self) {
        // Waiting can't fail: the sender lives as long as this.
        let _ = self.opened.subscribe().wait_for(|opened| *opened).await;
    }

    /// How long relays may give full leases, for a record that is sent now: as long as earlier records tell, and for
    /// the full time if there may be relays.
    pub fn left_to_tell(&self, now: Duration) -> Duration {
        match *self.told_until.lock() {
            Some(until) if !self.is_opened() => until.saturating_sub(now),
            // Sessions are opened soon after the first renewal.
            Some(_) | None => FULL_LEASE_GRACE,
        }
    }

    /// Notes that a record is stored that tells that relays may give full leases until a time.
    pub fn note_told(&self, until: Duration) {
        let mut told = self.told_until.lock();
        *told = (*told).max(Some(until));
    }

    /// What a relay may be granted of what the holder has itself: nothing beyond what records tell.
    pub fn allowed(&self, own: &Grant) -> GrantedTimes {
        let told = self.told_until.lock().unwrap_or_default();
        let full_until = own.full_until().min(told);
        let end = if full_until < own.full_until() { full_until } else { own.end() };
        GrantedTimes { full_until, end }
    }

    /// Notes until when the relay of a session may give full leases.
    pub fn note(&self, session: u64, until: Duration) {
        self.by_session.lock().insert(session, until);
    }

    /// Notes that the relay of a session extends no lease any more.
    pub fn end(&self, session: u64) {
        self.by_session.lock().remove(&session);
        self.ended.notify_one();
    }

    /// Until when the relay of a session may give full leases; zero if it was granted nothing.
    pub fn until(&self, session: u64) -> Duration {
        self.by_session.lock().get(&session).copied().unwrap_or_default()
    }

    /// The latest end of all grants.
    pub fn latest(&self) -> Duration {
        self.by_session.lock().values().copied().max().unwrap_or_default()
    }

    /// Waits until all sessions are confirmed to be over whose grants last longer than `now`.
    pub async fn until_ended(&self, now: Duration) {
        self.by_session.lock().retain(|_, until| *until > now);
        while !self.by_session.lock().is_empty() {
            self.ended.notified().await;
        }
    }
}
