//! Delivery of a relay's events to the scheduler.

use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use workswood_core::jobs::Event;

use super::super::node::Node;
use super::assigned_worker::AssignedWorker;
use super::messages::{WorkerEvent, WorkerNumber};

/// Events that wait to be sent to a remote lease holder in one message.
#[derive(Debug, Default)]
pub struct EventQueue {
    queued: Mutex<Vec<(WorkerNumber, WorkerEvent)>>,
    /// Notified when the queue stops being empty.
    pub(super) not_empty: Notify,
}

impl EventQueue {
    /// Removes and returns all queued events.
    pub fn drain(&self) -> Vec<(WorkerNumber, WorkerEvent)> {
        std::mem::take(&mut *self.queued.lock())
    }

    fn push(&self, number: WorkerNumber, event: WorkerEvent) {
        let mut queued = self.queued.lock();
        let was_empty = queued.is_empty();
        queued.push((number, event));
        drop(queued);
        if was_empty {
            self.not_empty.notify_one();
        }
    }
}

/// Where a relay delivers events.
pub enum EventSink {
    /// The scheduler of this process.
    Local(mpsc::UnboundedSender<Event>),
    /// A lease holder in another process.
    Remote(std::sync::Arc<EventQueue>),
}

impl EventSink {
    /// Reports an event of a worker, unless the worker is no longer assigned.
    pub(super) fn report(&self, node: &Node, worker: &AssignedWorker, event: WorkerEvent) {
        // The worker may already be assigned to another relay.
        if worker.is_unassigned() {
            return;
        }
        self.report_by_number(worker.number, Some((node, worker)), event);
    }

    /// Reports an event of a worker of which only the number may be known.
    pub(super) fn report_by_number(
        &self,
        number: WorkerNumber,
        worker: Option<(&Node, &AssignedWorker)>,
        event: WorkerEvent,
    ) {
        match (self, worker) {
            (EventSink::Local(tx), Some((node, worker))) => {
                // Sending fails if the scheduler has just ended.
                let id = worker.address.id.clone();
                let _ = tx.send(event.into_scheduler_event(id, worker.token, node.now()));
            }
            // The local scheduler sends orders only for workers that it has assigned.
            (EventSink::Local(_), None) => {}
            (EventSink::Remote(queue), _) => queue.push(number, event),
        }
    }
}
