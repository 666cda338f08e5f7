//! What a process knows of the operators' records besides the configuration and waves: which data
//! centres are evacuated, and how old that information is.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use workswood_core::ids::DataCentre;

/// How long an evacuation stays in force after it was last read, in addition to the time that a
/// read of the operators' records waits. Older information is not used: a relay then relies on the
/// lease holder, which sends orders only while it reaches the store.
const EVACUATION_VALID_FOR: Duration = Duration::from_millis(1500);

/// The data centres that were evacuated as of `read_at`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuations {
    /// Their names.
    pub data_centres: BTreeSet<DataCentre>,
    /// When they were read, on the clock of the process.
    pub read_at: Duration,
}

/// The operators' records as last read, except the configuration and waves.
pub struct OperatorState {
    evacuations: ArcSwap<Evacuations>,
    /// Set to true once all of the operators' records were read, here or by a peer that passed
    /// them on.
    known: watch::Sender<bool>,
    /// Set to true once this process has read them from the store.
    read_here: watch::Sender<bool>,
    /// Whether the last read failed.
    read_failed: AtomicBool,
    /// How long a read waits for new records.
    read_wait: Duration,
}

impl OperatorState {
    /// Returns a state that knows nothing yet. Reads of the operators' records wait for new ones
    /// for `read_wait`.
    pub fn new(read_wait: Duration) -> OperatorState {
        OperatorState {
            evacuations: ArcSwap::default(),
            known: watch::Sender::new(false),
            read_here: watch::Sender::new(false),
            read_failed: AtomicBool::new(false),
            read_wait,
        }
    }

    /// Notes that a read has failed.
    pub fn note_read_failure(&self) {
        self.read_failed.store(true, Ordering::Relaxed);
    }

    /// Notes that a read has succeeded and that what it returned is in force.
    pub fn note_read_success(&self) {
        self.read_failed.store(false, Ordering::Relaxed);
        self.read_here.send_replace(true);
    }

    /// Whether the last read failed.
    pub fn last_read_failed(&self) -> bool {
        self.read_failed.load(Ordering::Relaxed)
    }

    /// Replaces the known evacuations unless those are newer. Returns the evacuated data centres
    /// if they changed.
    pub fn set_evacuations(&self, newest: Evacuations) -> Option<BTreeSet<DataCentre>> {
        let before = self.evacuations.load_full();
        if newest.read_at < before.read_at {
            return None;
        }
        let changed = (before.data_centres != newest.data_centres).then(|| newest.data_centres.clone());
        self.evacuations.store(Arc::new(newest));
        self.known.send_replace(true);
        changed
    }

    /// The evacuations as last read.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        self.evacuations.load_full()
    }

    /// Whether the operators' records were read yet.
    pub fn is_known(&self) -> bool {
        *self.known.borrow()
    }

    /// Waits until the operators' records were read.
    pub async fn wait_until_known(&self) {
        let mut known = self.known.subscribe();
        // The sender lives as long as the process.
        let _ = known.wait_for(|k| *k).await;
    }

    /// Waits until this process has read the operators' records from the store. What peers pass on is not
    /// enough for a scheduler, since it lacks the waves.
    pub async fn wait_until_read_here(&self) {
        let mut read_here = self.read_here.subscribe();
        // The sender lives as long as the process.
        let _ = read_here.wait_for(|r| *r).await;
    }

    /// Time since the operators' records were last read.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.evacuations.load().read_at)
    }

    /// Whether a data centre is evacuated according to a recent read, so that no work may begin
    /// there.
    pub fn is_evacuated(&self, data_centre: &str, now: Duration) -> bool {
        let e = self.evacuations.load();
        e.data_centres.contains(data_centre) && now < e.read_at + self.read_wait + EVACUATION_VALID_FOR
    }
}
