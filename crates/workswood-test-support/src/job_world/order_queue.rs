//! Orders to one worker that wait in a relay while others are under way.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::TaskId;

/// Orders that are under way to a worker at a time.
const MAX_UNDER_WAY: usize = 2;

/// A start or a stop.
pub(super) enum QueuedOrder {
    Start { task: TaskId, attempt: u32, ticket: Option<Arc<str>> },
    Stop { task: TaskId, attempt: u32 },
}

/// The orders to one worker.
#[derive(Default)]
pub(super) struct OrderQueue {
    starts: VecDeque<QueuedOrder>,
    stops: VecDeque<QueuedOrder>,
    /// Whether the order that was sent last is a stop.
    stop_sent_last: bool,
    /// When the orders that are under way are answered, or given up.
    under_way: Vec<Duration>,
}

impl OrderQueue {
    pub(super) fn push_start(&mut self, task: TaskId, attempt: u32, ticket: Option<Arc<str>>) {
        self.starts.push_back(QueuedOrder::Start { task, attempt, ticket });
    }

    pub(super) fn push_stop(&mut self, task: TaskId, attempt: u32) {
        self.stops.push_back(QueuedOrder::Stop { task, attempt });
    }

    /// Removes a start that waits; returns whether there was one.
    pub(super) fn withdraw(&mut self, task: TaskId, attempt: u32) -> bool {
        let before = self.starts.len();
        let same = |o: &QueuedOrder| matches!(o, QueuedOrder::Start { task: t, attempt: a, .. } if (*t, *a) == (task, attempt));
        self.starts.retain(|o| !same(o));
        self.starts.len() < before
    }

    /// The next order, if it may be sent now. Starts and stops take turns.
    pub(super) fn next(&mut self, now: Duration) -> Option<QueuedOrder> {
        self.under_way.retain(|until| *until > now);
        if self.under_way.len() >= MAX_UNDER_WAY {
            return None;
        }
        let (first, second) = match self.stop_sent_last {
            true => (&mut self.starts, &mut self.stops),
            false => (&mut self.stops, &mut self.starts),
        };
        let next = first.pop_front().or_else(|| second.pop_front())?;
        self.stop_sent_last = matches!(next, QueuedOrder::Stop { .. });
        Some(next)
    }

    /// Notes that an order was sent which is over at a time.
    pub(super) fn note_sent(&mut self, until: Duration) {
        self.under_way.push(until);
    }
}
