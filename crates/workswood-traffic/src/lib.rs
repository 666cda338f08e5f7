//! How many bytes a process sends and receives, by what they are for.
//!
//! On a small host the link may be what binds, and then one wants to know what fills it.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// What bytes are for, as it stands in metrics.
pub type Purpose = &'static str;

/// What went over the link for one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Calls or messages.
    pub count: u64,
    /// Bytes sent, without those of the layers below.
    pub sent: u64,
    /// Bytes received, likewise.
    pub received: u64,
}

/// What went over the link of a process so far. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    by_purpose: Arc<Mutex<BTreeMap<Purpose, TrafficTotals>>>,
}

impl Traffic {
    /// Notes a call or message with its bytes.
    pub fn record(&self, purpose: Purpose, sent: usize, received: usize) {
        let mut all = self.by_purpose.lock();
        let amount = all.entry(purpose).or_default();
        amount.count += 1;
        amount.sent += sent as u64;
        amount.received += received as u64;
    }

    /// All amounts so far, by purpose.
    pub fn totals(&self) -> Vec<(Purpose, TrafficTotals)> {
        self.by_purpose.lock().iter().map(|(purpose, amount)| (*purpose, *amount)).collect()
    }
}
