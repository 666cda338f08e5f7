//! How many hosts the pool of each service needs.
//!
//! The need comes from what runs, what waits and what came in lately. It rises
//! at once and falls slowly, at two speeds: demand that fell often comes back.

use std::time::Duration;

use super::demand_history::DemandHistory;
use super::job::Job;
use super::order::whole_work;
use super::pool_count::PoolCount;
use super::scheduler::Scheduler;
use super::spec::{JobKey, Room};
use crate::ids::ServiceId;

/// Need of a service in hosts, falling from its peaks at two speeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    /// What it could use now.
    pub now: f64,
    /// What it will be able to use when a host that is sent for now has come.
    pub soon: f64,
    /// What it keeps when another pool is short.
    pub lend_floor: f64,
    /// What it keeps before hosts are turned off.
    pub power_off_floor: f64,
}

/// What runs and waits in a service.
struct ServiceLoad {
    /// Whether anything does.
    any_task: bool,
    /// How many hosts it fills.
    hosts_filled: f64,
    /// Cores of a host; 0 if there is none to go by.
    cores_per_host: f64,
    /// Hosts that lasting tasks need because only so many may share one.
    spread_hosts: f64,
}

impl ServiceLoad {
    /// Hosts that are needed while the work that comes in keeps so many cores
    /// busy, when each is filled to such a share.
    fn hosts_needed(&self, offered: f64, full: f64) -> f64 {
        if self.cores_per_host == 0.0 {
            return if self.any_task { self.spread_hosts.max(1.0) } else { self.spread_hosts };
        }
        (self.hosts_filled.max(offered / self.cores_per_host) / full).max(self.spread_hosts)
    }
}

impl Scheduler {
    /// Works out how many hosts each service needs.
    pub(super) fn compute_need(&mut self, count: &PoolCount) {
        let passed = self.now.saturating_sub(self.pools.need_computed_at).as_secs_f64();
        self.pools.need_computed_at = self.now;
        let all = self.hosts.len() as f64;
        let policy = &self.policy.need;
        let (lend_falls, keep_falls) =
            (passed * policy.lend_floor_fall_per_s * all, passed * policy.power_off_floor_fall_per_s * all);
        let services: Vec<ServiceId> = self.config.services.keys().cloned().collect();
        for s in services {
            let have = count.of(&s) as f64;
            let need = self.next_need(&s, have, lend_falls, keep_falls);
            self.pools.need.insert(s, need);
        }
    }

    /// Need of a service whose pool has so many hosts, when it falls by so many
    /// at most.
    fn next_need(&mut self, service: &ServiceId, have: f64, lend_falls: f64, keep_falls: f64) -> Need {
        let policy = &self.policy.need;
        let wanted = self.service_load(service);
        let offered = self.offered_cores(service);
        let now = wanted.hosts_needed(offered, policy.target_use);
        let soon = wanted.hosts_needed(self.expected_cores(service), policy.target_use).max(now);
        let before = self.pools.need.get(service).copied().unwrap_or_default();
        // Before its first work, a pool is taken to be of the right size.
        let known = self.pools.services_with_work.contains(service) || now > 0.0;
        let keep = if known { before.power_off_floor - keep_falls } else { have };
        let lend = before.lend_floor - lend_falls;
        if known {
            self.pools.services_with_work.insert(service.clone());
        }
        // What a turn is taken to want is kept like what is in use: the signs of
        // it come and go with single jobs, and its hosts would with them.
        Need { now, soon, lend_floor: lend.max(now), power_off_floor: keep.max(soon) }
    }

    /// What runs and waits in a service.
    fn service_load(&self, service: &ServiceId) -> ServiceLoad {
        let size = self.workers.largest(service);
        let (room, late) = (self.room_wanted(service), self.waiting_task_room(service).1);
        let policy = &self.policy.need;
        let cpu = (room.cpu_millis as f64 + late.cpu_millis as f64 * policy.late_task_weight)
            / size.cpu_millis as f64;
        let mem =
            (room.mem_mb as f64 + late.mem_mb as f64 * policy.late_task_weight) / size.mem_mb.max(1) as f64;
        ServiceLoad {
            any_task: room != Room::default(),
            hosts_filled: cpu.max(mem),
            cores_per_host: size.cpu_millis as f64 / 1000.0,
            spread_hosts: f64::from(self.spread_hosts(service)),
        }
    }

    /// Room that runs take in a service, and that is waited for by tasks which may begin and can
    /// be in time.
    pub fn room_wanted(&self, service: &ServiceId) -> Room {
        let mut room = self.workers.room_in_use(service);
        room.add(&self.waiting_task_room(service).0);
        room
    }

    /// Room that is waited for by tasks whose job can be in time, and by others. What a limit
    /// keeps from beginning asks for no hosts.
    fn waiting_task_room(&self, service: &ServiceId) -> (Room, Room) {
        let waiting = self.ready.get(service);
        waiting.map(|w| w.room_within(|owner| self.left_of_limit(owner))).unwrap_or_default()
    }

