//! Where a relay's news go.

use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use workswood_core::jobs::Event;

use super::super::node::Node;
use super::assigned_worker::AssignedWorker;
use super::messages::{WorkerEvent, WorkerNumber};

/// News that wait to be sent together.
#[derive(Debug, Default)]
pub struct EventQueue {
    waiting: Mutex<Vec<(WorkerNumber, WorkerEvent)>>,
    /// Wakes who sends them.
    pub(super) wake: Notify,
}

impl EventQueue {
    /// Takes all news that wait.
    pub fn take(&self) -> Vec<(WorkerNumber, WorkerEvent)> {
        std::mem::take(&mut *self.waiting.lock())
    }

    fn add(&self, number: WorkerNumber, what: WorkerEvent) {
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
pub enum EventSink {
    /// To the scheduler of this process.
    Local(mpsc::UnboundedSender<Event>),
    /// To a lease holder elsewhere.
    Remote(std::sync::Arc<EventQueue>),
}

impl EventSink {
    /// Tells what is new of a worker.
    pub(super) fn tell(&self, node: &Node, link: &AssignedWorker, what: WorkerEvent) {
        // A worker that is attended no longer is another relay's.
        if link.is_closed() {
            return;
        }
        self.tell_of(link.number, Some((node, link)), what);
    }

    /// Likewise of one that may not be known here.
    pub(super) fn tell_of(
        &self,
        number: WorkerNumber,
        link: Option<(&Node, &AssignedWorker)>,
        what: WorkerEvent,
    ) {
        match (self, link) {
            (EventSink::Local(tx), Some((node, link))) => {
                // A scheduler that has just ended takes no more events.
                let _ = tx.send(what.into_scheduler_event(link.worker.id.clone(), link.token, node.now()));
            }
            // The scheduler here keeps to what it has its own relay attend.
            (EventSink::Local(_), None) => {}
            (EventSink::Remote(outbox), _) => outbox.add(number, what),
        }
    }
}
