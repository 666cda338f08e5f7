//! Checkpoints of any length, and what the store refuses for good.

use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood::ops::jobs::append_calls::{Append, StateEncoder, Subject};
use workswood::ops::jobs::job_state::{self, PartsHeader};
use workswood::ops::jobs::saved_checkpoints::MAX_INLINE_BYTES;
use workswood::ops::jobs::stored_state;
use workswood::util::job_settings::StoreSizes;
use workswood_adapter::size_in_append;
use workswood_adapter_standin::caller::submit_steps;
use workswood_core::jobs::job::{Checkpoint, StateSlot, TaskRecord};
use workswood_core::jobs::{Job, JobKey, JobRecord, Outcome, Owner, Record, StepSpec};
use workswood_platform::jobs::{KeyedRecord, StoreError};
use workswood_test_support::job_world::{job, step};

use super::state_parts::{LARGE, SMALL, Site, TAKEN};

/// Sizes of the platform's store.
const SIZES: StoreSizes = StoreSizes { record: 262_144, append: 2_097_152 };
const KEY: JobKey = JobKey::of_number(0xc1);
/// A checkpoint of which two are more than a record.
const LONG: usize = 150_000;
/// Bytes of an append beside key and value of a record.
const FRAMING: usize = 4;

/// The state of a job whose tasks all run, with checkpoints of this length.
fn running(tasks: u32, len: usize) -> JobRecord {
    let task = |n: u32| TaskRecord {
        latest_attempt: 1,
        checkpoint: text(n, len),
        runs: [(format!("i-{}", n % 12).as_str().into(), 1)].into(),
        ..TaskRecord::default()
    };
    let rounds = vec![vec![(0..tasks).map(task).collect()]];
    JobRecord { started: true, owner: Some(Owner::PUBLIC), rounds, ..JobRecord::default() }
}

fn text(n: u32, len: usize) -> Checkpoint {
    format!("{n:08}{}", "x".repeat(len.saturating_sub(8))).into()
}

/// A store, and who writes to it.
#[derive(Default)]
struct Store {
    records: std::collections::BTreeMap<String, KeyedRecord>,
    encoder: StateEncoder,
}

impl Store {
    fn apply(&mut self, append: &Append) {
        for rec in append.records() {
            match rec.value {
                Some(_) => drop(self.records.insert(rec.key.clone(), rec)),
                None => drop(self.records.remove(&rec.key)),
            }
        }
    }

    /// Writes a record; returns the size of all appends.
    fn write(&mut self, rec: &Record, sizes: StoreSizes) -> usize {
        let appends = self.encoder.appends_of(std::slice::from_ref(rec), sizes);
        for append in &appends {
            let size: usize = append.records().iter().map(size_in_append).sum();
            assert!(size <= sizes.append, "an append of {size} bytes");
            let largest = append.records().iter().map(size_in_append).max().unwrap_or_default();
            assert!(largest <= sizes.record + FRAMING, "a record of {largest} bytes");
            self.apply(append);
        }
        appends.iter().flat_map(Append::records).map(|rec| size_in_append(&rec)).sum()
    }

    fn read(&self) -> (Vec<(JobKey, JobRecord)>, StateEncoder) {
        let (state, encoder) = stored_state::read(self.records.values().cloned().collect());
        (state.jobs, encoder)
    }
}

/// Steps that make the record of their job larger than the store of a site takes.
const TOO_MANY_STEPS: u32 = 900;
const TOO_LARGE_JOB: &str = "00000000000000a1";
const SMALL_JOB: &str = "00000000000000a2";

/// The caller of a job whose record the store never takes comes back for ever.
#[tokio::test(flavor = "multi_thread")]
async fn hand_in_too_large() {
    let site = Site::new("too-large", TAKEN).await;
    site.submit(0, SMALL_JOB, 1).await;
    assert_eq!(submit_steps(site.entries[0].0, TOO_LARGE_JOB, TOO_MANY_STEPS).await, Some(413));
    // Its lines are written before those of the small job's end.
    site.until_state(1, SMALL_JOB, "completed").await;
    let logs = site.logs();
    assert!(logs.contains("reason=too_large"), "{logs}");
    assert!(!logs.contains("event=inbox_append_refused"), "the store was asked: {logs}");
}

