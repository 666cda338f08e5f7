//! Where a relay's news go.

use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use workswood_core::jobs::Event;

use super::super::node::Node;
use super::link::WorkerLink;
use super::order::{Number, What};

/// News that wait to be sent together.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: Mutex<Vec<(Number, What)>>,
    /// Wakes who sends them.
    pub(super) wake: Notify,
}

impl Outbox {
    /// Takes all news that wait.
    pub fn take(&self) -> Vec<(Number, What)> {
        std::mem::take(&mut *self.waiting.lock())
    }

    fn add(&self, number: Number, what: What) {
        let mut waiting = self.waiting.lock();
        let first = waiting.is_empty();
        waiting.push((number, what));
        drop(waiting);
        if first {
            self.wake.notify_one();
        }
    }
}

/// Where news go.
pub enum Sink {
    /// To the scheduler of this process.
    Here(mpsc::UnboundedSender<Event>),
    /// To a lease holder elsewhere.
    There(std::sync::Arc<Outbox>),
}

impl Sink {
    /// Tells what is new of a worker.
    pub(super) fn tell(&self, node: &Node, link: &WorkerLink, what: What) {
        // A worker that is attended no longer is another relay's.
        if link.is_closed() {
            return;
        }
        self.tell_of(link.number, Some((node, link)), what);
    }

    /// Likewise of one that may not be known here.
    pub(super) fn tell_of(&self, number: Number, link: Option<(&Node, &WorkerLink)>, what: What) {
        match (self, link) {
            (Sink::Here(tx), Some((node, link))) => {
                // A scheduler that has just ended takes no more events.
                let _ = tx.send(what.event(link.worker.id.clone(), link.token, node.now()));
            }
            // The scheduler here keeps to what it has its own relay attend.
            (Sink::Here(_), None) => {}
            (Sink::There(outbox), _) => outbox.add(number, what),
        }
    }
}
