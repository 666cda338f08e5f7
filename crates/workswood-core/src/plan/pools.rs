//! Which pool has which hosts, with the fewest moves.

use std::collections::BTreeMap;

use super::fleet_index::FleetIndex;
use super::observed::ObservedFleet;
use crate::fleet::{FleetFile, Pool};
use crate::fold::{HostRec, Phase, State};
use crate::ids::{HostId, PoolId, Term};
use crate::record::{DrainReason, HostStep, Record};

/// Records that fill pools and give released hosts up.
pub(super) fn records(
    state: &State,
    observed: &ObservedFleet,
    index: &mut FleetIndex,
    term: Term,
) -> Vec<Record> {
    let mut all = Vec::new();
    let mut taken: BTreeMap<HostId, PoolId> = BTreeMap::new();
    for (id, rec) in state.hosts.iter().filter(|(_, r)| r.released && r.phase == Phase::Active && !r.foreign)
    {
        if index.withdraw_host(id) {
            all.push(step(term, id, rec, HostStep::Drain { reason: DrainReason::Release }));
        }
    }
    let heading = headings(state);
    for file in state.fleet_files() {
        for pool in &file.pools {
            let want = deficit(&heading, pool);
            if want == 0 {
                continue;
            }
            let free = free_hosts(state, observed, file, pool, &taken);
            for id in free.into_iter().take(want) {
                taken.insert(id.clone(), pool.name.clone());
                let assign = HostStep::Assign { pool: pool.name.clone() };
                all.push(step(term, &id, &state.hosts[&id], assign));
            }
        }
        for pool in &file.pools {
            let got = taken.values().filter(|p| **p == pool.name).count();
            let want = deficit(&heading, pool).saturating_sub(got);
            if want == 0 {
                continue;
            }
            for id in spare_hosts(state, index, &heading, file, pool, &taken).into_iter().take(want) {
                if index.withdraw_host(&id) {
                    taken.insert(id.clone(), pool.name.clone());
                    let reason = DrainReason::Move { to: pool.name.clone() };
                    all.push(step(term, &id, &state.hosts[&id], HostStep::Drain { reason }));
                }
            }
        }
    }
    all
}

fn step(term: Term, host: &HostId, rec: &HostRec, step: HostStep) -> Record {
    Record::Host { term, host: host.clone(), generation: rec.generation, step }
}

/// The pool that a host is in or on its way to.
fn heading(rec: &HostRec) -> Option<&PoolId> {
    match &rec.phase {
        Phase::Draining(DrainReason::Move { to }) | Phase::Drained(DrainReason::Move { to }) => Some(to),
        _ => rec.pool.as_ref(),
    }
}

fn healthy(rec: &HostRec) -> bool {
    rec.up && !rec.foreign && !rec.released
}

/// Healthy hosts that are in each pool or on their way to it.
fn headings(state: &State) -> BTreeMap<&str, usize> {
    let mut all: BTreeMap<&str, usize> = BTreeMap::new();
    for pool in state.hosts.values().filter(|r| healthy(r)).filter_map(heading) {
        *all.entry(pool).or_default() += 1;
    }
    all
}

fn deficit(heading: &BTreeMap<&str, usize>, pool: &Pool) -> usize {
    let have = heading.get(pool.name.as_str()).copied().unwrap_or(0);
    (pool.size as usize).saturating_sub(have)
}

fn fits(rec: &HostRec, pool: &Pool) -> bool {
    rec.cpus >= pool.min_cpus
        && rec.memory_gib >= pool.min_memory_gib
        && rec.accelerators >= pool.min_accelerators
}

/// Free hosts for a pool: those that the platform already has in it first,
/// then those in racks where the pool has fewest.
fn free_hosts(
    state: &State,
    observed: &ObservedFleet,
    file: &FleetFile,
    pool: &Pool,
    taken: &BTreeMap<HostId, PoolId>,
) -> Vec<HostId> {
    let mut racks: BTreeMap<&str, usize> = BTreeMap::new();
    for r in state.hosts.values().filter(|r| r.pool.as_ref() == Some(&pool.name)) {
        *racks.entry(&r.place.rack).or_default() += 1;
    }
    let usable = |(id, r): &(&HostId, &HostRec)| {
        r.file == file.file
            && r.phase == Phase::Free
            && healthy(r)
            && fits(r, pool)
            && !taken.contains_key(*id)
    };
    let mut free: Vec<(bool, usize, &HostId)> = Vec::new();
    for (id, r) in state.hosts.iter().filter(usable) {
        let in_rack = racks.entry(&r.place.rack).or_default();
        let there = observed.hosts.get(id).is_some_and(|s| s.pool.as_ref() == Some(&pool.name));
        free.push((!there, *in_rack, id));
        *in_rack += 1;
    }
    free.sort();
    free.into_iter().map(|(_, _, id)| id.clone()).collect()
}

/// Hosts that other pools can spare, those with the fewest instances first.
fn spare_hosts(
    state: &State,
    index: &FleetIndex,
    heading: &BTreeMap<&str, usize>,
    file: &FleetFile,
    to: &Pool,
    taken: &BTreeMap<HostId, PoolId>,
) -> Vec<HostId> {
    let mut spare: BTreeMap<&str, usize> = BTreeMap::new();
    let mut all: Vec<(usize, &HostId)> = Vec::new();
    for (id, r) in state.hosts.iter().filter(|(_, r)| r.file == file.file && r.phase == Phase::Active) {
        let Some(from) = r.pool.as_deref().filter(|p| *p != to.name) else { continue };
        if healthy(r) && fits(r, to) && !taken.contains_key(id) {
            spare.entry(from).or_insert_with(|| surplus(heading, file, from));
            all.push((index.services_on(id).len(), id));
        }
    }
    all.sort();
    let mut picked = Vec::new();
    for (_, id) in all {
        let left = state.hosts[id].pool.as_deref().and_then(|p| spare.get_mut(p));
        if let Some(n) = left.filter(|n| **n > 0) {
            *n -= 1;
            picked.push(id.clone());
        }
    }
    picked
}

/// Hosts that a pool has beyond its size; all, if it is no longer declared.
fn surplus(heading: &BTreeMap<&str, usize>, file: &FleetFile, pool: &str) -> usize {
    let have = heading.get(pool).copied().unwrap_or(0);
    let size = file.pools.iter().find(|p| p.name == pool).map_or(0, |p| p.size as usize);
    have.saturating_sub(size)
}
