//! All lives of workers, with what is asked of many of them at once.
//!
//! Which worker has room for a task, what a service's pool carries, who is silent
//! and what lives stand on a host is asked for each task or each tick. So these
//! answers are kept as workers change. A worker is changed through a [`WorkerMut`],
//! which brings them up to date when it is dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};
use std::sync::Arc;

use super::spec::Resources;
use super::stable_map::StableMap;
use super::worker::{Worker, WorkerInfo};
use super::worker_id::WorkerId;
use super::workspace_usage::{UsageChange, WorkspaceUsage};
use crate::ids::{DataCentre, HostId, ServiceId};

/// Free processor room in thousandths of a core, and the worker that has it.
type Free = (u64, WorkerId);

/// Workers of one service.
#[derive(Debug, Default)]
struct Pool {
    /// Workers that take work, by the faults held against them and by free room.
    takers: BTreeMap<u32, BTreeSet<Free>>,
    /// Room that runs take where new work may begin.
    used: Resources,
    /// Capacities of listed workers, by processor first, with how many have each.
    capacities: BTreeMap<(u64, u64, u64), usize>,
}

/// What the answers hold of one worker.
#[derive(Debug, Default)]
struct Kept {
    info: Option<Arc<WorkerInfo>>,
    /// Faults and free processor room, if it takes work.
    taker: Option<(u32, u64)>,
    used: Resources,
    listed: bool,
    silent: bool,
}

#[derive(Debug)]
struct Entry {
    id: WorkerId,
    worker: Worker,
    kept: Kept,
}

#[derive(Debug, Default)]
struct Index {
    pools: StableMap<ServiceId, Pool>,
    by_host: StableMap<HostId, Vec<WorkerId>>,
    by_data_centre: StableMap<DataCentre, usize>,
    /// Lives by the name of their worker.
    by_name: StableMap<String, Vec<WorkerId>>,
    silent: BTreeSet<WorkerId>,
    leaving: BTreeSet<WorkerId>,
    accounts: WorkspaceUsage,
}

/// All lives of workers that are known.
#[derive(Debug, Default)]
pub struct Workers {
    by_id: StableMap<WorkerId, Entry>,
    index: Index,
}

/// A worker that is being changed.
pub struct WorkerMut<'a> {
    entry: &'a mut Entry,
    index: &'a mut Index,
}

impl Deref for WorkerMut<'_> {
    type Target = Worker;

    fn deref(&self) -> &Worker {
        &self.entry.worker
    }
}

impl DerefMut for WorkerMut<'_> {
    fn deref_mut(&mut self) -> &mut Worker {
        &mut self.entry.worker
    }
}

impl Drop for WorkerMut<'_> {
    fn drop(&mut self) {
        self.index.update(self.entry);
    }
}

