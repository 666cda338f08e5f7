//! Which machine changes its pool.
//!
//! Demand turns among services within seconds, and machines that stand idle in
//! a pool are paid for. So a pool that has more to do than its machines can
//! carry gets machines that are off, or empty ones of a pool that has more than
//! it needs; a pool that has had too many for some time gives some up. What
//! runs on a machine dies when it moves: only empty machines do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::job::{Job, WorkerId};
use super::order::{Standing, work_left};
use super::sched::Scheduler;
use super::spec::Room;
use super::types::Action;
use super::wave::{Machine, MachineReply, MachineState};
use crate::ids::{HostId, ServiceId};

/// Share of a machine's room that is planned to be in use.
const FULL: f64 = 0.85;
/// How much a waiting task counts whose job is late: it is worth little, but
/// it was accepted.
const LATE: f64 = 0.3;
/// Work that came in within this time tells how much there will be to do,
/// before it shows in what runs: tasks of later steps are not waiting yet.
const ARRIVALS: Duration = Duration::from_millis(1500);
/// Machines that a pool keeps above its need.
const MARGIN: f64 = 1.0;
/// How fast the need falls that counts when another pool is short, in machines
/// a second: a machine that is idle here is wanted there.
const LEND_PER_S: f64 = 6.0;
/// How fast the need falls that counts when machines are turned off, in
/// machines a second: the next turn of demand may come soon.
const FORGET_PER_S: f64 = 1.0;
/// A pool gives machines up only when it has this many more than it needs.
const SURPLUS: f64 = 2.0;
/// Longest time that a machine is kept from new work before its move is given up.
const EMPTY_FOR: Duration = Duration::from_millis(2500);
/// An order without an outcome is sent again after this time.
const ORDER_AGAIN: Duration = Duration::from_millis(1500);
/// A list of machines may have been asked for this long ago.
const LIST_LAG: Duration = Duration::from_millis(1200);
/// A machine that has come to a pool stays there for this long.
const STAYS: Duration = Duration::from_millis(2500);
/// Moves that may be under way at a time.
const MOST_MOVES: usize = 12;

/// A move that is under way.
#[derive(Clone, Debug)]
pub struct Moving {
    /// The pool that gets the machine.
    pub to: ServiceId,
    /// When it was decided.
    pub since: Duration,
    /// When the order was last sent, if it was.
    pub sent: Option<Duration>,
    /// Whether an order had no answer, so that it may yet be carried out.
    pub unsure: bool,
    /// The life of its worker when it was decided.
    pub worker: Option<WorkerId>,
}

/// What the pools look like to the planner.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Moves under way, by machine.
    pub moving: BTreeMap<HostId, Moving>,
    /// Need of each service in machines.
    need: BTreeMap<ServiceId, Need>,
    /// Moves that the platform says can't be.
    impossible: BTreeSet<(HostId, ServiceId)>,
    /// Pools of machines that moved lately; the list may be older than that.
    moved: BTreeMap<HostId, (Duration, ServiceId)>,
    /// Work that came in lately, by service: when, and how many
    /// core-milliseconds.
    arrivals: BTreeMap<ServiceId, VecDeque<(Duration, u64)>>,
    /// Services that have had work.
    worked: BTreeSet<ServiceId>,
    /// When the need was last worked out.
    worked_out: Duration,
}

/// Need of a service in machines, falling from its peaks at two speeds.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    /// What it could use now.
    now: f64,
    /// What it keeps when another pool is short.
    lend: f64,
    /// What it keeps before machines are turned off.
    keep: f64,
}

/// A service's pool as it stands.
struct Pool {
    need: Need,
    have: f64,
}

impl Scheduler {
    /// Whether some service's machines are off, so that pools can change.
    fn spare_pool(&self) -> Option<ServiceId> {
        let mut spare = self.config.services.values().filter(|s| s.spare).map(|s| s.name.clone());
        spare.next()
    }

    /// Goes on with moves, and decides on new ones.
    pub(super) fn run_pools(&mut self) {
        if self.machines.is_empty() {
            return;
        }
        self.work_out_need();
        let early = self.now < self.since + self.limits.machine_handover;
        if !early
            && !self.machines.is_empty()
            && let Some(spare) = self.spare_pool()
        {
            self.fill_pools(&spare);
            self.trim_pools(&spare);
        }
        self.order_moves();
    }

    /// Works out how many machines each service needs.
    fn work_out_need(&mut self) {
        let passed = self.now.saturating_sub(self.pools.worked_out).as_secs_f64();
        self.pools.worked_out = self.now;
        let since = self.now.saturating_sub(ARRIVALS);
        self.pools.arrivals.values_mut().for_each(|list| list.retain(|(at, _)| *at >= since));
        let services: Vec<ServiceId> = self.config.services.keys().cloned().collect();
        for s in services {
            let now = self.need_now(&s);
            let before = self.pools.need.get(&s).copied().unwrap_or_default();
            // Before its first work, a pool is taken to be of the right size.
            let known = self.pools.worked.contains(&s) || now > 0.0;
            let keep = if known { before.keep - passed * FORGET_PER_S } else { self.pool(&s).have };
            let lend = before.lend - passed * LEND_PER_S;
            let need = Need { now, lend: lend.max(now), keep: keep.max(now) };
            if known {
                self.pools.worked.insert(s.clone());
            }
            self.pools.need.insert(s, need);
        }
    }

