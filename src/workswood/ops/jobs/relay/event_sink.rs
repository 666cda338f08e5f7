//! Delivery of a relay's events to the scheduler.

use std::time::Duration;

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
    /// Time on the holder's clock that its latest grant names, and when that came, on the clock of this process.
    holder_time: Mutex<Option<(Duration, Duration)>>,
    /// Notified when the queue stops being empty.
    pub(super) not_empty: Notify,
}

impl EventQueue {
    /// Removes and returns all queued events.
    pub fn drain(&self) -> Vec<(WorkerNumber, WorkerEvent)> {
        std::mem::take(&mut *self.queued.lock())
    }

    /// Notes that a grant came at `now` that names a time on the holder's clock.
    pub(super) fn note_holder_time(&self, holder_time: Duration, now: Duration) {
        *self.holder_time.lock() = Some((holder_time, now));
    }

    /// The earliest time on the holder's clock that a time on the clock of this process may be, since the holder
    /// has named its time before the grant came; `None` if it has named none.
    pub fn on_holder_clock(&self, time: Duration) -> Option<Duration> {
        let (holder_time, came) = (*self.holder_time.lock())?;
        Some((holder_time + time).saturating_sub(came))
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
    /// The earliest time on the scheduler's clock that a time on the clock of this process may be; `None` if the
    /// scheduler's clock is not known.
    pub(super) fn on_scheduler_clock(&self, time: Duration) -> Option<Duration> {
        match self {
            EventSink::Local(_) => Some(time),
            EventSink::Remote(queue) => queue.on_holder_clock(time),
        }
    }

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
