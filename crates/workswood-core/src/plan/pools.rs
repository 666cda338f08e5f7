//! Assignment of hosts to pools with as few moves as possible.

use std::collections::BTreeMap;

use super::fleet_index::FleetIndex;
use super::observed::ObservedFleet;
use crate::fleet::{FleetFile, Pool};
use crate::fold::{HostPhase, ManagedHost, State};
use crate::ids::{HostId, PoolId, Term};
use crate::record::{DrainReason, HostChange, Record};

/// Returns the records that drain released hosts and fill the pools that are too small.
pub(super) fn records(
    state: &State,
    observed: &ObservedFleet,
    index: &mut FleetIndex,
    term: Term,
) -> Vec<Record> {
    let mut records = Vec::new();
    let mut assigned: BTreeMap<HostId, PoolId> = BTreeMap::new();
    for (id, rec) in
        state.hosts.iter().filter(|(_, r)| r.released && r.phase == HostPhase::Active && !r.externally_moved)
    {
        if index.withdraw_host(id) {
            records.push(host_record(term, id, rec, HostChange::Drain { reason: DrainReason::Release }));
        }
    }
    let host_counts = count_by_target_pool(state);
    for file in state.fleet_files() {
        for pool in &file.pools {
            let missing = deficit(&host_counts, pool);
            if missing == 0 {
                continue;
            }
            let free = free_hosts(state, observed, file, pool, &assigned);
            for id in free.into_iter().take(missing) {
                assigned.insert(id.clone(), pool.name.clone());
                let assign = HostChange::Assign { pool: pool.name.clone() };
                records.push(host_record(term, &id, &state.hosts[&id], assign));
            }
        }
        for pool in &file.pools {
            let newly_assigned = assigned.values().filter(|p| **p == pool.name).count();
            let missing = deficit(&host_counts, pool).saturating_sub(newly_assigned);
            if missing == 0 {
                continue;
            }
            for id in spare_hosts(state, index, &host_counts, file, pool, &assigned).into_iter().take(missing)
            {
                if index.withdraw_host(&id) {
                    assigned.insert(id.clone(), pool.name.clone());
                    let reason = DrainReason::Move { to: pool.name.clone() };
                    records.push(host_record(term, &id, &state.hosts[&id], HostChange::Drain { reason }));
                }
            }
        }
    }
    records
}

fn host_record(term: Term, host: &HostId, rec: &ManagedHost, change: HostChange) -> Record {
    Record::Host { term, host: host.clone(), generation: rec.generation, change }
}

/// The pool that a host is in, or is moving to.
fn target_pool(rec: &ManagedHost) -> Option<&PoolId> {
    match &rec.phase {
        HostPhase::Draining(DrainReason::Move { to }) | HostPhase::Drained(DrainReason::Move { to }) => {
            Some(to)
        }
        _ => rec.pool.as_ref(),
    }
}

/// Whether a host is up, claimed by a file, and not moved by something else.
fn is_usable(rec: &ManagedHost) -> bool {
    rec.up && !rec.externally_moved && !rec.released
}

/// Number of usable hosts that are in each pool or moving to it.
fn count_by_target_pool(state: &State) -> BTreeMap<&str, usize> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for pool in state.hosts.values().filter(|r| is_usable(r)).filter_map(target_pool) {
        *counts.entry(pool).or_default() += 1;
    }
    counts
}

/// Number of hosts that a pool is short of.
fn deficit(host_counts: &BTreeMap<&str, usize>, pool: &Pool) -> usize {
    let count = host_counts.get(pool.name.as_str()).copied().unwrap_or(0);
    (pool.size as usize).saturating_sub(count)
}

/// Whether a host has the minimum resources of a pool.
fn meets_minimums(rec: &ManagedHost, pool: &Pool) -> bool {
    rec.cpus >= pool.min_cpus
        && rec.memory_gib >= pool.min_memory_gib
        && rec.accelerators >= pool.min_accelerators
}

/// Free hosts that suit a pool: first those that are in it on the platform already, then those in
/// the racks where the pool has the fewest hosts.
fn free_hosts(
    state: &State,
    observed: &ObservedFleet,
    file: &FleetFile,
    pool: &Pool,
    assigned: &BTreeMap<HostId, PoolId>,
) -> Vec<HostId> {
    let mut by_rack: BTreeMap<&str, usize> = BTreeMap::new();
    for r in state.hosts.values().filter(|r| r.pool.as_ref() == Some(&pool.name)) {
        *by_rack.entry(&r.location.rack).or_default() += 1;
    }
    let is_candidate = |(id, r): &(&HostId, &ManagedHost)| {
        r.file == file.file
            && r.phase == HostPhase::Free
            && is_usable(r)
            && meets_minimums(r, pool)
            && !assigned.contains_key(*id)
    };
    let mut free: Vec<(bool, usize, &HostId)> = Vec::new();
    for (id, r) in state.hosts.iter().filter(is_candidate) {
        let in_rack = by_rack.entry(&r.location.rack).or_default();
        let already_in_pool = observed.hosts.get(id).is_some_and(|s| s.pool.as_ref() == Some(&pool.name));
        free.push((!already_in_pool, *in_rack, id));
        *in_rack += 1;
    }
    free.sort();
    free.into_iter().map(|(_, _, id)| id.clone()).collect()
}

/// Hosts that suit a pool and are beyond the size of their own, those with the fewest instances
/// first.
fn spare_hosts(
    state: &State,
    index: &FleetIndex,
    host_counts: &BTreeMap<&str, usize>,
    file: &FleetFile,
    to: &Pool,
    assigned: &BTreeMap<HostId, PoolId>,
) -> Vec<HostId> {
    let mut surplus_by_pool: BTreeMap<&str, usize> = BTreeMap::new();
    let mut candidates: Vec<(usize, &HostId)> = Vec::new();
    for (id, r) in state.hosts.iter().filter(|(_, r)| r.file == file.file && r.phase == HostPhase::Active) {
        let Some(from) = r.pool.as_deref().filter(|p| *p != to.name) else { continue };
        if is_usable(r) && meets_minimums(r, to) && !assigned.contains_key(id) {
            surplus_by_pool.entry(from).or_insert_with(|| surplus(host_counts, file, from));
            candidates.push((index.services_on(id).len(), id));
        }
    }
    candidates.sort();
    let mut spare = Vec::new();
    for (_, id) in candidates {
        let surplus = state.hosts[id].pool.as_deref().and_then(|p| surplus_by_pool.get_mut(p));
        if let Some(n) = surplus.filter(|n| **n > 0) {
            *n -= 1;
            spare.push(id.clone());
        }
    }
    spare
}

/// Number of hosts that a pool has beyond its size; all of them if it is no longer declared.
fn surplus(host_counts: &BTreeMap<&str, usize>, file: &FleetFile, pool: &str) -> usize {
    let count = host_counts.get(pool).copied().unwrap_or(0);
    let size = file.pools.iter().find(|p| p.name == pool).map_or(0, |p| p.size as usize);
    count.saturating_sub(size)
}