/// Nobody needs the checkpoint of a task that is not started again.
#[test]
fn done_tasks_need_none() {
    let gang = StepSpec { gang: true, checkpointing: true, ..step(2, vec![]) };
    let mut job = Job::new(KEY, Arc::new(job(vec![gang, step(1, vec![])], 1)));
    job.open_round();
    for tasks in &mut job.rounds[0] {
        tasks.iter_mut().for_each(|task| task.save_checkpoint("saved"));
    }
    job.rounds[0][0].iter_mut().for_each(|task| task.complete());
    job.rounds[0][0][1].save_checkpoint("saved later");
    let saved = |job: &Job| -> Vec<Checkpoint> {
        job.record().rounds.concat().concat().into_iter().map(|task| task.checkpoint).collect()
    };
    assert_eq!(saved(&job), ["".into(), "".into(), Checkpoint::from("saved")]);
    job.outcome = Some(Outcome::Failed);
    assert!(saved(&job).iter().all(|checkpoint| checkpoint.is_empty()));
}

/// The state of so many running tasks takes less, in bytes.
const WITHOUT_CHECKPOINTS: usize = 10_000;

/// LOST: the checkpoints of running tasks alone are more than an append takes. Each is stored once, within some batches.
#[test]
fn running_tasks_alone() {
    let state = running(200, 100_000);
    let mut store = Store::default();
    let rec = Record::Job(KEY, state.clone());
    let mut written = vec![store.write(&rec, SIZES)];
    while written.last().is_some_and(|bytes| *bytes > WITHOUT_CHECKPOINTS) {
        written.push(store.write(&rec, SIZES));
        assert!(written.len() < 400, "{written:?}");
    }
    assert!(written.iter().all(|bytes| *bytes < SIZES.append / 4), "no batch is delayed: {written:?}");
    let (jobs, successor) = store.read();
    assert!(jobs == [(KEY, state)], "all are stored");
    let again = Store { encoder: successor, records: store.records.clone() }.write(&rec, SIZES);
    assert!(again < WITHOUT_CHECKPOINTS, "what is stored is not written again: {again} bytes");
}

/// The checkpoint of a task that runs nowhere is known to nobody else.
#[test]
fn waiting_tasks_first() {
    let mut state = running(20, 100_000);
    state.rounds[0][0].iter_mut().skip(10).for_each(|task| task.runs.clear());
    let mut store = Store::default();
    store.write(&Record::Job(KEY, state.clone()), SIZES);
    let (jobs, _) = store.read();
    assert_eq!(jobs[0].1.rounds[0][0][10..], state.rounds[0][0][10..]);
}

#[test]
fn lengths() {
    for len in [0, 8, MAX_INLINE_BYTES, MAX_INLINE_BYTES + 1, 4_000, SIZES.record, LONG * 3] {
        let state = running(1, len);
        let mut store = Store::default();
        store.write(&Record::Job(KEY, state.clone()), SIZES);
        assert!(store.read().0 == [(KEY, state)], "{len} bytes");
        let shorter = running(1, 16);
        store.write(&Record::Job(KEY, shorter.clone()), SIZES);
        assert!(store.read().0 == [(KEY, shorter)]);
        assert_eq!(store.records.len(), 1, "{:?}", store.records.keys());
    }
}

