//! Which host changes its pool.
//!
//! Demand turns among services within seconds, and hosts that stand idle in
//! a pool are paid for. So a pool that has more to do than its hosts can
//! carry gets hosts that are off, or empty ones of a pool that has more than
//! it needs; a pool that has had too many for some time gives some up. What
//! runs on a host dies when it moves: only empty hosts do. How a move goes
//! on is in [`pool_moves`](super::pool_moves).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::demand_history::DemandHistory;
use super::pool_count::PoolCount;
use super::pool_moves::PoolMove;
use super::pool_need::Need;
use super::scheduler::Scheduler;
use super::waiting::Waiting;
use crate::ids::{HostId, ServiceId};

/// Time between two lines of the log on each pool.
const POOL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the pools look like to the planner.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Moves under way, by host.
    pub moves: BTreeMap<HostId, PoolMove>,
    /// Need of each service, in hosts.
    pub(super) need: BTreeMap<ServiceId, Need>,
    /// Moves that the platform says can't be.
    pub(super) impossible_moves: BTreeSet<(HostId, ServiceId)>,
    /// Pools of hosts that moved lately; the list may be older than that.
    pub(super) recent_moves: BTreeMap<HostId, (Duration, ServiceId)>,
    /// Work that came in lately, by service.
    pub(super) demand: BTreeMap<ServiceId, DemandHistory>,
    /// Hosts that each pool had before any work came in.
    pub(super) declared_sizes: BTreeMap<ServiceId, usize>,
    /// Services that have had work.
    pub(super) services_with_work: BTreeSet<ServiceId>,
    /// Orders that may be sent at once, and when that was last counted.
    pub(super) order_budget: f64,
    pub(super) order_budget_updated_at: Duration,
    /// When the pools were last noted in the log.
    logged_at: Duration,
    /// When the need was last worked out.
    pub(super) need_computed_at: Duration,
}

/// A service's pool as it stands.
struct Pool {
    /// Hosts that it needs.
    need: Need,
    /// Hosts that it has or is about to get.
    have: f64,
}

impl Scheduler {
    /// Whether some service's hosts are off, so that pools can change.
    pub(super) fn spare_pool(&self) -> Option<ServiceId> {
        let mut spare = self.config.services.values().filter(|s| s.spare).map(|s| s.name.clone());
        spare.next()
    }

    /// Services whose hosts are on.
    fn active_services(&self) -> Vec<ServiceId> {
        self.config.services.values().filter(|s| !s.spare).map(|s| s.name.clone()).collect()
    }

    /// A share of all hosts, at least one. What is right for 50 hosts and
    /// for 350 is a share: demand, and what is put aside for it, grow alike.
    pub(super) fn share_of_hosts(&self, share: f64) -> f64 {
        (self.hosts.len() as f64 * share).round().max(1.0)
    }

    /// Hosts that a pool keeps above its need.
    fn margin(&self) -> f64 {
        self.share_of_hosts(self.policy.pools.margin)
    }

    /// Notes how many hosts operators gave each pool. Once work has come in,
    /// pools are as we have made them.
    pub(super) fn record_declared_sizes(&mut self) {
        if !self.pools.demand.is_empty()
            || !self.pools.moves.is_empty()
            || !self.pools.services_with_work.is_empty()
        {
            return;
        }
        self.pools.declared_sizes.clear();
        for m in self.hosts.values() {
            *self.pools.declared_sizes.entry(m.pool.clone()).or_insert(0) += 1;
        }
    }

    /// Goes on with moves, and decides on new ones.
    pub(super) fn plan_pools(&mut self) {
        if self.hosts.is_empty() {
            return;
        }
        let mut count = self.count_pools();
        self.compute_need(&count);
        if let Some(spare) = self.spare_pool() {
            self.fill_pools(&spare, &mut count);
            self.trim_pools(&spare, &mut count);
        }
        self.order_moves();
        self.log_pools();
    }

    /// Notes now and then how the pools stand.
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

