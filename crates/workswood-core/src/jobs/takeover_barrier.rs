//! Tasks that a new lease holder holds back, because its predecessor may have started them without a
//! record; see [`outage`](super::outage).
//!
//! Such a run may be on any worker that was open on record at the takeover. A worker is *settled* once
//! the new holder knows what runs there: with its first full report, which follows the new token, when
//! its incarnation is over, or when its lease has expired. Until all are settled that could take the
//! task, tasks of jobs that had a record at the takeover are not started.

use std::collections::{BTreeMap, BTreeSet};

use super::job::WorkerId;
use super::outage::allows_unrecorded_starts;
use super::scheduler::Scheduler;
use super::spec::{JobKey, JobSpec, Resources, StepId, StepSpec};
use super::worker::Worker;
use crate::ids::ServiceId;

/// With more unsettled workers than this, they count as able to run everything that waits.
const MAX_EXAMINED_WORKERS: usize = 16;
/// More than any workspace may use, and little enough to be added to.
const UNKNOWN_USE: Resources =
    Resources { cpu_millis: u64::MAX / 4, mem_mb: u64::MAX / 4, gpus: u64::MAX / 4 };

/// Workers that are not settled, and the jobs whose tasks may run on them.
#[derive(Debug, Default)]
pub struct TakeoverBarrier {
    unsettled: BTreeMap<ServiceId, BTreeSet<WorkerId>>,
    /// Service of each unsettled worker.
    services: BTreeMap<WorkerId, ServiceId>,
    /// Jobs that had a record at the takeover.
    recorded_jobs: BTreeSet<JobKey>,
    /// Services all of whose workers are settled, since that was last logged.
    finished: BTreeSet<ServiceId>,
}

impl TakeoverBarrier {
    /// Notes that a job had a record at the takeover.
    pub(super) fn note_recorded_job(&mut self, key: JobKey) {
        self.recorded_jobs.insert(key);
    }

    fn remove(&mut self, id: &WorkerId) {
        let Some(service) = self.services.remove(id) else { return };
        let Some(workers) = self.unsettled.get_mut(&service) else { return };
        workers.remove(id);
        if workers.is_empty() {
            self.unsettled.remove(&service);
            self.finished.insert(service);
        }
    }
}

impl Scheduler {
    /// Holds tasks back for a worker that a predecessor recorded, if it was open.
    pub(super) fn hold_back_for(&mut self, id: &WorkerId, open: bool) {
        let Some(service) = self.workers.get(id).and_then(|w| w.info.as_ref()).map(|i| i.service.clone())
        else {
            return;
        };
        if open {
            self.barrier.services.insert(id.clone(), service.clone());
            self.barrier.unsettled.entry(service).or_default().insert(id.clone());
        }
    }

    /// Whether it is known what predecessors started on a worker.
    pub(super) fn is_settled(&self, id: &WorkerId) -> bool {
        !self.barrier.services.contains_key(id)
    }

    /// Number of workers that are not settled.
    pub fn unsettled_workers(&self) -> usize {
        self.barrier.services.len()
    }

    /// Notes that it is known what predecessors started on a worker.
    pub(super) fn settle_barrier(&mut self, id: &WorkerId) {
        self.barrier.remove(id);
    }

    /// Settles unreachable workers whose lease has expired.
    pub(super) fn settle_expired_barrier(&mut self) {
        let now = self.now;
        let expired = |id: &WorkerId| self.workers.get(id).is_none_or(|w| !w.reachable && w.lease_end < now);
        let expired: Vec<WorkerId> = self.barrier.services.keys().filter(|id| expired(id)).cloned().collect();
        for id in expired {
            self.notes.push(format_args!("event=worker_settled worker={id} reason=lease_ended"));
            self.settle_barrier(&id);
            self.update_open(&id);
            self.forget_if_unlisted_and_idle(&id);
        }
    }

    /// Has placed what was held back for services all of whose workers are settled.
    pub(super) fn finish_barrier(&mut self) {
        for service in std::mem::take(&mut self.barrier.finished) {
            self.notes.push(format_args!(
                "event=takeover_barrier_over service={service} held_ms={}",
                self.now.saturating_sub(self.claimed_at).as_millis()
            ));
            self.services_to_place.insert(service);
        }
    }

    /// Whether tasks of a step without a run may run somewhere, started without a record.
    pub(super) fn is_held_back(&self, spec: &JobSpec, step: &StepSpec, id: &StepId) -> bool {
        let Some(unsettled) = self.barrier.unsettled.get(&spec.service) else { return false };
        if !self.barrier.recorded_jobs.contains(&id.job) || !allows_unrecorded_starts(step) {
            return false;
        }
        unsettled.len() > MAX_EXAMINED_WORKERS
            || unsettled.iter().filter_map(|id| self.workers.get(id)).any(|w| could_run(w, step))
    }

    /// Resources that runs without a record may use on workers that are not settled, as far as known.
    pub(super) fn resources_behind_barrier(&self) -> Resources {
        if self.barrier.services.len() > MAX_EXAMINED_WORKERS {
            return UNKNOWN_USE;
        }
        let mut total = Resources::default();
        let unsettled = self.barrier.services.keys().filter_map(|id| self.workers.get(id));
        unsettled.for_each(|w| total.add(&self.largest_capacity_like(w)));
        total
    }

    /// Capacity of a worker; while it is not listed, the largest one of its service.
    fn largest_capacity_like(&self, w: &Worker) -> Resources {
        let Some(info) = &w.info else { return Resources::default() };
        if info.capacity != Resources::default() {
            return w.free_resources();
        }
        self.workers.largest_capacity(&info.service)
    }
}

/// Whether a worker has enough capacity and the label for tasks of a step; `true` while these are not
/// known.
fn could_run(w: &Worker, step: &StepSpec) -> bool {
    let Some(info) = &w.info else { return true };
    let known = info.capacity != Resources::default();
    let labelled = step.label.as_ref().is_none_or(|label| info.labels.contains(label));
    !known || labelled && info.capacity.contains(&step.reserved_resources())
}
