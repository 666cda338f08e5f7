//! What a process knows of operators' wishes, and since when.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use workswood_core::ids::DataCentre;

/// What was read longer ago than this, beyond the time that a read waits, is not held against an order of the
/// lease holder, which can only give it while it reaches the store.
const BELIEVED_FOR: Duration = Duration::from_millis(1500);

/// Data centres that are evacuated, as they were at some time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuations {
    /// Their names.
    pub data_centres: BTreeSet<DataCentre>,
    /// When this was read, on the clock of the process.
    pub read: Duration,
}

/// What operators wrote, beside the configuration and waves.
pub struct Operators {
    evacuations: ArcSwap<Evacuations>,
    /// Turns true once everything that operators wrote was read, here or by a peer that told.
    known: watch::Sender<bool>,
    /// Whether the last read of it failed.
    failing: AtomicBool,
    /// How long a read waits for news.
    wait: Duration,
}

impl Operators {
    /// Nothing is known yet; reads wait for news for so long.
    pub fn new(wait: Duration) -> Operators {
        let known = watch::Sender::new(false);
        Operators { evacuations: ArcSwap::default(), known, failing: AtomicBool::new(false), wait }
    }

    /// A read has failed.
    pub fn reading_fails(&self) {
        self.failing.store(true, Ordering::Relaxed);
    }

    /// A read has succeeded.
    pub fn reading_succeeds(&self) {
        self.failing.store(false, Ordering::Relaxed);
    }

    /// Whether the last read failed.
    pub fn is_reading_failing(&self) -> bool {
        self.failing.load(Ordering::Relaxed)
    }

    /// Takes in which data centres were evacuated at a time, unless something newer is known;
    /// returns them if they changed.
    pub fn evacuate(&self, now: Evacuations) -> Option<BTreeSet<DataCentre>> {
        let before = self.evacuations.load_full();
        if now.read < before.read {
            return None;
        }
        let changed = (before.data_centres != now.data_centres).then(|| now.data_centres.clone());
        self.evacuations.store(Arc::new(now));
        self.known.send_replace(true);
        changed
    }

    /// What is evacuated, as last read.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        self.evacuations.load_full()
    }

    /// Whether anything was read yet.
    pub fn are_known(&self) -> bool {
        *self.known.borrow()
    }

    /// Waits until something was read.
    pub async fn until_known(&self) {
        let mut known = self.known.subscribe();
        // The sender lives as long as the process.
        let _ = known.wait_for(|k| *k).await;
    }

    /// How long ago operators' wishes were read.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.evacuations.load().read)
    }

    /// Whether nothing may begin in a data centre, as was read not long ago.
    pub fn is_evacuated(&self, data_centre: &str, now: Duration) -> bool {
        let e = self.evacuations.load();
        e.data_centres.contains(data_centre) && now < e.read + self.wait + BELIEVED_FOR
    }
}
