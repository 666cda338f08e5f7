//! The planner: pools, placement of instances, maintenance and jobs.
//!
//! [`decide`] takes the folded state, the platform's list, reports of the entries and the time, and
//! returns records to append to the log. It keeps no state of its own, so that a planner that takes
//! over at any point continues from the log. The fold checks each record again at its offset.
//!
//! [`missing_actions`] compares the state with the platform's list and returns the actions that the
//! platform has to carry out. An action is repeated only while the list does not show its effect.
//! Its fencing token is a generation of the host, or the token of the task.

mod fleet_index;
mod host_actions;
mod jobs;
mod lower_bound;
mod observed;
mod place;
mod pools;
mod simulate;
mod transitions;
mod wave;

use crate::fold::State;
use crate::ids::{Term, UnixMs};
use crate::record::Record;

pub use fleet_index::FleetIndex;
pub use host_actions::{HostAction, missing_actions};
pub use lower_bound::LowerBound;
pub use observed::{HostState, ObservedFleet, ObservedHost, ObservedTask};
pub use simulate::{SimulatedRollout, Strategy, simulate_rollout};
pub use wave::{WaveState, WaveStatus, wave_status};

/// What the entries report to the planner.
#[derive(Clone, Debug, Default)]
pub struct EntryReports {
    /// Every entry that may send requests has folded the log up to this offset, exclusive.
    pub folded_by_all: crate::ids::Offset,
    /// Number of requests that all entries together have in flight to an instance.
    pub in_flight: std::collections::BTreeMap<crate::ids::InstanceId, u32>,
}

/// Returns the records to append now. `term` is the term of the planner.
pub fn decide(
    state: &State,
    observed: &ObservedFleet,
    reports: &EntryReports,
    now: UnixMs,
    term: Term,
) -> Vec<Record> {
    let mut records = transitions::observed_changes(state, observed, term);
    // Decisions that depend on these changes are made after they are folded.
    if !records.is_empty() {
        return records;
    }
    let mut index = FleetIndex::new(state);
    records.extend(pools::records(state, observed, &mut index, term));
    records.extend(place::records(state, observed, &mut index, now, term));
    // Jobs get the capacity that instances leave, so no job starts while instances are being placed
    // or hosts are moved.
    let placement_settled = records.is_empty();
    records.extend(transitions::phase_changes(state, observed, reports, term));
    records.extend(wave::records(state, &mut index, now, term));
    if placement_settled {
        records.extend(jobs::records(state, observed, now, term));
    }
    records
}
