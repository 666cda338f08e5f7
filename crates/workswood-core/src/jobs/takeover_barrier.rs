//! Tasks that a new lease holder holds back, because its predecessor may have started them without a
//! record; see [`outage`](super::outage).
//!
//! Such a run may be on any worker that was open on record at the takeover. A worker is *settled* once
//! the new holder knows what runs there: with its first full report, which follows the new token, when
//! its incarnation is over, or when its lease has expired. Until all of a service are settled, tasks of
//! its jobs that had a record at the takeover are not started, whatever capacity and labels the workers
//! list by then.

use std::collections::{BTreeMap, BTreeSet};

use super::job::{Job, JobStatus, Outcome, Task, WorkerId};
use super::job_key::JobKey;
use super::outage::allows_unrecorded_starts;
use super::scheduler::Scheduler;
use super::spec::{JobSpec, Resources, StepId, StepSpec, TaskId};
use super::workspace::Owner;
use crate::ids::{HostId, ServiceId};

/// With more unsettled workers than this, they count as having room for everything that waits.
const MAX_EXAMINED_WORKERS: usize = 16;

/// What tasks that may run without a record would use.
#[derive(Clone, Copy, Debug, Default)]
struct HiddenUse {
    /// Resources that they would reserve on their workers.
    reserved: Resources,
    /// Resources that would be charged to their workspace.
    charged: Resources,
}

impl HiddenUse {
    /// The use of these tasks of a job.
    fn of_tasks(job: &Job, counts: impl Fn(&TaskId, &StepSpec, &Task) -> bool) -> HiddenUse {
        let mut total = HiddenUse::default();
        for id in job.task_ids() {
            let (Some(step), Some(task)) = (job.step(&id), job.task(&id)) else { continue };
            if allows_unrecorded_starts(step) && counts(&id, step, task) {
                total.reserved.add(&step.reserved_resources());
                total.charged.add(&step.resources);
            }
        }
        total
    }

    fn add(&mut self, other: &HiddenUse) {
        self.reserved.add(&other.reserved);
        self.charged.add(&other.charged);
    }

    /// What is charged at most if there is room for so much only; best-effort tasks need no room.
    fn charged_within(&self, room: Option<Resources>) -> Resources {
        let mut charged = room.map_or(self.reserved, |room| self.reserved.min(&room));
        charged.add(&self.charged.saturating_sub(&self.reserved));
        charged
    }
}

/// A job that had a record at the takeover.
#[derive(Debug)]
struct RecordedJob {
    owner: Owner,
    service: ServiceId,
    /// Whether some step allows copies, which may go on after the job is done.
    has_copies: bool,
    /// What its tasks could use that were not done at the takeover.
    at_takeover: HiddenUse,
}

/// Workers that are not settled, and the jobs whose tasks may run on them.
#[derive(Debug, Default)]
pub struct TakeoverBarrier {
    unsettled: BTreeMap<ServiceId, BTreeSet<WorkerId>>,
    /// Service of each unsettled worker.
    services: BTreeMap<WorkerId, ServiceId>,
    /// Jobs that had a record at the takeover.
    recorded_jobs: BTreeMap<JobKey, RecordedJob>,
    /// What tasks of each owner with a limit may use without a record.
    hidden_use: BTreeMap<Owner, Resources>,
    /// Services all of whose workers are settled, since that was last logged.
    finished: BTreeSet<ServiceId>,
}

impl TakeoverBarrier {
    /// Notes that a job had a record at the takeover.
    pub(super) fn note_recorded_job(&mut self, job: &Job) {
        let recorded = RecordedJob {
            owner: job.spec.owner(),
            service: job.spec.service.clone(),
            has_copies: job.spec.steps.iter().any(|s| s.speculative),
            at_takeover: HiddenUse::of_tasks(job, |_, step, task| step.speculative || !task.done),
        };
        self.recorded_jobs.insert(job.key, recorded);
    }

