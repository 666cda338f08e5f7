//! What is to happen in a run, and when.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::ids::{HostId, ServiceId};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Batch, TaskId};

/// What happens at some time.
pub enum Happening {
    /// The scheduler is told that time has passed.
    Tick,
    /// The scheduler reads the list of hosts.
    List,
    /// A job is handed in, by its place among the jobs of the run.
    HandIn(usize),
    /// A host arrives in its pool, or is up again.
    Arrives(usize),
    /// A worker is looked at; `true` goes on looking for ever.
    Look(usize, WorkerId, bool),
    /// The start of a task reaches its worker.
    Starts(WorkerId, TaskId, u32),
    /// A task has done its work.
    Ends(WorkerId, TaskId, u32),
    /// A worker crashes on its host.
    Crashes(usize, WorkerId),
    /// The stop of a task reaches its worker.
    Stops(WorkerId, TaskId, u32),
    /// An order reaches a host.
    Ordered(HostId, Order),
    /// The store has the records of a batch.
    Stored(Batch),
    /// A fault begins, by its place in the file.
    FaultBegins(usize),
    /// It ends.
    FaultEnds(usize),
    /// Another process holds the lease.
    TakesOver,
}

/// An order to a host.
#[derive(Clone)]
pub enum Order {
    /// Change the pool.
    Move(ServiceId),
    /// Be maintained.
    Upkeep,
}

/// What is to happen, by time and in the order in which it was planned.
#[derive(Default)]
pub struct Agenda {
    queue: BTreeMap<(Duration, u64), Happening>,
    planned: u64,
}

impl Agenda {
    /// Plans something.
    pub fn plan(&mut self, at: Duration, what: Happening) {
        self.planned += 1;
        self.queue.insert((at, self.planned), what);
    }

    /// Takes out what happens next.
    pub fn take_next(&mut self) -> Option<(Duration, Happening)> {
        self.queue.pop_first().map(|((at, _), what)| (at, what))
    }

    /// Drops all that does not stay.
    pub fn retain(&mut self, stays: impl Fn(&Happening) -> bool) {
        self.queue.retain(|_, what| stays(what));
    }
}
