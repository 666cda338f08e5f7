//! How many hosts the pool of each service needs.
//!
//! The need comes from what runs, what waits and what came in lately. It rises
//! at once and falls slowly, at two speeds: demand that fell often comes back.

use std::time::Duration;

use super::demand::Demand;
use super::job::Job;
use super::pool_count::PoolCount;
use super::queue_order::round_work;
use super::sched::Scheduler;
use super::spec::{JobKey, Resources};
use crate::ids::ServiceId;

/// Need of a service in hosts, falling from its peaks at two speeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    /// What it could use now.
    pub now: f64,
    /// What it will be able to use when a host that is sent for now has come.
    pub soon: f64,
    /// What it keeps when another pool is short.
    pub lend: f64,
    /// What it keeps before hosts are turned off.
    pub keep: f64,
}

/// What runs and waits in a service.
struct Wanted {
    /// Whether anything does.
    any: bool,
    /// How many hosts it fills.
    load: f64,
    /// Cores of a host; 0 if there is none to go by.
    cores: f64,
    /// Hosts that lasting tasks need because only so many may share one.
    apart: f64,
}

impl Wanted {
    /// Hosts that are needed while the work that comes in keeps so many cores
    /// busy, when each is filled to such a share.
    fn hosts(&self, offered: f64, full: f64) -> f64 {
        if self.cores == 0.0 {
            return if self.any { self.apart.max(1.0) } else { self.apart };
        }
        (self.load.max(offered / self.cores) / full).max(self.apart)
    }
}

impl Scheduler {
    /// Works out how many hosts each service needs.
    pub(super) fn work_out_need(&mut self, count: &PoolCount) {
        let passed = self.now.saturating_sub(self.pools.worked_out).as_secs_f64();
        self.pools.worked_out = self.now;
        let all = self.hosts.len() as f64;
        let policy = &self.policy.need;
        let (lend_falls, keep_falls) = (passed * policy.lend_per_s * all, passed * policy.forget_per_s * all);
        let services: Vec<ServiceId> = self.config.services.keys().cloned().collect();
        for s in services {
            let have = count.of(&s) as f64;
            let need = self.need_after(&s, have, lend_falls, keep_falls);
            self.pools.need.insert(s, need);
        }
    }

    /// Need of a service whose pool has so many hosts, when it falls by so many
    /// at most.
    fn need_after(&mut self, service: &ServiceId, have: f64, lend_falls: f64, keep_falls: f64) -> Need {
        let policy = &self.policy.need;
        let wanted = self.wanted(service);
        let offered = self.offered(service);
        let now = wanted.hosts(offered, policy.full);
        let soon = wanted.hosts(self.offered_soon(service), policy.full).max(now);
        let before = self.pools.need.get(service).copied().unwrap_or_default();
        // Before its first work, a pool is taken to be of the right size.
        let known = self.pools.worked.contains(service) || now > 0.0;
        let keep = if known { before.keep - keep_falls } else { have };
        let lend = before.lend - lend_falls;
        if known {
            self.pools.worked.insert(service.clone());
        }
        // What a turn is taken to want is kept like what is in use: the signs of
        // it come and go with single jobs, and its hosts would with them.
        Need { now, soon, lend: lend.max(now), keep: keep.max(soon) }
    }

    /// What runs and waits in a service.
    fn wanted(&self, service: &ServiceId) -> Wanted {
        let size = self.workers.largest(service);
        let (room, late) = (self.room_wanted(service), self.waiting_room(service).1);
        let policy = &self.policy.need;
        let cpu = (room.cpu_millis as f64 + late.cpu_millis as f64 * policy.late) / size.cpu_millis as f64;
        let mem = (room.mem_mb as f64 + late.mem_mb as f64 * policy.late) / size.mem_mb.max(1) as f64;
        Wanted {
            any: room != Resources::default(),
            load: cpu.max(mem),
            cores: size.cpu_millis as f64 / 1000.0,
            apart: f64::from(self.hosts_apart(service)),
        }
    }

    /// Room that runs take in a service, and that is waited for by tasks which may begin and can
    /// be in time.
    pub fn room_wanted(&self, service: &ServiceId) -> Resources {
        let mut room = self.workers.room_in_use(service);
        room.add(&self.waiting_room(service).0);
        room
    }

    /// Room that is waited for by tasks whose job can be in time, and by others. What a limit
    /// keeps from beginning asks for no hosts.
    fn waiting_room(&self, service: &ServiceId) -> (Resources, Resources) {
        let waiting = self.ready.get(service);
        waiting.map(|w| w.requested_within(|owner| self.left_of_limit(owner))).unwrap_or_default()
    }