impl Workers {
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
        let entry = self.by_id.get_mut(id)?;
        Some(WorkerMut { entry, index: &mut self.index })
    }

    /// A worker to change; one that is not known yet is made.
    pub fn get_or_insert_with(&mut self, id: &WorkerId, new: impl FnOnce() -> Worker) -> WorkerMut<'_> {
        let lives = &mut self.index.by_name;
        let make = || {
            lives.entry(id.name().to_string()).or_default().push(id.clone());
            Entry { id: id.clone(), worker: new(), kept: Kept::default() }
        };
        let entry = self.by_id.entry(id.clone()).or_insert_with(make);
        WorkerMut { entry, index: &mut self.index }
    }

    /// Forgets a worker.
    pub fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let mut entry = self.by_id.remove(id)?;
        self.index.forget(&mut entry);
        let runs = std::mem::take(&mut entry.worker.runs);
        runs.values().for_each(|held| self.index.accounts.apply(UsageChange::Released(*held)));
        entry.worker.runs = runs;
        Some(entry.worker)
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
        for entry in self.by_id.values_mut() {
            f(&mut WorkerMut { entry, index: &mut self.index });
        }
    }

    /// Workers of a service that may be given work and have so much free processor
    /// room: those with the fewest faults first, among them the fullest. A worker may
    /// be shunned for a while nevertheless.
    pub fn takers(&self, service: &str, cpu_millis: u64) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        let levels = self.index.pools.get(service).into_iter().flat_map(|p| p.takers.values());
        let least = (cpu_millis, WorkerId::default());
        let free = levels.flat_map(move |level| level.range(least.clone()..));
        free.filter_map(|(_, id)| Some((id, self.get(id)?)))
    }

    /// Room that runs take in a service, outside of data centres that are being evacuated.
    pub fn room_in_use(&self, service: &str) -> Resources {
        self.index.pools.get(service).map(|p| p.used).unwrap_or_default()
    }

    /// What each workspace has at work.
    pub fn accounts(&self) -> &WorkspaceUsage {
        &self.index.accounts
    }

    /// Processor room of all workers that are listed for a service, in thousandths of a core.
    pub fn cpu_of(&self, service: &str) -> u64 {
        let pool = self.index.pools.get(service);
        let capacities = pool.into_iter().flat_map(|p| &p.capacities);
        capacities.map(|((cpu, _, _), count)| cpu * *count as u64).sum()
    }

    /// Room of the largest worker that is listed for a service.
    pub fn largest(&self, service: &str) -> Resources {
        let pool = self.index.pools.get(service);
        let largest = pool.and_then(|p| p.capacities.keys().next_back());
        largest.map_or(Resources::default(), |(cpu, mem, gpus)| Resources {
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
    pub fn lives_of(&self, name: &str) -> &[WorkerId] {
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
    pub fn count_in(&self, dc: &str) -> usize {
        self.index.by_data_centre.get(dc).copied().unwrap_or(0)
    }

    /// Workers that have not answered their last look.
    pub fn silent(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.index.silent.iter().filter_map(|id| Some((id, self.get(id)?)))
    }

    /// Workers that say they are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.index.leaving.iter().filter_map(|id| Some((id, self.get(id)?)))
    }
}

impl Index {
    /// Takes in what changed of a worker.
    fn update(&mut self, e: &mut Entry) {
        e.worker.changes.drain(..).for_each(|change| self.accounts.apply(change));
        let w = &e.worker;
        let same_info = match (&e.kept.info, &w.info) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        if !same_info || e.kept.listed != w.listed {
            self.leave_pool(&e.id, &mut e.kept);
            self.enter_pool(&e.id, w, &mut e.kept);
        }
        self.update_room(&e.id, w, &mut e.kept);
        if e.kept.silent == w.reachable {
            e.kept.silent = !w.reachable;
            set(&mut self.silent, &e.id, !w.reachable);
        }
    }

    /// Takes in what changes with each run.
    fn update_room(&mut self, id: &WorkerId, w: &Worker, kept: &mut Kept) {
        let Some(pool) = kept.info.as_ref().and_then(|i| self.pools.get_mut(&i.service)) else { return };
        let used = if w.evacuated { Resources::default() } else { w.used };
        if kept.used != used {
            pool.used = pool.used.saturating_sub(&kept.used);
            pool.used.add(&used);
            kept.used = used;
        }
        let taker = w.takes_work().then(|| (w.faults, w.free().cpu_millis));
        if kept.taker != taker {
            pool.remove_taker(id, kept.taker);
            kept.taker = taker;
            if let Some((faults, free)) = taker {
                pool.takers.entry(faults).or_default().insert((free, id.clone()));
            }
        }
    }

    fn enter_pool(&mut self, id: &WorkerId, w: &Worker, kept: &mut Kept) {
        kept.info = w.info.clone();
        kept.listed = w.listed;
        let Some(info) = &w.info else { return };
        let pool = self.pools.entry(info.service.clone()).or_default();
        if w.listed {
            *pool.capacities.entry(in_order(&info.capacity)).or_default() += 1;
        }
        self.by_host.entry(info.host.clone()).or_default().push(id.clone());
        *self.by_data_centre.entry(info.data_centre.clone()).or_default() += 1;
        set(&mut self.leaving, id, info.draining);
    }

    fn leave_pool(&mut self, id: &WorkerId, kept: &mut Kept) {
        let Some(info) = kept.info.take() else { return };
        if let Some(lives) = self.by_host.get_mut(&info.host) {
            lives.retain(|other| other != id);
            if lives.is_empty() {
                self.by_host.remove(&info.host);
            }
        }
        if let Some(n) = self.by_data_centre.get_mut(&info.data_centre) {
            *n -= 1;
        }
        self.leaving.remove(id);
        let Some(pool) = self.pools.get_mut(&info.service) else { return };
        pool.used = pool.used.saturating_sub(&std::mem::take(&mut kept.used));
        pool.remove_taker(id, kept.taker.take());
        if kept.listed {
            pool.remove_capacity(&info.capacity);
        }
    }

    fn forget(&mut self, e: &mut Entry) {
        self.leave_pool(&e.id, &mut e.kept);
        self.silent.remove(&e.id);
        if let Some(lives) = self.by_name.get_mut(e.id.name()) {
            lives.retain(|life| *life != e.id);
            if lives.is_empty() {
                self.by_name.remove(e.id.name());
            }
        }
    }
}

impl Pool {
    fn remove_taker(&mut self, id: &WorkerId, taker: Option<(u32, u64)>) {
        let Some((faults, free)) = taker else { return };
        let Some(level) = self.takers.get_mut(&faults) else { return };
        level.remove(&(free, id.clone()));
        if level.is_empty() {
            self.takers.remove(&faults);
        }
    }

    fn remove_capacity(&mut self, capacity: &Resources) {
        let key = in_order(capacity);
        let Some(n) = self.capacities.get_mut(&key) else { return };
        *n -= 1;
        if *n == 0 {
            self.capacities.remove(&key);
        }
    }
}

/// A room in an order that looks at the processor first.
fn in_order(room: &Resources) -> (u64, u64, u64) {
    (room.cpu_millis, room.mem_mb, room.gpus)
}

fn set(all: &mut BTreeSet<WorkerId>, id: &WorkerId, member: bool) {
    if member {
        all.insert(id.clone());
    } else {
        all.remove(id);
    }
}