    /// Removes a worker; returns the service that it had on record if it was not settled.
    fn remove(&mut self, id: &WorkerId) -> Option<ServiceId> {
        let service = self.services.remove(id)?;
        let workers = self.unsettled.get_mut(&service)?;
        workers.remove(id);
        if workers.is_empty() {
            self.unsettled.remove(&service);
            self.finished.insert(service.clone());
        }
        Some(service)
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

    /// Whether a host has a worker on which a predecessor may have started tasks without a record.
    pub(super) fn may_hide_runs(&self, host: &HostId) -> bool {
        self.workers.on_host(host).iter().any(|id| !self.is_settled(id))
    }

    /// Number of workers that are not settled.
    pub fn unsettled_workers(&self) -> usize {
        self.barrier.services.len()
    }

    /// Notes that it is known what predecessors started on a worker. Its record may name the service that it
    /// lists from now on.
    pub(super) fn settle_barrier(&mut self, id: &WorkerId) {
        let Some(recorded) = self.barrier.remove(id) else { return };
        let info = self.workers.get(id).and_then(|w| w.info.as_ref());
        if info.is_some_and(|info| info.service != recorded) {
            self.dirty_workers.insert(id.clone());
        }
    }

    /// The service for which tasks may run on a worker that is not settled.
    pub(super) fn unsettled_service(&self, id: &WorkerId) -> Option<&ServiceId> {
        self.barrier.services.get(id)
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

    /// Whether tasks of a step without a run may run somewhere, started without a record. What a worker that
    /// is not settled lists now doesn't tell what a predecessor started there: it may have shrunk or lost a
    /// label since.
    pub(super) fn is_held_back(&self, spec: &JobSpec, step: &StepSpec, id: &StepId) -> bool {
        self.barrier.unsettled.contains_key(&spec.service)
            && self.barrier.recorded_jobs.contains_key(&id.job)
            && allows_unrecorded_starts(step)
    }

    /// Resources that tasks of an owner may use without a record, as of the last batch.
    pub(super) fn hidden_use(&self, owner: Owner) -> Resources {
        self.barrier.hidden_use.get(&owner).copied().unwrap_or_default()
    }

    /// Computes what the tasks that are held back may use, for each owner with a limit.
    pub(super) fn update_hidden_use(&mut self) {
        self.barrier.hidden_use.clear();
        if self.barrier.services.is_empty() {
            return;
        }
        let limited = |owner: Owner| self.config.workspaces.limit(owner) != Resources::default();
        let mut total: BTreeMap<Owner, HiddenUse> = BTreeMap::new();
        for (key, recorded) in self.barrier.recorded_jobs.iter().filter(|(_, r)| limited(r.owner)) {
            if self.barrier.unsettled.contains_key(&recorded.service) {
                total.entry(recorded.owner).or_default().add(&self.hidden_use_of_job(*key, recorded));
            }
        }
        let charged =
            |(owner, used): (Owner, HiddenUse)| (owner, used.charged_within(self.room_behind_barrier(owner)));
        let hidden_use = total.into_iter().map(charged).collect();
        self.barrier.hidden_use = hidden_use;
    }

    /// What the tasks of a job may use without a record. A task with a recorded run is charged already.
    fn hidden_use_of_job(&self, key: JobKey, recorded: &RecordedJob) -> HiddenUse {
        if let Some(job) = self.jobs.get(&key).filter(|job| job.is_open()) {
            return HiddenUse::of_tasks(job, |id, step, task| {
                let may_run = step.speculative || task.is_idle();
                may_run && self.is_held_back(&job.spec, step, &id.step_id())
            });
        }
        // Runs of a job that was cancelled or failed since may still have to be stopped.
        match self.jobs.status(&key) {
            Some(JobStatus::Ended(Outcome::Completed)) if !recorded.has_copies => HiddenUse::default(),
            _ => recorded.at_takeover,
        }
    }

    /// Room for an owner's runs without a record on workers that are not settled; `None` if that is not known.
    fn room_behind_barrier(&self, owner: Owner) -> Option<Resources> {
        if self.barrier.services.len() > MAX_EXAMINED_WORKERS {
            return None;
        }
        let mut total = Resources::default();
        for (id, service) in &self.barrier.services {
            total.add(&self.largest_room_like(id, service, owner)?);
        }
        (total != Resources::default()).then_some(total)
    }

    /// The most that a worker may have had for an owner's runs without a record. It may have shrunk since, so
    /// what its host has and the largest capacity of its service count as well. Recorded runs of other owners
    /// may have been over before.
    fn largest_room_like(&self, id: &WorkerId, service: &str, owner: Owner) -> Option<Resources> {
        let w = self.workers.get(id)?;
        let info = w.info.as_ref()?;
        let of_host = self.hosts.get(&info.host).map(|host| host.capacity).unwrap_or_default();
        let mut room = self.workers.largest_capacity(service).max(&of_host).max(&info.capacity);
        if info.capacity != Resources::default() {
            let own = w.runs.values().filter(|held| held.owner == owner);
            own.for_each(|held| room = room.saturating_sub(&held.resources));
        }
        Some(room)
    }
}