    /// Machines that a service could use at this moment.
    fn need_now(&self, service: &ServiceId) -> f64 {
        let mut wanted = Room::default();
        let mut size = Room::default();
        for w in self.workers.values() {
            let Some(info) = w.info.as_ref().filter(|i| i.service == *service) else { continue };
            wanted.add(&w.used);
            if w.listed && info.capacity.cpu_millis > size.cpu_millis {
                size = info.capacity;
            }
        }
        let mut late = Room::default();
        let mut apart = 0;
        if let Some(waiting) = self.ready.get(service) {
            for place in waiting.places() {
                let step = self.jobs.get(&place.task.job).and_then(|j| j.step(&place.task));
                let Some(room) = step.map(|s| s.reserved()) else { continue };
                match place.standing {
                    Standing::InTime => wanted.add(&room),
                    Standing::Late | Standing::Void => late.add(&room),
                }
            }
        }
        for job in self.jobs.values().filter(|j| j.open() && j.spec.service == *service) {
            let spread = job.spec.steps.iter().filter(|s| s.lasting && s.most_per_worker > 0);
            apart = spread.map(|s| s.count.div_ceil(s.most_per_worker)).fold(apart, u32::max);
        }
        if size.cpu_millis == 0 {
            return if wanted == Room::default() { f64::from(apart) } else { f64::from(apart.max(1)) };
        }
        let cpu = (wanted.cpu_millis as f64 + late.cpu_millis as f64 * LATE) / size.cpu_millis as f64;
        let mem = (wanted.mem_mb as f64 + late.mem_mb as f64 * LATE) / size.mem_mb.max(1) as f64;
        let offered = self.offered(service) * 1000.0 / size.cpu_millis as f64;
        (cpu.max(mem).max(offered) / FULL).max(f64::from(apart))
    }

    /// Takes in the work of a job that was handed in.
    pub(super) fn work_arrived(&mut self, job: &Job) {
        if job.spec.lasts() || job.rounds.is_empty() {
            return;
        }
        let took = |n: usize| self.durations.expect(&job.spec.queue, job.spec.steps[n].estimate);
        let work = work_left(job, 0, &took);
        let list = self.pools.arrivals.entry(job.spec.service.clone()).or_default();
        list.push_back((self.now, work));
    }

    /// Cores that would be busy if work came in as it did lately.
    fn offered(&self, service: &ServiceId) -> f64 {
        let list = self.pools.arrivals.get(service);
        let recent = list.into_iter().flatten().filter(|(at, _)| *at + ARRIVALS > self.now);
        let work: u64 = recent.map(|(_, work)| work).sum();
        work as f64 / ARRIVALS.as_millis() as f64
    }

    fn pool(&self, service: &ServiceId) -> Pool {
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
        let pool = self.pool(&m.pool);
        pool.have - 1.0 >= (pool.need.lend + MARGIN).ceil()
    }

    /// Brings machines to pools that are short of them.
    fn fill_pools(&mut self, spare: &ServiceId) {
        let services: Vec<ServiceId> =
            self.config.services.values().filter(|s| !s.spare).map(|s| s.name.clone()).collect();
        for s in &services {
            loop {
                let pool = self.pool(s);
                if pool.have >= (pool.need.now + MARGIN).ceil() || self.pools.moving.len() >= MOST_MOVES {
                    break;
                }
                let found = self.spare_machine(spare, s).or_else(|| self.surplus_machine(&services, s));
                let Some(machine) = found else { break };
                self.begin_move(machine, s.clone());
            }
        }
    }

    /// A machine that is off.
    fn spare_machine(&self, spare: &ServiceId, to: &ServiceId) -> Option<HostId> {
        let free = |m: &&Machine| {
            m.pool == *spare
                && m.state == MachineState::Up
                && !self.pools.moving.contains_key(&m.name)
                && !self.wave_takes(&m.name)
                && !self.pools.impossible.contains(&(m.name.clone(), to.clone()))
        };
        self.machines.values().filter(free).map(|m| m.name.clone()).min()
    }

    /// A machine of a pool that has more than it needs.
    fn surplus_machine(&self, services: &[ServiceId], to: &ServiceId) -> Option<HostId> {
        let donors = services.iter().filter(|s| *s != to);
        let mut found: Option<(usize, HostId)> = None;
        for s in donors {
            let pool = self.pool(s);
            if pool.have < (pool.need.lend + MARGIN).ceil() + 1.0 {
                continue;
            }
            let best = self.emptiest(s, to);
            found = [found, best].into_iter().flatten().min();
        }
        found.map(|(_, m)| m)
    }

