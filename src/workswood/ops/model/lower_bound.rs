//! How many hosts a run's own jobs need at least.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::ids::ServiceId;
use workswood_core::jobs::JobSpec;

use super::parameters::MOVE;
use super::spec::ModelSpec;
use super::workload::ModelJob;

/// The need is worked out for spans of this length.
const SLOT: Duration = Duration::from_millis(50);

/// Hosts that a run's own jobs need, as means over the run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LowerBounds {
    /// If the work could be cut at will, and were spread over the whole run: no
    /// policy that does all the work has fewer.
    pub any_policy: f64,
    /// With a perfect forecast and no delay: each task runs as soon as it may, on
    /// as few hosts of its pool as hold the room that is in use, and each
    /// host is sent for as long ahead as its move takes.
    pub perfect_forecast: f64,
}

/// Room in use in each slot, by service, in thousandths of a core.
type InUse = BTreeMap<ServiceId, Vec<u64>>;

/// The bound of a run that ends at a time.
pub fn lower_bounds(spec: &ModelSpec, jobs: &[ModelJob], end: Duration) -> LowerBounds {
    let in_use = room_in_use(jobs, end);
    let slots = slot_of(end).max(1) as f64;
    let size = spec.cpu_millis;
    let room: u64 = in_use.values().flatten().sum();
    let hosts: u64 = in_use.values().map(|room| hosts_sent_for(room, size)).sum();
    LowerBounds { any_policy: room as f64 / size as f64 / slots, perfect_forecast: hosts as f64 / slots }
}

fn slot_of(at: Duration) -> usize {
    (at.as_millis() / SLOT.as_millis()) as usize
}

/// Room in use when each task runs as soon as it may.
fn room_in_use(jobs: &[ModelJob], end: Duration) -> InUse {
    let slots = slot_of(end);
    let mut in_use = InUse::new();
    for j in jobs {
        let room = in_use.entry(j.spec.service.clone()).or_insert_with(|| vec![0; slots]);
        let begins = begins(&j.spec, &j.step_durations);
        for (n, step) in j.spec.steps.iter().enumerate() {
            let (from, to) = (j.submitted_at + begins[n], j.submitted_at + begins[n] + j.step_durations[n]);
            let step_room = u64::from(step.count) * step.resources.cpu_millis;
            let span = slot_of(from).min(slots)..slot_of(to).min(slots);
            room[span].iter_mut().for_each(|r| *r += step_room);
        }
    }
    in_use
}

/// How long after the hand-in each step begins at the earliest.
fn begins(spec: &JobSpec, takes: &[Duration]) -> Vec<Duration> {
    let mut begins: Vec<Duration> = Vec::new();
    // Steps wait only for earlier ones, so one pass is enough.
    for step in &spec.steps {
        let ends = step.after.iter().map(|a| begins[usize::from(*a)] + takes[usize::from(*a)]);
        begins.push(ends.max().unwrap_or_default());
    }
    begins
}

/// Sum over all slots of the hosts of a pool, each sent for ahead.
fn hosts_sent_for(room: &[u64], size: u64) -> u64 {
    let ahead = slot_of(MOVE);
    let needed: Vec<u64> = room.iter().map(|r| r.div_ceil(size)).collect();
    let sent_for = |from: usize| {
        let until = (from + ahead + 1).min(needed.len());
        needed[from..until].iter().max().copied().unwrap_or(0)
    };
    (0..needed.len()).map(sent_for).sum()
}
