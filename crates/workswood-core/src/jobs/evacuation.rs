//! Data centres that are being evacuated: nothing begins there until operators take them back.
//!
//! What runs there goes on: its workers answer, and moving it would take it away from its callers for
//! the time of a start. The hosts of such a data centre count neither as room nor as part of their
//! pools, so that the others get what is missing.

use std::collections::BTreeSet;

use super::host::Host;
use super::scheduler::Scheduler;
use crate::ids::DataCentre;

impl Scheduler {
    /// Takes in which data centres are being evacuated.
    pub(super) fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentre>) {
        if evacuated == self.evacuated {
            return;
        }
        let list: Vec<&str> = evacuated.iter().map(String::as_str).collect();
        self.notes.push(format_args!("event=evacuations_known data_centres=\"{}\"", list.join(",")));
        self.workers.for_each_mut(|w| {
            w.evacuated = w.info.as_ref().is_some_and(|i| evacuated.contains(&i.data_centre));
        });
        self.evacuated = evacuated;
        self.measure_fleet();
        self.services_to_place.extend(self.ready.keys().cloned());
    }

    /// Whether work may begin on a host, as far as its data centre is concerned.
    pub(super) fn stands_open(&self, m: &Host) -> bool {
        !self.evacuated.contains(&m.data_centre)
    }

    /// Adds up the room of all hosts on which work may begin.
    pub(super) fn measure_fleet(&mut self) {
        let open = self.hosts.values().filter(|m| self.stands_open(m));
        self.fleet_cpu_millis = open.map(|m| m.capacity.cpu_millis).sum();
    }

    /// Data centres that are being evacuated, as far as this lease holder knows.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }
}
