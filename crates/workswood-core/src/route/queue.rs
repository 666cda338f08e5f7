//! Bounded queues of the request classes, and the choice of the next class.
//!
//! Each class has a guaranteed and a maximum share of the slots. A free slot goes to the
//! most urgent class below its guarantee, or else to the most urgent class below its
//! maximum. The classes other than urgent leave some slots free together, so that an
//! urgent request finds a free slot while the other queues are full.

use std::collections::VecDeque;
use std::time::Duration;

use super::dispatch::RequestId;
use crate::fleet::PriorityClass;

/// Maximum number of queued requests of one class of one service on one entry.
pub const MAX_QUEUED: usize = 1_000;

/// Guaranteed and maximum share of the slots for each class, in [`PriorityClass::ALL`] order.
const SLOT_SHARES: [(f64, f64); 4] = [(0.30, 1.0), (0.20, 0.85), (0.20, 0.60), (0.05, 0.50)];
/// Share of the slots that the classes other than urgent may use together.
const MAX_NON_URGENT_SHARE: f64 = 0.85;

/// A request in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub request_id: RequestId,
    /// When it must be answered, measured from the start of the process.
    pub deadline: Duration,
}

/// The queues of one service, and the number of slots that each class holds.
#[derive(Clone, Debug, Default)]
pub struct ClassQueues {
    queues: [VecDeque<QueuedRequest>; 4],
    in_flight: [u32; 4],
}

fn class_index(class: PriorityClass) -> usize {
    class as usize
}

/// Number of slots in a share, at least one if there are four slots or more.
fn slots_in_share(share: f64, slots: u32) -> u32 {
    let n = (share * f64::from(slots)).round() as u32;
    if slots >= 4 { n.max(1) } else { n }
}

impl ClassQueues {
    /// Number of queued requests of all classes.
    pub fn total_len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Number of queued requests of a class and of the more urgent ones.
    pub fn len_ahead(&self, class: PriorityClass) -> usize {
        self.queues[..=class_index(class)].iter().map(VecDeque::len).sum()
    }

    /// Number of queued requests of one class.
    pub fn len(&self, class: PriorityClass) -> usize {
        self.queues[class_index(class)].len()
    }

    /// Number of requests of a class that hold a slot.
    pub fn in_flight(&self, class: PriorityClass) -> u32 {
        self.in_flight[class_index(class)]
    }

    /// Adds a request at the end of its class's queue.
    pub fn push(&mut self, class: PriorityClass, request: QueuedRequest) {
        self.queues[class_index(class)].push_back(request);
    }

    /// Records that a request of a class took a slot.
    pub fn slot_taken(&mut self, class: PriorityClass) {
        self.in_flight[class_index(class)] += 1;
    }

    /// Records that a request of a class released its slot.
    pub fn slot_released(&mut self, class: PriorityClass) {
        let n = &mut self.in_flight[class_index(class)];
        *n = n.saturating_sub(1);
    }

    /// Whether another request of a class may take one of `slots`.
    pub fn may_take_slot(&self, class: PriorityClass, slots: u32) -> bool {
        let (guaranteed, max) = SLOT_SHARES[class_index(class)];
        let used = self.in_flight(class);
        if used < slots_in_share(guaranteed, slots) {
            return true;
        }
        let non_urgent: u32 = PriorityClass::ALL[1..].iter().map(|c| self.in_flight(*c)).sum();
        let cap = slots_in_share(max, slots).max(1);
        class == PriorityClass::Urgent
            || slots < 4
            || (used < cap && non_urgent < slots_in_share(MAX_NON_URGENT_SHARE, slots))
    }

    /// The class whose first request gets the next slot; `None` if no queued request may take one.
    pub fn next_class(&self, slots: u32) -> Option<PriorityClass> {
        let is_waiting = |c: &PriorityClass| self.len(*c) > 0;
        let below_guarantee =
            |c: &PriorityClass| self.in_flight(*c) < slots_in_share(SLOT_SHARES[class_index(*c)].0, slots);
        let guaranteed = PriorityClass::ALL.into_iter().filter(is_waiting).find(below_guarantee);
        guaranteed.or_else(|| {
            PriorityClass::ALL.into_iter().filter(is_waiting).find(|c| self.may_take_slot(*c, slots))
        })
    }

    /// Takes the first request of a class.
    pub fn pop(&mut self, class: PriorityClass) -> Option<QueuedRequest> {
        self.queues[class_index(class)].pop_front()
    }

    /// Removes a queued request; returns whether it was found.
    pub fn remove(&mut self, request_id: RequestId) -> bool {
        let before = self.total_len();
        for q in &mut self.queues {
            q.retain(|r| r.request_id != request_id);
        }
        self.total_len() < before
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<RequestId> {
        let mut expired = Vec::new();
        for q in &mut self.queues {
            expired.extend(q.iter().filter(|r| r.deadline <= now).map(|r| r.request_id));
            q.retain(|r| r.deadline > now);
        }
        expired
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<RequestId> {
        self.queues.iter_mut().flat_map(|q| q.drain(..)).map(|r| r.request_id).collect()
    }
}
