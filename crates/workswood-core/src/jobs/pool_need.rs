//! Number of hosts that the pool of each service needs.
//!
//! The need follows from the tasks that run and wait and from the rate of submitted work. It rises
//! at once and falls slowly, at two rates, since demand often returns.

use std::time::Duration;

use super::demand_history::DemandHistory;
use super::job::Job;
use super::job_key::JobKey;
use super::pool_count::PoolCount;
use super::queue_order::round_work;
use super::scheduler::Scheduler;
use super::spec::Resources;
use super::task_queue::RequestedResources;
use crate::ids::ServiceId;

/// Need of a service, in hosts; its two floors fall slowly from their peaks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    /// Hosts that it could use now.
    pub now: f64,
    /// Hosts that it is expected to be able to use when a host that is moved now has arrived.
    pub soon: f64,
    /// Hosts that it keeps when another pool is short of hosts.
    pub lend_floor: f64,
    /// Hosts that it keeps before any are turned off.
    pub power_off_floor: f64,
}

/// The load that running and waiting tasks put on a service.
struct ServiceLoad {
    /// Whether any task runs or waits, also late ones.
    any_task: bool,
    /// Number of hosts that these tasks fill.
    hosts_filled: f64,
    /// Cores of the service's largest listed worker; 0 if none is listed.
    cores_per_host: f64,
    /// Hosts needed by long-running tasks that limit how many of them share a host.
    spread_hosts: f64,
}

impl ServiceLoad {
    /// Hosts needed for this load and for submitted work that keeps `offered_cores` cores busy, if each
    /// host is used up to `target_use`.
    fn hosts_needed(&self, offered_cores: f64, target_use: f64) -> f64 {
        if self.cores_per_host == 0.0 {
            return if self.any_task { self.spread_hosts.max(1.0) } else { self.spread_hosts };
        }
        (self.hosts_filled.max(offered_cores / self.cores_per_host) / target_use).max(self.spread_hosts)
    }
}

impl Scheduler {
    /// Computes the need of each service.
    pub(super) fn compute_need(&mut self, count: &PoolCount) {
        let passed = self.now.saturating_sub(self.pools.need_computed_at).as_secs_f64();
        self.pools.need_computed_at = self.now;
        let all = self.hosts.len() as f64;
        let policy = &self.policy.need;
        let (max_lend_fall, max_power_off_fall) =
            (passed * policy.lend_floor_fall_per_s * all, passed * policy.power_off_floor_fall_per_s * all);
        let services: Vec<ServiceId> = self.config.services.keys().cloned().collect();
        for s in services {
            let have = count.hosts_in(&s) as f64;
            let need = self.next_need(&s, have, max_lend_fall, max_power_off_fall);
            self.pools.need.insert(s, need);
        }
    }

    /// The need of a service whose pool has `have` hosts. Its two floors fall by at most
    /// `max_lend_fall` and `max_power_off_fall`.
    fn next_need(
        &mut self,
        service: &ServiceId,
        have: f64,
        max_lend_fall: f64,
        max_power_off_fall: f64,
    ) -> Need {
        let policy = &self.policy.need;
        let load = self.service_load(service);
        let offered = self.offered_cores(service);
        let now = load.hosts_needed(offered, policy.target_use);
        let soon = load.hosts_needed(self.expected_cores(service), policy.target_use).max(now);
        let before = self.pools.need.get(service).copied().unwrap_or_default();
        // Before its first work, a pool is assumed to have the right size.
        let known = self.pools.services_with_work.contains(service) || now > 0.0;
        let power_off_floor = if known { before.power_off_floor - max_power_off_fall } else { have };
        let lend_floor = before.lend_floor - max_lend_fall;
        if known {
            self.pools.services_with_work.insert(service.clone());
        }
        // An expected surge raises the power-off floor like present use: its signs come and go with
        // single jobs, and hosts should not move back and forth with them.
        Need { now, soon, lend_floor: lend_floor.max(now), power_off_floor: power_off_floor.max(soon) }
    }

    /// The load that running and waiting tasks put on a service.
    fn service_load(&self, service: &ServiceId) -> ServiceLoad {
        let size = self.workers.largest_capacity(service);
        let (room, late) = (self.room_wanted(service), self.waiting_task_room(service).late);
        let policy = &self.policy.need;
        let cpu = (room.cpu_millis as f64 + late.cpu_millis as f64 * policy.late_task_weight)
            / size.cpu_millis as f64;
        let mem =
            (room.mem_mb as f64 + late.mem_mb as f64 * policy.late_task_weight) / size.mem_mb.max(1) as f64;
        ServiceLoad {
            any_task: room != Resources::default() || late != Resources::default(),
            hosts_filled: cpu.max(mem),
            cores_per_host: size.cpu_millis as f64 / 1000.0,
            spread_hosts: f64::from(self.spread_hosts(service)),
        }
    }

    /// Room that is used in a service or wanted by tasks that may begin and whose jobs can be in
    /// time.
    pub fn room_wanted(&self, service: &ServiceId) -> Resources {
        let mut room = self.workers.resources_in_use(service);
        room.add(&self.waiting_task_room(service).in_time);
        room
    }

    /// Room wanted by waiting tasks whose jobs can be in time, and by other waiting tasks. Tasks
    /// held back by a limit of their workspace are not counted.
    fn waiting_task_room(&self, service: &ServiceId) -> RequestedResources {
        let waiting = self.ready.get(service);
        waiting.map(|w| w.requested_within(|owner| self.remaining_limit(owner))).unwrap_or_default()
    }

