//! Placement of instances. An instance stays on its host as long as it can; a missing one is
//! placed so that the service is spread over racks and data centres.

use std::collections::BTreeMap;

use super::fleet_index::FleetIndex;
use super::observed::ObservedFleet;
use crate::fleet::Service;
use crate::fold::{HostPhase, ManagedHost, PlacedInstance, State};
use crate::ids::{HostId, InstanceId, Term, UnixMs};
use crate::record::{DrainReason, InstanceChange, Record};

/// How long a host may be down or moved by something else before its instances are placed elsewhere.
pub const REPLACE_AFTER_MS: UnixMs = 30_000;

/// Returns the records that remove instances from hosts they must leave and place missing ones.
pub(super) fn records(
    state: &State,
    observed: &ObservedFleet,
    index: &mut FleetIndex,
    now: UnixMs,
    term: Term,
) -> Vec<Record> {
    let mut records = Vec::new();
    let mut loads: Option<BTreeMap<HostId, (u32, u32)>> = None;
    for s in state.services() {
        let placed: Vec<(&InstanceId, &PlacedInstance)> = state.instances_of(&s.name).collect();
        for (id, i) in &placed {
            if must_leave(state, index, s, id, i, now) {
                records.push(Record::Instance {
                    term,
                    instance: (*id).clone(),
                    change: InstanceChange::Remove,
                });
            }
        }
        if placed.len() >= s.instances as usize {
            continue;
        }
        let loads = loads.get_or_insert_with(|| instance_loads(state));
        let missing = (0..s.instances)
            .map(|n| format!("{}/{n}", s.name))
            .filter(|id| !state.instances.contains_key(id));
        let mut spread = Spread::new(state, &placed);
        for id in missing {
            let Some(host) = spread.choose_host(index, observed, s, &id, loads) else { break };
            spread.add(&state.hosts[&host], &host);
            let load = loads.entry(host.clone()).or_default();
            load.0 += s.cpus;
            load.1 += s.memory_gib;
            records.push(Record::Instance { term, instance: id, change: InstanceChange::Place { host } });
        }
    }
    records
}

/// Processor cores and memory in GiB that the instances on each host need.
pub(super) fn instance_loads(state: &State) -> BTreeMap<HostId, (u32, u32)> {
    let sizes: BTreeMap<&str, (u32, u32)> =
        state.services().map(|s| (s.name.as_str(), (s.cpus, s.memory_gib))).collect();
    let mut loads: BTreeMap<HostId, (u32, u32)> = BTreeMap::new();
    for i in state.instances.values() {
        let (cpus, memory) = sizes.get(i.service.as_str()).copied().unwrap_or_default();
        let load = loads.entry(i.host.clone()).or_default();
        load.0 += cpus;
        load.1 += memory;
    }
    loads
}

/// Whether an instance must leave its host now: its host is unknown, drained for a move or a
/// release, or lost; or the instance is surplus or in the wrong pool, and the budget allows that
/// it stops. In that last case the instance is withdrawn from the index.
fn must_leave(
    state: &State,
    index: &mut FleetIndex,
    s: &Service,
    id: &str,
    i: &PlacedInstance,
    now: UnixMs,
) -> bool {
    let Some(h) = state.hosts.get(&i.host) else { return true };
    match &h.phase {
        HostPhase::Drained(DrainReason::Move { .. } | DrainReason::Release) => return true,
        HostPhase::Active => {}
        _ => return false,
    }
    let lost = !h.up || h.externally_moved;
    if lost {
        return now.saturating_sub(h.changed_at) >= REPLACE_AFTER_MS;
    }
    let number: u32 = id.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
    let unwanted = number >= s.instances || h.pool.as_ref() != Some(&s.pool);
    unwanted && (!i.ready || index.withdraw_instance(&s.name, &i.host))
}

/// Number of instances of one service by data centre and rack, and the hosts that have one.
struct Spread {
    data_centres: BTreeMap<String, u32>,
    racks: BTreeMap<String, u32>,
    hosts: Vec<HostId>,
}

impl Spread {
    fn new(state: &State, placed: &[(&InstanceId, &PlacedInstance)]) -> Spread {
        let mut spread = Spread { data_centres: BTreeMap::new(), racks: BTreeMap::new(), hosts: Vec::new() };
        for (_, i) in placed {
            if let Some(h) = state.hosts.get(&i.host) {
                spread.add(h, &i.host);
            }
        }
        spread
    }

    fn add(&mut self, h: &ManagedHost, host: &HostId) {
        *self.data_centres.entry(h.location.data_centre.clone()).or_default() += 1;
        *self.racks.entry(h.location.rack.clone()).or_default() += 1;
        self.hosts.push(host.clone());
    }

    /// Chooses the host for a missing instance among those with room for it: one that already runs
    /// it, then one in the rack and data centre with the fewest instances and with the lowest load.
    fn choose_host(
        &self,
        index: &FleetIndex,
        observed: &ObservedFleet,
        s: &Service,
        id: &str,
        loads: &BTreeMap<HostId, (u32, u32)>,
    ) -> Option<HostId> {
        let load = |id: &HostId| loads.get(id).copied().unwrap_or_default();
        let fits = |(id, h): &&(&HostId, &ManagedHost)| {
            let (cpus, memory) = load(id);
            h.takes_work()
                && !h.released
                && cpus + s.cpus <= h.cpus
                && memory + s.memory_gib <= h.memory_gib
                && !self.hosts.contains(*id)
        };
        let rank = |(host, h): &&(&HostId, &ManagedHost)| {
            let runs_already = observed.hosts.get(*host).is_some_and(|h| h.tasks.iter().any(|t| t.id == id));
            let in_data_centre = self.data_centres.get(&h.location.data_centre).copied().unwrap_or(0);
            let in_rack = self.racks.get(&h.location.rack).copied().unwrap_or(0);
            (!runs_already, in_rack, in_data_centre, load(host).0, (*host).clone())
        };
        index.pool_hosts(&s.pool).iter().filter(fits).min_by_key(rank).map(|(id, _)| (*id).clone())
    }
}
