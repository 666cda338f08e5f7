//! Counts the bytes that a process sends and receives, by purpose.
//!
//! The counts show what fills the network link of a small machine.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// What bytes are sent for, as a label in metrics.
pub type Purpose = &'static str;

/// Totals of one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Calls or messages.
    pub count: u64,
    /// Bytes sent, without the overhead of lower protocol layers.
    pub sent: u64,
    /// Bytes received, without the overhead of lower protocol layers.
    pub received: u64,
}

/// The traffic of a process since its start. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    by_purpose: Arc<Mutex<BTreeMap<Purpose, TrafficTotals>>>,
}

impl Traffic {
    /// Counts a call or message with its bytes.
    pub fn record(&self, purpose: Purpose, sent: usize, received: usize) {
        let mut by_purpose = self.by_purpose.lock();
        let totals = by_purpose.entry(purpose).or_default();
        totals.count += 1;
        totals.sent += sent as u64;
        totals.received += received as u64;
    }

    /// The totals so far, by purpose.
    pub fn totals(&self) -> Vec<(Purpose, TrafficTotals)> {
        self.by_purpose.lock().iter().map(|(purpose, totals)| (*purpose, *totals)).collect()
    }
}
