//! Distributes the records of a batch among appends that the store accepts.

use workswood_adapter::size_in_append;
use workswood_core::jobs::{JobKey, JobNumber, Record};
use workswood_platform::jobs::KeyedRecord;

use super::job_state;
use super::record::state_record;
use super::saved_checkpoints::SavedCheckpoints;
use super::state_parts::StateParts;
use crate::util::job_settings::StoreSizes;

/// What records are about, and so what is lost if the store doesn't take them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The state of a job.
    Job(JobKey),
    /// Progress of a task.
    Checkpoint,
    /// Anything else, under this key.
    Other(String),
}

/// Records that have to be stored by one append.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// What they are about.
    pub subject: Subject,
    /// The records.
    pub records: Vec<KeyedRecord>,
}

impl Unit {
    fn new(subject: Subject, records: Vec<KeyedRecord>) -> Unit {
        Unit { subject, records }
    }

    /// Its size in an append, in bytes.
    pub fn size(&self) -> usize {
        self.records.iter().map(size_in_append).sum()
    }
}

/// Units that are stored by one append.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Append {
    /// The units, in their order.
    pub units: Vec<Unit>,
}

impl Append {
    /// All records, in their order.
    pub fn records(&self) -> Vec<KeyedRecord> {
        Append::records_of(&self.units)
    }

    /// The records of units, in their order.
    pub fn records_of(units: &[Unit]) -> Vec<KeyedRecord> {
        units.iter().flat_map(|unit| unit.records.iter().cloned()).collect()
    }
}

/// The stored form of the scheduler's state, as far as it depends on what the store holds.
#[derive(Debug, Default, PartialEq)]
pub struct StateEncoder {
    /// Parts of large records.
    pub parts: StateParts,
    /// Checkpoints that are stored apart.
    pub checkpoints: SavedCheckpoints,
    /// Deletions of what belongs to no record, for the next batch.
    pub orphans: Vec<KeyedRecord>,
}

impl StateEncoder {
    /// The appends with which a batch is stored, in their order: one, unless that is too large. Jobs come first, so that a
    /// successor that reads only some of the appends knows workers whose runs are over rather than runs on unknown workers.
    pub fn appends_of(&mut self, records: &[Record], sizes: StoreSizes) -> Vec<Append> {
        self.checkpoints.begin_batch();
        let mut packer = Packer { sizes, appends: Vec::new(), size: 0 };
        let orphans = std::mem::take(&mut self.orphans);
        orphans.into_iter().for_each(|rec| packer.add(Unit::new(Subject::Other(rec.key.clone()), vec![rec])));
        let (jobs, others): (Vec<&Record>, Vec<&Record>) =
            records.iter().partition(|rec| number_of(rec).is_some());
        for of_number in jobs.chunk_by(|a, b| number_of(a) == number_of(b)) {
            packer.add_group(of_number.iter().flat_map(|rec| self.units_of(rec, sizes)).collect());
        }
        for rec in in_order(others) {
            self.units_of(rec, sizes).into_iter().for_each(|unit| packer.add(unit));
        }
        packer.appends
    }

    /// The units with which a record of the state is stored, in their order.
    fn units_of(&mut self, rec: &Record, sizes: StoreSizes) -> Vec<Unit> {
        let stored = state_record(rec);
        let key = stored.key.clone();
        let checkpoint = |records| Unit::new(Subject::Checkpoint, records);
        match rec {
            Record::Job(job, state) => {
                let changed = self.checkpoints.changed(&key, state, &mut self.parts, sizes);
                let header = |header| job_state::encode_header(state, header);
                let of_state = self.parts.split(stored, sizes, header);
                let unwanted = self.checkpoints.take_unwanted(&key, state, &mut self.parts);
                let changed = changed.into_iter().map(checkpoint);
                let of_state = of_state.into_iter().map(|records| Unit::new(Subject::Job(*job), records));
                let unwanted = unwanted.into_iter().map(|rec| checkpoint(vec![rec]));
                changed.chain(of_state).chain(unwanted).collect()
            }
            Record::DropJob(job, ..) => {
                let checkpoints = self.checkpoints.take_all(&key, &mut self.parts);
                let dropped = self.parts.split(stored, sizes, job_state::encode_plain_header);
                let checkpoints = checkpoints.into_iter().map(|rec| checkpoint(vec![rec]));
                let dropped = dropped.into_iter().map(|records| Unit::new(Subject::Job(*job), records));
                checkpoints.chain(dropped).collect()
            }
            Record::Wave(..)
            | Record::Worker(..)
            | Record::DropWorker(..)
            | Record::EndedIncarnation(..)
            | Record::HostOrderMark(..) => {
                let split = self.parts.split(stored, sizes, job_state::encode_plain_header);
                split.into_iter().map(|records| Unit::new(Subject::Other(key.clone()), records)).collect()
            }
        }
    }
}

/// The number of the job of a record.
fn number_of(rec: &Record) -> Option<JobNumber> {
    match rec {
        Record::Job(job, _) | Record::DropJob(job, _) => Some(job.number),
        Record::Wave(..)
        | Record::Worker(..)
        | Record::DropWorker(..)
        | Record::EndedIncarnation(..)
        | Record::HostOrderMark(..) => None,
    }
}

/// Records that aren't about jobs, in the order in which they may be stored by several appends: what an incarnation of a
/// worker has left behind is stored before the record of the incarnation is deleted.
fn in_order(records: Vec<&Record>) -> Vec<&Record> {
    let (left_behind, others): (Vec<_>, Vec<_>) =
        records.into_iter().partition(|rec| matches!(rec, Record::EndedIncarnation(_, Some(_))));
    left_behind.into_iter().chain(others).collect()
}

/// Fills appends with units.
struct Packer {
    sizes: StoreSizes,
    appends: Vec<Append>,
    /// Size of the last append, in bytes.
    size: usize,
}

impl Packer {
    /// Adds a unit to the last append, or to a new one.
    fn add(&mut self, unit: Unit) {
        if unit.records.is_empty() {
            return;
        }
        let size = unit.size();
        match self.appends.last_mut().filter(|_| self.size + size <= self.sizes.append) {
            Some(last) => {
                last.units.push(unit);
                self.size += size;
            }
            None => {
                self.appends.push(Append { units: vec![unit] });
                self.size = size;
            }
        }
    }

    /// Adds units that are stored by one append if one takes them all.
    fn add_group(&mut self, units: Vec<Unit>) {
        let size: usize = units.iter().map(Unit::size).sum();
        if size <= self.sizes.append && self.size + size > self.sizes.append {
            self.appends.push(Append::default());
            self.size = 0;
        }
        units.into_iter().for_each(|unit| self.add(unit));
    }
}
