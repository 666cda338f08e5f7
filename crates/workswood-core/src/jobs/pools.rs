//! Which machine changes its pool.
//!
//! Demand turns among services within seconds, and machines that stand idle in
//! a pool are paid for. So a pool that has more to do than its machines can
//! carry gets machines that are off, or empty ones of a pool that has more than
//! it needs; a pool that has had too many for some time gives some up. What
//! runs on a machine dies when it moves: only empty machines do. How a move goes
//! on is in [`moves`](super::moves).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::demand::Demand;
use super::machine::{Machine, MachineState};
use super::moves::Moving;
use super::need::Need;
use super::sched::Scheduler;
use crate::ids::{HostId, ServiceId};

/// Time between two lines of the log on each pool.
const NOTE_EVERY: Duration = Duration::from_secs(1);

/// What the pools look like to the planner.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Moves under way, by machine.
    pub moving: BTreeMap<HostId, Moving>,
    /// Need of each service, in machines.
    pub(super) need: BTreeMap<ServiceId, Need>,
    /// Moves that the platform says can't be.
    pub(super) impossible: BTreeSet<(HostId, ServiceId)>,
    /// Pools of machines that moved lately; the list may be older than that.
    pub(super) moved: BTreeMap<HostId, (Duration, ServiceId)>,
    /// Work that came in lately, by service.
    pub(super) demand: BTreeMap<ServiceId, Demand>,
    /// Machines that each pool had before any work came in.
    pub(super) declared: BTreeMap<ServiceId, usize>,
    /// Services that have had work.
    pub(super) worked: BTreeSet<ServiceId>,
    /// When the pools were last noted in the log.
    noted: Duration,
    /// When the need was last worked out.
    pub(super) worked_out: Duration,
}

/// A service's pool as it stands.
pub(super) struct Pool {
    /// Machines that it needs.
    pub need: Need,
    /// Machines that it has or is about to get.
    pub have: f64,
}

impl Scheduler {
    /// Whether some service's machines are off, so that pools can change.
    pub(super) fn spare_pool(&self) -> Option<ServiceId> {
        let mut spare = self.config.services.values().filter(|s| s.spare).map(|s| s.name.clone());
        spare.next()
    }

    /// Services whose machines are on.
    fn working_services(&self) -> Vec<ServiceId> {
        self.config.services.values().filter(|s| !s.spare).map(|s| s.name.clone()).collect()
    }

    /// A share of all machines, at least one. What is right for 50 machines and
    /// for 350 is a share: demand, and what is put aside for it, grow alike.
    pub(super) fn machines_share(&self, share: f64) -> f64 {
        (self.machines.len() as f64 * share).round().max(1.0)
    }

    /// Machines that a pool keeps above its need.
    fn margin(&self) -> f64 {
        self.machines_share(self.policy.pools.margin)
    }

    /// Notes how many machines operators gave each pool. Once work has come in,
    /// pools are as we have made them.
    pub(super) fn note_declared(&mut self) {
        if !self.pools.demand.is_empty() || !self.pools.moving.is_empty() || !self.pools.worked.is_empty() {
            return;
        }
        self.pools.declared.clear();
        for m in self.machines.values() {
            *self.pools.declared.entry(m.pool.clone()).or_insert(0) += 1;
        }
    }

    /// Goes on with moves, and decides on new ones.
    pub(super) fn run_pools(&mut self) {
        if self.machines.is_empty() {
            return;
        }
        self.work_out_need();
        if let Some(spare) = self.spare_pool() {
            self.fill_pools(&spare);
            self.trim_pools(&spare);
        }
        self.order_moves();
        self.note_pools();
    }

    /// Notes now and then how the pools stand.
    fn note_pools(&mut self) {
        if self.now < self.pools.noted + NOTE_EVERY {
            return;
        }
        self.pools.noted = self.now;
        for s in self.working_services() {
            let note = self.pool_note(&s);
            self.notes.push(note);
        }
    }

    /// The line of the log on a service's pool; counts are of machines.
    fn pool_note(&self, service: &ServiceId) -> String {
        let Pool { need, have } = self.pool(service);
        let (used, size) = self.room_in_use(service);
        let busy = used.cpu_millis as f64 / size.cpu_millis.max(1) as f64;
        let waiting = self.ready.get(service).map_or(0, |w| w.places().count());
        let Need { now, soon, lend, keep } = need;
        let moving = self.pools.moving.len();
        format!(
            "event=pool_state service={service} have={have} busy={busy:.1} need_now={now:.1} need_soon={soon:.1} \
             need_lend={lend:.1} need_keep={keep:.1} waiting={waiting} moving={moving}"
        )
    }

