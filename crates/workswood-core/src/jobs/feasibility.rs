//! Steps that no known worker could ever take, whatever room there is.
//!
//! They are set aside, so that they neither take part in placement nor count as work that waits for room. They
//! return once a worker or host is listed that could take them.

use std::collections::{BTreeMap, BTreeSet};

use super::host::Host;
use super::scheduler::Scheduler;
use super::spec::{JobSpec, Resources, StepId};
use super::stable_map::StableMap;
use super::step_demand::StepDemand;
use super::worker::WorkerInfo;
use crate::ids::{HostId, ServiceId};

/// Size and labels of a worker or a host.
type Kind<'a> = (&'a Resources, &'a [String]);

impl Scheduler {
    /// Sizes and labels of all listed workers and hosts, of all services: hosts move between pools.
    fn known_kinds(&self) -> impl Iterator<Item = Kind<'_>> {
        let infos = self.workers.values().filter(|w| w.listed).filter_map(|w| w.info.as_deref());
        let workers = infos.map(|info| (&info.capacity, info.labels.as_slice()));
        workers.chain(self.hosts.values().map(|host| (&host.capacity, host.labels.as_slice())))
    }

    /// Whether some known worker or host could take the tasks of a step. As long as none is known, all could.
    pub(super) fn is_feasible(&self, demand: &StepDemand) -> bool {
        demand.fits_together(self.known_kinds()) || self.known_kinds().next().is_none()
    }

    /// Whether some known worker or host could take each step of a job.
    pub(super) fn is_job_feasible(&self, spec: &JobSpec) -> bool {
        let demands: BTreeSet<StepDemand> = spec.steps.iter().map(StepDemand::of).collect();
        demands.iter().all(|demand| self.is_feasible(demand))
    }

    /// Sets a step aside that found no worker, if none could ever take it; returns whether it did.
    pub(super) fn set_aside_if_infeasible(&mut self, service: &ServiceId, id: &StepId) -> bool {
        let step = self.jobs.get(&id.job).and_then(|j| j.spec.steps.get(usize::from(id.step)));
        let Some(demand) = step.map(StepDemand::of) else { return false };
        let is_known = self.ready.get(service).is_some_and(|w| w.has_set_aside(&demand));
        if !is_known && self.is_feasible(&demand) {
            return false;
        }
        if let Some(waiting) = self.ready.get_mut(service) {
            waiting.set_aside(id, demand);
        }
        self.counters.steps_set_aside += 1;
        self.notes
            .push(format_args!("event=step_set_aside step={id} service={service} reason=fits_no_worker"));
        true
    }

    /// Takes steps back into the queues that a worker which is new or has changed could take.
    pub(super) fn restore_steps_for(&mut self, info: &WorkerInfo) {
        self.restore_steps(|demand| demand.fits(&info.capacity, &info.labels));
    }

    /// Takes steps back into the queues that a host could take which was not listed so before.
    pub(super) fn restore_steps_for_hosts(&mut self, before: &StableMap<HostId, Host>) {
        if self.ready.values().all(|w| !w.has_any_set_aside()) {
            return;
        }
        let is_known = |host: &&Host| {
            before.get(&host.name).is_some_and(|b| b.capacity == host.capacity && b.labels == host.labels)
        };
        let kinds = |host: &Host| (host.capacity, host.labels.clone());
        let new: Vec<(Resources, Vec<String>)> =
            self.hosts.values().filter(|host| !is_known(host)).map(kinds).collect();
        if !new.is_empty() {
            self.restore_steps(|demand| new.iter().any(|(capacity, labels)| demand.fits(capacity, labels)));
        }
    }

    fn restore_steps(&mut self, fits: impl Fn(&StepDemand) -> bool) {
        let mut restored: BTreeMap<ServiceId, usize> = BTreeMap::new();
        for (service, waiting) in self.ready.iter_mut() {
            let steps = waiting.restore_steps(&fits);
            if steps > 0 {
                restored.insert(service.clone(), steps);
            }
        }
        for (service, steps) in restored {
            self.notes.push(format_args!("event=steps_restored service={service} steps={steps}"));
            self.schedule_placement(&service);
        }
    }
}