    /// The machine of a pool with the least on it and nothing that lasts.
    fn emptiest(&self, service: &ServiceId, to: &ServiceId) -> Option<(usize, HostId)> {
        let mut best: Option<(usize, HostId)> = None;
        for m in self.machines.values().filter(|m| m.pool == *service && m.state == MachineState::Up) {
            let barred = self.pools.moving.contains_key(&m.name)
                || self.wave_takes(&m.name)
                || self.pools.impossible.contains(&(m.name.clone(), to.clone()));
            let Some(id) = self.worker_on(&m.name) else { continue };
            let Some(w) = self.workers.get(&id) else { continue };
            let new = w.known_since + STAYS > self.now;
            if barred || new || !w.reachable || !w.runs.is_empty() {
                continue;
            }
            let found = (w.runs.len(), m.name.clone());
            best = Some(best.map_or(found.clone(), |b| b.min(found)));
        }
        best
    }

    /// Sends machines off that their pools have not needed for some time.
    fn trim_pools(&mut self, spare: &ServiceId) {
        let services: Vec<ServiceId> =
            self.config.services.values().filter(|s| !s.spare).map(|s| s.name.clone()).collect();
        for s in services {
            let pool = self.pool(&s);
            if pool.have < (pool.need.keep + MARGIN).ceil() + SURPLUS {
                continue;
            }
            if let Some((_, machine)) = self.emptiest(&s, spare) {
                self.begin_move(machine, spare.clone());
            }
        }
    }

    fn begin_move(&mut self, machine: HostId, to: ServiceId) {
        let worker = self.worker_on(&machine);
        let from = self.machines.get(&machine).map(|m| m.pool.clone()).unwrap_or_default();
        let need = self.pools.need.get(&to).map_or(0.0, |n| n.now);
        self.notes.push(format!("event=machine_moving machine={machine} from={from} to={to} need={need:.1}"));
        if let Some(w) = worker.as_ref().and_then(|id| self.workers.get_mut(id)) {
            w.cordoned = true;
        }
        let moving = Moving { to, since: self.now, sent: None, unsure: false, worker };
        self.pools.moving.insert(machine, moving);
    }

    /// Sends the orders of machines that are empty, and gives up on those
    /// that did not become so.
    fn order_moves(&mut self) {
        let now = self.now;
        let mut given_up = Vec::new();
        let mut orders = Vec::new();
        for (name, v) in &self.pools.moving {
            let runs = v.worker.as_ref().and_then(|id| self.workers.get(id)).map_or(0, |w| w.runs.len());
            match v.sent {
                None if runs == 0 => orders.push(name.clone()),
                None if now > v.since + EMPTY_FOR => given_up.push(name.clone()),
                Some(at) if at + ORDER_AGAIN < now => orders.push(name.clone()),
                _ => {}
            }
        }
        for name in given_up {
            self.pools.moving.remove(&name);
        }
        for name in orders {
            let Some(v) = self.pools.moving.get_mut(&name) else { continue };
            v.sent = Some(now);
            let to = v.to.clone();
            self.actions.push(Action::Move(name, to));
        }
    }

    /// Corrects a list of machines that is older than a move.
    pub(super) fn correct_list(&mut self) {
        let now = self.now;
        self.pools.moved.retain(|_, (at, _)| *at + LIST_LAG > now);
        for (name, (_, to)) in &self.pools.moved {
            if let Some(m) = self.machines.get_mut(name).filter(|m| m.pool != *to) {
                m.pool = to.clone();
                m.state = MachineState::Moving;
                m.worker = None;
            }
        }
    }

    /// The outcome of an order to move; returns whether there was such a move.
    pub(super) fn machine_moved(&mut self, machine: &HostId, reply: MachineReply) -> bool {
        let Some(v) = self.pools.moving.get_mut(machine) else { return false };
        let (to, worker, unsure) = (v.to.clone(), v.worker.clone(), v.unsure);
        self.notes.push(format!("event=machine_moved machine={machine} to={to} reply={reply:?}"));
        match reply {
            MachineReply::Done => {
                self.pools.moving.remove(machine);
                self.pools.moved.insert(machine.clone(), (self.now, to.clone()));
                if let Some(m) = self.machines.get_mut(machine) {
                    m.pool = to;
                    m.state = MachineState::Moving;
                    m.worker = None;
                }
                if let Some(id) = worker {
                    self.life_over(&id, "moved");
                }
            }
            MachineReply::Impossible => {
                self.pools.moving.remove(machine);
                self.pools.impossible.insert((machine.clone(), to));
            }
            MachineReply::NoAnswer => v.unsure = true,
            // Nothing was done; if an earlier try may yet be, it is repeated.
            MachineReply::Busy | MachineReply::Later | MachineReply::Fenced => {
                if !unsure {
                    self.pools.moving.remove(machine);
                }
            }
        }
        true
    }
}
