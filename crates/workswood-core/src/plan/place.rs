//! Where instances run: stay where they are if they can, else spread over
//! data centres and racks.

use std::collections::BTreeMap;

use super::fleet_index::FleetIndex;
use super::observed::ObservedFleet;
use crate::fleet::Service;
use crate::fold::{HostRec, InstanceRec, Phase, State};
use crate::ids::{HostId, InstanceId, Term, UnixMs};
use crate::record::{DrainReason, InstanceStep, Record};

/// How long a failed host may take to come back before its instances move.
pub const REPLACE_AFTER_MS: UnixMs = 30_000;

/// Records that place missing instances and remove those that must go.
pub(super) fn records(
    state: &State,
    observed: &ObservedFleet,
    index: &mut FleetIndex,
    now: UnixMs,
    term: Term,
) -> Vec<Record> {
    let mut all = Vec::new();
    let mut load: Option<BTreeMap<HostId, (u32, u32)>> = None;
    for s in state.services() {
        let have: Vec<(&InstanceId, &InstanceRec)> = state.instances_of(&s.name).collect();
        for (id, i) in &have {
            if leaves(state, index, s, id, i, now) {
                all.push(Record::Instance { term, instance: (*id).clone(), step: InstanceStep::Remove });
            }
        }
        if have.len() >= s.instances as usize {
            continue;
        }
        let load = load.get_or_insert_with(|| loads(state));
        let missing = (0..s.instances)
            .map(|n| format!("{}/{n}", s.name))
            .filter(|id| !state.instances.contains_key(id));
        let mut spread = Spread::new(state, &have);
        for id in missing {
            let Some(host) = spread.choose(index, observed, s, &id, load) else { break };
            spread.add(&state.hosts[&host], &host);
            let used = load.entry(host.clone()).or_default();
            used.0 += s.cpus;
            used.1 += s.memory_gib;
            all.push(Record::Instance { term, instance: id, step: InstanceStep::Place { host } });
        }
    }
    all
}

/// Processors and memory that instances take on each host.
pub(super) fn loads(state: &State) -> BTreeMap<HostId, (u32, u32)> {
    let sizes: BTreeMap<&str, (u32, u32)> =
        state.services().map(|s| (s.name.as_str(), (s.cpus, s.memory_gib))).collect();
    let mut load: BTreeMap<HostId, (u32, u32)> = BTreeMap::new();
    for i in state.instances.values() {
        let (cpus, memory) = sizes.get(i.service.as_str()).copied().unwrap_or_default();
        let used = load.entry(i.host.clone()).or_default();
        used.0 += cpus;
        used.1 += memory;
    }
    load
}

/// Whether an instance must leave its host now.
fn leaves(
    state: &State,
    index: &mut FleetIndex,
    s: &Service,
    id: &str,
    i: &InstanceRec,
    now: UnixMs,
) -> bool {
    let Some(h) = state.hosts.get(&i.host) else { return true };
    match &h.phase {
        Phase::Drained(DrainReason::Move { .. } | DrainReason::Release) => return true,
        Phase::Active => {}
        _ => return false,
    }
    let lost = !h.up || h.foreign;
    if lost {
        return now.saturating_sub(h.since) >= REPLACE_AFTER_MS;
    }
    let number: u32 = id.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
    let unwanted = number >= s.instances || h.pool.as_ref() != Some(&s.pool);
    unwanted && (!i.ready || index.withdraw_instance(&s.name, &i.host))
}

/// How a service's instances are spread.
struct Spread {
    centres: BTreeMap<String, u32>,
    racks: BTreeMap<String, u32>,
    hosts: Vec<HostId>,
}

impl Spread {
    fn new(state: &State, have: &[(&InstanceId, &InstanceRec)]) -> Spread {
        let mut spread = Spread { centres: BTreeMap::new(), racks: BTreeMap::new(), hosts: Vec::new() };
        for (_, i) in have {
            if let Some(h) = state.hosts.get(&i.host) {
                spread.add(h, &i.host);
            }
        }
        spread
    }

    fn add(&mut self, h: &HostRec, host: &HostId) {
        *self.centres.entry(h.place.data_centre.clone()).or_default() += 1;
        *self.racks.entry(h.place.rack.clone()).or_default() += 1;
        self.hosts.push(host.clone());
    }

    /// The best host for a missing instance: one that already runs it, then
    /// the emptiest rack, data centre and host.
    fn choose(
        &self,
        index: &FleetIndex,
        observed: &ObservedFleet,
        s: &Service,
        id: &str,
        load: &BTreeMap<HostId, (u32, u32)>,
    ) -> Option<HostId> {
        let used = |id: &HostId| load.get(id).copied().unwrap_or_default();
        let fits = |(id, h): &&(&HostId, &HostRec)| {
            let (cpus, memory) = used(id);
            h.takes_work()
                && !h.released
                && cpus + s.cpus <= h.cpus
                && memory + s.memory_gib <= h.memory_gib
                && !self.hosts.contains(*id)
        };
        let rank = |(host, h): &&(&HostId, &HostRec)| {
            let runs = observed.hosts.get(*host).is_some_and(|x| x.tasks.iter().any(|t| t.id == id));
            let centre = self.centres.get(&h.place.data_centre).copied().unwrap_or(0);
            let rack = self.racks.get(&h.place.rack).copied().unwrap_or(0);
            (!runs, rack, centre, used(host).0, (*host).clone())
        };
        index.pool_hosts(&s.pool).iter().filter(fits).min_by_key(rank).map(|(id, _)| (*id).clone())
    }
}
