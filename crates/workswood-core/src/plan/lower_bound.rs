//! Lower bound of the time that a maintenance takes under its budgets.

use std::collections::BTreeMap;
use std::time::Duration;

use super::fleet_index::FleetIndex;
use crate::fleet::Maintenance;
use crate::fold::State;

/// The minimum cost of a maintenance.
#[derive(Clone, Debug, PartialEq)]
pub struct LowerBound {
    /// Number of rounds, each as long as one host is out of service.
    pub rounds: u32,
    /// Duration of all rounds.
    pub duration: Duration,
}

impl LowerBound {
    /// Computes the bound of a maintenance: every host and every instance of the pool is out of
    /// service once, and never more of them at a time than the maintenance and the tightest budget
    /// allow.
    pub fn for_maintenance(state: &State, m: &Maintenance) -> LowerBound {
        let index = FleetIndex::new(state);
        let mut rounds = 0;
        for s in state.services().filter(|s| s.pool == m.pool) {
            let Some(availability) = index.availability.get(&s.name) else { continue };
            let mut max_out_of_service = availability.available.saturating_sub(s.budget.min_available);
            if s.budget.reserve_rack {
                // The rack that is held in reserve has at least one instance.
                max_out_of_service = max_out_of_service.saturating_sub(1);
            }
            rounds = rounds.max(availability.available.div_ceil(max_out_of_service.max(1)));
            if let Some(max_unavailable) = s.budget.max_unavailable_per_data_centre {
                let mut by_data_centre: BTreeMap<&str, u32> = BTreeMap::new();
                for (_, i) in state.instances_of(&s.name) {
                    if let Some(h) = state.hosts.get(&i.host) {
                        *by_data_centre.entry(&h.location.data_centre).or_default() += 1;
                    }
                }
                rounds = by_data_centre
                    .values()
                    .map(|n| n.div_ceil(max_unavailable.max(1)))
                    .fold(rounds, u32::max);
            }
        }
        let hosts = state.hosts.values().filter(|h| h.pool.as_ref() == Some(&m.pool)).count() as u32;
        if m.max_parallel > 0 {
            rounds = rounds.max(hosts.div_ceil(m.max_parallel));
        }
        let rounds = rounds.max(u32::from(hosts > 0));
        LowerBound { rounds, duration: m.duration * rounds }
    }
}
