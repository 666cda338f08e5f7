//! Lower bounds on the number of hosts for the jobs of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::ids::ServiceId;
use workswood_core::jobs::JobSpec;

use super::parameters::MOVE_TIME;
use super::spec::ModelSpec;
use super::workload::ModelJob;

/// Length of the time slots for which the bounds are computed.
const SLOT_LENGTH: Duration = Duration::from_millis(50);

/// Mean numbers of hosts over a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LowerBounds {
    /// Hosts needed if the work could be divided freely and spread evenly over the run. No
    /// policy that does all the work needs fewer.
    pub any_policy: f64,
    /// Hosts needed with a perfect forecast and no delays. Each task runs as soon as its step
    /// may start, a pool has just enough hosts for the capacity in use, and each host is ordered
    /// ahead by the time that its move takes.
    pub perfect_forecast: f64,
}

/// CPU capacity in use in each time slot by service, in thousandths of a core.
type CpuUsage = BTreeMap<ServiceId, Vec<u64>>;

/// Computes the bounds for a run of `jobs` that ends at `end`.
pub fn lower_bounds(spec: &ModelSpec, jobs: &[ModelJob], end: Duration) -> LowerBounds {
    let usage = cpu_usage(jobs, end);
    let slots = slot_of(end).max(1) as f64;
    let host_cpu = spec.cpu_millis;
    let total: u64 = usage.values().flatten().sum();
    let hosts: u64 = usage.values().map(|used| ordered_hosts(used, host_cpu)).sum();
    LowerBounds { any_policy: total as f64 / host_cpu as f64 / slots, perfect_forecast: hosts as f64 / slots }
}

fn slot_of(at: Duration) -> usize {
    (at.as_millis() / SLOT_LENGTH.as_millis()) as usize
}

/// CPU capacity in use if each task runs as soon as its step may start.
fn cpu_usage(jobs: &[ModelJob], end: Duration) -> CpuUsage {
    let slots = slot_of(end);
    let mut usage = CpuUsage::new();
    for j in jobs {
        let used = usage.entry(j.spec.service.clone()).or_insert_with(|| vec![0; slots]);
        let starts = earliest_starts(&j.spec, &j.step_durations);
        for (n, step) in j.spec.steps.iter().enumerate() {
            let (from, to) = (j.submitted_at + starts[n], j.submitted_at + starts[n] + j.step_durations[n]);
            let step_cpu = u64::from(step.count) * step.resources.cpu_millis;
            let span = slot_of(from).min(slots)..slot_of(to).min(slots);
            used[span].iter_mut().for_each(|slot| *slot += step_cpu);
        }
    }
    usage
}

/// Earliest start of each step, as the time since the submission of the job.
fn earliest_starts(spec: &JobSpec, step_durations: &[Duration]) -> Vec<Duration> {
    let mut starts: Vec<Duration> = Vec::new();
    // Steps depend only on earlier steps, so one pass is enough.
    for step in &spec.steps {
        let ends = step.depends_on.iter().map(|a| starts[usize::from(*a)] + step_durations[usize::from(*a)]);
        starts.push(ends.max().unwrap_or_default());
    }
    starts
}

/// Sum over all time slots of the hosts that a pool needs, each ordered ahead by its move time.
fn ordered_hosts(used: &[u64], host_cpu: u64) -> u64 {
    let ahead = slot_of(MOVE_TIME);
    let needed: Vec<u64> = used.iter().map(|cpu| cpu.div_ceil(host_cpu)).collect();
    let ordered_at = |from: usize| {
        let until = (from + ahead + 1).min(needed.len());
        needed[from..until].iter().max().copied().unwrap_or(0)
    };
    (0..needed.len()).map(ordered_at).sum()
}