    /// Hosts needed by long-running tasks that limit how many of them share a host.
    fn spread_hosts(&self, service: &ServiceId) -> u32 {
        let jobs = self.jobs.long_running(service).filter(|j| j.is_open());
        let steps = jobs.flat_map(|j| &j.spec.steps).filter(|s| s.long_running && s.max_per_worker > 0);
        steps.map(|s| s.count.div_ceil(s.max_per_worker)).max().unwrap_or(0)
    }

    /// Adds the work of a submitted job to the demand history, unless no worker could ever do it.
    pub(super) fn record_submitted_work(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key).filter(|job| self.is_job_feasible(&job.spec)) else { return };
        let Some(work) = self.job_work(job) else { return };
        let (now, window) = (self.now, self.policy.need.arrival_window);
        let service = job.spec.service.clone();
        self.pools.demand.entry(service).or_default().add(now, work, window);
    }

    /// Restores the demand history from all jobs on record, which predecessors accepted.
    pub fn restore_demand(&mut self) {
        let arrivals: Vec<(ServiceId, Duration, u64)> = self
            .jobs
            .values()
            .filter_map(|j| {
                let ago = Duration::from_millis(self.wall.saturating_sub(j.spec.accepted_at));
                Some((j.spec.service.clone(), ago, self.job_work(j)?))
            })
            .chain(self.jobs.archived().filter_map(|over| {
                let ago = Duration::from_millis(self.wall.saturating_sub(over.record.accepted_at));
                Some((over.record.service.clone(), ago, over.record.work_core_ms?))
            }))
            .collect();
        let (now, window) = (self.now, self.policy.need.arrival_window);
        for (service, ago, work) in arrivals {
            self.pools.demand.entry(service).or_default().restore(now, ago, work);
        }
        self.pools.demand.values_mut().for_each(|d| d.finish_restore(now, window));
    }

    /// Work of one round of a job, in core-milliseconds; `None` if the job does not end by itself
    /// or no round of it is open.
    pub(super) fn job_work(&self, job: &Job) -> Option<u64> {
        if job.spec.is_long_running() || job.rounds.is_empty() {
            return None;
        }
        let duration =
            |n: usize| self.durations.expect(&job.spec.queue, job.spec.steps[n].estimate, &self.policy.order);
        Some(round_work(&job.spec, &duration))
    }

    /// Cores kept busy by work that is submitted at the current rate.
    fn offered_cores(&self, service: &ServiceId) -> f64 {
        let demand = self.pools.demand.get(service);
        demand.map_or(0.0, |d| d.rate(self.now, Duration::ZERO, self.policy.need.arrival_window))
    }

    /// Cores expected to be busy soon, if the rate goes on rising or a surge has begun.
    fn expected_cores(&self, service: &ServiceId) -> f64 {
        let Some(demand) = self.pools.demand.get(service) else { return 0.0 };
        let policy = &self.policy.need;
        let window = policy.arrival_window;
        let recent = self.offered_cores(service);
        let before = demand.rate(self.now, window, window);
        // The mean rate of a window stands for the middle of it.
        let ahead = if policy.rise_lookahead.is_zero() {
            0.0
        } else {
            (policy.rise_lookahead + window / 2).as_secs_f64()
        };
        let rise = (recent - before).max(0.0) / window.as_secs_f64();
        let extrapolated = (recent + rise * ahead).min(recent * policy.max_rise);
        extrapolated.max(self.surge_cores(service, demand, recent))
    }

    /// Cores that a surge of demand is expected to need, if one has just begun.
    fn surge_cores(&self, service: &ServiceId, demand: &DemandHistory, recent: f64) -> f64 {
        let policy = &self.policy.need;
        let calm_rate = demand.rate(self.now, policy.arrival_window, policy.calm_window);
        if policy.surge_peak_share == 0.0 || recent < calm_rate * policy.surge_rise {
            return 0.0;
        }
        if demand.job_count(self.now, policy.arrival_window) < policy.surge_min_jobs {
            return 0.0;
        }
        let cores_per_host =
            self.hosts.values().map(|host| host.capacity.cpu_millis).max().unwrap_or(0) as f64 / 1000.0;
        if recent < cores_per_host * self.share_of_hosts(policy.surge_min_share) {
            return 0.0;
        }
        // The surge's own rates so far don't tell how high it will rise.
        let own_peak = demand.peak_rate_before(self.now, policy.calm_window);
        let own_peak_applies = if policy.surge_from_other_services {
            own_peak * policy.surge_peak_share > recent
        } else {
            own_peak > 0.0
        };
        if own_peak_applies {
            return own_peak * policy.surge_peak_share;
        }
        let highest_peak = self.pools.demand.values().map(DemandHistory::peak_rate).fold(0.0, f64::max);
        let declared = self.pools.declared_sizes.get(service).map_or(0.0, |count| *count as f64);
        let latest = demand.rate(self.now, Duration::ZERO, policy.arrival_window / 3);
        let still_rises = latest >= recent * policy.new_surge_min_rise;
        let max_cores = if still_rises { latest * policy.new_surge_max_rise } else { recent };
        let new_surge = (declared * policy.new_surge_pool_factor * cores_per_host).min(max_cores);
        (highest_peak * policy.surge_peak_share).max(new_surge)
    }
}
