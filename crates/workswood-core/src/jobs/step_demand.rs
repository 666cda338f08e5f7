//! What the tasks of a step ask of a worker, as far as it decides which workers may take them.

use std::cmp::Ordering;

use super::spec::{Resources, StepSpec};

/// What the tasks of a step ask of a worker. Steps that ask for the same find the same workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepDemand {
    /// Resources that a task reserves on its worker.
    resources: Resources,
    /// Label that a worker must have.
    label: Option<String>,
    /// Number of tasks that must run at the same time; 1 if each may run alone.
    together: u32,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    max_per_worker: u32,
}

impl StepDemand {
    /// What a step asks for.
    pub fn of(step: &StepSpec) -> StepDemand {
        StepDemand {
            resources: step.reserved_resources(),
            label: step.label.clone(),
            together: if step.gang { step.count } else { 1 },
            max_per_worker: step.max_per_worker,
        }
    }

    /// How many of the tasks fit on an empty worker of this size with these labels.
    fn tasks_on(&self, capacity: &Resources, labels: &[String]) -> u64 {
        if self.label.as_ref().is_some_and(|label| !labels.contains(label)) {
            return 0;
        }
        let times = |room: u64, needed: u64| room.checked_div(needed).unwrap_or(u64::MAX);
        let limit = if self.max_per_worker == 0 { u64::MAX } else { u64::from(self.max_per_worker) };
        times(capacity.cpu_millis, self.resources.cpu_millis)
            .min(times(capacity.mem_mb, self.resources.mem_mb))
            .min(times(capacity.gpus, self.resources.gpus))
            .min(limit)
    }

    /// Whether a worker of this size with these labels could take one of the tasks.
    pub fn fits(&self, capacity: &Resources, labels: &[String]) -> bool {
        self.tasks_on(capacity, labels) > 0
    }

    /// Whether all tasks that must run together fit on these workers if they were empty.
    pub fn fits_together<'a>(&self, workers: impl Iterator<Item = (&'a Resources, &'a [String])>) -> bool {
        let mut missing = u64::from(self.together);
        for (capacity, labels) in workers {
            missing = missing.saturating_sub(self.tasks_on(capacity, labels));
            if missing == 0 {
                return true;
            }
        }
        false
    }
}

impl Ord for StepDemand {
    fn cmp(&self, other: &StepDemand) -> Ordering {
        let key = |d: &StepDemand| {
            (d.resources.cpu_millis, d.resources.mem_mb, d.resources.gpus, d.together, d.max_per_worker)
        };
        key(self).cmp(&key(other)).then_with(|| self.label.cmp(&other.label))
    }
}

impl PartialOrd for StepDemand {
    fn partial_cmp(&self, other: &StepDemand) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
