//! Whether an incarnation of a worker is known to have been running lately.
//!
//! Calls name a worker, not its incarnation. A start that is sent late, as by a process that was
//! paused, may reach the next incarnation, which knows no fencing token of the present lease holder
//! and takes it. So a start is sent only shortly after the sending of a poll that the incarnation
//! meant has answered: in less time than a worker needs to restart.

use std::time::Duration;

/// A worker needs at least this long to restart.
const MIN_RESTART_TIME: Duration = Duration::from_millis(500);
/// Time that a start needs at least to reach its worker.
const MIN_SEND_TIME: Duration = Duration::from_millis(100);

/// The latest poll that an incarnation of a worker has answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastAnsweredPoll {
    sent: Option<Duration>,
}

impl LastAnsweredPoll {
    /// Records that a poll was answered that was sent at this time.
    pub fn record(&mut self, sent: Duration) {
        self.sent = self.sent.max(Some(sent));
    }

    /// Until when a start reaches this incarnation or none, if it can be sent in time; `None` if the
    /// worker has to be polled first.
    pub fn start_until(&self, now: Duration) -> Option<Duration> {
        let until = self.sent? + MIN_RESTART_TIME;
        (now + MIN_SEND_TIME < until).then_some(until)
    }
}