    /// The pool of a service: what it needs, and the machines that stay or come.
    pub(super) fn pool(&self, service: &ServiceId) -> Pool {
        let standing = self.machines.values().filter(|m| m.pool == *service);
        let leaving = |m: &&Machine| {
            let moving = self.pools.moving.get(&m.name);
            moving.is_some_and(|v| v.to != *service) || self.wave_takes(&m.name)
        };
        let works = |m: &&Machine| matches!(m.state, MachineState::Up | MachineState::Moving);
        let stay = standing.filter(works).filter(|m| !leaving(m)).count();
        let come = self.pools.moving.iter().filter(|(name, v)| {
            v.to == *service && self.machines.get(*name).is_none_or(|m| m.pool != *service)
        });
        let have = stay + come.count();
        let need = self.pools.need.get(service).copied().unwrap_or_default();
        Pool { need, have: have as f64 }
    }

    /// Whether a machine's pool does without it.
    pub(super) fn can_spare(&self, machine: &HostId) -> bool {
        let Some(m) = self.machines.get(machine) else { return false };
        if self.config.services.get(&m.pool).is_some_and(|s| s.spare) {
            return true;
        }
        self.has_surplus(&m.pool)
    }

    /// Whether a pool has a machine more than it keeps when another is short.
    fn has_surplus(&self, service: &ServiceId) -> bool {
        let pool = self.pool(service);
        pool.have >= (pool.need.lend + self.margin()).ceil() + 1.0
    }

    /// Whether a pool has fewer machines than it could use now.
    fn is_short(&self, service: &ServiceId) -> bool {
        let pool = self.pool(service);
        pool.have < (pool.need.soon + self.margin()).ceil()
    }

    /// Services whose pools have fewer machines than they could use now.
    pub(super) fn short_pools(&self) -> Vec<ServiceId> {
        self.working_services().into_iter().filter(|s| self.is_short(s)).collect()
    }

    /// Whether as many machines are under way as may be.
    fn most_moves_begun(&self) -> bool {
        self.pools.moving.len() as f64 >= self.machines_share(self.policy.pools.most_moves)
    }

    /// Brings machines to pools that are short of them.
    fn fill_pools(&mut self, spare: &ServiceId) {
        let mut services = self.working_services();
        // The one that lacks most first, by tenths of a machine.
        let short = |p: &Pool| ((p.need.soon - p.have) * 10.0) as i64;
        services.sort_by_key(|s| (Reverse(short(&self.pool(s))), s.clone()));
        for s in &services {
            while self.is_short(s) && !self.most_moves_begun() {
                let found = self.spare_machine(spare, s).or_else(|| self.surplus_machine(&services, s));
                let Some(machine) = found else { break };
                self.begin_move(machine, s.clone());
            }
        }
    }

    /// A machine that is off.
    fn spare_machine(&self, spare: &ServiceId, to: &ServiceId) -> Option<HostId> {
        let free = |m: &&Machine| m.pool == *spare && self.may_move(m, to);
        self.machines.values().filter(free).map(|m| m.name.clone()).min()
    }

    /// A machine of a pool that has more than it needs.
    fn surplus_machine(&self, services: &[ServiceId], to: &ServiceId) -> Option<HostId> {
        let donors = services.iter().filter(|s| *s != to).filter(|s| self.has_surplus(s));
        donors.filter_map(|s| self.empty_machine(s, to)).min()
    }

    /// An empty machine of a pool that may move, the first by name.
    fn empty_machine(&self, service: &ServiceId, to: &ServiceId) -> Option<HostId> {
        let here = |m: &&Machine| m.pool == *service && self.may_move(m, to) && self.stands_empty(m);
        self.machines.values().filter(here).map(|m| m.name.clone()).min()
    }

    /// Whether a machine is up and nothing keeps it from moving to a pool.
    fn may_move(&self, m: &Machine, to: &ServiceId) -> bool {
        m.state == MachineState::Up
            && !self.pools.moving.contains_key(&m.name)
            && !self.wave_takes(&m.name)
            && self.may_order(&m.name)
            && !self.pools.impossible.contains(&(m.name.clone(), to.clone()))
    }

    /// Whether a machine's worker answers and runs nothing. A machine that has
    /// just come may go on at once: keeping it for 2.5 s gained nothing, and held
    /// up a new lease holder, to which every worker is new (worth earned less
    /// prices 0.461 with and 0.514 without, mean of 30 simulated days with faults
    /// on 49 machines).
    fn stands_empty(&self, m: &Machine) -> bool {
        let worker = self.worker_on(&m.name).and_then(|id| self.workers.get(&id));
        worker.is_some_and(|w| w.reachable && w.runs.is_empty())
    }

    /// Sends machines off that their pools have not needed for some time.
    fn trim_pools(&mut self, spare: &ServiceId) {
        for s in self.working_services() {
            let pool = self.pool(&s);
            let keeps =
                (pool.need.keep + self.margin()).ceil() + self.machines_share(self.policy.pools.surplus);
            if pool.have < keeps {
                continue;
            }
            let over = pool.have - keeps;
            for _ in 0..=(over as usize) {
                if self.most_moves_begun() {
                    return;
                }
                let Some(machine) = self.empty_machine(&s, spare) else { break };
                self.begin_move(machine, spare.clone());
            }
        }
    }
}
