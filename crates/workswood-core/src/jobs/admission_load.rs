//! The load of each service, as admission weighs it.

use std::collections::BTreeMap;

use super::admission::{Loads, ServiceLoad, WaitingWork, work_of};
use super::queue_order::{QueuePosition, Timeliness};
use super::scheduler::Scheduler;
use super::spec::{Resources, StepSpec};
use crate::ids::ServiceId;

impl Scheduler {
    /// The load of all services.
    pub fn loads(&self) -> Loads {
        let services = self.config.services.values().filter(|s| !s.spare);
        let spared = self.hosts_to_spare();
        let load = |service: &ServiceId| (service.clone(), self.load_of(service, &spared));
        let rate = |owner| self.config.workspaces.jobs_per_s(owner);
        Loads {
            services: services.map(|s| load(&s.name)).collect::<BTreeMap<_, _>>(),
            owners_over_rate: self.submission_rates.owners_over_rate(rate, self.wall),
            durations: self.durations.clone(),
        }
    }

    fn load_of(&self, service: &ServiceId, spared: &BTreeMap<ServiceId, f64>) -> ServiceLoad {
        let lasting = self.long_running_use(service).cpu_millis as f64;
        let listed = self.workers.listed_cpu(service) as f64;
        let per_host = self.workers.largest_capacity(service).cpu_millis as f64;
        let elsewhere: f64 = spared.iter().filter(|(pool, _)| *pool != service).map(|(_, n)| n).sum();
        let share = self.policy.need.target_use / self.memory_per_cpu(service);
        let cores = |cpu_millis: f64| (cpu_millis - lasting).max(0.0) / 1000.0 * share;
        ServiceLoad {
            cores: cores(listed),
            cores_after_moves: cores(listed + elsewhere * per_host),
            order: self.placement_order(service),
            waiting: self.waiting_work(service),
        }
    }

    /// By pool, hosts that it can do without.
    fn hosts_to_spare(&self) -> BTreeMap<ServiceId, f64> {
        let count = self.count_pools();
        let pools = self.config.services.values().map(|s| {
            let need = self.pools.need.get(&s.name).copied().unwrap_or_default();
            let kept = if s.spare { 0.0 } else { need.lend_floor + self.margin() };
            (s.name.clone(), (count.hosts_in(&s.name) as f64 - kept).max(0.0))
        });
        pools.collect()
    }

    /// Resources that the long-running jobs of a service reserve.
    fn long_running_use(&self, service: &ServiceId) -> Resources {
        let mut total = Resources::default();
        let steps = self.jobs.long_running(service).filter(|j| j.is_open()).flat_map(|j| &j.spec.steps);
        let reserved = |s: &StepSpec| s.reserved_resources().times(s.count.into());
        steps.filter(|s| s.long_running).for_each(|s| total.add(&reserved(s)));
        total
    }

    /// How many times its share of the processors the waiting work takes of the memory; at least 1.
    fn memory_per_cpu(&self, service: &ServiceId) -> f64 {
        let size = self.workers.largest_capacity(service);
        let waiting = self.ready.get(service).map(|w| w.requested().in_time).unwrap_or_default();
        if size.mem_mb == 0 || waiting.cpu_millis == 0 {
            return 1.0;
        }
        let mem = waiting.mem_mb as f64 / size.mem_mb as f64;
        let cpu = waiting.cpu_millis as f64 / size.cpu_millis.max(1) as f64;
        (mem / cpu).max(1.0)
    }

    /// Work that waits in a service and can be in time, without long-running tasks.
    fn waiting_work(&self, service: &ServiceId) -> Vec<WaitingWork> {
        let steps = self.ready.get(service).into_iter().flat_map(|w| w.waiting_steps());
        let in_time = |p: &QueuePosition| p.timeliness == Timeliness::InTime && p.deadline_key > 0;
        let work = |(position, tasks): (&QueuePosition, usize)| {
            let spec = &self.jobs.get(&position.step.job)?.spec;
            let step = spec.steps.get(usize::from(position.step.step))?;
            let duration = self.durations.expect(&spec.queue, step.estimate, &self.policy.order);
            Some(WaitingWork {
                priority: position.priority,
                over_rate: position.over_rate,
                latest_start: position.deadline_key,
                job_work: position.work_key,
                work: work_of(tasks as u64, &step.resources, duration),
            })
        };
        steps.filter(|(position, _)| in_time(position)).filter_map(work).collect()
    }
}
