//! All lives of workers, with what is asked of many of them at once.
//!
//! Which worker has room for a task, what a service's pool carries, who is silent
//! and what lives stand on a host is asked for each task or each tick. So these
//! answers are kept as workers change. A worker is changed through a [`WorkerMut`],
//! which brings them up to date when it is dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};
use std::sync::Arc;

use super::accounts::{Accounts, Change};
use super::map::Map;
use super::spec::Room;
use super::worker::{Worker, WorkerInfo};
use super::worker_id::WorkerId;
use crate::ids::{DataCentre, HostId, ServiceId};

/// Free processor room in thousandths of a core, and the worker that has it.
type FreeCpu = (u64, WorkerId);

/// Workers of one service.
#[derive(Debug, Default)]
struct Pool {
    /// Workers that take work, by the faults held against them and by free room.
    available: BTreeMap<u32, BTreeSet<FreeCpu>>,
    /// Room that runs take where new work may begin.
    used: Room,
    /// Capacities of listed workers, by processor first, with how many have each.
    capacities: BTreeMap<(u64, u64, u64), usize>,
}

/// What the answers hold of one worker.
#[derive(Debug, Default)]
struct IndexedState {
    info: Option<Arc<WorkerInfo>>,
    /// Faults and free processor room, if it takes work.
    available: Option<(u32, u64)>,
    used: Room,
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
    pools: Map<ServiceId, Pool>,
    by_host: Map<HostId, Vec<WorkerId>>,
    by_data_centre: Map<DataCentre, usize>,
    /// Lives by the name of their worker.
    by_name: Map<String, Vec<WorkerId>>,
    unreachable: BTreeSet<WorkerId>,
    draining: BTreeSet<WorkerId>,
    accounts: Accounts,
}

/// All lives of workers that are known.
#[derive(Debug, Default)]
pub struct WorkerIndex {
    by_id: Map<WorkerId, WorkerSlot>,
    index: SecondaryIndexes,
}

/// A worker that is being changed.
pub struct WorkerMut<'a> {
    slot: &'a mut WorkerSlot,
    index: &'a mut SecondaryIndexes,
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
        self.index.update(self.slot);
    }
}

impl WorkerIndex {
    /// A worker.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.by_id.get(id).map(|e| &e.worker)
    }

    /// Whether a worker is known.
    pub fn contains_key(&self, id: &WorkerId) -> bool {
        self.by_id.contains_key(id)
    }

    /// A worker, to change.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<WorkerMut<'_>> {
        let slot = self.by_id.get_mut(id)?;
        Some(WorkerMut { slot, index: &mut self.index })
    }

    /// A worker to change; one that is not known yet is made.
    pub fn get_or_insert_with(&mut self, id: &WorkerId, new: impl FnOnce() -> Worker) -> WorkerMut<'_> {
        let lives = &mut self.index.by_name;
        let insert = || {
            lives.entry(id.name().to_string()).or_default().push(id.clone());
            WorkerSlot { id: id.clone(), worker: new(), indexed: IndexedState::default() }
        };
        let slot = self.by_id.entry(id.clone()).or_insert_with(insert);
        WorkerMut { slot, index: &mut self.index }
    }

    /// Forgets a worker.
    pub fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let mut slot = self.by_id.remove(id)?;
        self.index.forget(&mut slot);
        let runs = std::mem::take(&mut slot.worker.runs);
        runs.values().for_each(|held| self.index.accounts.take(Change::GivenBack(*held)));
        slot.worker.runs = runs;
        Some(slot.worker)
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.by_id.values().map(|e| (&e.id, &e.worker))
    }

    /// All workers, without their names.
    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.by_id.values().map(|e| &e.worker)
    }

    /// Does something with each worker.
    pub fn for_each_mut(&mut self, mut f: impl FnMut(&mut Worker)) {
        for slot in self.by_id.values_mut() {
            f(&mut WorkerMut { slot, index: &mut self.index });
        }
    }

    /// Workers of a service that may be given work and have so much free processor
    /// room: those with the fewest faults first, among them the fullest. A worker may
    /// be shunned for a while nevertheless.
    pub fn available(&self, service: &str, cpu_millis: u64) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        let levels = self.index.pools.get(service).into_iter().flat_map(|p| p.available.values());
        let least = (cpu_millis, WorkerId::default());
        let free = levels.flat_map(move |level| level.range(least.clone()..));
        free.filter_map(|(_, id)| Some((id, self.get(id)?)))
    }

    /// Room that runs take in a service, outside of data centres that are being evacuated.
    pub fn room_in_use(&self, service: &str) -> Room {
        self.index.pools.get(service).map(|p| p.used).unwrap_or_default()
    }

    /// What each workspace has at work.
    pub fn accounts(&self) -> &Accounts {
        &self.index.accounts
    }

    /// Processor room of all workers that are listed for a service, in thousandths of a core.
    pub fn listed_cpu(&self, service: &str) -> u64 {
        let pool = self.index.pools.get(service);
        let capacities = pool.into_iter().flat_map(|p| &p.capacities);
        capacities.map(|((cpu, _, _), count)| cpu * *count as u64).sum()
    }

    /// Room of the largest worker that is listed for a service.
    pub fn largest_capacity(&self, service: &str) -> Room {
        let pool = self.index.pools.get(service);
        let largest = pool.and_then(|p| p.capacities.keys().next_back());
        largest.map_or(Room::default(), |(cpu, mem, gpus)| Room {
            cpu_millis: *cpu,
            mem_mb: *mem,
            gpus: *gpus,
        })
    }

    /// Lives that say they stand on a host.
    pub fn on_host(&self, host: &str) -> &[WorkerId] {
        self.index.by_host.get(host).map(Vec::as_slice).unwrap_or_default()
    }

    /// Lives of the worker of a name.
    pub fn incarnations_of(&self, name: &str) -> &[WorkerId] {
        self.index.by_name.get(name).map(Vec::as_slice).unwrap_or_default()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// How many stand in a data centre.
    pub fn count_in_data_centre(&self, dc: &str) -> usize {
        self.index.by_data_centre.get(dc).copied().unwrap_or(0)
    }

    /// Workers that have not answered their last look.
    pub fn unreachable(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.index.unreachable.iter().filter_map(|id| Some((id, self.get(id)?)))
    }

    /// Workers that say they are leaving.
    pub fn draining(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.index.draining.iter().filter_map(|id| Some((id, self.get(id)?)))
    }
}

