//! Bounded queues by class, and whose turn it is.
//!
//! Each class has a guaranteed share of the slots and a most it may take. A
//! free slot goes first to a class below its guarantee, most urgent first,
//! then to the most urgent class below its most. Work other than urgent leaves
//! a part of the slots free, so that urgent work meets a free slot even while
//! the other queues are full.

use std::collections::VecDeque;
use std::time::Duration;

use super::dispatch::RequestId;
use crate::fleet::Class;

/// Most requests waiting in one class of one service on one entry host.
pub const MAX_QUEUED: usize = 1_000;

/// Guaranteed and greatest share of each class, in [`Class::ALL`] order.
const SHARES: [(f64, f64); 4] = [(0.30, 1.0), (0.20, 0.85), (0.20, 0.60), (0.05, 0.50)];
/// Share of the slots that classes other than urgent may use together.
const BULK_MOST: f64 = 0.85;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub request_id: RequestId,
    /// When it must be answered, since the start of the process.
    pub deadline: Duration,
}

/// The queues of one service.
#[derive(Clone, Debug, Default)]
pub struct ClassQueues {
    queues: [VecDeque<Waiting>; 4],
    in_flight: [u32; 4],
}

fn index(class: Class) -> usize {
    class as usize
}

/// A share of the slots: at least one where there are enough to divide.
fn part(share: f64, slots: u32) -> u32 {
    let n = (share * f64::from(slots)).round() as u32;
    if slots >= 4 { n.max(1) } else { n }
}

impl ClassQueues {
    /// Requests waiting in all classes.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Requests waiting in a class and the more urgent ones.
    pub fn ahead(&self, class: Class) -> usize {
        self.queues[..=index(class)].iter().map(VecDeque::len).sum()
    }

    /// Requests waiting in one class.
    pub fn len(&self, class: Class) -> usize {
        self.queues[index(class)].len()
    }

    /// Requests of a class that hold a slot.
    pub fn in_flight(&self, class: Class) -> u32 {
        self.in_flight[index(class)]
    }

    /// Adds a request at the end of its class.
    pub fn push(&mut self, class: Class, w: Waiting) {
        self.queues[index(class)].push_back(w);
    }

    /// Notes that a request of a class took a slot.
    pub fn took(&mut self, class: Class) {
        self.in_flight[index(class)] += 1;
    }

    /// Notes that a request of a class gave its slot back.
    pub fn gave_back(&mut self, class: Class) {
        let n = &mut self.in_flight[index(class)];
        *n = n.saturating_sub(1);
    }

    /// Whether a request of a class may take one of `slots`.
    pub fn allowed(&self, class: Class, slots: u32) -> bool {
        let (least, most) = SHARES[index(class)];
        let used = self.in_flight(class);
        if used < part(least, slots) {
            return true;
        }
        let bulk: u32 = Class::ALL[1..].iter().map(|c| self.in_flight(*c)).sum();
        let cap = part(most, slots).max(1);
        class == Class::Urgent || slots < 4 || (used < cap && bulk < part(BULK_MOST, slots))
    }

    /// The class whose turn it is, if any waiting request may take a slot.
    pub fn turn(&self, slots: u32) -> Option<Class> {
        let waiting = |c: &Class| self.len(*c) > 0;
        let short = |c: &Class| self.in_flight(*c) < part(SHARES[index(*c)].0, slots);
        let owed = Class::ALL.into_iter().filter(waiting).find(short);
        owed.or_else(|| Class::ALL.into_iter().filter(waiting).find(|c| self.allowed(*c, slots)))
    }

    /// Takes the first request of a class.
    pub fn pop(&mut self, class: Class) -> Option<Waiting> {
        self.queues[index(class)].pop_front()
    }

    /// Takes a waiting request out; true if it was there.
    pub fn remove(&mut self, request_id: RequestId) -> bool {
        let before = self.waiting();
        for q in &mut self.queues {
            q.retain(|w| w.request_id != request_id);
        }
        self.waiting() < before
    }

    /// Takes out all requests whose deadline has come.
    pub fn expire(&mut self, now: Duration) -> Vec<RequestId> {
        let mut late = Vec::new();
        for q in &mut self.queues {
            late.extend(q.iter().filter(|w| w.deadline <= now).map(|w| w.request_id));
            q.retain(|w| w.deadline > now);
        }
        late
    }

    /// Takes out everything.
    pub fn drain(&mut self) -> Vec<RequestId> {
        self.queues.iter_mut().flat_map(|q| q.drain(..)).map(|w| w.request_id).collect()
    }
}
