//! Hosts of all pools, counted once for a round of decisions.
//!
//! A turn of demand moves hundreds of hosts in one round. What each decision
//! asks for is counted in one pass before, and kept up with what the round
//! decides: counted anew for each host, a round would grow with the square of the hosts.

use std::collections::BTreeMap;

use super::host::{Host, HostState};
use super::job::WorkerId;
use super::scheduler::Scheduler;
use crate::ids::{HostId, ServiceId};

/// Hosts of one pool that may go to another now, with their workers.
type FreeHosts = BTreeMap<HostId, Option<WorkerId>>;

/// Hosts of all pools, as they are in one round.
#[derive(Debug, Default)]
pub(super) struct PoolCount {
    /// How many each pool has or is about to get.
    have: BTreeMap<ServiceId, usize>,
    /// Free hosts by pool, once something asked for them.
    free: Option<BTreeMap<ServiceId, FreeHosts>>,
}

impl PoolCount {
    /// Hosts that a pool has or is about to get.
    pub(super) fn of(&self, service: &ServiceId) -> usize {
        self.have.get(service).copied().unwrap_or(0)
    }

    /// Free hosts by pool.
    pub(super) fn free(&mut self, sched: &Scheduler) -> &BTreeMap<ServiceId, FreeHosts> {
        self.free.get_or_insert_with(|| sched.free_hosts())
    }

    /// A free host goes to another pool; returns its worker.
    pub(super) fn move_free_host(
        &mut self,
        host: &HostId,
        from: &ServiceId,
        to: &ServiceId,
    ) -> Option<WorkerId> {
        self.remove_host(from);
        *self.have.entry(to.clone()).or_default() += 1;
        self.free.as_mut()?.get_mut(from)?.remove(host)?
    }

    /// A host of a pool stays there no longer.
    pub(super) fn remove_host(&mut self, pool: &ServiceId) {
        let have = self.have.entry(pool.clone()).or_default();
        *have = have.saturating_sub(1);
    }
}

/// Whether a host works, or will without an order of ours.
pub(super) fn is_working(m: &Host) -> bool {
    matches!(m.state, HostState::Up | HostState::Moving)
}

impl Scheduler {
    /// Counts the hosts that each pool has or is about to get.
    pub(super) fn count_pools(&self) -> PoolCount {
        let mut have: BTreeMap<ServiceId, usize> = BTreeMap::new();
        let mut add = |pool: &ServiceId| match have.get_mut(pool) {
            Some(n) => *n += 1,
            None => _ = have.insert(pool.clone(), 1),
        };
        let taken = self.hosts_to_cordon();
        let leaves = |m: &Host| {
            let moving = || self.pools.moves.get(&m.name).is_some_and(|v| v.to != m.pool);
            taken.contains(&m.name) && (moving() || self.in_maintenance(&m.name))
        };
        let stay = self.hosts.values().filter(|m| is_working(m) && self.stands_open(m) && !leaves(m));
        stay.for_each(|m| add(&m.pool));
        let moving = self.pools.moves.iter();
        let comes = |m: &Host, to: &ServiceId| m.pool != *to && self.stands_open(m);
        let come = moving.filter(|(name, v)| self.hosts.get(*name).is_none_or(|m| comes(m, &v.to)));
        come.for_each(|(_, v)| add(&v.to));
        PoolCount { have, free: None }
    }

    /// Hosts that may go to another pool now, by pool: those that are off, and
    /// of the others those whose worker answers and runs nothing. One that has
    /// just come may go on at once: to a new lease holder every worker is new, and it would be held up.
    fn free_hosts(&self) -> BTreeMap<ServiceId, FreeHosts> {
        let spare = self.spare_pool();
        let taken = self.hosts_to_cordon();
        let may_move = |m: &&Host| {
            let up = m.state == HostState::Up && self.stands_open(m);
            up && !taken.contains(&m.name) && self.may_order(&m.name)
        };
        let mut free: BTreeMap<ServiceId, FreeHosts> = BTreeMap::new();
        for m in self.hosts.values().filter(may_move) {
            let worker = self.worker_on(&m.name).or(m.worker.as_ref());
            if spare.as_ref() == Some(&m.pool) || worker.is_some_and(|id| self.is_idle_worker(id)) {
                free.entry(m.pool.clone()).or_default().insert(m.name.clone(), worker.cloned());
            }
        }
        free
    }

    /// Whether a worker answers and runs nothing.
    fn is_idle_worker(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|w| w.reachable && w.runs.is_empty())
    }

    /// The worker of a host by the workers' own statements. A life that is not
    /// listed may be cut off and still run tasks; one that is over may be listed for
    /// a while, but does not answer. A new lease holder is told of both, and a
    /// host would be taken for empty whose present life is busy.
    pub(super) fn worker_on(&self, host: &HostId) -> Option<&WorkerId> {
        let lives = self.workers.on_host(host).iter();
        let known = lives.filter_map(|id| Some((id, self.workers.get(id)?)));
        let counts = known.filter(|(_, w)| w.listed || !w.runs.is_empty());
        let best = counts.max_by_key(|(id, w)| (w.reachable, w.listed, !w.runs.is_empty(), *id));
        best.map(|(id, _)| id)
    }
}
