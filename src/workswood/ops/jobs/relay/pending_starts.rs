//! Starts on one worker whose outcome is not known yet.
//!
//! Starts wait while others are under way to the worker. The lease holder may take one back
//! meanwhile: it is then never sent.

use std::collections::HashMap;

use parking_lot::Mutex;
use workswood_core::jobs::run_tracker::RunKey;

/// State of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingStart {
    /// It has not been sent.
    Waiting,
    /// It is being sent, perhaps repeatedly.
    Sending,
    /// It has been sent, and must not be sent again.
    Recalled,
}

/// What a start that was recalled has become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recall {
    /// It had not been sent, and never will be.
    NotSent,
    /// It may have been sent, or none of this run is pending.
    MayBeSent,
}

/// The pending starts of a worker, by run.
#[derive(Debug, Default)]
pub(super) struct PendingStarts(Mutex<HashMap<RunKey, PendingStart>>);

impl PendingStarts {
    /// Adds a start, which waits.
    pub(super) fn add(&self, run: RunKey) {
        self.0.lock().insert(run, PendingStart::Waiting);
    }

    /// Begins to send a start; returns false if it was taken back.
    pub(super) fn begin(&self, run: RunKey) -> bool {
        match self.0.lock().get_mut(&run) {
            Some(state) => {
                *state = PendingStart::Sending;
                true
            }
            None => false,
        }
    }

    /// Whether a start that is being sent may be sent once more.
    pub(super) fn may_send(&self, run: RunKey) -> bool {
        self.0.lock().get(&run) == Some(&PendingStart::Sending)
    }

    /// Removes a start, whose outcome is known.
    pub(super) fn end(&self, run: RunKey) {
        self.0.lock().remove(&run);
    }

    /// Takes a start back if it has not been sent.
    pub(super) fn withdraw(&self, run: RunKey) -> Recall {
        remove_waiting(&mut self.0.lock(), run)
    }

    /// Takes a start back if it has not been sent; otherwise it is not sent again.
    pub(super) fn recall(&self, run: RunKey) -> Recall {
        let mut starts = self.0.lock();
        let recall = remove_waiting(&mut starts, run);
        if let Some(state) = starts.get_mut(&run) {
            *state = PendingStart::Recalled;
        }
        recall
    }
}

/// Removes a start if it waits.
fn remove_waiting(starts: &mut HashMap<RunKey, PendingStart>, run: RunKey) -> Recall {
    if starts.get(&run) != Some(&PendingStart::Waiting) {
        return Recall::MayBeSent;
    }
    starts.remove(&run);
    Recall::NotSent
}
