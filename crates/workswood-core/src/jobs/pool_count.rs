//! Counts and free hosts of all pools for one planning pass.
//!
//! They are collected in one pass and updated with each decision. Collecting them again for each
//! host would make a planning pass quadratic in the number of hosts.

use std::collections::{BTreeMap, BTreeSet};

use super::host::{Host, HostState};
use super::job::WorkerId;
use super::scheduler::Scheduler;
use crate::ids::{HostId, ServiceId};

/// Hosts of one pool that may move to another now, with their workers.
type FreeHosts = BTreeMap<HostId, Option<WorkerId>>;

/// Counts of all pools in one planning pass.
#[derive(Debug, Default)]
pub(super) struct PoolCount {
    /// Number of hosts that each pool has or is about to get.
    have: BTreeMap<ServiceId, usize>,
    /// Free hosts by pool, collected on first use.
    free: Option<BTreeMap<ServiceId, FreeHosts>>,
}

impl PoolCount {
    /// Number of hosts that a pool has or is about to get.
    pub(super) fn hosts_in(&self, service: &ServiceId) -> usize {
        self.have.get(service).copied().unwrap_or(0)
    }

    /// Free hosts by pool.
    pub(super) fn free(&mut self, sched: &Scheduler) -> &BTreeMap<ServiceId, FreeHosts> {
        self.free.get_or_insert_with(|| sched.free_hosts())
    }

    /// Keeps free hosts in their pool.
    pub(super) fn keep_hosts(&mut self, sched: &Scheduler, pool: &ServiceId, kept: &BTreeSet<HostId>) {
        if kept.is_empty() {
            return;
        }
        let free = self.free.get_or_insert_with(|| sched.free_hosts());
        if let Some(free) = free.get_mut(pool) {
            free.retain(|host, _| !kept.contains(host));
        }
    }

    /// Counts a free host for another pool; returns its worker.
    pub(super) fn record_move(
        &mut self,
        host: &HostId,
        from: &ServiceId,
        to: &ServiceId,
    ) -> Option<WorkerId> {
        self.remove_host(from);
        *self.have.entry(to.clone()).or_default() += 1;
        self.free.as_mut()?.get_mut(from)?.remove(host)?
    }

    /// Removes a host from the count of a pool.
    pub(super) fn remove_host(&mut self, pool: &ServiceId) {
        let have = self.have.entry(pool.clone()).or_default();
        *have = have.saturating_sub(1);
    }
}

/// Whether a host is in service, or will be once its move is complete.
pub(super) fn is_up_or_moving(host: &Host) -> bool {
    matches!(host.state, HostState::Up | HostState::Moving)
}

impl Scheduler {
    /// Counts the hosts that each pool has or is about to get.
    pub(super) fn count_pools(&self) -> PoolCount {
        let mut have: BTreeMap<ServiceId, usize> = BTreeMap::new();
        let mut add = |pool: &ServiceId| match have.get_mut(pool) {
            Some(n) => *n += 1,
            None => _ = have.insert(pool.clone(), 1),
        };
        let to_cordon = self.hosts_to_cordon();
        let leaves = |host: &Host| {
            let moving =
                || self.pools.moves.get(&host.name).is_some_and(|pool_move| pool_move.to != host.pool);
            to_cordon.contains(&host.name) && (moving() || self.in_maintenance(&host.name))
        };
        let stay = self
            .hosts
            .values()
            .filter(|host| is_up_or_moving(host) && !self.is_evacuated(host) && !leaves(host));
        stay.for_each(|host| add(&host.pool));
        let moving = self.pools.moves.iter();
        let comes = |host: &Host, to: &ServiceId| host.pool != *to && !self.is_evacuated(host);
        let come = moving
            .filter(|(name, pool_move)| self.hosts.get(*name).is_none_or(|host| comes(host, &pool_move.to)));
        come.for_each(|(_, pool_move)| add(&pool_move.to));
        PoolCount { have, free: None }
    }

    /// Hosts that may move to another pool now, by pool: those that are turned off, and those whose
    /// worker is reachable and idle. There is no minimum stay: after a takeover all workers look
    /// new.
    fn free_hosts(&self) -> BTreeMap<ServiceId, FreeHosts> {
        let spare = self.spare_pool();
        let to_cordon = self.hosts_to_cordon();
        let may_move = |host: &&Host| {
            let up = host.state == HostState::Up && !self.is_evacuated(host);
            up && !to_cordon.contains(&host.name) && self.may_order(&host.name)
        };
        let mut free: BTreeMap<ServiceId, FreeHosts> = BTreeMap::new();
        for host in self.hosts.values().filter(may_move) {
            let worker = self.current_worker_on(&host.name).or(host.worker.as_ref());
            if spare.as_ref() == Some(&host.pool) || worker.is_some_and(|id| self.is_idle_worker(id)) {
                free.entry(host.pool.clone()).or_default().insert(host.name.clone(), worker.cloned());
            }
        }
        free
    }

    /// Whether a worker is reachable and is known to run nothing.
    fn is_idle_worker(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|w| w.reachable && w.runs.is_empty()) && self.is_settled(id)
    }

    /// The current incarnation of the worker of a host, as reported by the workers. An unlisted
    /// incarnation may be cut off and still run tasks; an ended one may stay listed for a while but
    /// does not answer. Reachable ones are preferred, then listed, then busy ones.
    pub(super) fn current_worker_on(&self, host: &HostId) -> Option<&WorkerId> {
        let incarnations = self.workers.on_host(host).iter();
        let known = incarnations.filter_map(|id| Some((id, self.workers.get(id)?)));
        let counts = known.filter(|(_, w)| w.listed || !w.runs.is_empty());
        let best = counts.max_by_key(|(id, w)| (w.reachable, w.listed, !w.runs.is_empty(), *id));
        best.map(|(id, _)| id)
    }
}
