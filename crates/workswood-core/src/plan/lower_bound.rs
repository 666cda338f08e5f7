//! Lower bounds that no safe plan can beat.

use std::collections::BTreeMap;
use std::time::Duration;

use super::fleet_index::FleetIndex;
use crate::fleet::Maintenance;
use crate::fold::State;

/// The least that a maintenance can cost.
#[derive(Clone, Debug, PartialEq)]
pub struct LowerBound {
    /// Rounds of one duration each.
    pub rounds: u32,
    /// The time that they take.
    pub rollout: Duration,
}

impl LowerBound {
    /// Every instance of a service is away once, and never more at a time than
    /// its budget leaves; the tightest service sets the bound.
    pub fn for_maintenance(state: &State, m: &Maintenance) -> LowerBound {
        let index = FleetIndex::new(state);
        let mut rounds = 0;
        for s in state.services().filter(|s| s.pool == m.pool) {
            let Some(a) = index.availability.get(&s.name) else { continue };
            let mut free = a.available.saturating_sub(s.budget.min_available);
            if s.budget.reserve_rack {
                // Even after leaving, some rack still holds at least one.
                free = free.saturating_sub(1);
            }
            rounds = rounds.max(a.available.div_ceil(free.max(1)));
            if let Some(most) = s.budget.max_unavailable_per_data_centre {
                let mut centres: BTreeMap<&str, u32> = BTreeMap::new();
                for (_, i) in state.instances_of(&s.name) {
                    if let Some(h) = state.hosts.get(&i.host) {
                        *centres.entry(&h.place.data_centre).or_default() += 1;
                    }
                }
                rounds = centres.values().map(|n| n.div_ceil(most.max(1))).fold(rounds, u32::max);
            }
        }
        let hosts = state.hosts.values().filter(|h| h.pool.as_ref() == Some(&m.pool)).count() as u32;
        if m.max_parallel > 0 {
            rounds = rounds.max(hosts.div_ceil(m.max_parallel));
        }
        let rounds = rounds.max(u32::from(hosts > 0));
        LowerBound { rounds, rollout: m.duration * rounds }
    }
}