/// What other versions read.
#[test]
fn stored_form() {
    let mut store = Store::default();
    store.write(&Record::Job(KEY, running(2, MAX_INLINE_BYTES + 1)), SIZES);
    let keys: Vec<&str> = store.records.keys().map(String::as_str).collect();
    assert_eq!(
        keys,
        ["00000000000000c1", "checkpoint-00000000000000c1+0.0.0", "checkpoint-00000000000000c1+0.0.1"]
    );
    let value = store.records[keys[2]].value.as_deref().expect("a value");
    assert_eq!(value, format!("={}", text(1, MAX_INLINE_BYTES + 1)).as_bytes());
    let header = PartsHeader { first: 3, count: 2, checksum: 9 };
    assert_eq!(job_state::encode_plain_header(header), [0x48, 2, 0x51, 9, 0, 0, 0, 0, 0, 0, 0, 0x58, 3]);
    assert_eq!(job_state::decode_header(&[0x48, 2, 0x51, 9, 0, 0, 0, 0, 0, 0, 0, 0x58, 3]), Some(header));
    let former = PartsHeader { first: 0, ..header };
    assert_eq!(job_state::decode_header(&[0x48, 2, 0x51, 9, 0, 0, 0, 0, 0, 0, 0]), Some(former));
}

/// A text that no append takes is left out, and nothing else.
#[test]
fn larger_than_an_append() {
    let mut state = running(3, 100);
    state.rounds[0][0][1].checkpoint = text(1, SIZES.append + 1);
    let mut store = Store::default();
    store.write(&Record::Job(KEY, state.clone()), SIZES);
    state.rounds[0][0][1].checkpoint = Checkpoint::default();
    assert!(store.read().0 == [(KEY, state)]);
}

/// No later job under the same key finds a checkpoint, whichever appends its holder has made.
#[test]
fn deleted_with_the_job() {
    let mut full = Store::default();
    // Several batches, since each takes some bytes only.
    for _ in 0..31 {
        full.write(&Record::Job(KEY, running(30, LONG)), SIZES);
    }
    let drop_job = Record::DropJob(KEY, StateSlot::Number);
    let small = StoreSizes { append: 512, ..SIZES };
    let (_, mut encoder) = full.read();
    let appends = encoder.appends_of(std::slice::from_ref(&drop_job), small);
    assert!(appends.len() > 1);
    for made in 0..=appends.len() {
        let mut store = Store { records: full.records.clone(), ..Store::default() };
        appends[..made].iter().for_each(|append| store.apply(append));
        let (jobs, _) = store.read();
        assert_eq!(jobs.len(), usize::from(made < appends.len()), "the state goes last");
    }
    let mut store = Store { records: full.records.clone(), ..Store::default() };
    appends.iter().for_each(|append| store.apply(append));
    assert!(store.records.is_empty(), "{:?}", store.records.keys());
}

/// What an earlier version has left behind belongs to no job, and goes with the next batch.
#[test]
fn orphans_are_deleted() {
    let mut store = Store::default();
    store.write(&Record::Job(KEY, running(3, LONG)), SIZES);
    store.write(&Record::Job(KEY, running(3, LONG)), SIZES);
    store.records.remove(&format!("{KEY:016x}"));
    let (jobs, encoder) = store.read();
    assert!(jobs.is_empty());
    store.encoder = encoder;
    store.write(&Record::DropWorker("i-1".into()), SIZES);
    assert!(store.records.is_empty(), "{:?}", store.records.keys());
}

/// Guards against a successor that reads half of a state: some of its appends are made, and the former one is whole.
#[test]
fn former_state_stays_whole() {
    let small = StoreSizes { record: 2_048, append: 4_096 };
    let state = |attempt: u32| {
        let mut state = running(800, 8);
        state.rounds[0][0].iter_mut().for_each(|task| task.latest_attempt = attempt);
        state
    };
    let mut store = Store::default();
    let mut former = None;
    for attempt in 2..6 {
        let rec = Record::Job(KEY, state(attempt));
        let appends = store.encoder.appends_of(std::slice::from_ref(&rec), small);
        assert!(appends.len() > 2, "{} appends", appends.len());
        for append in &appends[..appends.len() - 1] {
            store.apply(append);
            assert_eq!(store.read().0.pop().map(|(_, state)| state), former);
        }
        store.apply(&appends[appends.len() - 1]);
        former = Some(state(attempt));
        assert_eq!(store.read().0.pop().map(|(_, state)| state), former);
        // A holder that died between the appends is followed by one that knows what they left.
        if attempt == 3 {
            store.encoder = store.read().1;
        }
    }
    store.write(&Record::Job(KEY, running(1, 8)), small);
    assert_eq!(store.records.len(), 1, "{:?}", store.records.keys());
}