impl SecondaryIndexes {
    /// Takes in what changed of a worker.
    fn update(&mut self, e: &mut WorkerSlot) {
        e.worker.account_changes.drain(..).for_each(|change| self.accounts.take(change));
        let w = &e.worker;
        let same_info = match (&e.indexed.info, &w.info) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        if !same_info || e.indexed.listed != w.listed {
            self.leave_pool(&e.id, &mut e.indexed);
            self.enter_pool(&e.id, w, &mut e.indexed);
        }
        self.update_room(&e.id, w, &mut e.indexed);
        if e.indexed.unreachable == w.reachable {
            e.indexed.unreachable = !w.reachable;
            set_membership(&mut self.unreachable, &e.id, !w.reachable);
        }
    }

    /// Takes in what changes with each run.
    fn update_room(&mut self, id: &WorkerId, w: &Worker, indexed: &mut IndexedState) {
        let Some(pool) = indexed.info.as_ref().and_then(|i| self.pools.get_mut(&i.service)) else { return };
        let used = if w.evacuated { Room::default() } else { w.used_room };
        if indexed.used != used {
            pool.used = pool.used.minus(&indexed.used);
            pool.used.add(&used);
            indexed.used = used;
        }
        let available = w.accepts_work().then(|| (w.faults, w.free_room().cpu_millis));
        if indexed.available != available {
            pool.remove_available(id, indexed.available);
            indexed.available = available;
            if let Some((faults, free)) = available {
                pool.available.entry(faults).or_default().insert((free, id.clone()));
            }
        }
    }

    fn enter_pool(&mut self, id: &WorkerId, w: &Worker, indexed: &mut IndexedState) {
        indexed.info = w.info.clone();
        indexed.listed = w.listed;
        let Some(info) = &w.info else { return };
        let pool = self.pools.entry(info.service.clone()).or_default();
        if w.listed {
            *pool.capacities.entry(cpu_first_key(&info.capacity)).or_default() += 1;
        }
        self.by_host.entry(info.host.clone()).or_default().push(id.clone());
        *self.by_data_centre.entry(info.data_centre.clone()).or_default() += 1;
        set_membership(&mut self.draining, id, info.draining);
    }

    fn leave_pool(&mut self, id: &WorkerId, indexed: &mut IndexedState) {
        let Some(info) = indexed.info.take() else { return };
        if let Some(lives) = self.by_host.get_mut(&info.host) {
            lives.retain(|other| other != id);
            if lives.is_empty() {
                self.by_host.remove(&info.host);
            }
        }
        if let Some(n) = self.by_data_centre.get_mut(&info.data_centre) {
            *n -= 1;
        }
        self.draining.remove(id);
        let Some(pool) = self.pools.get_mut(&info.service) else { return };
        pool.used = pool.used.minus(&std::mem::take(&mut indexed.used));
        pool.remove_available(id, indexed.available.take());
        if indexed.listed {
            pool.remove_capacity(&info.capacity);
        }
    }

    fn forget(&mut self, e: &mut WorkerSlot) {
        self.leave_pool(&e.id, &mut e.indexed);
        self.unreachable.remove(&e.id);
        if let Some(lives) = self.by_name.get_mut(e.id.name()) {
            lives.retain(|life| *life != e.id);
            if lives.is_empty() {
                self.by_name.remove(e.id.name());
            }
        }
    }
}

impl Pool {
    fn remove_available(&mut self, id: &WorkerId, available: Option<(u32, u64)>) {
        let Some((faults, free)) = available else { return };
        let Some(level) = self.available.get_mut(&faults) else { return };
        level.remove(&(free, id.clone()));
        if level.is_empty() {
            self.available.remove(&faults);
        }
    }

    fn remove_capacity(&mut self, capacity: &Room) {
        let key = cpu_first_key(capacity);
        let Some(n) = self.capacities.get_mut(&key) else { return };
        *n -= 1;
        if *n == 0 {
            self.capacities.remove(&key);
        }
    }
}

/// A room in an order that looks at the processor first.
fn cpu_first_key(room: &Room) -> (u64, u64, u64) {
    (room.cpu_millis, room.mem_mb, room.gpus)
}

fn set_membership(all: &mut BTreeSet<WorkerId>, id: &WorkerId, member: bool) {
    if member {
        all.insert(id.clone());
    } else {
        all.remove(id);
    }
}
