//! Events of a simulation, ordered by time.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::ids::{HostId, ServiceId};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Batch, TaskId};

/// An event of the simulation.
pub enum ModelEvent {
    /// The scheduler receives a tick.
    Tick,
    /// The scheduler receives the host list.
    ListHosts,
    /// The job with this index is submitted.
    SubmitJob(usize),
    /// The host with this index is up, in its old or new pool.
    HostUp(usize),
    /// The worker on the host with this index is polled. If the flag is set, polling repeats.
    PollWorker(usize, WorkerId, bool),
    /// The order to start an attempt of a task reaches its worker.
    StartReachesWorker(WorkerId, TaskId, u32),
    /// An attempt of a task has done its work.
    TaskEnds(WorkerId, TaskId, u32),
    /// The worker on the host with this index crashes.
    WorkerCrashes(usize, WorkerId),
    /// The order to stop an attempt of a task reaches its worker.
    StopReachesWorker(WorkerId, TaskId, u32),
    /// An order reaches a host.
    OrderReachesHost(HostId, HostOrder),
    /// The records of a batch are stored.
    BatchStored(Batch),
    /// The fault with this index in the spec begins.
    FaultBegins(usize),
    /// The fault with this index in the spec ends.
    FaultEnds(usize),
    /// Another process has acquired the scheduler lease.
    SchedulerTakesOver,
}

/// An order to a host.
#[derive(Clone)]
pub enum HostOrder {
    /// Move to a pool.
    Move(ServiceId),
    /// Go into maintenance.
    Maintain,
}

/// Pending events by time. Events at the same time keep the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    events: BTreeMap<(Duration, u64), ModelEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event at a time since the start of the run.
    pub fn schedule(&mut self, at: Duration, event: ModelEvent) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// Removes and returns the next event and its time.
    pub fn pop_next(&mut self) -> Option<(Duration, ModelEvent)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }

    /// Removes all events for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ModelEvent) -> bool) {
        self.events.retain(|_, event| keep(event));
    }
}
