//! Plans which hosts move between pools.
//!
//! Demand shifts between services within seconds, and hosts that are on cost money while they are
//! idle. A pool that is short of hosts gets hosts that are turned off, or idle ones of a pool with
//! a surplus; a pool that has had a surplus for some time has hosts turned off. Only empty hosts
//! move, since a move ends all tasks on the host. Moves are carried out by
//! [`pool_moves`](super::pool_moves).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::demand_history::DemandHistory;
use super::pool_count::PoolCount;
use super::pool_moves::PoolMove;
use super::pool_need::Need;
use super::scheduler::Scheduler;
use super::task_queue::TaskQueue;
use crate::ids::{HostId, ServiceId};

/// Interval of the log lines on each pool.
const POOL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State of the planning of pools.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Moves under way, by host.
    pub moves: BTreeMap<HostId, PoolMove>,
    /// Need of each service, in hosts.
    pub(super) need: BTreeMap<ServiceId, Need>,
    /// Moves that the platform reported as impossible.
    pub(super) impossible_moves: BTreeSet<(HostId, ServiceId)>,
    /// Recent moves, with time and pool; the list of hosts may be older.
    pub(super) recent_moves: BTreeMap<HostId, (Duration, ServiceId)>,
    /// Hosts on their way to a pool, with the time at which they were last seen moving.
    pub(super) arriving: BTreeMap<HostId, Duration>,
    /// Number of absent long-running tasks of each service for which the pool had no place.
    pub(super) short_for_absent: BTreeMap<ServiceId, usize>,
    /// Recent history of submitted work, by service.
    pub(super) demand: BTreeMap<ServiceId, DemandHistory>,
    /// Number of hosts that each pool had before any work was submitted.
    pub(super) declared_sizes: BTreeMap<ServiceId, usize>,
    /// Services that have had work.
    pub(super) services_with_work: BTreeSet<ServiceId>,
    /// Number of move orders that may be sent at once.
    pub(super) order_budget: f64,
    /// When `order_budget` was last updated.
    pub(super) order_budget_updated_at: Duration,
    /// When the pools were last logged.
    logged_at: Duration,
    /// When the need was last computed.
    pub(super) need_computed_at: Duration,
}

/// The need and the size of a service's pool.
struct Pool {
    /// Hosts that it needs.
    need: Need,
    /// Number of hosts that it has or is about to get.
    have: f64,
}

impl Scheduler {
    /// The service whose hosts are turned off, if there is one; pools change only if there is.
    pub(super) fn spare_pool(&self) -> Option<ServiceId> {
        let mut spare = self.config.services.values().filter(|s| s.spare).map(|s| s.name.clone());
        spare.next()
    }

    /// Services whose hosts are turned on.
    pub(super) fn active_services(&self) -> Vec<ServiceId> {
        self.config.services.values().filter(|s| !s.spare).map(|s| s.name.clone()).collect()
    }

    /// Number of hosts in a share of all hosts, at least one.
    pub(super) fn share_of_hosts(&self, share: f64) -> f64 {
        (self.hosts.len() as f64 * share).round().max(1.0)
    }

    /// Number of hosts that a pool keeps above its need.
    pub(super) fn margin(&self) -> f64 {
        self.share_of_hosts(self.policy.pools.margin)
    }

    /// Records how many hosts operators gave each pool. Once work has been submitted, pool sizes
    /// are the scheduler's own.
    pub(super) fn record_declared_sizes(&mut self) {
        if !self.pools.demand.is_empty()
            || !self.pools.moves.is_empty()
            || !self.pools.services_with_work.is_empty()
        {
            return;
        }
        self.pools.declared_sizes.clear();
        for host in self.hosts.values() {
            *self.pools.declared_sizes.entry(host.pool.clone()).or_insert(0) += 1;
        }
    }

    /// Computes the need of all pools, decides on new moves and advances those under way.
    pub(super) fn plan_pools(&mut self) {
        if self.hosts.is_empty() {
            return;
        }
        let mut count = self.count_pools();
        self.compute_need(&count);
        if let Some(spare) = self.spare_pool() {
            self.provide_for_absent_tasks(&spare, &mut count);
            self.fill_pools(&spare, &mut count);
            self.trim_pools(&spare, &mut count);
        }
        self.order_moves();
        self.log_pools();
    }

    /// Logs the state of the pools at intervals.
    fn log_pools(&mut self) {
        if self.now < self.pools.logged_at + POOL_LOG_INTERVAL {
            return;
        }
        self.pools.logged_at = self.now;
        let count = self.count_pools();
        for s in self.active_services() {
            let note = self.pool_log_line(&count, &s);
            self.notes.push(format_args!("{note}"));
        }
    }

    /// The log line on a service's pool; counts are of hosts.
    fn pool_log_line(&self, count: &PoolCount, service: &ServiceId) -> String {
        let Pool { need, have } = self.pool(count, service);
        let (used, size) = (self.workers.resources_in_use(service), self.workers.largest_capacity(service));
        let busy = used.cpu_millis as f64 / size.cpu_millis.max(1) as f64;
        let waiting = self.ready.get(service).map_or(0, TaskQueue::count);
        let Need { now, soon, lend_floor, power_off_floor } = need;
        let moving = self.pools.moves.len();
        let no_place = self.pools.short_for_absent.get(service).copied().unwrap_or(0);
        format!(
            "event=pool_state service={service} have={have} busy={busy:.1} need_now={now:.1} need_soon={soon:.1} \
             need_lend={lend_floor:.1} need_keep={power_off_floor:.1} waiting={waiting} moving={moving} \
             absent_without_place={no_place}"
        )
    }

