//! What a lease holder has granted to relays in other processes.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Until when the relays of a lease holder may give workers full leases, by the number of the session. A lost
/// session counts until its grant ends; one that the relay has confirmed to be over does not.
#[derive(Debug, Default)]
pub struct RelayGrants {
    by_session: Mutex<BTreeMap<u64, Duration>>,
    ended: Notify,
}

impl RelayGrants {
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
