//! All known incarnations of workers, with indexes over them.
//!
//! Placement, demand and liveness checks ask for each task or tick which workers have room, what a
//! pool uses, which workers are unreachable and which run on a host. The indexes answer that
//! without a scan. A worker is changed through a [`WorkerMut`], which updates the indexes when it
//! is dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};
use std::sync::Arc;

use super::spec::Resources;
use super::stable_map::StableMap;
use super::worker::{Worker, WorkerInfo};
use super::worker_id::WorkerId;
use super::workspace_usage::{UsageChange, WorkspaceUsage};
use crate::ids::{DataCentre, HostId, ServiceId};

/// Free processor capacity in thousandths of a core, and the worker that has it.
type FreeCpu = (u64, WorkerId);

/// Workers of one service.
#[derive(Debug, Default)]
struct Pool {
    /// Workers that accept work, by number of faults, then by free processor capacity.
    available: BTreeMap<u32, BTreeSet<FreeCpu>>,
    /// Resources in use outside of data centres that are being evacuated.
    used: Resources,
    /// Capacities of listed workers, ordered by processor first, with the number of workers of
    /// each.
    capacities: BTreeMap<(u64, u64, u64), usize>,
}

/// State of one worker as the indexes hold it.
#[derive(Debug, Default)]
struct IndexedState {
    info: Option<Arc<WorkerInfo>>,
    /// Faults and free processor capacity, if the worker accepts work.
    available: Option<(u32, u64)>,
    used: Resources,
    listed: bool,
    unreachable: bool,
}

#[derive(Debug)]
struct WorkerSlot {
    id: WorkerId,
    worker: Worker,
    indexed: IndexedState,
}

#[derive(Debug, Default)]
struct SecondaryIndexes {
    pools: StableMap<ServiceId, Pool>,
    by_host: StableMap<HostId, Vec<WorkerId>>,
    count_by_data_centre: StableMap<DataCentre, usize>,
    /// Incarnations by worker name.
    by_name: StableMap<String, Vec<WorkerId>>,
    unreachable: BTreeSet<WorkerId>,
    draining: BTreeSet<WorkerId>,
    workspace_usage: WorkspaceUsage,
}

/// All known incarnations of workers.
#[derive(Debug, Default)]
pub struct WorkerTable {
    by_id: StableMap<WorkerId, WorkerSlot>,
    indexes: SecondaryIndexes,
}

/// Mutable access to a worker; updates the indexes on drop.
pub struct WorkerMut<'a> {
    slot: &'a mut WorkerSlot,
    indexes: &'a mut SecondaryIndexes,
}

impl Deref for WorkerMut<'_> {
    type Target = Worker;

    fn deref(&self) -> &Worker {
        &self.slot.worker
    }
}

impl DerefMut for WorkerMut<'_> {
    fn deref_mut(&mut self) -> &mut Worker {
        &mut self.slot.worker
    }
}

impl Drop for WorkerMut<'_> {
    fn drop(&mut self) {
        self.indexes.update(self.slot);
    }
}

