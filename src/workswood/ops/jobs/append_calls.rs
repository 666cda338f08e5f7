//! Distributes the records of a batch among appends that the store accepts.

use workswood_adapter::size_in_append;
use workswood_core::jobs::{JobKey, Record};
use workswood_platform::jobs::KeyedRecord;

use super::state_parts::StateParts;
use crate::util::job_settings::StoreSizes;

/// What must be stored by one append: the jobs of one number, or everything that isn't about jobs.
fn number_of(rec: &Record) -> Option<JobKey> {
    match rec {
        Record::Job(number, _) | Record::DropJob(number, ..) => Some(*number),
        Record::Wave(..)
        | Record::Worker(..)
        | Record::DropWorker(..)
        | Record::EndedIncarnation(..)
        | Record::HostOrderMark(..) => None,
    }
}

/// The appends with which a batch is stored, in their order: one, unless that is too large. Jobs come first, so that a
/// successor that reads only some of the appends knows workers whose runs are over rather than runs on unknown workers.
pub fn appends_of(records: &[Record], parts: &mut StateParts, sizes: StoreSizes) -> Vec<Vec<KeyedRecord>> {
    let (jobs, others): (Vec<&Record>, Vec<&Record>) =
        records.iter().partition(|rec| number_of(rec).is_some());
    let mut units: Vec<Vec<KeyedRecord>> = Vec::new();
    for same_number in jobs.chunk_by(|a, b| number_of(a) == number_of(b)) {
        units.push(same_number.iter().flat_map(|rec| parts.split(rec, sizes.record)).collect());
    }
    units.push(others.into_iter().flat_map(|rec| parts.split(rec, sizes.record)).collect());
    let mut appends: Vec<Vec<KeyedRecord>> = Vec::new();
    let mut size = 0;
    for unit in units.into_iter().filter(|unit| !unit.is_empty()) {
        let unit_size: usize = unit.iter().map(size_in_append).sum();
        match appends.last_mut().filter(|_| size + unit_size <= sizes.append) {
            Some(last) => {
                last.extend(unit);
                size += unit_size;
            }
            None => {
                appends.push(unit);
                size = unit_size;
            }
        }
    }
    appends
}