    /// The need of a service's pool, and the number of hosts that it has or is about to get.
    fn pool(&self, count: &PoolCount, service: &ServiceId) -> Pool {
        let need = self.pools.need.get(service).copied().unwrap_or_default();
        Pool { need, have: count.hosts_in(service) as f64 }
    }

    /// Whether a host's pool can spare it. A host that is turned off, or whose data centre is being
    /// evacuated, can always be spared.
    pub(super) fn can_spare(&self, count: &PoolCount, host: &HostId) -> bool {
        let Some(host) = self.hosts.get(host) else { return false };
        if self.is_evacuated(host) || self.config.services.get(&host.pool).is_some_and(|s| s.spare) {
            return true;
        }
        self.has_surplus(count, &host.pool)
    }

    /// Whether a pool has at least one host more than its lend floor and margin.
    pub(super) fn has_surplus(&self, count: &PoolCount, service: &ServiceId) -> bool {
        let pool = self.pool(count, service);
        pool.have >= (pool.need.lend_floor + self.margin()).ceil() + 1.0
    }

    /// Whether a pool has at least one host more than it could use now.
    pub(super) fn exceeds_need(&self, count: &PoolCount, service: &ServiceId) -> bool {
        let pool = self.pool(count, service);
        pool.have >= pool.need.now.ceil() + 1.0
    }

    /// Whether a pool has fewer hosts than it is expected to need soon, margin included. Before its
    /// first work, a pool is assumed to have the right size, also while its hosts start.
    fn is_short(&self, count: &PoolCount, service: &ServiceId) -> bool {
        if !self.pools.services_with_work.contains(service) {
            return false;
        }
        let pool = self.pool(count, service);
        pool.have < (pool.need.soon + self.margin()).ceil()
    }

    /// Services whose pools are short of hosts, also of some for absent long-running tasks.
    pub(super) fn short_pools(&self, count: &PoolCount) -> Vec<ServiceId> {
        let lacks_place = |s: &ServiceId| self.pools.short_for_absent.get(s).is_some_and(|tasks| *tasks > 0);
        self.active_services().into_iter().filter(|s| lacks_place(s) || self.is_short(count, s)).collect()
    }

    /// Whether as many moves are under way as are allowed when one to the spare pool, or to another
    /// pool, begins.
    fn move_limit_reached(&self, to_spare_pool: bool) -> bool {
        self.pools.moves.len() as f64 >= self.max_moves(to_spare_pool)
    }

    /// Begins moves to pools that are short of hosts.
    fn fill_pools(&mut self, spare: &ServiceId, count: &mut PoolCount) {
        let mut services = self.active_services();
        // The pool that is shortest goes first, by tenths of a host.
        let short = |p: &Pool| ((p.need.soon - p.have) * 10.0) as i64;
        services.sort_by_key(|s| (Reverse(short(&self.pool(count, s))), s.clone()));
        for s in &services {
            while self.is_short(count, s) && !self.move_limit_reached(false) {
                let found = self.free_host(spare, s, count);
                let found = found.or_else(|| self.surplus_host(&services, s, count));
                let Some(host) = found else { break };
                self.begin_free_host_move(host, s, count);
            }
        }
    }

    /// A free host of a pool that has a surplus.
    fn surplus_host(&self, services: &[ServiceId], to: &ServiceId, count: &mut PoolCount) -> Option<HostId> {
        let donors = services.iter().filter(|s| *s != to).filter(|s| self.has_surplus(count, s));
        let donors: Vec<&ServiceId> = donors.collect();
        donors.into_iter().filter_map(|s| self.free_host(s, to, count)).min()
    }

    /// The first free host of pool `from`, by name, whose move to `to` was not reported impossible.
    fn free_host(&self, from: &ServiceId, to: &ServiceId, count: &mut PoolCount) -> Option<HostId> {
        let here = count.free(self).get(from)?;
        let may = |host: &&HostId| !self.pools.impossible_moves.contains(&((*host).clone(), to.clone()));
        here.keys().find(may).cloned()
    }

    /// Begins the move of a free host.
    pub(super) fn begin_free_host_move(&mut self, host: HostId, to: &ServiceId, count: &mut PoolCount) {
        let Some(from) = self.hosts.get(&host).map(|host| host.pool.clone()) else { return };
        let worker = count.record_move(&host, &from, to);
        self.begin_move(host, to.clone(), worker);
    }

    /// Turns off hosts that their pools have not needed for some time.
    fn trim_pools(&mut self, spare: &ServiceId, count: &mut PoolCount) {
        for s in self.active_services() {
            let pool = self.pool(count, &s);
            let keeps = (pool.need.power_off_floor + self.margin()).ceil()
                + self.share_of_hosts(self.policy.pools.surplus);
            if pool.have < keeps {
                continue;
            }
            let over = pool.have - keeps;
            for _ in 0..=(over as usize) {
                if self.move_limit_reached(true) {
                    return;
                }
                let Some(host) = self.free_host(&s, spare, count) else { break };
                self.begin_free_host_move(host, spare, count);
            }
        }
    }
}
