//! How many machines the pool of each service needs.
//!
//! The need comes from what runs, what waits and what came in lately. It rises
//! at once and falls slowly, at two speeds: demand that fell often comes back.

use super::job::Job;
use super::order::{Standing, Waiting, work_left};
use super::sched::Scheduler;
use super::spec::{Room, StepSpec};
use crate::ids::ServiceId;

/// Need of a service in machines, falling from its peaks at two speeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    /// What it could use now.
    pub now: f64,
    /// What it keeps when another pool is short.
    pub lend: f64,
    /// What it keeps before machines are turned off.
    pub keep: f64,
}

impl Scheduler {
    /// Works out how many machines each service needs.
    pub(super) fn work_out_need(&mut self) {
        let passed = self.now.saturating_sub(self.pools.worked_out).as_secs_f64();
        self.pools.worked_out = self.now;
        let since = self.now.saturating_sub(self.policy.need.arrivals);
        self.pools.arrivals.values_mut().for_each(|list| list.retain(|(at, _)| *at >= since));
        let all = self.machines.len() as f64;
        let policy = &self.policy.need;
        let (lend_falls, keep_falls) = (passed * policy.lend_per_s * all, passed * policy.forget_per_s * all);
        let services: Vec<ServiceId> = self.config.services.keys().cloned().collect();
        for s in services {
            let need = self.need_after(&s, lend_falls, keep_falls);
            self.pools.need.insert(s, need);
        }
    }

    /// Need of a service, when it falls by so many machines at most.
    fn need_after(&mut self, service: &ServiceId, lend_falls: f64, keep_falls: f64) -> Need {
        let now = self.need_now(service);
        let before = self.pools.need.get(service).copied().unwrap_or_default();
        // Before its first work, a pool is taken to be of the right size.
        let known = self.pools.worked.contains(service) || now > 0.0;
        let keep = if known { before.keep - keep_falls } else { self.pool(service).have };
        let lend = before.lend - lend_falls;
        if known {
            self.pools.worked.insert(service.clone());
        }
        Need { now, lend: lend.max(now), keep: keep.max(now) }
    }

    /// Machines that a service could use at this moment.
    fn need_now(&self, service: &ServiceId) -> f64 {
        let (mut wanted, size) = self.room_in_use(service);
        let (in_time, late) = self.room_waited_for(service);
        wanted.add(&in_time);
        let apart = self.machines_apart(service);
        if size.cpu_millis == 0 {
            return if wanted == Room::default() { f64::from(apart) } else { f64::from(apart.max(1)) };
        }
        let policy = &self.policy.need;
        let cpu = (wanted.cpu_millis as f64 + late.cpu_millis as f64 * policy.late) / size.cpu_millis as f64;
        let mem = (wanted.mem_mb as f64 + late.mem_mb as f64 * policy.late) / size.mem_mb.max(1) as f64;
        let offered = self.offered(service) * 1000.0 / size.cpu_millis as f64;
        (cpu.max(mem).max(offered) / policy.full).max(f64::from(apart))
    }

    /// Room that runs take in a service, and the room of its largest worker.
    pub(super) fn room_in_use(&self, service: &ServiceId) -> (Room, Room) {
        let mut used = Room::default();
        let mut size = Room::default();
        for w in self.workers.values() {
            let Some(info) = w.info.as_ref().filter(|i| i.service == *service) else { continue };
            used.add(&w.used);
            if w.listed && info.capacity.cpu_millis > size.cpu_millis {
                size = info.capacity;
            }
        }
        (used, size)
    }

    /// Room that waiting tasks ask for: those in time, and those that are late.
    fn room_waited_for(&self, service: &ServiceId) -> (Room, Room) {
        let mut in_time = Room::default();
        let mut late = Room::default();
        for place in self.ready.get(service).into_iter().flat_map(Waiting::places) {
            let step = self.jobs.get(&place.task.job).and_then(|j| j.step(&place.task));
            let Some(room) = step.map(StepSpec::reserved) else { continue };
            match place.standing {
                Standing::InTime => in_time.add(&room),
                Standing::Late | Standing::Void => late.add(&room),
            }
        }
        (in_time, late)
    }

    /// Machines that lasting tasks need because only so many may share one.
    fn machines_apart(&self, service: &ServiceId) -> u32 {
        let jobs = self.jobs.values().filter(|j| j.open() && j.spec.service == *service);
        let steps = jobs.flat_map(|j| &j.spec.steps).filter(|s| s.lasting && s.most_per_worker > 0);
        steps.map(|s| s.count.div_ceil(s.most_per_worker)).max().unwrap_or(0)
    }

    /// Takes in the work of a job that was handed in.
    pub(super) fn work_arrived(&mut self, job: &Job) {
        if job.spec.lasts() || job.rounds.is_empty() {
            return;
        }
        let took =
            |n: usize| self.durations.expect(&job.spec.queue, job.spec.steps[n].estimate, &self.policy.order);
        let work = work_left(job, 0, &took);
        let list = self.pools.arrivals.entry(job.spec.service.clone()).or_default();
        list.push_back((self.now, work));
    }

    /// Cores that would be busy if work came in as it did lately.
    fn offered(&self, service: &ServiceId) -> f64 {
        let window = self.policy.need.arrivals;
        let list = self.pools.arrivals.get(service);
        let recent = list.into_iter().flatten().filter(|(at, _)| *at + window > self.now);
        let work: u64 = recent.map(|(_, work)| work).sum();
        work as f64 / window.as_millis() as f64
    }
}
