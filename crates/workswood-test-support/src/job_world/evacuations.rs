//! Data centres that operators evacuate and take back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use workswood_core::ids::DataCentre;
use workswood_core::jobs::{Event, TaskId};

use super::World;

/// Longest time until a holder hears of an evacuation,
const HEARD_WITHIN: Duration = Duration::from_millis(1000);
/// and until what was decided before has reached its worker: some ten times the time of a write.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(500);
/// Who stood still within this time is not held to that.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// What is evacuated.
#[derive(Default)]
pub(super) struct Evacuations {
    /// Whether workers stand in two data centres.
    pub two_centres: bool,
    /// Data centres that are evacuated, and since when.
    since: BTreeMap<DataCentre, Duration>,
}

impl World {
    /// Where a worker stands, by its place.
    pub(super) fn data_centre(&self, n: usize) -> DataCentre {
        let south = self.evacuations.two_centres && n % 2 == 1;
        if south { "south" } else { "north" }.to_string()
    }

    /// Data centres that are evacuated.
    pub(super) fn evacuated(&self) -> BTreeSet<DataCentre> {
        self.evacuations.since.keys().cloned().collect()
    }

    /// Operators evacuate a data centre, or take it back.
    pub fn evacuate(&mut self, data_centre: &str, wanted: bool) {
        if wanted {
            self.evacuations.since.entry(data_centre.to_string()).or_insert(self.now);
        } else {
            self.evacuations.since.remove(data_centre);
        }
        let evacuated = self.evacuated();
        let at = self.now + Duration::from_millis(self.rng.below(HEARD_WITHIN.as_millis() as u64));
        self.holders.iter_mut().for_each(|h| h.hears_evacuated(at, evacuated.clone()));
    }

    /// All data centres are taken back.
    pub(super) fn take_back(&mut self) {
        if self.evacuations.two_centres {
            self.evacuate("north", false);
            self.evacuate("south", false);
        }
    }

    /// A worker begins a task on an order that came at once.
    pub(super) fn check_evacuated(&mut self, at: usize, task: &TaskId) {
        let Some(since) = self.evacuations.since.get(&self.data_centre(at)) else { return };
        let still = self.holders.iter().map(|h| h.paused_until).max().unwrap_or_default();
        let in_touch = still + IN_TOUCH < self.now;
        if in_touch && since.saturating_add(HEARD_WITHIN + IN_FORCE_WITHIN) < self.now {
            self.seen.violations.push(format!("EVAC: {task} begins where nothing may, at {:?}", self.now));
        }
    }
}

/// An event that tells what is evacuated.
pub(super) fn is_evacuated(ev: &Event) -> bool {
    matches!(ev, Event::Evacuated(_))
}