/// Records that aren't about jobs are no unit: a change of holder has those of a whole fleet.
#[test]
fn other_records_divided() {
    let hosts = (0..5_000).map(|n| Record::HostOrderMark(format!("host-{n}"), Some("entry-1".to_string())));
    let records: Vec<Record> = hosts.collect();
    let small = StoreSizes { record: 4_096, append: 16_384 };
    let appends = StateEncoder::default().appends_of(&records, small);
    let size = |append: &Append| append.records().iter().map(size_in_append).sum::<usize>();
    assert!(appends.iter().all(|append| size(append) <= small.append));
    assert_eq!(appends.iter().map(|append| append.units.len()).sum::<usize>(), 5_000);
    assert!(appends.iter().flat_map(|a| &a.units).all(|unit| matches!(unit.subject, Subject::Other(_))));
}

#[test]
fn rejection_settles_a_call() {
    let rejected: Result<(), StoreError> = Err(StoreError::Rejected { text: "size".to_string() });
    assert!(workswood_platform::copies::is_settled(&rejected), "no copy of it succeeds");
    let refused: Result<(), StoreError> = Err(StoreError::NotDone { text: "busy".to_string() });
    assert!(!workswood_platform::copies::is_settled(&refused));
}

/// All that is waited for comes within this time.
const WITHIN: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(50);

/// LOST: the store refuses the state of one job for good, and no other job is stored or begins.
#[tokio::test(flavor = "multi_thread")]
async fn refused_state_costs_nobody() {
    let site = Site::new("refused", SIZES).await;
    site.submit(0, LARGE, 2_000).await;
    site.submit(1, SMALL, 1).await;
    for at in [0, 1] {
        site.until_state(at, SMALL, "completed").await;
        site.until_state(at, LARGE, "failed").await;
    }
    assert!(site.store.refused_for_size() > 0);
    let logs = site.logs();
    assert!(logs.contains("event=record_refused code=148 kind=job"), "{logs}");
    assert!(logs.contains("event=job_not_storable code=148"), "{logs}");
    assert!(site.worker.starts().iter().all(|(task, _)| task.starts_with(SMALL)), "not without a record");
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}

/// Time between the ends of two tasks of a step.
const ENDS_APART: Duration = Duration::from_millis(60);

/// LOST: checkpoints outgrow what the store takes in one append; the job is done, also by another holder.
#[tokio::test(flavor = "multi_thread")]
async fn long_checkpoints_are_stored() {
    const TASKS: u32 = 30;
    let mut site = Site::new("checkpoints", TAKEN).await;
    // The first end is recorded while the others run, and their checkpoints with it.
    site.worker.faults(|f| {
        f.checkpoint_chars = TAKEN.append / 4;
        f.ends_apart = ENDS_APART;
    });
    site.submit(0, LARGE, TASKS).await;
    site.until_state(0, LARGE, "running").await;
    let until = Instant::now() + WITHIN;
    while !site.store.has_key(workswood_adapter_standin::StoredTopic::State, "checkpoint-") {
        assert!(Instant::now() < until, "no checkpoint is stored");
        tokio::time::sleep(PAUSE).await;
    }
    let other = site.kill_holder();
    site.submit(other, SMALL, 1).await;
    for job in [SMALL, LARGE] {
        site.until_state(other, job, "completed").await;
    }
    assert_eq!(site.store.refused_for_size(), 0);
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}
