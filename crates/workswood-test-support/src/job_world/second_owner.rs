//! Jobs of other owners under the numbers of other jobs: of a second workspace, of a second queue of the same service, and of
//! a queue of another service.
//!
//! The world and its oracle know such a job under a key of its own, and its tasks likewise. Workers know the number alone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::{StateSlot, WorkerId};
use workswood_core::jobs::restored_jobs::{RestoredJobs, join_states};
use workswood_core::jobs::{
    Event, JobKey, JobNumber, JobRecord, JobSpec, Owner, QueueConfig, QueueTag, SchedConfig, ServiceConfig,
    TaskId,
};

use super::{QUEUE, SERVICE, World, config};

/// Workspace of the second owner.
const WORKSPACE: &str = "second";
/// Bit of the keys of jobs of the second workspace.
const SECOND: JobNumber = 1 << 63;
/// Bit of the keys of jobs of the second queue of the service.
const SHARED: JobNumber = 1 << 62;
/// Bit of the keys of jobs of the queue of the other service.
const APART: JobNumber = 1 << 61;
/// The second queue of the service, and the queue of the other service, in a world with several.
const SHARED_QUEUE: &str = "shared-queue";
const APART_QUEUE: &str = "apart-queue";
/// The other service.
const OTHER_SERVICE: &str = "yard";

/// Another owner of jobs under the numbers of other jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherOwner {
    /// Another workspace.
    Workspace,
    /// Another queue of the same service.
    SharedQueue,
    /// A queue of another service.
    ApartQueue,
}

impl OtherOwner {
    /// The key under which the world knows this owner's job of a number.
    pub fn key(self, number: JobNumber) -> JobNumber {
        match self {
            OtherOwner::Workspace => number | SECOND,
            OtherOwner::SharedQueue => number | SHARED,
            OtherOwner::ApartQueue => number | APART,
        }
    }

    /// A job as one of this owner.
    pub(super) fn spec(self, spec: JobSpec) -> JobSpec {
        let queue = |name: &str, service: &str| JobSpec {
            queue: name.to_string(),
            service: service.to_string(),
            tag: tag(name),
            ..spec.clone()
        };
        match self {
            OtherOwner::Workspace => JobSpec { workspace: Some(WORKSPACE.to_string()), ..spec },
            OtherOwner::SharedQueue => queue(SHARED_QUEUE, SERVICE),
            OtherOwner::ApartQueue => queue(APART_QUEUE, OTHER_SERVICE),
        }
    }
}

fn host_name(queue: &str) -> String {
    format!("{queue}.example")
}

fn tag(queue: &str) -> QueueTag {
    QueueTag::of_address(&host_name(queue), "/")
}

/// The key under which the world knows the second workspace's job of a number.
pub fn second_key(number: JobNumber) -> JobNumber {
    OtherOwner::Workspace.key(number)
}

/// The number of a job by its key.
pub(super) fn number_of(key: JobNumber) -> JobNumber {
    key & !(SECOND | SHARED | APART)
}

/// The key under which the world knows a job of the scheduler.
pub(super) fn key_of(job: JobKey) -> JobNumber {
    let is_of = |queue: &str| job.owner.queue == tag(queue);
    if job.owner.workspace == Owner::of_workspace(Some(WORKSPACE)) {
        OtherOwner::Workspace.key(job.number)
    } else if is_of(SHARED_QUEUE) {
        OtherOwner::SharedQueue.key(job.number)
    } else if is_of(APART_QUEUE) {
        OtherOwner::ApartQueue.key(job.number)
    } else {
        job.number
    }
}

/// Adds the further queues and the other service to a configuration.
pub(super) fn add_queues(cfg: &mut SchedConfig) {
    let first = cfg.queues[QUEUE].clone();
    for (name, service) in [(SHARED_QUEUE, SERVICE), (APART_QUEUE, OTHER_SERVICE)] {
        let queue = QueueConfig {
            name: name.to_string(),
            host_name: host_name(name),
            path_prefix: "/".to_string(),
            service: service.to_string(),
            ..first.clone()
        };
        cfg.queues.insert(name.to_string(), queue);
    }
    let other = ServiceConfig { name: OTHER_SERVICE.to_string(), ..cfg.services[SERVICE].clone() };
    cfg.services.insert(OTHER_SERVICE.to_string(), other);
}