    /// Hosts that lasting tasks need because only so many may share one.
    fn spread_hosts(&self, service: &ServiceId) -> u32 {
        let jobs = self.jobs.lasting(service).filter(|j| j.open());
        let steps = jobs.flat_map(|j| &j.spec.steps).filter(|s| s.lasting && s.most_per_worker > 0);
        steps.map(|s| s.count.div_ceil(s.most_per_worker)).max().unwrap_or(0)
    }

    /// Takes in the work of a job that was handed in.
    pub(super) fn work_arrived(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(work) = self.work_of(job) else { return };
        let (now, window) = (self.now, self.policy.need.arrival_window);
        let service = job.spec.service.clone();
        self.pools.demand.entry(service).or_default().add(now, work, window);
    }

    /// Takes in the work of all jobs on record, which predecessors accepted.
    pub fn restore_demand(&mut self) {
        let came: Vec<(ServiceId, Duration, u64)> = self
            .jobs
            .values()
            .filter_map(|j| {
                let ago = Duration::from_millis(self.wall.saturating_sub(j.spec.accepted));
                Some((j.spec.service.clone(), ago, self.work_of(j)?))
            })
            .chain(self.jobs.over().filter_map(|over| {
                let ago = Duration::from_millis(self.wall.saturating_sub(over.record.accepted));
                Some((over.record.service.clone(), ago, over.record.work?))
            }))
            .collect();
        let (now, window) = (self.now, self.policy.need.arrival_window);
        for (service, ago, work) in came {
            self.pools.demand.entry(service).or_default().restore(now, ago, work);
        }
        self.pools.demand.values_mut().for_each(|d| d.finish_restore(now, window));
    }

    /// Work of a job that ends by itself, in core-milliseconds.
    pub(super) fn work_of(&self, job: &Job) -> Option<u64> {
        if job.spec.lasts() || job.rounds.is_empty() {
            return None;
        }
        let took =
            |n: usize| self.durations.expect(&job.spec.queue, job.spec.steps[n].estimate, &self.policy.order);
        Some(whole_work(&job.spec, &took))
    }

    /// Cores that are busy if work goes on coming in as it did lately.
    fn offered_cores(&self, service: &ServiceId) -> f64 {
        let demand = self.pools.demand.get(service);
        demand.map_or(0.0, |d| d.rate(self.now, Duration::ZERO, self.policy.need.arrival_window))
    }

    /// Cores that will be busy if the work that comes in goes on rising, or a
    /// turn of demand has begun.
    fn expected_cores(&self, service: &ServiceId) -> f64 {
        let Some(demand) = self.pools.demand.get(service) else { return 0.0 };
        let policy = &self.policy.need;
        let window = policy.arrival_window;
        let recent = self.offered_cores(service);
        let before = demand.rate(self.now, window, window);
        // The mean of a window stands for its middle.
        let ahead = if policy.ahead.is_zero() { 0.0 } else { (policy.ahead + window / 2).as_secs_f64() };
        let rise = (recent - before).max(0.0) / window.as_secs_f64();
        let drawn_out = (recent + rise * ahead).min(recent * policy.max_rise);
        drawn_out.max(self.surge_cores(service, demand, recent))
    }

    /// Cores that a turn of demand will ask for that has just begun.
    fn surge_cores(&self, service: &ServiceId, demand: &DemandHistory, recent: f64) -> f64 {
        let policy = &self.policy.need;
        let calm = demand.rate(self.now, policy.arrival_window, policy.calm_window);
        if policy.surge_peak_share == 0.0 || recent < calm * policy.surge_rise {
            return 0.0;
        }
        if demand.job_count(self.now, policy.arrival_window) < policy.surge_min_jobs {
            return 0.0;
        }
        let size = self.hosts.values().map(|m| m.capacity.cpu_millis).max().unwrap_or(0) as f64 / 1000.0;
        if recent < size * self.share_of_hosts(policy.surge_min_share) {
            return 0.0;
        }
        // What this turn has shown so far tells nothing about the rest of it.
        let own = demand.peak_rate_before(self.now, policy.calm_window);
        let told =
            if policy.surge_from_other_services { own * policy.surge_peak_share > recent } else { own > 0.0 };
        if told {
            return own * policy.surge_peak_share;
        }
        let any = self.pools.demand.values().map(DemandHistory::peak_rate).fold(0.0, f64::max);
        let declared = self.pools.declared_sizes.get(service).map_or(0.0, |count| *count as f64);
        let sharp = demand.rate(self.now, Duration::ZERO, policy.arrival_window / 3);
        let rises = sharp >= recent * policy.first_surge_min_rise;
        let most = if rises { sharp * policy.first_surge_max_rise } else { recent };
        let guessed = (declared * policy.first_surge_pool_factor * size).min(most);
        (any * policy.surge_peak_share).max(guessed)
    }
}
