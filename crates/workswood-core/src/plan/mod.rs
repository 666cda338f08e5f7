//! Decisions about the fleet: pools, instances, maintenance, jobs.
//!
//! [`decide`] takes the folded state, what the platform's list shows, and the
//! time, and returns records to append. It holds no state of its own: a planner
//! that is replaced in the middle of anything goes on from the log. The fold
//! checks each record again at its offset.
//!
//! [`missing_actions`] compares the state with the list and returns the calls on the
//! platform that bring the list nearer to the state. A call is repeated only
//! while the list does not show its effect, and carries the generation of the
//! host as its token.

mod fleet_index;
mod host_actions;
mod jobs;
mod lower_bound;
mod observe;
mod observed;
mod place;
mod pools;
mod simulate;
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

/// What the planner must know besides the state and the list.
#[derive(Clone, Debug, Default)]
pub struct EntryReports {
    /// Whether every entry process that may send work has folded the offset.
    pub folded_by_all: crate::ids::Offset,
    /// Requests that entry processes have open on instances.
    pub in_flight: std::collections::BTreeMap<crate::ids::InstanceId, u32>,
}

/// Returns the records to append now. `term` is the planner's.
pub fn decide(
    state: &State,
    observed: &ObservedFleet,
    reports: &EntryReports,
    now: UnixMs,
    term: Term,
) -> Vec<Record> {
    let mut records = observe::records(state, observed, term);
    // Facts first: what is decided on them follows when they are in the log.
    if !records.is_empty() {
        return records;
    }
    let mut index = FleetIndex::new(state);
    records.extend(pools::records(state, observed, &mut index, term));
    records.extend(place::records(state, observed, &mut index, now, term));
    // Jobs count the room that is left when placements are in the log.
    let settled = records.is_empty();
    records.extend(observe::progress(state, observed, reports, term));
    records.extend(wave::records(state, &mut index, now, term));
    if settled {
        records.extend(jobs::records(state, observed, now, term));
    }
    records
}
