//! Data centres that are being evacuated. No work starts there until operators end the evacuation.
//!
//! Tasks that run there go on: their workers answer, and moving them would interrupt their service.
//! The hosts of such a data centre count neither as capacity nor towards the size of their pools,
//! so that other data centres make up for them.

use std::collections::BTreeSet;

use super::host::Host;
use super::scheduler::Scheduler;
use crate::ids::DataCentre;

impl Scheduler {
    /// Replaces the set of data centres that are being evacuated.
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
        self.update_fleet_cpu();
        self.services_to_place.extend(self.ready.keys().cloned());
    }

    /// Whether the data centre of a host is being evacuated.
    pub(super) fn is_evacuated(&self, host: &Host) -> bool {
        self.evacuated.contains(&host.data_centre)
    }

    /// Recomputes the total processor capacity of the hosts on which work may start.
    pub(super) fn update_fleet_cpu(&mut self) {
        let open = self.hosts.values().filter(|host| !self.is_evacuated(host));
        self.fleet_cpu_millis = open.map(|host| host.capacity.cpu_millis).sum();
    }

    /// Data centres that are being evacuated, as known to this lease holder.
    pub fn evacuated_data_centres(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }
}
