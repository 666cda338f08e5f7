//! Up to when the inbox was read.

use std::time::Duration;

use parking_lot::Mutex;
use workswood_platform::jobs::Partition;

/// When a read was made, and how it was answered.
#[derive(Clone, Copy, Debug)]
pub struct InboxRead {
    /// When it was sent.
    pub sent: Duration,
    /// How long it waits at the store for a record.
    pub wait: Duration,
    /// When its answer came.
    pub answered: Duration,
    /// Whether the answer holds records.
    pub found_records: bool,
}

impl InboxRead {
    /// The time up to which the answer shows all records. An answer may be late, so it isn't as new as its receipt: one
    /// with records was made at some time after the sending, one without them once the wait was over.
    fn shows_until(&self) -> Duration {
        let made_after = if self.found_records { self.sent } else { self.sent + self.wait };
        made_after.min(self.answered)
    }
}

/// Up to when each partition of the inbox was read.
pub struct InboxProgress {
    read_until: Mutex<Vec<Duration>>,
}

impl InboxProgress {
    /// Progress of a number of partitions that have not been read.
    pub fn new(partition_count: usize) -> InboxProgress {
        InboxProgress { read_until: Mutex::new(vec![Duration::ZERO; partition_count]) }
    }

    /// Records a read of a partition; returns up to when all partitions were read.
    pub fn record(&self, partition: Partition, read: InboxRead) -> Duration {
        let mut read_until = self.read_until.lock();
        if let Some(last) = read_until.get_mut(usize::from(partition)) {
            *last = read.shows_until().max(*last);
        }
        read_until.iter().min().copied().unwrap_or_default()
    }
}