impl WorkerTable {
    /// Returns a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.by_id.get(id).map(|slot| &slot.worker)
    }

    /// Whether a worker is known.
    pub fn contains_key(&self, id: &WorkerId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns a worker for modification.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<WorkerMut<'_>> {
        let slot = self.by_id.get_mut(id)?;
        Some(WorkerMut { slot, indexes: &mut self.indexes })
    }

    /// Returns a worker for modification, after adding it if it is not known.
    pub fn get_or_insert_with(&mut self, id: &WorkerId, new: impl FnOnce() -> Worker) -> WorkerMut<'_> {
        let incarnations = &mut self.indexes.by_name;
        let insert = || {
            incarnations.entry(id.name().to_string()).or_default().push(id.clone());
            WorkerSlot { id: id.clone(), worker: new(), indexed: IndexedState::default() }
        };
        let slot = self.by_id.entry(id.clone()).or_insert_with(insert);
        WorkerMut { slot, indexes: &mut self.indexes }
    }

    /// Removes a worker from the map and all indexes.
    pub fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let mut slot = self.by_id.remove(id)?;
        self.indexes.remove_from_all_indexes(&mut slot);
        let runs = std::mem::take(&mut slot.worker.runs);
        runs.values().for_each(|held| self.indexes.workspace_usage.apply(UsageChange::Released(*held)));
        slot.worker.runs = runs;
        Some(slot.worker)
    }

    /// Iterates over all workers with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.by_id.values().map(|slot| (&slot.id, &slot.worker))
    }

    /// Iterates over all workers.
    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.by_id.values().map(|slot| &slot.worker)
    }

    /// Calls a function on each worker.
    pub fn for_each_mut(&mut self, mut f: impl FnMut(&mut Worker)) {
        for slot in self.by_id.values_mut() {
            f(&mut WorkerMut { slot, indexes: &mut self.indexes });
        }
    }

    /// Workers of a service that accept work and have at least this much free processor capacity,
    /// in thousandths of a core: those with the fewest faults first, among them the fullest. They
    /// may be in backoff or quarantine.
    pub fn available(&self, service: &str, cpu_millis: u64) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        let by_faults = self.indexes.pools.get(service).into_iter().flat_map(|p| p.available.values());
        let least = (cpu_millis, WorkerId::default());
        let free = by_faults.flat_map(move |same_faults| same_faults.range(least.clone()..));
        free.filter_map(|(_, id)| Some((id, self.get(id)?)))
    }

    /// Resources in use by runs of a service, outside of data centres that are being evacuated.
    pub fn resources_in_use(&self, service: &str) -> Resources {
        self.indexes.pools.get(service).map(|p| p.used).unwrap_or_default()
    }

    /// Resources in use by each workspace.
    pub fn workspace_usage(&self) -> &WorkspaceUsage {
        &self.indexes.workspace_usage
    }

    /// Processor capacity of all listed workers of a service, in thousandths of a core.
    pub fn listed_cpu(&self, service: &str) -> u64 {
        let pool = self.indexes.pools.get(service);
        let capacities = pool.into_iter().flat_map(|p| &p.capacities);
        capacities.map(|((cpu, _, _), count)| cpu * *count as u64).sum()
    }

    /// Capacity of the largest listed worker of a service.
    pub fn largest_capacity(&self, service: &str) -> Resources {
        let pool = self.indexes.pools.get(service);
        let largest = pool.and_then(|p| p.capacities.keys().next_back());
        largest.map_or(Resources::default(), |(cpu, mem, gpus)| Resources {
            cpu_millis: *cpu,
            mem_mb: *mem,
            gpus: *gpus,
        })
    }

    /// Incarnations that report this host as theirs.
    pub fn on_host(&self, host: &str) -> &[WorkerId] {
        self.indexes.by_host.get(host).map(Vec::as_slice).unwrap_or_default()
    }

    /// Known incarnations of the worker with this name.
    pub fn incarnations_of(&self, name: &str) -> &[WorkerId] {
        self.indexes.by_name.get(name).map(Vec::as_slice).unwrap_or_default()
    }

    /// Number of known incarnations.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Number of workers in a data centre.
    pub fn count_in_data_centre(&self, dc: &str) -> usize {
        self.indexes.count_by_data_centre.get(dc).copied().unwrap_or(0)
    }

    /// Workers that are not reachable, including those that have not answered a poll yet.
    pub fn unreachable(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.indexes.unreachable.iter().filter_map(|id| Some((id, self.get(id)?)))
    }

    /// Workers that report that they are draining.
    pub fn draining(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.indexes.draining.iter().filter_map(|id| Some((id, self.get(id)?)))
    }
}

impl SecondaryIndexes {
    /// Brings all indexes up to date with a changed worker.
    fn update(&mut self, slot: &mut WorkerSlot) {
        slot.worker.usage_changes.drain(..).for_each(|change| self.workspace_usage.apply(change));
        let w = &slot.worker;
        let same_info = match (&slot.indexed.info, &w.info) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        if !same_info || slot.indexed.listed != w.listed {
            self.remove_from_info_indexes(&slot.id, &mut slot.indexed);
            self.add_to_info_indexes(&slot.id, w, &mut slot.indexed);
        }
        self.update_resources(&slot.id, w, &mut slot.indexed);
        if slot.indexed.unreachable == w.reachable {
            slot.indexed.unreachable = !w.reachable;
            set_membership(&mut self.unreachable, &slot.id, !w.reachable);
        }
    }

