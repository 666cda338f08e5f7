//! Workers that list less capacity for a while, or without their label, and then as before.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{Event, JobNumber, JobSpec};

use super::fault_rng::{FaultRng, Stream};
use super::{WORKER_CAPACITY, World};

/// Label that all workers have, unless they lose it.
const LABEL: &str = "large";
/// Jobs whose key is a multiple of this require the label.
const LABELLED_JOB_INTERVAL: JobNumber = 2;
/// Capacity of a worker that has shrunk, too small for a task of one core.
const SMALL_CAPACITY: Resources = Resources { cpu_millis: 500, ..WORKER_CAPACITY };
/// Shortest and longest time from one change to the next, in milliseconds.
const INTERVAL_MS: (u64, u64) = (100, 700);
/// Shortest and longest time that a change lasts, in milliseconds.
const LASTS_MS: (u64, u64) = (200, 5000);
/// Shortest and longest time until holders see a change, in milliseconds.
const SEEN_AFTER_MS: (u64, u64) = (20, 600);

/// What a worker lists for a while instead of what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Shrunk,
    WithoutLabel,
}

/// The changes of a world's workers, drawn from a generator of their own.
pub(super) struct WorkerChanges {
    rng: FaultRng,
    next_at: Duration,
    /// The change of each life, and when it is over.
    present: BTreeMap<WorkerId, (Change, Duration)>,
    /// Lives whose list entry has changed, and when holders see that.
    unseen: Vec<(Duration, WorkerId)>,
}

impl WorkerChanges {
    /// Lets a life change for a while.
    fn begin(&mut self, id: WorkerId, now: Duration) {
        self.next_at = now + self.draw_ms(INTERVAL_MS);
        let change = [Change::Shrunk, Change::WithoutLabel][self.rng.below(2) as usize];
        let until = now + self.draw_ms(LASTS_MS);
        self.present.insert(id.clone(), (change, until));
        self.note_changed(id, now);
    }

    /// Lets a life be as before.
    fn end(&mut self, id: WorkerId, now: Duration) {
        self.present.remove(&id);
        self.note_changed(id, now);
    }

    fn note_changed(&mut self, id: WorkerId, now: Duration) {
        let seen_at = now + self.draw_ms(SEEN_AFTER_MS);
        self.unseen.push((seen_at, id));
    }

    fn draw_ms(&mut self, (from, to): (u64, u64)) -> Duration {
        Duration::from_millis(from + self.rng.below(to - from))
    }
}

impl World {
    /// Has workers list less capacity at times, or no label, while some jobs require the label.
    #[must_use]
    pub fn with_worker_changes(mut self) -> World {
        let rng = self.rng.stream(Stream::WorkerChanges);
        self.changes =
            Some(WorkerChanges { rng, next_at: self.now, present: BTreeMap::new(), unseen: Vec::new() });
        self.take_over();
        self
    }

    /// The capacity and the labels that a worker lists.
    pub(super) fn listed_room(&self, id: &WorkerId) -> (Resources, Vec<String>) {
        let Some(changes) = &self.changes else { return (WORKER_CAPACITY, Vec::new()) };
        let label = || vec![LABEL.to_string()];
        match changes.present.get(id) {
            Some((Change::Shrunk, _)) => (SMALL_CAPACITY, label()),
            Some((Change::WithoutLabel, _)) => (WORKER_CAPACITY, Vec::new()),
            None => (WORKER_CAPACITY, label()),
        }
    }

    /// Has the tasks of some jobs require the label, if workers have it.
    pub(super) fn require_label(&self, key: JobNumber, spec: &mut JobSpec) {
        if self.changes.is_some() && key.is_multiple_of(LABELLED_JOB_INTERVAL) {
            spec.steps.iter_mut().for_each(|step| step.label = Some(LABEL.to_string()));
        }
    }

    /// Ends the changes that are due, lets the next worker change, and has holders see what is listed by now.
    pub(super) fn change_workers(&mut self) {
        let now = self.now;
        let Some(changes) = &mut self.changes else { return };
        let over = |(id, (_, until)): (&WorkerId, &(Change, Duration))| (*until <= now).then(|| id.clone());
        let over: Vec<WorkerId> = changes.present.iter().filter_map(over).collect();
        over.into_iter().for_each(|id| changes.end(id, now));
        if changes.next_at <= now {
            let id = &self.workers[changes.rng.below(self.workers.len() as u64) as usize].id;
            changes.begin(id.clone(), now);
            self.seen.worker_changes += 1;
        }
        let (due, later) = std::mem::take(&mut changes.unseen).into_iter().partition(|(at, _)| *at <= now);
        changes.unseen = later;
        self.list_changed(due);
    }

    /// Ends all changes, and lets no more workers change.
    pub(super) fn end_worker_changes(&mut self) {
        let now = self.now;
        let Some(changes) = &mut self.changes else { return };
        changes.next_at = Duration::MAX;
        let present: Vec<WorkerId> = changes.present.keys().cloned().collect();
        present.into_iter().for_each(|id| changes.end(id, now));
    }

    /// Has holders see what these workers list now.
    fn list_changed(&mut self, changed: Vec<(Duration, WorkerId)>) {
        for (_, id) in changed {
            let at = self.workers.iter().position(|w| w.id == id && w.up && !w.has_left);
            let Some(n) = at.filter(|n| !self.is_unlisted(*n)) else { continue };
            let (now, info) = (self.now, self.info(n, &id));
            self.holders.iter_mut().for_each(|h| h.enqueue_event(now, Event::WorkerListed(info.clone())));
        }
    }
}