    /// Hosts that lasting tasks need because only so many may share one.
    fn hosts_apart(&self, service: &ServiceId) -> u32 {
        let jobs = self.jobs.lasting(service).filter(|j| j.is_open());
        let steps = jobs.flat_map(|j| &j.spec.steps).filter(|s| s.long_running && s.max_per_worker > 0);
        steps.map(|s| s.count.div_ceil(s.max_per_worker)).max().unwrap_or(0)
    }

    /// Takes in the work of a job that was handed in.
    pub(super) fn work_arrived(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(work) = self.work_of(job) else { return };
        let (now, window) = (self.now, self.policy.need.arrivals);
        let service = job.spec.service.clone();
        self.pools.demand.entry(service).or_default().add(now, work, window);
    }

    /// Takes in the work of all jobs on record, which predecessors accepted.
    pub fn restore_demand(&mut self) {
        let came: Vec<(ServiceId, Duration, u64)> = self
            .jobs
            .values()
            .filter_map(|j| {
                let ago = Duration::from_millis(self.wall.saturating_sub(j.spec.accepted_at));
                Some((j.spec.service.clone(), ago, self.work_of(j)?))
            })
            .chain(self.jobs.over().filter_map(|over| {
                let ago = Duration::from_millis(self.wall.saturating_sub(over.record.accepted_at));
                Some((over.record.service.clone(), ago, over.record.work_core_ms?))
            }))
            .collect();
        let (now, window) = (self.now, self.policy.need.arrivals);
        for (service, ago, work) in came {
            self.pools.demand.entry(service).or_default().restore(now, ago, work);
        }
        self.pools.demand.values_mut().for_each(|d| d.finish_restore(now, window));
    }

    /// Work of a job that ends by itself, in core-milliseconds.
    pub(super) fn work_of(&self, job: &Job) -> Option<u64> {
        if job.spec.is_long_running() || job.rounds.is_empty() {
            return None;
        }
        let took =
            |n: usize| self.durations.expect(&job.spec.queue, job.spec.steps[n].estimate, &self.policy.order);
        Some(round_work(&job.spec, &took))
    }

    /// Cores that are busy if work goes on coming in as it did lately.
    fn offered(&self, service: &ServiceId) -> f64 {
        let demand = self.pools.demand.get(service);
        demand.map_or(0.0, |d| d.rate(self.now, Duration::ZERO, self.policy.need.arrivals))
    }

    /// Cores that will be busy if the work that comes in goes on rising, or a
    /// turn of demand has begun.
    fn offered_soon(&self, service: &ServiceId) -> f64 {
        let Some(demand) = self.pools.demand.get(service) else { return 0.0 };
        let policy = &self.policy.need;
        let window = policy.arrivals;
        let recent = self.offered(service);
        let before = demand.rate(self.now, window, window);
        // The mean of a window stands for its middle.
        let ahead = if policy.ahead.is_zero() { 0.0 } else { (policy.ahead + window / 2).as_secs_f64() };
        let rise = (recent - before).max(0.0) / window.as_secs_f64();
        let drawn_out = (recent + rise * ahead).min(recent * policy.most_rise);
        drawn_out.max(self.turn_begun(service, demand, recent))
    }

    /// Cores that a turn of demand will ask for that has just begun.
    fn turn_begun(&self, service: &ServiceId, demand: &Demand, recent: f64) -> f64 {
        let policy = &self.policy.need;
        let calm = demand.rate(self.now, policy.arrivals, policy.turn_after);
        if policy.turn_share == 0.0 || recent < calm * policy.turn_rise {
            return 0.0;
        }
        if demand.jobs(self.now, policy.arrivals) < policy.turn_jobs {
            return 0.0;
        }
        let size = self.hosts.values().map(|m| m.capacity.cpu_millis).max().unwrap_or(0) as f64 / 1000.0;
        if recent < size * self.hosts_share(policy.turn_least) {
            return 0.0;
        }
        // What this turn has shown so far tells nothing about the rest of it.
        let own = demand.highest_before(self.now, policy.turn_after);
        let told = if policy.turn_any { own * policy.turn_share > recent } else { own > 0.0 };
        if told {
            return own * policy.turn_share;
        }
        let any = self.pools.demand.values().map(Demand::highest).fold(0.0, f64::max);
        let declared = self.pools.declared.get(service).map_or(0.0, |count| *count as f64);
        let sharp = demand.rate(self.now, Duration::ZERO, policy.arrivals / 3);
        let rises = sharp >= recent * policy.turn_still_rises;
        let most = if rises { sharp * policy.turn_first_rise } else { recent };
        let guessed = (declared * policy.turn_first * size).min(most);
        (any * policy.turn_share).max(guessed)
    }
}