    /// Updates what changes with each run: the resources in use and the availability.
    fn update_resources(&mut self, id: &WorkerId, w: &Worker, indexed: &mut IndexedState) {
        let Some(pool) = indexed.info.as_ref().and_then(|i| self.pools.get_mut(&i.service)) else { return };
        let used = if w.evacuated { Resources::default() } else { w.used_resources };
        if indexed.used != used {
            pool.used = pool.used.saturating_sub(&indexed.used);
            pool.used.add(&used);
            indexed.used = used;
        }
        let available = w.accepts_work().then(|| (w.faults, w.free_resources().cpu_millis));
        if indexed.available != available {
            pool.remove_available(id, indexed.available);
            indexed.available = available;
            if let Some((faults, free)) = available {
                pool.available.entry(faults).or_default().insert((free, id.clone()));
            }
        }
    }

    /// Adds a worker to the indexes by what it reports about itself.
    fn add_to_info_indexes(&mut self, id: &WorkerId, w: &Worker, indexed: &mut IndexedState) {
        indexed.info = w.info.clone();
        indexed.listed = w.listed;
        let Some(info) = &w.info else { return };
        let pool = self.pools.entry(info.service.clone()).or_default();
        if w.listed {
            *pool.capacities.entry(cpu_first_key(&info.capacity)).or_default() += 1;
        }
        self.by_host.entry(info.host.clone()).or_default().push(id.clone());
        *self.count_by_data_centre.entry(info.data_centre.clone()).or_default() += 1;
        set_membership(&mut self.draining, id, info.draining);
    }

    /// Removes a worker from the indexes by what it reports about itself.
    fn remove_from_info_indexes(&mut self, id: &WorkerId, indexed: &mut IndexedState) {
        let Some(info) = indexed.info.take() else { return };
        if let Some(incarnations) = self.by_host.get_mut(&info.host) {
            incarnations.retain(|other| other != id);
            if incarnations.is_empty() {
                self.by_host.remove(&info.host);
            }
        }
        if let Some(n) = self.count_by_data_centre.get_mut(&info.data_centre) {
            *n -= 1;
        }
        self.draining.remove(id);
        let Some(pool) = self.pools.get_mut(&info.service) else { return };
        pool.used = pool.used.saturating_sub(&std::mem::take(&mut indexed.used));
        pool.remove_available(id, indexed.available.take());
        if indexed.listed {
            pool.remove_capacity(&info.capacity);
        }
    }

    /// Removes a worker from all indexes.
    fn remove_from_all_indexes(&mut self, slot: &mut WorkerSlot) {
        self.remove_from_info_indexes(&slot.id, &mut slot.indexed);
        self.unreachable.remove(&slot.id);
        if let Some(incarnations) = self.by_name.get_mut(slot.id.name()) {
            incarnations.retain(|incarnation| *incarnation != slot.id);
            if incarnations.is_empty() {
                self.by_name.remove(slot.id.name());
            }
        }
    }
}

impl Pool {
    fn remove_available(&mut self, id: &WorkerId, available: Option<(u32, u64)>) {
        let Some((faults, free)) = available else { return };
        let Some(same_faults) = self.available.get_mut(&faults) else { return };
        same_faults.remove(&(free, id.clone()));
        if same_faults.is_empty() {
            self.available.remove(&faults);
        }
    }

    fn remove_capacity(&mut self, capacity: &Resources) {
        let key = cpu_first_key(capacity);
        let Some(n) = self.capacities.get_mut(&key) else { return };
        *n -= 1;
        if *n == 0 {
            self.capacities.remove(&key);
        }
    }
}

/// Sort key of a capacity that compares the processor first.
fn cpu_first_key(capacity: &Resources) -> (u64, u64, u64) {
    (capacity.cpu_millis, capacity.mem_mb, capacity.gpus)
}

fn set_membership(all: &mut BTreeSet<WorkerId>, id: &WorkerId, member: bool) {
    if member {
        all.insert(id.clone());
    } else {
        all.remove(id);
    }
}