    /// The line of the log on a service's pool; counts are of hosts.
    fn pool_log_line(&self, count: &PoolCount, service: &ServiceId) -> String {
        let Pool { need, have } = self.pool(count, service);
        let (used, size) = (self.workers.room_in_use(service), self.workers.largest(service));
        let busy = used.cpu_millis as f64 / size.cpu_millis.max(1) as f64;
        let waiting = self.ready.get(service).map_or(0, Waiting::count);
        let Need { now, soon, lend_floor: lend, power_off_floor: keep } = need;
        let moving = self.pools.moves.len();
        format!(
            "event=pool_state service={service} have={have} busy={busy:.1} need_now={now:.1} need_soon={soon:.1} \
             need_lend={lend:.1} need_keep={keep:.1} waiting={waiting} moving={moving}"
        )
    }

    /// The pool of a service: what it needs, and the hosts that stay or come.
    fn pool(&self, count: &PoolCount, service: &ServiceId) -> Pool {
        let need = self.pools.need.get(service).copied().unwrap_or_default();
        Pool { need, have: count.of(service) as f64 }
    }

    /// Whether a host's pool does without it. One on which nothing begins is not counted.
    pub(super) fn can_spare(&self, count: &PoolCount, host: &HostId) -> bool {
        let Some(m) = self.hosts.get(host) else { return false };
        if !self.stands_open(m) || self.config.services.get(&m.pool).is_some_and(|s| s.spare) {
            return true;
        }
        self.has_surplus(count, &m.pool)
    }

    /// Whether a pool has a host more than it keeps when another is short.
    fn has_surplus(&self, count: &PoolCount, service: &ServiceId) -> bool {
        let pool = self.pool(count, service);
        pool.have >= (pool.need.lend_floor + self.margin()).ceil() + 1.0
    }

    /// Whether a pool has fewer hosts than it could use now. Before its first work, a pool is taken to be
    /// of the right size, also while its hosts come up.
    fn is_short(&self, count: &PoolCount, service: &ServiceId) -> bool {
        if !self.pools.services_with_work.contains(service) {
            return false;
        }
        let pool = self.pool(count, service);
        pool.have < (pool.need.soon + self.margin()).ceil()
    }

    /// Services whose pools have fewer hosts than they could use now.
    pub(super) fn short_pools(&self, count: &PoolCount) -> Vec<ServiceId> {
        self.active_services().into_iter().filter(|s| self.is_short(count, s)).collect()
    }

    /// Whether as many hosts are under way as may be.
    fn move_limit_reached(&self, to_spare: bool) -> bool {
        self.pools.moves.len() as f64 >= self.max_moves(to_spare)
    }

    /// Brings hosts to pools that are short of them.
    fn fill_pools(&mut self, spare: &ServiceId, count: &mut PoolCount) {
        let mut services = self.active_services();
        // The one that lacks most first, by tenths of a host.
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

    /// A host of a pool that has more than it needs.
    fn surplus_host(&self, services: &[ServiceId], to: &ServiceId, count: &mut PoolCount) -> Option<HostId> {
        let donors = services.iter().filter(|s| *s != to).filter(|s| self.has_surplus(count, s));
        let donors: Vec<&ServiceId> = donors.collect();
        donors.into_iter().filter_map(|s| self.free_host(s, to, count)).min()
    }

    /// A host of a pool that may go to another now, the first by name.
    fn free_host(&self, from: &ServiceId, to: &ServiceId, count: &mut PoolCount) -> Option<HostId> {
        let here = count.free(self).get(from)?;
        let may = |m: &&HostId| !self.pools.impossible_moves.contains(&((*m).clone(), to.clone()));
        here.keys().find(may).cloned()
    }

    /// Begins the move of a free host.
    fn begin_free_host_move(&mut self, host: HostId, to: &ServiceId, count: &mut PoolCount) {
        let Some(from) = self.hosts.get(&host).map(|m| m.pool.clone()) else { return };
        let worker = count.move_free_host(&host, &from, to);
        self.begin_move(host, to.clone(), worker);
    }

    /// Sends hosts off that their pools have not needed for some time.
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
