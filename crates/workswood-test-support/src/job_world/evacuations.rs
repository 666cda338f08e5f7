//! Evacuations of data centres by operators.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use workswood_core::ids::DataCentre;
use workswood_core::jobs::{Event, TaskId};

use super::World;

/// Longest time until a holder learns of an evacuation.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(1000);
/// Longest time until starts that were decided before the notice have reached their workers.
const MAX_IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// The rule is not checked within this time after a pause of a holder.
const PAUSE_RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Evacuated data centres.
#[derive(Default)]
pub(super) struct Evacuations {
    /// Whether the workers are spread over two data centres.
    pub two_centres: bool,
    /// Evacuated data centres, with the start of the evacuation.
    since: BTreeMap<DataCentre, Duration>,
}

impl World {
    /// Returns the data centre of worker `n`.
    pub(super) fn data_centre(&self, n: usize) -> DataCentre {
        let south = self.evacuations.two_centres && n % 2 == 1;
        if south { "south" } else { "north" }.to_string()
    }

    /// Returns the evacuated data centres.
    pub(super) fn evacuated(&self) -> BTreeSet<DataCentre> {
        self.evacuations.since.keys().cloned().collect()
    }

    /// Starts the evacuation of a data centre if `wanted`, or ends it.
    pub fn evacuate(&mut self, data_centre: &str, wanted: bool) {
        self.note_fault();
        if wanted {
            self.evacuations.since.entry(data_centre.to_string()).or_insert(self.now);
        } else {
            self.evacuations.since.remove(data_centre);
        }
        let evacuated = self.evacuated();
        let at = self.now + Duration::from_millis(self.rng.below(MAX_NOTICE_DELAY.as_millis() as u64));
        self.holders.iter_mut().for_each(|h| h.enqueue_evacuations(at, evacuated.clone()));
    }

    /// Ends the evacuations of all data centres.
    pub(super) fn end_evacuations(&mut self) {
        if self.evacuations.two_centres || !self.evacuations.since.is_empty() {
            self.evacuate("north", false);
            self.evacuate("south", false);
        }
    }

    /// Checks that a task does not begin in an evacuated data centre. Applies only to starts that
    /// were not delayed.
    pub(super) fn check_evacuated(&mut self, at: usize, task: &TaskId) {
        let Some(since) = self.evacuations.since.get(&self.data_centre(at)) else { return };
        let paused_until = self.holders.iter().map(|h| h.paused_until).max().unwrap_or_default();
        let recovered = paused_until + PAUSE_RECOVERY_TIME < self.now;
        if recovered && since.saturating_add(MAX_NOTICE_DELAY + MAX_IN_FLIGHT_TIME) < self.now {
            self.seen
                .violations
                .push(format!("EVAC: {task} begins in an evacuated data centre at {:?}", self.now));
        }
    }
}

/// Returns whether an event sets the evacuated data centres.
pub(super) fn is_evacuated(ev: &Event) -> bool {
    matches!(ev, Event::Evacuated(_))
}