/// States of jobs as they are stored.
#[derive(Default)]
pub(super) struct StoredJobs(BTreeMap<(JobKey, StateSlot), JobRecord>);

impl StoredJobs {
    pub(super) fn insert(&mut self, key: JobKey, rec: &JobRecord) {
        let in_key = key.has_queue() || rec.slot == StateSlot::NumberAndOwner;
        let stored_under = if in_key { key } else { JobKey::of_number(key.number) };
        self.0.insert((stored_under, rec.slot), rec.clone());
    }
}

/// Whose attempts were ordered, by the service whose workers they were ordered from.
#[derive(Default)]
pub(super) struct Attempts(BTreeMap<(&'static str, TaskId, u32), JobNumber>);

impl World {
    /// Submits a job of another owner under a number.
    pub fn submit_other(&mut self, owner: OtherOwner, number: JobNumber, spec: JobSpec) {
        self.enqueue_submission(owner.key(number), Arc::new(owner.spec(spec)));
    }

    /// Submits a job of the second workspace under a number.
    pub fn submit_second(&mut self, number: JobNumber, spec: JobSpec) {
        self.submit_other(OtherOwner::Workspace, number, spec);
    }

    /// The key under which the scheduler knows a job of the world.
    pub(super) fn job_key(&self, key: JobNumber) -> JobKey {
        let number = number_of(key);
        self.jobs.get(&key).map_or(JobKey::of_number(number), |spec| spec.key(number))
    }

    /// The tag of the first queue, which jobs tell where there are several or it changes.
    pub(super) fn first_tag(&self) -> QueueTag {
        if self.two_services || self.queue_changes.enabled {
            config().queues[QUEUE].tag()
        } else {
            QueueTag::UNKNOWN
        }
    }

    /// The service of a worker.
    pub(super) fn service_of(&self, n: usize) -> &'static str {
        if self.two_services && n % 2 == 1 { OTHER_SERVICE } else { SERVICE }
    }

    /// Has the holders read a submission.
    pub(super) fn enqueue_submission(&mut self, key: JobNumber, spec: Arc<JobSpec>) {
        self.enqueue_submission_after(Duration::ZERO, key, spec);
    }

    /// Stores a submission, which the holders read after a delay.
    pub(super) fn enqueue_submission_after(&mut self, delay: Duration, key: JobNumber, spec: Arc<JobSpec>) {
        self.jobs.insert(key, spec.clone());
        self.trimmed.remove(&key);
        let (at, number) = (self.now + delay, number_of(key));
        self.holders.iter_mut().for_each(|h| h.enqueue_event(at, Event::Submitted(number, spec.clone())));
    }

    /// The jobs as a new holder reads them.
    pub(super) fn read_jobs(&self) -> RestoredJobs {
        let submitted = self.jobs.iter().filter(|(key, _)| !self.trimmed.contains(key));
        let submitted = submitted.map(|(key, spec)| (number_of(*key), spec.clone()));
        join_states(submitted, self.stored_jobs.0.iter().map(|((key, _), rec)| (*key, rec.clone())))
    }

    /// Notes whose attempt an order of a holder starts. No attempt is that of two jobs on one service.
    pub(super) fn note_attempt(&mut self, n: usize, worker: &WorkerId, task: TaskId, attempt: u32) {
        if !self.holders[n].sched.jobs.contains(&task.job) {
            return;
        }
        let Some(service) = self.workers.iter().position(|w| w.id.name() == worker.name()) else { return };
        let (service, key) = (self.service_of(service), key_of(task.job));
        let known = *self.attempts.0.entry((service, task.unowned(), attempt)).or_insert(key);
        if known != key {
            self.seen
                .violations
                .push(format!("MIXED: {task} attempt {attempt} of two jobs at {:?}", self.now));
        }
        if self.jobs.get(&key).is_some_and(|spec| spec.service != service) {
            self.seen.violations.push(format!("ROUTE: {task} is ordered from {service} at {:?}", self.now));
        }
    }

    /// The task of a run on a worker as the oracle knows it.
    pub(super) fn task_of_attempt(&self, at: usize, task: TaskId, attempt: u32) -> TaskId {
        let known = self.attempts.0.get(&(self.service_of(at), task, attempt)).copied();
        TaskId { job: JobKey::of_number(known.unwrap_or(task.job.number)), ..task }
    }
}
